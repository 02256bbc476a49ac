"""A complete request, and the reply to it, on a twisted.web request."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

import msgspec
from twisted.web import http

from pondpin.codes import INFO_BY_CODE
from pondpin.errors import PondpinError

if TYPE_CHECKING:
    from pondpin.http_server import BoundedRequest

JSON = "application/json"
# Longer delays, also infinite ones, are sent as this (RFC 9111, section 1.2.2).
MAX_RETRY_SECONDS = float(1 << 31)


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=False):
    """An error as the caller sees it; retry_after is in seconds."""

    code: int
    name: str
    message: str
    ran: str
    retry: bool
    retry_after: float | None
    request: str


class ErrorAnswer(msgspec.Struct, frozen=True):
    """The JSON document of an error."""

    error: ErrorBody


def describe_error(error: PondpinError, request: str = "") -> ErrorAnswer:
    """The JSON document of an error."""
    info = INFO_BY_CODE[error.code]
    delay = error.retry_after
    return ErrorAnswer(
        ErrorBody(
            code=int(error.code),
            name=error.code.name,
            message=error.detail or info.meaning,
            ran=error.ran.value,
            retry=info.retry,
            retry_after=None if delay is None else min(MAX_RETRY_SECONDS, delay),
            request=request,
        )
    )


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A completely received request; header names are lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: bytes = b""
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()


class Pausable(Protocol):
    """A data source with flow control."""

    def pause(self) -> None:
        """Pause production."""
        ...

    def resume(self) -> None:
        """Resume production."""
        ...


class Reply:
    """The reply to one request: whole by send, or streamed by start, write and finish."""

    def __init__(self, request: "BoundedRequest") -> None:
        # Any, since Twisted's methods have no types.
        self._request: Any = request
        self.started = False
        self.is_closed = False
        self.on_disconnect: Callable[[], None] | None = None

    def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the status and headers; once only."""
        assert not self.started, "an answer starts once"
        self.started = True
        if self.is_closed:
            return
        self._request.setResponseCode(status)
        for name, value in headers.items():
            self._request.setHeader(name, value)
        self._begin()

    def start_raw(self, status: int, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        """Like start, with unchanged headers, also repeated ones."""
        assert not self.started, "an answer starts once"
        self.started = True
        if self.is_closed:
            return
        self._request.setResponseCode(status)
        for name, value in headers:
            self._request.responseHeaders.addRawHeader(name, value)
        self._begin()

    def _begin(self) -> None:
        self._request.close_if_stopping()
        if self._request.clientproto != b"HTTP/1.1":
            from pondpin.reply_ends import reset_unless_finished

            reset_unless_finished(self._request)

    def send_raw(self, status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes) -> None:
        """Like send, with unchanged headers; without a body their content-length stays."""
        has_no_body = self._request.method == b"HEAD" or status in http.NO_BODY_CODES
        if not has_no_body:
            headers = (*headers, (b"content-length", str(len(body)).encode()))
        self.start_raw(status, headers)
        self.write(body)
        self.finish()

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self.is_closed:
            self._request.write(data)

    def finish(self) -> None:
        """End the reply."""
        if not self.is_closed:
            self.is_closed = True
            self._request.finish()

    def abort(self) -> None:
        """Abort the connection, so that the reply can't pass for complete."""
        if not self.is_closed:
            self.is_closed = True
            self._request.abort_connection()

    def truncate(self) -> None:
        """End a started reply so that it can't pass for complete, after what was written."""
        from pondpin.reply_ends import truncate

        truncate(self, self._request)

    @property
    def channel(self) -> Any:
        """The connection's HTTP channel, None once it is closed."""
        return self._request.channel

    @property
    def peer_host(self) -> str:
        """The caller's IP address."""
        return str(self._request.getClientAddress().host)

    def send(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a whole reply."""
        self.start(status, headers | {"content-length": str(len(body))})
        self.write(body)
        self.finish()

    def send_json(self, value: object, status: int = 200) -> None:
        """Send a value as a JSON document."""
        self.send(status, {"content-type": JSON}, msgspec.json.encode(value))

    def send_error(
        self,
        error: PondpinError,
        request: str = "",
        extra: dict[str, str] | None = None,
        fractions: bool = False,
    ) -> None:
        """Send an error; fractions: the caller accepts a fractional Retry-After."""
        headers = {"content-type": JSON, "pondpin-ran": error.ran.value} | (extra or {})
        if error.retry_after is not None:
            seconds = min(MAX_RETRY_SECONDS, error.retry_after)
            headers["retry-after"] = f"{seconds:.2f}" if fractions else str(max(1, round(seconds)))
        body = msgspec.json.encode(describe_error(error, request))
        self.send(error.status, headers, body)

    def attach_source(self, source: Pausable) -> None:
        """Pause the source whenever the caller reads too slowly."""
        if not self.is_closed:
            self._request.registerProducer(_ProducerAdapter(source), True)

    def detach_source(self) -> None:
        """Detach the source."""
        if not self.is_closed:
            self._request.unregisterProducer()

    def mark_disconnected(self) -> None:
        """Record that the caller closed the connection."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.on_disconnect is not None:
            self.on_disconnect()


@dataclass
class _ProducerAdapter:
    source: Pausable

    def pauseProducing(self) -> None:
        self.source.pause()

    def resumeProducing(self) -> None:
        self.source.resume()

    def stopProducing(self) -> None:
        self.source.pause()
