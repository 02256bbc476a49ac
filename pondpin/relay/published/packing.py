"""Packs documents as compressed deltas for transfer in pieces.

Every instance packs equal documents to equal bytes, so that a transfer can be resumed from another
instance. Packed documents are cached for later requests.
"""

import zlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import xxhash

from pondpin.relay.published.delta import DeltaStep, apply_delta, encode_delta
from pondpin.relay.published.documents import Document

# A piece takes 13 ms on a 10 Mbit/s link, which bounds the delay of callers' streams.
PIECE_BYTES = 16_384
# Compresses a configuration of 1 MB to a tenth in 2 ms; higher levels gain a tenth of that.
COMPRESSION_LEVEL = 1
# Larger unpacked documents are rejected; a published value has 1 MB at most.
MAX_DOCUMENT_BYTES = 8 << 20
# Room for the newest documents as deltas from a few bases, and for those in transfer.
MAX_CACHED_DOCUMENTS = 8


class DeltaMessage(msgspec.Struct, frozen=True, array_like=True):
    """A document as a delta from a base, or whole with base_id 0.

    checksum is the hash of the value, which detects a wrong base. key, revision and epoch are
    those of a configuration; earlier releases omit them and encode them in the value.
    """

    document_id: int
    base_id: int
    checksum: int
    steps: tuple[DeltaStep, ...]
    key: str = ""
    revision: int = 0
    epoch: int = 0


_DELTA_MESSAGE = msgspec.msgpack.Decoder(DeltaMessage)


@dataclass(frozen=True, slots=True)
class PackedDocument:
    """A packed document.

    id is the hash of data, document_id the id of the document in it, revision that of a
    configuration.
    """

    id: int
    document_id: int
    data: bytes
    revision: int = 0

    def piece(self, offset: int) -> bytes:
        """Return the piece at an offset."""
        return self.data[offset : offset + PIECE_BYTES]


def pack(document: Document, base: Document | None) -> PackedDocument:
    """Pack a document as a delta from a base, or whole without one."""
    message = DeltaMessage(
        document_id=document.id,
        base_id=base.id if base is not None else 0,
        checksum=xxhash.xxh64_intdigest(document.value),
        steps=encode_delta(base.value if base is not None else b"", document.value),
        key=document.key,
        revision=document.revision,
        epoch=document.epoch,
    )
    data = zlib.compress(msgspec.msgpack.encode(message), COMPRESSION_LEVEL)
    return PackedDocument(xxhash.xxh64_intdigest(data), document.id, data, document.revision)


def unpack(data: bytes, find_base: Callable[[int], Document | None]) -> Document:
    """Unpack a document; find_base returns a base by its id.

    Raises ValueError if the data is corrupt or the base is missing.
    """
    message = _DELTA_MESSAGE.decode(_decompress(data))
    base = find_base(message.base_id) if message.base_id else None
    if message.base_id and base is None:
        raise ValueError(f"base {message.base_id:x} of the delta is not known")
    value = apply_delta(base.value if base is not None else b"", message.steps)
    if xxhash.xxh64_intdigest(value) != message.checksum:
        raise ValueError("checksum mismatch of the unpacked document")
    return Document(message.document_id, value, message.key, message.revision, message.epoch)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        message = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"packed document can't be decompressed: {error}") from None
    if not decompressor.eof:
        raise ValueError(f"packed document is truncated or exceeds {MAX_DOCUMENT_BYTES} bytes")
    return message


class PackedDocumentCache:
    """Caches the last packed documents by document and base; also finds them by id."""

    def __init__(self) -> None:
        self._by_key: OrderedDict[tuple[object, ...], PackedDocument] = OrderedDict()

    def get_or_pack(self, document: Document, base: Document | None) -> PackedDocument:
        """Return a document packed as a delta from a base."""
        position = document.key, document.epoch, document.revision
        cache_key = document.id, position, base.id if base is not None else 0
        cached = self._by_key.get(cache_key)
        if cached is not None:
            return cached
        packed = pack(document, base)
        self._by_key[cache_key] = packed
        while len(self._by_key) > MAX_CACHED_DOCUMENTS:
            self._by_key.popitem(last=False)
        return packed

    def get(self, packed_id: int) -> PackedDocument | None:
        """Return a cached document by its id."""
        matches = (packed for packed in self._by_key.values() if packed.id == packed_id)
        return next(matches, None)
