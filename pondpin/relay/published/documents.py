"""Published documents that instances serve to each other, and a history of recent ones."""

import enum
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
import xxhash

# Bases for deltas. Changes are seconds apart at the busiest times, and a peer is a few seconds
# behind.
MAX_RECENT_DOCUMENTS = 4


class PublishedItem(msgspec.Struct, frozen=True, array_like=True):
    """One published item as read; value is opaque here.

    epoch is the source's at the read; a revision is unique only within an epoch.
    """

    key: str
    revision: int
    value: bytes
    epoch: int = 0


class DocumentKind(enum.IntEnum):
    """Kinds of documents, numbered as on the wire."""

    CONFIGURATION = 1
    UPSTREAMS = 2


@dataclass(frozen=True, slots=True)
class Document:
    """The value of a configuration, or the encoded items of a list.

    id is the hash of a configuration's value or the tag of a list. key, revision and epoch belong
    to a configuration; a list has an empty key.
    """

    id: int
    value: bytes
    key: str = ""
    revision: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class ListOffer:
    """A peer's list; read_at is the earliest time of its read by this process's clock."""

    tag: int
    epoch: int
    read_at: float


_ITEM = msgspec.msgpack.Decoder(PublishedItem)
_ITEMS = msgspec.msgpack.Decoder(tuple[PublishedItem, ...])


def hash_content(value: bytes) -> int:
    """The hash of a value; never 0, which means none."""
    return xxhash.xxh64_intdigest(value) or 1


def encode_configuration(item: PublishedItem) -> Document:
    """Make the document of a configuration."""
    return Document(hash_content(item.value), item.value, item.key, item.revision, item.epoch)


def encode_for_earlier_release(document: Document) -> Document:
    """Encode a configuration's document for releases without epochs."""
    item = PublishedItem(document.key, document.revision, document.value, document.epoch)
    value = msgspec.msgpack.encode(item)
    return Document(document.revision, value, revision=document.revision)


def decode_configuration(document: Document) -> PublishedItem:
    """Decode a configuration, also from an earlier release; raises ValueError."""
    if not document.key:
        return _ITEM.decode(document.value)
    return PublishedItem(document.key, document.revision, document.value, document.epoch)


def encode_list(items: Sequence[PublishedItem], tag: int) -> Document:
    """Encode a list of upstreams."""
    return Document(tag, msgspec.msgpack.encode(tuple(items)))


def decode_list(document: Document) -> tuple[PublishedItem, ...]:
    """Decode a list of upstreams; raises ValueError."""
    return _ITEMS.decode(document.value)


class RecentDocuments:
    """The most recent documents of a kind."""

    def __init__(self) -> None:
        self._by_id: OrderedDict[int, Document] = OrderedDict()

    def add(self, document: Document) -> None:
        """Add a document and evict the oldest."""
        self._by_id[document.id] = document
        self._by_id.move_to_end(document.id)
        while len(self._by_id) > MAX_RECENT_DOCUMENTS:
            self._by_id.popitem(last=False)

    def get(self, document_id: int) -> Document | None:
        """Return a document by its id."""
        return self._by_id.get(document_id)
