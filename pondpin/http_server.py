"""HTTP server on twisted.web whose requests are bounded in memory and time.

Bodies stay in memory: instances have no disk, and twisted.web alone would spool them to a file.
"""

import asyncio
import io
import urllib.parse
import weakref
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, cast

import msgspec
from absl import logging
from twisted.python.failure import Failure
from twisted.web import http

from pondpin.codes import Code, Ran
from pondpin.errors import PondpinError
from pondpin.http_reply import JSON, IncomingRequest, Reply, describe_error
from pondpin.network import Endpoint

LINGER_SECONDS = 1.0
# A call that carries one of these may be another try: of the earlier ones nothing is known here.
IDEMPOTENCY_HEADERS = ("pondpin-token", "idempotency-key")


@dataclass
class BodyBudget:
    """Counts the body bytes that a server holds, over all its requests."""

    limit: int
    held: int = 0

    def reserve(self, amount: int) -> bool:
        """Reserve bytes; False when that would pass the limit."""
        if self.held + amount > self.limit:
            return False
        self.held += amount
        return True

    def release(self, amount: int) -> None:
        """Return reserved bytes."""
        assert 0 <= amount <= self.held, "more body bytes returned than held"
        self.held -= amount


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds of a server: bytes and seconds."""

    body_bytes: int = 64 << 20
    bodies_held_bytes: int = 256 << 20
    header_bytes: int = 16384
    send_seconds: float = 30.0
    idle_seconds: float = 75.0


Handler = Callable[[IncomingRequest, Reply], Awaitable[None]]


class BoundedRequest(http.Request):
    """A request whose body stays in memory, within limits of size and time."""

    server: "WebServer"

    def __init__(self, channel: http.HTTPChannel, queued: Any = None) -> None:
        super().__init__(channel)
        self.server = cast("WebFactory", channel.factory).server
        self.taken = 0
        self.refused = False
        seconds = self.server.limits.send_seconds
        self.slow: Any = self.server.clock.callLater(seconds, self._too_slow)

    def gotLength(self, length: int | None) -> None:
        """Open an in-memory body; refuse one that is too large before it arrives."""
        self.content = io.BytesIO()
        if length is not None and length > self.server.limits.body_bytes:
            self._refuse(PondpinError(Code.BODY_TOO_LARGE))

    def handleContentChunk(self, data: bytes) -> None:
        """Keep a piece of the body, or drop it once the request is refused."""
        if self.refused:
            return
        if self.taken + len(data) > self.server.limits.body_bytes:
            self._refuse(PondpinError(Code.BODY_TOO_LARGE))
        elif not self.server.budget.reserve(len(data)):
            self._refuse(PondpinError(Code.BODIES_HELD, retry_after=1.0))
        else:
            self.taken += len(data)
            cast(io.BytesIO, self.content).write(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """The request arrived whole: pass it on, without parsing forms."""
        self._cancel_timer()
        if self.refused:
            return
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.process()

    def process(self) -> None:
        """Run the handler of the path as a task."""
        content = cast(io.BytesIO, self.content)
        body = content.getvalue()
        content.close()
        headers = {
            name.decode("latin-1").lower(): values[0].decode("latin-1")
            for name, values in self.requestHeaders.getAllRawHeaders()
        }
        query = self.uri.partition(b"?")[2].decode("latin-1")
        incoming = IncomingRequest(
            method=self.method.decode("latin-1"),
            path=self.path.decode("latin-1"),
            query=dict(urllib.parse.parse_qsl(query, keep_blank_values=True)),
            headers=headers,
            body=body,
            target=self.uri,
            raw_headers=tuple(
                (name, value)
                for name, values in self.requestHeaders.getAllRawHeaders()
                for value in values
            ),
        )
        reply = Reply(self)
        self.notifyFinish().addErrback(lambda _: reply.mark_disconnected())
        self.server.spawn(self._run(incoming, reply))

    async def _run(self, incoming: IncomingRequest, reply: Reply) -> None:
        try:
            await self.server.handle(incoming, reply)
        finally:
            self._release()

    def connectionLost(self, reason: Failure) -> None:
        """The connection closed, perhaps before the request was whole."""
        self._cancel_timer()
        if self.method == b"(no method yet)":
            self._release()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def close_if_stopping(self) -> None:
        """When the server stops: tell the caller that the connection ends with this answer."""
        if not self.server.stopping:
            return
        self.responseHeaders.setRawHeaders(b"connection", [b"close"])
        if self.channel is not None:
            cast(Any, self.channel).persistent = False

    def abort_connection(self) -> None:
        """Cut the connection at once."""
        if self.channel is not None:
            cast(Any, self.channel).forceAbortClient()

    def _release(self) -> None:
        self.server.budget.release(self.taken)
        self.taken = 0

    def _cancel_timer(self) -> None:
        if self.slow is not None and self.slow.active():
            self.slow.cancel()
        self.slow = None

    def _too_slow(self) -> None:
        self._refuse(PondpinError(Code.SLOW_SENDER, retry_after=1.0))

    def _refuse(self, error: PondpinError) -> None:
        """Answer before the body is whole, then close once the caller could read it."""
        if any(self.requestHeaders.hasHeader(name) for name in IDEMPOTENCY_HEADERS):
            error.ran = Ran.UNKNOWN
        self.refused = True
        self._cancel_timer()
        self._release()
        self.server.count_refusal(error.code)
        body = msgspec.json.encode(describe_error(error))
        head = (
            f"HTTP/1.1 {error.status} {error.code.name}\r\ncontent-type: {JSON}\r\n"
            f"pondpin-ran: {error.ran.value}\r\nconnection: close\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        channel = self.channel
        channel.write(head.encode() + body)
        self.server.clock.callLater(LINGER_SECONDS, channel.loseConnection)


class WebFactory(http.HTTPFactory):
    """Builds channels whose requests are bounded."""

    def __init__(self, server: "WebServer") -> None:
        super().__init__(timeout=server.limits.idle_seconds, reactor=server.clock)
        self.server = server

    def buildProtocol(self, addr: Any) -> Any:
        """Build a channel for a new connection."""
        channel: Any = super().buildProtocol(addr)
        channel.requestFactory = BoundedRequest
        # The bound is kept by the inner channel, not by the one that negotiates the protocol.
        channel._channel.totalHeadersSize = self.server.limits.header_bytes
        channel.timeOut = self.server.limits.idle_seconds
        self.server.channels.add(channel)
        return channel

    def log(self, request: http.Request) -> None:
        """Write no access log: requests are counted."""


@dataclass
class WebServer:
    """Routes requests by longest path prefix to handlers."""

    clock: Any
    limits: ServerLimits = field(default_factory=ServerLimits)
    handlers_by_prefix: dict[str, Handler] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    refusals_by_code: dict[Code, int] = field(default_factory=dict)
    port: Any = None
    stopping: bool = False
    channels: "weakref.WeakSet[Any]" = field(default_factory=weakref.WeakSet)

    def __post_init__(self) -> None:
        """Set up the count of body bytes held."""
        self.budget = BodyBudget(self.limits.bodies_held_bytes)

    def route(self, prefix: str, handler: Handler) -> None:
        """Send paths that start with prefix to handler."""
        self.handlers_by_prefix[prefix] = handler

    def count_refusal(self, code: Code) -> None:
        """Count a request refused before it reached a handler."""
        self.refusals_by_code[code] = self.refusals_by_code.get(code, 0) + 1

    def listen(self, reactor: Any, endpoint: Endpoint, tls: Any = None) -> Endpoint:
        """Listen on an endpoint; returns it with the port that was bound."""
        factory = WebFactory(self)
        if tls is None:
            self.port = reactor.listenTCP(endpoint.port, factory, interface=endpoint.host)
        else:
            self.port = reactor.listenSSL(endpoint.port, factory, tls, interface=endpoint.host)
        assert self.port is not None
        return Endpoint(endpoint.host, self.port.getHost().port)

    def set_idle_timeout(self, seconds: float) -> None:
        """Change how long idle connections are kept, for the open ones too."""
        for channel in list(self.channels):
            inner = channel._channel
            inner.timeOut = seconds
            # While a request is served the channel has no timer, but one to go back to.
            if inner._savedTimeOut:
                inner._savedTimeOut = seconds
            elif inner.transport is not None:
                inner.setTimeout(seconds)

    def close_idle(self) -> None:
        """Close the connections on which no request is open or arriving."""
        for channel in list(self.channels):
            inner = channel._channel
            # A connection that is being closed waits for its unsent bytes first.
            if inner.transport is not None and not inner.requests:
                inner.loseConnection()

    async def close(self) -> None:
        """Stop listening."""
        if self.port is not None:
            stopped = self.port.stopListening()
            self.port = None
            if stopped is not None:
                await stopped.asFuture(asyncio.get_running_loop())

    def abort_connections(self) -> None:
        """Break all open connections, as the death of the process does."""
        for channel in list(self.channels):
            inner = channel._channel  # the one that Twisted's generic channel wraps
            if inner.transport is not None:
                inner.forceAbortClient()

    def spawn(self, work: Any) -> None:
        """Run a coroutine as a task that is kept until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Find the handler, run it, and turn errors into answers."""
        try:
            await self._find(incoming.path)(incoming, reply)
        except PondpinError as error:
            self._answer_error(reply, error)
        except Exception as error:  # a fault must not leave the caller waiting
            logging.exception("handler of %s failed", incoming.path)
            self._answer_error(reply, PondpinError(Code.INTERNAL, str(error), Ran.UNKNOWN))

    def _find(self, path: str) -> Handler:
        fitting = [prefix for prefix in self.handlers_by_prefix if path.startswith(prefix)]
        if not fitting:
            raise PondpinError(Code.UNKNOWN_PATH)
        return self.handlers_by_prefix[max(fitting, key=len)]

    def _answer_error(self, reply: Reply, error: PondpinError) -> None:
        if reply.started:
            reply.abort()
        else:
            reply.send_error(error)
