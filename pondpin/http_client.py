"""HTTP client on twisted.web's Agent that tells whether a call can have been sent."""

import asyncio
import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import error as net_error
from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import (
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
)
from twisted.internet.protocol import Factory, Protocol
from twisted.web._newclient import Request, _ensureValidMethod
from twisted.web.client import URI, Agent
from twisted.web.http_headers import Headers
from twisted.web.iweb import UNKNOWN_LENGTH, IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from pondpin.http_connections import CheckedConnectionPool
from pondpin.http_streams import CallFailedError, StreamedResponse, WithheldError, close_if_answered

# Idle connections are closed after this many seconds unless the other side says less.
IDLE_SECONDS = 30.0
NEVER_CONNECTED = (
    net_error.ConnectError,
    net_error.ConnectionRefusedError,
    net_error.TimeoutError,
    net_error.NoRouteError,
)


class ConnectOutcome(enum.Enum):
    """What became of an attempt to connect."""

    CONNECTED = "listens"
    REFUSED = "refused"
    UNREACHABLE = "silent"


class _KnockFactory(Factory):
    """Builds connections that are closed unused."""

    noisy = False
    protocol = Protocol


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer; header names are lower case, repeated headers are joined by commas."""

    status: int
    headers: dict[str, str]
    body: bytes


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
class NumericEndpoints:
    """Connects by IP number, without the resolver and its threads."""

    def __init__(self, reactor: Any, connect_timeout: float) -> None:
        self._reactor = reactor
        self._timeout = connect_timeout

    def endpointForURI(self, uri: Any) -> Any:
        """See IAgentEndpointFactory."""
        host = uri.host.decode("ascii").strip("[]")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=self._timeout)


@implementer(IAgentEndpointFactory)
class _NoEndpoints:
    """For an agent that is only used with endpoints of its caller's."""

    def endpointForURI(self, uri: Any) -> Any:
        raise AssertionError("exact calls bring their endpoint")


class _ExactAgent(Agent):
    """Sends requests whose target and headers are passed on as they are."""

    _pool: CheckedConnectionPool

    def request_exact(self, call: "RawRequest", endpoint: Any, why_not: Callable[[], str]) -> Any:
        """Send; the connection is kept for the same host and port.

        why_not is asked once the connection is there, which may take as long as it may take to
        connect; unless it is empty, nothing is sent.
        """
        _ensureValidMethod(call.method)
        key = (b"exact", call.host.encode(), call.port)

        def send(connection: Any) -> Any:
            reason = why_not()
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
        producer: Any = _Bytes(call.body) if call.body else None
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
    """A request to be sent as it is; target is the path with its query."""

    host: str
    port: int
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class HttpClient:
    """Makes HTTP calls by IP number; nothing is retried here.

    endpoints are those of calls by URL: see `pondpin.secure_endpoints` for https.
    """

    def __init__(
        self,
        reactor: Any,
        connect_timeout: float,
        per_host: int = 512,
        endpoints: Any = None,
        idle_seconds: float = IDLE_SECONDS,
    ) -> None:
        pool = CheckedConnectionPool(reactor, idle_seconds, per_host)
        self._pool = pool
        self._reactor = reactor
        self._connect_timeout = connect_timeout
        endpoints = endpoints or NumericEndpoints(reactor, connect_timeout)
        self._kept = Agent.usingEndpointFactory(reactor, endpoints, pool)
        self._fresh = Agent.usingEndpointFactory(reactor, endpoints)
        make_exact: Any = _ExactAgent.usingEndpointFactory
        self._exact = make_exact(reactor, _NoEndpoints(), pool)
        single_use = CheckedConnectionPool(reactor, 0.0, 0, persistent=False)
        self._exact_fresh = make_exact(reactor, _NoEndpoints(), single_use)

    async def open(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        fresh: bool = False,
    ) -> StreamedResponse:
        """Send a call and wait for status and headers; raises CallFailedError.

        fresh opens a new connection, so that a failure to connect proves that nothing was sent.
        """
        agent = self._fresh if fresh else self._kept
        raw = Headers({name: [value] for name, value in (headers or {}).items()})
        producer: Any = _Bytes(body) if body else None
        call = agent.request(method.encode(), url.encode(), raw, producer)
        return await self._receive(call)

    async def open_raw(
        self, call: RawRequest, fresh: bool = False, withhold_reason: Callable[[], str] = lambda: ""
    ) -> StreamedResponse:
        """As open, for a request that is passed on as it is.

        why_not is asked just before it is sent; raises WithheldError with its answer unless empty.
        """
        endpoint = TCP4ClientEndpoint(
            self._reactor, call.host, call.port, timeout=self._connect_timeout
        )
        agent = self._exact_fresh if fresh else self._exact
        return await self._receive(agent.request_exact(call, endpoint, withhold_reason))

    async def _receive(self, call: Any) -> StreamedResponse:
        """Wait for status and headers; raises CallFailedError."""
        answered: asyncio.Future[Any] = call.asFuture(asyncio.get_running_loop())
        try:
            response = await answered
        except WithheldError:
            raise
        except NEVER_CONNECTED as error:
            refused = isinstance(error, net_error.ConnectionRefusedError)
            raise CallFailedError(type(error).__name__, sent=False, refused=refused) from None
        except asyncio.CancelledError:
            close_if_answered(answered)
            raise
        except Exception as error:
            raise CallFailedError(type(error).__name__, sent=True) from None
        names = {
            name.decode("latin-1").lower(): b", ".join(values).decode("latin-1")
            for name, values in response.headers.getAllRawHeaders()
        }
        return StreamedResponse(response.code, names, response)

    async def try_connect(self, host: str, port: int) -> ConnectOutcome:
        """Whether anybody listens at a place: connects and closes."""
        endpoint = TCP4ClientEndpoint(self._reactor, host, port, timeout=self._connect_timeout)
        knock: Any = _KnockFactory()
        connecting: Any = endpoint.connect(knock)
        try:
            connection = await connecting.asFuture(asyncio.get_running_loop())
        except net_error.ConnectionRefusedError:
            return ConnectOutcome.REFUSED
        except net_error.ConnectError:
            # No answer in time, or no way there.
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
        on_head: Callable[[StreamedResponse], None] = lambda start: None,
    ) -> HttpResponse:
        """Make a call and read the whole answer; raises CallFailedError.

        on_head gets status and headers when they come, whatever becomes of the body.
        """
        try:
            async with asyncio.timeout(timeout):
                start = await self.open(method, url, headers, body, fresh)
                on_head(start)
                content = await start.read()
        except TimeoutError:
            raise CallFailedError("no answer in time", sent=True) from None
        return HttpResponse(start.status, start.headers, content)

    async def call_with_stall_timeout(
        self,
        method: str,
        url: str,
        stall: float,
        longest: float,
        on_head: Callable[[StreamedResponse], None] = lambda start: None,
    ) -> HttpResponse:
        """As call, but stall seconds without a byte, or longest seconds of the body, end it."""
        try:
            async with asyncio.timeout(stall):
                start = await self.open(method, url)
                on_head(start)
        except TimeoutError:
            raise CallFailedError("no answer in time", sent=True) from None
        content = await start.read_with_stall_timeout(stall, longest)
        return HttpResponse(start.status, start.headers, content)

    def close_idle(self, host: str, port: int) -> None:
        """Close the connections to a place that rest."""
        self._pool.close_idle(host, port)

    async def close(self) -> None:
        """Close the idle connections."""
        pool: Any = self._pool
        await pool.closeCachedConnections().asFuture(asyncio.get_running_loop())
