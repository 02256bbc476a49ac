"""What an instance tells of itself in a digest."""

from typing import TYPE_CHECKING

from pondpin.relay.peers.digest_fields import round_up_ms
from pondpin.relay.peers.digests import (
    DIGEST_FORMAT,
    MILLISECONDS,
    Digest,
    EjectedDigest,
)
from pondpin.relay.periods import PERIOD_SECONDS

if TYPE_CHECKING:
    from pondpin.relay.peers.gossip import Gossip

# Hosts of the own data centre, and of others, that a digest mentions.
HOSTS_TOLD = 4
# Upstreams found last to leave are told; the list says it of all a moment later.
MAX_DIGEST_LEAVING = 32


class DigestBuilder:
    """Everything that the digests of an instance tell of."""

    def __init__(self, gossip: "Gossip") -> None:
        self._gossip = gossip

    def build(self, now: float) -> Digest:
        """A digest, but for the echo."""
        gossip, table, publication = self._gossip, self._gossip.table, self._gossip.publication
        in_force = publication.in_force
        proof = publication.proof
        proof_age = proof.age(now) if proof is not None else -0.001
        # A list of an epoch that is over proves nothing to peers.
        is_current = publication.list_epoch == publication.epoch
        list_at = publication.list_at if is_current else None
        works = (state.digest(now) for state in table.by_id.values() if state.work_by_key)
        near, far = self._heard_hosts()
        return Digest(
            format=DIGEST_FORMAT,
            instance=gossip.instance,
            boot=gossip.boot,
            host=gossip.address.host,
            sequence=0,
            stamp=int(now * MILLISECONDS),
            echo_boot=0,
            echo=-1,
            revision=in_force.revision,
            proof_age=round_up_ms(proof_age),
            list_tag=publication.list_tag,
            list_age=-1 if list_at is None else round_up_ms(now - list_at),
            data_center=table.data_center,
            reads_source=gossip.reads_source(),
            leaving=table.rotated_leaving(MAX_DIGEST_LEAVING, now),
            ejected=self._ejected(now),
            work=tuple(work for work in works if work is not None),
            hosts=self._some(near),
            far_hosts=self._some(far),
            quiet=round_up_ms(PERIOD_SECONDS),
            asks=False,
            waiting=gossip.calendar.digest(now),
            quarantine_tag=gossip.quarantine.fingerprint,
            limits=gossip.limits.digests(now) if table.standings.any_limit_reported else (),
            issues_permits=not gossip.is_stopping,
            epoch=publication.epoch,
            version=in_force.version if publication.configuration is not None else None,
            version_epoch=in_force.epoch,
        )

    def _heard_hosts(self) -> tuple[list[str], list[str]]:
        """Hosts heard in the own data centre and in others; by these everybody learns of all."""
        near: list[str] = []
        far: list[str] = []
        for peer in self._gossip.peer_table.by_host.values():
            (near if peer.data_center == self._gossip.table.data_center else far).append(peer.host)
        return near, far

    def _some(self, hosts: list[str]) -> tuple[str, ...]:
        return tuple(self._gossip.rng.sample(hosts, min(HOSTS_TOLD, len(hosts))))

    def _ejected(self, now: float) -> tuple[EjectedDigest, ...]:
        return tuple(
            EjectedDigest(life, int(left * MILLISECONDS))
            for life, left in self._gossip.table.lives_to_avoid(now)
        )
