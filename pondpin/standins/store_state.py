"""What a stand-in of the users' store holds, and how it answers: items, ranges, watches, copies."""

import base64
from dataclasses import dataclass, field

import msgspec

CONFIGURATION_KEY = "op/config"
UPSTREAMS_PREFIX = "servers/"
# A key under it orders to evacuate the data centre that it names.
EVACUATIONS_PREFIX = "op/evacuate/"
PAGE_ITEMS = 500
EPOCH_HEADER = "Store-Era"
FIRST_EPOCH = 1
OK = 200
NOT_FOUND = 404
HISTORY_GONE = 410


@dataclass(frozen=True, slots=True)
class StoredItem:
    """An item of the store."""

    value: bytes
    revision: int


# A change: its revision, its key, and the item, None where it was taken away.
Change = tuple[int, str, StoredItem | None]


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What a store held at some moment."""

    revision: int
    item_by_key: dict[str, StoredItem]
    history: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Status and document of a call."""

    status: int
    document: dict[str, object]


@dataclass(kw_only=True)
class StoreState:
    """Items with one revision counter; epoch is None for a store that names none."""

    page_items: int = PAGE_ITEMS
    revision: int = 0
    epoch: int | None = FIRST_EPOCH
    item_by_key: dict[str, StoredItem] = field(default_factory=dict)
    history: list[Change] = field(default_factory=list)
    # Watches are told of changes up to here; None means up to the last one.
    watched_until: int | None = None
    # What is told in the place of the values of some keys.
    spoiled_keys: dict[str, object] = field(default_factory=dict)

    def put(self, key: str, value: object) -> int:
        """Write an item; returns its revision."""
        self.revision += 1
        item = StoredItem(msgspec.json.encode(value), self.revision)
        self.item_by_key[key] = item
        self.history.append((self.revision, key, item))
        return self.revision

    def delete(self, key: str) -> None:
        """Take an item away; one that is absent leaves no event."""
        if self.item_by_key.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append((self.revision, key, None))

    def forget_history(self) -> None:
        """Lose what was before now."""
        self.history.clear()

    def copy(self) -> StoreCopy:
        """Copy what it holds, to be restored later."""
        return StoreCopy(self.revision, dict(self.item_by_key), tuple(self.history))

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: what was written since is gone, and a new epoch begins."""
        self.revision = copy.revision
        self.item_by_key = dict(copy.item_by_key)
        self.history = list(copy.history)
        self.epoch = (self.epoch or 0) + 1

    @property
    def epoch_headers(self) -> dict[str, str]:
        """The header that all answers carry."""
        return {} if self.epoch is None else {EPOCH_HEADER: str(self.epoch)}

    def read_key(self, key: str) -> StoreAnswer:
        """An item."""
        item = self.item_by_key.get(key)
        if item is None:
            return StoreAnswer(NOT_FOUND, {"error": "no item"})
        return StoreAnswer(OK, self._describe(key, item) | {"at": self.revision})

    def read_range(self, prefix: str, after: str) -> StoreAnswer:
        """A page of the items under a prefix that follow a key."""
        keys = sorted(key for key in self.item_by_key if key.startswith(prefix) and key > after)
        page = keys[: self.page_items]
        items = [self._describe(key, self.item_by_key[key]) for key in page]
        more = len(keys) > len(page)
        return StoreAnswer(OK, {"items": items, "more": more, "at": self.revision})

    def read_watch(self, prefix: str, since: int) -> StoreAnswer:
        """The changes after a revision; a watch never waits here."""
        until = self.revision if self.watched_until is None else self.watched_until
        first = self.history[0][0] if self.history else self.revision + 1
        if since + 1 < first or since > self.revision:
            return StoreAnswer(HISTORY_GONE, {"error": "history is gone"})
        events = [
            self._describe(key, item) if item else {"tlsKey": key, "revision": at, "gone": True}
            for at, key, item in self.history
            if since < at <= until and key.startswith(prefix)
        ]
        return StoreAnswer(OK, {"events": events, "at": max(since, until)})

    def _describe(self, key: str, item: StoredItem) -> dict[str, object]:
        value = self.spoiled_keys.get(key, base64.b64encode(item.value).decode())
        return {"tlsKey": key, "value": value, "revision": item.revision, "lease": 0}
