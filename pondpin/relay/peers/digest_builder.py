"""Builds digests."""

from typing import TYPE_CHECKING

import msgspec

from pondpin.relay.peers.digest_fields import round_up_ms
from pondpin.relay.peers.digests import (
    DIGEST_FORMAT,
    MILLISECONDS,
    NO_EXTENSION,
    Digest,
    DigestExtension,
    EjectedDigest,
)
from pondpin.relay.periods import PERIOD_SECONDS

if TYPE_CHECKING:
    from pondpin.relay.peers.gossip import Gossip

# Hosts of the own data centre in a digest, and as many of others.
MAX_DIGEST_HOSTS = 4
# Leaving lives in a digest, rotated if there are more; the list soon shows them too.
MAX_DIGEST_LEAVING = 32


class DigestBuilder:
    """Builds the digests of an instance."""

    def __init__(self, gossip: "Gossip") -> None:
        self._gossip = gossip

    def build(self, now: float) -> Digest:
        """Build a digest without sequence and echo."""
        gossip, table, publication = self._gossip, self._gossip.table, self._gossip.publication
        in_force = publication.in_force
        proof = publication.proof
        proof_age = proof.age(now) if proof is not None else -0.001
        # A list of an earlier epoch proves nothing to peers.
        is_current = publication.list_epoch == publication.epoch
        list_at = publication.list_at if is_current else None
        work_digests = (state.digest(now) for state in table.by_id.values() if state.work_by_key)
        local, remote = self._peer_hosts()
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
            work=tuple(work for work in work_digests if work is not None),
            hosts=self._sample(local),
            remote_hosts=self._sample(remote),
            interval_ms=round_up_ms(PERIOD_SECONDS),
            wants_reply=False,
            queued_prompts=gossip.prefill_queue.digest(now) if gossip.has_prefill_queue else (),
            quarantine_tag=gossip.quarantine.fingerprint,
            limits=gossip.limits.digests(now)
            if table.availability_table.any_limit_reported
            else (),
            issues_permits=not gossip.is_stopping
            and (table.cold_starts is None or not gossip.limits.is_new(now)),
            epoch=publication.epoch,
            version=in_force.version if publication.configuration is not None else None,
            version_epoch=in_force.epoch,
            extension=self._extension(now),
        )

    def _extension(self, now: float) -> DigestExtension | None:
        """The extension, None while there is nothing to add."""
        gossip = self._gossip
        extension = NO_EXTENSION
        if gossip.table.contention is not None:
            extension = gossip.slots.extension(now)
        if gossip.evacuations is not None:
            evacuations = gossip.evacuations.digest(now)
            extension = msgspec.structs.replace(extension, evacuations=evacuations)
        if gossip.table.cold_starts is not None:
            cold = gossip.limits.cold_digests(now)
            extension = msgspec.structs.replace(extension, cold=cold)
        if gossip.is_cut():
            extension = msgspec.structs.replace(extension, is_cut=True)
        return None if extension == NO_EXTENSION else extension

    def _peer_hosts(self) -> tuple[list[str], list[str]]:
        local: list[str] = []
        remote: list[str] = []
        for peer in self._gossip.peer_table.by_host.values():
            (local if peer.data_center == self._gossip.table.data_center else remote).append(
                peer.host
            )
        return local, remote

    def _sample(self, hosts: list[str]) -> tuple[str, ...]:
        return tuple(self._gossip.rng.sample(hosts, min(MAX_DIGEST_HOSTS, len(hosts))))

    def _ejected(self, now: float) -> tuple[EjectedDigest, ...]:
        return tuple(
            EjectedDigest(life, int(left * MILLISECONDS))
            for life, left in self._gossip.table.lives_to_avoid(now)
        )
