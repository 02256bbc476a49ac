"""HTTP client on twisted.web's Agent that reports whether a request may have been sent."""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet import error as net_error
from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import (
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
)
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.web._newclient import Request, _ensureValidMethod
from twisted.web.client import URI, Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from pondpin.http_connections import CheckedConnectionPool
from pondpin.http_streams import (
    BodyCheck,
    BufferBudget,
    CallFailedError,
    ResponseLimits,
    StreamedResponse,
    WithheldError,
    close_if_answered,
    find_fault,
)

# Idle connections are closed after this time, or sooner if the server says so.
IDLE_SECONDS = 30.0
CONNECT_ERRORS = (
    net_error.ConnectError,
    net_error.ConnectionRefusedError,
    net_error.TimeoutError,
    net_error.NoRouteError,
)


class PathError(net_error.ConnectError):
    """No path to a server; whether the server itself is at fault is not known."""

    def __init__(self, reason: str) -> None:
        super().__init__(string=reason)  # type: ignore[no-untyped-call]


class Connector(Protocol):
    """Opens connections to servers."""

    def connect(self, host: str, port: int, factory: Any) -> Deferred[Any]:
        """Connect; fires with the factory's protocol, or fails with one of CONNECT_ERRORS."""
        ...


class ConnectOutcome(enum.Enum):
    """Result of an attempt to connect."""

    CONNECTED = "listens"
    REFUSED = "refused"
    UNREACHABLE = "silent"


class _ProbeFactory(Factory):
    noisy = False
    protocol = TwistedProtocol


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; header names are lower case, repeated headers are joined by commas."""

    status: int
    headers: dict[str, str]
    body: bytes


@implementer(IBodyProducer)
class _BytesProducer:
    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length: Any = len(body) if body is not None else UNKNOWN_LENGTH

    def startProducing(self, consumer: Any) -> Deferred[None]:
        consumer.write(self.body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """No effect."""

    def resumeProducing(self) -> None:
        """No effect."""

    def stopProducing(self) -> None:
        """No effect."""


class DirectConnector:
    """Connects by IP address, without the resolver and its threads."""

    def __init__(self, reactor: Any, connect_timeout: float) -> None:
        self._reactor = reactor
        self._timeout = connect_timeout

    def connect(self, host: str, port: int, factory: Any) -> Deferred[Any]:
        """See Connector."""
        endpoint_type = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint = endpoint_type(self._reactor, host, port, timeout=self._timeout)
        connecting: Deferred[Any] = endpoint.connect(factory)
        return connecting


@dataclass(frozen=True, slots=True)
class ConnectorEndpoint:
    """An endpoint that uses a connector."""

    connector: Connector
    host: str
    port: int

    def connect(self, factory: Any) -> Deferred[Any]:
        """See IStreamClientEndpoint."""
        return self.connector.connect(self.host, self.port, factory)


@implementer(IAgentEndpointFactory)
class NumericEndpoints:
    """Endpoints by IP address."""

    def __init__(self, connector: Connector) -> None:
        self._connector = connector

    def endpointForURI(self, uri: Any) -> Any:
        """See IAgentEndpointFactory."""
        host = uri.host.decode("ascii").strip("[]")
        return ConnectorEndpoint(self._connector, host, uri.port)


@implementer(IAgentEndpointFactory)
class _UnusedEndpoints:
    """For an agent whose caller passes endpoints."""

    def endpointForURI(self, uri: Any) -> Any:
        raise AssertionError("raw requests pass their endpoint")


class _RawAgent(Agent):
    """Sends requests with unchanged target and headers."""

    _pool: CheckedConnectionPool

    def request_raw(
        self, call: "RawRequest", endpoint: Any, withhold_reason: Callable[[Any], str]
    ) -> Any:
        """Send a request; the connection is reused for the same host and port.

        withhold_reason is called with the connection; unless it returns "", nothing is sent.
        """
        _ensureValidMethod(call.method)
        key = (b"exact", call.host.encode(), call.port)

        def send(connection: Any) -> Any:
            reason = withhold_reason(connection)
            if reason:
                self._pool.release(key, connection)
                raise WithheldError(reason)
            return connection.request(self._make_request(call))

        return self._pool.getConnection(key, endpoint).addCallback(send)

    def _make_request(self, call: "RawRequest") -> Any:
        authority = f"{call.host}:{call.port}".encode()
        uri = URI(b"http", authority, call.host.encode(), call.port, b"/", b"", b"", b"")
        headers = Headers()
        for name, value in call.headers:
            headers.addRawHeader(name, value)
        if not headers.hasHeader(b"host"):
            headers.addRawHeader(b"Host", authority)
        producer: Any = _BytesProducer(call.body) if call.body else None
        construct: Any = Request._construct
        return construct(
            call.method,
            call.target,
            headers,
            producer,
            persistent=self._pool.persistent,
            parsedURI=uri,
        )


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A request to be sent unchanged; target is the path with its query."""

    host: str
    port: int
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class HttpClient:
    """Makes HTTP calls by IP address, without retries.

    endpoints: factory for calls by URL; see `pondpin.secure_endpoints` for https. connector: opens
    all other connections, directly by default. limits: of bodies; the heads of pooled connections
    have those of CheckedConnection.
    """

    def __init__(
        self,
        reactor: Any,
        connect_timeout: float,
        per_host: int = 512,
        endpoints: Any = None,
        idle_seconds: float = IDLE_SECONDS,
        connector: Connector | None = None,
        limits: ResponseLimits | None = None,
    ) -> None:
        self._limits = limits or ResponseLimits()
        self.budget = BufferBudget(self._limits.buffered_bytes)
        pool = CheckedConnectionPool(reactor, idle_seconds, per_host)
        self._pool = pool
        self._connector = connector or DirectConnector(reactor, connect_timeout)
        endpoints = endpoints or NumericEndpoints(self._connector)
        self._pooled = Agent.usingEndpointFactory(reactor, endpoints, pool)
        make_raw: Any = _RawAgent.usingEndpointFactory
        self._raw = make_raw(reactor, _UnusedEndpoints(), pool)
        single_use = CheckedConnectionPool(reactor, 0.0, 0, persistent=False)
        self._fresh = Agent.usingEndpointFactory(reactor, endpoints, single_use)
        self._raw_fresh = make_raw(reactor, _UnusedEndpoints(), single_use)

    async def open(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        fresh: bool = False,
    ) -> StreamedResponse:
        """Send a request and wait for status and headers; raises CallFailedError.

        fresh: use a new connection, so that a failure to connect proves that nothing was sent.
        """
        agent = self._fresh if fresh else self._pooled
        raw = Headers({name: [value] for name, value in (headers or {}).items()})
        producer: Any = _BytesProducer(body) if body else None
        call = agent.request(method.encode(), url.encode(), raw, producer)
        return await self._receive_head(call)

    async def open_raw(
        self,
        call: RawRequest,
        fresh: bool = False,
        withhold_reason: Callable[[Any], str] = lambda connection: "",
    ) -> StreamedResponse:
        """Like open, for a request that is sent unchanged.

        withhold_reason is called with the connection just before sending; raises WithheldError
        unless it returns "".
        """
        endpoint = ConnectorEndpoint(self._connector, call.host, call.port)
        agent = self._raw_fresh if fresh else self._raw
        return await self._receive_head(agent.request_raw(call, endpoint, withhold_reason))

    async def _receive_head(self, call: Any) -> StreamedResponse:
        future: asyncio.Future[Any] | None = None

        def close_if_cancelled(response: Any) -> Any:
            # The future drops a response that arrives before it has cancelled the call.
            if future is not None and future.cancelled():
                StreamedResponse(0, {}, response).close_unread()
            return response

        call.addCallback(close_if_cancelled)
        future = call.asFuture(asyncio.get_running_loop())
        try:
            response = await future
        except WithheldError:
            raise
        except CONNECT_ERRORS as error:
            raise CallFailedError(
                type(error).__name__,
                sent=False,
                refused=isinstance(error, net_error.ConnectionRefusedError),
                unconfirmed=isinstance(error, PathError),
            ) from None
        except asyncio.CancelledError:
            close_if_answered(future)
            raise
        except Exception as error:
            fault = find_fault(error)
            raise CallFailedError(type(error).__name__, sent=True, fault=fault) from None
        names = {
            name.decode("latin-1").lower(): b", ".join(values).decode("latin-1")
            for name, values in response.headers.getAllRawHeaders()
        }
        return StreamedResponse(response.code, names, response, self._limits, self.budget)

    async def try_connect(self, host: str, port: int) -> ConnectOutcome:
        """Check whether a server listens: connect and close."""
        connecting = self._connector.connect(host, port, _ProbeFactory())
        try:
            connection = await connecting.asFuture(asyncio.get_running_loop())
        except net_error.ConnectionRefusedError:
            return ConnectOutcome.REFUSED
        except net_error.ConnectError:
            # Timed out, or no route.
            return ConnectOutcome.UNREACHABLE
        connection.transport.abortConnection()
        return ConnectOutcome.CONNECTED

    async def call(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout: float = 5.0,
        fresh: bool = False,
        on_head: Callable[[StreamedResponse], None] = lambda response: None,
        limit: int | None = None,
        close_delimited_if: BodyCheck | None = None,
    ) -> HttpResponse:
        """Make a call and read the whole response; raises CallFailedError.

        on_head is called with status and headers, also when the body fails later. limit: of the
        body's bytes, the client's own by default. close_delimited_if: see StreamedResponse.read.
        """
        try:
            async with asyncio.timeout(timeout):
                response = await self.open(method, url, headers, body, fresh)
                on_head(response)
                content = await response.read(limit, close_delimited_if)
        except TimeoutError:
            raise CallFailedError("no answer in time", sent=True) from None
        return HttpResponse(response.status, response.headers, content)

    async def call_with_stall_timeout(
        self,
        method: str,
        url: str,
        stall: float,
        max_seconds: float,
        on_head: Callable[[StreamedResponse], None] = lambda response: None,
        close_delimited_if: BodyCheck | None = None,
    ) -> HttpResponse:
        """Like call; fails after stall seconds without data, or max_seconds of the body."""
        try:
            async with asyncio.timeout(stall):
                response = await self.open(method, url)
                on_head(response)
        except TimeoutError:
            raise CallFailedError("no answer in time", sent=True) from None
        content = await response.read_with_stall_timeout(
            stall, max_seconds, close_delimited_if=close_delimited_if
        )
        return HttpResponse(response.status, response.headers, content)

    def close_idle(
        self, host: str, port: int, is_outdated: Callable[[Any], bool] = lambda connection: True
    ) -> None:
        """Close the idle connections to an endpoint."""
        self._pool.close_idle(host, port, is_outdated)

    def trim_idle(self, host: str, port: int, keep: int) -> None:
        """Close the idle connections to an endpoint but for some."""
        self._pool.trim_idle(host, port, keep)

    async def close(self) -> None:
        """Close all idle connections."""
        pool: Any = self._pool
        await pool.closeCachedConnections().asFuture(asyncio.get_running_loop())
