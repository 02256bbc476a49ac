"""How documents are packed and cut into pieces for a transfer.

Like documents are packed to like bytes by every instance, so that a transfer can go on at another
one. What is packed is kept for those who ask next.
"""

import zlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import xxhash

from pondpin.relay.published.delta import DeltaStep, apply_delta, encode_delta
from pondpin.relay.published.documents import Document

# A piece takes 13 ms of a link of 10 Mbit/s: the streams of callers wait for no longer.
PIECE_BYTES = 16_384
# A configuration of a megabyte shrinks to a tenth in 2 ms; higher levels gain a tenth of that.
PACK_LEVEL = 1
# A document that unpacks to more is refused: a published value has a megabyte at most.
MOST_DOCUMENT_BYTES = 8 << 20
# Packed documents that are kept: the newest from a few bases, and those that are under way.
MAX_CACHED_DOCUMENTS = 8


class Packed(msgspec.Struct, frozen=True, array_like=True):
    """A document as steps from a base, or whole with base 0.

    check is the hash of the value, so that a wrong base is noticed. key, revision and epoch are
    those of a configuration; earlier releases leave them out and encode them in the value.
    """

    document: int
    base: int
    check: int
    steps: tuple[DeltaStep, ...]
    key: str = ""
    revision: int = 0
    epoch: int = 0


_PACKED = msgspec.msgpack.Decoder(Packed)


@dataclass(frozen=True, slots=True)
class PackedDocument:
    """A packed document; id is the hash of its bytes, document the id of what it holds, revision
    that of a configuration.
    """

    id: int
    document_id: int
    data: bytes
    revision: int = 0

    def piece(self, offset: int) -> bytes:
        """The bytes that follow an offset, one piece at most."""
        return self.data[offset : offset + PIECE_BYTES]


def pack(document: Document, base: Document | None) -> PackedDocument:
    """Pack a document for one who has the base, None for one who has nothing."""
    packed = Packed(
        document=document.id,
        base=base.id if base is not None else 0,
        check=xxhash.xxh64_intdigest(document.value),
        steps=encode_delta(base.value if base is not None else b"", document.value),
        key=document.key,
        revision=document.revision,
        epoch=document.epoch,
    )
    data = zlib.compress(msgspec.msgpack.encode(packed), PACK_LEVEL)
    return PackedDocument(xxhash.xxh64_intdigest(data), document.id, data, document.revision)


def unpack(data: bytes, find_base: Callable[[int], Document | None]) -> Document:
    """A packed document; find_base gives a base by its id.

    Raises ValueError when the document is spoiled, or its base isn't there.
    """
    packed = _PACKED.decode(_unpack(data))
    base = find_base(packed.base) if packed.base else None
    if packed.base and base is None:
        raise ValueError(f"a difference from {packed.base:x}, which isn't kept")
    value = apply_delta(base.value if base is not None else b"", packed.steps)
    if xxhash.xxh64_intdigest(value) != packed.check:
        raise ValueError("a document that is not the one that was sent")
    return Document(packed.document, value, packed.key, packed.revision, packed.epoch)


def _unpack(data: bytes) -> bytes:
    unpacking = zlib.decompressobj()
    try:
        document = unpacking.decompress(data, MOST_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a document: {error}") from None
    if not unpacking.eof:
        raise ValueError("a document that is cut or too large")
    return document


class PackedDocumentCache:
    """Keeps what was packed last, by what it was packed from and by its id."""

    def __init__(self) -> None:
        self._by_source: OrderedDict[tuple[object, ...], PackedDocument] = OrderedDict()

    def get_or_pack(self, document: Document, base: Document | None) -> PackedDocument:
        """A document for one who has the base."""
        place = document.key, document.epoch, document.revision
        source = document.id, place, base.id if base is not None else 0
        found = self._by_source.get(source)
        if found is not None:
            return found
        made = pack(document, base)
        self._by_source[source] = made
        while len(self._by_source) > MAX_CACHED_DOCUMENTS:
            self._by_source.popitem(last=False)
        return made

    def get(self, document: int) -> PackedDocument | None:
        """A document that is still kept."""
        found = (kept for kept in self._by_source.values() if kept.id == document)
        return next(found, None)
