"""The documents that instances pass on: how they are packed, cut into pieces, and kept.

Like documents are packed to like bytes by every instance, so that a transfer can go on at another
one. What is packed is kept for those who ask next.
"""

import enum
import zlib
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from pondpin.relay.published.differences import Step, difference, patch


class PublishedItem(msgspec.Struct, frozen=True, array_like=True):
    """One published item as it was read; value is opaque here."""

    key: str
    revision: int
    value: bytes


class DocumentKind(enum.IntEnum):
    """What is passed on; the numbers are those of the wire."""

    CONFIGURATION = 1
    UPSTREAMS = 2


@dataclass(frozen=True, slots=True)
class Document:
    """What is passed on: a configuration's item or the items of a list, encoded.

    version is the configuration's revision or the list's tag.
    """

    version: int
    value: bytes


class Packed(msgspec.Struct, frozen=True, array_like=True):
    """A document as steps from the one of base_version, or whole with base_version 0.

    check is the hash of the value, so that a wrong base is noticed.
    """

    version: int
    base_version: int
    check: int
    steps: tuple[Step, ...]


_PACKED = msgspec.msgpack.Decoder(Packed)
_ITEM = msgspec.msgpack.Decoder(PublishedItem)
_ITEMS = msgspec.msgpack.Decoder(tuple[PublishedItem, ...])

# A piece takes 13 ms of a link of 10 Mbit/s: the streams of callers wait for no longer.
PIECE_BYTES = 16_384
# A configuration of a megabyte shrinks to a tenth in 2 ms; higher levels gain a tenth of that.
PACK_LEVEL = 1
# A document that unpacks to more is refused: a published value has a megabyte at most.
MOST_DOCUMENT_BYTES = 8 << 20
# Packed documents that are kept: the newest from a few bases, and those that are under way.
KEPT_PACKED = 8
# Versions that differences are made from: those that were in force last. Changes come seconds
# apart at the most busy times, and a peer is a few seconds behind.
KEPT_VERSIONS = 4


@dataclass(frozen=True, slots=True)
class PackedDocument:
    """A packed document; id is the hash of its bytes, version its revision or tag."""

    id: int
    version: int
    data: bytes

    def piece(self, offset: int) -> bytes:
        """The bytes that follow an offset, one piece at most."""
        return self.data[offset : offset + PIECE_BYTES]


def encode_configuration(item: PublishedItem) -> Document:
    """The document of a configuration."""
    return Document(item.revision, msgspec.msgpack.encode(item))


def decode_configuration(document: Document) -> PublishedItem:
    """The configuration of a document; raises ValueError."""
    return _ITEM.decode(document.value)


def encode_list(items: Sequence[PublishedItem], tag: int) -> Document:
    """The document of a list of upstreams."""
    return Document(tag, msgspec.msgpack.encode(tuple(items)))


def decode_list(document: Document) -> tuple[PublishedItem, ...]:
    """The list of a document; raises ValueError."""
    return _ITEMS.decode(document.value)


def pack(document: Document, base: Document | None) -> PackedDocument:
    """Pack a document for one who has the base, None for one who has nothing."""
    packed = Packed(
        version=document.version,
        base_version=base.version if base is not None else 0,
        check=xxhash.xxh64_intdigest(document.value),
        steps=difference(base.value if base is not None else b"", document.value),
    )
    data = zlib.compress(msgspec.msgpack.encode(packed), PACK_LEVEL)
    return PackedDocument(xxhash.xxh64_intdigest(data), document.version, data)


def unpack(data: bytes, find_base: Callable[[int], Document | None]) -> Document:
    """A packed document; find_base gives the one of a version.

    Raises ValueError when the document is spoiled, or its base isn't there.
    """
    packed = _PACKED.decode(_unpack(data))
    base = find_base(packed.base_version) if packed.base_version else None
    if packed.base_version and base is None:
        raise ValueError(f"a difference from version {packed.base_version}")
    value = patch(base.value if base is not None else b"", packed.steps)
    if xxhash.xxh64_intdigest(value) != packed.check:
        raise ValueError("a document that is not the one that was sent")
    return Document(packed.version, value)


def _unpack(data: bytes) -> bytes:
    unpacking = zlib.decompressobj()
    try:
        document = unpacking.decompress(data, MOST_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a document: {error}") from None
    if not unpacking.eof:
        raise ValueError("a document that is cut or too large")
    return document


class KeptVersions:
    """The last documents of a kind, by their version."""

    def __init__(self) -> None:
        self._by_version: OrderedDict[int, Document] = OrderedDict()

    def keep(self, document: Document) -> None:
        """Keep a document, and forget the oldest."""
        self._by_version[document.version] = document
        while len(self._by_version) > KEPT_VERSIONS:
            self._by_version.popitem(last=False)

    def find(self, version: int) -> Document | None:
        """The document of a version, None when it isn't kept."""
        return self._by_version.get(version)


class DocumentShelf:
    """Keeps what was packed last, by what it was packed from and by its id."""

    def __init__(self) -> None:
        self._by_source: OrderedDict[tuple[int, int], PackedDocument] = OrderedDict()

    def packed(self, document: Document, base: Document | None) -> PackedDocument:
        """A document for one who has the base."""
        source = (document.version, base.version if base is not None else 0)
        found = self._by_source.get(source)
        if found is not None:
            return found
        made = pack(document, base)
        self._by_source[source] = made
        while len(self._by_source) > KEPT_PACKED:
            self._by_source.popitem(last=False)
        return made

    def by_id(self, document: int) -> PackedDocument | None:
        """A document that is still kept."""
        found = (kept for kept in self._by_source.values() if kept.id == document)
        return next(found, None)
