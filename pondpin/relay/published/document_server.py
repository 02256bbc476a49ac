"""Serves published documents to peers in pieces, to a few peers at a time."""

from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.http_reply import IncomingRequest, Reply
from pondpin.relay.published.documents import (
    Document,
    DocumentKind,
    encode_for_earlier_release,
)
from pondpin.relay.published.freshness import PublishedVersion
from pondpin.relay.published.packing import (
    PIECE_BYTES,
    PackedDocument,
    PackedDocumentCache,
)
from pondpin.relay.published.pieces import (
    CONTENT_TYPE,
    HTTP_OK,
    FetchPieceReply,
    FetchPieceRequest,
    decode_request,
    encode_message,
)
from pondpin.relay.published.publication import Publication

# Concurrent transfers, which share a link. With few, each ends soon and its receiver serves others;
# with all at once none would end for long, and callers' streams would queue behind all the pieces.
MAX_TRANSFERS = 3
# A receiver that requests no further piece for this long has failed or uses another peer.
TRANSFER_IDLE_SECONDS = 0.4
MILLISECONDS = 1000.0
UNKNOWN_AGE = -1


class TransferSlots:
    """Limits the hosts that transfer concurrently; times are in seconds."""

    def __init__(self) -> None:
        self._requested_at_by_host: dict[str, float] = {}

    def admit(self, host: str, now: float) -> bool:
        """Whether a host may receive its next piece; if so, it holds a slot."""
        self._requested_at_by_host = {
            name: at
            for name, at in self._requested_at_by_host.items()
            if now - at < TRANSFER_IDLE_SECONDS
        }
        if (
            host not in self._requested_at_by_host
            and len(self._requested_at_by_host) >= MAX_TRANSFERS
        ):
            return False
        self._requested_at_by_host[host] = now
        return True

    def release(self, host: str) -> None:
        """Release the slot of a host that has received its last piece."""
        self._requested_at_by_host.pop(host, None)


class DocumentServer:
    """Answers requests of peers for pieces of documents."""

    def __init__(self, publication: Publication, clock: Clock) -> None:
        self._publication = publication
        self._clock = clock
        self._cache = PackedDocumentCache()
        self._slots = TransferSlots()

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Send the next piece of a document; an invalid request gets INVALID_FIELD."""
        try:
            request = decode_request(incoming.body)
        except ValueError as error:
            raise PondpinError(Code.INVALID_FIELD, str(error)) from None
        answer = self.answer(request, self._clock())
        reply.send(HTTP_OK, {"content-type": CONTENT_TYPE}, encode_message(answer))

    def answer(self, request: FetchPieceRequest, now: float) -> FetchPieceReply:
        """Return the next piece, or none if all slots are in use or there is no newer document."""
        document = self._find(request)
        if document is None:
            return FetchPieceReply(age_ms=UNKNOWN_AGE)
        is_list = request.kind == DocumentKind.UPSTREAMS
        version = document.document_id if is_list else document.revision
        offset = request.offset if request.packed_id == document.id else 0
        piece = document.piece(offset)
        is_small = len(document.data) <= PIECE_BYTES
        if not is_small and not self._slots.admit(request.host, now):
            return FetchPieceReply(version=version, busy=True, age_ms=UNKNOWN_AGE)
        if offset + len(piece) >= len(document.data):
            self._slots.release(request.host)
        return FetchPieceReply(
            version=version,
            packed_id=document.id,
            size=len(document.data),
            piece=piece,
            age_ms=self._age_ms(request.kind, document, now),
            epoch=self._publication.list_epoch,
        )

    def _find(self, request: FetchPieceRequest) -> PackedDocument | None:
        publication = self._publication
        if request.kind == DocumentKind.CONFIGURATION:
            # A transfer is completed even if a newer version is in force by now; otherwise a slow
            # receiver would start over with each of a series of changes.
            started = self._cache.get(request.packed_id) if request.packed_id else None
            if started is not None:
                return started
            return self._find_configuration(request)
        if request.kind == DocumentKind.UPSTREAMS and publication.list_tag != request.known:
            document = publication.recent_lists.get(publication.list_tag)
            return self._pack(document, publication.recent_lists.get(request.known))
        return None

    def _find_configuration(self, request: FetchPieceRequest) -> PackedDocument | None:
        publication = self._publication
        in_force = publication.in_force
        recent = publication.recent_configurations
        document = recent.get(in_force.content)
        if request.version is None:
            if document is None or self._is_known_to_earlier_release(request):
                return None
            return self._pack(encode_for_earlier_release(document), None)
        # Sent for equal content, too: the requester learns its epoch and revision.
        requester_version = PublishedVersion(request.version, request.epoch, request.known)
        if not in_force.is_newer_than(requester_version):
            return None
        return self._pack(document, recent.get(request.content))

    def _is_known_to_earlier_release(self, request: FetchPieceRequest) -> bool:
        """Whether revisions are comparable and the requester's is no lower."""
        in_force = self._publication.in_force
        return in_force.epoch == 0 and in_force.revision <= request.known

    def _pack(self, document: Document | None, base: Document | None) -> PackedDocument | None:
        return self._cache.get_or_pack(document, base) if document is not None else None

    def _age_ms(self, kind: int, document: PackedDocument, now: float) -> int:
        """The milliseconds since the document was proved to be the newest, rounded up."""
        publication = self._publication
        if kind == DocumentKind.UPSTREAMS:
            proved_at = publication.list_at
        else:
            proof = publication.proof
            in_force = publication.in_force
            is_in_force = document.document_id in (in_force.content, in_force.revision)
            proved_at = proof.sent_at if proof is not None and is_in_force else None
        if proved_at is None:
            return UNKNOWN_AGE
        return int((now - proved_at) * MILLISECONDS) + 1
