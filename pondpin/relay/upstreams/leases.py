"""Memory leases for prompts on several engines: all or none, renewed while in use.

Leases are short, so the memory of a dead holder is soon free again. No request waits while it holds
leases, so requests of several instances can't deadlock.
"""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from pondpin.clocks import Clock
from pondpin.http_streams import CallFailedError
from pondpin.network import Endpoint
from pondpin.relay.engine_events import LeaseFailed
from pondpin.relay.log import EventLog
from pondpin.relay.ports import HeadCallback, LeasePort, LeaseResponse, PartAssignment
from pondpin.relay.response_ends import Identity
from pondpin.relay.upstreams.notice_handler import HeadHandler, SentRequest, ignore_head
from pondpin.runtime import steady_now

# Time until the memory of a dead holder is free again; the deployments allow 4 s.
HOLD_SECONDS = 3.4
# A lease survives two lost renewals.
RENEW_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 0.4
# Leases of a prompt without a first event end after this: an engine may accept a request and never
# run it, and the deployments allow 9 s for memory that no request uses. If a longer prefill is
# forecast, they end after the forecast times PREFILL_FACTOR plus PREFILL_SLACK_SECONDS.
UNUSED_SECONDS = 8.2
PREFILL_FACTOR = 1.25
PREFILL_SLACK_SECONDS = 1.0
RELEASE_TRIES = 3


@dataclass(frozen=True, slots=True)
class LeaseGroup:
    """The leases of one request."""

    request: str
    places: tuple[PartAssignment, ...]
    tokens: int
    # By lease: when it lapses, by the last renewal answered before that; counted from its sending.
    until_by_lease: dict[str, float] = field(default_factory=dict)
    # By upstream, once the request has ended.
    releases: dict[Endpoint, asyncio.Task[Identity]] = field(default_factory=dict)

    @property
    def held_until(self) -> float:
        """When the first of the leases lapses without another renewal."""
        return min(self.until_by_lease.get(place.lease, 0.0) for place in self.places)

    def extend(self, lease: str, sent_at: float, answered_at: float, hold: float) -> None:
        """Record an answered reservation or renewal; hold: in seconds.

        An upstream may answer the renewal of a lapsed lease with a new, empty one.
        """
        if answered_at <= self.until_by_lease.get(lease, answered_at):
            self.until_by_lease[lease] = sent_at + hold


class LeaseManager:
    """Acquires, renews and releases groups of leases."""

    def __init__(
        self,
        port: LeasePort,
        prefix: str,
        log: EventLog,
        has_ended: Callable[[int], bool] = lambda life: False,
        on_head: HeadHandler = ignore_head,
        on_sent: Callable[[int], None] = lambda life: None,
        clock: Clock = steady_now,
    ) -> None:
        """has_ended: whether a later life replaced a life; on_sent: is called with the life before
        each call, since calls count towards its limit.
        """
        self._on_sent = on_sent
        self._clock = clock
        self._has_ended = has_ended
        self._on_head = on_head
        self._port = port
        self._prefix = prefix
        self._log = log
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[Identity]] = set()
        self.calls_sent = 0

    async def acquire(
        self, request: str, places: Sequence[PartAssignment], tokens: int
    ) -> tuple[LeaseGroup | None, tuple[PartAssignment, ...]]:
        """Lease tokens at every place or at none; return the leases and the places that failed."""
        name = f"{self._prefix}-{next(self._numbers)}"
        leased = tuple(
            replace(place, lease=f"{name}-{index}") for index, place in enumerate(places)
        )
        group = LeaseGroup(request, leased, tokens)
        answers = await asyncio.gather(*(self._reserve(group, place) for place in leased))
        failed = tuple(place for place, held in zip(leased, answers, strict=True) if not held)
        if not failed:
            return group, ()
        names = ",".join(place.upstream for place in failed)
        self._log.write(LeaseFailed(request=request, outcome="refused", detail=names))
        self.release(group)
        return None, failed

    async def keep_alive(
        self, group: LeaseGroup, first_event_seconds: float, has_begun: Callable[[], bool]
    ) -> None:
        """Renew the leases until cancelled, or until the first event is long overdue.

        first_event_seconds: forecast time to the first event; has_begun: whether it has come.
        """
        now = asyncio.get_running_loop().time
        limit = now() + max(
            UNUSED_SECONDS, PREFILL_FACTOR * first_event_seconds + PREFILL_SLACK_SECONDS
        )
        while True:
            await asyncio.sleep(RENEW_SECONDS)
            hold = HOLD_SECONDS if has_begun() else min(HOLD_SECONDS, limit - now())
            if hold <= 0:
                self._log.write(LeaseFailed(request=group.request, outcome="unused", detail=""))
                return
            # A later life at that place has nothing of this prompt: a lease would waste its memory.
            current = [place for place in group.places if not self._has_ended(place.life)]
            await asyncio.gather(*(self._reserve(group, place, hold) for place in current))

    def release(self, group: LeaseGroup) -> None:
        """Release all leases in background tasks."""
        for place in group.places:
            task = asyncio.get_running_loop().create_task(self._release(group, place))
            group.releases[Endpoint(place.host, place.port)] = task
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait_released(self) -> None:
        """Wait until all pending releases are done or given up."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _reserve(
        self, group: LeaseGroup, place: PartAssignment, hold: float = HOLD_SECONDS
    ) -> bool:
        self.calls_sent += 1
        sent_at = self._clock()
        self._on_sent(place.life)
        try:
            answer = await self._port.reserve(
                place.host,
                place.port,
                place.lease,
                group.tokens,
                hold,
                CALL_TIMEOUT_SECONDS,
                self._head_callback(place),
            )
        except CallFailedError:
            return False
        if answer is not LeaseResponse.HELD:
            return False
        group.extend(place.lease, sent_at, self._clock(), hold)
        return True

    def _head_callback(self, place: PartAssignment) -> HeadCallback:
        sent_at = self._clock()
        request = SentRequest(place.upstream, place.life, "lease", sent_at)
        return lambda head: self._on_head(request, head)

    async def _release(self, group: LeaseGroup, place: PartAssignment) -> Identity:
        """Release a lease; returns which life answered."""
        if self._has_ended(place.life):
            return Identity.OTHER
        reason, is_refused = "", False
        for _ in range(RELEASE_TRIES):
            self.calls_sent += 1
            self._on_sent(place.life)
            try:
                is_same = await self._port.release(
                    place.host,
                    place.port,
                    place.upstream,
                    place.lease,
                    CALL_TIMEOUT_SECONDS,
                    self._head_callback(place),
                )
                return Identity.SAME if is_same else Identity.OTHER
            except CallFailedError as error:
                reason, is_refused = str(error), error.refused
        detail = f"{place.upstream}: {reason}"
        self._log.write(LeaseFailed(request=group.request, outcome="left to lapse", detail=detail))
        return Identity.REFUSED if is_refused else Identity.NO_ANSWER
