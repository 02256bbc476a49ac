"""Tests of engine forecasts, engine selection and the upstream table."""

import random
import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from pondpin.relay.choosing.engine_choice import (
    ChoiceOptions,
    EngineView,
    Job,
    choose_engines,
    is_light,
    light_pool_size,
)
from pondpin.relay.model import EngineProfile, ListedUpstream, life_of
from pondpin.relay.upstreams.forecast import (
    DecodeStreams,
    EngineLoad,
    PendingPrefill,
    decode_loss,
    first_event_seconds,
    pass_seconds,
    prefill_duration,
    total_delay_loss,
)
from pondpin.relay.upstreams.table import PEER_LOAD_SECONDS, UpstreamTable
from pondpin.relay.upstreams.work import Prefill, Work, prefills_end

NOW = 1000.0
PROFILE = EngineProfile(
    slots=8,
    memory_tokens=450_000,
    stride=46,
    step_seconds=0.000925,
    step_per_stream=0.00000966,
    step_per_context_k=0.00000254,
    prefill_rate=256_000.0,
    pair_cost=0.0917e-9,
    chunk_tokens=2048,
    hop_seconds=0.0001,
)
IDLE = EngineLoad(0, 0.0, (), 0, ())
CHAT_STREAMS = EngineLoad(4, 0.0, (), 24_000, (DecodeStreams(0.2, 4, 5.2),))
SHORT = Job(5000, 1500, 0.3, 0.2, 2.0)
LONG = Job(210_000, 800, 3.0, 0.8, 12.0)
HUGE = Job(900_000, 800, 3.0, 0.8, 12.0)


def views(*loads: EngineLoad) -> list[EngineView]:
    return [EngineView(f"e{i}", load, True) for i, load in enumerate(loads)]


class ForecastTest(unittest.TestCase):
    def test_prefill_durations_match_the_published_figures(self) -> None:
        for tokens, seconds in ((5000, 0.021), (45_000, 0.27), (210_000, 2.84), (10**6, 49.8)):
            self.assertAlmostEqual(prefill_duration(PROFILE, tokens), seconds, delta=seconds * 0.02)

    def test_a_pass_with_decode_streams_takes_its_steps(self) -> None:
        self.assertEqual(pass_seconds(PROFILE, IDLE), 0.0)
        self.assertAlmostEqual(pass_seconds(PROFILE, CHAT_STREAMS), 0.0472, delta=0.001)

    def test_a_long_part_costs_streams_with_strict_gap_targets_only(self) -> None:
        patient = replace(CHAT_STREAMS, decode_streams=(DecodeStreams(0.8, 4, 80.0),))
        self.assertEqual(decode_loss(PROFILE, IDLE, 1.0), 0.0)
        self.assertAlmostEqual(decode_loss(PROFILE, CHAT_STREAMS, 0.5), 5.2)
        self.assertEqual(decode_loss(PROFILE, patient, 0.3), 0.0)

    def test_a_part_delays_pending_prefills(self) -> None:
        waiting = replace(
            IDLE, prefill_seconds=1.0, pending=(PendingPrefill(1.0, 3.0, 20.0, 1, 2),)
        )
        self.assertGreater(total_delay_loss([waiting], 2.5), 10.0)
        self.assertLess(total_delay_loss([waiting], 0.1), 1.0)
        self.assertEqual(total_delay_loss([IDLE], 2.5), 0.0)
        # Two parts of one prompt count once.
        once = total_delay_loss([waiting], 2.5)
        self.assertEqual(total_delay_loss([waiting, waiting], 2.5), once)

    def test_only_the_lead_waits_for_its_pending_prefills(self) -> None:
        busy = replace(IDLE, prefill_seconds=1.0)
        as_helper = first_event_seconds(PROFILE, IDLE, [busy], 0.5, 1000)
        as_lead = first_event_seconds(PROFILE, busy, [IDLE], 0.5, 1000)
        self.assertAlmostEqual(as_lead - as_helper, 1.0)


class ChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rng = random.Random(3)

    def test_a_long_prompt_is_split_over_idle_engines(self) -> None:
        loads = [CHAT_STREAMS] * 4 + [IDLE] * 8
        choice = choose_engines(PROFILE, LONG, views(*loads), 16, self.rng)
        assert choice is not None
        used = {choice.lead, *choice.helpers}
        self.assertGreater(len(used), 2)
        self.assertFalse(used & {"e0", "e1", "e2", "e3"})
        self.assertLess(choice.first_event_seconds, LONG.target)

    def test_without_parts_one_engine_prefills_all(self) -> None:
        rules = ChoiceOptions(max_parts=1)
        choice = choose_engines(PROFILE, LONG, views(*[IDLE] * 8), 0, self.rng, rules)
        assert choice is not None
        self.assertEqual(choice.helpers, ())
        self.assertIsNone(choose_engines(PROFILE, HUGE, views(*[IDLE] * 8), 0, self.rng, rules))

    def test_without_leases_a_prompt_larger_than_an_engine_is_not_placed(self) -> None:
        rules = ChoiceOptions(leases=False)
        self.assertIsNone(choose_engines(PROFILE, HUGE, views(*[IDLE] * 18), 0, self.rng, rules))

    def test_without_a_pool_a_long_prompt_may_go_anywhere(self) -> None:
        rules = ChoiceOptions(light_pool=False)
        choice = choose_engines(PROFILE, LONG, views(*[IDLE] * 8), 30, self.rng, rules)
        assert choice is not None
        self.assertEqual(choice.pool_size, 8)

    def test_a_prompt_larger_than_an_engine_gets_leases(self) -> None:
        choice = choose_engines(PROFILE, HUGE, views(*[IDLE] * 18), 0, self.rng)
        assert choice is not None
        leased = choice.lease_tokens * (len(choice.helpers) + 1)
        self.assertGreaterEqual(leased, HUGE.prompt_tokens)
        self.assertLessEqual(choice.lease_tokens, PROFILE.memory_tokens)

    def test_a_late_prompt_still_meets_the_caller_timeout(self) -> None:
        busy = replace(CHAT_STREAMS, decode_streams=(DecodeStreams(0.2, 6, 7.8),), in_flight=6)
        choice = choose_engines(PROFILE, HUGE, views(*[busy] * 18), 100, self.rng)
        assert choice is not None
        self.assertLess(choice.first_event_seconds, HUGE.caller_timeout * 0.8)

    def test_no_choice_without_memory(self) -> None:
        full = replace(IDLE, tokens=440_000)
        self.assertIsNone(choose_engines(PROFILE, LONG, views(full, full), 0, self.rng))
        self.assertIsNone(choose_engines(PROFILE, LONG, [], 0, self.rng))

    def test_light_requests_stay_in_the_pool(self) -> None:
        loads = [IDLE] * 12
        chosen = set()
        for _ in range(60):
            choice = choose_engines(PROFILE, SHORT, views(*loads), 6, self.rng)
            assert choice is not None
            chosen.add(choice.lead)
        self.assertEqual(chosen, {f"e{i}" for i in range(light_pool_size(PROFILE, 6, 12))})

    def test_a_full_pool_overflows(self) -> None:
        full = replace(CHAT_STREAMS, in_flight=8)
        loads = [full] * 3 + [IDLE] * 3
        choice = choose_engines(PROFILE, SHORT, views(*loads), 8, self.rng)
        assert choice is not None
        self.assertIn(choice.lead, ("e3", "e4", "e5"))

    def test_the_pool_grows_with_light_streams(self) -> None:
        sizes = [light_pool_size(PROFILE, count, 18) for count in range(0, 120, 10)]
        self.assertEqual(sizes, sorted(sizes))
        self.assertEqual(light_pool_size(PROFILE, 500, 18), 18)
        self.assertTrue(is_light(PROFILE, 5000, 0.2))
        self.assertFalse(is_light(PROFILE, 45_000, 0.5))

    @given(st.integers(1, 18), st.integers(25_000, 1_000_000), st.integers(0, 400_000))
    def test_every_choice_has_the_memory(self, count: int, tokens: int, used: int) -> None:
        job = Job(tokens, 800, 3.0, 0.8, 12.0)
        load = replace(IDLE, tokens=used)
        choice = choose_engines(PROFILE, job, views(*[load] * count), 0, random.Random(1))
        if choice is None:
            return
        self.assertNotIn(choice.lead, choice.helpers)
        self.assertLessEqual(len(choice.helpers), 16)
        own = choice.lease_tokens or job.tokens
        self.assertLessEqual(used + own, PROFILE.memory_tokens)


def listed(name: str, data_center: str = "north", leaving: bool = False) -> ListedUpstream:
    return ListedUpstream(name, "engines", "10.0.0.1", 80, data_center, 8, leaving)


def stream_work(since: float, prefill_seconds: float = 0.0, first: bool = False) -> Work:
    work = Work(prefill_seconds, since, 5000, 0.3, 0.2, 1.3, True, True)
    work.has_first_event = first
    return work


class UpstreamTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = UpstreamTable("north")
        self.table.apply_list([listed("a"), listed("b"), listed("c", "south")], [])

    def usable_ids(self, now: float = NOW) -> set[str]:
        return {item.id for item in self.table.candidates("engines", now, frozenset())}

    def newest_leaving_ids(self, max_count: int) -> list[str]:
        return [self.table.label_of(life) for life in self.table.newest_leaving(max_count)]

    def record_failure_of(self, name: str, now: float, certain: bool = False) -> bool:
        return self.table.record_failure(self.table.by_id[name], now, certain)

    def test_leaving_is_not_undone_by_a_later_list(self) -> None:
        self.assertTrue(self.table.mark_leaving(life_of("a", None)))
        self.assertFalse(self.table.mark_leaving(life_of("a", None)))
        self.table.apply_list([listed("a"), listed("b"), listed("c", "south")], [])
        self.assertEqual(self.usable_ids(), {"b", "c"})
        self.table.apply_list([], ["a"])
        self.table.apply_list([listed("a")], [])
        self.assertNotIn("a", self.usable_ids())

    def test_the_newest_leaving_lives_come_first(self) -> None:
        names = [f"e{number:02}" for number in range(40)]
        self.table.apply_list([listed(name) for name in names], [])
        for name in reversed(names):
            self.table.mark_leaving(life_of(name, None))
        self.assertEqual(self.newest_leaving_ids(3), ["e00", "e01", "e02"])
        self.table.apply_list([], ["e01"])
        self.assertEqual(self.newest_leaving_ids(3), ["e00", "e02", "e03"])
        self.assertEqual(len(self.table.newest_leaving(100)), 39)

    def test_leaving_lives_not_in_the_list_come_first_and_all_rotate(self) -> None:
        names = [f"e{number:02}" for number in range(40)]
        self.table.apply_list([listed(name) for name in names], [])
        for name in names:
            self.table.mark_leaving(life_of(name, None))
        draining = [replace(listed(name), leaving=name > "e09") for name in names]
        self.table.apply_list(draining, [])
        self.assertEqual(set(self.newest_leaving_ids(10)), set(names[:10]))
        reported: set[int] = set()
        for step in range(5):
            part = self.table.rotated_leaving(16, NOW + step)
            self.assertEqual(len(part), 16)
            reported |= set(part)
        self.assertEqual(len(reported), 40)

    def test_leaving_upstreams_are_never_a_last_resort(self) -> None:
        for name in "abc":
            self.table.mark_leaving(life_of(name, None))
        self.assertEqual(self.usable_ids(), set())

    def test_a_removed_upstream_may_return(self) -> None:
        self.table.apply_list([listed("b")], ["a", "c"])
        self.assertEqual(self.usable_ids(), {"b"})
        self.table.apply_list([listed("a"), listed("b")], [])
        self.assertEqual(self.usable_ids(), {"a", "b"})

    def test_an_ejected_upstream_returns_after_a_probe(self) -> None:
        self.assertTrue(self.record_failure_of("a", NOW, certain=True))
        self.assertEqual(self.usable_ids(), {"b", "c"})
        self.assertEqual(self.usable_ids(NOW + 60), {"b", "c"})
        self.table.by_id["a"].record_probe_passed()
        self.assertEqual(self.usable_ids(NOW + 60), {"a", "b", "c"})

    def test_an_upstream_with_half_of_its_requests_failing_is_avoided_for_a_while(self) -> None:
        for step in range(20):
            self.record_failure_of("a", NOW + step * 0.1)
            self.table.by_id["a"].record_success(NOW + step * 0.1 + 0.05)
        after = NOW + 2.0
        self.assertGreater(self.table.by_id["a"].failure_rate.current(after), 0.4)
        self.assertEqual(self.usable_ids(after), {"b", "c"})
        self.assertEqual(self.usable_ids(after + 10), {"a", "b", "c"})

    def test_an_upstream_with_rare_failures_stays_usable(self) -> None:
        for step in range(70):
            if step % 7:
                self.table.by_id["a"].record_success(NOW + step * 0.1)
            else:
                self.record_failure_of("a", NOW + step * 0.1)
        self.assertIn("a", self.usable_ids(NOW + 7.0))

    def test_health_is_ignored_when_all_upstreams_look_unhealthy(self) -> None:
        for name in "abc":
            self.record_failure_of(name, NOW, certain=True)
        self.assertEqual(self.usable_ids(), {"a", "b", "c"})

    def test_a_silent_data_center_is_avoided_until_an_upstream_of_it_is_seen(self) -> None:
        self.table.silent_data_centers = frozenset(("south",))
        self.assertEqual(self.usable_ids(), {"a", "b"})
        self.table.by_id["c"].last_seen_at = NOW - 0.1
        self.assertEqual(self.usable_ids(), {"a", "b", "c"})

    def test_work_of_peers_expires(self) -> None:
        other = UpstreamTable("south")
        other.apply_list([listed("a")], [])
        other.by_id["a"].work_by_key[1] = stream_work(NOW - 0.5, prefill_seconds=2.0)
        other.by_id["a"].work_by_key[2] = stream_work(NOW - 0.5, first=True)
        reported = other.by_id["a"].digest(NOW)
        assert reported is not None
        self.table.update_peer_work("peer", [reported], NOW, NOW + PEER_LOAD_SECONDS)
        state = self.table.by_id["a"]
        self.assertEqual(state.in_flight(NOW), 2)
        self.assertEqual(state.light_in_flight(NOW), 2)
        load = state.load(NOW)
        self.assertAlmostEqual(load.prefill_seconds, 1.5, delta=0.01)
        self.assertEqual(load.tokens, 10_000)
        self.assertEqual(load.decode_streams[0].count, 1)
        self.assertEqual(state.in_flight(NOW + PEER_LOAD_SECONDS), 0)
        self.table.update_peer_work("peer", [], NOW, NOW + PEER_LOAD_SECONDS)
        self.assertEqual(state.in_flight(NOW), 0)

    def test_prefills_run_one_after_another(self) -> None:
        prefills = [Prefill(NOW, 1.0, 3.0, 1.0, 1, 1), Prefill(NOW + 0.1, 1.0, 3.0, 1.0, 2, 1)]
        self.assertAlmostEqual(prefills_end(prefills), NOW + 2.0)
        state = self.table.by_id["a"]
        state.work_by_key[1] = stream_work(NOW, prefill_seconds=1.0)
        state.work_by_key[2] = stream_work(NOW, prefill_seconds=1.0)
        state.record_prefill_end(1, NOW + 1.2)
        self.assertAlmostEqual(state.load(NOW + 1.2).prefill_seconds, 1.0)


if __name__ == "__main__":
    unittest.main()
