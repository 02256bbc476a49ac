"""Connects directly while that succeeds; other paths are loaded with the first failure."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory

from pondpin.http_client import CONNECT_ERRORS, Connector, DirectConnector, HttpClient
from pondpin.network import Endpoint

if TYPE_CHECKING:
    from pondpin.relay.paths.upstream_paths import UpstreamPaths

# Connecting to an upstream takes a few ms; TCP retransmits a lost SYN only after 1 s.
CONNECT_SECONDS = 0.3
# Short, so that few idle connections are kept and requests rarely meet one that is being closed.
IDLE_SECONDS = 4.0


class UpstreamConnector:
    """The connector of an instance; load_paths: None without tunnels."""

    def __init__(self, reactor: Any, load_paths: "Callable[[], UpstreamPaths] | None") -> None:
        self.reactor = reactor
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
        if self.paths is None and self._load_paths is not None:
            self.paths = self._load_paths()
        return failure if self.paths is None else self.paths.recover(host, port, factory, failure)

    @property
    def is_cut(self) -> bool:
        """Whether the links to all upstreams are probably lost."""
        return self.paths is not None and self.paths.is_cut

    @property
    def is_degraded(self) -> bool:
        """Whether direct connections fail."""
        return self.paths is not None and self.paths.is_active

    def is_unreachable(self, upstream: Endpoint) -> bool:
        """Whether the own links to an upstream are known to be lost."""
        return self.paths is not None and self.paths.is_unreachable(upstream)

    def is_lost(self, upstream: Endpoint, connection: Any) -> bool:
        """Whether an open connection is probably dead, and another path is not."""
        return self.paths is not None and self.paths.is_lost(upstream, connection)

    def blames_upstream(self, upstream: Endpoint, path: str) -> bool:
        """Whether a connection that broke or stalled speaks against its upstream."""
        return self.paths is None or self.paths.blames_upstream(upstream, path)


class TunnelPort(Factory):
    """Accepts peers' requests for tunnels; load_server: called with the first."""

    noisy = False

    def __init__(self, load_server: Callable[[], Factory]) -> None:
        self._load_server = load_server

    def buildProtocol(self, addr: Any) -> Any:
        """See IProtocolFactory."""
        return self._load_server().buildProtocol(addr)


def make_http_client(reactor: Any, connector: UpstreamConnector) -> HttpClient:
    """The HTTP client of an instance."""
    return HttpClient(reactor, CONNECT_SECONDS, idle_seconds=IDLE_SECONDS, connector=connector)
