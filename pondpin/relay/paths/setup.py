"""Composition of paths through peers, loaded when one is needed."""

import asyncio

from twisted.internet.defer import Deferred

from pondpin.http_client import CONNECT_ERRORS, HttpClient
from pondpin.metrics import Metrics
from pondpin.network import Endpoint
from pondpin.relay.paths.connector import UpstreamConnector
from pondpin.relay.paths.peer_tunnels import PeerTunnels, TunnelSettings
from pondpin.relay.paths.tunnel_client import TunnelClient
from pondpin.relay.paths.tunnel_server import TunnelFactory, TunnelServer
from pondpin.relay.paths.upstream_paths import UpstreamPaths, quiet_factory
from pondpin.relay.peers.digests import PeerRecord
from pondpin.relay.peers.gossip import Gossip
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay_settings import RelaySettings
from pondpin.request_identity import derive_key

# Upstreams of the same service that show whether the own links work.
CHECKED_UPSTREAMS = 2


def make_paths(
    settings: RelaySettings,
    connector: UpstreamConnector,
    http: HttpClient,
    gossip: Gossip,
    metrics: Metrics,
) -> UpstreamPaths:
    """The paths of an instance."""
    tunnels = TunnelSettings(derive_key(settings.identity_key), settings.peers.ports[0])
    client = TunnelClient(connector.reactor)
    peer_tunnels = PeerTunnels(tunnels, client, gossip, metrics)
    return UpstreamPaths(connector.direct, peer_tunnels, http, gossip, metrics)


def make_tunnels(
    settings: RelaySettings, connector: UpstreamConnector, gossip: Gossip, metrics: Metrics
) -> TunnelFactory:
    """The factory of peers' connections."""

    def find_peer(instance: str) -> PeerRecord | None:
        alive = gossip.peer_table.alive(gossip.clock())
        return next((peer for peer in alive if peer.instance == instance), None)

    def find_upstream(endpoint: Endpoint) -> UpstreamState | None:
        return gossip.table.find(endpoint)

    async def reach_other(endpoint: Endpoint) -> bool:
        connecting = connector.direct.connect(endpoint.host, endpoint.port, quiet_factory())
        try:
            connection = await connecting.asFuture(asyncio.get_running_loop())
        except CONNECT_ERRORS:
            return False
        connection.transport.abortConnection()
        return True

    async def reach_any_other(target: Endpoint) -> bool:
        state = gossip.table.find(target)
        peers_of_target = gossip.table.of_service(state.listed.service) if state else []
        others = [
            item.endpoint
            for item in peers_of_target
            if item.endpoint != target and not item.leaving and item.looks_healthy(gossip.clock())
        ]
        checked = gossip.rng.sample(others, min(CHECKED_UPSTREAMS, len(others)))
        results = await asyncio.gather(*(reach_other(endpoint) for endpoint in checked))
        return any(results) or not checked

    server = TunnelServer(
        key=derive_key(settings.identity_key),
        boot=gossip.boot,
        direct=connector.direct,
        find_peer=find_peer,
        find_upstream=find_upstream,
        is_unreachable=connector.is_unreachable,
        reaches_others=lambda target: Deferred.fromFuture(
            asyncio.ensure_future(reach_any_other(target))
        ),
        is_stopping=lambda: gossip.is_stopping,
        metrics=metrics,
        log=gossip.log,
        clock=gossip.clock,
    )
    return TunnelFactory(server)
