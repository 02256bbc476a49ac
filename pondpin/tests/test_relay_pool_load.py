"""Loads played on the decision code alone, on a model of engines: what callers get."""

import heapq
import itertools
import random
import unittest

from pondpin.relay.call import Progress
from pondpin.relay.choosing.planner import Plan, Planner
from pondpin.relay.model import ListedUpstream
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.tests.test_relay_planner import PROFILE, make_call

CENTERS = tuple(f"c{number}" for number in range(5))
ENGINES_EACH = 3
START = 1000.0
SECONDS = 60.0
# Short streams that arrive in all, and how long one is written: under half of the places are taken.
STREAMS_PER_SECOND = 30.0
STREAM_SECONDS = 1.6
TOLD_SECONDS = 0.4


class Rig:
    """Five data centres with three engines each; the instances of one know of each other's work.

    Of the others they know what is told: the loads of each data centre as a whole.
    """

    def __init__(self, seed: int) -> None:
        self.now = START
        self.rng = random.Random(seed)
        listed = [
            ListedUpstream(f"{center}-{n}", "engines", "10.0.0.1", n, center, PROFILE.slots, False)
            for center in CENTERS
            for n in range(ENGINES_EACH)
        ]
        self.tables = {center: UpstreamTable(center) for center in CENTERS}
        for table in self.tables.values():
            table.apply_list(listed, [])
            table.all_peers_report_work = False
        self.planners = {
            center: Planner(table, lambda: self.now, random.Random(seed), lambda: None)
            for center, table in self.tables.items()
        }
        self.open_by_engine = {item.id: 0 for item in listed}
        self.ends: list[tuple[float, int, int, str, Plan]] = []
        self.numbers = itertools.count()
        self.placed_by_engine = {item.id: 0 for item in listed}
        self.found_full = 0

    def play(self) -> None:
        """Let streams arrive for a while."""
        told_at = START
        while self.now < START + SECONDS:
            self.now += self.rng.expovariate(STREAMS_PER_SECOND)
            while self.ends and self.ends[0][0] <= self.now:
                _, _, key, center, plan = heapq.heappop(self.ends)
                self.planners[center].end_attempt(plan, key)
                self.open_by_engine[plan.lead.id] -= 1
            if self.now - told_at > TOLD_SECONDS:
                told_at = self.now
                self.tell()
            self.place(self.rng.choice(CENTERS))

    def tell(self) -> None:
        """Every data centre hears how crowded the others are."""
        for there, table in self.tables.items():
            for center in CENTERS:
                if center != there:
                    loads = self.tables[center].own_data_center_loads(self.now)
                    table.data_center_loads.update(center, loads, self.now)

    def place(self, center: str) -> None:
        """One stream arrives at an instance of a data centre."""
        planner, call = self.planners[center], make_call(5000)
        plan = planner.plan(call, Progress(), frozenset())
        assert plan is not None
        key = planner.begin_attempt(call, Progress(), plan)
        planner.record_first_event(plan, key)
        name = plan.lead.id
        self.found_full += self.open_by_engine[name] >= PROFILE.slots
        self.open_by_engine[name] += 1
        self.placed_by_engine[name] += 1
        end = self.now + STREAM_SECONDS * self.rng.uniform(0.7, 1.3)
        heapq.heappush(self.ends, (end, next(self.numbers), key, center, plan))


class FewEnginesEachTest(unittest.TestCase):
    def test_short_streams_find_free_places(self) -> None:
        # With one pool for all, sized by the fifth of its streams that an instance knows, 89 to 91
        # in 100 found their engine full on these seeds, though 40 in 100 places were taken.
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                rig = Rig(seed)
                rig.play()
                placed = sum(rig.placed_by_engine.values())
                self.assertGreater(placed, 1000)
                self.assertLessEqual(rig.found_full / placed, 0.01)


if __name__ == "__main__":
    unittest.main()
