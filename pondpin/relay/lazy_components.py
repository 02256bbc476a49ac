"""Parts of an instance that are loaded where they are first needed.

A start is mostly the loading of code. Many instances never lease memory, ask a silent engine, or
meet an upstream that is ejected or names a limit.
"""

from functools import cached_property
from typing import TYPE_CHECKING

from pondpin.http_client import HttpClient
from pondpin.metrics import Metrics
from pondpin.relay.attempts.crash_guard import CrashGuard
from pondpin.relay.log import EventLog
from pondpin.relay.peers.gossip import Gossip
from pondpin.relay.upstreams.notice_handler import NoticeHandler
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.runtime import steady_now

if TYPE_CHECKING:
    from pondpin.relay.attempts.permit_acquirer import PermitAcquirer
    from pondpin.relay.operator_api import OperatorApi
    from pondpin.relay.published.document_server import DocumentServer
    from pondpin.relay.published.pieces import FetchPieceReply, FetchPieceRequest, HttpPieceClient
    from pondpin.relay.upstreams.leases import LeaseManager
    from pondpin.relay.upstreams.prober import Prober
    from pondpin.relay.upstreams.reports import ReportClient

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
    """Each part is made once, when it is asked for."""

    def __init__(
        self,
        http: HttpClient,
        gossip: Gossip,
        hearing: NoticeHandler,
        guard: CrashGuard,
        metrics: Metrics,
        log: EventLog,
        lease_prefix: str,
    ) -> None:
        self._http = http
        self._gossip = gossip
        self._hearing = hearing
        self._guard = guard
        self._metrics = metrics
        self._log = log
        self._lease_prefix = lease_prefix

    @cached_property
    def leases(self) -> "LeaseManager":
        """Memory of engines for prompts that lie on several."""
        from pondpin.platform.orders import PlatformLeases
        from pondpin.relay.upstreams.leases import LeaseManager

        return LeaseManager(
            PlatformLeases(self._http),
            self._lease_prefix,
            self._log,
            self._gossip.table.has_ended,
            self._hearing.handle_head,
            self._gossip.record_life_sent,
        )

    @cached_property
    def documents(self) -> "DocumentServer":
        """What is published, for peers that ask: one that starts among others is not asked soon."""
        from pondpin.relay.published.document_server import DocumentServer

        return DocumentServer(self._gossip.publication, steady_now)

    @cached_property
    def reports(self) -> "ReportClient":
        """Reports of silent engines."""
        from pondpin.platform.reports import PlatformReports
        from pondpin.relay.upstreams.reports import ReportClient

        hear, note_sent = self._hearing.handle_head, self._gossip.record_sent
        port = PlatformReports(self._http)
        return ReportClient(port, self._log, steady_now, hear, note_sent)

    @cached_property
    def prober(self) -> "Prober":
        """Liveness checks of ejected upstreams."""
        from pondpin.platform.reports import PlatformLiveness
        from pondpin.relay.upstreams.prober import Prober

        return Prober(
            self._gossip.table,
            PlatformLiveness(self._http),
            self._hearing.handle_head,
            self._log,
            steady_now,
            self._gossip.record_sent,
        )

    @cached_property
    def permits(self) -> "PermitAcquirer":
        """Permits of limited upstreams."""
        from pondpin.relay.attempts.permit_acquirer import PermitAcquirer

        return PermitAcquirer(self._gossip.limits.permits, self._metrics, steady_now)

    @cached_property
    def operator_api(self) -> "OperatorApi":
        """What operators ask at the metrics address."""
        from pondpin.relay.operator_api import OperatorApi

        return OperatorApi(
            self._gossip.table,
            self._gossip.publication,
            self._metrics,
            self._guard,
            lambda: self._gossip.limits.issuer,
            steady_now,
        )

    def upstreams_due_for_recheck(self) -> list[UpstreamState]:
        """Those that take nothing at all, and are to be asked now whether they still do."""
        table = self._gossip.table
        return self._gossip.limits.issuer.due_for_recheck() if table.standings.names_limits else []

    def expire(self) -> None:
        """What is kept for a while only is dropped."""
        if self._gossip.table.standings.names_limits:
            self._gossip.limits.issuer.expire()

    async def wait_released(self) -> None:
        """Wait until what is being given back is back or lapses."""
        if "leases" in self.__dict__:
            await self.leases.wait_released()
