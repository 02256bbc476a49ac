"""Upstream notices at eight instances in simulated time: outages, rests, partitions, restarts.

The tables, standings and digests of leaving upstreams are those of the product; upstreams, store
and faults are random.
"""

import os
import random
import unittest
from dataclasses import dataclass, field, replace

from hypothesis import given
from hypothesis import strategies as st

from pondpin.metrics import Metrics
from pondpin.notices import Notice
from pondpin.relay.log import EventLog
from pondpin.relay.model import ListedUpstream, ResponseHead
from pondpin.relay.peers.digest_builder import MAX_DIGEST_LEAVING
from pondpin.relay.upstreams.notice_handler import REQUEST, NoticeHandler, SentRequest
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.standins.wishes import Wishes
from pondpin.tests.support import FakeClock

INSTANCES = 8
UPSTREAMS = 10
STEP_SECONDS = 0.05
STEPS = 400
SERVICE = "engines"
READ_STEPS = 10
DIGEST_STEPS = 4
FIRST_BORN = 1_700_000_000_000


@dataclass
class Life:
    """One life of an upstream and its actual state."""

    listed: ListedUpstream
    says_leaving: bool = False
    rest: float = 0.0
    is_listed: bool = True
    wishes: Wishes = field(default_factory=Wishes)


class Instance:
    """The state of one instance, which a restart clears."""

    def __init__(self, name: str, clock: FakeClock, log: EventLog) -> None:
        self.name, self.clock, self.log = name, clock, log
        self.starts = 0
        self.is_partitioned = False
        self.start()

    def start(self) -> None:
        self.starts += 1
        self.table = UpstreamTable("north")
        metrics = Metrics(self.name, "north")
        self.notice_handler = NoticeHandler(
            self.table, lambda: None, lambda: None, metrics, self.log, self.clock
        )

    @property
    def sender(self) -> str:
        return f"{self.name}/{self.starts}"


class Simulation:
    """Simulates random events, and records the requests that reach each life."""

    def __init__(self, seed: int, names_start: bool) -> None:
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        log = EventLog("x", self.clock, self.clock, os.open(os.devnull, os.O_WRONLY))
        self.instances = [Instance(f"relay-{n}", self.clock, log) for n in range(INSTANCES)]
        self.names_start = names_start
        self.number = 0
        self.lives = [self.new_life(f"e{n}") for n in range(UPSTREAMS)]
        self.ended: list[Life] = []
        self.is_store_down = False
        self.sent_count = 0

    def new_life(self, name: str) -> Life:
        self.number += 1
        born = FIRST_BORN + self.number if self.names_start else None
        name = name if self.names_start else f"{name.partition('.')[0]}.{self.number}"
        port = 8000 + self.number
        return Life(ListedUpstream(name, SERVICE, "10.0.0.1", port, "north", 8, False, born))

    def step(self, number: int) -> None:
        self.clock.advance(STEP_SECONDS)
        self.apply_random_event()
        for index, instance in enumerate(self.instances):
            if (number + index) % READ_STEPS == 0 and not self.is_store_down:
                self.read_list(instance)
            self.send(instance)
        if number % DIGEST_STEPS == 0:
            self.send_digests()

    def apply_random_event(self) -> None:
        rng = self.rng
        life = rng.choice(self.lives)
        draw = rng.random()
        if draw < 0.02 and sum(item.says_leaving for item in self.lives) < UPSTREAMS // 2:
            life.says_leaving = True
        elif draw < 0.06:
            life.rest = rng.choice((0.0, 0.3, 1.0, 3.0))
        elif draw < 0.08:
            life.rest = 0.0
        elif draw < 0.10:
            life.is_listed = not life.is_listed
        elif draw < 0.12:
            moved = replace(life.listed, port=life.listed.port + 500)
            life.listed = moved
        elif draw < 0.13 and life.says_leaving:
            self.ended.append(life)
            self.lives[self.lives.index(life)] = self.new_life(life.listed.id)
        elif draw < 0.14:
            self.is_store_down = not self.is_store_down
        elif draw < 0.15:
            rng.choice(self.instances).is_partitioned ^= True
        elif draw < 0.155:
            rng.choice(self.instances).start()

    def read_list(self, instance: Instance) -> None:
        if instance.is_partitioned:
            return
        listed = [life.listed for life in self.lives if life.is_listed]
        present = {item.id for item in listed}
        missing = [name for name in instance.table.by_id if name not in present]
        instance.table.apply_list(listed, missing, self.clock())

    def send_digests(self) -> None:
        now = self.clock()
        digests = [
            instance.table.rotated_leaving(MAX_DIGEST_LEAVING, now)
            for instance in self.instances
            if not instance.is_partitioned
        ]
        for instance in self.instances:
            if not instance.is_partitioned:
                for lives in digests:
                    for life in lives:
                        instance.table.mark_leaving(life, "peer", now)

    def send(self, instance: Instance) -> None:
        now = self.clock()
        usable = instance.table.candidates(SERVICE, now, frozenset())
        if not usable:
            return
        state = self.rng.choice(usable)
        life = next((item for item in self.lives if item.listed.life == state.life), None)
        if life is None:
            # The process has ended, so the connection is refused.
            return
        self.sent_count += 1
        life.wishes.note(instance.sender, now, life.says_leaving, life.rest)
        notice = Notice(life.says_leaving, life.rest)
        status = 503 if life.rest else 200
        head = ResponseHead(status, "a", bool(life.rest), None, False, True, None, "", notice, ())
        instance.notice_handler.handle_head(SentRequest(state.id, state.life, REQUEST, now), head)
        if not life.rest:
            state.availability.record_accepted(now)

    def all_wishes(self) -> list[Wishes]:
        return [life.wishes for life in (*self.lives, *self.ended)]


class FleetTest(unittest.TestCase):
    @given(st.integers(0, 1 << 30), st.booleans())
    def test_no_instance_sends_to_leaving_or_resting_upstreams(
        self, seed: int, names_start: bool
    ) -> None:
        simulation = Simulation(seed, names_start)
        for number in range(STEPS):
            simulation.step(number)
        self.assertGreater(simulation.sent_count, 0)
        for wishes in simulation.all_wishes():
            # Requests have no transit time here, so none may arrive late.
            self.assertEqual(wishes.late(0.0), 0)
            self.assertEqual(sum(wishes.in_rests()), 0)

    def test_checks_count_requests_after_leaving_and_in_rests(self) -> None:
        wishes = Wishes()
        wishes.note("a", 0.0, True)
        wishes.note("a", 2.5, True)
        wishes.note("b", 2.5, True)
        self.assertEqual(wishes.late(2.0), 1)
        rests = Wishes()
        for at in (0.0, 0.4, 0.6, 1.0, 2.9, 3.1):
            rests.note("a", at, False, 3.0 if at == 0.0 else 0.0)
        self.assertEqual(rests.in_rests(), [3])


if __name__ == "__main__":
    unittest.main()
