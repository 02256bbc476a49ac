"""Tests of the planner: connection shares, light prompts, local and remote engines."""

import random
import unittest
from dataclasses import replace
from typing import Any

from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.planner import (
    MIN_CONNECTIONS,
    MIN_LOCAL_ENGINES,
    Plan,
    Planner,
    connection_share,
)
from pondpin.relay.model import (
    EngineProfile,
    ListedUpstream,
    RelayConfiguration,
    RequestMetadata,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)
from pondpin.relay.upstreams.data_center_loads import DataCenterLoad
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.relay.upstreams.work import Work

NOW = 1000.0
PROFILE = EngineProfile(8, 450_000, 46, 0.000925, 5e-6, 2.5e-6, 256_000.0, 9.17e-11, 2048, 0.0001)


def make_call(prompt_tokens: int, target: float = 0.3, gap_target: float = 0.2) -> RelayCall:
    """Build an admitted stream."""
    shares = (ServiceShare("engines", 1.0),)
    route = Route(
        "r", "h", "/", RouteKind.STREAM, 10.0, target, 1, shares, 2, False, True, gap_target
    )
    configuration = RelayConfiguration(
        1, {}, {"engines": Service("engines", "/healthz", 64, PROFILE)}, {}
    )
    nothing: Any = None
    return RelayCall(
        incoming=nothing,
        reply=nothing,
        metadata=RequestMetadata("a1", "h", "", 10.0, prompt_tokens, 800, ""),
        route=route,
        service="engines",
        account="",
        rank=1,
        configuration=configuration,
        arrived_at=NOW,
        deadline=NOW + 10.0,
    )


class ConnectionShareTest(unittest.TestCase):
    def test_instances_share_the_connection_limit(self) -> None:
        self.assertEqual(connection_share(100, 9), 10)
        self.assertEqual(connection_share(100, 80), MIN_CONNECTIONS)

    def test_an_upstream_at_its_share_gets_no_further_request(self) -> None:
        table = UpstreamTable("north")
        listed = ListedUpstream("e0", "engines", "10.0.0.1", 80, "north", 8, False)
        table.apply_list([listed], [])
        planner = Planner(
            table, lambda: NOW, random.Random(1), lambda: None, instance_count=lambda: 64
        )
        call = make_call(2000)
        for _ in range(MIN_CONNECTIONS):
            plan = planner.plan(call, Progress(), frozenset())
            assert plan is not None
            planner.begin_attempt(call, Progress(), plan)
        self.assertIsNone(planner.plan(call, Progress(), frozenset()))


class LightPromptTest(unittest.TestCase):
    def test_a_prompt_that_would_break_the_strictest_gap_target_is_not_light(self) -> None:
        table = UpstreamTable("north")
        listed = [
            ListedUpstream(f"e{n}", "engines", "10.0.0.1", 80 + n, "north", 8, False)
            for n in range(9)
        ]
        table.apply_list(listed, [])
        planner = Planner(table, lambda: NOW, random.Random(1), lambda: None)
        alone = planner.plan(make_call(40_000, 1.5, 0.6), Progress(), frozenset())
        assert alone is not None
        self.assertFalse(alone.is_long)
        beside = make_call(40_000, 1.5, 0.6)
        strict = make_call(5000).route
        configuration = replace(beside.configuration, routes_by_host={"h": (strict,)})
        beside = replace(beside, configuration=configuration)
        plan = planner.plan(beside, Progress(), frozenset())
        assert plan is not None
        self.assertTrue(plan.is_long)
        assert plan.choice is not None
        pool = table.of_service("engines")[: plan.choice.pool_size]
        self.assertNotIn(plan.lead, pool)


class LocalEnginesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = UpstreamTable("north")
        self.planner = Planner(self.table, lambda: NOW, random.Random(1), lambda: None)

    def fill(self, local: int, remote: int) -> None:
        data_centers = ["north"] * local + ["south"] * remote
        self.table.apply_list(
            [
                ListedUpstream(f"e{index}", "engines", "10.0.0.1", index, data_center, 8, False)
                for index, data_center in enumerate(data_centers)
            ],
            [],
        )

    def plan(self, call: RelayCall) -> Plan:
        plan = self.planner.plan(call, Progress(), frozenset())
        assert plan is not None
        return plan

    def used_data_centers(self, plan: Plan) -> set[str]:
        return {state.listed.data_center for state in (plan.lead, *plan.helpers)}

    def load_local_engines(self) -> None:
        """Put a long prefill on each local engine."""
        for state in self.table.by_id.values():
            if state.listed.data_center == "north":
                state.work_by_key[-1] = Work(30.0, NOW, 9000, 0.3, 0.2, 50.0, False, True)

    def test_a_large_fleet_prefills_a_long_prompt_on_local_engines(self) -> None:
        self.fill(MIN_LOCAL_ENGINES, 20)
        self.table.all_peers_report_work = False
        for _ in range(20):
            plan = self.plan(make_call(250_000, target=3.0, gap_target=0.8))
            self.assertEqual(self.used_data_centers(plan), {"north"})

    def test_remote_engines_are_used_when_local_ones_would_be_late(self) -> None:
        self.fill(MIN_LOCAL_ENGINES, 20)
        self.table.all_peers_report_work = False
        self.load_local_engines()
        self.assertEqual(self.used_data_centers(self.plan(make_call(2000))), {"south"})

    def test_a_light_stream_spills_from_a_full_to_an_idle_data_center(self) -> None:
        self.fill(MIN_LOCAL_ENGINES, 20)
        self.table.all_peers_report_work = False
        for state in self.table.by_id.values():
            if state.listed.data_center == "north":
                for key in range(PROFILE.slots - 1):
                    state.work_by_key[key] = Work(0.0, NOW, 1, 0.3, 0.2, 1.0, True, True)
                    state.work_by_key[key].has_first_event = True
        self.assertEqual(self.used_data_centers(self.plan(make_call(2000))), {"north"})
        self.table.data_center_loads.update("south", [DataCenterLoad("engines", 20, 90, 90)], NOW)
        self.assertEqual(self.used_data_centers(self.plan(make_call(2000))), {"south"})
        self.table.data_center_loads.update("south", [DataCenterLoad("engines", 20, 140, 140)], NOW)
        self.assertEqual(self.used_data_centers(self.plan(make_call(2000))), {"north"})

    def test_a_long_prompt_uses_remote_engines_when_few_are_local(self) -> None:
        self.fill(3, 20)
        self.table.all_peers_report_work = False
        plan = self.plan(make_call(250_000, target=3.0, gap_target=0.8))
        self.assertIn("south", self.used_data_centers(plan))

    def test_a_light_stream_uses_few_local_engines_until_they_are_full(self) -> None:
        self.fill(3, 20)
        self.table.all_peers_report_work = False
        self.table.data_center_loads.update("south", [DataCenterLoad("engines", 20, 20, 20)], NOW)
        for _ in range(3 * (PROFILE.slots - 2)):
            call = make_call(2000)
            plan = self.plan(call)
            self.assertEqual(self.used_data_centers(plan), {"north"})
            self.planner.begin_attempt(call, Progress(), plan)
        for state in self.table.by_id.values():
            if state.listed.data_center == "north":
                for key in range(-PROFILE.slots, 0):
                    state.work_by_key[key] = Work(0.0, NOW, 1, 0.3, 0.2, 1.0, True, True)
        self.assertEqual(self.used_data_centers(self.plan(make_call(2000))), {"south"})

    def test_a_data_center_without_engines_uses_remote_ones(self) -> None:
        self.fill(0, 20)
        self.table.all_peers_report_work = False
        self.assertEqual(self.used_data_centers(self.plan(make_call(2000))), {"south"})

    def test_a_long_prompt_avoids_the_light_pools_of_all_data_centers(self) -> None:
        self.fill(6, 6)
        self.table.all_peers_report_work = False
        self.table.data_center_loads.update("south", [DataCenterLoad("engines", 6, 8, 8)], NOW)
        first: dict[str, str] = {}
        for state in self.table.of_service("engines"):
            first.setdefault(state.listed.data_center, state.id)
        plan = self.plan(make_call(250_000, target=3.0, gap_target=0.8))
        used = {state.id for state in (plan.lead, *plan.helpers)}
        self.assertLess(len(used), 11)
        self.assertEqual(used & set(first.values()), set())

    def test_a_small_fleet_uses_all_engines(self) -> None:
        self.fill(MIN_LOCAL_ENGINES, 20)
        seen = [self.used_data_centers(self.plan(make_call(2000))) for _ in range(40)]
        self.assertIn({"south"}, seen)


if __name__ == "__main__":
    unittest.main()
