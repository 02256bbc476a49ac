"""Memory leases for prompts that lie on several engines: all or nothing, renewed while in use.

A lease is short and renewed, so the memory of a holder that died is back soon. Nothing is
waited for while leases are held, so groups of several instances can't block each other.
"""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from pondpin.http_streams import CallFailedError
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import LeaseFailed
from pondpin.relay.ports import HeadCallback, LeasePort, LeaseResponse, PartAssignment
from pondpin.relay.upstreams.notice_handler import HeadHandler, SentRequest, ignore_head

# A dead holder's memory is free again after this: under the 4 s that the deployments allow.
HOLD_SECONDS = 3.4
# Two renewals may be lost before a lease lapses.
RENEW_SECONDS = 1.0
ORDER_SECONDS = 0.4
# Memory whose prompt has shown nothing for so long is let go, under the 9 s that the deployments
# allow to memory that no request uses: an engine may take a request and never run it. A prompt that
# is forecast to be read for longer has a quarter more and a second.
UNUSED_SECONDS = 8.2
READING_TIMES = 1.25
PREFILL_SLACK_SECONDS = 1.0
RELEASE_TRIES = 3


@dataclass(frozen=True, slots=True)
class LeaseGroup:
    """The leases of one request."""

    request: str
    places: tuple[PartAssignment, ...]
    tokens: int


class LeaseManager:
    """Takes, renews and returns groups of leases."""

    def __init__(
        self,
        port: LeasePort,
        prefix: str,
        log: EventLog,
        has_ended: Callable[[int], bool] = lambda life: False,
        listen: HeadHandler = ignore_head,
        note_sent: Callable[[int], None] = lambda life: None,
    ) -> None:
        """has_ended: whether a later life has taken the place of a life; note_sent: something goes
        to a life that counts for a limit of it.
        """
        self._note_sent = note_sent
        self._has_ended = has_ended
        self._listen = listen
        self._port = port
        self._prefix = prefix
        self._log = log
        self._numbers = itertools.count(1)
        self._tasks: set[asyncio.Task[None]] = set()
        self.orders = 0

    async def acquire(
        self, request: str, places: Sequence[PartAssignment], tokens: int
    ) -> tuple[LeaseGroup | None, tuple[PartAssignment, ...]]:
        """Lease tokens at every place, or at none; also the places that did not give it."""
        name = f"{self._prefix}-{next(self._numbers)}"
        named = tuple(replace(place, lease=f"{name}-{index}") for index, place in enumerate(places))
        group = LeaseGroup(request, named, tokens)
        answers = await asyncio.gather(*(self._reserve(place, tokens) for place in named))
        failed = tuple(place for place, held in zip(named, answers, strict=True) if not held)
        if not failed:
            return group, ()
        names = ",".join(place.upstream for place in failed)
        self._log.write(LeaseFailed(request=request, outcome="refused", detail=names))
        self.release(group)
        return None, failed

    async def keep_alive(
        self, group: LeaseGroup, reading: float, has_begun: Callable[[], bool]
    ) -> None:
        """Renew until cancelled, or until the prompt should long have begun its answer.

        reading: the forecast of its first event in seconds; has_begun: whether that came.
        """
        now = asyncio.get_running_loop().time
        limit = now() + max(UNUSED_SECONDS, READING_TIMES * reading + PREFILL_SLACK_SECONDS)
        while True:
            await asyncio.sleep(RENEW_SECONDS)
            hold = HOLD_SECONDS if has_begun() else min(HOLD_SECONDS, limit - now())
            if hold <= 0:
                self._log.write(LeaseFailed(request=group.request, outcome="unused", detail=""))
                return
            # A later life at that place holds nothing of this prompt: it would only lose memory.
            standing = [place for place in group.places if not self._has_ended(place.life)]
            await asyncio.gather(*(self._reserve(place, group.tokens, hold) for place in standing))

    def release(self, group: LeaseGroup) -> None:
        """Give all back, in a task of its own."""
        for place in group.places:
            if self._has_ended(place.life):
                continue
            task = asyncio.get_running_loop().create_task(self._release(group, place))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait_released(self) -> None:
        """Wait until what is being given back is back or lapses."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _reserve(
        self, place: PartAssignment, tokens: int, hold: float = HOLD_SECONDS
    ) -> bool:
        self.orders += 1
        self._note_sent(place.life)
        try:
            answer = await self._port.reserve(
                place.host,
                place.port,
                place.lease,
                tokens,
                hold,
                ORDER_SECONDS,
                self._hear(place),
            )
        except CallFailedError:
            return False
        return answer is LeaseResponse.HELD

    def _hear(self, place: PartAssignment) -> HeadCallback:
        asked_at = asyncio.get_running_loop().time()
        asked = SentRequest(place.upstream, place.life, "lease", asked_at)
        return lambda said: self._listen(asked, said)

    async def _release(self, group: LeaseGroup, place: PartAssignment) -> None:
        reason = ""
        for _ in range(RELEASE_TRIES):
            self.orders += 1
            self._note_sent(place.life)
            try:
                await self._port.release(
                    place.host, place.port, place.lease, ORDER_SECONDS, self._hear(place)
                )
                return
            except CallFailedError as error:
                reason = str(error)
        detail = f"{place.upstream}: {reason}"
        self._log.write(LeaseFailed(request=group.request, outcome="left to lapse", detail=detail))
