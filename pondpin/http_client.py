"""HTTP client on twisted.web's Agent that tells whether a call can have been sent."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from twisted.internet import error as net_error
from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import (
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
    wrapClientTLS,
)
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.python.failure import Failure
from twisted.web.client import URI, Agent, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from pondpin.http_connections import CheckedConnections

ANSWER_LIMIT = 64 << 20
# Idle connections are closed after this many seconds unless the other side says less.
IDLE_SECONDS = 30.0
NEVER_CONNECTED = (
    net_error.ConnectError,
    net_error.ConnectionRefusedError,
    net_error.TimeoutError,
    net_error.NoRouteError,
)


class CallFailedError(Exception):
    """A call got no whole answer; sent says whether any byte of it can have left."""

    def __init__(self, cause: str, sent: bool) -> None:
        super().__init__(cause)
        self.sent = sent


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer; header names are lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class StreamSink(Protocol):
    """Receives the pieces of a streamed answer."""

    def on_data(self, data: bytes) -> None:
        """Take a piece of the body."""
        ...

    def on_end(self, whole: bool) -> None:
        """Take the end; whole is False when the connection broke."""
        ...


@implementer(IBodyProducer)
class _Bytes:
    """Sends a body that is in memory."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length: Any = len(body) if body is not None else UNKNOWN_LENGTH

    def startProducing(self, consumer: Any) -> Deferred[None]:
        consumer.write(self.body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Nothing to pause: all is written at once."""

    def resumeProducing(self) -> None:
        """Nothing to resume."""

    def stopProducing(self) -> None:
        """Nothing to stop."""


@implementer(IAgentEndpointFactory)
class _NumericEndpoints:
    """Connects by IP number, without the resolver and its threads."""

    def __init__(self, reactor: Any, connect_timeout: float, authority: str) -> None:
        self._reactor = reactor
        self._timeout = connect_timeout
        self._authority = authority

    def endpointForURI(self, uri: Any) -> Any:
        host = uri.host.decode("ascii").strip("[]")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint: Any = kind(self._reactor, host, uri.port, timeout=self._timeout)
        if uri.scheme != b"https":
            return endpoint
        # A relay speaks no TLS to upstreams and runs without its libraries.
        from twisted.internet.ssl import Certificate, optionsForClientTLS

        trusted = Certificate.loadPEM(Path(self._authority).read_bytes())
        return wrapClientTLS(optionsForClientTLS(host, trustRoot=trusted), endpoint)


@implementer(IAgentEndpointFactory)
class _NoEndpoints:
    """For an agent that is only used with endpoints of its caller's."""

    def endpointForURI(self, uri: Any) -> Any:
        raise AssertionError("exact calls bring their endpoint")


class _ExactAgent(Agent):
    """Sends requests whose target and headers are passed on as they are."""

    def request_exact(self, call: "ExactCall", endpoint: Any) -> Any:
        """Send; the connection is kept for the same host and port."""
        authority = f"{call.host}:{call.port}".encode()
        uri = URI(b"http", authority, call.host.encode(), call.port, b"/", b"", b"", b"")
        headers = Headers()
        for name, value in call.headers:
            headers.addRawHeader(name, value)
        producer: Any = _Bytes(call.body) if call.body else None
        key = (b"exact", call.host.encode(), call.port)
        return self._requestWithEndpoint(
            key, endpoint, call.method, uri, headers, producer, call.target
        )


@dataclass(frozen=True, slots=True)
class ExactCall:
    """A request to be sent as it is; target is the path with its query."""

    host: str
    port: int
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class OpenStream(TwistedProtocol):
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


def _drop_if_answered(answered: "asyncio.Future[Any]") -> None:
    """Close the connection of an answer that came just as its caller stopped waiting."""
    if not answered.done() or answered.cancelled() or answered.exception() is not None:
        return
    StreamStart(0, {}, answered.result()).drop()


@dataclass(frozen=True, slots=True)
class StreamStart:
    """Status and headers of a streamed answer, and the stream to receive it."""

    status: int
    headers: dict[str, str]
    response: Any

    def deliver(self, sink: StreamSink) -> OpenStream:
        """Receive the body into a sink."""
        stream = OpenStream(sink, self.response)
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

    def drop(self) -> None:
        """Close the connection without reading the body."""
        self.deliver(_Nothing()).close()

    def abort(self) -> None:
        """Reset the connection without reading the body."""
        self.deliver(_Nothing()).abort()

    def discard(self) -> None:
        """Receive the body without looking at it, so that the connection can be kept."""
        self.response.deliverBody(OpenStream(_Nothing()))

    async def read(self, limit: int = ANSWER_LIMIT) -> bytes:
        """Receive the whole body; raises CallFailedError when it breaks or is too large."""
        collector = _Collector(limit)
        collector.stream = self.deliver(collector)
        try:
            return await collector.done
        except asyncio.CancelledError:
            collector.stream.abort()
            raise


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
        self.stream: OpenStream | None = None
        self._limit = limit
        self._parts: list[bytes] = []
        self._size = 0

    def on_data(self, data: bytes) -> None:
        self._size += len(data)
        if self._size <= self._limit:
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


class HttpClient:
    """Makes HTTP calls by IP number; nothing is retried here.

    authority is the PEM file that https servers' certificates must be signed by.
    """

    def __init__(
        self,
        reactor: Any,
        connect_timeout: float,
        per_host: int = 512,
        authority: str = "",
        idle_seconds: float = IDLE_SECONDS,
    ) -> None:
        pool = CheckedConnections(reactor, idle_seconds, per_host)
        self._pool = pool
        self._reactor = reactor
        self._connect_timeout = connect_timeout
        endpoints = _NumericEndpoints(reactor, connect_timeout, authority)
        self._kept = Agent.usingEndpointFactory(reactor, endpoints, pool)
        self._fresh = Agent.usingEndpointFactory(reactor, endpoints)
        make_exact: Any = _ExactAgent.usingEndpointFactory
        self._exact = make_exact(reactor, _NoEndpoints(), pool)
        single_use = CheckedConnections(reactor, 0.0, 0, persistent=False)
        self._exact_fresh = make_exact(reactor, _NoEndpoints(), single_use)
        self._is_cut = False
        # Hosts and ports that experiments cut off: calls to them fail as on a broken network.
        self.blocked: set[str] = set()

    def cut(self) -> None:
        """Make no more calls, as after the death of the process."""
        self._is_cut = True

    async def open(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        fresh: bool = False,
    ) -> StreamStart:
        """Send a call and wait for status and headers; raises CallFailedError.

        fresh opens a new connection, so that a failure to connect proves that nothing was sent.
        """
        self._check_cut(url, sent=False)
        agent = self._fresh if fresh else self._kept
        raw = Headers({name: [value] for name, value in (headers or {}).items()})
        producer: Any = _Bytes(body) if body else None
        call = agent.request(method.encode(), url.encode(), raw, producer)
        start = await self._receive(call)
        self._check_cut(url, sent=True)
        return start

    async def open_exact(self, call: ExactCall, fresh: bool = False) -> StreamStart:
        """As open, for a request that is passed on as it is."""
        place = f"http://{call.host}:{call.port}/"
        self._check_cut(place, sent=False)
        endpoint = TCP4ClientEndpoint(
            self._reactor, call.host, call.port, timeout=self._connect_timeout
        )
        agent = self._exact_fresh if fresh else self._exact
        return await self._receive(agent.request_exact(call, endpoint))

    async def _receive(self, call: Any) -> StreamStart:
        """Wait for status and headers; raises CallFailedError."""
        answered: asyncio.Future[Any] = call.asFuture(asyncio.get_running_loop())
        try:
            response = await answered
        except NEVER_CONNECTED as error:
            raise CallFailedError(type(error).__name__, sent=False) from None
        except asyncio.CancelledError:
            _drop_if_answered(answered)
            raise
        except Exception as error:
            raise CallFailedError(type(error).__name__, sent=True) from None
        names = {
            name.decode("latin-1").lower(): values[0].decode("latin-1")
            for name, values in response.headers.getAllRawHeaders()
        }
        return StreamStart(response.code, names, response)

    def _check_cut(self, url: str, sent: bool) -> None:
        if self._is_cut or (self.blocked and url.split("/")[2] in self.blocked):
            raise CallFailedError("cut off", sent)

    async def call(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float = 5.0,
        fresh: bool = False,
    ) -> Answer:
        """Make a call and read the whole answer; raises CallFailedError."""
        try:
            async with asyncio.timeout(timeout):
                start = await self.open(method, url, headers, body, fresh)
                content = await start.read()
        except TimeoutError:
            raise CallFailedError("no answer in time", sent=True) from None
        return Answer(start.status, start.headers, content)

    async def close(self) -> None:
        """Close the idle connections."""
        pool: Any = self._pool
        await pool.closeCachedConnections().asFuture(asyncio.get_running_loop())
