"""Orders: pace, floor, dwell, fences; the real functions against random instances and pauses."""

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pondpin.configuration import decode_configuration
from pondpin.orders import (
    FENCE_SPAN,
    Desired,
    OrderRules,
    OrderView,
    desired_states,
    find_owner,
    next_fence,
    plan_orders,
    revision_of_fence,
)
from pondpin.tests.support import FleetCase, question, sample_document, sample_spec, wait_until

OLD, NEW = Desired("old", "mixed"), Desired("new", "mixed")


def engine(name: str, **changes: Any) -> OrderView:
    values: dict[str, Any] = {
        "state": OLD,
        "serving": True,
        "loading": False,
        "checks_fences": True,
        "report_age": 0.1,
        "order_age": 1000.0,
    }
    return OrderView(name=name, **(values | changes))


def given_orders(engines: list[OrderView], **rules: Any) -> list[str]:
    desired = {item.name: NEW for item in engines}
    planned = plan_orders(engines, desired, OrderRules(**rules))
    return [order.engine for order in planned if not order.held_back]


class PlanTest(unittest.TestCase):
    def test_the_weight_store_paces_the_loads(self) -> None:
        engines = [engine(name) for name in "abcd"]
        self.assertEqual(given_orders(engines, loads_at_once=2), ["a", "b"])
        busy = [engine("a", loading=True, state=Desired("", "mixed"), serving=False), *engines[1:]]
        self.assertEqual(given_orders(busy, loads_at_once=1), [])

    def test_the_floor_of_serving_engines_holds(self) -> None:
        engines = [engine(name) for name in "ab"]
        self.assertEqual(given_orders(engines, loads_at_once=5, serving_floor=1), ["a"])
        self.assertEqual(given_orders(engines[:1], loads_at_once=5, serving_floor=1), [])

    def test_old_reports_and_dwell_hold_orders_back(self) -> None:
        self.assertEqual(given_orders([engine("a", report_age=9.0), engine("b")]), ["b"])
        self.assertEqual(given_orders([engine("a", order_age=1.0), engine("b")]), ["b"])

    def test_a_role_alone_needs_no_load(self) -> None:
        views = [engine("a")]
        planned = plan_orders(views, {"a": Desired("old", "long")}, OrderRules(loads_at_once=1))
        self.assertEqual(planned[0].held_back, "")

    @given(
        st.lists(st.sampled_from(["serving", "loading", "done", "dead"]), max_size=12),
        st.integers(1, 3),
        st.integers(0, 3),
    )
    def test_never_under_the_floor_and_never_over_the_pace(
        self, kinds: list[str], pace: int, floor: int
    ) -> None:
        engines = []
        for number, kind in enumerate(kinds):
            state = {"done": NEW, "loading": Desired("", "mixed")}.get(kind, OLD)
            serving = kind in ("serving", "done")
            name = f"e{number:02}"
            engines.append(engine(name, state=state, serving=serving, loading=kind == "loading"))
        orders = given_orders(engines, loads_at_once=pace, serving_floor=floor)
        stopped = [item for item in engines if item.name in orders and item.serving]
        left = kinds.count("serving") - len(stopped)
        if stopped:
            self.assertGreaterEqual(left, floor)
        self.assertLessEqual(len(orders), max(0, pace - kinds.count("loading")))

    def test_owners_are_spread_and_move_little(self) -> None:
        names = [f"entry-{number}" for number in range(8)]
        engines = [f"engine-{number}" for number in range(400)]
        before = {name: find_owner(name, names) for name in engines}
        after = {name: find_owner(name, names[1:]) for name in engines}
        moved = [name for name in engines if before[name] != after[name]]
        self.assertTrue(all(before[name] == names[0] for name in moved))
        self.assertLess(len(moved), 90)

    def test_placements_by_selector(self) -> None:
        document = sample_document(
            upstreams={
                "e1": {
                    "kind": "engine",
                    "address": "127.0.0.1:1",
                    "data_center": "d",
                    "model": "rider",
                },
                "e2": {
                    "kind": "engine",
                    "address": "127.0.0.1:2",
                    "data_center": "d",
                    "model": "rider",
                },
            },
            placements=[{"upstreams": "id=e2", "model": "rider", "role": "long"}],
        )
        import json

        found = desired_states(decode_configuration(json.dumps(document).encode(), "test"))
        self.assertEqual(found, {"e1": Desired("rider", "mixed"), "e2": Desired("rider", "long")})


class FenceTest(unittest.TestCase):
    @given(last=st.integers(0, 50 * FENCE_SPAN), revision=st.integers(1, 50))
    def test_a_fence_is_higher_and_of_its_revision(self, last: int, revision: int) -> None:
        fence = next_fence(last, revision)
        if fence is None:
            self.assertGreaterEqual(last, revision * FENCE_SPAN)
        else:
            self.assertGreater(fence, last)
            self.assertEqual(revision_of_fence(fence), revision)


class OrderMachine(RuleBasedStateMachine):
    """The steps of spec/orders.py on the real functions: instances pause between the steps."""

    def __init__(self) -> None:
        super().__init__()
        self.fence = 0
        self.applied = 0
        self.highest = 0
        self.published = 1
        self.revision = {"a": 0, "b": 0, "c": 0}
        self.proposed: dict[str, tuple[int, int]] = {}

    @rule()
    def publish(self) -> None:
        self.published += 1

    @rule(who=st.sampled_from("abc"))
    def learn(self, who: str) -> None:
        self.revision[who] = self.published

    @rule(who=st.sampled_from("abc"))
    def propose(self, who: str) -> None:
        if self.revision[who]:
            fence = next_fence(self.fence, self.revision[who])
            if fence is not None:
                self.proposed[who] = (fence, self.revision[who])

    @rule(who=st.sampled_from("abc"))
    def send(self, who: str) -> None:
        if who not in self.proposed:
            return
        fence, revision = self.proposed[who]
        if fence > self.fence:
            self.fence, self.applied = fence, revision
            self.highest = max(self.highest, revision)

    @invariant()
    def no_order_of_an_older_revision(self) -> None:
        assert self.applied == self.highest


OrderMachineTest = OrderMachine.TestCase


class RolloutTest(FleetCase):
    def document(self) -> dict[str, Any]:
        return sample_document(
            models={"rider": {}, "rider-2": {}},
            policy={"dwell_seconds": 0.0, "loads_at_once": 1, "serving_floor": 1},
            placements=[{"upstreams": "id in (e1, e2, e3)", "model": "rider-2"}],
        )

    def test_a_version_rolls_out_while_both_serve(self) -> None:
        async def test() -> None:
            engines = self.fleet.engines_by_name
            for item in engines.values():
                item.options = type(item.options)(model="rider", load_seconds=0.05)
            await self.fleet.publish(self.document())

            def serving() -> list[str]:
                return sorted(item.served_model for item in engines.values())

            await wait_until(lambda: serving() == ["rider", "rider-2", "rider-2", "rider-2"], 30.0)
            for model in ("rider", "rider-2"):
                await wait_until(
                    lambda model=model: all(
                        model in {s.labels["model"] for s in r.instance.fleet.engines()}
                        for r in self.fleet.entries_by_name.values()
                    )
                )
                asked = await self.caller.ask(question(f"to {model}", model=model))
                self.assertTrue(asked.whole, (model, asked.code))
            for item in engines.values():
                fences = item.fences_taken
                self.assertEqual(fences, sorted(set(fences)))

        self.drive(test, sample_spec())
