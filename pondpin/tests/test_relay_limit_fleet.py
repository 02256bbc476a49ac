"""Limits kept by many instances in simulated time: homes, permits, words, cuts, restarts.

Digests, news of limits, homes and permits are the product's and travel as its datagrams do; the
upstreams and their callers are drawn. What is checked is what the upstreams see, of all instances.
"""

import asyncio
import random
import unittest
from dataclasses import dataclass, field
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from pondpin.pacer import Pacer, Permit
from pondpin.relay.model import ListedUpstream
from pondpin.relay.peers.gossip import Gossip
from pondpin.relay.peers.permit_broker import ANSWER_TIMEOUT_SECONDS, NoPermit, PermitBroker
from pondpin.relay.peers.permit_issuer import Membership, owner_of
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.standins.limits_kept import AIM, most_over
from pondpin.standins.wishes import Wishes
from pondpin.tools.gossip_fleet import DELAY_SECONDS, GossipFleet
from pondpin.upstream_limits import LimitReport, apply_limit

SERVICE = "plain"
CENTERS = 3
UPSTREAMS = 3
PLAYED_SECONDS = 12.0
WAIT_SECONDS = 0.15
HEARD_SECONDS = 2.0


@dataclass
class Upstream:
    """One upstream as it is: the limit that it names, None for none, and what came."""

    listed: ListedUpstream
    limit: float | None = None
    wishes: Wishes = field(default_factory=Wishes)


class Fleet:
    """Instances that know one another, before a few upstreams."""

    def __init__(self, instances: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.gossip = GossipFleet(CENTERS, instances, seed)
        self.upstreams = [
            Upstream(ListedUpstream(f"u{n}", SERVICE, "10.9.0.1", 80 + n, f"c{n}", 8, False))
            for n in range(UPSTREAMS)
        ]
        for member in self.gossip.members:
            self.list_all(member)
        self.gossip.play(HEARD_SECONDS)

    @property
    def now(self) -> float:
        return self.gossip.now

    def list_all(self, member: Gossip) -> None:
        member.table.apply_list([item.listed for item in self.upstreams], [])

    def state(self, member: Gossip, upstream: Upstream) -> UpstreamState:
        return member.table.by_id[upstream.listed.id]

    def ask(self, member: Gossip) -> None:
        """A request arrives at an instance: it goes by a permit, or where no limit is known."""
        free = [item for item in self.upstreams if not self.state(member, item).is_limited]
        desk = member.limits.issuer
        for upstream in self.upstreams if free else ():
            state = self.state(member, upstream)
            if state.is_limited and desk.use_spare(state):
                self.send(member, upstream, self.now)
                return
        if free:
            self.send(member, self.rng.choice(free), self.now)
            return
        permit = self.permit(member)
        if permit is not None:
            found = next(item for item in self.upstreams if item.listed.life == permit.life)
            self.send(member, found, permit.valid_from)

    def permit(self, member: Gossip) -> Permit | None:
        """What `Permits.take` does, with datagrams that arrive in simulated time."""
        return drive(self, member.limits.permits)

    def send(self, member: Gossip, upstream: Upstream, at: float) -> None:
        """A request reaches its upstream, and its answer names the limit."""
        upstream.wishes.note(member.instance, at, False, 0.0, upstream.limit)
        standings = member.table.standings
        if upstream.limit is None and not standings.any_limit_reported:
            return
        word = LimitReport(upstream.limit, self.now, self.now, "its answer")
        if apply_limit(standings, upstream.listed.life, word, self.now):
            member.limits.sync.broadcast(upstream.listed.life, self.now)

    def load(self, seconds: float, rate: float, members: list[Gossip]) -> None:
        """Requests for a while, at instances by chance."""
        end = self.now + seconds
        while True:
            at = self.now + self.rng.expovariate(rate)
            if at >= end:
                break
            self.gossip.play(at - self.now)
            self.ask(self.rng.choice(members))
        self.gossip.play(max(0.0, end - self.now))

    def worst(self) -> float:
        return max(most_over(item.wishes, AIM) for item in self.upstreams)


def drive(fleet: Fleet, permits: PermitBroker) -> Permit | None:
    """Let a wish for a permit be answered: the fleet's time goes on while it waits."""

    async def take() -> Permit | NoPermit:
        taking = asyncio.ensure_future(permits.acquire(SERVICE, frozenset(), WAIT_SECONDS))
        waited = 0.0
        while not taking.done():
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            if not taking.done():
                fleet.gossip.play(DELAY_SECONDS)
                waited += DELAY_SECONDS
                if waited > ANSWER_TIMEOUT_SECONDS:
                    # Nobody answers: the loop's own time-out is not the fleet's.
                    for answer in list(permits._pending.values()):
                        answer.set_exception(TimeoutError())
        return taking.result()

    loop = asyncio.new_event_loop()
    try:
        found = loop.run_until_complete(take())
    finally:
        loop.close()
    return found if isinstance(found, Permit) else None


class SumTest(unittest.TestCase):
    """What the upstreams see of all instances together."""

    def test_it_is_kept_at_any_size_limit_and_spread_of_callers(self) -> None:
        for instances in (1, 3, 8, 30):
            for limit in (0.1, 0.5, 1.0, 6.0, 50.0):
                for spread in (instances, 1):
                    with self.subTest(instances=instances, limit=limit, spread=spread):
                        fleet = Fleet(instances, seed=1)
                        for upstream in fleet.upstreams:
                            upstream.limit = limit
                        rate = max(3.0, 1.5 * UPSTREAMS * limit)
                        fleet.load(PLAYED_SECONDS, rate, fleet.gossip.members[:spread])
                        self.assertLessEqual(fleet.worst(), 0.0)

    def test_it_is_kept_by_195_instances(self) -> None:
        fleet = Fleet(195, seed=1)
        for upstream in fleet.upstreams:
            upstream.limit = 1.0
        fleet.gossip.play(10.0)
        fleet.load(8.0, 12.0, fleet.gossip.members)
        self.assertLessEqual(fleet.worst(), 0.0)

    def test_what_limits_allow_is_used(self) -> None:
        # The aim: 0.85 of what they take where all are limited and more is asked.
        for instances, spread in ((8, 8), (8, 1), (30, 30)):
            fleet = Fleet(instances, seed=2)
            for upstream in fleet.upstreams:
                upstream.limit = 6.0
            fleet.load(4.0, 30.0, fleet.gossip.members[:spread])
            began = fleet.now
            fleet.load(8.0, 30.0, fleet.gossip.members[:spread])
            came = sum(
                item.at > began for upstream in fleet.upstreams for item in upstream.wishes.arrivals
            )
            self.assertGreaterEqual(came / (8.0 * UPSTREAMS * 6.0), 0.85)

    def test_a_lower_limit_is_kept_and_a_lifted_one_is_over(self) -> None:
        fleet = Fleet(8, seed=3)
        for upstream in fleet.upstreams:
            upstream.limit = 6.0
        fleet.load(6.0, 30.0, fleet.gossip.members)
        for upstream in fleet.upstreams:
            upstream.limit = 3.0
        fleet.load(6.0, 30.0, fleet.gossip.members)
        self.assertLessEqual(fleet.worst(), 0.0)
        for upstream in fleet.upstreams:
            upstream.limit = None
        fleet.load(4.0, 30.0, fleet.gossip.members)
        for member in fleet.gossip.members:
            for upstream in fleet.upstreams:
                self.assertFalse(fleet.state(member, upstream).is_limited)

    def test_a_cut_off_data_center_gets_no_permits_of_others(self) -> None:
        fleet = Fleet(9, seed=4)
        for upstream in fleet.upstreams:
            upstream.limit = 6.0
        fleet.load(4.0, 30.0, fleet.gossip.members)
        fleet.gossip.cut = {"c0"}
        fleet.load(3.0, 30.0, fleet.gossip.members)
        for upstream in fleet.upstreams:
            upstream.wishes.arrivals.clear()
        fleet.load(8.0, 60.0, fleet.gossip.members)
        members = {member.instance: member for member in fleet.gossip.members}
        for upstream in fleet.upstreams:
            is_out = upstream.listed.data_center == "c0"
            senders = {members[item.sender].table.data_center for item in upstream.wishes.arrivals}
            self.assertEqual(senders <= {"c0"} if is_out else "c0" not in senders, True)
        self.assertLessEqual(fleet.worst(), 0.0)

    def test_an_instance_that_starts_hears_of_limits_before_it_sends(self) -> None:
        fleet = Fleet(8, seed=5)
        for upstream in fleet.upstreams:
            upstream.limit = 1.0
        fleet.load(4.0, 12.0, fleet.gossip.members)
        started = fleet.gossip.join()
        fleet.list_all(started)
        fleet.gossip.play(0.5)
        for upstream in fleet.upstreams:
            self.assertTrue(fleet.state(started, upstream).is_limited)

    @settings(max_examples=12)
    @given(st.integers(0, 1 << 30), st.sampled_from((0.5, 1.0, 6.0)))
    def test_it_is_kept_while_instances_stop_start_and_are_cut_off(
        self, seed: int, limit: float
    ) -> None:
        fleet = Fleet(8, seed)
        for upstream in fleet.upstreams:
            upstream.limit = limit
        members = list(fleet.gossip.members)
        rate = max(6.0, 1.5 * UPSTREAMS * limit)
        for _ in range(6):
            self.disturb(fleet, members)
            fleet.load(2.0, rate, members)
        self.assertLessEqual(fleet.worst(), 0.0)

    def disturb(self, fleet: Fleet, members: list[Gossip]) -> None:
        draw = fleet.rng.random()
        if draw < 0.4:
            fleet.gossip.cut = {f"c{fleet.rng.randrange(CENTERS)}"}
        elif draw < 0.6:
            fleet.gossip.cut = set()
        elif draw < 0.8:
            fleet.rng.choice(members).is_stopping ^= True
        else:
            started = fleet.gossip.join()
            fleet.list_all(started)
            # It serves once it has heard a digest: see the quarantine's wait at a start.
            fleet.gossip.play(0.5)
            members.append(started)


class RefusalTest(unittest.TestCase):
    """When a refused caller is told to come back."""

    def test_a_home_that_gave_no_answer_is_no_permit_at_once(self) -> None:
        fleet = Fleet(8, seed=7)
        for upstream in fleet.upstreams:
            upstream.limit = 0.5
        fleet.load(4.0, 6.0, fleet.gossip.members)
        member = fleet.gossip.members[0]
        permits = member.limits.permits
        states = permits.issuer.limited_upstreams(SERVICE, ())
        # Each of the others is silent.
        with mock.patch.object(permits, "write"):
            self.assertIsNone(fleet.permit(member))
        others = [state for state in states if not permits.issuer.is_owner(state)]
        self.assertTrue(others)
        self.assertGreater(permits.retry_after(others, SERVICE), 0.2)


class HomeTest(unittest.TestCase):
    def test_few_lives_move_when_an_instance_comes(self) -> None:
        names = {f"i{n}": f"10.0.0.{n}" for n in range(8)}
        before = Membership(names, 8, 8)
        after = Membership(names | {"i8": "10.0.0.8"}, 9, 9)
        moved = [
            life
            for life in range(500)
            if owner_of(life, before).instance != owner_of(life, after).instance
        ]
        self.assertTrue(all(owner_of(life, after).instance == "i8" for life in moved))
        self.assertLess(len(moved), 500 / 9 * 1.5)

    def test_silent_ones_keep_their_part(self) -> None:
        home = owner_of(7, Membership({"a": "1", "b": "2"}, live_count=2, known_count=3))
        self.assertAlmostEqual(home.share, 2 / 3)
        self.assertEqual(owner_of(7, Membership({}, 0, 2)).host, "")

    def test_one_that_stops_is_no_home(self) -> None:
        fleet = Fleet(8, seed=6)
        for upstream in fleet.upstreams:
            upstream.limit = 1.0
        fleet.load(3.0, 12.0, fleet.gossip.members)
        state = fleet.state(fleet.gossip.members[0], fleet.upstreams[0])
        home = fleet.gossip.members[0].limits.issuer.owner(state).instance
        stopping = next(item for item in fleet.gossip.members if item.instance == home)
        stopping.is_stopping = True
        fleet.gossip.play(1.0)
        for member in fleet.gossip.members:
            found = member.limits.issuer.owner(fleet.state(member, fleet.upstreams[0]))
            self.assertNotEqual(found.instance, home)
            # It is heard and sends on: nobody's part grows or falls by it.
            self.assertEqual(found.share, 1.0)


class PaceTest(unittest.TestCase):
    @given(
        st.floats(0.1, 50),
        st.lists(st.floats(0, 2), min_size=1, max_size=80),
    )
    def test_any_window_holds_what_the_rate_allows_and_one(
        self, rate: float, gaps: list[float]
    ) -> None:
        now, pace, taken = 0.0, Pacer.begin(rate, 0.0), []
        for gap in gaps:
            now += gap
            if pace.available_at(now) <= now:
                pace.issue(rate, now)
                taken.append(now)
        for begin in taken:
            inside = [at for at in taken if begin <= at < begin + 4.0]
            self.assertLessEqual(len(inside), 4.125 * rate + 1 + 1e-6)

    def test_one_that_is_given_back_is_there_again(self) -> None:
        pace = Pacer.begin(1.0, 0.0)
        pace.issue(1.0, 1.0)
        self.assertGreater(pace.available_at(1.0), 1.0)
        pace.release(1.0)
        self.assertEqual(pace.available_at(1.0), 1.0)

    def test_a_new_limit_goes_behind_what_was_handed_out_ahead(self) -> None:
        earlier = Pacer.begin(6.0, 0.0)
        for _ in range(6):
            earlier.issue(6.0, earlier.due)
        later = Pacer.begin(3.0, 0.0)
        later.inherit(earlier, 6.0, 3.0, 0.0)
        self.assertAlmostEqual(later.due, 7 / 3)


if __name__ == "__main__":
    unittest.main()
