"""Grants the slots of one upstream in fair order, and refuses what can't be in time.

The owner of the upstream calls it for the messages of all instances. Times are in seconds of the
steady clock.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from pondpin.overload.fair_queue import FairQueue, Flow, Queued
from pondpin.overload.foreign_load import REPORT_LAG_SECONDS, ForeignLoad
from pondpin.overload.hold_estimate import HoldEstimate
from pondpin.overload.rank_floor import LOWEST_RANK, RankFloor
from pondpin.overload.return_book import Kind, ReturnBook
from pondpin.overload.slots import SlotDecision, SlotOutcome, SlotRequest, SlotStatus
from pondpin.overload.wait_forecast import forecast_waits

# A grant that isn't released expires after this many times its forecast hold, and not before the
# lowest: its message was lost or its instance has ended.
EXPIRE_HOLDS = 3.0
LEAST_EXPIRE_SECONDS = 0.5
# Time in which a free slot stays unused while messages are under way: the end to the owner, the
# grant to the next instance, its request to the upstream and the answer, at up to 5.4 ms each.
MESSAGE_SECONDS = 0.02
# If more than this part of a slot stays unused, one more grant waits at the upstream.
UNUSED_SLOTS = 0.1
# Upstreams queue 4 requests and more by themselves.
MOST_AHEAD = 4
# Waiting requests; more can't be in time with any number of slots that occurs.
MOST_WAITING = 256
# A request that can still ask other owners waits here only if it is next, or if its forecast is
# within this part of what is left: another queue may be shorter, and when it is refused later, it
# has no time left.
ELSEWHERE_PART = 0.5
# Expired grants of which a late end is still learned from.
MOST_EXPIRED = 64
# Holds of all slots that an account which was under its share may be served before its turn, so
# that a burst of it isn't refused.
BURST_HOLDS = 2.0


@dataclass(frozen=True, slots=True)
class _Grant:
    """A granted request."""

    request: SlotRequest
    granted_at: float
    forecast_seconds: float
    expires_at: float


class SlotQueue:
    """Implements `SlotScheduler`.

    hold_seconds: the hold that is assumed until releases have been seen. Without a call, nothing
    expires: expire is to be called at least every 25 ms while anything waits or is granted. Loads
    are only to be observed when they are less than REPORT_LAG_SECONDS old.
    """

    def __init__(self, slots: int, hold_seconds: float) -> None:
        self.slots = max(1, slots)
        self.hold = HoldEstimate(hold_seconds)
        self.ahead = grants_ahead(self.slots, hold_seconds)
        self.floor = RankFloor()
        self.returns = ReturnBook()
        self.foreign = ForeignLoad()
        self._grant_by_key: dict[int, _Grant] = {}
        self._expired_by_key: OrderedDict[int, _Grant] = OrderedDict()
        self._waiting_by_key: dict[int, Queued[SlotRequest]] = {}
        self._queue_by_rank: dict[int, FairQueue[SlotRequest]] = {}
        self._asked_at_by_rank: dict[int, float] = {}

    def request(self, request: SlotRequest, now: float) -> tuple[SlotDecision, ...]:
        """Decide on a new request; its own decision comes first."""
        decisions = self.expire(now)
        is_decided = any(decision.key == request.key for decision in decisions)
        if request.key in self._grant_by_key:
            decisions = (self._decide(request, SlotOutcome.GRANTED), *decisions)
        elif not is_decided:
            self._add(request, now)
            decisions += self._grant_free(now) + self._refuse_late(now)
        own = [decision for decision in decisions if decision.key == request.key]
        others = [decision for decision in decisions if decision.key != request.key]
        if not own:
            waits = {item.item.key: wait for item, wait in self._forecast(now)}
            own = [self._decide(request, SlotOutcome.WAITING, waits.get(request.key, 0.0))]
        return (own[0], *others)

    def _add(self, request: SlotRequest, now: float) -> None:
        """Queue a request; one that is repeated keeps its place."""
        if request.key in self._waiting_by_key:
            return
        rank = _rank(request)
        burst = BURST_HOLDS * self.slots * self.hold.mean
        queue = self._queue_by_rank.setdefault(rank, FairQueue(0.0, burst))
        cost = max(1e-6, request.cost_seconds)
        queued = queue.push(request, Flow(f"{request.account:x}", ""), cost, 1.0, now)
        self._waiting_by_key[request.key] = queued
        self._asked_at_by_rank[rank] = now

    def release(self, key: int, now: float) -> tuple[SlotDecision, ...]:
        """End a grant, or withdraw a waiting request; unknown keys are ignored."""
        grant = self._grant_by_key.pop(key, None)
        if grant is not None:
            self.foreign.record_end(now)
        ended = grant or self._expired_by_key.pop(key, None)
        if ended is not None:
            self.hold.record(ended.request.cost_seconds, now - ended.granted_at)
        queued = self._waiting_by_key.pop(key, None)
        if queued is not None:
            self._queue_of(queued).withdraw(queued)
        return self.expire(now)

    def expire(self, now: float) -> tuple[SlotDecision, ...]:
        """End grants that were never released, and refuse requests that waited too long."""
        for key, grant in list(self._grant_by_key.items()):
            if now >= grant.expires_at:
                self._expired_by_key[key] = self._grant_by_key.pop(key)
        while len(self._expired_by_key) > MOST_EXPIRED:
            self._expired_by_key.popitem(last=False)
        self.foreign.expire(max(LEAST_EXPIRE_SECONDS, EXPIRE_HOLDS * self.hold.mean), now)
        late = [
            queued
            for queued in self._waiting_by_key.values()
            if now - queued.queued_at > queued.item.max_wait_seconds
        ]
        refused = tuple(self._refuse(queued, now - queued.queued_at, now) for queued in late)
        return refused + self._grant_free(now)

    def observe_load(self, running: int, waiting: int, now: float) -> tuple[SlotDecision, ...]:
        """Apply a load that the upstream reported: some requests run there without a grant."""
        load = running + waiting
        self._end_unreported(load, now)
        lately = sum(
            now - grant.granted_at < REPORT_LAG_SECONDS for grant in self._grant_by_key.values()
        )
        granted = len(self._grant_by_key)
        self.foreign.observe(load, granted, lately, self.hold.mean, now)
        return self.expire(now) + self._refuse_late(now)

    def status(self, now: float) -> SlotStatus:
        """The current state."""
        return SlotStatus(
            slots=self.slots,
            granted=len(self._grant_by_key),
            waiting=len(self._waiting_by_key),
            ungranted=self.foreign.count,
            hold_seconds=self.hold.mean,
        )

    def _end_unreported(self, load: int, now: float) -> None:
        """End grants that the upstream no longer runs: the message that ended them was lost.

        Only those over their forecast end, as the others' requests may still be on their way.
        """
        old = [
            (grant.granted_at, key, grant.forecast_seconds)
            for key, grant in self._grant_by_key.items()
            if now - grant.granted_at >= REPORT_LAG_SECONDS
        ]
        for granted_at, key, forecast in sorted(old)[: max(0, len(old) - load)]:
            if now - granted_at >= forecast + self.hold.deviation + REPORT_LAG_SECONDS:
                self._expired_by_key[key] = self._grant_by_key.pop(key)

    def _queue_of(self, queued: Queued[SlotRequest]) -> FairQueue[SlotRequest]:
        return self._queue_by_rank[_rank(queued.item)]

    def _order(self) -> list[Queued[SlotRequest]]:
        """The waiting requests, the next one first."""
        below: list[Queued[SlotRequest]] = []
        order: list[Queued[SlotRequest]] = []
        for rank, queue in sorted(self._queue_by_rank.items()):
            items = sorted(
                queue.items(),
                key=lambda queued: (not queued.item.is_return, queued.tag, queued.number),
            )
            if self.floor.is_below(rank):
                below += items[:1]
                items = items[1:]
            order += items
        return below + order

    def _grant_free(self, now: float) -> tuple[SlotDecision, ...]:
        """Grant the free slots in order."""
        decisions = []
        while self._waiting_by_key and self._occupied < self.slots + self.ahead:
            queued = self._order()[0]
            if self._occupied >= self.slots and not self._may_be_ahead(queued, now):
                break
            wait = self._upstream_wait()
            if now - queued.queued_at + wait > queued.item.max_wait_seconds:
                decisions.append(self._refuse(queued, wait, now))
            else:
                decisions.append(self._grant(queued, now))
        return tuple(decisions)

    def _may_be_ahead(self, queued: Queued[SlotRequest], now: float) -> bool:
        """Whether a request may be granted while all slots are occupied.

        Not if a more urgent one was asked within a hold: another may arrive before a slot is free.
        """
        rank = _rank(queued.item)
        return self.floor.is_below(rank) or not any(
            other < rank and now - at < self.hold.mean
            for other, at in self._asked_at_by_rank.items()
        )

    def _refuse_late(self, now: float) -> tuple[SlotDecision, ...]:
        """Refuse those that can't be in time in the order; they delay nobody."""
        late = []
        kept = 0
        for queued, wait in self._forecast(now):
            # A return that waits and is next stays: a gap between two ends isn't its fault.
            stays = kept == 0 and queued.item.is_return and queued.queued_at < now
            left = queued.item.max_wait_seconds - (now - queued.queued_at)
            has_others = queued.queued_at == now and not queued.item.is_last and kept > 0
            if wait > left * (ELSEWHERE_PART if has_others else 1.0) and not stays:
                late.append((queued, wait))
            else:
                kept += 1
                if kept > MOST_WAITING:
                    late.append((queued, wait))
        return tuple(self._refuse(queued, wait, now) for queued, wait in late)

    def _forecast(self, now: float) -> Iterable[tuple[Queued[SlotRequest], float]]:
        """Each waiting request with the forecast of its wait until it runs."""
        free_in = self.hold.remaining(
            (grant.forecast_seconds, now - grant.granted_at)
            for grant in self._grant_by_key.values()
        )
        # Of requests without a grant the age isn't known. Those beyond the slots change no wait.
        slots = self.slots + self.ahead
        free_in += [self.hold.mean / 2] * min(self.foreign.count, slots)
        waits = forecast_waits(
            slots,
            free_in,
            self._order(),
            lambda queued: self.hold.forecast(queued.item.cost_seconds),
        )
        for queued, wait, start in waits:
            total = wait + self._upstream_wait()
            if total <= queued.item.max_wait_seconds - (now - queued.queued_at):
                start()
            yield queued, total

    @property
    def _service_seconds(self) -> float:
        """Mean time between two ends while all slots are occupied."""
        return self.hold.mean / (self.slots + self.ahead)

    def _upstream_wait(self) -> float:
        """Forecast wait in the upstream's own queue of a request that is granted ahead."""
        if self._occupied < self.slots:
            return 0.0
        return self.ahead * self._service_seconds

    @property
    def _occupied(self) -> int:
        return len(self._grant_by_key) + self.foreign.count

    def _grant(self, queued: Queued[SlotRequest], now: float) -> SlotDecision:
        request = queued.item
        del self._waiting_by_key[request.key]
        queue = self._queue_of(queued)
        if request.is_return:
            # It goes before its tag, so the time of the queue stays; its account is charged.
            queue.remove(queued)
        else:
            queue.serve(queued)
        forecast = self.hold.forecast(request.cost_seconds)
        expire = max(LEAST_EXPIRE_SECONDS, EXPIRE_HOLDS * max(forecast, self.hold.mean))
        self._grant_by_key[request.key] = _Grant(request, now, forecast, now + expire)
        self.floor.count(_rank(request), True, now)
        self.returns.record_grant(_kind(request))
        return self._decide(request, SlotOutcome.GRANTED)

    def _refuse(self, queued: Queued[SlotRequest], wait: float, now: float) -> SlotDecision:
        request = queued.item
        del self._waiting_by_key[request.key]
        self._queue_of(queued).withdraw(queued)
        rate = 1.0 / self._service_seconds
        retry_after = self.returns.book(_kind(request), rate, wait, now, request.is_last)
        if request.is_last:
            self.floor.count(_rank(request), False, now)
        return self._decide(request, SlotOutcome.REFUSED, wait, retry_after)

    def _decide(
        self,
        request: SlotRequest,
        outcome: SlotOutcome,
        wait: float = 0.0,
        retry_after: float = 0.0,
    ) -> SlotDecision:
        used = sum(
            grant.request.account == request.account for grant in self._grant_by_key.values()
        )
        return SlotDecision(request.key, outcome, wait, retry_after, used / self.slots)


def _rank(request: SlotRequest) -> int:
    return min(LOWEST_RANK, max(0, request.rank))


def _kind(request: SlotRequest) -> Kind:
    return Kind(_rank(request), request.account)


def grants_ahead(slots: int, hold_seconds: float) -> int:
    """Grants beyond the slots, which keep short requests' slots busy between messages."""
    unused = slots * MESSAGE_SECONDS / hold_seconds if hold_seconds > 0 else math.inf
    return min(MOST_AHEAD, slots, math.ceil(unused)) if unused > UNUSED_SLOTS else 0
