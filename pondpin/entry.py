"""Puts an entry instance together: clients, state, decisions, filters, controllers, servers."""

import asyncio
import random
import time
from typing import Any

from absl import logging

from pondpin.callers import Callers
from pondpin.calls import Snapshot, chain_filters
from pondpin.controllers.base import Controller
from pondpin.controllers.configuration import ConfigurationController, ConfigurationStore
from pondpin.controllers.housekeeping import HousekeepingController, QueueController
from pondpin.controllers.load import LoadController
from pondpin.controllers.orders import OrderContext, OrderController
from pondpin.controllers.orphans import OrphanController
from pondpin.controllers.peers import (
    GrpcPeerClient,
    HeartbeatController,
    HeartbeatSettings,
    InstanceListController,
    InstanceStatus,
    PeerRegistry,
)
from pondpin.controllers.tls_reload import TlsReloadController
from pondpin.crash_monitor import CrashMonitor
from pondpin.decisions import DecisionLog
from pondpin.engine_attempts import EngineAttempts
from pondpin.engine_client import HttpEngines
from pondpin.filters.at_most_once import AtMostOnceFilter, TokenIssuer, TokenResultFilter
from pondpin.filters.authentication import AuthenticationFilter
from pondpin.filters.completion import CompletionFilter
from pondpin.filters.limit import LimitFilter
from pondpin.filters.quarantine import QuarantineFilter
from pondpin.filters.request_parsing import RequestParsingFilter
from pondpin.filters.route import RouteFilter
from pondpin.filters.rule import RuleFilter
from pondpin.filters.service import ServiceFilter
from pondpin.fleet import Fleet
from pondpin.forwarding import ForwardedCalls, PeerForwarder
from pondpin.http_server import ServerLimits, WebServer
from pondpin.identity import Identity
from pondpin.interface_metrics import InterfaceMetrics
from pondpin.ledger import Ledger
from pondpin.limit_slots import InstancePosition
from pondpin.network import Endpoint, parse_endpoint
from pondpin.notices import Notice
from pondpin.once import OnceTable
from pondpin.operators import OperatorGate, Operators
from pondpin.orders import revision_of_fence
from pondpin.partitionable_client import PartitionableClient
from pondpin.peer_server import PeerListener, PeerServer
from pondpin.platform_client import HttpPlatform
from pondpin.quarantine import compute_trial_rank
from pondpin.reservations import Reservations
from pondpin.resumes import Resumer
from pondpin.runtime import steady_now, wall_now
from pondpin.scheduler import Scheduler
from pondpin.server_shutdown import close_connections, refuse_incomplete, stopping_error
from pondpin.service_client import HttpServices
from pondpin.settings import Settings
from pondpin.signing import make_signer
from pondpin.stream_attempt import Watchdog
from pondpin.tls import PeerTls, twisted_tls
from pondpin.usage_shares import UsageShares
from pondpin.wire.peer_pb2 import HeartbeatRequest

CALL_SECONDS = 2.0
# Callers may read their replies for this long when the instance stops.
FLUSH_SECONDS = 0.25
DRAIN_POLL_SECONDS = 0.1
# The balancer goes on sending calls for a while after /readyz says no.
BALANCER_SECONDS = 1.0


class Entry:
    """One entry instance."""

    def __init__(self, reactor: Any, settings: Settings) -> None:
        self.settings = settings
        self.reactor = reactor
        self.identity = Identity(settings.instance, time.time_ns(), settings.data_center)
        self.draining = False
        self._looked = False
        self.random = random.Random()
        self._make_state()
        self._make_clients()
        self._make_decisions()
        self._make_chain()
        self._make_servers()
        self._make_controllers()

    @property
    def ready(self) -> bool:
        """Whether the balancer should send calls."""
        if self.store.snapshot is None or self.draining:
            return False
        # Before the first look at the upstreams there is nothing to place requests on; later
        # a new upstream in the configuration is no reason to stop.
        self._looked = self._looked or self.fleet.all_polled()
        return self._looked

    def _make_state(self) -> None:
        settings = self.settings
        self.metrics = InterfaceMetrics(settings.instance, settings.data_center)
        self.metrics.started.set({}, wall_now())
        self.fleet = Fleet(settings.data_center)
        self.fleet.sharer = self._sharer
        self.ledger = Ledger()
        self.watchdog = Watchdog()
        self.decisions = DecisionLog(settings.decisions_kept)
        self.once = OnceTable(settings.timing.answers_kept)
        self.signer = make_signer(settings.shared_key, settings.previous_shared_keys)
        self.store = ConfigurationStore(self.metrics, self._apply)
        peers = settings.peers
        self.book = PeerRegistry(
            self.identity,
            peers.listen.address,
            self._describe_self,
            self._hear,
            steady_now,
            HeartbeatSettings(peers.heartbeat_seconds, peers.fan_out, peers.lost_after_heartbeats),
        )
        self.shares = UsageShares(steady_now, lambda: 1 + len(self.book.live_peers()))

    def _turn_of(self, identity: int) -> int:
        """This instance's place among the live ones in a request's order."""
        peers = (peer.name for peer in self.book.live_peers())
        return compute_trial_rank(identity, self.identity.instance, peers)

    def _make_clients(self) -> None:
        settings = self.settings
        self.http = PartitionableClient(self.reactor, settings.timing.connect_timeout)
        self.engines = HttpEngines(self.http, self._hear_upstream)
        self.services = HttpServices(self.http, self._hear_upstream)
        self.platform = HttpPlatform(self.http, settings.platform.address)
        files = settings.peers.listen.tls
        self.peer_tls = PeerTls(files) if files is not None else None
        self.peers = GrpcPeerClient(
            self.metrics, lambda: self.peer_tls.client if self.peer_tls is not None else None
        )

    def _make_decisions(self) -> None:
        self.reservations = Reservations(
            self.engines, self.identity, steady_now, wall_now, CALL_SECONDS
        )
        self.scheduler = Scheduler(
            fleet=self.fleet,
            ledger=self.ledger,
            reservations=self.reservations,
            clock=steady_now,
            random=self.random,
            sharers=lambda: 1 + len(self.book.live_peers()),
        )

    def _make_chain(self) -> None:
        timing = self.settings.timing
        self.issuer = TokenIssuer(self.identity, self.once, self.signer, wall_now)
        self.identify = AuthenticationFilter()
        self.crashes = CrashMonitor(
            self.identity.instance,
            self.fleet,
            self.http.try_connect,
            self._turn_of,
            lambda: self.heartbeats.run_extra_round(),
            steady_now,
        )
        self.attempts = EngineAttempts(
            identity=self.identity,
            engines=self.engines,
            watchdog=self.watchdog,
            clock=steady_now,
            wall_clock=wall_now,
            stall_floor=timing.stall_floor,
            call_timeout=CALL_SECONDS,
        )
        complete = CompletionFilter(
            scheduler=self.scheduler,
            attempts=self.attempts,
            metrics=self.metrics,
            signer=self.signer,
            clock=steady_now,
            wall_clock=wall_now,
            rng=self.random,
            crash_monitor=self.crashes,
        )
        serve = ServiceFilter(self.services, self.fleet, self.metrics, steady_now, self.crashes)
        forwarder = PeerForwarder(self.book, self.peers)
        inner = (
            RequestParsingFilter(),
            AtMostOnceFilter(self.issuer, forwarder, self.metrics, self.store.raise_floor),
            RuleFilter(),
            QuarantineFilter(self.crashes, self.settings.shared_key),
            LimitFilter(steady_now, self.shares),
            TokenResultFilter(self.once, self.metrics, steady_now),
            RouteFilter(complete, serve),
        )
        self.callers = Callers(
            identity=self.identity,
            chain=chain_filters((self.identify, *inner)),
            identify=self.identify,
            issuer=self.issuer,
            metrics=self.metrics,
            decisions=self.decisions,
            snapshot=lambda: self.store.snapshot,
            resume=Resumer(
                self.engines,
                self.fleet,
                self.signer,
                self.watchdog,
                steady_now,
                wall_now,
                timing.stall_floor,
            ).resume,
            clock=steady_now,
            wall_clock=wall_now,
        )
        # A forwarded call's account was found by the peer that took it from its caller.
        self.forwarded = ForwardedCalls(self.callers, chain_filters(inner), self.identity.instance)

    def _make_servers(self) -> None:
        limits = self.settings.caller_limits
        self.caller_server = WebServer(
            self.reactor,
            ServerLimits(
                body_bytes=limits.body_bytes,
                bodies_held_bytes=limits.bodies_held_bytes,
                header_bytes=limits.header_bytes,
                send_seconds=limits.send_seconds,
                idle_seconds=limits.idle_seconds,
            ),
        )
        self.operator_server = WebServer(self.reactor, ServerLimits(body_bytes=1 << 20))
        self.operators = Operators(
            identity=self.identity,
            gate=OperatorGate(self.settings.operator_tokens),
            lifecycle=self,
            store=self.store,
            fleet=self.fleet,
            scheduler=self.scheduler,
            ledger=self.ledger,
            decisions=self.decisions,
            book=self.book,
            peers=self.peers,
            metrics=self.metrics,
            platform_answers=lambda: self.watch.platform_reachable,
            open_calls=lambda: self.callers.open_calls,
            clock=steady_now,
        )
        self.callers.attach(self.caller_server)
        self.caller_server.route("/readyz", self.operators.show_ready)
        self.operators.attach(self.operator_server)
        self.peer_server = PeerListener(
            PeerServer(self.book, self.store, self.decisions, self.forwarded.run)
        )

    def _make_controllers(self) -> None:
        settings, timing = self.settings, self.settings.timing
        self.watch = ConfigurationController(
            self.store,
            self.platform,
            settings.platform.watch_seconds,
            settings.platform.retry_seconds,
            self.random,
        )
        self.heartbeats = HeartbeatController(
            registry=self.book,
            peers=self.peers,
            seed_addresses=settings.peers.known,
            period=settings.peers.heartbeat_seconds,
            fan_out=settings.peers.fan_out,
            rng=self.random,
            seen_revision=lambda: self.store.seen_revision,
            apply_configuration=lambda revision, document: self.store.apply(
                revision, document, "peer"
            ),
            metrics=self.metrics,
        )
        self.controllers: tuple[Controller, ...] = (
            self.heartbeats,
            InstanceListController(
                self.platform, self.book, self._mark_upstream, settings.platform.list_seconds
            ),
            LoadController(
                self.fleet,
                self.engines,
                self.services,
                steady_now,
                timing.load_poll,
                timing.poll_timeout,
                self.random,
                self.scheduler.pump,
                lambda fence: self.store.raise_floor(revision_of_fence(fence)),
            ),
            OrphanController(
                fleet=self.fleet,
                engines=self.engines,
                ledger=self.ledger,
                reservations=self.reservations,
                metrics=self.metrics,
                newest_incarnation=self.book.newest_incarnation,
                instance=self.identity.instance,
                wall_clock=wall_now,
                grace=timing.orphan_grace,
                timeout=CALL_SECONDS,
            ),
            OrderController(
                fleet=self.fleet,
                engines=self.engines,
                metrics=self.metrics,
                context=OrderContext(
                    snapshot=lambda: self.store.snapshot,
                    live_instances=self._live_instances,
                    raise_floor=self.store.raise_floor,
                    draining=lambda: self.draining,
                ),
                instance=self.identity.instance,
                clock=steady_now,
                timeout=CALL_SECONDS,
            ),
            QueueController(self.scheduler),
            HousekeepingController(
                self.watchdog,
                self.once,
                self.scheduler,
                self.ledger,
                self.metrics,
                lambda: self.callers.open_calls,
                self.crashes.refresh,
                steady_now,
            ),
        )

        if self.peer_tls is not None:
            self.controllers += (TlsReloadController(self.peer_tls),)

    async def start(self) -> Endpoint:
        """Listen, hear from peers, then read the platform; returns the callers' endpoint."""
        settings = self.settings
        own = parse_endpoint(settings.peers.listen.address)
        context = self.peer_tls.server if self.peer_tls is not None else None
        await self.peer_server.start(own.host, own.port, ssl=context)
        operators = settings.operators
        self.operator_server.listen(
            self.reactor, parse_endpoint(operators.address), twisted_tls(operators.tls)
        )
        callers = settings.callers
        bound = self.caller_server.listen(
            self.reactor, parse_endpoint(callers.address), twisted_tls(callers.tls)
        )
        # Peers first: they know the revision in force, under which nothing may be taken.
        await self.heartbeats.step()
        for controller in (*self.controllers, self.watch):
            controller.start()
        return bound

    def drain(self) -> None:
        """Begin a planned stop: not ready, no new tokens; what is in flight goes on."""
        self.draining = True
        self.issuer.stopped = True

    def undrain(self) -> None:
        """Take a planned stop back."""
        self.draining = False
        self.issuer.stopped = False

    async def drain_and_stop(self) -> None:
        """A planned stop: wait for what is in flight, for as long as the settings say."""
        self.drain()
        logging.info("draining, %d calls open", self.callers.open_calls)
        end = steady_now() + self.settings.timing.drain
        quiet_since = steady_now()
        while steady_now() < end:
            if self.callers.open_calls:
                quiet_since = steady_now()
            elif steady_now() - quiet_since >= BALANCER_SECONDS:
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        await self.stop()

    async def crash(self) -> None:
        """Die as a killed process does: connections break, nothing is told to anybody."""
        for controller in (*self.controllers, self.watch):
            await controller.stop()
        await self.caller_server.close()
        await self.operator_server.close()
        self.caller_server.abort_connections()
        self.peer_server.cut()
        self.http.partition()
        for task in (*self.callers.serving, *self.caller_server.tasks, *self.scheduler.tasks):
            task.cancel()
        self.peers.close()

    async def stop(self) -> None:
        """Answer what is open, and close everything now."""
        self.caller_server.stopping = self.callers.stopping = True
        await self.caller_server.close()
        refuse_incomplete(self.caller_server, stopping_error())
        self.scheduler.refuse_waiting(stopping_error())
        # Lets the refused calls answer before the others are cancelled.
        await asyncio.sleep(0)
        for controller in (*self.controllers, self.watch):
            await controller.stop()
        await self.operator_server.close()
        self.peer_server.close()
        for serving in self.callers.serving:
            serving.cancel()
        await asyncio.gather(*self.callers.serving, return_exceptions=True)
        await asyncio.sleep(0)
        for task in self.caller_server.tasks:
            task.cancel()
        until = steady_now() + FLUSH_SECONDS
        await close_connections(self.caller_server, until, steady_now)
        await asyncio.gather(*self.attempts.cancels, return_exceptions=True)
        self.peers.close()
        await self.http.close()

    def _apply(self, snapshot: Snapshot) -> None:
        """Follow a configuration that came into force."""
        self.fleet.apply(snapshot.configuration)
        self.scheduler.apply(snapshot.configuration.policy)
        self.heartbeats.run_extra_round()

    def _live_instances(self) -> list[str]:
        """Peers that are alive and stay."""
        return [peer.name for peer in self.book.live_peers() if peer.ready and not peer.draining]

    def _sharer(self) -> InstancePosition:
        """This instance's place among those that share the limits of upstreams."""
        own = self.settings.instance
        names = sorted({own, *(peer.name for peer in self.book.live_peers())})
        return InstancePosition(names.index(own), len(names))

    def _describe_self(self) -> InstanceStatus:
        leaving = tuple(
            f"{state.name}/{state.leaving_incarnation}"
            for state in self.fleet.by_name.values()
            if state.leaving and state.leaving_incarnation >= 0
        )
        return InstanceStatus(
            revision=self.store.revision,
            ready=self.ready,
            draining=self.draining,
            leaving_upstreams=leaving,
            usage=self.shares.tell(),
            ended_lives=self.crashes.heartbeat_payload(),
        )

    def _hear(self, heard: HeartbeatRequest) -> None:
        """Take what a peer's heartbeat says beside the peer itself."""
        self.store.raise_floor(heard.revision)
        self.heartbeats.on_heartbeat(heard)
        self.shares.hear(heard.instance, tuple(heard.usage))
        self.crashes.apply_payload(heard.instance, heard.ended_lives)
        for mark in heard.leaving_upstreams:
            name, _, incarnation = mark.partition("/")
            state = self.fleet.by_name.get(name)
            if state is not None and incarnation.isdecimal():
                state.mark_leaving(int(incarnation))

    def _hear_upstream(self, address: str, notice: Notice) -> None:
        """Take what an answer says of its upstream."""
        state = self.fleet.hear(address, notice, steady_now())
        if state is None:
            return
        if notice.rest:
            self.metrics.rests_requested.inc({})
        logging.info(
            "upstream %s says: leaves %s, rest %.2f s %s, limit %s %s",
            state.name,
            notice.is_leaving,
            notice.rest,
            notice.invalid_rest[:80],
            notice.limit,
            notice.invalid_limit[:80],
        )

    def _mark_upstream(self, name: str, leaving: bool) -> None:
        """Take the platform's word on an upstream.

        The list lags, so its word is not kept for a life: a mark that outlived the list's
        entry would shut out an upstream that has started anew.
        """
        state = self.fleet.by_name.get(name)
        if state is not None:
            state.listed_leaving = leaving
