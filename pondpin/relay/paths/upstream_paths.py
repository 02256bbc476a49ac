"""Paths to upstreams while some can't be reached directly: direct, or a tunnel through a peer.

Direct connections are preferred. A path is chosen before any byte of a request is sent, so a
request is never repeated by it. Peers tell whether an upstream that refuses or is silent does so
towards them as well: only then it is at fault.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.internet.protocol import Factory, Protocol

from pondpin.health import Health
from pondpin.http_client import CONNECT_ERRORS, Connector, HttpClient, PathError
from pondpin.http_connections import has_unacknowledged
from pondpin.metrics import Metrics
from pondpin.network import Endpoint
from pondpin.relay.paths.events import UpstreamsUnreachable
from pondpin.relay.paths.peer_tunnels import PeerTunnels
from pondpin.relay.paths.reachability import Reachability
from pondpin.relay.peers.gossip import Gossip
from pondpin.relay.upstreams.state import FailureRate

Result = TypeVar("Result")

# A direct connection takes some ms; a tunnel is opened beside one that takes longer than this.
RACE_SECONDS = 0.03
# A healed link is found within two of these.
PROBE_SECONDS = 0.25
# Failing upstreams, and others, that are probed each time.
PROBES = 2


class UpstreamPaths:
    """Opens connections to upstreams; used while `is_active`."""

    def __init__(
        self,
        direct: Connector,
        tunnels: PeerTunnels,
        http: HttpClient,
        gossip: Gossip,
        metrics: Metrics,
    ) -> None:
        self._direct = direct
        self._tunnels = tunnels
        self._http = http
        self._gossip = gossip
        self._table = gossip.table
        self._metrics = metrics
        self._clock = gossip.clock
        self._reachability = Reachability()
        # Those that failed without an answer: open connections to them are dead as well.
        self._silent: set[Endpoint] = set()
        self._degraded_since: float | None = None
        self._probed_at: dict[Endpoint, float] = {}
        self._probing: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def is_active(self) -> bool:
        """Whether connections must go by `connect`."""
        return bool(self._reachability.failed_at)

    @property
    def is_cut(self) -> bool:
        """Whether this instance has probably lost its links to all upstreams."""
        return self._reachability.is_cut(len(self._table.by_id))

    @property
    def open_tunnels(self) -> int:
        """Tunnels through peers that are open."""
        return self._tunnels.open_count

    def is_unreachable(self, upstream: Endpoint) -> bool:
        """Whether the own links to an upstream are known to be lost."""
        return self.is_cut or upstream in self._reachability.detours

    def connect(self, host: str, port: int, factory: Any) -> Deferred[Any]:
        """See Connector."""
        upstream = Endpoint(host, port)
        if self._table.find(upstream) is None:
            return self._direct.connect(host, port, factory)
        return Deferred.fromFuture(self._spawn(self._connect(upstream, factory)))

    def recover(self, host: str, port: int, factory: Any, failure: Any) -> Any:
        """Handle a failure to connect directly; returns a connection, or the failure.

        A refused connection costs a peer as little time as it did here, so peers are asked before
        the failure is reported. After a silence they are asked meanwhile.
        """
        upstream = Endpoint(host, port)
        if self._table.find(upstream) is None or not self._can_ask(upstream):
            return failure
        self._record_failure(upstream, failure.value)
        if failure.check(ConnectionRefusedError):
            return Deferred.fromFuture(self._spawn(self._open_tunnel(upstream, factory)))
        self._spawn(self._verify(upstream))
        return failure

    def _record_unacknowledged(self, upstream: Endpoint) -> None:
        """Handle bytes on an open direct connection that are not acknowledged."""
        if upstream in self._reachability.failed_at or not self._can_ask(upstream):
            return
        self._record_failure(upstream, ConnectTimeoutError())
        self._spawn(self._verify(upstream))

    def is_lost(self, upstream: Endpoint, connection: Any) -> bool:
        """Whether an open connection is probably dead, and another path is not."""
        if connection.path:
            return all(peer.instance != connection.path for peer in self._tunnels.alive_peers())
        is_held = has_unacknowledged(connection)
        if is_held:
            self._record_unacknowledged(upstream)
        is_dead = is_held or upstream in self._silent
        return is_dead and upstream in self._reachability.detours

    def blames_upstream(self, upstream: Endpoint, path: str) -> bool:
        """Whether a connection that broke or stalled speaks against its upstream."""
        if path:
            self._tunnels.avoid(path)
            return False
        return upstream not in self._reachability.failed_at

    async def _connect(self, upstream: Endpoint, factory: Any) -> Any:
        if upstream in self._reachability.failed_at:
            return await self._open_tunnel(upstream, factory)
        if self.is_cut and self._tunnels.choose(upstream) is None:
            raise PathError("no peer reaches the upstreams")
        if self._reachability.is_degraded:
            return await self._race(upstream, factory)
        direct = self._start_direct(upstream, factory)
        try:
            return self._succeeded(upstream, await direct)
        except CONNECT_ERRORS as error:
            return await self._ask_peers(upstream, factory, error)

    async def _race(self, upstream: Endpoint, factory: Any) -> Any:
        """Connect directly, and by a tunnel beside it if that takes long; the first one counts."""
        direct = self._start_direct(upstream, factory)
        tunnel: asyncio.Future[Any] | None = None
        winner: Any = None
        try:
            await asyncio.wait((direct,), timeout=RACE_SECONDS)
            if not direct.done():
                tunnel = self._spawn(self._open_tunnel(upstream, factory))
                await asyncio.wait((direct, tunnel), return_when=asyncio.FIRST_COMPLETED)
            if tunnel is not None and not direct.done() and tunnel.exception() is None:
                self._record_failure(upstream, ConnectTimeoutError())
                self._reachability.record_detour(upstream)
                winner = tunnel.result()
                return winner
            try:
                winner = self._succeeded(upstream, await direct)
            except CONNECT_ERRORS as error:
                if tunnel is None:
                    return await self._ask_peers(upstream, factory, error)
                self._record_failure(upstream, error)
                winner = await tunnel
            return winner
        finally:
            for item in (direct, tunnel):
                if item is not None:
                    _discard(item, winner)

    def _can_ask(self, upstream: Endpoint) -> bool:
        """Whether there are peers, and none has just confirmed a fault of the upstream."""
        is_confirmed = self._reachability.is_confirmed(upstream, self._clock())
        return not is_confirmed and bool(self._tunnels.alive_peers())

    async def _ask_peers(self, upstream: Endpoint, factory: Any, error: Exception) -> Any:
        if not self._can_ask(upstream):
            raise error
        self._record_failure(upstream, error)
        return await self._open_tunnel(upstream, factory)

    async def _open_tunnel(self, upstream: Endpoint, factory: Any) -> Any:
        """Connect through a peer; raises PathError, or what the upstream does to peers."""
        try:
            connection = await self._tunnels.open(upstream, factory)
        except PathError:
            raise
        except CONNECT_ERRORS:
            self._reachability.record_confirmed(upstream, self._clock())
            self._silent.discard(upstream)
            self._log_change()
            raise
        if self._reachability.record_detour(upstream):
            self._clear_failures(upstream)
            self._log_change()
        return connection

    def _clear_failures(self, upstream: Endpoint) -> None:
        """Take back an ejection: a peer reaches the upstream."""
        state = self._table.find(upstream)
        if state is not None:
            state.health = Health()
            state.needs_probe = False
            state.failure_rate = FailureRate()

    async def _verify(self, upstream: Endpoint) -> None:
        """Ask peers for an upstream that was silent."""
        try:
            connection = await self._open_tunnel(upstream, quiet_factory())
        except ConnectError:
            return
        connection.transport.abortConnection()

    def _start_direct(self, upstream: Endpoint, factory: Any) -> "asyncio.Future[Any]":
        connecting = self._direct.connect(upstream.host, upstream.port, factory)
        return connecting.asFuture(asyncio.get_running_loop())

    def _succeeded(self, upstream: Endpoint, connection: Any) -> Any:
        """Record a direct connection; other upstreams are tried directly again as well."""
        if self._reachability.record_success(upstream):
            for item in list(self._reachability.failed_at):
                self._reachability.record_success(item)
                self._close_idle(item, lambda idle: bool(idle.path))
            self._close_idle(upstream, lambda idle: bool(idle.path))
            self._silent.clear()
            self._log_change()
        return connection

    def _record_failure(self, upstream: Endpoint, error: BaseException) -> None:
        self._reachability.record_failure(upstream, self._clock())
        if not isinstance(error, ConnectionRefusedError):
            self._silent.add(upstream)
            self._close_idle(upstream, lambda idle: not idle.path)
        self._log_change()
        if self._probing is None:
            self._probing = self._spawn(self._probe_until_healed())

    def _close_idle(self, upstream: Endpoint, is_outdated: Any) -> None:
        self._http.close_idle(upstream.host, upstream.port, is_outdated)

    async def _probe_until_healed(self) -> None:
        """Connect directly to failing upstreams, and to others, until none fails."""
        try:
            while self.is_active:
                await asyncio.gather(*(self._probe(item) for item in self._upstreams_to_probe()))
                await asyncio.sleep(PROBE_SECONDS)
        finally:
            self._probing = None

    def _upstreams_to_probe(self) -> list[Endpoint]:
        listed = {
            Endpoint(state.listed.host, state.listed.port)
            for state in self._table.by_id.values()
            if not state.leaving
        }
        self._reachability.keep(listed)
        failing = self._reachability.failed_at
        self._probed_at = {item: at for item, at in self._probed_at.items() if item in listed}
        due = sorted(failing, key=lambda item: self._probed_at.get(item, 0.0))[:PROBES]
        others = sorted(listed - set(failing), key=str)
        # Whether the instance has lost all its links shows at upstreams that it has not used.
        if self._reachability.is_degraded:
            due += self._gossip.rng.sample(others, min(PROBES, len(others)))
        return due

    async def _probe(self, upstream: Endpoint) -> None:
        self._probed_at[upstream] = self._clock()
        try:
            connection = await self._start_direct(upstream, quiet_factory())
        except CONNECT_ERRORS as error:
            if not self._reachability.is_confirmed(upstream, self._clock()):
                self._record_failure(upstream, error)
            return
        connection.transport.abortConnection()
        self._succeeded(upstream, connection)

    def _log_change(self) -> None:
        """Log when links are lost or healed."""
        now = self._clock()
        failing = len(self._reachability.failed_at)
        self._metrics.upstreams_unreachable.set({}, failing)
        is_degraded = self._reachability.is_degraded
        if is_degraded == (self._degraded_since is not None):
            return
        since = self._degraded_since if self._degraded_since is not None else now
        self._degraded_since = now if is_degraded else None
        self._gossip.log.write(
            UpstreamsUnreachable(
                begins=is_degraded,
                failing=failing,
                of=len(self._table.by_id),
                seconds=round(now - since, 3),
                alive_peers=len(self._tunnels.alive_peers()),
            )
        )

    def _spawn(self, work: Coroutine[Any, Any, Result]) -> "asyncio.Task[Result]":
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def close(self) -> None:
        """End all tasks."""
        for task in self._tasks:
            task.cancel()


def quiet_factory() -> Any:
    """A factory of connections that are only opened to see whether that is possible."""
    factory: Any = Factory.forProtocol(Protocol)
    factory.noisy = False
    return factory


def _discard(connecting: "asyncio.Future[Any]", winner: Any) -> None:
    """Cancel an attempt to connect, or close its connection unless that is the winner."""
    if not connecting.done():
        connecting.cancel()
        return
    if connecting.cancelled() or connecting.exception() is not None:
        return
    if connecting.result() is not winner:
        connecting.result().transport.abortConnection()
