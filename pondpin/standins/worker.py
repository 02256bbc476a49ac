"""A stand-in for the users' workers: streams and plain answers, leases, faults, an audit."""

import asyncio
import enum
import time
import zlib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from pondpin.http_reply import IncomingRequest, Reply
from pondpin.http_server import Handler, WebServer
from pondpin.network import Endpoint
from pondpin.standins.misbehaviour import (
    ABORT_SECONDS,
    abort_after_write,
    close_raw,
    write_malformed,
    write_raw,
)
from pondpin.standins.wishes import ColdSpan, Wishes

HANG_SECONDS = 30.0
# The users' workers are gone 0.04 to 0.1 s after they began such a request.
CRASH_SECONDS = 0.04
HALF = 2
# The users' workers say so in every answer from when they leave on.
LEAVING = {"server-leaving": "1"}


class WorkerFault(enum.Enum):
    """What goes wrong with the next requests; those after RUN happen once the request ran."""

    NONE = "none"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    HELPER_GONE = "a helper is gone"
    ERROR = "error"
    HANG = "hang"
    RESET = "reset"
    CUT = "cut"
    CUT_EVENT = "cut in an event"
    SURPLUS = "surplus"
    FOREIGN = "foreign"
    UNSIGNED = "unsigned"
    SPOILED = "spoiled"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed, reset"
    UNFRAMED_EVENT = "unframed, closed in an event"
    # It closes in good order and nobody listens any more.
    UNFRAMED_END = "unframed, at its end"


UNFRAMED = (
    WorkerFault.UNFRAMED,
    WorkerFault.UNFRAMED_RESET,
    WorkerFault.UNFRAMED_EVENT,
    WorkerFault.UNFRAMED_END,
)


# What brings no head, or one that nobody signed.
MUTE = (WorkerFault.HANG, WorkerFault.RESET, WorkerFault.SPOILED, WorkerFault.UNSIGNED)


@dataclass(frozen=True, slots=True)
class Seen:
    """A request as it arrived at a worker."""

    method: str
    target: bytes
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Lease:
    """Memory that is set aside until a time of the event loop's clock."""

    tokens: int
    until: float


@dataclass
class Worker:
    """One life of a worker; faults are taken from the front of a list, one a request.

    born is the start that it says, in Unix ms, None for a worker that says none.
    """

    reactor: Any
    id: str
    born: int | None = None
    events: int = 5
    event_seconds: float = 0.0
    memory: int = 450_000
    faults: list[WorkerFault] = field(default_factory=list)
    lasting_fault: WorkerFault = WorkerFault.NONE
    # Responses that were spoiled.
    spoiled: int = 0
    draining: bool = False
    ignores_resuming: bool = False
    # Of the attempts without a fault, so many are answered without a length.
    unframed_share: float = 0.0
    unframed_runs: int = 0
    # Of those, the ones whose connection closed before they had been written.
    unframed_cut: int = 0
    # Accepts connections and answers nothing.
    is_silent: bool = False
    seen: list[Seen] = field(default_factory=list)
    # Requests that were meant for another id.
    misdirected_by_id: Counter[str] = field(default_factory=Counter)
    runs_by_attempt: Counter[str] = field(default_factory=Counter)
    lease_by_id: dict[str, Lease] = field(default_factory=dict)
    refused_leases: int = 0
    probes: int = 0
    reports: int = 0
    # Bodies of requests that end the worker a moment after it has begun to run them.
    deadly: frozenset[bytes] = frozenset()
    # The same for IDs of segments of prompts, but for the last one of a prompt.
    deadly_segments: frozenset[str] = frozenset()
    crash_seconds: float = CRASH_SECONDS
    crashes: int = 0
    # The bodies or segments that it began to run, with the time of day.
    deadly_runs: list[tuple[bytes, float]] = field(default_factory=list)
    on_crash: Callable[[], object] = lambda: None
    # Says in its answers that it leaves, also where the list doesn't; and the rest that it asks for
    # while it turns all away, empty when it takes requests.
    says_leaving: bool = False
    rest: str = ""
    # The requests a second that it says that it takes from all instances, empty for none.
    limit: str = ""
    wishes: Wishes = field(default_factory=Wishes)
    # Whether its answers to liveness checks say how long it is still cold.
    says_cold: bool = True
    # Those of earlier lives.
    ended_wishes: list[Wishes] = field(default_factory=list)
    dark: bool = False
    spoils_reports: bool = False
    working: int = 0
    # With slots, at most that many requests run at once and queue_places more wait, in order of
    # arrival; others are turned away. Every answer then reports the load. call_seconds: how long a
    # plain call occupies its slot.
    slots: int = 0
    queue_places: int = 0
    call_seconds: float = 0.0
    turned_away: int = 0
    most_working: int = 0
    waiting: deque[asyncio.Future[None]] = field(default_factory=deque)

    def __post_init__(self) -> None:
        """Set up the server."""
        self.server = WebServer(self.reactor)
        self.server.route("", self._unless_silent(self._serve))
        self.server.route("/healthz", self._unless_silent(self._health))
        self.server.route("/v1/order", self._unless_silent(self._order))
        self.server.route("/v1/report", self._unless_silent(self._report))

    def listen(self, endpoint: Endpoint) -> Endpoint:
        """Listen; returns the endpoint with its port."""
        return self.server.listen(self.reactor, endpoint)

    def crash(self) -> None:
        """End as a crashing process does: all connections break and nobody listens any more."""
        if self.server.port is None:
            return
        self.crashes += 1
        self.server.abort_connections()
        self.server.spawn(self.server.close())
        self.on_crash()

    def turn_cold(self, seconds: float) -> None:
        """Be cold from now on for some seconds."""
        now = time.time()
        self.wishes.cold_spans.append(ColdSpan(now, now + seconds))

    @property
    def cold_remaining_ms(self) -> int:
        """How long it is still cold, 0 if it isn't."""
        return round(self.wishes.cold_seconds_left(time.time()) * 1000)

    def start_again(self, born: int) -> None:
        """Crash and start again under the same id; what the audit counted is kept."""
        self.server.abort_connections()
        self.born = born
        self.lease_by_id.clear()
        self.faults.clear()
        self.draining = self.says_leaving = self.is_silent = False
        self.rest = self.limit = ""
        self.ended_wishes.append(self.wishes)
        self.wishes = Wishes()

    def _unless_silent(self, handler: Handler) -> Handler:
        async def handle(incoming: IncomingRequest, reply: Reply) -> None:
            if self.is_silent:
                await self._hang(reply)
            else:
                await handler(incoming, reply)

        return handle

    async def _health(self, incoming: IncomingRequest, reply: Reply) -> None:
        self.probes += 1
        self.wishes.others.append(time.time())
        if self.lasting_fault is WorkerFault.HANG:
            await asyncio.sleep(HANG_SECONDS)
        bad = self.draining or self.lasting_fault is not WorkerFault.NONE
        headers = {"x-instance-id": self.id}
        if self.says_cold and self.wishes.cold_spans:
            headers["x-cold-ms"] = str(self.cold_remaining_ms)
        reply.send(503 if bad else 200, self._marked(headers), b"")

    def _marked(self, headers: dict[str, str]) -> dict[str, str]:
        """Headers of an answer, with what it says of its worker."""
        headers = headers | LEAVING if self.says_leaving else headers
        if self.slots:
            load = f"{self.working},{len(self.waiting)},{self.slots}"
            headers = headers | {"x-instance-load": load}
        return headers | {"server-limit": self.limit} if self.limit else headers

    def _send_json(self, reply: Reply, value: object, status: int = 200) -> None:
        headers = self._marked({"content-type": "application/json"})
        reply.send(status, headers, msgspec.json.encode(value))

    def _turns_away(self, reply: Reply, sender: str, answers: bool = True) -> bool:
        """Note a request, and ask its sender for rest if that is wanted.

        answers: whether it would be answered by a head that can be believed.
        """
        says_leaving = self.says_leaving and (answers or bool(self.rest))
        rest, limit = asked_seconds(self.rest), named_limit(self.limit)
        silent = not answers and not self.rest
        self.wishes.note(sender, time.time(), says_leaving, rest, limit, silent)
        if not self.rest:
            return False
        headers = {"x-not-executed": "1", "retry-after": self.rest}
        reply.send(503, self._marked(headers), b"")
        return True

    async def _report(self, incoming: IncomingRequest, reply: Reply) -> None:
        self.reports += 1
        self.wishes.others.append(time.time())
        if self.dark:
            await asyncio.sleep(HANG_SECONDS)
        if self.spoils_reports:
            self._send_json(reply, {"stage": "bidirectional"})
            return
        report: dict[str, Any] = {"stage": "bidirectional", "queued": 0, "active": self.working}
        if self.born is not None:
            report["born"] = self.born
        self._send_json(reply, report)

    async def _order(self, incoming: IncomingRequest, reply: Reply) -> None:
        order = msgspec.json.decode(incoming.body)
        name = order["id"]
        if order["op"] == "release" or name in self.held_leases():
            self.wishes.others.append(time.time())
        if order["op"] == "release":
            self.lease_by_id.pop(name, None)
            self._send_json(reply, {"free": self._free()})
            return
        if name not in self.held_leases() and self._turns_away(reply, sender_of(name)):
            return
        leases = self.held_leases()
        known = leases[name].tokens if name in leases else 0
        if order["tokenCount"] > self._free() + known:
            self.refused_leases += 1
            self._send_json(reply, {"free": self._free()}, 409)
            return
        until = asyncio.get_running_loop().time() + order["holdMs"] / 1000
        self.lease_by_id[name] = Lease(order["tokenCount"], until)
        self._send_json(reply, {"free": self._free()})

    def held_leases(self) -> dict[str, Lease]:
        """Leases that have not lapsed, by id."""
        now = asyncio.get_running_loop().time()
        self.lease_by_id = {
            name: lease for name, lease in self.lease_by_id.items() if lease.until > now
        }
        return self.lease_by_id

    def _free(self) -> int:
        return self.memory - sum(lease.tokens for lease in self.held_leases().values())

    async def _serve(self, incoming: IncomingRequest, reply: Reply) -> None:
        self.seen.append(Seen(incoming.method, incoming.target, incoming.headers, incoming.body))
        fault = self.faults.pop(0) if self.faults else self.lasting_fault
        expected = incoming.headers.get("x-expect-instance", self.id)
        if expected != self.id:
            self.misdirected_by_id[expected] += 1
        if expected != self.id or fault is WorkerFault.MISDIRECTED:
            reply.send(421, self._marked({"x-instance-id": self.id}), b"")
            return
        attempt = incoming.headers.get("x-attempt-id", "")
        answers = fault not in MUTE and not self._deadly_cause(incoming)
        if self._turns_away(reply, sender_of(attempt), answers):
            return
        if fault is WorkerFault.HELPER_GONE and "helpers" in incoming.headers:
            gone = incoming.headers["helpers"].split(",")[0].split("/")[0]
            reply.send(503, self._marked({"x-not-executed": "1", "at-server": gone}), b"")
            return
        if fault is WorkerFault.SHED:
            reply.send(503, self._marked({"x-not-executed": "1"}), b"")
            return
        if not await self._take_slot():
            self.turned_away += 1
            reply.send(503, self._marked({"x-not-executed": "1"}), b"")
            return
        try:
            if self.slots and reply.is_closed:
                return
            self.runs_by_attempt[attempt] += 1
            self.most_working = max(self.most_working, self.working)
            await self._run(incoming, reply, attempt, fault)
        finally:
            self._release_slot()

    async def _take_slot(self) -> bool:
        """Occupy a slot, after a wait if all are; False if the queue is full too."""
        if not self.slots or (self.working < self.slots and not self.waiting):
            self.working += 1
            return True
        if len(self.waiting) >= self.queue_places:
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn
        return True

    def _release_slot(self) -> None:
        """Pass the slot on to the request that has waited longest."""
        if self.waiting:
            self.waiting.popleft().set_result(None)
        else:
            self.working -= 1

    async def _run(
        self, incoming: IncomingRequest, reply: Reply, attempt: str, fault: WorkerFault
    ) -> None:
        if fault is WorkerFault.HANG:
            await self._hang(reply)
            return
        if fault is WorkerFault.RESET:
            reply.abort()
            return
        if fault is WorkerFault.SPOILED:
            write_malformed(reply, attempt, self.spoiled)
            self.spoiled += 1
            return
        signature = f"{self.id}.{attempt}"
        headers = self._marked({"x-attempt-id": attempt, "x-instance-signature": signature})
        cause = self._deadly_cause(incoming)
        if cause:
            await self._crash_soon(incoming, reply, headers, cause)
            return
        if fault is WorkerFault.NONE and self._is_unframed(attempt):
            fault = WorkerFault.UNFRAMED
        if fault is WorkerFault.FOREIGN:
            headers["x-attempt-id"] = "somebody-else"
        if fault is WorkerFault.UNSIGNED:
            del headers["x-instance-signature"]
        if fault is WorkerFault.ERROR:
            reply.send(500, headers, b"failed")
        elif "x-token-usage" in incoming.headers:
            await self._stream(incoming, reply, headers, fault)
        else:
            if self.call_seconds:
                await asyncio.sleep(self.call_seconds)
            headers = self._marked(headers)
            await self._answer(reply, headers, attempt, fault)

    def _is_unframed(self, attempt: str) -> bool:
        return zlib.crc32(attempt.encode()) < self.unframed_share * (1 << 32)

    def _deadly_cause(self, incoming: IncomingRequest) -> bytes:
        """The body or segment of a request that ends the worker, empty for none."""
        if incoming.body in self.deadly:
            return incoming.body
        if not self.deadly_segments:
            return b""
        entries = incoming.headers.get("x-prompt-prefix", "").split(",")[:-1]
        found = (entry.partition(":")[0] for entry in entries)
        return next((item.encode() for item in found if item in self.deadly_segments), b"")

    async def _crash_soon(
        self, incoming: IncomingRequest, reply: Reply, headers: dict[str, str], cause: bytes
    ) -> None:
        if "x-token-usage" in incoming.headers:
            reply.start(200, headers | {"content-type": "text/event-stream"})
        self.deadly_runs.append((cause, time.time()))
        await asyncio.sleep(self.crash_seconds)
        self.crash()

    async def _hang(self, reply: Reply) -> None:
        for _ in range(int(HANG_SECONDS * 100)):
            if reply.is_closed:
                return
            await asyncio.sleep(0.01)

    async def _answer(
        self, reply: Reply, headers: dict[str, str], attempt: str, fault: WorkerFault
    ) -> None:
        body = f"{self.id} answers {attempt}".encode()
        if fault is WorkerFault.CUT:
            reply.start(200, headers | {"content-length": str(len(body))})
            reply.write(body[: len(body) // HALF])
            abort_after_write(reply)
        elif fault in UNFRAMED:
            half = len(body) // HALF
            write_raw(reply, _head(headers) + b"connection: close\r\n\r\n" + body[:half])
            if fault is WorkerFault.UNFRAMED:
                await asyncio.sleep(self.event_seconds)
                self._count_unframed(reply)
            write_raw(reply, body[half:])
            self._end_unframed(reply, fault)
        else:
            reply.send(200, headers, body)
            if fault is WorkerFault.SURPLUS:
                size = str(len(body)).encode()
                write_raw(reply, _head(headers) + b"content-length: " + size + b"\r\n\r\n" + body)

    def _count_unframed(self, reply: Reply) -> None:
        self.unframed_runs += 1
        self.unframed_cut += reply.is_closed

    def _end_unframed(self, reply: Reply, fault: WorkerFault) -> None:
        if fault is WorkerFault.UNFRAMED_RESET:
            abort_after_write(reply)
            return
        if fault is WorkerFault.UNFRAMED_END and self.server.port is not None:
            self.crashes += 1
            self.server.spawn(self._close_at_end(reply))
        else:
            close_raw(reply)

    async def _close_at_end(self, reply: Reply) -> None:
        """Close as an ending process does, whose connections outlast its port."""
        await self.server.close()
        close_raw(reply)
        # The others break once what was written could leave.
        asyncio.get_running_loop().call_later(ABORT_SECONDS, self.server.abort_connections)
        self.on_crash()

    async def _stream_unframed(
        self, reply: Reply, headers: dict[str, str], fault: WorkerFault, first: int
    ) -> None:
        """A stream that ends with its connection; after half of the events unless it is whole."""
        headers = headers | {"content-type": "text/event-stream", "connection": "close"}
        write_raw(reply, _head(headers) + b"\r\n")
        last = self.events if fault is WorkerFault.UNFRAMED else first + HALF
        for number in range(first, last + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            is_cut = fault is WorkerFault.UNFRAMED_EVENT and number == last
            if number == last and fault is WorkerFault.UNFRAMED:
                self._count_unframed(reply)
            write_raw(reply, event[: len(event) // HALF] if is_cut else event)
            await asyncio.sleep(self.event_seconds)
        self._end_unframed(reply, fault)

    async def _stream(
        self, incoming: IncomingRequest, reply: Reply, headers: dict[str, str], fault: WorkerFault
    ) -> None:
        after = "0" if self.ignores_resuming else incoming.headers.get("last-event-id", "0")
        first = int(after) + 1
        if fault in UNFRAMED:
            await self._stream_unframed(reply, headers, fault, first)
            return
        reply.start(200, headers | {"content-type": "text/event-stream"})
        for number in range(first, self.events + 1):
            if reply.is_closed:
                return
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            if fault in (WorkerFault.CUT, WorkerFault.CUT_EVENT) and number >= first + HALF:
                if fault is WorkerFault.CUT_EVENT:
                    reply.write(event[: len(event) // HALF])
                abort_after_write(reply)
                return
            reply.write(event)
            await asyncio.sleep(self.event_seconds)
        reply.finish()


def asked_seconds(rest: str) -> float:
    """The seconds that a Retry-After of numbers asks for; the most of several, 0 for odd ones."""
    parts = [part.strip() for part in rest.split(",")]
    return max((float(part) for part in parts if part.replace(".", "").isdigit()), default=0.0)


def named_limit(limit: str) -> float | None:
    """The requests a second that a header of numbers names, the least of several; None for none."""
    parts = [part.strip() for part in limit.split(",")]
    numbers = [float(part) for part in parts if part.replace(".", "").isdigit()]
    return min(numbers, default=None)


def sender_of(name: str) -> str:
    """The instance that sent a request, of attempts and leases that begin with its name."""
    return "-".join(name.replace(".", "-").split("-")[:2])


def _head(headers: dict[str, str]) -> bytes:
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"HTTP/1.1 200 OK\r\n{lines}".encode()
