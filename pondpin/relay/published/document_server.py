"""Serves the published documents to peers, piece by piece and to a few at a time."""

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

# So many transfers share a link: each ends soon and its receiver serves others. With all at once
# none of them would end for long, and callers' streams would wait behind all their pieces.
MAX_TRANSFERS = 3
# A receiver that asks for no further piece for so long has given up or gone elsewhere.
TRANSFER_IDLE_SECONDS = 0.4
MILLISECONDS = 1000.0
UNKNOWN_AGE = -1


class TransferSlots:
    """Lets a few hosts transfer at a time; times in seconds."""

    def __init__(self) -> None:
        self._asked_at_by_host: dict[str, float] = {}

    def admit(self, host: str, now: float) -> bool:
        """Whether a host may have its next piece."""
        self._asked_at_by_host = {
            name: at
            for name, at in self._asked_at_by_host.items()
            if now - at < TRANSFER_IDLE_SECONDS
        }
        if host not in self._asked_at_by_host and len(self._asked_at_by_host) >= MAX_TRANSFERS:
            return False
        self._asked_at_by_host[host] = now
        return True

    def end(self, host: str) -> None:
        """A host has its last piece."""
        self._asked_at_by_host.pop(host, None)


class DocumentServer:
    """Answers peers that ask for pieces of documents."""

    def __init__(self, publication: Publication, clock: Clock) -> None:
        self._publication = publication
        self._clock = clock
        self._shelf = PackedDocumentCache()
        self._slots = TransferSlots()

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Send the next piece of a document; a body that is no request is refused."""
        try:
            request = decode_request(incoming.body)
        except ValueError as error:
            raise PondpinError(Code.INVALID_FIELD, str(error)) from None
        answer = self.answer(request, self._clock())
        reply.send(HTTP_OK, {"content-type": CONTENT_TYPE}, encode_message(answer))

    def answer(self, request: FetchPieceRequest, now: float) -> FetchPieceReply:
        """The next piece; nothing of it when others are being served or there is no document."""
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
            self._slots.end(request.host)
        return FetchPieceReply(
            version=version,
            packed_id=document.id,
            size=len(document.data),
            piece=piece,
            age_ms=self._age_ms(request.kind, document, now),
            epoch=self._publication.list_epoch,
        )

    def _find(self, request: FetchPieceRequest) -> PackedDocument | None:
        """The document that a request asks for; None when the asker has it."""
        publication = self._publication
        if request.kind == DocumentKind.CONFIGURATION:
            # A transfer that has begun ends, though a newer one is in force by now: in a series of
            # changes a slow receiver would begin again and again.
            begun = self._shelf.get(request.packed_id) if request.packed_id else None
            if begun is not None:
                return begun
            return self._find_configuration(request)
        if request.kind == DocumentKind.UPSTREAMS and publication.list_tag != request.known:
            document = publication.recent_lists.get(publication.list_tag)
            return self._pack(document, publication.recent_lists.get(request.known))
        return None

    def _find_configuration(self, request: FetchPieceRequest) -> PackedDocument | None:
        publication = self._publication
        in_force = publication.in_force
        kept = publication.recent_configurations
        document = kept.get(in_force.content)
        if request.version is None:
            if document is None or self._is_known_to_earlier_release(request):
                return None
            return self._pack(encode_for_earlier_release(document), None)
        # Also for like content: the asker learns the epoch and revision of it.
        theirs = PublishedVersion(request.version, request.epoch, request.known)
        if not in_force.is_newer_than(theirs):
            return None
        return self._pack(document, kept.get(request.content))

    def _is_known_to_earlier_release(self, request: FetchPieceRequest) -> bool:
        """Whether revisions can be compared, and the asker's is no lower."""
        in_force = self._publication.in_force
        return in_force.epoch == 0 and in_force.revision <= request.known

    def _pack(self, document: Document | None, base: Document | None) -> PackedDocument | None:
        return self._shelf.get_or_pack(document, base) if document is not None else None

    def _age_ms(self, kind: int, document: PackedDocument, now: float) -> int:
        """How long ago the document was proved to be the newest, rounded up."""
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
