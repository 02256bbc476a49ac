"""What peers tell of the published configuration and list."""

from functools import cached_property
from typing import TYPE_CHECKING

from pondpin.relay.log_events import ConfigurationBehind
from pondpin.relay.peers.digests import MILLISECONDS, Digest, digest_version, echo_sent_at
from pondpin.relay.published.documents import ListOffer
from pondpin.relay.published.freshness import PublishedVersion, peer_proof

if TYPE_CHECKING:
    from pondpin.relay.peers.gossip import Gossip
    from pondpin.relay.published.document_fetch import DocumentFetcher


class PublishedSync:
    """Takes proofs and epochs from digests, and has newer documents fetched."""

    def __init__(self, gossip: "Gossip") -> None:
        self._gossip = gossip

    @cached_property
    def _fetcher(self) -> "DocumentFetcher":
        """Loaded when a peer first has a newer document."""
        from pondpin.relay.published.document_fetch import DocumentFetcher

        gossip = self._gossip
        return DocumentFetcher(
            host=gossip.address.host,
            document_port=gossip.address.document_port,
            publication=gossip.publication,
            peers=gossip.piece_port,
            on_update=gossip.send_soon,
            log=gossip.log,
            clock=gossip.clock,
            rng=gossip.rng,
        )

    def close(self) -> None:
        """End fetches."""
        if "_fetcher" in self.__dict__:
            self._fetcher.close()

    def receive(self, digest: Digest, now: float) -> None:
        """Take the proofs of a digest, and have fetched what its sender has newer."""
        publication = self._gossip.publication
        publication.receive_epoch(digest.epoch, f"peer {digest.instance}")
        told = digest_version(digest, publication.in_force)
        if told is not None:
            self._receive_version(digest, told, now)
        # What was read in an epoch that is over proves nothing.
        if digest.epoch < publication.epoch and publication.list_at is not None:
            return
        asked = echo_sent_at(digest, self._gossip.boot)
        if asked is None:
            return
        if told is not None and digest.proof_age >= 0:
            age = digest.proof_age / MILLISECONDS
            publication.receive_proof(peer_proof(told, asked, age))
        if digest.list_age >= 0:
            self._receive_list_age(digest, asked - digest.list_age / MILLISECONDS, now)

    def _receive_version(self, digest: Digest, told: PublishedVersion, now: float) -> None:
        publication = self._gossip.publication
        if publication.receive_peer_version(told, now):
            self._gossip.log.write(
                ConfigurationBehind(
                    peer=digest.instance,
                    version=told.version,
                    epoch=told.epoch,
                    revision=told.revision,
                    in_force=publication.in_force.version,
                )
            )
        if publication.accepts(told):
            self._offer(digest, told, now)

    def _receive_list_age(self, digest: Digest, read_at: float, now: float) -> None:
        """The sender's list was read at read_at of this process's clock."""
        publication = self._gossip.publication
        if digest.list_tag == publication.list_tag:
            publication.confirm_list(read_at)
        elif publication.list_at is None or read_at > publication.list_at:
            self._offer(digest, ListOffer(digest.list_tag, digest.epoch, read_at), now)

    def _offer(self, digest: Digest, offer: PublishedVersion | ListOffer, now: float) -> None:
        is_far = (
            self._gossip.peer_table.is_large
            and digest.data_center != self._gossip.table.data_center
        )
        self._fetcher.receive_offer(digest.host, offer, is_far, now)
