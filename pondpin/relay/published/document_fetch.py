"""Brings documents from peers that have newer ones: piece by piece, from one peer at a time.

What came is kept when a peer is busy, falls silent or dies: another one that has the same document
goes on from there. A peer that is busy is asked again after a moment, or another one that has it by
then is.
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
from pondpin.relay.published.packing import (
    unpack,
)
from pondpin.relay.published.pieces import FetchPieceReply, FetchPieceRequest, PiecePort
from pondpin.relay.published.publication import Publication

# A piece that takes longer is asked of another peer; over a link of 10 Mbit/s that three
# transfers share it takes 40 ms.
PIECE_SECONDS = 1.0
# Neighbours hear the same news from another data centre: one of them fetches it first, and the
# others then have it from near.
FAR_FETCH_SECONDS = 0.3
# A busy peer is asked again after this to twice this: a transfer of a difference takes so long.
BUSY_RETRY_SECONDS = 0.05
MILLISECONDS = 1000.0


# What a peer has: a configuration in force, or a list.
Offer = PublishedVersion | ListOffer


@dataclass(frozen=True, slots=True)
class Holder:
    """A peer that has a newer document; not_before is when to ask it."""

    host: str
    offer: Offer
    is_far: bool
    not_before: float


@dataclass
class Partial:
    """What came of a packed document."""

    document: int
    size: int
    began_at: float
    data: bytearray = field(default_factory=bytearray)


@dataclass
class Transfer:
    """The fetching of one kind of document."""

    holders_by_host: dict[str, Holder] = field(default_factory=dict)
    partial: Partial | None = None
    task: asyncio.Task[None] | None = None
    # The next one is asked for whole: a difference did not fit.
    whole: bool = False


@dataclass
class DocumentFetcher:
    """The task that fetches; offer tells it who has something newer."""

    host: str
    document_port: int
    publication: Publication
    peers: PiecePort
    on_update: Callable[[], None]
    log: EventLog
    clock: Clock
    rng: random.Random

    def __post_init__(self) -> None:
        """Set up the transfers."""
        self._transfer_by_kind = {kind: Transfer() for kind in DocumentKind}

    def receive_offer(self, host: str, offer: Offer, is_far: bool, now: float) -> None:
        """A peer has something newer; is_far: it is worth waiting for a nearer one."""
        is_list = isinstance(offer, ListOffer)
        kind = DocumentKind.UPSTREAMS if is_list else DocumentKind.CONFIGURATION
        transfer = self._transfer_by_kind[kind]
        known = transfer.holders_by_host.get(host)
        if known is not None:
            transfer.holders_by_host[host] = replace(known, offer=offer)
        else:
            wait = self.rng.random() * FAR_FETCH_SECONDS if is_far else 0.0
            transfer.holders_by_host[host] = Holder(host, offer, is_far, now + wait)
        if transfer.task is None:
            work = self._run(kind, transfer)
            transfer.task = asyncio.get_running_loop().create_task(work)

    def close(self) -> None:
        """End all transfers."""
        for transfer in self._transfer_by_kind.values():
            if transfer.task is not None:
                transfer.task.cancel()

    async def _run(self, kind: DocumentKind, transfer: Transfer) -> None:
        """Fetch until nobody has anything newer."""
        try:
            while True:
                now = self.clock()
                self._forget_old(transfer)
                holder = choose_holder(list(transfer.holders_by_host.values()), now, self.rng)
                if holder is None:
                    return
                if holder.not_before > now:
                    await asyncio.sleep(holder.not_before - now)
                    continue
                await self._fetch_piece(kind, transfer, holder)
        finally:
            transfer.task = None

    def _forget_old(self, transfer: Transfer) -> None:
        """Drop peers that have nothing newer by now."""
        transfer.holders_by_host = {
            holder.host: holder
            for holder in transfer.holders_by_host.values()
            if self._is_newer(holder.offer)
        }
        if not transfer.holders_by_host:
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

    async def _fetch_piece(self, kind: DocumentKind, transfer: Transfer, holder: Holder) -> None:
        """Ask a peer for the next piece, and take the document once it is whole."""
        sent_at = self.clock()
        request = self._request(kind, transfer)
        address = f"{holder.host}:{self.document_port}"
        try:
            reply = await self.peers.fetch_piece(address, request, PIECE_SECONDS)
        except PeerUnreachableError as error:
            self._give_up(transfer, holder, str(error), sent_at)
            return
        if reply.busy:
            wait = BUSY_RETRY_SECONDS * (1.0 + self.rng.random())
            later = replace(holder, not_before=self.clock() + wait)
            transfer.holders_by_host[holder.host] = later
            return
        if not reply.packed_id:
            # The peer has restarted, or what it has is not newer.
            transfer.holders_by_host.pop(holder.host, None)
            return
        partial = self._add(transfer, reply, sent_at)
        if len(partial.data) < partial.size:
            return
        transfer.partial = None
        transfer.holders_by_host.pop(holder.host, None)
        self._take(kind, transfer, holder, reply, partial, sent_at)

    def _request(self, kind: DocumentKind, transfer: Transfer) -> FetchPieceRequest:
        partial, publication = transfer.partial, self.publication
        begun = partial.document if partial is not None else 0
        offset = len(partial.data) if partial is not None else 0
        if kind is DocumentKind.UPSTREAMS:
            have = 0 if transfer.whole else publication.list_tag
            return FetchPieceRequest(kind, have, begun, offset, self.host)
        in_force = publication.in_force
        return FetchPieceRequest(
            kind=kind,
            known=0 if transfer.whole else in_force.revision,
            packed_id=begun,
            offset=offset,
            host=self.host,
            version=in_force.version,
            epoch=in_force.epoch,
            content=0 if transfer.whole else in_force.content,
        )

    def _add(self, transfer: Transfer, reply: FetchPieceReply, sent_at: float) -> Partial:
        partial = transfer.partial
        if partial is None or partial.document != reply.packed_id:
            partial = Partial(reply.packed_id, reply.size, sent_at)
            transfer.partial = partial
        partial.data += reply.piece
        return partial

    def _take(
        self,
        kind: DocumentKind,
        transfer: Transfer,
        holder: Holder,
        reply: FetchPieceReply,
        partial: Partial,
        sent_at: float,
    ) -> None:
        """Take a document that is whole; its age counts from when its last piece was asked for."""
        now = self.clock()
        proved_at = sent_at - reply.age_ms / MILLISECONDS if reply.age_ms >= 0 else None
        try:
            if kind is DocumentKind.CONFIGURATION:
                self._take_configuration(bytes(partial.data), holder.offer, proved_at, now)
            elif proved_at is not None:
                document = unpack(bytes(partial.data), self.publication.recent_lists.get)
                self.publication.apply_list(decode_list(document), proved_at, now, reply.epoch)
        except ValueError as error:
            transfer.whole = True
            self._give_up(transfer, holder, str(error), partial.began_at)
            return
        transfer.whole = False
        after_ms = int((now - partial.began_at) * MILLISECONDS)
        self.log.write(
            Fetched(
                peer=holder.host,
                document=kind.name.lower(),
                revision=reply.version if kind is DocumentKind.CONFIGURATION else 0,
                epoch=self.publication.epoch,
                bytes=partial.size,
                after_ms=after_ms,
            )
        )
        self.on_update()

    def _take_configuration(
        self, data: bytes, offer: Offer, proved_at: float | None, now: float
    ) -> None:
        document = unpack(data, self.publication.recent_configurations.get)
        item = decode_configuration(document)
        found = self.publication.apply_configuration(item, proved_at, now, from_peer=True)
        if found is None and isinstance(offer, PublishedVersion):
            self.publication.reject(offer)

    def _give_up(self, transfer: Transfer, holder: Holder, reason: str, began_at: float) -> None:
        """Ask this peer no more until it tells again that it has something newer."""
        transfer.holders_by_host.pop(holder.host, None)
        after_ms = int((self.clock() - began_at) * MILLISECONDS)
        self.log.write(FetchFailed(peer=holder.host, reason=reason, after_ms=after_ms))


def choose_holder(holders: list[Holder], now: float, rng: random.Random) -> Holder | None:
    """Whom to ask next: a near one that may be asked now, then a far one, then who is due first."""
    due = [holder for holder in holders if holder.not_before <= now]
    if not due:
        return min(holders, key=lambda holder: holder.not_before, default=None)
    near = [holder for holder in due if not holder.is_far]
    return rng.choice(near or due)
