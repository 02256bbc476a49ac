"""A stand-in for the users' read-only store, as its page describes it: items, ranges, faults."""

import asyncio
import base64
import enum
from dataclasses import dataclass, field
from typing import Any

import msgspec

from pondpin.http_reply import Incoming, Reply
from pondpin.http_server import WebServer
from pondpin.network import Endpoint

CONFIGURATION_KEY = "op/config"
UPSTREAMS_PREFIX = "servers/"
PAGE_ITEMS = 500
HANG_SECONDS = 30.0


class StoreFault(enum.Enum):
    """How the store fails."""

    NONE = "none"
    BUSY = "busy"
    MANY = "many"
    RESET = "reset"
    SILENT = "silent"
    SPOILED = "spoiled"


@dataclass(frozen=True, slots=True)
class StoredItem:
    """An item of the store."""

    value: bytes
    revision: int


@dataclass
class PublishedStore:
    """Serves items; faults apply to the callers whose address they name, or to all with ''."""

    reactor: Any
    page_items: int = PAGE_ITEMS
    revision: int = 0
    item_by_key: dict[str, StoredItem] = field(default_factory=dict)
    # Changes in order; None where an item was taken away.
    history: list[tuple[int, str, StoredItem | None]] = field(default_factory=list)
    # Watches are told of changes up to here; None means up to the last one.
    watched_until: int | None = None
    fault_by_host: dict[str, StoreFault] = field(default_factory=dict)
    # What is told in the place of the values of some keys.
    spoiled_keys: dict[str, object] = field(default_factory=dict)
    reads: int = 0

    def __post_init__(self) -> None:
        """Set up the server."""
        self.server = WebServer(self.reactor)
        self.server.route("/v1/kv-key", self._key)
        self.server.route("/v1/kv-range", self._range)
        self.server.route("/v1/kv-watch", self._watch)

    def listen(self, endpoint: Endpoint) -> Endpoint:
        """Listen; returns the endpoint with its port."""
        return self.server.listen(self.reactor, endpoint)

    def put(self, key: str, value: object) -> int:
        """Write an item; returns its revision."""
        self.revision += 1
        item = StoredItem(msgspec.json.encode(value), self.revision)
        self.item_by_key[key] = item
        self.history.append((self.revision, key, item))
        return self.revision

    def delete(self, key: str) -> None:
        """Take an item away."""
        self.revision += 1
        self.item_by_key.pop(key, None)
        self.history.append((self.revision, key, None))

    def forget_history(self) -> None:
        """Lose what was before now."""
        self.history.clear()

    def fail(self, fault: StoreFault, host: str = "") -> None:
        """Fail for the callers of an address, or for all."""
        self.fault_by_host[host] = fault

    async def _key(self, incoming: Incoming, reply: Reply) -> None:
        if await self._misbehave(reply):
            return
        key = incoming.query.get("tlsKey", "")
        item = self.item_by_key.get(key)
        if item is None:
            reply.send_json({"error": "no item"}, 404)
            return
        reply.send_json(self._describe(key, item) | {"at": self.revision})

    async def _range(self, incoming: Incoming, reply: Reply) -> None:
        if await self._misbehave(reply):
            return
        prefix = incoming.query.get("pathPrefix", "")
        after = incoming.query.get("sinceRevision", "")
        keys = sorted(key for key in self.item_by_key if key.startswith(prefix) and key > after)
        page = keys[: self.page_items]
        items = [self._describe(key, self.item_by_key[key]) for key in page]
        more = len(keys) > len(page)
        reply.send_json({"items": items, "more": more, "at": self.revision})

    async def _watch(self, incoming: Incoming, reply: Reply) -> None:
        """Tell what changed; a watch never waits here, whatever it asks for."""
        if await self._misbehave(reply):
            return
        prefix = incoming.query.get("pathPrefix", "")
        since = int(incoming.query.get("sinceRevision", "0"))
        until = self.revision if self.watched_until is None else self.watched_until
        first = self.history[0][0] if self.history else self.revision + 1
        if since + 1 < first:
            reply.send_json({"error": "history is gone"}, 410)
            return
        events = [
            self._describe(key, item) if item else {"tlsKey": key, "revision": at, "gone": True}
            for at, key, item in self.history
            if since < at <= until and key.startswith(prefix)
        ]
        reply.send_json({"events": events, "at": max(since, until)})

    def _describe(self, key: str, item: StoredItem) -> dict[str, object]:
        value = self.spoiled_keys.get(key, base64.b64encode(item.value).decode())
        return {"tlsKey": key, "value": value, "revision": item.revision, "lease": 0}

    async def _misbehave(self, reply: Reply) -> bool:
        """Fail as told; True when the call is over."""
        self.reads += 1
        fault = self.fault_by_host.get(reply.peer_host, self.fault_by_host.get(""))
        if fault in (None, StoreFault.NONE):
            return False
        if fault is StoreFault.SILENT:
            await asyncio.sleep(HANG_SECONDS)
            reply.abort()
        elif fault is StoreFault.RESET:
            reply.abort()
        elif fault is StoreFault.SPOILED:
            reply.send(200, {"content-type": "application/json"}, b'{"items": [{"va')
        else:
            reply.send_json({"error": "busy"}, 503 if fault is StoreFault.BUSY else 429)
        return True
