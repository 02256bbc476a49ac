"""Plays the admission of many instances under scarcity in simulated time.

Digests, messages about slots, plans and the acquiring of slots are those of the product; upstreams,
callers and connections are simulated. Used by tests and by `measure_slots --simulated`.
"""

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.metrics import Metrics
from pondpin.notices import EMPTY_NOTICE
from pondpin.relay.attempts.passive_health import shows_full
from pondpin.relay.attempts.slot_acquirer import SlotAcquirer
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.planner import Plan, Planner, RelayPolicy
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import ListedUpstream, Load, RequestMetadata, ResponseHead
from pondpin.relay.peers.gossip import Gossip
from pondpin.standins.local_platform import HOST, PLAIN
from pondpin.tools.gossip_fleet import GossipFleet

UPSTREAMS = 4
SLOTS = 2
QUEUE_PLACES = 4
RUN_SECONDS = 0.1
CAPACITY = UPSTREAMS * SLOTS / RUN_SECONDS
TARGET_SECONDS = 0.3
DEADLINE_SECONDS = 5.0
# Datagrams are delivered this often.
TICK_SECONDS = 0.001
# A started instance owns nothing for this long.
SETTLE_SECONDS = 0.5
MAX_ATTEMPTS = 2
OK, UNAVAILABLE = 200, 503


class Upstream:
    """An upstream that runs some calls at once, queues a few and turns others away."""

    def __init__(self, number: int, centers: int) -> None:
        center = f"c{number % centers}"
        self.listed = ListedUpstream(
            f"u{number}", PLAIN, "10.9.0.1", 80 + number, center, SLOTS, False
        )
        self.running = 0
        self.most_in_queue = 0
        self.waiting: deque[asyncio.Future[None]] = deque()

    @property
    def load(self) -> Load:
        """The load that its answers report."""
        return Load(self.running, len(self.waiting), SLOTS)

    async def run(self) -> tuple[bool, Load]:
        """Run a call; whether it was not turned away, and the load in the answer."""
        if self.running >= SLOTS:
            if len(self.waiting) >= QUEUE_PLACES:
                return False, self.load
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            self.most_in_queue = max(self.most_in_queue, len(self.waiting))
            await turn
        else:
            self.running += 1
        await asyncio.sleep(RUN_SECONDS)
        load = self.load
        if self.waiting:
            self.waiting.popleft().set_result(None)
        else:
            self.running -= 1
        return True, load


@dataclass(frozen=True, slots=True)
class Callers:
    """Callers of an account: requests a second, and the indices of the instances they call.

    returns: a refused one comes back once, as told, at any instance.
    """

    account: str
    rank: int
    rate: float
    instances: tuple[int, ...] = ()
    returns: bool = False


@dataclass(slots=True)
class SimulatedRequest:
    """A request and its end; times in seconds since it was sent."""

    callers: Callers
    at: float
    is_return: bool = False
    served: bool = False
    refused: bool = False
    took: float = 0.0
    retry_after: float = 0.0
    detail: str = ""
    returned: "SimulatedRequest | None" = None

    @property
    def in_time(self) -> bool:
        """Whether it was served within its target."""
        return self.served and self.took <= TARGET_SECONDS


@dataclass
class Requests:
    """Requests of a period of load.

    without_grant: those that went to a contended upstream without a decision of its owner.
    """

    all: list[SimulatedRequest] = field(default_factory=list)
    decision_waits: list[float] = field(default_factory=list)
    without_grant: int = 0
    turned_away: int = 0

    def share_in_time(self, account: str = "") -> float:
        """The share of an account's new requests that were served in time."""
        items = [
            item
            for item in self.all
            if account in ("", item.callers.account) and not item.is_return
        ]
        return sum(item.in_time for item in items) / max(1, len(items))

    def served_of(self, capacity: float, seconds: float) -> float:
        """What was served in time of a capacity in requests a second."""
        return sum(item.in_time for item in self.all) / (capacity * seconds)

    def admitted_in_time(self) -> float:
        """The share of the served requests that were in time."""
        served = [item for item in self.all if item.served]
        return sum(item.in_time for item in served) / max(1, len(served))

    def refusal_seconds(self) -> list[float]:
        """After how long refused callers were told."""
        return sorted(item.took for item in self.all if item.refused)

    def returned(self) -> list[SimulatedRequest]:
        """The requests of callers that came back."""
        return [item.returned for item in self.all if item.returned is not None]


class SlotFleet:
    """Instances with a few upstreams; runs on a loop of virtual time."""

    def __init__(
        self,
        instances: int,
        seed: int,
        without: frozenset[Mechanism] = frozenset(),
        centers: int = 2,
    ) -> None:
        self.rng = random.Random(seed)
        self.policy = RelayPolicy(without=without)
        self.gossip = GossipFleet(centers, instances, seed, without=without)
        self.upstreams = [Upstream(number, centers) for number in range(UPSTREAMS)]
        self.members = self.gossip.members
        self.requests = Requests()
        self._planner_by_instance: dict[str, Planner] = {}
        self._acquirer_by_instance: dict[str, SlotAcquirer] = {}
        for member in self.members:
            self._add(member)
        self.gossip.play(2.0)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._offset: float | None = None
        self._count = 0

    def _add(self, member: Gossip) -> None:
        member.table.apply_list([item.listed for item in self.upstreams], [])
        self._planner_by_instance[member.instance] = Planner(
            member.table, member.clock, member.rng, lambda: None, self.policy
        )

    def start_instance(self) -> Gossip:
        """Start an instance, which owns nothing at first."""
        member = self.gossip.join()
        self._add(member)
        settled_at = self.gossip.now + SETTLE_SECONDS
        member.is_settled = lambda: self.gossip.now >= settled_at
        return member

    def live_members(self) -> list[Gossip]:
        """The instances that have not ended."""
        return [item for item in self.members if item.address.host not in self.gossip.stopped]

    def owner(self, upstream: Upstream) -> Gossip:
        """The owner of an upstream, as its data centre sees it."""
        member = next(
            item
            for item in self.live_members()
            if item.table.data_center == upstream.listed.data_center
        )
        state = member.table.by_id[upstream.listed.id]
        host = member.slots.broker.owners.owner(state).host
        return next(item for item in self.members if item.address.host == host)

    def granted(self) -> int:
        """Slots that are granted now."""
        return sum(
            owned.scheduler.status(self.gossip.now).granted
            for member in self.live_members()
            if member.table.contention is not None
            for owned in member.slots.owner.owned_by_life.values()
        )

    async def play(self, seconds: float) -> None:
        """Let time pass; datagrams arrive in it."""
        loop = asyncio.get_running_loop()
        if self._offset is None:
            self._offset = self.gossip.now - loop.time()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(min(TICK_SECONDS, end - loop.time()))
            self.gossip.play(max(0.0, loop.time() + self._offset - self.gossip.now))

    async def load(self, seconds: float, *sources: Callers) -> Requests:
        """Send requests for some seconds; returns those of this period once they end."""
        self.requests = Requests()
        end = self.gossip.now + seconds
        arrivals = sorted(self._arrivals(sources, end), key=lambda item: item[0])
        for at, callers in arrivals:
            await self.play(at - self.gossip.now)
            self._spawn(self._call(callers, self.requests))
        await self.play(end - self.gossip.now)
        return self.requests

    def _arrivals(self, sources: Iterable[Callers], end: float) -> Iterable[tuple[float, Callers]]:
        for callers in sources:
            at = self.gossip.now + self.rng.expovariate(callers.rate)
            while at < end:
                yield at, callers
                at += self.rng.expovariate(callers.rate)

    async def finish(self) -> None:
        """Let all requests end."""
        while self._tasks:
            await self.play(0.05)

    def close(self) -> None:
        """Stop all timers."""
        for member in self.members:
            member.close()

    def _spawn(self, work: Awaitable[Any]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, callers: Callers, requests: Requests) -> None:
        self._count += 1
        identity = self._count
        first = await self._request(callers, requests, identity, self._member(callers), False)
        if callers.returns and first.refused:
            await asyncio.sleep(first.retry_after)
            member = self.rng.choice(self.live_members())
            first.returned = await self._request(callers, requests, identity, member, True)

    def _member(self, callers: Callers) -> Gossip:
        if callers.instances:
            return self.members[self.rng.choice(callers.instances)]
        return self.rng.choice(self.live_members())

    async def _request(
        self,
        callers: Callers,
        requests: Requests,
        identity: int,
        member: Gossip,
        is_return: bool,
    ) -> SimulatedRequest:
        request = SimulatedRequest(callers, self.gossip.now, is_return)
        requests.all.append(request)
        call, progress = self.make_call(member, callers, identity), Progress()
        try:
            while progress.attempts < MAX_ATTEMPTS and not request.served:
                request.served = await self._attempt(member, call, progress, requests)
        except PondpinError as error:
            request.refused, request.detail = True, error.detail
            request.retry_after = error.retry_after or 0.0
        request.took = self.gossip.now - request.at
        return request

    def make_call(self, member: Gossip, callers: Callers, identity: int) -> RelayCall:
        """An admitted request at an instance."""
        configuration = member.publication.configuration
        assert configuration is not None, "all begin with one"
        route = next(item for item in configuration.routes_by_host[HOST] if item.name == "again")
        now = self.gossip.now
        unused: Any = None
        return RelayCall(
            incoming=unused,
            reply=unused,
            metadata=RequestMetadata(f"r{identity}", HOST, "", None, 0, 0, ""),
            route=route,
            service=PLAIN,
            account=callers.account,
            rank=callers.rank,
            configuration=configuration,
            arrived_at=now,
            deadline=now + DEADLINE_SECONDS,
            identity=identity,
        )

    async def _attempt(
        self, member: Gossip, call: RelayCall, progress: Progress, requests: Requests
    ) -> bool:
        """One attempt, as the placer and the handler make it; False if it was turned away."""
        planner = self._planner_by_instance[member.instance]

        async def replan(call: RelayCall, progress: Progress, avoid: frozenset[int]) -> Plan:
            plan = planner.plan(call, progress, avoid | self._unreachable(member))
            if plan is None:
                raise PondpinError(Code.NO_UPSTREAM)
            return plan

        plan = await replan(call, progress, frozenset())
        if member.table.contention is not None:
            began = self.gossip.now
            acquirer = self.acquirer(member)
            plan = await acquirer.acquire(call, progress, plan, frozenset(), replan)
            if progress.slot is not None:
                requests.decision_waits.append(self.gossip.now - began)
                requests.without_grant += not progress.slot.is_decided
        progress.attempts += 1
        key, began = planner.begin_attempt(call, progress, plan), self.gossip.now
        upstream = next(item for item in self.upstreams if item.listed.id == plan.lead.id)
        served, load = await upstream.run()
        self._answer(member, plan, served, load)
        planner.end_attempt(plan, key)
        if progress.slot is not None and member.address.host not in self.gossip.stopped:
            run = self.gossip.now - began if served else None
            self.acquirer(member).end(call, progress, run)
        if not served:
            requests.turned_away += 1
            progress.tried_lives |= {plan.lead.life}
        return served

    def acquirer(self, member: Gossip) -> SlotAcquirer:
        """The acquirer of an instance."""
        known = self._acquirer_by_instance.get(member.instance)
        if known is None:
            known = self._acquirer_by_instance[member.instance] = SlotAcquirer(
                member.slots,
                member.table,
                self.policy,
                Metrics(member.instance, member.table.data_center),
                member.clock,
            )
        return known

    def _unreachable(self, member: Gossip) -> frozenset[int]:
        """Lives that the instance can't connect to."""
        center = member.table.data_center
        return frozenset(
            item.listed.life
            for item in self.upstreams
            if item.listed.data_center != center
            and self.gossip.cut & {center, item.listed.data_center}
        )

    def _answer(self, member: Gossip, plan: Plan, served: bool, load: Load) -> None:
        status = OK if served else UNAVAILABLE
        head = ResponseHead(status, "", not served, load, False, served, None, "", EMPTY_NOTICE, ())
        plan.lead.reported_load, plan.lead.reported_load_at = load, self.gossip.now
        is_full = shows_full(head, plan.lead)
        if not member.table.is_enabled(Mechanism.SLOT_GRANTS):
            return
        if is_full or member.table.contention is not None:
            member.slots.record_head(plan.lead, head, is_full, self.gossip.now)


def in_turn(values: Sequence[float], share: float) -> float:
    """The value at a share of sorted values, 0 without any."""
    return values[min(len(values) - 1, int(share * len(values)))] if values else 0.0
