"""One attempt at a completion: receives frames, lets the right ones through, watches for stalls."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from pondpin.answer_writers import AnswerWriter
from pondpin.attempts import Failure, stall_limit
from pondpin.body_ends import BodyEnd
from pondpin.clocks import Clock
from pondpin.engine_client import FrameReader
from pondpin.frames import FrameGate, GapError
from pondpin.http_streams import CallFailedError, ResponseStream


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended: without a failure, the answer is whole."""

    failure: Failure | None
    end: str = ""
    cached: int = 0


@dataclass
class StreamAttempt:
    """Receives one attempt's stream; the watchdog calls check at each tick."""

    gate: FrameGate
    writer: AnswerWriter
    clock: Clock
    stall_floor: float
    predicted_first: float
    token_gap: float
    on_first: Callable[[], None]
    started: float = 0.0
    last_frame: float = 0.0
    first_token: float | None = None
    last_token: float = 0.0
    tokens: int = 0
    paused: bool = False
    reader: FrameReader = field(default_factory=FrameReader)
    stream: ResponseStream | None = None

    def __post_init__(self) -> None:
        """Set the clock running."""
        self.started = self.last_frame = self.clock()
        self.done: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()

    def on_data(self, data: bytes) -> None:
        """Take bytes of the stream."""
        if self.done.done():
            return
        try:
            for frame in self.reader.feed(data):
                for ready in self.gate.take(frame):
                    if ready.end:
                        self._end(ready.end, frame.cached)
                    else:
                        self._token(ready.offset, ready.text)
        except (CallFailedError, GapError):
            self.fail(Failure.GAP)

    def on_end(self, end: BodyEnd) -> None:
        """The connection ended."""
        self.fail(Failure.BROKEN)

    def fail(self, failure: Failure) -> None:
        """End the attempt with a failure, unless it ended already."""
        if self.done.done():
            return
        if self.stream is not None:
            self.stream.close()
        self.done.set_result(AttemptResult(failure))

    def close(self) -> None:
        """Close the connection, unless the answer is whole and the connection may be kept."""
        if self.stream is not None and not self.ended_whole:
            self.stream.close()

    @property
    def ended_whole(self) -> bool:
        """Whether the attempt ended with the whole answer."""
        done = self.done
        return done.done() and not done.cancelled() and done.result().failure is None

    def check(self, now: float) -> None:
        """Fail the attempt when no frame came for too long; a paused caller does not count."""
        if self.paused:
            self.last_frame = now
            return
        has_first = self.first_token is not None
        limit = stall_limit(self.stall_floor, self.predicted_first, has_first, self.token_gap)
        if now - self.last_frame > limit:
            self.fail(Failure.STALLED)

    def pause(self) -> None:
        """The caller reads slowly: hold the engine's stream back."""
        self.paused = True
        if self.stream is not None:
            self.stream.pause()

    def resume(self) -> None:
        """The caller reads again."""
        self.paused = False
        if self.stream is not None:
            self.stream.resume()

    def _token(self, offset: int, text: str) -> None:
        now = self.clock()
        self.last_frame = self.last_token = now
        if self.first_token is None:
            self.first_token = now
            self.on_first()
        self.tokens += 1
        self.writer.write_token(offset, text)

    def _end(self, reason: str, cached: int) -> None:
        if self.done.done():
            return
        if reason == "cancelled":
            self.fail(Failure.BROKEN)
            return
        if self.stream is not None:
            self.stream.release()
        self.done.set_result(AttemptResult(None, reason, cached))


@dataclass
class Watchdog:
    """All live attempts, checked together at each tick."""

    attempts: dict[int, StreamAttempt] = field(default_factory=dict)
    dropped: Counter[str] = field(default_factory=Counter)

    def add(self, attempt: StreamAttempt) -> None:
        """Watch an attempt."""
        self.attempts[id(attempt)] = attempt

    def remove(self, attempt: StreamAttempt) -> None:
        """Stop watching, and count what its gate dropped."""
        self.attempts.pop(id(attempt), None)
        for cause, count in attempt.gate.dropped_by_cause.items():
            self.dropped[cause.value] += count
        attempt.gate.dropped_by_cause.clear()

    def tick(self, now: float) -> None:
        """Check all attempts."""
        for attempt in list(self.attempts.values()):
            attempt.check(now)
