"""Client connections that tell how an answer ended, and that are kept no longer than allowed."""

import re
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory
from twisted.web._newclient import HTTP11ClientProtocol
from twisted.web.client import HTTPConnectionPool

# A server closes an idle connection about when it says; leave before, in seconds.
KEEP_ALIVE_MARGIN = 0.5
_TIMEOUT = re.compile(rb"timeout=(\d+)")


class CheckedConnection(HTTP11ClientProtocol):
    """A connection that is thrown away when anything comes after a whole answer.

    closed_cleanly is set on the answer when the other side closed without a reset, since an
    answer without a length ends with its connection. kept_seconds is how long the other side
    keeps the connection while idle, None when it didn't say.
    """

    kept_seconds: float | None = None

    def _finishResponse(self, rest: bytes) -> None:
        if rest and self._currentRequest is not None:
            self._currentRequest.persistent = False
        self._note_keep_alive()
        super()._finishResponse(rest)

    def connectionLost(self, reason: Any = None) -> None:
        """Note how the connection ended before the parser ends the answer."""
        response = getattr(self._parser, "response", None)
        if response is not None:
            response.closed_cleanly = (
                reason is not None and reason.check(ConnectionDone) is not None
            )
        super().connectionLost(reason)  # type: ignore[no-untyped-call]

    def _note_keep_alive(self) -> None:
        if self._parser is None:
            return
        for value in self._parser.connHeaders.getRawHeaders(b"keep-alive", ()):
            found = _TIMEOUT.search(value)
            if found is not None:
                self.kept_seconds = float(found.group(1))


class CheckedConnectionPool(HTTPConnectionPool):
    """Keeps idle connections for the shorter of the own and the other side's time."""

    def __init__(
        self, reactor: Any, idle_seconds: float, per_host: int, persistent: bool = True
    ) -> None:
        super().__init__(reactor, persistent=persistent)  # type: ignore[no-untyped-call]
        self._factory: Any = _CheckedFactory
        self.maxPersistentPerHost = per_host
        self.retryAutomatically = False
        self.cachedConnectionTimeout: Any = idle_seconds
        self._idle_seconds = idle_seconds

    def close_idle(self, host: str, port: int) -> None:
        """Close the connections to a place that rest: whoever had it is no longer there."""
        for key in [key for key in self._connections if _place_of(key) == (host, port)]:
            for connection in list(self._connections[key]):
                self._close_idle(key, connection)

    def release(self, key: Any, connection: Any) -> None:
        """Keep a connection that nothing was sent on, if connections are kept here."""
        if self.persistent:
            self._putConnection(key, connection)
        else:
            connection.transport.loseConnection()

    def getConnection(self, key: Any, endpoint: Any) -> Any:
        """Give an idle connection whose time is not over, or a new one.

        Timers fire late when the machine was suspended, and the other side has closed by then.
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
        said = connection.kept_seconds
        seconds = self._idle_seconds
        if said is not None:
            seconds = min(seconds, said - KEEP_ALIVE_MARGIN)
        if seconds <= 0:
            connection.transport.loseConnection()
            return
        self.cachedConnectionTimeout = seconds
        super()._putConnection(key, connection)  # type: ignore[no-untyped-call]


def _place_of(key: tuple[Any, ...]) -> tuple[str, int]:
    """The host and port of a pool's key: a kind or scheme, the host, the port."""
    host = key[1]
    return (host.decode() if isinstance(host, bytes) else str(host), int(key[2]))


class _CheckedFactory(Factory):
    """Builds checked connections."""

    noisy = False

    def __init__(self, quiescent: Callable[[Any], None], metadata: Any) -> None:
        self._quiescent = quiescent
        self._metadata = metadata

    def __repr__(self) -> str:
        return f"connection to {self._metadata}"

    def buildProtocol(self, addr: Any) -> CheckedConnection:
        """Build a connection."""
        return CheckedConnection(self._quiescent)  # type: ignore[no-untyped-call]
