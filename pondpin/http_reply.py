"""A request that arrived whole, and the answer to it, on a twisted.web request."""

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


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=False):
    """What a caller reads of a refusal or failure; retry_after is in seconds."""

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
    """The document that tells a caller of an error."""
    info = INFO_BY_CODE[error.code]
    return ErrorAnswer(
        ErrorBody(
            code=int(error.code),
            name=error.code.name,
            message=error.detail or info.meaning,
            ran=error.ran.value,
            retry=info.retry,
            retry_after=error.retry_after,
            request=request,
        )
    )


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request that arrived whole; header names are lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    target: bytes = b""
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()


class Pausable(Protocol):
    """A source that can be told to hold back."""

    def pause(self) -> None:
        """Stop producing for now."""
        ...

    def resume(self) -> None:
        """Go on producing."""
        ...


class Reply:
    """The answer to one request: whole by send, or in pieces by start, write and finish."""

    def __init__(self, request: "BoundedRequest") -> None:
        # Twisted leaves these methods without types.
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
        self._request.close_if_stopping()

    def start_raw(self, status: int, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        """As start, with headers as they are; repeated ones stay repeated."""
        assert not self.started, "an answer starts once"
        self.started = True
        if self.is_closed:
            return
        self._request.setResponseCode(status)
        for name, value in headers:
            self._request.responseHeaders.addRawHeader(name, value)
        self._request.close_if_stopping()

    def send_raw(self, status: int, headers: tuple[tuple[bytes, bytes], ...], body: bytes) -> None:
        """As send, with headers as they are; an answer that may have no body keeps its length."""
        bodiless = self._request.method == b"HEAD" or status in http.NO_BODY_CODES
        if not bodiless:
            headers = (*headers, (b"content-length", str(len(body)).encode()))
        self.start_raw(status, headers)
        self.write(body)
        self.finish()

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        if not self.is_closed:
            self._request.write(data)

    def finish(self) -> None:
        """End the answer."""
        if not self.is_closed:
            self.is_closed = True
            self._request.finish()

    def abort(self) -> None:
        """Cut the connection so that the caller can't take the answer for whole."""
        if not self.is_closed:
            self.is_closed = True
            self._request.abort_connection()

    @property
    def channel(self) -> Any:
        """The connection below, None once it is closed."""
        return self._request.channel

    @property
    def peer_host(self) -> str:
        """The IP number of the other side."""
        return str(self._request.getClientAddress().host)

    def send(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a whole answer."""
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
        """Send an error with its code, outcome and retry advice.

        fractions: the caller understands a Retry-After of less than a second.
        """
        headers = {"content-type": JSON, "pondpin-ran": error.ran.value} | (extra or {})
        if error.retry_after is not None:
            whole = str(max(1, round(error.retry_after)))
            headers["retry-after"] = f"{error.retry_after:.2f}" if fractions else whole
        body = msgspec.json.encode(describe_error(error, request))
        self.send(error.status, headers, body)

    def attach_source(self, source: Pausable) -> None:
        """Pause the source whenever the caller reads more slowly than it produces."""
        if not self.is_closed:
            self._request.registerProducer(_PullBridge(source), True)

    def detach_source(self) -> None:
        """Stop following the source."""
        if not self.is_closed:
            self._request.unregisterProducer()

    def mark_disconnected(self) -> None:
        """The caller closed the connection."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.on_disconnect is not None:
            self.on_disconnect()


@dataclass
class _PullBridge:
    """Turns Twisted's producer calls into pause and resume."""

    source: Pausable

    def pauseProducing(self) -> None:
        self.source.pause()

    def resumeProducing(self) -> None:
        self.source.resume()

    def stopProducing(self) -> None:
        self.source.pause()
