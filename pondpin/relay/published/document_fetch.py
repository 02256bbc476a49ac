"""Fetches newer documents from peers, piece by piece and from one peer at a time.

Received pieces are kept when a peer is busy, times out or fails, and the transfer is resumed from
another peer that has the same document. A busy peer is asked again after a short delay, unless
another peer has the document by then.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from pondpin.clocks import Clock
from pondpin.errors import PeerUnreachableError
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import Fetched, FetchFailed
from pondpin.relay.published.documents import (
    DocumentKind,
    ListOffer,
    decode_configuration,
    decode_list,
)
from pondpin.relay.published.freshness import PublishedVersion
from pondpin.relay.published.packing import unpack
from pondpin.relay.published.pieces import FetchPieceReply, FetchPieceRequest, PiecePort
from pondpin.relay.published.publication import Publication

# A slower piece is requested from another peer; over a 10 Mbit/s link shared by three transfers a
# piece takes 40 ms.
PIECE_TIMEOUT_SECONDS = 1.0
# The random delay before a document is fetched from another data centre, at most. Neighbours
# receive the same offer, so one of them fetches first and serves the others locally.
REMOTE_DELAY_SECONDS = 0.3
# A busy peer is asked again after 1 to 2 times this, about the time that a delta's transfer takes.
BUSY_RETRY_SECONDS = 0.05
MILLISECONDS = 1000.0


# A peer's configuration in force, or its list.
Offer = PublishedVersion | ListOffer


@dataclass(frozen=True, slots=True)
class PeerOffer:
    """A peer that has a newer document; not_before is the earliest time to ask it."""

    host: str
    offer: Offer
    is_remote: bool
    not_before: float


@dataclass
class PartialDocument:
    """The received part of a packed document."""

    packed_id: int
    size: int
    started_at: float
    data: bytearray = field(default_factory=bytearray)


@dataclass
class Transfer:
    """The transfer of one kind of document."""

    peer_by_host: dict[str, PeerOffer] = field(default_factory=dict)
    partial: PartialDocument | None = None
    task: asyncio.Task[None] | None = None
    # The next document is requested whole, since a delta could not be applied.
    needs_whole: bool = False


@dataclass
class DocumentFetcher:
    """Fetches documents that peers offer, in one task per kind."""

    host: str
    document_port: int
    publication: Publication
    peers: PiecePort
    on_update: Callable[[], None]
    log: EventLog
    clock: Clock
    rng: random.Random

    def __post_init__(self) -> None:
        self._transfer_by_kind = {kind: Transfer() for kind in DocumentKind}

    def receive_offer(self, host: str, offer: Offer, is_remote: bool, now: float) -> None:
        """Fetch a newer document from a peer.

        is_remote: the peer is in another data centre, and a local one may have the document soon.
        """
        is_list = isinstance(offer, ListOffer)
        kind = DocumentKind.UPSTREAMS if is_list else DocumentKind.CONFIGURATION
        transfer = self._transfer_by_kind[kind]
        known = transfer.peer_by_host.get(host)
        if known is not None:
            transfer.peer_by_host[host] = replace(known, offer=offer)
        else:
            wait = self.rng.random() * REMOTE_DELAY_SECONDS if is_remote else 0.0
            transfer.peer_by_host[host] = PeerOffer(host, offer, is_remote, now + wait)
        if transfer.task is None:
            run = self._run(kind, transfer)
            transfer.task = asyncio.get_running_loop().create_task(run)

    def close(self) -> None:
        """Cancel all transfers."""
        for transfer in self._transfer_by_kind.values():
            if transfer.task is not None:
                transfer.task.cancel()

    async def _run(self, kind: DocumentKind, transfer: Transfer) -> None:
        try:
            while True:
                now = self.clock()
                self._drop_outdated(transfer)
                peer = choose_peer(list(transfer.peer_by_host.values()), now, self.rng)
                if peer is None:
                    return
                if peer.not_before > now:
                    await asyncio.sleep(peer.not_before - now)
                    continue
                await self._fetch_piece(kind, transfer, peer)
        finally:
            transfer.task = None

    def _drop_outdated(self, transfer: Transfer) -> None:
        transfer.peer_by_host = {
            peer.host: peer for peer in transfer.peer_by_host.values() if self._is_newer(peer.offer)
        }
        if not transfer.peer_by_host:
            transfer.partial = None

    def _is_newer(self, offer: Offer) -> bool:
        publication = self.publication
        if isinstance(offer, PublishedVersion):
            return publication.accepts(offer)
        if publication.list_at is None:
            return True
        if offer.epoch < publication.epoch or offer.tag == publication.list_tag:
            return False
        return (offer.epoch, offer.read_at) > (publication.list_epoch, publication.list_at)

    async def _fetch_piece(self, kind: DocumentKind, transfer: Transfer, peer: PeerOffer) -> None:
        """Fetch the next piece from a peer; apply the document once it is complete."""
        sent_at = self.clock()
        request = self._build_request(kind, transfer)
        address = f"{peer.host}:{self.document_port}"
        try:
            reply = await self.peers.fetch_piece(address, request, PIECE_TIMEOUT_SECONDS)
        except PeerUnreachableError as error:
            self._record_failure(transfer, peer, str(error), sent_at)
            return
        if reply.busy:
            wait = BUSY_RETRY_SECONDS * (1.0 + self.rng.random())
            delayed = replace(peer, not_before=self.clock() + wait)
            transfer.peer_by_host[peer.host] = delayed
            return
        if not reply.packed_id:
            # The peer has restarted, or its document isn't newer.
            transfer.peer_by_host.pop(peer.host, None)
            return
        partial = self._append_piece(transfer, reply, sent_at)
        if len(partial.data) < partial.size:
            return
        transfer.partial = None
        transfer.peer_by_host.pop(peer.host, None)
        self._apply(kind, transfer, peer, reply, partial, sent_at)

    def _build_request(self, kind: DocumentKind, transfer: Transfer) -> FetchPieceRequest:
        partial, publication = transfer.partial, self.publication
        packed_id = partial.packed_id if partial is not None else 0
        offset = len(partial.data) if partial is not None else 0
        if kind is DocumentKind.UPSTREAMS:
            known = 0 if transfer.needs_whole else publication.list_tag
            return FetchPieceRequest(kind, known, packed_id, offset, self.host)
        in_force = publication.in_force
        return FetchPieceRequest(
            kind=kind,
            known=0 if transfer.needs_whole else in_force.revision,
            packed_id=packed_id,
            offset=offset,
            host=self.host,
            version=in_force.version,
            epoch=in_force.epoch,
            content=0 if transfer.needs_whole else in_force.content,
        )

    def _append_piece(
        self, transfer: Transfer, reply: FetchPieceReply, sent_at: float
    ) -> PartialDocument:
        partial = transfer.partial
        if partial is None or partial.packed_id != reply.packed_id:
            partial = PartialDocument(reply.packed_id, reply.size, sent_at)
            transfer.partial = partial
        partial.data += reply.piece
        return partial

    def _apply(
        self,
        kind: DocumentKind,
        transfer: Transfer,
        peer: PeerOffer,
        reply: FetchPieceReply,
        partial: PartialDocument,
        sent_at: float,
    ) -> None:
        """Apply a complete document; its age counts from the request for its last piece."""
        now = self.clock()
        proved_at = sent_at - reply.age_ms / MILLISECONDS if reply.age_ms >= 0 else None
        try:
            if kind is DocumentKind.CONFIGURATION:
                self._apply_configuration(bytes(partial.data), peer.offer, proved_at, now)
            elif proved_at is not None:
                document = unpack(bytes(partial.data), self.publication.recent_lists.get)
                self.publication.apply_list(decode_list(document), proved_at, now, reply.epoch)
        except ValueError as error:
            transfer.needs_whole = True
            self._record_failure(transfer, peer, str(error), partial.started_at)
            return
        transfer.needs_whole = False
        after_ms = int((now - partial.started_at) * MILLISECONDS)
        self.log.write(
            Fetched(
                peer=peer.host,
                document=kind.name.lower(),
                revision=reply.version if kind is DocumentKind.CONFIGURATION else 0,
                epoch=self.publication.epoch,
                bytes=partial.size,
                after_ms=after_ms,
            )
        )
        self.on_update()

    def _apply_configuration(
        self, data: bytes, offer: Offer, proved_at: float | None, now: float
    ) -> None:
        document = unpack(data, self.publication.recent_configurations.get)
        item = decode_configuration(document)
        version = self.publication.apply_configuration(item, proved_at, now, from_peer=True)
        if version is None and isinstance(offer, PublishedVersion):
            self.publication.reject(offer)

    def _record_failure(
        self, transfer: Transfer, peer: PeerOffer, reason: str, started_at: float
    ) -> None:
        transfer.peer_by_host.pop(peer.host, None)
        after_ms = int((self.clock() - started_at) * MILLISECONDS)
        self.log.write(FetchFailed(peer=peer.host, reason=reason, after_ms=after_ms))


def choose_peer(peers: list[PeerOffer], now: float, rng: random.Random) -> PeerOffer | None:
    """Choose a due local peer, else a due remote one, else the peer that is due first."""
    due = [peer for peer in peers if peer.not_before <= now]
    if not due:
        return min(peers, key=lambda peer: peer.not_before, default=None)
    local = [peer for peer in due if not peer.is_remote]
    return rng.choice(local or due)
