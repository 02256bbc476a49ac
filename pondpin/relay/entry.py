"""Composition of a relaying instance."""

import asyncio
import math
import random
import secrets
import sys
from typing import Any

import pondpin
from pondpin.controllers.base import Controller
from pondpin.http_reply import IncomingRequest, Reply
from pondpin.http_server import WebServer
from pondpin.metrics import Metrics
from pondpin.network import Endpoint, parse_endpoint
from pondpin.platform.documents import PlatformDecoder
from pondpin.platform.headers import PlatformDialect
from pondpin.platform.paths import READY_PATH
from pondpin.platform.store import PlatformStore
from pondpin.policies import PlacementPolicy
from pondpin.relay.attempts.admission import AdmissionState, is_ready
from pondpin.relay.attempts.crash_guard import CrashGuard
from pondpin.relay.attempts.handler import RelayHandler
from pondpin.relay.attempts.placer import Placer
from pondpin.relay.attempts.run_tracker import RunTracker
from pondpin.relay.attempts.send_checks import SendChecks
from pondpin.relay.caller_limits import caller_limits
from pondpin.relay.choosing.planner import Planner, RelayPolicy
from pondpin.relay.choosing.retry_window import RetryBounds
from pondpin.relay.housekeeping import HousekeepingController
from pondpin.relay.lazy_components import (
    OPERATOR_PATHS,
    PIECES_PATH,
    LazyComponents,
    LazyPieceClient,
)
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import Reloaded, Started, Stopped
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.paths.connector import TunnelPort, UpstreamConnector, make_http_client
from pondpin.relay.peers.controller import GossipController
from pondpin.relay.peers.gossip import Gossip
from pondpin.relay.peers.hosts import GossipAddress
from pondpin.relay.publication_handler import PublicationHandler
from pondpin.relay.published.publication import Publication
from pondpin.relay.published.reader import ReaderController, renewal_scale
from pondpin.relay.published.source_monitor import SourceMonitor
from pondpin.relay.upstreams.notice_handler import ANSWER_SOURCE, NoticeHandler
from pondpin.relay.upstreams.probe import ProbeController
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.relay_settings import RelaySettings
from pondpin.request_identity import derive_key
from pondpin.runtime import steady_now, wall_now

# Part of the keys' age bound reserved for the delay to the upstream and clock drift.
KEY_MARGIN_SECONDS = 0.4
# Within this, some instance has read a configuration change and broadcast it.
CHANGE_BROADCAST_SECONDS = 0.7
# The load balancer removes an instance after two failed readiness checks that are 1 s apart.
BALANCER_REMOVAL_SECONDS = 3.0
# Time to learn the peers' placements after a start: each peer sends two digests in it.
SETTLE_SECONDS = 0.5
# A starting instance prefers its peers' configuration this long: the source may be an older copy.
PEERS_FIRST_SECONDS = 0.25
MILLISECONDS = 1000.0


class RelayEntry:
    """A relaying instance."""

    def __init__(self, reactor: Any, settings: RelaySettings, log_fd: int | None = None) -> None:
        self.reactor = reactor
        self.settings = settings
        self._log_fd = sys.stdout.fileno() if log_fd is None else log_fd
        self.boot = secrets.randbits(48)
        self.rng = random.Random(self.boot)
        self.stopping_at: float | None = None
        self.drain_ends_at: float | None = None
        self._tunnel_port: Any = None
        self._created_at = steady_now()
        self._make_state()
        self._make_gossip()
        self._make_serving()
        self._make_controllers()

    def _make_state(self) -> None:
        settings = self.settings
        self.log = EventLog(settings.instance, steady_now, wall_now, self._log_fd)
        self.metrics = Metrics(settings.instance, settings.data_center)
        self.metrics.started.set({}, wall_now())
        disabled = frozenset(settings.without)
        self.policy = RelayPolicy(PlacementPolicy(settings.placement), disabled)
        self.table = UpstreamTable(settings.data_center, disabled)
        self.has_tunnels = bool(settings.identity_key) and Mechanism.TUNNELS not in disabled
        self.connector = UpstreamConnector(
            self.reactor, (lambda: self.lazy.paths) if self.has_tunnels else None
        )
        self.http = make_http_client(self.reactor, self.connector)
        self.publication = Publication(
            PlatformDecoder(),
            lambda configuration: self.publication_handler.apply_configuration(configuration),
            lambda change: self.publication_handler.apply_list(change),
            lambda kind, key, reason: self.publication_handler.log_rejected(kind, key, reason),
            lambda report: self.publication_handler.log_report(report),
            prefer_peers_until=self._created_at + PEERS_FIRST_SECONDS
            if settings.peers.has_remote_peers
            else 0.0,
        )

    def _make_gossip(self) -> None:
        settings = self.settings
        documents = parse_endpoint(settings.peers.documents)
        self.gossip = Gossip(
            instance=settings.instance,
            boot=self.boot,
            address=GossipAddress(documents.host, settings.peers.ports[0], documents.port),
            seeds=tuple(parse_endpoint(address).host for address in settings.peers.known),
            publication=self.publication,
            table=self.table,
            piece_port=LazyPieceClient(self.http, self.metrics),
            log=self.log,
            clock=steady_now,
            rng=self.rng,
            reads_source=lambda: self.reader.answers,
            is_settled=self.knows_peers,
            is_cut=lambda: self.connector.is_cut,
        )
        self.document_server = WebServer(self.reactor)
        self.document_server.route(PIECES_PATH, lambda *call: self.lazy.documents.handle(*call))

    def _make_serving(self) -> None:
        settings = self.settings
        policy = self.policy
        planner = Planner(
            self.table,
            steady_now,
            self.rng,
            self.gossip.send_soon,
            policy,
            self._instance_count,
            self.gossip.count_reporting_peers,
            self.knows_peers,
            self.gossip.broadcast_long_prefills,
            lambda state: self.gossip.limits.issuer.has_spare(state),
            self.http.trim_idle,
        )
        lease_prefix = f"{settings.instance}-{self.boot:x}"
        self.notice_handler = NoticeHandler(
            self.table,
            lambda: self.publication.list_at,
            self.gossip.send_soon,
            self.metrics,
            self.log,
            steady_now,
            lambda life, now: self.gossip.limits.sync.broadcast(life, now),
        )
        self.crash_guard = CrashGuard(
            quarantine_sync=self.gossip.quarantine_sync,
            tracker=RunTracker(self.http.try_connect, self.table, self.log, steady_now),
            identity_key=derive_key(settings.identity_key),
            table=self.table,
            trial_rank=self.gossip.trial_rank,
            list_at=lambda: self.publication.list_at,
            policy=policy,
            metrics=self.metrics,
        )
        self.lazy = LazyComponents(
            self.http,
            self.gossip,
            self.notice_handler,
            self.crash_guard,
            self.metrics,
            self.log,
            lease_prefix,
            policy,
            lambda: self.settings.limits,
            self.connector,
            lambda: self.settings,
        )
        dialect = PlatformDialect()
        checks = SendChecks(
            self.admission_state, self.crash_guard, lambda: self.gossip.limits.issuer, steady_now
        )
        placer = Placer(
            planner=planner,
            dispatcher=lambda: self.lazy.dispatcher,
            leases=lambda: self.lazy.leases,
            send_checks=checks,
            table=self.table,
            permits=lambda: self.lazy.permits,
            slots=lambda: self.lazy.slots,
            clock=steady_now,
            rng=self.rng,
            drain_ends_at=lambda: self.drain_ends_at,
        )
        self.handler = RelayHandler(
            dialect=dialect,
            make_runner=lambda: self.lazy.make_runner(dialect),
            planner=planner,
            placer=placer,
            table=self.table,
            leases=lambda: self.lazy.leases,
            policy=policy,
            reports=lambda: self.lazy.reports,
            notice_handler=self.notice_handler,
            send_checks=checks,
            crash_guard=self.crash_guard,
            admission_state=self.admission_state,
            instance_count=self._instance_count,
            retry_bounds=self._retry_bounds,
            log=self.log,
            metrics=self.metrics,
            clock=steady_now,
            rng=self.rng,
            connector=self.connector,
            refuses_new=self.refuses_new,
            record_load=(lambda *load: self.gossip.slots.record_head(*load))
            if policy.has(Mechanism.SLOT_GRANTS)
            else None,
        )
        limits = caller_limits(settings.limits.memory_mebibytes, None)
        self.caller_server = WebServer(self.reactor, limits)
        self.publication_handler = PublicationHandler(
            self.table,
            self.publication,
            self.caller_server,
            self.http,
            self.metrics,
            self.log,
            steady_now,
            lambda: self.settings.limits.memory_mebibytes,
            lambda configuration: self.lazy.update_cold_starts(configuration),
        )
        self.caller_server.route("", self.handler.handle)
        self.caller_server.check_head = self.handler.check_head
        self.ready_server = WebServer(self.reactor)
        self.ready_server.route(READY_PATH, self._show_ready)
        self.metrics_server = WebServer(self.reactor)
        for path in OPERATOR_PATHS:
            self.metrics_server.route(path, lambda *call: self.lazy.operator_api.handle(*call))

    def _make_controllers(self) -> None:
        monitor = SourceMonitor(
            self.log, lambda epoch: self.publication.receive_epoch(epoch, ANSWER_SOURCE)
        )
        source = PlatformStore(self.http, self.settings.source, monitor.receive_head)
        self.reader = ReaderController(
            source,
            self.publication,
            self.gossip.rank,
            self.gossip.send_urgent,
            self.log,
            steady_now,
            self.rng,
            scale=lambda: renewal_scale(self.settings.limits),
            # Starting peers contact the seeds first, so seeds read the source without delay.
            delay_start=self.gossip.address.host not in self.gossip.peer_hosts.seeds,
            monitor=monitor,
        )
        bound = self.settings.limits.evacuation_ms / MILLISECONDS
        if bound and self.policy.has(Mechanism.EVACUATION):
            from pondpin.platform.order_store import PlatformOrderStore
            from pondpin.relay.peers.evacuation_setup import add_evacuations

            orders = PlatformOrderStore(self.http, self.settings.source, monitor.receive_head)
            has_peers = self.settings.peers.has_remote_peers
            add_evacuations(self.gossip, self.reader, orders, self.metrics, bound, has_peers)
        self.controllers: tuple[Controller, ...] = (
            self.reader,
            GossipController(self.gossip, self.publication, steady_now),
            ProbeController(
                self.table,
                self.publication,
                lambda: self.lazy.prober,
                steady_now,
                self.lazy.upstreams_due_for_recheck,
            ),
            HousekeepingController(
                self.log,
                self.metrics,
                lambda: self.publication_handler.log_freshness(self.admission_state()),
                lambda: self.handler.open_requests,
                lambda: len(self.gossip.peer_table.alive(steady_now())),
                self._maintain,
            ),
        )

    def _maintain(self) -> None:
        self.crash_guard.step(steady_now())
        self.lazy.expire()
        self.handler.expire()

    def _instance_count(self) -> int:
        """Silent peers count, as they may be alive."""
        return 1 + len(self.gossip.hosts)

    def knows_peers(self) -> bool:
        """Whether peers had the time to report their placements."""
        settled = steady_now() - self._created_at >= SETTLE_SECONDS
        return settled or not self.policy.has(Mechanism.SETTLING)

    def _retry_bounds(self) -> RetryBounds:
        limits = self.settings.limits
        return RetryBounds(limits.retry_ratio, limits.retry_allowance, limits.retry_window_seconds)

    def admission_state(self) -> AdmissionState:
        """The current admission state."""
        limits = self.settings.limits
        max_age = limits.key_ms / MILLISECONDS - KEY_MARGIN_SECONDS
        evacuations = self.gossip.evacuations
        knows_orders = evacuations is None or evacuations.knows(steady_now())
        return AdmissionState(
            self.publication.configuration if knows_orders else None,
            self.publication.proof,
            max_age if limits.keys_need_proof else None,
            self.gossip.has_live_peers,
            self.publication.behind_seconds(steady_now()),
            limits.configuration_ms / MILLISECONDS - CHANGE_BROADCAST_SECONDS,
        )

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send connections."""
        if self.caller_server.stopping or not self.table.by_id:
            return False
        return is_ready(self.admission_state(), self.publication.in_force, steady_now())

    async def start(self) -> Endpoint:
        """Listen and start the controllers."""
        settings, reactor = self.settings, self.reactor
        self.log.open()
        self.log.write(
            Started(data_center=settings.data_center, boot=self.boot, version=pondpin.__version__)
        )
        documents = parse_endpoint(settings.peers.documents)
        self.document_server.listen(self.reactor, documents)
        self.gossip.listen()
        if self.has_tunnels:
            tunnels = TunnelPort(lambda: self.lazy.tunnels)
            port = settings.peers.ports[0]
            self._tunnel_port = reactor.listenTCP(port, tunnels, interface=documents.host)
        self.ready_server.listen(self.reactor, parse_endpoint(settings.ready))
        if settings.metrics_port:
            self.metrics_server.listen(reactor, Endpoint(documents.host, settings.metrics_port))
        bound = self.caller_server.listen(self.reactor, parse_endpoint(settings.callers))
        asyncio.get_running_loop().call_later(
            PEERS_FIRST_SECONDS, lambda: self.publication.apply_pending(steady_now())
        )
        phase = steady_now()
        for controller in self.controllers:
            controller.start(phase)
        return bound

    async def drain_and_stop(self) -> None:
        """Become unready, drain open requests for the grace period, then stop."""
        from pondpin.relay.draining import drain

        self.stopping_at = steady_now()
        await drain(self, self.stopping_at)
        await self.stop()

    def refuses_new(self, now: float) -> bool:
        """New requests may outlast the process."""
        at, ends_at = self.stopping_at, self.drain_ends_at
        return at is not None and now >= min(at + BALANCER_REMOVAL_SECONDS, ends_at or math.inf)

    async def stop(self) -> None:
        """End open requests with a reply, stop the controllers and close the servers."""
        await self.caller_server.close()
        if len(self.caller_server.channels) or self.caller_server.tasks:
            from pondpin.relay.draining import end_connections

            self.log.write(await end_connections(self))
        else:
            self.log.write(Stopped(open_requests=0))
        for controller in self.controllers:
            await controller.stop()
        if self._tunnel_port is not None:
            self._tunnel_port.stopListening()
        self.lazy.close_tunnels()
        for server in (self.ready_server, self.metrics_server, self.document_server):
            await server.close()
        await self.lazy.wait_released()
        self.gossip.close()
        self.log.flush()

    def reload(self, settings: RelaySettings) -> None:
        """Apply the settings that may change at run time."""
        self.settings = settings
        self.gossip.peer_hosts.seeds = tuple(
            parse_endpoint(item).host for item in settings.peers.known
        )
        self.log.write(Reloaded(outcome="taken"))

    def refuse_reload(self, reason: str) -> None:
        """Log an invalid settings file; the settings in force stay."""
        self.log.write(Reloaded(outcome="refused", reason=reason))

    async def _show_ready(self, incoming: IncomingRequest, reply: Reply) -> None:
        reply.send(200 if self.ready else 503, {}, b"")
