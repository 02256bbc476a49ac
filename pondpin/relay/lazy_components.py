"""Components of an instance whose code is loaded at their first use.

Loading code takes most of a start. Many instances never lease memory, query a silent engine, or
have an ejected or rate-limited upstream.
"""

from collections.abc import Callable
from functools import cached_property
from typing import TYPE_CHECKING

from pondpin.http_client import HttpClient
from pondpin.metrics import Metrics
from pondpin.relay.attempts.crash_guard import CrashGuard
from pondpin.relay.log import EventLog
from pondpin.relay.paths.connector import UpstreamConnector
from pondpin.relay.peers.gossip import Gossip
from pondpin.relay.upstreams.notice_handler import NoticeHandler
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.runtime import steady_now

if TYPE_CHECKING:
    from pondpin.relay.attempts.attempt import AttemptRunner
    from pondpin.relay.attempts.permit_acquirer import PermitAcquirer
    from pondpin.relay.attempts.slot_acquirer import SlotAcquirer
    from pondpin.relay.choosing.dispatch import Dispatcher
    from pondpin.relay.choosing.planner import RelayPolicy
    from pondpin.relay.model import RelayConfiguration
    from pondpin.relay.operator_api import OperatorApi
    from pondpin.relay.paths.tunnel_server import TunnelFactory
    from pondpin.relay.paths.upstream_paths import UpstreamPaths
    from pondpin.relay.ports import Dialect
    from pondpin.relay.published.document_server import DocumentServer
    from pondpin.relay.published.pieces import FetchPieceReply, FetchPieceRequest, HttpPieceClient
    from pondpin.relay.upstreams.leases import LeaseManager
    from pondpin.relay.upstreams.prober import Prober
    from pondpin.relay.upstreams.reports import ReportClient
    from pondpin.relay_settings import RelayLimits, RelaySettings

PIECES_PATH = "/v1/pieces"
METRICS_PATH = "/metrics"
UPSTREAMS_PATH = "/upstreams"
QUARANTINE_PATH = "/quarantine"
PUBLISHED_PATH = "/published"
OPERATOR_PATHS = (METRICS_PATH, UPSTREAMS_PATH, QUARANTINE_PATH, PUBLISHED_PATH)


class LazyPieceClient:
    """The PiecePort over HTTP, loaded with the first piece."""

    def __init__(self, http: HttpClient, metrics: Metrics) -> None:
        self._http = http
        self._metrics = metrics

    @cached_property
    def _pieces(self) -> "HttpPieceClient":
        from pondpin.relay.published.pieces import HttpPieceClient

        return HttpPieceClient(self._http, self._metrics, PIECES_PATH)

    async def fetch_piece(
        self, address: str, request: "FetchPieceRequest", timeout: float
    ) -> "FetchPieceReply":
        """See PiecePort."""
        return await self._pieces.fetch_piece(address, request, timeout)


class LazyComponents:
    """Creates each component at its first use."""

    def __init__(
        self,
        http: HttpClient,
        gossip: Gossip,
        notice_handler: NoticeHandler,
        crash_guard: CrashGuard,
        metrics: Metrics,
        log: EventLog,
        lease_prefix: str,
        policy: "RelayPolicy",
        limits: "Callable[[], RelayLimits]",
        connector: UpstreamConnector,
        settings: "Callable[[], RelaySettings]",
    ) -> None:
        self._http = http
        self._gossip = gossip
        self._notice_handler = notice_handler
        self._crash_guard = crash_guard
        crash_guard.load_prober = lambda: self.prober
        self._metrics = metrics
        self._log = log
        self._lease_prefix = lease_prefix
        self._policy = policy
        self._limits = limits
        self._connector = connector
        self._settings = settings

    def make_runner(self, dialect: "Dialect") -> "AttemptRunner":
        """Create the runner of attempts."""
        from pondpin.relay.attempts.attempt import AttemptRunner

        return AttemptRunner(self._http, dialect, steady_now)

    @cached_property
    def dispatcher(self) -> "Dispatcher":
        """Dispatch and queue of long prompts."""
        from pondpin.relay.choosing.dispatch import Dispatcher

        gossip = self._gossip
        return Dispatcher(
            gossip.prefill_queue,
            steady_now,
            gossip.rng,
            gossip.send_soon,
            gossip.is_settled,
            self._policy,
        )

    @cached_property
    def paths(self) -> "UpstreamPaths":
        """Paths to upstreams."""
        from pondpin.relay.paths.setup import make_paths

        return make_paths(
            self._settings(), self._connector, self._http, self._gossip, self._metrics
        )

    @cached_property
    def tunnels(self) -> "TunnelFactory":
        """Tunnels of peers to upstreams."""
        from pondpin.relay.paths.setup import make_tunnels

        return make_tunnels(self._settings(), self._connector, self._gossip, self._metrics)

    def close_tunnels(self) -> None:
        """Close the tunnels of peers, and stop to look for paths."""
        if "tunnels" in self.__dict__:
            self.tunnels.server.close()
        if "paths" in self.__dict__:
            self.paths.close()

    @cached_property
    def leases(self) -> "LeaseManager":
        """Memory leases for split prompts."""
        from pondpin.platform.leases import PlatformLeases
        from pondpin.relay.upstreams.leases import LeaseManager

        return LeaseManager(
            PlatformLeases(self._http),
            self._lease_prefix,
            self._log,
            self._gossip.table.has_ended,
            self._notice_handler.handle_head,
            self._gossip.record_life_sent,
        )

    @cached_property
    def documents(self) -> "DocumentServer":
        """Serves published documents to peers, which don't ask an instance that just started."""
        from pondpin.relay.published.document_server import DocumentServer

        return DocumentServer(self._gossip.publication, steady_now)

    @cached_property
    def reports(self) -> "ReportClient":
        """Status queries to silent engines."""
        from pondpin.platform.reports import PlatformReports
        from pondpin.relay.upstreams.reports import ReportClient

        on_head, on_sent = self._notice_handler.handle_head, self._gossip.record_sent
        port = PlatformReports(self._http)
        return ReportClient(port, self._log, steady_now, on_head, on_sent)

    @cached_property
    def prober(self) -> "Prober":
        """Liveness checks of ejected upstreams."""
        from pondpin.platform.reports import PlatformLiveness, PlatformReports
        from pondpin.relay.upstreams.prober import Prober

        return Prober(
            self._gossip.table,
            PlatformLiveness(self._http),
            PlatformReports(self._http),
            self._notice_handler.handle_head,
            self._log,
            steady_now,
            self._gossip.record_sent,
        )

    @cached_property
    def permits(self) -> "PermitAcquirer":
        """Permits of rate-limited upstreams."""
        from pondpin.relay.attempts.permit_acquirer import PermitAcquirer

        return PermitAcquirer(self._gossip.limits.permits, self._metrics, steady_now)

    @cached_property
    def slots(self) -> "SlotAcquirer":
        """Slots of contended upstreams."""
        from pondpin.relay.attempts.slot_acquirer import SlotAcquirer

        gossip = self._gossip
        return SlotAcquirer(gossip.slots, gossip.table, self._policy, self._metrics, steady_now)

    @cached_property
    def operator_api(self) -> "OperatorApi":
        """The operators' API at the metrics address."""
        from pondpin.relay.operator_api import OperatorApi

        return OperatorApi(
            self._gossip.table,
            self._gossip.publication,
            self._metrics,
            self._crash_guard,
            lambda: self._gossip.limits.issuer,
            lambda: self._gossip.slots if self._gossip.table.contention else None,
            steady_now,
            self._gossip.evacuations,
            self._connector.is_unreachable,
        )

    def update_cold_starts(self, configuration: "RelayConfiguration") -> None:
        """Apply the rates of cold upstreams."""
        from pondpin.relay.upstreams.cold_starts import update_cold_starts

        send = self._gossip.send_urgent
        update_cold_starts(
            configuration, self._gossip.table, self._limits, self._log, send, steady_now()
        )

    def upstreams_due_for_recheck(self) -> list[UpstreamState]:
        """Upstreams with a limit of 0 and cold ones that are due for a recheck."""
        table = self._gossip.table
        return (
            self._gossip.limits.due_for_recheck()
            if table.availability_table.any_limit_reported
            else []
        )

    def expire(self) -> None:
        """End coldness that is over; drop the state of upstreams that have no limit any more."""
        if self._gossip.table.availability_table.any_limit_reported:
            self._gossip.limits.expire()

    async def wait_released(self) -> None:
        """Wait until leases being released are released or lapse."""
        if "leases" in self.__dict__:
            await self.leases.wait_released()
