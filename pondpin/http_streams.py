"""Responses whose body is received as a stream, and bounds on what is read of them."""

import asyncio
import enum
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from pondpin.body_ends import BodyEnd
    from pondpin.buffered_bodies import Collector

# Whether a close-delimited body is complete, by its status and content.
BodyCheck = Callable[[int, bytes], bool]


class ResponseFault(enum.StrEnum):
    """Why a response was ended: a bound that it exceeded, or a part that is malformed."""

    HEAD_BYTES = "head_bytes"
    HEAD_LINES = "head_lines"
    HEAD_SECONDS = "head_seconds"
    BODY_BYTES = "body_bytes"
    BUFFERED_BYTES = "buffered_bytes"
    STATUS_LINE = "status_line"
    FIELD_LINE = "field_line"
    LINE_END = "line_end"
    FRAMING = "framing"
    CHUNK = "chunk"
    TRAILER = "trailer"

    @property
    def is_limit(self) -> bool:
        """Whether it is a bound of ResponseLimits."""
        return self not in MALFORMED_PARTS

    @property
    def description(self) -> str:
        """For errors and log lines."""
        return f"{'response exceeds' if self.is_limit else 'malformed response:'} {self.value}"


MALFORMED_PARTS = frozenset(
    (
        ResponseFault.STATUS_LINE,
        ResponseFault.FIELD_LINE,
        ResponseFault.LINE_END,
        ResponseFault.FRAMING,
        ResponseFault.CHUNK,
        ResponseFault.TRAILER,
    )
)


@dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Bounds of a client's responses.

    head_bytes, head_lines: of a head with the interim responses before it. head_seconds: from its
    first byte to its end. body_bytes: of one buffered body. buffered_bytes: of all together.
    """

    head_bytes: int = 64 << 10
    head_lines: int = 256
    head_seconds: float = 1.0
    body_bytes: int = 16 << 20
    buffered_bytes: int = 32 << 20


DEFAULT_LIMITS = ResponseLimits()
# Enough for liveness checks, reports and orders.
SMALL_BODY_BYTES = 64 << 10


class ResponseFaultError(Exception):
    """A response exceeded a bound, or is malformed."""

    def __init__(self, fault: ResponseFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


def find_fault(error: BaseException | None) -> ResponseFault | None:
    """The fault behind an error of Twisted's client, which wraps the parser's."""
    if isinstance(error, ResponseFaultError):
        return error.fault
    for reason in getattr(error, "reasons", ()):
        found = find_fault(reason.value if isinstance(reason, Failure) else reason)
        if found is not None:
            return found
    return None


class Buffer(Protocol):
    """A body that is being buffered."""

    size: int

    def give_way(self) -> None:
        """End the response and drop what was buffered of it."""
        ...


@dataclass(eq=False)
class BufferBudget:
    """Budget of the bytes that a client buffers of all bodies; the largest one gives way."""

    limit: int
    held: int = 0
    buffers: set[Buffer] = field(default_factory=set)

    def add(self, buffer: Buffer, amount: int) -> bool:
        """Add bytes to a buffer; False if it had to give way."""
        self.buffers.add(buffer)
        buffer.size += amount
        self.held += amount
        while self.held > self.limit:
            largest = max(self.buffers, key=lambda item: item.size)
            self.remove(largest)
            largest.give_way()
        return buffer in self.buffers

    def remove(self, buffer: Buffer) -> None:
        """Release the bytes of a buffer."""
        if buffer in self.buffers:
            self.buffers.discard(buffer)
            self.held -= buffer.size


class CallFailedError(Exception):
    """A call got no complete response; sent: whether any byte of it may have been sent.

    refused: the connection was refused. unconfirmed: there was no path to the server, which says
    nothing of the server itself. fault: of the response.
    """

    def __init__(
        self,
        cause: str,
        sent: bool,
        refused: bool = False,
        unconfirmed: bool = False,
        fault: ResponseFault | None = None,
    ) -> None:
        super().__init__(cause if fault is None else fault.description)
        self.fault = fault
        self.sent = sent
        self.refused = refused
        self.unconfirmed = unconfirmed


class WithheldError(CallFailedError):
    """A call that its caller withheld once connected."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause, sent=False)


class StreamSink(Protocol):
    """Receiver of a streamed body."""

    def on_data(self, data: bytes) -> None:
        """Receive a part of the body."""
        ...

    def on_end(self, end: "BodyEnd") -> None:
        """Receive the end, which may be an early one."""
        ...


class ResponseStream(TwistedProtocol):
    """A response body being received."""

    transport: Any = None

    def __init__(self, sink: StreamSink, response: Any = None) -> None:
        self._sink = sink
        self._response = response
        self._closed = False

    def dataReceived(self, data: bytes) -> None:
        """Pass data to the sink."""
        if not self._closed:
            self._sink.on_data(data)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Pass the end to the sink."""
        if self._closed:
            return
        self._closed = True
        from pondpin.body_ends import describe_body_end

        end = describe_body_end(self._response, reason)
        if self._response is not None:
            self._response.body_end = end
        self._sink.on_end(end)

    def pause(self) -> None:
        """Pause reading."""
        if not self._closed and self.transport is not None:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading."""
        if not self._closed and self.transport is not None:
            self.transport.resumeProducing()

    def release(self) -> None:
        """Drop the remaining data, so that the connection can be reused."""
        self._closed = True

    def close(self) -> None:
        """Close the connection; no more calls to the sink."""
        if not self._closed:
            self._closed = True
            if self.transport is not None:
                self.transport.loseConnection()

    def abort(self) -> None:
        """Reset the connection to stop the server's work; no more calls to the sink."""
        self._closed = True
        connection = getattr(self.transport, "_producer", None)
        if connection is not None and hasattr(connection, "abortConnection"):
            connection.abortConnection()


def close_if_answered(future: "asyncio.Future[Any]") -> None:
    """Close the connection of a response that arrived as its caller was cancelled."""
    if not future.done() or future.cancelled() or future.exception() is not None:
        return
    StreamedResponse(0, {}, future.result()).close_unread()


@dataclass(frozen=True, slots=True)
class StreamedResponse:
    """Status and headers of a response, and its body as a stream."""

    status: int
    headers: dict[str, str]
    response: Any
    limits: ResponseLimits = DEFAULT_LIMITS
    budget: BufferBudget | None = None

    def deliver(self, sink: StreamSink) -> ResponseStream:
        """Stream the body into a sink."""
        stream = ResponseStream(sink, self.response)
        self.response.deliverBody(stream)
        return stream

    @property
    def raw_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """All headers except connection headers."""
        return tuple(
            (name, value)
            for name, values in self.response.headers.getAllRawHeaders()
            for value in values
        )

    @property
    def body_end(self) -> "BodyEnd | None":
        """The end of the body, None until it came."""
        return getattr(self.response, "body_end", None)

    def close_unread(self) -> None:
        """Close the connection without reading the body."""
        self.deliver(_NullSink()).close()

    def abort(self) -> None:
        """Reset the connection without reading the body."""
        self.deliver(_NullSink()).abort()

    def discard(self) -> None:
        """Drop the body, so that the connection can be reused."""
        self.response.deliverBody(ResponseStream(_NullSink()))

    async def read(
        self, limit: int | None = None, close_delimited_if: BodyCheck | None = None
    ) -> bytes:
        """Read the whole body; raises CallFailedError when it breaks or is too large.

        close_delimited_if: a body that only its connection's end delimits is accepted if this
        shows that it is complete, never by default.
        """
        collector = self._collect(limit, close_delimited_if)
        try:
            return await collector.done
        finally:
            collector.close()

    def _collect(self, limit: int | None, check: BodyCheck | None) -> "Collector":
        from pondpin.buffered_bodies import collect

        return collect(self, limit, check)

    async def read_with_stall_timeout(
        self,
        stall: float,
        max_seconds: float,
        limit: int | None = None,
        close_delimited_if: BodyCheck | None = None,
    ) -> bytes:
        """Like read; fails after stall seconds without data, or max_seconds in all."""
        collector = self._collect(limit, close_delimited_if)
        try:
            for _ in range(math.ceil(max_seconds / stall)):
                before = collector.size
                done, _ = await asyncio.wait((collector.done,), timeout=stall)
                if done:
                    return collector.done.result()
                if collector.size == before:
                    break
            raise CallFailedError(f"response incomplete after {collector.size} bytes", sent=True)
        finally:
            collector.close()


class _NullSink:
    def on_data(self, data: bytes) -> None:
        """Drop the data."""

    def on_end(self, end: "BodyEnd") -> None:
        """No effect."""
