"""Two designs of admission for measure_admission: owners that grant slots, and common shares."""

import functools
import hashlib
from collections import defaultdict, deque
from collections.abc import Callable
from typing import Protocol

from pondpin.overload.slot_queue import SlotQueue
from pondpin.overload.slots import SlotDecision, SlotOutcome, SlotRequest
from pondpin.pacer import Pacer
from pondpin.tools.admission_fleet import DATA_CENTERS, GONE_SECONDS, Call, Fleet

OWNERS_ASKED = 3
# An ask without an answer is repeated after this long, three times in all; then the owner is
# bypassed for a second.
REPEAT_SECONDS = 0.015
ASKS = 3
BYPASS_SECONDS = 1.0
# Decisions and ends of grants are sent again after this long: without it a lost one costs a slot
# for the time of a wait or a hold.
COPY_SECONDS = 0.005
# Evidence that an upstream is contended counts for this long, or for two of its requests if those
# take longer; if this part of a service is contended, all of its upstreams are.
CONTENDED_SECONDS = 1.0
CONTENDED_PART = 0.5
EXPIRE_SECONDS = 0.025
LEAST_SUCCESS = 0.2
EXPLORED = 0.1
# The part of the target that is left for messages and for holds that are longer than the mean.
MARGIN_SECONDS = 0.03
DIGEST_SECONDS = (0.2, 0.6)
FLOOR = 0.25
# Shares are of this part of the capacity; with all of it the upstreams' queues stay full.
SHARED_PART = 0.95


class Way(Protocol):
    """Decides on calls; finish is called with "served", "refused" for each."""

    def start(self, call: Call) -> None:
        """Handle a call that has arrived."""


@functools.cache
def _weight(upstream: int, instance: int) -> bytes:
    return hashlib.blake2b(f"{upstream} {instance}".encode(), digest_size=8).digest()


class Owners:
    """Each upstream's owner grants its slots by messages."""

    def __init__(self, fleet: Fleet, finish: Callable[[Call, str], None]) -> None:
        self.fleet, self.finish = fleet, finish
        self.queue_by_owner: dict[tuple[int, int], SlotQueue] = {}
        self.later_success: dict[tuple[int, int, int], float] = {}
        self.call_by_key: dict[int, Call] = {}
        self.numbers = range(len(fleet.upstreams))
        self.contended_seconds = max(CONTENDED_SECONDS, 2 * fleet.load.hold)
        self.bypassed_until: dict[tuple[int, int], float] = {}
        self.free_at: dict[tuple[int, int, int], float] = {}
        self.contended_at: dict[tuple[int, int], float] = {}
        self.evidence: dict[int, deque[float]] = defaultdict(deque)
        self.digest_delay = [fleet.rng.uniform(*DIGEST_SECONDS) for _ in range(fleet.instances)]
        self._owner_by_upstream: dict[int, tuple[float, int]] = {}
        self._expire()

    def start(self, call: Call) -> None:
        """Try the next upstream of a call."""
        fleet, instance = self.fleet, call.instance
        left = [number for number in range(len(fleet.upstreams)) if number not in call.tried]
        if not left or call.was_last or len(call.tried) >= OWNERS_ASKED:
            self.finish(call, "refused")
            return
        free = [number for number in left if not self._is_contended(instance, number)]
        # If half of a service is contended, the others get all that these refuse: ask them as well.
        contended = sum(self._is_contended(instance, number) for number in self.numbers)
        if free and contended < CONTENDED_PART * len(self.numbers):
            self._submit(call, fleet.rng.choice(free))
            return
        # Those whose owner is silent get nothing while others are left: as everybody who is refused
        # elsewhere would send there without a grant, their own queue would stay full.
        left = [number for number in left if not self._is_bypassed(instance, number)] or left
        fleet.rng.shuffle(left)
        upstream = min(
            left, key=lambda number: self.free_at.get((instance, number, call.rank), 0.0)
        )
        if not fleet.is_settled(instance) or self._is_bypassed(instance, upstream):
            self._submit(call, upstream)
            return
        call.upstream, call.asked, call.is_asking = upstream, 0, True
        call.was_last = self._is_last(call)
        self.call_by_key[call.key] = call
        self._ask(call, upstream)

    def _is_last(self, call: Call) -> bool:
        """Whether no other owner will be asked: later asks of this kind have been in vain."""
        if len(call.tried) + 1 >= min(OWNERS_ASKED, self.fleet.load.upstreams):
            return True
        kind = (call.instance, call.rank, call.account)
        return self.later_success.get(kind, 1.0) < LEAST_SUCCESS and (
            self.fleet.rng.random() >= EXPLORED
        )

    def owner(self, upstream: int) -> int:
        """The owner of an upstream as peers know it."""
        fleet = self.fleet
        cached = self._owner_by_upstream.get(upstream)
        if cached is not None and fleet.now - cached[0] < 0.1:
            return cached[1]
        live = [
            instance
            for instance in range(upstream % DATA_CENTERS, fleet.instances, DATA_CENTERS)
            if fleet.is_settled(instance) and fleet.now < fleet.died_at[instance] + GONE_SECONDS
        ]
        owner = max(live, key=lambda instance: _weight(upstream, instance))
        self._owner_by_upstream[upstream] = (fleet.now, owner)
        return owner

    def _is_bypassed(self, instance: int, upstream: int) -> bool:
        return self.fleet.now < self.bypassed_until.get((instance, upstream), 0.0)

    def _is_contended(self, instance: int, upstream: int) -> bool:
        now = self.fleet.now
        if now - self.contended_at.get((instance, upstream), -9.0) < self.contended_seconds:
            return True
        if not self.fleet.is_settled(instance):
            return False
        evidence = self.evidence[upstream]
        while evidence and now - evidence[0] > self.contended_seconds:
            evidence.popleft()
        return bool(evidence) and evidence[0] <= now - self.digest_delay[instance]

    def _note_contended(self, instance: int, upstream: int) -> None:
        self.contended_at[instance, upstream] = self.fleet.now
        self.evidence[upstream].append(self.fleet.now)

    def _ask(self, call: Call, upstream: int) -> None:
        fleet, load = self.fleet, self.fleet.load
        call.asked += 1
        asked = call.asked
        owner = self.owner(upstream)
        request = SlotRequest(
            call.key,
            call.rank,
            call.account,
            load.hold,
            self._longest_wait(call),
            call.is_return,
            call.was_last,
        )

        def receive() -> None:
            queue = self._queue(owner, upstream)
            self._deliver(owner, upstream, queue.request(request, fleet.now))

        fleet.send(call.instance, owner, receive)
        self._repeat_after(call, upstream, REPEAT_SECONDS, asked)

    def _longest_wait(self, call: Call) -> float:
        load = self.fleet.load
        left = load.target_seconds - (self.fleet.now - call.arrived_at) - MARGIN_SECONDS
        return left - (0.0 if load.is_start else load.hold)

    def _repeat_after(self, call: Call, upstream: int, seconds: float, asked: int) -> None:
        def repeat() -> None:
            if not call.is_asking or call.upstream != upstream or call.asked != asked:
                return
            if asked < ASKS:
                self._ask(call, upstream)
            else:
                call.is_asking = False
                self.bypassed_until[call.instance, upstream] = self.fleet.now + BYPASS_SECONDS
                self._submit(call, upstream)

        self.fleet.after(seconds, repeat)

    def _queue(self, owner: int, upstream: int) -> SlotQueue:
        queue = self.queue_by_owner.get((owner, upstream))
        if queue is None:
            load = self.fleet.load
            queue = self.queue_by_owner[owner, upstream] = SlotQueue(load.slots, load.hold)
        return queue

    def _deliver(self, owner: int, upstream: int, decisions: tuple[SlotDecision, ...]) -> None:
        for decision in decisions:
            call = self.call_by_key[decision.key]
            receive = functools.partial(self._receive, call, upstream, decision)
            self._send_twice(owner, call.instance, receive)

    def _receive(self, call: Call, upstream: int, decision: SlotDecision) -> None:
        if not call.is_asking or call.upstream != upstream:
            if decision.outcome is SlotOutcome.GRANTED and not (
                call.is_granted and call.upstream == upstream
            ):
                self._end(call.instance, upstream, call.key, -1)
            return
        if call.tried and decision.outcome is not SlotOutcome.WAITING:
            kind = (call.instance, call.rank, call.account)
            success = self.later_success.get(kind, 1.0)
            is_granted = decision.outcome is SlotOutcome.GRANTED
            self.later_success[kind] = success + (is_granted - success) / 16
        self.free_at[call.instance, upstream, call.rank] = self.fleet.now + decision.wait_seconds
        if decision.outcome is SlotOutcome.GRANTED:
            call.is_asking, call.is_granted = False, True
            self._submit(call, upstream)
            return
        self._note_contended(call.instance, upstream)
        if decision.outcome is SlotOutcome.WAITING:
            call.asked = 1
            self._repeat_after(call, upstream, decision.wait_seconds + REPEAT_SECONDS, 1)
            return
        call.is_asking = False
        call.tried.add(upstream)
        # Only the last owner has booked the time that it tells.
        call.retry_after = decision.retry_after_seconds
        self.start(call)

    def _submit(self, call: Call, upstream: int) -> None:
        fleet = self.fleet
        call.upstream = upstream

        def end(load: int) -> None:
            fleet.after(
                fleet.latency(call.instance, upstream), lambda: self._answer(call, upstream, load)
            )

        fleet.after(
            fleet.latency(call.instance, upstream),
            lambda: fleet.upstreams[upstream].submit(call, end),
        )

    def _answer(self, call: Call, upstream: int, load: int) -> None:
        full = load < 0
        load = self.fleet.load.slots + self.fleet.load.queue if full else load
        if load >= self.fleet.load.slots:
            self._note_contended(call.instance, upstream)
        if call.is_granted or self._is_contended(call.instance, upstream):
            self._end(call.instance, upstream, call.key, load)
        call.is_granted = False
        if full:
            call.tried.add(upstream)
            self.start(call)
        else:
            self.finish(call, "served")

    def _end(self, instance: int, upstream: int, key: int, load: int) -> None:
        owner = self.owner(upstream)

        def receive() -> None:
            queue = self._queue(owner, upstream)
            self._deliver(owner, upstream, queue.release(key, self.fleet.now))
            if load >= 0:
                self._deliver(owner, upstream, queue.observe_load(load, 0, self.fleet.now))

        self._send_twice(instance, owner, receive)

    def _send_twice(self, sender: int, receiver: int, act: Callable[[], None]) -> None:
        """Send what nobody repeats; all of it changes nothing when it is received again."""
        self.fleet.send(sender, receiver, act)
        if COPY_SECONDS:
            self.fleet.after(COPY_SECONDS, lambda: self.fleet.send(sender, receiver, act))

    def _expire(self) -> None:
        for (owner, upstream), queue in self.queue_by_owner.items():
            if self.fleet.is_alive(owner):
                self._deliver(owner, upstream, queue.expire(self.fleet.now))
        self.fleet.after(EXPIRE_SECONDS, self._expire)


class Shares:
    """Each instance refuses by the share that all compute from the demand told by all.

    An admitted call goes to the least loaded of some upstreams chosen at random: of all, or of few,
    as all instances send to the same ones until the next digest otherwise.
    """

    def __init__(
        self, fleet: Fleet, finish: Callable[[Call, str], None], choices: int | None = None
    ) -> None:
        self.fleet, self.finish, self.choices = fleet, finish, choices
        self.counts: list[dict[tuple[int, int], int]] = [{} for _ in range(fleet.instances)]
        self.own: list[dict[tuple[int, int], float]] = [{} for _ in range(fleet.instances)]
        self.total: dict[tuple[int, int], float] = defaultdict(float)
        self.credit: dict[tuple[int, tuple[int, int]], float] = {}
        self.seen_load = [0.0] * fleet.load.upstreams
        self.known_load = [[0.0] * fleet.load.upstreams for _ in range(fleet.instances)]
        self.book = [
            Pacer.begin(fleet.load.capacity / 2 / fleet.instances, 0.0)
            for _ in range(fleet.instances)
        ]
        load = fleet.load
        wait = load.target_seconds - MARGIN_SECONDS - (0.0 if load.is_start else load.hold)
        self.most_load = load.slots + int(wait * load.slots / load.hold)
        self._part: tuple[float, dict[tuple[int, int], float]] = (-1.0, {})
        for instance in range(fleet.instances):
            fleet.after(fleet.rng.uniform(0, 0.4), functools.partial(self._tell, instance, 0.0))

    def start(self, call: Call) -> None:
        """Admit a call by its share, and send it to the least loaded upstream."""
        rank = -1 if call.is_return else call.rank
        kind, counts = (rank, call.account), self.counts[call.instance]
        counts[kind] = counts.get(kind, 0) + 1
        credit = self.credit.get((call.instance, kind), self.fleet.rng.random())
        credit += self._admitted(call.instance, kind)
        admitted = credit >= 1.0
        self.credit[call.instance, kind] = credit - admitted
        if admitted:
            self._submit(call)
        else:
            self._refuse(call)

    def _refuse(self, call: Call) -> None:
        pacer = self.book[call.instance]
        at = pacer.available_at(self.fleet.now)
        pacer.issue(self.fleet.load.capacity / 2 / self.fleet.instances, at)
        call.retry_after = at - self.fleet.now
        self.finish(call, "refused")

    def _submit(self, call: Call) -> None:
        fleet, known = self.fleet, self.known_load[call.instance]
        left = [number for number in range(len(known)) if number not in call.tried]
        if not left or len(call.tried) >= OWNERS_ASKED:
            self._refuse(call)
            return
        fleet.rng.shuffle(left)
        upstream = min(left[: self.choices], key=known.__getitem__)
        if known[upstream] >= self.most_load:
            self._refuse(call)
            return
        known[upstream] += 1

        def answer(load: int) -> None:
            is_full = load < 0
            load = fleet.load.slots + fleet.load.queue if is_full else load - 1
            known[upstream] = self.seen_load[upstream] = load
            if is_full:
                call.tried.add(upstream)
                self._submit(call)
            else:
                self.finish(call, "served")

        def end(load: int) -> None:
            fleet.after(fleet.latency(call.instance, upstream), lambda: answer(load))

        fleet.after(
            fleet.latency(call.instance, upstream),
            lambda: fleet.upstreams[upstream].submit(call, end),
        )

    def _tell(self, instance: int, since: float) -> None:
        """Send and receive a digest; what an ended instance told is known until it is gone."""
        fleet = self.fleet
        own = self.own[instance]
        is_gone = fleet.now > fleet.died_at[instance] + GONE_SECONDS
        is_told = fleet.is_alive(instance) and fleet.rng.random() >= fleet.loss
        if is_gone or is_told:
            seconds = max(0.1, fleet.now - since)
            for kind in {*own, *self.counts[instance]}:
                rate = 0.0 if is_gone else self.counts[instance].get(kind, 0) / seconds
                # Averaged over some digests, as a few calls of one interval are no rate.
                new = 0.0 if is_gone else own.get(kind, rate) * 0.7 + rate * 0.3
                self.total[kind] += new - own.get(kind, 0.0)
                own[kind] = new
            self.counts[instance] = {}
            since = fleet.now
        if fleet.rng.random() >= fleet.loss:
            self.known_load[instance][:] = self.seen_load
        fleet.after(fleet.rng.uniform(*DIGEST_SECONDS), lambda: self._tell(instance, since))

    def _admitted(self, instance: int, kind: tuple[int, int]) -> float:
        """The part of a kind of demand that is admitted."""
        capacity = self.fleet.load.capacity * SHARED_PART
        if not self.fleet.is_settled(instance):
            return share(self.own[instance], capacity).get(kind, 1.0)
        if self.fleet.now - self._part[0] > 0.05:
            self._part = (self.fleet.now, share(self.total, capacity))
        return self._part[1].get(kind, 1.0)


def share(demand: dict[tuple[int, int], float], capacity: float) -> dict[tuple[int, int], float]:
    """The part of each demand that is served: by rank with a floor, max-min over accounts."""
    total = sum(demand.values())
    if total <= capacity:
        return dict.fromkeys(demand, 1.0)
    by_rank: dict[int, dict[int, float]] = defaultdict(dict)
    for (rank, account), rate in demand.items():
        by_rank[rank][account] = rate
    sums = {rank: sum(rates.values()) for rank, rates in by_rank.items()}
    given = {rank: FLOOR * capacity / total * rate for rank, rate in sums.items()}
    left = capacity - sum(given.values())
    parts = {}
    for rank in sorted(by_rank):
        more = min(left, sums[rank] - given[rank])
        left -= more
        room = given[rank] + more
        rates = sorted(by_rank[rank].items(), key=lambda item: item[1])
        for place, (account, rate) in enumerate(rates):
            got = min(rate, room / (len(rates) - place))
            room -= got
            parts[rank, account] = got / rate if rate > 0 else 1.0
    return parts
