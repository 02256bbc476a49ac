"""Tunnels to upstreams through peers: which peers are asked, and what their answers mean."""

from dataclasses import dataclass, replace
from typing import Any

from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.internet.error import TimeoutError as ConnectTimeoutError

from pondpin.codes import Code
from pondpin.http_client import PathError
from pondpin.metrics import Metrics
from pondpin.network import Endpoint
from pondpin.relay.paths.events import TunnelFailed
from pondpin.relay.paths.peer_choice import PeerChoice
from pondpin.relay.paths.tunnel_client import OpenedTunnel, TunnelClient
from pondpin.relay.paths.tunnel_messages import TunnelRequest, make_proof
from pondpin.relay.peers.digests import PeerRecord
from pondpin.relay.peers.gossip import Gossip

# Peers that are asked for one connection.
MAX_PEERS = 4
# Peers that must fail to connect as well before the upstream counts as at fault: one may have
# lost the same links and not know it yet.
CONFIRMING_PEERS = 2
NO_ANSWER = "NO_ANSWER"
# Answers that concern all upstreams; the others only the one that was asked for.
UNUSABLE = (Code.NOT_SENT, Code.DRAINING, Code.TUNNEL_BUSY, Code.TUNNEL_DENIED)


@dataclass(frozen=True, slots=True)
class TunnelSettings:
    """What a sender of requests for tunnels needs; port: of tunnels, the same at all peers."""

    key: bytes
    port: int


class PeerTunnels:
    """Opens tunnels for an instance."""

    def __init__(
        self, settings: TunnelSettings, client: TunnelClient, gossip: Gossip, metrics: Metrics
    ) -> None:
        self._settings = settings
        self._client = client
        self._gossip = gossip
        self._metrics = metrics
        self._choice = PeerChoice(gossip.table.data_center, gossip.rng)
        self._number = 0

    @property
    def open_count(self) -> int:
        """Tunnels that are open."""
        return self._choice.open_count

    def alive_peers(self) -> list[PeerRecord]:
        """The peers that this instance hears."""
        return self._gossip.peer_table.alive(self._gossip.clock())

    def avoid(self, instance: str) -> None:
        """Leave a peer out for a while."""
        self._choice.avoid(instance, self._gossip.clock())

    def choose(
        self, upstream: Endpoint, excluded: frozenset[str] = frozenset(), other_than: str = ""
    ) -> PeerRecord | None:
        """The peer to ask next, None if none is left; see PeerChoice."""
        state = self._gossip.table.find(upstream)
        preferred = state.listed.data_center if state is not None else ""
        now = self._gossip.clock()
        return self._choice.choose(self.alive_peers(), excluded, now, other_than, preferred)

    async def open(self, upstream: Endpoint, factory: Any) -> Any:
        """Connect through a peer.

        Raises PathError if no peer tells, ConnectionRefusedError or TimeoutError if the upstream
        refuses peers or is silent to them as well.
        """
        excluded: frozenset[str] = frozenset()
        codes: list[Code] = []
        confirming = ""
        while len(excluded) < MAX_PEERS and len(codes) < CONFIRMING_PEERS:
            peer = self.choose(upstream, excluded, confirming)
            if peer is None:
                break
            excluded |= {peer.instance}
            opened = await self._request(peer, upstream, factory)
            if opened.code is Code.OK:
                self._count_until_lost(peer, opened)
                return opened.connection
            if opened.code in (Code.UPSTREAM_REFUSED, Code.UPSTREAM_STALLED):
                codes.append(opened.code)
                confirming = peer.data_center
            elif opened.code in UNUSABLE:
                self.avoid(peer.instance)
        if not codes:
            raise PathError("no peer reaches the upstream")
        if all(code is Code.UPSTREAM_REFUSED for code in codes):
            raise ConnectionRefusedError(string="refuses peers as well")
        raise ConnectTimeoutError(string="is silent to peers as well")

    async def _request(self, peer: PeerRecord, upstream: Endpoint, factory: Any) -> OpenedTunnel:
        self._number += 1
        gossip = self._gossip
        unsigned = TunnelRequest(upstream, gossip.instance, gossip.boot, self._number, "")
        proof = make_proof(self._settings.key, unsigned, peer.boot)
        request = replace(unsigned, proof=proof, is_framed=True)
        place = Endpoint(peer.host, self._settings.port)
        try:
            opened = await self._client.open(place, request, factory)
        except ConnectError as error:
            self._record_failed(peer, upstream, NO_ANSWER, str(error))
            return OpenedTunnel(Code.NOT_SENT)
        if opened.code is Code.OK:
            self._metrics.tunnels_requested.inc({"result": Code.OK.name})
        else:
            self._record_failed(peer, upstream, opened.code.name, "")
        return opened

    def _record_failed(self, peer: PeerRecord, upstream: Endpoint, code: str, detail: str) -> None:
        self._metrics.tunnels_requested.inc({"result": code})
        self._gossip.log.write(
            TunnelFailed(peer=peer.instance, upstream=str(upstream), code=code, detail=detail)
        )

    def _count_until_lost(self, peer: PeerRecord, opened: OpenedTunnel) -> None:
        assert opened.receiver is not None, "a tunnel that is open"
        opened.connection.path = peer.instance
        self._change_open(peer, self._choice.opened)
        opened.receiver.call_when_lost(lambda: self._change_open(peer, self._choice.closed))

    def _change_open(self, peer: PeerRecord, change: Any) -> None:
        change(peer.instance)
        self._metrics.tunnels_open.set({"end": "client"}, self._choice.open_count)
