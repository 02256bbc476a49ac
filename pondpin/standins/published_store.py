"""A stand-in for the users' read-only store, as its page describes it, with faults."""

import asyncio
import enum
from dataclasses import dataclass, field
from typing import Any

import msgspec

from pondpin.http_reply import JSON, IncomingRequest, Reply
from pondpin.http_server import WebServer
from pondpin.network import Endpoint
from pondpin.standins.store_state import StoreAnswer, StoreState

HANG_SECONDS = 30.0


class StoreFault(enum.Enum):
    """How the store fails."""

    NONE = "none"
    BUSY = "busy"
    MANY = "many"
    RESET = "reset"
    SILENT = "silent"
    SPOILED = "spoiled"


@dataclass(kw_only=True)
class PublishedStore(StoreState):
    """Serves items; faults apply to the callers whose address they name, or to all with ''."""

    reactor: Any
    fault_by_host: dict[str, StoreFault] = field(default_factory=dict)
    # Further headers of all answers.
    headers: dict[str, str] = field(default_factory=dict)
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

    def fail(self, fault: StoreFault, host: str = "") -> None:
        """Fail for the callers of an address, or for all."""
        self.fault_by_host[host] = fault

    async def _key(self, incoming: IncomingRequest, reply: Reply) -> None:
        if not await self._misbehave(reply):
            self._send(reply, self.read_key(incoming.query.get("tlsKey", "")))

    async def _range(self, incoming: IncomingRequest, reply: Reply) -> None:
        if not await self._misbehave(reply):
            prefix = incoming.query.get("pathPrefix", "")
            self._send(reply, self.read_range(prefix, incoming.query.get("sinceRevision", "")))

    async def _watch(self, incoming: IncomingRequest, reply: Reply) -> None:
        if not await self._misbehave(reply):
            prefix = incoming.query.get("pathPrefix", "")
            since = int(incoming.query.get("sinceRevision", "0"))
            self._send(reply, self.read_watch(prefix, since))

    def _send(self, reply: Reply, answer: StoreAnswer) -> None:
        headers = {"content-type": JSON} | self.epoch_headers | self.headers
        reply.send(answer.status, headers, msgspec.json.encode(answer.document))

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
            reply.send(200, {"content-type": JSON}, b'{"items": [{"va')
        else:
            status = 503 if fault is StoreFault.BUSY else 429
            self._send(reply, StoreAnswer(status, {"error": "busy"}))
        return True
