"""A reactor whose connections to some endpoints can be cut, for instances in one process."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.python.failure import Failure


class Cut(enum.Enum):
    """What happens to connections across a cut.

    RESET: open ones are reset, new ones refused. REFUSE: open ones live on, new ones are refused.
    SILENT: nothing passes and new ones time out.
    """

    NONE = "none"
    RESET = "reset"
    REFUSE = "refuse"
    SILENT = "silent"


class _PendingConnect:
    """An attempt to connect that gets no answer."""

    def __init__(self, reactor: Any, factory: Any, timeout: float) -> None:
        self._factory = factory
        self._timer = reactor.callLater(timeout, self._fail, ConnectTimeoutError())

    def getDestination(self) -> None:
        """See IConnector."""

    def stopConnecting(self) -> None:
        """See IConnector."""
        if self._timer.active():
            self._timer.cancel()
            self._fail(ConnectTimeoutError())

    disconnect = stopConnecting

    def _fail(self, error: Exception) -> None:
        self._factory.clientConnectionFailed(self, Failure(error))


@dataclass
class PartitionableReactor:
    """Delegates to a reactor; connections to endpoints that `is_cut` accepts follow `cut`."""

    reactor: Any
    is_cut: Callable[[str, int], bool] = lambda host, port: False
    cut: Cut = Cut.NONE
    _connectors: list[tuple[str, int, Any]] = field(default_factory=list)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.reactor, name)

    def connectTCP(self, host: str, port: int, factory: Any, **options: Any) -> Any:
        """See IReactorTCP."""
        if self.cut is not Cut.NONE and self.is_cut(host, port):
            if self.cut is Cut.SILENT:
                pending = _PendingConnect(self.reactor, factory, options["timeout"])
                factory.startedConnecting(pending)
                return pending
            self.reactor.callLater(
                0, factory.clientConnectionFailed, None, Failure(RefusedError("cut"))
            )
            return None
        connector = self.reactor.connectTCP(host, port, factory, **options)
        self._connectors = [item for item in self._connectors if item[2].state != "disconnected"]
        self._connectors.append((host, port, connector))
        return connector

    def set_cut(self, cut: Cut) -> None:
        """Begin, change or end a cut."""
        self.cut = cut
        for host, port, connector in self._connectors:
            transport = connector.transport
            if not self.is_cut(host, port) or connector.state != "connected":
                continue
            if cut is Cut.RESET:
                transport.abortConnection()
            elif cut is Cut.SILENT:
                _silence(transport)
            else:
                _restore(transport)


def _silence(transport: Any) -> None:
    transport.stopReading()
    transport.stopWriting()
    transport.startReading = lambda: None
    transport.startWriting = lambda: None


def _restore(transport: Any) -> None:
    if "startReading" not in vars(transport):
        return
    del transport.startReading, transport.startWriting
    transport.startReading()
    transport.startWriting()
