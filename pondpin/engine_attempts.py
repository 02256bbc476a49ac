"""Runs single attempts at completions on engines: sends, resumes, receives, cancels."""

import asyncio
from dataclasses import dataclass
from typing import Any

from pondpin.answer_writers import AnswerWriter
from pondpin.attempts import Failure
from pondpin.calls import Call
from pondpin.clocks import Clock, WallClock
from pondpin.engine_client import EnginePort, StreamRef
from pondpin.engine_protocol import StreamRequest
from pondpin.frames import FrameGate
from pondpin.http_streams import CallFailedError, StreamedResponse
from pondpin.identity import Identity
from pondpin.notice_headers import announces_leaving
from pondpin.scheduler import Grant
from pondpin.stream_attempt import AttemptResult, StreamAttempt, Watchdog

OK = 200
CONFLICT = 409


@dataclass
class Progress:
    """What one request has got so far, over all its attempts."""

    writer: AnswerWriter
    delivered: int = 0
    attempt: int = 0
    resumed: int = 0
    first_token: float | None = None
    last_token: float | None = None
    left_upstreams: int = 0
    may_have_run: bool = False
    upstream: str = ""
    signed_attempt: int = -1
    signed_cursor: str = ""
    excluded: frozenset[str] = frozenset()


class EngineAttempts:
    """Attempts of this instance; an attempt that is given up is cancelled on its engine."""

    def __init__(
        self,
        identity: Identity,
        engines: EnginePort,
        watchdog: Watchdog,
        clock: Clock,
        wall_clock: WallClock,
        stall_floor: float,
        call_timeout: float,
    ) -> None:
        self._identity = identity
        self._engines = engines
        self._watchdog = watchdog
        self._clock = clock
        self._wall_clock = wall_clock
        self._stall_floor = stall_floor
        self._call_timeout = call_timeout
        self.cancels: set[asyncio.Task[None]] = set()

    async def receive(
        self, call: Call, grant: Grant, progress: Progress, resume: bool
    ) -> AttemptResult:
        """Send or resume one attempt, and pass its tokens on until it ends or fails."""
        attempt = self._make_attempt(call, grant, progress)
        self._watchdog.add(attempt)
        try:
            failure = await self._open(call, grant, progress, attempt, resume)
            if failure is not None:
                return AttemptResult(failure)
            if call.the_prompt.stream:
                call.the_reply.attach_source(attempt)
            try:
                return await attempt.done
            finally:
                if call.the_prompt.stream:
                    call.the_reply.detach_source()
        except asyncio.CancelledError:
            self.cancel(grant)
            raise
        finally:
            attempt.close()
            self._watchdog.remove(attempt)
            self._collect(call, progress, attempt)

    def _make_attempt(self, call: Call, grant: Grant, progress: Progress) -> StreamAttempt:
        key = grant.holds[0].key
        return StreamAttempt(
            gate=FrameGate(call.id, progress.attempt, progress.delivered),
            writer=progress.writer,
            clock=self._clock,
            stall_floor=self._stall_floor,
            predicted_first=grant.choice.prediction.first_token,
            token_gap=grant.choice.prediction.token_gap,
            on_first=lambda: grant.lead.note_first_token(key, self._clock()),
        )

    async def _open(
        self,
        call: Call,
        grant: Grant,
        progress: Progress,
        attempt: StreamAttempt,
        resume: bool,
    ) -> Failure | None:
        """Send or resume the request and begin to receive; returns a failure, if any."""
        try:
            opening = self._send(call, grant, progress, resume)
            start = await self._until_stalled(opening, attempt)
        except CallFailedError as error:
            return Failure.BROKEN if error.sent else Failure.NOT_SENT
        if start is None:
            return Failure.STALLED
        if announces_leaving(start):
            grant.lead.mark_leaving()
        if start.status != OK:
            start.discard()
            if start.status == CONFLICT:
                return Failure.BROKEN
            return Failure.LEAVING if announces_leaving(start) else Failure.REFUSED
        attempt.stream = start.deliver(attempt)
        return None

    async def _until_stalled(
        self, opening: "asyncio.Future[StreamedResponse]", attempt: StreamAttempt
    ) -> StreamedResponse | None:
        """Wait for the headers, or until the watchdog calls the attempt stalled."""
        try:
            waited: set[asyncio.Future[Any]] = {opening, attempt.done}
            await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            _drop(opening)
            raise
        if opening.done():
            return opening.result()
        _drop(opening)
        return None

    def _send(
        self, call: Call, grant: Grant, progress: Progress, resume: bool
    ) -> "asyncio.Future[StreamedResponse]":
        address = grant.lead.upstream.address
        if resume:
            ref = StreamRef(address, call.id, progress.attempt)
            return asyncio.ensure_future(self._engines.resume(ref, progress.delivered))
        prompt = call.the_prompt
        left = call.deadline - self._clock()
        request = StreamRequest(
            request=call.id,
            attempt=progress.attempt,
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            model=prompt.model,
            prompt=prompt.text,
            max_tokens=prompt.max_tokens,
            priority=grant.priority,
            deadline=self._wall_clock() + left,
            adapter=prompt.adapter,
            start_offset=progress.delivered,
            members=len(grant.engines),
            reservation=grant.reservation,
        )
        return asyncio.ensure_future(self._engines.submit(address, request))

    def _collect(self, call: Call, progress: Progress, attempt: StreamAttempt) -> None:
        """Carry over what an attempt got."""
        progress.delivered = attempt.gate.next_offset
        if attempt.first_token is None:
            return
        if progress.first_token is None:
            progress.first_token = attempt.first_token - call.arrived
        progress.last_token = attempt.last_token - call.arrived

    def cancel(self, grant: Grant) -> None:
        """Tell the engine to end the attempt, without making the caller wait for it."""
        ticket = grant.ticket
        ref = StreamRef(grant.lead.upstream.address, ticket.request, ticket.attempt)
        task = asyncio.get_running_loop().create_task(self._cancel_now(ref))
        self.cancels.add(task)
        task.add_done_callback(self.cancels.discard)

    async def _cancel_now(self, ref: StreamRef) -> None:
        try:
            await self._engines.cancel(ref, self._call_timeout)
        except CallFailedError:
            # The engine is gone or cut off; what it still holds the orphan controller returns.
            return


def _drop(opening: "asyncio.Future[StreamedResponse]") -> None:
    """Stop opening a stream; one that is open already is closed."""
    if opening.done() and not opening.cancelled() and opening.exception() is None:
        opening.result().close_unread()
    opening.cancel()
