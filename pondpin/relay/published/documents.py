"""The published documents that instances pass on, and the versions that are kept of them."""

import enum
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec
import xxhash

# Versions that differences are made from: those that were in force last. Changes come seconds
# apart at the most busy times, and a peer is a few seconds behind.
MAX_RECENT_DOCUMENTS = 4


class PublishedItem(msgspec.Struct, frozen=True, array_like=True):
    """One published item as it was read; value is opaque here.

    epoch: of the source when it was read. Only together with it does a revision name a value.
    """

    key: str
    revision: int
    value: bytes
    epoch: int = 0


class DocumentKind(enum.IntEnum):
    """What is passed on; the numbers are those of the wire."""

    CONFIGURATION = 1
    UPSTREAMS = 2


@dataclass(frozen=True, slots=True)
class Document:
    """What is passed on: a configuration's value, or the items of a list, encoded.

    id names the value: its hash for a configuration, the tag for a list. key, revision and epoch
    are those of a configuration; a list has an empty key.
    """

    id: int
    value: bytes
    key: str = ""
    revision: int = 0
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class ListOffer:
    """A list that a peer has; read_at is when it was read, by this process's clock, at the
    earliest.
    """

    tag: int
    epoch: int
    read_at: float


_ITEM = msgspec.msgpack.Decoder(PublishedItem)
_ITEMS = msgspec.msgpack.Decoder(tuple[PublishedItem, ...])


def hash_content(value: bytes) -> int:
    """A number that names a value; never 0, which stands for none."""
    return xxhash.xxh64_intdigest(value) or 1


def encode_configuration(item: PublishedItem) -> Document:
    """The document of a configuration."""
    return Document(hash_content(item.value), item.value, item.key, item.revision, item.epoch)


def encode_for_earlier_release(document: Document) -> Document:
    """The document of a configuration as releases without epochs expect it."""
    item = PublishedItem(document.key, document.revision, document.value, document.epoch)
    value = msgspec.msgpack.encode(item)
    return Document(document.revision, value, revision=document.revision)


def decode_configuration(document: Document) -> PublishedItem:
    """The configuration of a document, also of an earlier release's; raises ValueError."""
    if not document.key:
        return _ITEM.decode(document.value)
    return PublishedItem(document.key, document.revision, document.value, document.epoch)


def encode_list(items: Sequence[PublishedItem], tag: int) -> Document:
    """The document of a list of upstreams."""
    return Document(tag, msgspec.msgpack.encode(tuple(items)))


def decode_list(document: Document) -> tuple[PublishedItem, ...]:
    """The list of a document; raises ValueError."""
    return _ITEMS.decode(document.value)


class RecentDocuments:
    """The last documents of a kind."""

    def __init__(self) -> None:
        self._by_id: OrderedDict[int, Document] = OrderedDict()

    def add(self, document: Document) -> None:
        """Keep a document, and forget the oldest."""
        self._by_id[document.id] = document
        self._by_id.move_to_end(document.id)
        while len(self._by_id) > MAX_RECENT_DOCUMENTS:
            self._by_id.popitem(last=False)

    def get(self, document: int) -> Document | None:
        """A document by its id, None when it isn't kept."""
        return self._by_id.get(document)
