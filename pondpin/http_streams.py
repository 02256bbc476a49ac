"""Answers that are received piece by piece."""

import asyncio
import math
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

ANSWER_LIMIT = 64 << 20


class CallFailedError(Exception):
    """A call got no whole answer; sent says whether any byte of it can have left.

    refused: nobody listened at its place.
    """

    def __init__(self, cause: str, sent: bool, refused: bool = False) -> None:
        super().__init__(cause)
        self.sent = sent
        self.refused = refused


class WithheldError(CallFailedError):
    """A call that was not sent, since its caller withheld it once the connection was there."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause, sent=False)


class StreamSink(Protocol):
    """Receives the pieces of a streamed answer."""

    def on_data(self, data: bytes) -> None:
        """Take a piece of the body."""
        ...

    def on_end(self, whole: bool) -> None:
        """Take the end; whole is False when the connection broke."""
        ...


class ResponseStream(TwistedProtocol):
    """A streamed answer being received."""

    transport: Any = None

    def __init__(self, sink: StreamSink, response: Any = None) -> None:
        self._sink = sink
        self._response = response
        self._closed = False

    def dataReceived(self, data: bytes) -> None:
        """Pass a piece on."""
        if not self._closed:
            self._sink.on_data(data)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Pass the end on."""
        if self._closed:
            return
        self._closed = True
        self._sink.on_end(reason is not None and self._is_whole(reason))

    def _is_whole(self, reason: Failure) -> bool:
        """Whether the answer ended as its framing says; without a length, a close ends it."""
        if reason.check(ResponseDone) is not None:
            return True
        if reason.check(PotentialDataLoss) is None:
            return False
        return bool(getattr(self._response, "closed_cleanly", False))

    def pause(self) -> None:
        """Stop reading for now."""
        if not self._closed and self.transport is not None:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Go on reading."""
        if not self._closed and self.transport is not None:
            self.transport.resumeProducing()

    def release(self) -> None:
        """The sink has all it wants: let the rest come in unseen, so the connection is kept."""
        self._closed = True

    def close(self) -> None:
        """Close the connection; no more calls to the sink."""
        if not self._closed:
            self._closed = True
            if self.transport is not None:
                self.transport.loseConnection()

    def abort(self) -> None:
        """Reset the connection, so that the other side stops work; no more calls to the sink."""
        self._closed = True
        connection = getattr(self.transport, "_producer", None)
        if connection is not None and hasattr(connection, "abortConnection"):
            connection.abortConnection()


def close_if_answered(answered: "asyncio.Future[Any]") -> None:
    """Close the connection of an answer that came just as its caller stopped waiting."""
    if not answered.done() or answered.cancelled() or answered.exception() is not None:
        return
    StreamedResponse(0, {}, answered.result()).close_unread()


@dataclass(frozen=True, slots=True)
class StreamedResponse:
    """Status and headers of a streamed answer, and the stream to receive it."""

    status: int
    headers: dict[str, str]
    response: Any

    def deliver(self, sink: StreamSink) -> ResponseStream:
        """Receive the body into a sink."""
        stream = ResponseStream(sink, self.response)
        self.response.deliverBody(stream)
        return stream

    @property
    def raw_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """All headers but those of the connection, repeated ones too."""
        return tuple(
            (name, value)
            for name, values in self.response.headers.getAllRawHeaders()
            for value in values
        )

    def close_unread(self) -> None:
        """Close the connection without reading the body."""
        self.deliver(_Nothing()).close()

    def abort(self) -> None:
        """Reset the connection without reading the body."""
        self.deliver(_Nothing()).abort()

    def discard(self) -> None:
        """Receive the body without looking at it, so that the connection can be kept."""
        self.response.deliverBody(ResponseStream(_Nothing()))

    async def read(self, limit: int = ANSWER_LIMIT) -> bytes:
        """Receive the whole body; raises CallFailedError when it breaks or is too large."""
        collector = _Collector(limit)
        collector.stream = self.deliver(collector)
        try:
            return await collector.done
        except asyncio.CancelledError:
            collector.stream.abort()
            raise

    async def read_with_stall_timeout(
        self, stall: float, longest: float, limit: int = ANSWER_LIMIT
    ) -> bytes:
        """As read, for as long as bytes come: stall seconds without any, or longest seconds in all,
        end it.
        """
        collector = _Collector(limit)
        collector.stream = self.deliver(collector)
        try:
            for _ in range(math.ceil(longest / stall)):
                before = collector.size
                done, _ = await asyncio.wait((collector.done,), timeout=stall)
                if done:
                    return collector.done.result()
                if collector.size == before:
                    break
            raise CallFailedError(f"not whole after {collector.size} bytes", sent=True)
        finally:
            if not collector.done.done():
                collector.stream.abort()


class _Nothing:
    """A sink that drops everything."""

    def on_data(self, data: bytes) -> None:
        """Drop it."""

    def on_end(self, whole: bool) -> None:
        """Nothing to do."""


class _Collector:
    """Collects a body up to a limit of bytes."""

    def __init__(self, limit: int) -> None:
        self.done: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.stream: ResponseStream | None = None
        self._limit = limit
        self._parts: list[bytes] = []
        self.size = 0

    def on_data(self, data: bytes) -> None:
        self.size += len(data)
        if self.size <= self._limit:
            self._parts.append(data)
            return
        if self.stream is not None:
            self.stream.close()
        self._fail("the answer is larger than the limit")

    def on_end(self, whole: bool) -> None:
        if whole and not self.done.done():
            self.done.set_result(b"".join(self._parts))
        else:
            self._fail("the answer broke off")

    def _fail(self, cause: str) -> None:
        if not self.done.done():
            self.done.set_exception(CallFailedError(cause, sent=True))
