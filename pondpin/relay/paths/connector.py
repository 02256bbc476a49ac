"""Connects directly while that succeeds; other paths are loaded with the first failure."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from pondpin.http_client import CONNECT_ERRORS, Connector, DirectConnector, HttpClient

if TYPE_CHECKING:
    from pondpin.relay.paths.upstream_paths import UpstreamPaths

# Connecting to an upstream takes a few ms; TCP retransmits a lost SYN only after 1 s.
CONNECT_SECONDS = 0.3
# Short, so that few idle connections are kept and requests rarely meet one that is being closed.
IDLE_SECONDS = 4.0


class UpstreamConnector:
    """The connector of an instance."""

    def __init__(self, reactor: Any, load_paths: Callable[[], "UpstreamPaths"]) -> None:
        self.direct: Connector = DirectConnector(reactor, CONNECT_SECONDS)
        self._load_paths = load_paths
        # None until a connection failed.
        self.paths: UpstreamPaths | None = None

    def connect(self, host: str, port: int, factory: Any) -> Deferred[Any]:
        """See Connector."""
        if self.paths is not None and self.paths.is_active:
            return self.paths.connect(host, port, factory)
        connecting = self.direct.connect(host, port, factory)
        return connecting.addErrback(self._recover, host, port, factory)

    def _recover(self, failure: Any, host: str, port: int, factory: Any) -> Any:
        if not failure.check(*CONNECT_ERRORS):
            return failure
        if self.paths is None:
            self.paths = self._load_paths()
        return self.paths.recover(host, port, factory, failure)


def make_http_client(reactor: Any, connector: UpstreamConnector) -> HttpClient:
    """The HTTP client of an instance."""
    return HttpClient(reactor, CONNECT_SECONDS, idle_seconds=IDLE_SECONDS, connector=connector)
