"""Client connections that record how a response ended, and their pool with idle timeouts."""

import re
import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory
from twisted.python.failure import Failure
from twisted.web._newclient import HEADER, STATUS, HTTP11ClientProtocol
from twisted.web.client import HTTPConnectionPool

from pondpin.http_streams import DEFAULT_LIMITS, ResponseFault, ResponseFaultError

# Idle connections are closed this long before the server's announced time, to avoid a race.
KEEP_ALIVE_MARGIN_SECONDS = 0.5
_TIMEOUT = re.compile(rb"timeout=(\d+)")
# Linux: struct tcp_info, segments sent and not yet acknowledged.
_TCP_INFO_BYTES = 28
_UNACKNOWLEDGED = slice(24, 28)


class CheckedConnection(HTTP11ClientProtocol):
    """A connection that is not reused when data follows a complete response.

    connection_end is set on a response that ends with its connection. keep_alive_seconds: the
    server's idle timeout, None when it sent none. path: the peer through which it goes, empty for a
    direct one. limits: a head that exceeds them ends the connection, as does a malformed one.
    """

    keep_alive_seconds: float | None = None
    path: str = ""
    limits = DEFAULT_LIMITS
    # The parser whose head is being timed.
    _timed_parser: Any = None

    def request(self, request: Any) -> Any:
        """Send a request; the head of its response is bounded and checked."""
        started = super().request(request)
        if self._parser is not None:
            self._check_head(self._parser)
            self._timed_parser = None
        return started

    def _check_head(self, parser: Any) -> None:
        # Loaded with the first request.
        from pondpin.response_grammar import HeadChecker

        receive, check_line = parser.lineReceived, HeadChecker().check_line
        left = [self.limits.head_lines, self.limits.head_bytes]

        def receive_line(line: bytes) -> None:
            left[0] -= 1
            left[1] -= len(line)
            if left[0] < 0:
                raise ResponseFaultError(ResponseFault.HEAD_LINES)
            if left[1] < 0:
                raise ResponseFaultError(ResponseFault.HEAD_BYTES)
            check_line(line)
            receive(line)

        parser.lineReceived = receive_line
        parser._transferDecoders = {b"chunked": _make_chunk_decoder}

    def dataReceived(self, data: bytes) -> None:
        """Receive data; a head that is incomplete by now must end soon."""
        super().dataReceived(data)  # type: ignore[no-untyped-call]
        parser: Any = self._parser
        if parser is None or parser is self._timed_parser:
            return
        if parser.state in (STATUS, HEADER):
            self._timed_parser = parser
            loop: Any = self.transport.reactor  # type: ignore[union-attr]
            loop.callLater(self.limits.head_seconds, self._end_slow_head, parser)

    def _end_slow_head(self, parser: Any) -> None:
        is_current = self._parser is parser
        if is_current and parser.state in (STATUS, HEADER):
            error = ResponseFaultError(ResponseFault.HEAD_SECONDS)
            self._giveUp(Failure(error))  # type: ignore[no-untyped-call]

    def _finishResponse(self, rest: bytes) -> None:
        if rest and self._currentRequest is not None:
            self._currentRequest.persistent = False
        self._record_keep_alive()
        super()._finishResponse(rest)

    def connectionLost(self, reason: Any = None) -> None:
        """Record how the connection ended before the parser ends the response."""
        response = getattr(self._parser, "response", None)
        if response is not None:
            from pondpin.body_ends import find_connection_end

            response.connection_end = find_connection_end(reason)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def _record_keep_alive(self) -> None:
        if self._parser is None:
            return
        for value in self._parser.connHeaders.getRawHeaders(b"keep-alive", ()):
            found = _TIMEOUT.search(value)
            if found is not None:
                self.keep_alive_seconds = float(found.group(1))


class CheckedConnectionPool(HTTPConnectionPool):
    """Pool that keeps idle connections for the lower of its own and the server's idle timeout."""

    def __init__(
        self, reactor: Any, idle_seconds: float, per_host: int, persistent: bool = True
    ) -> None:
        super().__init__(reactor, persistent=persistent)  # type: ignore[no-untyped-call]
        self._factory: Any = _CheckedFactory
        self.maxPersistentPerHost = per_host
        self.retryAutomatically = False
        self.cachedConnectionTimeout: Any = idle_seconds
        self._idle_seconds = idle_seconds

    def close_idle(
        self, host: str, port: int, is_outdated: Callable[[Any], bool] = lambda connection: True
    ) -> None:
        """Close the idle connections to an endpoint whose server or path has changed."""
        for key in [key for key in self._connections if _endpoint_of(key) == (host, port)]:
            for connection in list(self._connections[key]):
                if is_outdated(connection):
                    self._close_idle(key, connection)

    def trim_idle(self, host: str, port: int, keep: int) -> None:
        """Close the idle connections to an endpoint but for some, the oldest first."""
        for key in [key for key in self._connections if _endpoint_of(key) == (host, port)]:
            for connection in list(self._connections[key])[: -keep or None]:
                self._close_idle(key, connection)

    def release(self, key: Any, connection: Any) -> None:
        """Return an unused connection, or close it if the pool keeps none."""
        if self.persistent:
            self._putConnection(key, connection)
        else:
            connection.transport.loseConnection()

    def getConnection(self, key: Any, endpoint: Any) -> Any:
        """Return an idle connection that has not timed out, or a new one.

        After a suspension of the machine timers fire late, when the server has already closed.
        """
        now = self._reactor.seconds()
        for connection in list(self._connections.get(key, ())):
            if self._timeouts[connection].getTime() <= now:
                self._close_idle(key, connection)
        return super().getConnection(key, endpoint)

    def _close_idle(self, key: Any, connection: Any) -> None:
        self._timeouts.pop(connection).cancel()
        self._connections[key].remove(connection)
        connection.transport.loseConnection()

    def _putConnection(self, key: Any, connection: Any) -> None:
        announced = connection.keep_alive_seconds
        seconds = self._idle_seconds
        if announced is not None:
            seconds = min(seconds, announced - KEEP_ALIVE_MARGIN_SECONDS)
        if seconds <= 0:
            connection.transport.loseConnection()
            return
        self.cachedConnectionTimeout = seconds
        super()._putConnection(key, connection)  # type: ignore[no-untyped-call]


def _make_chunk_decoder(receive: Callable[[bytes], None], finish: Callable[[bytes], None]) -> Any:
    # Loaded with the first chunked response.
    from pondpin.chunked_responses import CheckedChunkDecoder

    return CheckedChunkDecoder(receive, finish)


def has_unacknowledged(connection: Any) -> bool:
    """Whether the server's machine has not acknowledged all that was written.

    Unlike a silent server, whose machine acknowledges, a lost path leaves bytes unacknowledged.
    """
    transport = getattr(connection, "transport", None)
    if transport is None or not transport.connected:
        return False
    if len(transport.dataBuffer) > transport.offset or transport._tempDataLen:
        return True
    info = transport.getHandle().getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    return any(info[_UNACKNOWLEDGED])


def _endpoint_of(key: tuple[Any, ...]) -> tuple[str, int]:
    # A kind or scheme, the host, the port.
    host = key[1]
    return (host.decode() if isinstance(host, bytes) else str(host), int(key[2]))


class _CheckedFactory(Factory):
    noisy = False

    def __init__(self, quiescent: Callable[[Any], None], metadata: Any) -> None:
        self._quiescent = quiescent
        self._metadata = metadata

    def __repr__(self) -> str:
        return f"connection to {self._metadata}"

    def buildProtocol(self, addr: Any) -> CheckedConnection:
        """Create a connection."""
        return CheckedConnection(self._quiescent)  # type: ignore[no-untyped-call]
