"""Simulated load on the planners of several data centres with modelled engines."""

import heapq
import itertools
import random
import unittest

from pondpin.relay.call import Progress
from pondpin.relay.choosing.planner import Plan, Planner
from pondpin.relay.model import ListedUpstream
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.tests.test_relay_planner import PROFILE, make_call

DATA_CENTERS = tuple(f"c{number}" for number in range(5))
ENGINES_PER_DATA_CENTER = 3
START = 1000.0
SECONDS = 60.0
# Arrivals over all data centres and mean duration of a stream: under half of the slots are used.
STREAMS_PER_SECOND = 30.0
STREAM_SECONDS = 1.6
REPORT_SECONDS = 0.4


class Simulation:
    """Five data centres with three engines each, and one planner per data centre.

    A planner knows the work of its own data centre, and of the others the aggregate load reports.
    """

    def __init__(self, seed: int) -> None:
        self.now = START
        self.rng = random.Random(seed)
        listed = [
            ListedUpstream(
                f"{data_center}-{n}", "engines", "10.0.0.1", n, data_center, PROFILE.slots, False
            )
            for data_center in DATA_CENTERS
            for n in range(ENGINES_PER_DATA_CENTER)
        ]
        self.tables = {data_center: UpstreamTable(data_center) for data_center in DATA_CENTERS}
        for table in self.tables.values():
            table.apply_list(listed, [])
            table.all_peers_report_work = False
        self.planners = {
            data_center: Planner(table, lambda: self.now, random.Random(seed), lambda: None)
            for data_center, table in self.tables.items()
        }
        self.open_by_engine = {item.id: 0 for item in listed}
        self.active: list[tuple[float, int, int, str, Plan]] = []
        self.sequence = itertools.count()
        self.placed_by_engine = {item.id: 0 for item in listed}
        self.placed_on_full = 0

    def run(self) -> None:
        """Let streams arrive for SECONDS."""
        reported_at = START
        while self.now < START + SECONDS:
            self.now += self.rng.expovariate(STREAMS_PER_SECOND)
            while self.active and self.active[0][0] <= self.now:
                _, _, key, data_center, plan = heapq.heappop(self.active)
                self.planners[data_center].end_attempt(plan, key)
                self.open_by_engine[plan.lead.id] -= 1
            if self.now - reported_at > REPORT_SECONDS:
                reported_at = self.now
                self.report()
            self.place(self.rng.choice(DATA_CENTERS))

    def report(self) -> None:
        """Send the load of each data centre to all others."""
        for receiver, table in self.tables.items():
            for data_center in DATA_CENTERS:
                if data_center != receiver:
                    loads = self.tables[data_center].own_data_center_loads(self.now)
                    table.data_center_loads.update(data_center, loads, self.now)

    def place(self, data_center: str) -> None:
        """Place a stream that arrives in a data centre."""
        planner, call = self.planners[data_center], make_call(5000)
        plan = planner.plan(call, Progress(), frozenset())
        assert plan is not None
        key = planner.begin_attempt(call, Progress(), plan)
        planner.record_first_event(plan, key)
        name = plan.lead.id
        self.placed_on_full += self.open_by_engine[name] >= PROFILE.slots
        self.open_by_engine[name] += 1
        self.placed_by_engine[name] += 1
        end = self.now + STREAM_SECONDS * self.rng.uniform(0.7, 1.3)
        heapq.heappush(self.active, (end, next(self.sequence), key, data_center, plan))


class FewEnginesPerDataCenterTest(unittest.TestCase):
    def test_short_streams_find_free_slots(self) -> None:
        # With one common pool, sized by the fifth of its streams that an instance knows, 89 to 91 %
        # of the streams were placed on a full engine although 40 % of the slots were in use.
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                simulation.run()
                placed = sum(simulation.placed_by_engine.values())
                self.assertGreater(placed, 1000)
                self.assertLessEqual(simulation.placed_on_full / placed, 0.01)


if __name__ == "__main__":
    unittest.main()
