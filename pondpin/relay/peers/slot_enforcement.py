"""Slots of contended upstreams: contention, owners and refused callers of an instance."""

from typing import TYPE_CHECKING

from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import ResponseHead
from pondpin.relay.peers.digests import DigestExtension
from pondpin.relay.peers.life_owners import SlotOwners
from pondpin.relay.peers.refused_callers import RefusedCallers
from pondpin.relay.peers.slot_broker import SlotBroker
from pondpin.relay.peers.slot_owner import SlotOwner
from pondpin.relay.upstreams.contention import ANSWER_FULL, PEER_DIGEST, TURNED_AWAY, Contention
from pondpin.relay.upstreams.state import UpstreamState

if TYPE_CHECKING:
    from pondpin.relay.peers.gossip import Gossip


class SlotEnforcement:
    """Loaded with the first evidence of contention, here or at a peer."""

    def __init__(self, gossip: "Gossip") -> None:
        self._gossip = gossip
        table = gossip.table
        self.contention = Contention(gossip.log, table.label_of)
        table.contention = self.contention
        self.refused = RefusedCallers()
        owners = SlotOwners(gossip)
        self.broker = SlotBroker(
            boot=gossip.boot,
            host=gossip.address.host,
            owners=owners,
            contention=self.contention,
            write=gossip.write,
            clock=gossip.clock,
        )
        self.owner = SlotOwner(
            by_life=table.by_life,
            slots_of=self._slots_of,
            is_settled=lambda: gossip.is_settled(),
            other_owner_host=owners.other_owner_host,
            answer=self.broker.send_answer,
            clock=gossip.clock,
        )
        self.broker.owner = self.owner

    def record_head(
        self, state: UpstreamState, head: ResponseHead, is_full: bool, now: float
    ) -> None:
        """Apply the load in the head of an answer."""
        load = head.load
        if is_full:
            self.contention.record(state.life, ANSWER_FULL if load else TURNED_AWAY, now)
        if load is None:
            return
        # The load of a stream is old when it ends; that of a plain call goes with its end. Those
        # of requests without a grant are known where the owner sent them itself.
        is_stream = head.is_event_stream and self.contention.is_contended(state.life, now)
        if is_stream or state.life in self.owner.owned_by_life:
            self.broker.report_load(state, load)

    def extension(self, now: float) -> DigestExtension:
        """Contended lives and refused callers for the next digest."""
        self.contention.expire(now)
        self.refused.expire(now)
        return DigestExtension(
            contended=self.contention.lives_to_send(now), refused=self.refused.digests(now)
        )

    def apply(self, extension: DigestExtension, now: float) -> None:
        """Apply a peer's contended lives and refused callers."""
        for life in extension.contended:
            self.contention.record(life, PEER_DIGEST, now)
        if self._gossip.table.is_enabled(Mechanism.RETURN_ORDER):
            self.refused.apply(extension.refused, now)

    def _slots_of(self, state: UpstreamState) -> int:
        """Slots of an engine by its profile, of a plain service's upstream by its entry."""
        configuration = self._gossip.publication.configuration
        services = configuration.services_by_name if configuration is not None else {}
        service = services.get(state.listed.service)
        profile = service.engine if service is not None else None
        return max(1, state.listed.slots if profile is None else profile.slots)
