"""Connections to upstreams while some fail."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from pondpin.clocks import Clock
from pondpin.http_client import Connector
from pondpin.metrics import Metrics
from pondpin.network import Endpoint
from pondpin.relay.log import EventLog
from pondpin.relay.paths.events import UpstreamsUnreachable
from pondpin.relay.paths.reachability import Reachability
from pondpin.relay.upstreams.table import UpstreamTable


class UpstreamPaths:
    """Observes connections to upstreams; used while `is_active`."""

    def __init__(
        self,
        direct: Connector,
        table: UpstreamTable,
        metrics: Metrics,
        log: EventLog,
        clock: Clock,
        count_peers: Callable[[], int],
    ) -> None:
        self._direct = direct
        self._table = table
        self._metrics = metrics
        self._log = log
        self._clock = clock
        self._count_peers = count_peers
        self._reachability = Reachability()
        self._was_cut = False

    @property
    def is_active(self) -> bool:
        """Whether connections must go by `connect`."""
        return self._was_cut or self._reachability.is_active(self._clock())

    def connect(self, host: str, port: int, factory: Any) -> Deferred[Any]:
        """See Connector."""
        connecting = self._direct.connect(host, port, factory)
        endpoint = Endpoint(host, port)
        return connecting.addCallbacks(
            self._on_connected,
            lambda failure: self.recover(host, port, factory, failure),
            callbackArgs=(endpoint,),
        )

    def recover(self, host: str, port: int, factory: Any, failure: Any) -> Any:
        """Handle a failure to connect; returns a connection or the failure."""
        endpoint = Endpoint(host, port)
        if self._is_upstream(endpoint):
            self._reachability.record_failure(endpoint, self._clock())
            self._log_change(failure.type.__name__)
        return failure

    def _on_connected(self, connection: Any, endpoint: Endpoint) -> Any:
        if self._is_upstream(endpoint):
            self._reachability.record_success(endpoint)
            self._log_change("")
        return connection

    def _is_upstream(self, endpoint: Endpoint) -> bool:
        return any(
            state.listed.port == endpoint.port and state.listed.host == endpoint.host
            for state in self._table.by_id.values()
        )

    def _log_change(self, last_failure: str) -> None:
        now = self._clock()
        is_cut = self._reachability.is_cut(now)
        self._metrics.upstreams_unreachable.set({}, len(self._reachability.failed_at))
        if is_cut == self._was_cut:
            return
        self._was_cut = is_cut
        self._log.write(
            UpstreamsUnreachable(
                begins=is_cut,
                failing=len(self._reachability.failed_at),
                of=len(self._table.by_id),
                seconds=round(now - self._reachability.failing_since, 3),
                alive_peers=self._count_peers(),
                last_failure=last_failure,
            )
        )
