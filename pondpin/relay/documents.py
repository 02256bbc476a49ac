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

from pondpin.relay.differences import Step, difference, patch


class PublishedItem(msgspec.Struct, frozen=True, array_like=True):
    """One published item as it was read; value is opaque here."""

    key: str
    revision: int
    value: bytes


class DocumentKind(enum.IntEnum):
    """What is passed on; the numbers are those of the wire."""

    CONFIGURATION = 1
    UPSTREAMS = 2


class ConfigurationDocument(msgspec.Struct, frozen=True, array_like=True):
    """A configuration as steps from the one of base_revision, or whole with base_revision 0.

    check is the hash of the value, so that a wrong base is noticed.
    """

    key: str
    revision: int
    base_revision: int
    check: int
    steps: tuple[Step, ...]


_CONFIGURATION = msgspec.msgpack.Decoder(ConfigurationDocument)
_UPSTREAMS = msgspec.msgpack.Decoder(tuple[PublishedItem, ...])

# A piece takes 13 ms of a link of 10 Mbit/s: the streams of callers wait for no longer.
PIECE_BYTES = 16_384
# A configuration of a megabyte shrinks to a tenth in 2 ms; higher levels gain a tenth of that.
PACK_LEVEL = 1
# A document that unpacks to more is refused: a published value has a megabyte at most.
MOST_DOCUMENT_BYTES = 8 << 20
# Packed documents that are kept: the newest from a few bases, and those that are under way.
KEPT_DOCUMENTS = 6


@dataclass(frozen=True, slots=True)
class PackedDocument:
    """A packed document; id is the hash of its bytes, version its revision or tag."""

    id: int
    version: int
    data: bytes

    def piece(self, offset: int) -> bytes:
        """The bytes that follow an offset, one piece at most."""
        return self.data[offset : offset + PIECE_BYTES]


def pack_configuration(item: PublishedItem, base: PublishedItem | None) -> PackedDocument:
    """Pack a configuration for one who has the base, None for one who has nothing."""
    document = ConfigurationDocument(
        key=item.key,
        revision=item.revision,
        base_revision=base.revision if base is not None else 0,
        check=xxhash.xxh64_intdigest(item.value),
        steps=difference(base.value if base is not None else b"", item.value),
    )
    return _pack(document, item.revision)


def unpack_configuration(
    data: bytes, find_base: Callable[[int], PublishedItem | None]
) -> PublishedItem:
    """The configuration of a packed document; find_base gives the configuration of a revision.

    Raises ValueError when the document is spoiled, or its base isn't there.
    """
    document = _CONFIGURATION.decode(_unpack(data))
    base = find_base(document.base_revision) if document.base_revision else None
    if document.base_revision and base is None:
        raise ValueError(f"a difference from revision {document.base_revision}")
    value = patch(base.value if base is not None else b"", document.steps)
    if xxhash.xxh64_intdigest(value) != document.check:
        raise ValueError("a configuration that is not the one that was sent")
    return PublishedItem(document.key, document.revision, value)


def pack_upstreams(items: Sequence[PublishedItem], tag: int) -> PackedDocument:
    """Pack a list of upstreams."""
    return _pack(tuple(items), tag)


def unpack_upstreams(data: bytes) -> tuple[PublishedItem, ...]:
    """The list of a packed document; raises ValueError."""
    return _UPSTREAMS.decode(_unpack(data))


def _pack(document: object, version: int) -> PackedDocument:
    data = zlib.compress(msgspec.msgpack.encode(document), PACK_LEVEL)
    return PackedDocument(xxhash.xxh64_intdigest(data), version, data)


def _unpack(data: bytes) -> bytes:
    unpacking = zlib.decompressobj()
    try:
        document = unpacking.decompress(data, MOST_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a document: {error}") from None
    if not unpacking.eof:
        raise ValueError("a document that is cut or too large")
    return document


class DocumentShelf:
    """Keeps what was packed last, by what it was packed from and by its id."""

    def __init__(self) -> None:
        self._by_source: OrderedDict[tuple[DocumentKind, int, int], PackedDocument] = OrderedDict()

    def configuration(self, item: PublishedItem, base: PublishedItem | None) -> PackedDocument:
        """A configuration for one who has the base."""
        base_revision = base.revision if base is not None else 0
        source = (DocumentKind.CONFIGURATION, item.revision, base_revision)
        found = self._by_source.get(source)
        return found or self._keep(source, pack_configuration(item, base))

    def upstreams(self, items: Sequence[PublishedItem], tag: int) -> PackedDocument:
        """A list of upstreams."""
        source = (DocumentKind.UPSTREAMS, tag, 0)
        found = self._by_source.get(source)
        return found or self._keep(source, pack_upstreams(items, tag))

    def by_id(self, document: int) -> PackedDocument | None:
        """A document that is still kept."""
        found = (kept for kept in self._by_source.values() if kept.id == document)
        return next(found, None)

    def _keep(
        self, source: tuple[DocumentKind, int, int], document: PackedDocument
    ) -> PackedDocument:
        self._by_source[source] = document
        while len(self._by_source) > KEPT_DOCUMENTS:
            self._by_source.popitem(last=False)
        return document
