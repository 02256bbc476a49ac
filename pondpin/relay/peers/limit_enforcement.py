"""What keeps to the limits that upstreams name: the news of them, and the permits."""

from typing import TYPE_CHECKING

from pondpin.relay.peers.digests import LimitDigest
from pondpin.relay.peers.limit_messages import limit_digests, lives_to_send
from pondpin.relay.peers.limit_sync import LimitSync
from pondpin.relay.peers.permit_broker import PermitBroker
from pondpin.relay.peers.permit_issuer import Membership, PermitIssuer

if TYPE_CHECKING:
    from pondpin.relay.peers.gossip import Gossip


class LimitEnforcement:
    """All of it, on an instance's datagrams and its knowledge of peers."""

    def __init__(self, gossip: "Gossip") -> None:
        self._gossip = gossip
        self.sync = LimitSync(
            gossip.instance,
            gossip.boot,
            gossip.table,
            gossip.write,
            lambda: gossip.hosts,
            gossip.log,
        )
        self.issuer = PermitIssuer(
            gossip.instance,
            gossip.table,
            self.membership,
            lambda: gossip.is_settled(),
            gossip.log,
            gossip.clock,
        )
        self.permits = PermitBroker(
            self.issuer, gossip.boot, gossip.address.host, gossip.write, gossip.clock, gossip.rng
        )

    @property
    def bytes_out(self) -> int:
        """Bytes of datagrams that were sent, headers aside."""
        return self.sync.bytes_out + self.permits.bytes_out

    def receive(self, data: bytes, now: float) -> bool:
        """Take a datagram; False when it is none of these."""
        return self.permits.receive(data, now) or self.sync.receive(data, now)

    def digests(self, now: float) -> tuple[LimitDigest, ...]:
        """What digests tell."""
        table = self._gossip.table
        return limit_digests(table, lives_to_send(table, now), now)

    def membership(self, data_center: str) -> Membership:
        """The instances that may hand out permits of a data centre's upstreams.

        Where none of it was ever heard, all may: nobody there can.
        """
        gossip = self._gossip
        now, known = gossip.clock(), gossip.peer_table.by_host.values()
        peers = [item for item in known if item.data_center == data_center]
        is_here = data_center == gossip.table.data_center
        if not peers and not is_here:
            peers, is_here = list(known), True
        alive = [peer for peer in peers if peer.is_alive(now)]
        hosts_by_name = {peer.instance: peer.host for peer in alive if peer.issues_permits}
        if is_here and (not gossip.is_stopping or not hosts_by_name):
            hosts_by_name[gossip.instance] = gossip.address.host
        return Membership(hosts_by_name, len(alive) + is_here, len(peers) + is_here)
