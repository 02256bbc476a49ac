"""Resumes a stream for its caller at any instance, by the signed cursor of its last event."""

import asyncio

from pondpin.answer_writers import StreamWriter
from pondpin.attempts import Failure
from pondpin.calls import CallKind, Snapshot
from pondpin.clocks import Clock, WallClock
from pondpin.codes import Code, Ran
from pondpin.cursors import Cursor, read_cursor, sign_cursor
from pondpin.engine_client import EnginePort, StreamRef
from pondpin.errors import PondpinError
from pondpin.fleet import Fleet, UpstreamState
from pondpin.frames import FrameGate
from pondpin.http_reply import IncomingRequest, Reply
from pondpin.http_streams import CallFailedError
from pondpin.signing import Signer
from pondpin.stream_attempt import StreamAttempt, Watchdog

CURSOR_HEADER = "last-event-id"
OK = 200
GONE = 410
EXPECTED_GAP = 0.05


class Resumer:
    """Attaches callers to streams that other instances, or earlier connections, began."""

    def __init__(
        self,
        engines: EnginePort,
        fleet: Fleet,
        signer: Signer,
        watchdog: Watchdog,
        clock: Clock,
        wall_clock: WallClock,
        stall_floor: float,
    ) -> None:
        self._engines = engines
        self._fleet = fleet
        self._signer = signer
        self._watchdog = watchdog
        self._clock = clock
        self._wall_clock = wall_clock
        self._stall_floor = stall_floor

    async def resume(
        self, incoming: IncomingRequest, reply: Reply, snapshot: Snapshot, account: str
    ) -> None:
        """Send the rest of a stream; raises PondpinError before anything is sent."""
        cursor = read_cursor(self._signer, incoming.headers.get(CURSOR_HEADER, ""))
        if cursor.account != account:
            raise PondpinError(Code.CURSOR_INVALID, "the cursor belongs to another account")
        left = cursor.deadline - self._wall_clock()
        if left <= 0:
            raise PondpinError(Code.DEADLINE, ran=Ran.UNKNOWN)
        state = self._fleet.by_name.get(cursor.upstream)
        if state is None:
            raise PondpinError(Code.STREAM_GONE, ran=Ran.UNKNOWN)
        try:
            async with asyncio.timeout(left):
                await self._follow(cursor, state, reply)
        except TimeoutError:
            raise PondpinError(Code.DEADLINE, ran=Ran.UNKNOWN) from None
        except CallFailedError as error:
            raise PondpinError(
                Code.UPSTREAM_LOST, str(error), Ran.UNKNOWN, retry_after=1.0
            ) from None

    async def _follow(self, cursor: Cursor, state: UpstreamState, reply: Reply) -> None:
        signed = sign_cursor(self._signer, cursor)
        writer = StreamWriter(
            reply, CallKind(cursor.shape), cursor.request, state.upstream.model, lambda: signed
        )
        attempt = StreamAttempt(
            gate=FrameGate(cursor.request, cursor.attempt, cursor.offset),
            writer=writer,
            clock=self._clock,
            stall_floor=self._stall_floor,
            predicted_first=0.0,
            token_gap=EXPECTED_GAP,
            on_first=lambda: None,
        )
        ref = StreamRef(state.upstream.address, cursor.request, cursor.attempt)
        start = await self._engines.resume(ref, cursor.offset)
        if start.status != OK:
            start.discard()
            code = Code.STREAM_GONE if start.status == GONE else Code.UPSTREAM_REFUSED
            raise PondpinError(code, ran=Ran.UNKNOWN)
        attempt.stream = start.deliver(attempt)
        reply.on_disconnect = lambda: attempt.fail(Failure.BROKEN)
        self._watchdog.add(attempt)
        reply.attach_source(attempt)
        try:
            result = await attempt.done
        finally:
            reply.detach_source()
            self._watchdog.remove(attempt)
        if result.failure is None:
            writer.finish(result.end)
            return
        error = PondpinError(Code.UPSTREAM_LOST, result.failure.value, Ran.UNKNOWN)
        if not writer.fail(error):
            raise error
