"""Publication state from digests."""

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
    """Applies proofs and epochs, and has newer documents fetched."""

    def __init__(self, gossip: "Gossip") -> None:
        self._gossip = gossip

    @cached_property
    def _fetcher(self) -> "DocumentFetcher":
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
        """Cancel fetches."""
        if "_fetcher" in self.__dict__:
            self._fetcher.close()

    def receive(self, digest: Digest, now: float) -> None:
        """Apply a digest, and have newer documents fetched."""
        publication = self._gossip.publication
        publication.receive_epoch(digest.epoch, f"peer {digest.instance}")
        self._receive_evacuations(digest, now)
        announced = digest_version(digest, publication.in_force)
        if announced is not None:
            self._receive_version(digest, announced, now)
        # Reads of an earlier epoch prove nothing.
        if digest.epoch < publication.epoch and publication.list_at is not None:
            return
        sent_at = echo_sent_at(digest, self._gossip.boot)
        if sent_at is None:
            return
        if announced is not None and digest.proof_age >= 0:
            age = digest.proof_age / MILLISECONDS
            publication.receive_proof(peer_proof(announced, sent_at, age))
        if digest.list_age >= 0:
            self._receive_list_age(digest, sent_at - digest.list_age / MILLISECONDS, now)

    def _receive_evacuations(self, digest: Digest, now: float) -> None:
        evacuations, extension = self._gossip.evacuations, digest.extension
        if evacuations is None or extension is None or extension.evacuations is None:
            return
        made_after = echo_sent_at(digest, self._gossip.boot)
        evacuations.receive_peer(extension.evacuations, digest.instance, made_after, now)

    def _receive_version(self, digest: Digest, announced: PublishedVersion, now: float) -> None:
        publication = self._gossip.publication
        if publication.receive_peer_version(announced, now):
            self._gossip.log.write(
                ConfigurationBehind(
                    peer=digest.instance,
                    version=announced.version,
                    epoch=announced.epoch,
                    revision=announced.revision,
                    in_force=publication.in_force.version,
                )
            )
        if publication.accepts(announced):
            self._offer(digest, announced, now)

    def _receive_list_age(self, digest: Digest, read_at: float, now: float) -> None:
        publication = self._gossip.publication
        if digest.list_tag == publication.list_tag:
            publication.confirm_list(read_at)
        elif publication.list_at is None or read_at > publication.list_at:
            self._offer(digest, ListOffer(digest.list_tag, digest.epoch, read_at), now)

    def _offer(self, digest: Digest, offer: PublishedVersion | ListOffer, now: float) -> None:
        is_remote = (
            self._gossip.peer_table.is_large
            and digest.data_center != self._gossip.table.data_center
        )
        self._fetcher.receive_offer(digest.host, offer, is_remote, now)
