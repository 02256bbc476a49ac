"""Placement: predictions, choices and groups."""

import random
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from pondpin.cost_model import StepCosts
from pondpin.placement import (
    Demand,
    EngineSize,
    EngineView,
    choose_group,
    largest_prompt,
    make_policy,
    members_needed,
    predict,
)
from pondpin.policies import PlacementPolicy


def view(name: str, **changes: Any) -> EngineView:
    values: dict[str, Any] = {
        "id": name,
        "group": "",
        "blocks": 100,
        "block_tokens": 512,
        "free_blocks": 100,
        "ahead_by_priority": (),
        "outstanding": 0,
        "running": 0,
        "mean_context": 0.0,
        "costs": StepCosts(0.005, 1e-5, 1e-4, 1e-9),
    }
    return EngineView(**(values | changes))


def demand(tokens: int = 1000, **changes: Any) -> Demand:
    values: dict[str, Any] = {
        "prompt_tokens": tokens,
        "max_tokens": 10,
        "priority": 50,
        "long": False,
        "hit_tokens_by_engine": {},
    }
    return Demand(**(values | changes))


class PredictTest(unittest.TestCase):
    def test_more_ahead_is_later(self) -> None:
        idle = predict(view("a"), demand())
        busy = predict(view("a", ahead_by_priority=((50, 20000),)), demand())
        self.assertGreater(busy.first_token, idle.first_token + 0.15)

    def test_lower_priorities_do_not_count_as_ahead(self) -> None:
        idle = predict(view("a"), demand())
        behind = predict(view("a", ahead_by_priority=((20, 100),)), demand(priority=80))
        self.assertAlmostEqual(behind.first_token, idle.first_token, delta=0.06)

    def test_a_prefix_hit_is_sooner(self) -> None:
        cold = predict(view("a"), demand(9000))
        warm = predict(view("a"), demand(9000, hit_tokens_by_engine={"a": 8192}))
        self.assertLess(warm.first_token, cold.first_token / 3)

    @given(
        tokens=st.integers(1, 50000),
        more=st.integers(0, 50000),
        running=st.integers(0, 60),
    )
    def test_a_longer_prompt_never_ends_sooner(self, tokens: int, more: int, running: int) -> None:
        engine = view("a", running=running, mean_context=running * 500.0)
        first = predict(engine, demand(tokens))
        second = predict(engine, demand(tokens + more))
        self.assertLessEqual(first.finish, second.finish)


class ChooseTest(unittest.TestCase):
    def choose(self, policy: PlacementPolicy, views: list[EngineView], wanted: Demand) -> str:
        chooser = make_policy(policy)
        return chooser.choose(views, wanted, random.Random(1)).engines[0]

    def test_predicted_takes_the_soonest(self) -> None:
        views = [view("a", ahead_by_priority=((50, 5000),)), view("b")]
        self.assertEqual(self.choose(PlacementPolicy.PREDICTED, views, demand()), "b")

    def test_predicted_goes_where_the_prefix_is(self) -> None:
        views = [view("a"), view("b")]
        wanted = demand(9000, hit_tokens_by_engine={"b": 8192})
        self.assertEqual(self.choose(PlacementPolicy.PREDICTED, views, wanted), "b")

    def test_predicted_prefers_one_that_fits(self) -> None:
        views = [view("a", free_blocks=1), view("b", ahead_by_priority=((50, 5000),))]
        self.assertEqual(self.choose(PlacementPolicy.PREDICTED, views, demand(5000)), "b")

    def test_least_outstanding(self) -> None:
        views = [view("a", outstanding=3), view("b", outstanding=1)]
        self.assertEqual(self.choose(PlacementPolicy.LEAST_OUTSTANDING, views, demand()), "b")

    def test_round_robin_takes_each_in_turn(self) -> None:
        chooser = make_policy(PlacementPolicy.ROUND_ROBIN)
        views = [view(name) for name in "abc"]
        chosen = [chooser.choose(views, demand(), random.Random(1)).engines[0] for _ in range(6)]
        self.assertEqual(sorted(chosen), ["a", "a", "b", "b", "c", "c"])

    @given(count=st.integers(1, 40), seed=st.integers(0, 1000))
    def test_every_policy_chooses_one_of_the_given(self, count: int, seed: int) -> None:
        views = [view(f"e{number}", free_blocks=seed % 100) for number in range(count)]
        for policy in PlacementPolicy:
            choice = make_policy(policy).choose(views, demand(), random.Random(seed))
            self.assertIn(choice.engines[0], {item.id for item in views})


class GroupTest(unittest.TestCase):
    def test_members_in_order_of_name(self) -> None:
        views = [view(name, group="g") for name in ("c", "a", "b")]
        choice = choose_group(views, demand(120_000, long=True))
        assert choice is not None
        self.assertEqual(choice.engines, ("a", "b", "c"))

    def test_no_group_without_room(self) -> None:
        views = [view(name, group="g", free_blocks=10) for name in "abc"]
        self.assertIsNone(choose_group(views, demand(120_000)))

    def test_members_of_different_groups_do_not_mix(self) -> None:
        views = [view("a", group="g"), view("b", group="g"), view("c", group="h")]
        self.assertIsNone(choose_group(views, demand(120_000)))

    def test_largest_prompt(self) -> None:
        sizes = [EngineSize(group, 100, 512) for group in ("", "g", "g")]
        self.assertEqual(largest_prompt(sizes), 2 * 95 * 512)
        self.assertEqual(largest_prompt([]), 0)

    @given(tokens=st.integers(1, 150_000))
    def test_the_members_hold_the_prompt(self, tokens: int) -> None:
        views = [view(name, group="g") for name in "abcd"]
        members = members_needed(views, demand(tokens))
        self.assertLessEqual(demand(tokens).tokens, members * 100 * 512)
