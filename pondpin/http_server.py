"""HTTP server on twisted.web with bounds on the memory and time of requests.

Bodies stay in memory: instances have no disk, and twisted.web would spool them to files.
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

CLOSE_DELAY_SECONDS = 1.0
# The caller of a stopping instance finds another one at once.
STOPPING_RETRY_SECONDS = 0.05
# A new connection may take this long to send its first request before it counts as idle.
FIRST_REQUEST_SECONDS = 1.0
# Smaller bodies are read before their heads are checked: most requests are admitted.
UNCHECKED_BODY_BYTES = 16 << 10
# A request with one of these may be a retry: whether earlier attempts ran is not known here.
IDEMPOTENCY_HEADERS = ("pondpin-token", "idempotency-key")


@dataclass
class BodyBudget:
    """Budget of body bytes that a server holds for all requests."""

    limit: int
    held: int = 0

    def reserve(self, amount: int) -> bool:
        """Reserve bytes; False when that would exceed the limit."""
        if self.held + amount > self.limit:
            return False
        self.held += amount
        return True

    def release(self, amount: int) -> None:
        """Release reserved bytes."""
        assert 0 <= amount <= self.held, "more body bytes returned than held"
        self.held -= amount


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of a server, in bytes and seconds."""

    body_bytes: int = 64 << 20
    bodies_held_bytes: int = 256 << 20
    header_bytes: int = 16384
    send_seconds: float = 30.0
    idle_seconds: float = 75.0


Handler = Callable[[IncomingRequest, Reply], Awaitable[None]]


class BoundedRequest(http.Request):
    """A request with its body in memory, with limits on size and time."""

    server: "WebServer"

    def __init__(self, channel: http.HTTPChannel, queued: Any = None) -> None:
        super().__init__(channel)
        self.server = cast("WebFactory", channel.factory).server
        cast(Any, channel).awaits_first_request = False
        self.held_bytes = 0
        self.refused = False
        self._is_head_checked = False
        seconds = self.server.limits.send_seconds
        self.send_timer: Any = self.server.clock.callLater(seconds, self._on_send_timeout)

    def gotLength(self, length: int | None) -> None:
        """Create the body buffer; refuse a declared length above the limit."""
        self.content = io.BytesIO()
        if length is not None and length > self.server.limits.body_bytes:
            self.refuse(PondpinError(Code.BODY_TOO_LARGE))
        elif length is not None and length > UNCHECKED_BODY_BYTES:
            self._check_head()

    def _check_head(self) -> None:
        """Refuse a request that its head alone refuses, before the rest of a large body is read."""
        self._is_head_checked = True
        if self.server.check_head is None:
            return
        # Twisted sets the request's own path once the body is complete.
        target: bytes = cast(Any, self.channel)._path
        try:
            self.server.check_head(target, self._raw_headers())
        except PondpinError as error:
            self.refuse(error)

    def _raw_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        headers = self.requestHeaders.getAllRawHeaders()
        return tuple((name, value) for name, values in headers for value in values)

    def handleContentChunk(self, data: bytes) -> None:
        """Store a part of the body, or drop it after a refusal."""
        if self.refused:
            return
        if self.held_bytes + len(data) > self.server.limits.body_bytes:
            self.refuse(PondpinError(Code.BODY_TOO_LARGE))
        elif not self.server.budget.reserve(len(data)):
            self.refuse(PondpinError(Code.BODIES_HELD, retry_after=1.0))
        else:
            self.held_bytes += len(data)
            cast(io.BytesIO, self.content).write(data)
            if self.held_bytes > UNCHECKED_BODY_BYTES and not self._is_head_checked:
                self._check_head()

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process the complete request, without parsing forms."""
        self._cancel_timer()
        if self.refused:
            return
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.process()

    def process(self) -> None:
        """Run the request's handler as a task."""
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
            raw_headers=self._raw_headers(),
        )
        reply = Reply(self)
        self.notifyFinish().addErrback(lambda _: reply.mark_disconnected())
        self.server.spawn(self._run(incoming, reply))

    async def _run(self, incoming: IncomingRequest, reply: Reply) -> None:
        try:
            await self.server.handle(incoming, reply)
        finally:
            self._release()

    @property
    def is_receiving_body(self) -> bool:
        """Whether the head was received and the body is not complete."""
        return self.send_timer is not None and self.content is not None and not self.refused

    def connectionLost(self, reason: Failure) -> None:
        """Clean up, also of an incomplete request."""
        self._cancel_timer()
        if self.method == b"(no method yet)":
            self._release()
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def close_if_stopping(self) -> None:
        """Announce that the connection closes after this reply if the server stops."""
        if not self.server.stopping:
            return
        self.responseHeaders.setRawHeaders(b"connection", [b"close"])
        if self.channel is not None:
            cast(Any, self.channel).persistent = False

    def abort_connection(self) -> None:
        """Abort the connection immediately."""
        if self.channel is not None:
            cast(Any, self.channel).forceAbortClient()

    def _release(self) -> None:
        self.server.budget.release(self.held_bytes)
        self.held_bytes = 0

    def _cancel_timer(self) -> None:
        if self.send_timer is not None and self.send_timer.active():
            self.send_timer.cancel()
        self.send_timer = None

    def _on_send_timeout(self) -> None:
        self.refuse(PondpinError(Code.SLOW_SENDER, retry_after=1.0))

    def refuse(self, error: PondpinError) -> None:
        """Reply before the body is complete; close when the caller could read it."""
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
            f"content-length: {len(body)}\r\n"
        )
        if error.retry_after is not None:
            head += f"retry-after: {error.retry_after:.2f}\r\n"
        channel = self.channel
        channel.write(head.encode() + b"\r\n" + body)
        self.server.clock.callLater(CLOSE_DELAY_SECONDS, channel.loseConnection)


def is_idle(channel: Any, now: float) -> bool:
    """Whether a connection has no request in progress, and its first one is not about to arrive."""
    if channel.requests or channel._buffer:
        return False
    return not channel.awaits_first_request or now - channel.accepted_at >= FIRST_REQUEST_SECONDS


class WebFactory(http.HTTPFactory):
    """Factory of channels with bounded requests."""

    def __init__(self, server: "WebServer") -> None:
        super().__init__(timeout=server.limits.idle_seconds, reactor=server.clock)
        self.server = server

    def buildProtocol(self, addr: Any) -> Any:
        """Create a channel for a new connection."""
        channel: Any = super().buildProtocol(addr)
        channel.requestFactory = BoundedRequest
        # The inner channel checks it, not the one that negotiates the protocol.
        channel._channel.totalHeadersSize = self.server.limits.header_bytes
        channel._channel.awaits_first_request = True
        channel._channel.accepted_at = self.server.clock.seconds()
        channel.timeOut = self.server.limits.idle_seconds
        self.server.channels.add(channel)
        return channel

    def log(self, request: http.Request) -> None:
        """Disable the access log: metrics count requests."""


@dataclass
class WebServer:
    """Routes requests to handlers by longest path prefix."""

    clock: Any
    limits: ServerLimits = field(default_factory=ServerLimits)
    handlers_by_prefix: dict[str, Handler] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    refusals_by_code: dict[Code, int] = field(default_factory=dict)
    port: Any = None
    stopping: bool = False
    # Raises PondpinError for a target and headers that are refused in any case.
    check_head: "Callable[[bytes, tuple[tuple[bytes, bytes], ...]], None] | None" = None
    channels: "weakref.WeakSet[Any]" = field(default_factory=weakref.WeakSet)

    def __post_init__(self) -> None:
        self.budget = BodyBudget(self.limits.bodies_held_bytes)

    def route(self, prefix: str, handler: Handler) -> None:
        """Route paths that start with prefix to handler."""
        self.handlers_by_prefix[prefix] = handler

    def count_refusal(self, code: Code) -> None:
        """Count a request refused before it reached a handler."""
        self.refusals_by_code[code] = self.refusals_by_code.get(code, 0) + 1

    def listen(self, reactor: Any, endpoint: Endpoint, tls: Any = None) -> Endpoint:
        """Listen on an endpoint; returns it with the bound port."""
        factory = WebFactory(self)
        if tls is None:
            self.port = reactor.listenTCP(endpoint.port, factory, interface=endpoint.host)
        else:
            self.port = reactor.listenSSL(endpoint.port, factory, tls, interface=endpoint.host)
        assert self.port is not None
        return Endpoint(endpoint.host, self.port.getHost().port)

    def set_idle_timeout(self, seconds: float) -> None:
        """Set the idle timeout, also of open connections."""
        for channel in list(self.channels):
            inner = channel._channel
            inner.timeOut = seconds
            # While it serves a request a channel saves its timeout and runs no timer.
            if inner._savedTimeOut:
                inner._savedTimeOut = seconds
            elif inner.transport is not None:
                inner.setTimeout(seconds)

    def close_idle(self) -> None:
        """Close idle connections."""
        now = self.clock.seconds()
        for channel in list(self.channels):
            inner = channel._channel
            # loseConnection sends buffered bytes first.
            if inner.transport is not None and is_idle(inner, now):
                inner.loseConnection()

    async def close(self) -> None:
        """Stop listening."""
        if self.port is not None:
            stopped = self.port.stopListening()
            self.port = None
            if stopped is not None:
                await stopped.asFuture(asyncio.get_running_loop())

    def abort_connections(self) -> None:
        """Abort all open connections, as a crash of the process does."""
        for channel in list(self.channels):
            inner = channel._channel
            if inner.transport is not None:
                inner.forceAbortClient()

    def spawn(self, work: Any) -> None:
        """Run a coroutine as a task, referenced until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Run the handler of the path; turn errors into replies."""
        try:
            await self._find_handler(incoming.path)(incoming, reply)
        except PondpinError as error:
            self._reply_error(reply, error)
        except Exception as error:  # the caller must get a reply
            logging.exception("handler of %s failed", incoming.path)
            self._reply_error(reply, PondpinError(Code.INTERNAL, str(error), Ran.UNKNOWN))

    def _find_handler(self, path: str) -> Handler:
        matching = [prefix for prefix in self.handlers_by_prefix if path.startswith(prefix)]
        if not matching:
            raise PondpinError(Code.UNKNOWN_PATH)
        return self.handlers_by_prefix[max(matching, key=len)]

    def _reply_error(self, reply: Reply, error: PondpinError) -> None:
        if reply.started:
            reply.abort()
        else:
            reply.send_error(error)
