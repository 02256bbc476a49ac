"""Enforces the limits that upstreams report, by exchanging them and by permits."""

from typing import TYPE_CHECKING

from pondpin.relay.peers.digests import LimitDigest
from pondpin.relay.peers.life_owners import membership_of
from pondpin.relay.peers.limit_messages import limit_digests, lives_to_send
from pondpin.relay.peers.limit_sync import LimitSync
from pondpin.relay.peers.permit_broker import PermitBroker
from pondpin.relay.peers.permit_issuer import Membership, PermitIssuer

if TYPE_CHECKING:
    from pondpin.relay.peers.gossip import Gossip


class LimitEnforcement:
    """Limits and permits of an instance."""

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
        """Bytes of sent datagrams, without headers."""
        return self.sync.bytes_out + self.permits.bytes_out

    def receive(self, data: bytes, now: float) -> bool:
        """Handle a datagram; False when it is no limit or permit message."""
        return self.permits.receive(data, now) or self.sync.receive(data, now)

    def digests(self, now: float) -> tuple[LimitDigest, ...]:
        """The limits for the next digest."""
        table = self._gossip.table
        return limit_digests(table, lives_to_send(table, now), now)

    def membership(self, data_center: str) -> Membership:
        """The instances that may issue permits of a data centre's upstreams."""
        return membership_of(self._gossip, data_center)
