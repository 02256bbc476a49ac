"""Bodies that are received as a whole."""

import asyncio
from collections.abc import Callable

from pondpin.body_ends import BodyEnd
from pondpin.http_streams import (
    BodyCheck,
    BufferBudget,
    CallFailedError,
    ResponseFault,
    ResponseStream,
    StreamedResponse,
)


def collect(
    response: StreamedResponse, limit: int | None, close_delimited_if: BodyCheck | None
) -> "Collector":
    """Begin to receive a response's body; see StreamedResponse.read."""

    def is_whole(body: bytes) -> bool:
        return close_delimited_if is not None and close_delimited_if(response.status, body)

    limits = response.limits
    budget = response.budget or BufferBudget(limits.buffered_bytes)
    collector = Collector(limits.body_bytes if limit is None else limit, budget, is_whole)
    collector.attach(response.deliver(collector))
    return collector


class Collector:
    """Buffers a body within a limit of its own and a budget of all."""

    def __init__(self, limit: int, budget: BufferBudget, is_whole: Callable[[bytes], bool]) -> None:
        """is_whole: whether a close-delimited body is complete."""
        self.done: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.size = 0
        self._stream: ResponseStream | None = None
        self._limit = limit
        self._is_whole = is_whole
        self._budget = budget
        self._parts: list[bytes] = []

    def attach(self, stream: ResponseStream) -> None:
        """Set the stream, which may have delivered data already."""
        self._stream = stream
        if self._is_failed:
            stream.abort()

    def on_data(self, data: bytes) -> None:
        """Receive a part of the body."""
        if self.done.done():
            return
        if self.size + len(data) > self._limit:
            self._fail(CallFailedError("", sent=True, fault=ResponseFault.BODY_BYTES))
        elif self._budget.add(self, len(data)):
            self._parts.append(data)

    def give_way(self) -> None:
        """End the response and drop what was buffered of it."""
        self._fail(CallFailedError("", sent=True, fault=ResponseFault.BUFFERED_BYTES))

    def on_end(self, end: BodyEnd) -> None:
        """Receive the end."""
        if self.done.done():
            return
        body = b"".join(self._parts)
        if end.is_framed or (end.may_be_whole and self._is_whole(body)):
            self.done.set_result(body)
        elif end.may_be_whole:
            self._fail(CallFailedError("the answer is close-delimited", sent=True))
        else:
            self._fail(CallFailedError("the answer broke off", sent=True, fault=end.fault))

    def close(self) -> None:
        """Release the buffer; reset the connection unless the body is complete."""
        self._budget.remove(self)
        self._parts.clear()
        if self._stream is not None and (not self.done.done() or self._is_failed):
            self._stream.abort()

    @property
    def _is_failed(self) -> bool:
        done = self.done
        return done.done() and (done.cancelled() or done.exception() is not None)

    def _fail(self, error: CallFailedError) -> None:
        self._budget.remove(self)
        self._parts.clear()
        if not self.done.done():
            self.done.set_exception(error)
        if self._stream is not None:
            self._stream.abort()
