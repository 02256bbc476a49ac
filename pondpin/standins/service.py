"""pondpin-service: a stand-in for a plain service whose calls may not be repeated."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec

from pondpin.http_reply import JSON, IncomingRequest, Reply
from pondpin.http_server import WebServer
from pondpin.network import Endpoint, parse_endpoint
from pondpin.runtime import ParsedCommand, run, run_command, steady_now, stop_on_signals
from pondpin.standins.faults import Faults
from pondpin.standins.health import Health
from pondpin.standins.wishes import Wishes, wish_of


class ServiceAnswer(msgspec.Struct, frozen=True):
    """The answer of a call: its own id, and how many times that id ran here."""

    service: str
    path: str
    call: str
    times: int


class ServiceLoad(msgspec.Struct, frozen=True):
    """Answer of GET /v1/load."""

    incarnation: int
    state: str
    running: int


@dataclass
class Service:
    """Runs calls and remembers how often each ran, by the call id in the body."""

    reactor: Any
    name: str
    checks_tokens: bool = False
    seconds: float = 0.002
    faults: Faults = field(default_factory=Faults)

    def __post_init__(self) -> None:
        """Set up the server."""
        self.incarnation = time.time_ns()
        self.state = "live"
        self.running = 0
        self.wishes = Wishes()
        self.times_by_call: dict[str, int] = {}
        self.answers_by_token: dict[str, ServiceAnswer] = {}
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.server = WebServer(self.reactor)
        self.server.route("/", self._call)
        self.server.route("/v1/load", self._load)
        self.server.route("/faults", self._set_faults)
        self.server.route("/audit", self._audit)
        self.server.route("/leave", self._leave)
        Health(self.server, "service")

    async def _call(self, incoming: IncomingRequest, reply: Reply) -> None:
        await self.thawed.wait()
        if self.faults.dead or self._use("drop_before"):
            reply.abort()
            return
        self.wishes.note("", steady_now(), *wish_of(self.faults))
        headers = {"pondpin-upstream-state": "leaving"} if self.faults.says_leaving else {}
        headers |= self.faults.limit_header()
        if self.faults.rest:
            reply.send(503, headers | {"retry-after": self.faults.rest}, b"")
            return
        self.running += 1
        try:
            await asyncio.sleep(self.seconds + self.faults.delay_seconds)
            answer = self._run(incoming)
        finally:
            self.running -= 1
        if self._use("drop_after"):
            reply.abort()
            return
        reply.send(200, headers | {"content-type": JSON}, msgspec.json.encode(answer))

    def _use(self, fault: str) -> bool:
        """Use up one of a fault's next calls."""
        left: int = getattr(self.faults, fault)
        if left <= 0:
            return False
        setattr(self.faults, fault, left - 1)
        return True

    def _run(self, incoming: IncomingRequest) -> ServiceAnswer:
        token = incoming.headers.get("idempotency-key", "")
        if self.checks_tokens and token in self.answers_by_token:
            return self.answers_by_token[token]
        call = self._call_id(incoming)
        times = self.times_by_call.get(call, 0) + 1
        self.times_by_call[call] = times
        answer = ServiceAnswer(self.name, incoming.path, call, times)
        if token:
            self.answers_by_token[token] = answer
        return answer

    def _call_id(self, incoming: IncomingRequest) -> str:
        try:
            document = msgspec.json.decode(incoming.body)
        except msgspec.MsgspecError:
            return f"untold-{len(self.times_by_call)}"
        return str(document.get("call", "")) if isinstance(document, dict) else ""

    async def _load(self, incoming: IncomingRequest, reply: Reply) -> None:
        await self.thawed.wait()
        if self.faults.dead:
            reply.abort()
            return
        load = msgspec.json.encode(ServiceLoad(self.incarnation, self.state, self.running))
        reply.send(200, {"content-type": JSON} | self.faults.limit_header(), load)

    async def _set_faults(self, incoming: IncomingRequest, reply: Reply) -> None:
        self.apply_faults(msgspec.json.decode(incoming.body, type=Faults))
        reply.send_json(self.faults)

    def apply_faults(self, faults: Faults) -> None:
        """Show these faults from now on."""
        self.faults = faults
        if faults.frozen:
            self.thawed.clear()
        else:
            self.thawed.set()

    async def _leave(self, incoming: IncomingRequest, reply: Reply) -> None:
        self.state = "leaving"
        reply.send_json({"state": self.state})

    async def _audit(self, incoming: IncomingRequest, reply: Reply) -> None:
        reply.send_json(self.times_by_call)

    def run_twice(self) -> int:
        """How many calls ran more than once."""
        return sum(1 for times in self.times_by_call.values() if times > 1)

    async def start(self, endpoint: Endpoint) -> Endpoint:
        """Listen."""
        return self.server.listen(self.reactor, endpoint)

    async def stop(self) -> None:
        """Stop listening."""
        await self.server.close()
        for task in list(self.server.tasks):
            task.cancel()


def service(address: str, name: str, checks_tokens: bool = False) -> ParsedCommand:
    """Run a stand-in service on IP:port."""

    async def work(reactor: Any) -> int:
        stop = stop_on_signals()
        served = Service(reactor, name, checks_tokens)
        bound = await served.start(parse_endpoint(address))
        print(f"pondpin-service ready on {bound}", flush=True)
        await stop.wait()
        await served.stop()
        return 0

    return ParsedCommand(lambda: run(work))


def main() -> None:
    """Entry point of pondpin-service."""
    run_command(service, "pondpin-service")


if __name__ == "__main__":
    main()
