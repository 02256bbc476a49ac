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
    fault_by_host: dict[str, StoreFault] = field(default_factory=dict)
    reads: int = 0

    def __post_init__(self) -> None:
        """Set up the server."""
        self.server = WebServer(self.reactor)
        self.server.route("/v1/kv-key", self._key)
        self.server.route("/v1/kv-range", self._range)

    def listen(self, endpoint: Endpoint) -> Endpoint:
        """Listen; returns the endpoint with its port."""
        return self.server.listen(self.reactor, endpoint)

    def put(self, key: str, value: object) -> int:
        """Write an item; returns its revision."""
        self.revision += 1
        self.item_by_key[key] = StoredItem(msgspec.json.encode(value), self.revision)
        return self.revision

    def delete(self, key: str) -> None:
        """Take an item away."""
        self.revision += 1
        self.item_by_key.pop(key, None)

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

    def _describe(self, key: str, item: StoredItem) -> dict[str, object]:
        value = base64.b64encode(item.value).decode()
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
