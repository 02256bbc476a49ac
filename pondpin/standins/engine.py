"""pondpin-engine: a stand-in model engine over HTTP, with faults on command and a self-audit."""

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import Any

import msgspec

from pondpin.codes import Code
from pondpin.engine_protocol import (
    CacheEvent,
    CacheEvents,
    EngineError,
    KvBlocks,
    LoadReport,
    Order,
    OrderAnswer,
    ReservationRequest,
    StreamRequest,
)
from pondpin.errors import PondpinError
from pondpin.http_reply import JSON, IncomingRequest, Reply
from pondpin.http_server import ServerLimits, WebServer
from pondpin.network import Endpoint, parse_endpoint
from pondpin.runtime import ParsedCommand, run, run_command, steady_now, stop_on_signals, wall_now
from pondpin.standins.engine_model import (
    EngineModel,
    EngineShape,
    Frame,
    Holder,
    Reservation,
    Sequence,
    StreamKey,
    Submission,
)
from pondpin.standins.engine_reports import Audit, audit_of, encode_frame, held_work
from pondpin.standins.faults import Faults
from pondpin.standins.health import Health
from pondpin.standins.wishes import Wishes, wish_of

EVENT_STREAM = {"content-type": "text/event-stream"}
IDLE_SECONDS = 0.5
# A short answer takes 10 ms here.
CRASH_SECONDS = 0.002
RETURN_SECONDS = 0.5
SHAPE = EngineShape()


@dataclass(frozen=True, kw_only=True)
class EngineOptions:
    """What a stand-in engine is; report_lag is in seconds."""

    model: str
    role: str = "mixed"
    checks_fences: bool = True
    report_lag: float = 0.2
    cache_loss: float = 0.0
    load_seconds: float = 1.0
    adapters: tuple[str, ...] = ()
    kv_seconds_per_block: float = 0.0002
    shape: EngineShape = field(default_factory=EngineShape)


class Engine:
    """Serves one EngineModel over HTTP."""

    def __init__(self, reactor: Any, options: EngineOptions) -> None:
        self.options = options
        self.reactor = reactor
        self.faults = Faults()
        # Prompts that end it a moment after it took them.
        self.deadly_prompts: frozenset[str] = frozenset()
        self.deaths = 0
        self.wishes = Wishes()
        self._bound: Endpoint | None = None
        self.random = random.Random(7)
        self.server = WebServer(
            reactor, ServerLimits(body_bytes=256 << 20, bodies_held_bytes=1 << 30)
        )
        self.server.route("/v1/streams", self._streams)
        self.server.route("/v1/reservations", self._reservations)
        self.server.route("/v1/load", self._load)
        self.server.route("/v1/cache-events", self._cache_events)
        self.server.route("/v1/orders", self._orders)
        self.server.route("/faults", self._set_faults)
        self.server.route("/audit", self._audit)
        self.server.route("/leave", self._leave)
        self.server.route("/v1/kv", self._kv)
        Health(self.server, "engine")
        self._restart()

    def _restart(self) -> None:
        """Begin a new life with empty memory."""
        self.incarnation = time.time_ns()
        self.started = steady_now()
        self.model = EngineModel(self.options.shape)
        self.state = "live"
        self.served_model = self.options.model
        self.role = self.options.role
        self.fence = 0
        self.stale_orders = 0
        self.adapters: tuple[str, ...] = self.options.adapters
        self.ordered_at = -1e9
        self.fences_taken: list[int] = []
        self.replies_by_key: dict[StreamKey, Reply] = {}
        self.wake = asyncio.Event()
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.report = self._make_report()

    async def start(self, endpoint: Endpoint) -> Endpoint:
        """Listen and start to step."""
        bound = self._bound = self.server.listen(self.reactor, endpoint)
        self.server.spawn(self._step_forever())
        self.server.spawn(self._report_forever())
        return bound

    async def stop(self) -> None:
        """Stop listening and stepping."""
        await self.server.close()
        for task in list(self.server.tasks):
            task.cancel()

    def die(self) -> None:
        """Lose everything at once, as a killed process does."""
        self.faults.dead = True
        for reply in list(self.replies_by_key.values()):
            reply.abort()
        self._restart()

    def crash(self) -> None:
        """End as a killed process does: nobody listens until the next life."""
        if self.faults.dead:
            return
        self.deaths += 1
        self.die()
        self.server.abort_connections()
        self.server.spawn(self._come_back())

    async def _come_back(self) -> None:
        assert self._bound is not None, "an engine listens before it takes a prompt"
        await self.server.close()
        await asyncio.sleep(RETURN_SECONDS)
        self.faults.dead = False
        self.server.listen(self.reactor, self._bound)

    def apply_faults(self, faults: Faults) -> None:
        """Show these faults from now on."""
        died = faults.dead and not self.faults.dead
        self.faults = faults
        if died:
            self.die()
            self.faults = faults
        if faults.frozen:
            self.thawed.clear()
        else:
            self.thawed.set()

    async def _step_forever(self) -> None:
        while True:
            await self.thawed.wait()
            self.wake.clear()
            seconds, frames = self.model.step(wall_now())
            if seconds == 0.0:
                self.model.forget_finished(wall_now())
                await self._wait_for_work()
                continue
            model = self.model
            # A slow engine's own clock shows that it is slow.
            model.totals.busy_seconds += seconds * (self.faults.slow - 1.0)
            await asyncio.sleep(seconds * self.faults.slow)
            await self.thawed.wait()
            if model is self.model:
                self._send_frames(frames)

    async def _wait_for_work(self) -> None:
        try:
            async with asyncio.timeout(IDLE_SECONDS):
                await self.wake.wait()
        except TimeoutError:
            return

    def _send_frames(self, frames: list[Frame]) -> None:
        for frame in frames:
            reply = self.replies_by_key.get(frame.key)
            if reply is not None:
                self._send_frame(reply, frame)

    def _send_frame(self, reply: Reply, frame: Frame) -> None:
        data = encode_frame(frame)
        if self.faults.duplicate_frames and self.random.random() < 0.2:
            reply.write(data)
        if self.faults.reorder_frames and self.random.random() < 0.1:
            foreign = Frame(StreamKey("foreign", 0), frame.offset, "foreign")
            reply.write(encode_frame(foreign))
        reply.write(data)
        if frame.end:
            self.replies_by_key.pop(frame.key, None)
            reply.finish()

    async def _gate(self, reply: Reply) -> bool:
        """Hold a call back while frozen; cut it when dead."""
        await self.thawed.wait()
        if self.faults.delay_seconds:
            await asyncio.sleep(self.faults.delay_seconds)
        if self.faults.dead:
            reply.abort()
            return False
        return True

    async def _streams(self, incoming: IncomingRequest, reply: Reply) -> None:
        if not await self._gate(reply):
            return
        match incoming.method:
            case "POST":
                self._submit(incoming, reply)
            case "GET":
                self._resume(incoming, reply)
            case "DELETE":
                done = self.model.cancel(self._key_of(incoming.path), wall_now())
                self._finish_cancelled(self._key_of(incoming.path))
                self._send_json(reply, {"cancelled": done})
            case _:
                raise PondpinError(Code.METHOD_NOT_ALLOWED)

    def _finish_cancelled(self, key: StreamKey) -> None:
        sequence = self.model.find(key)
        reply = self.replies_by_key.pop(key, None)
        if reply is not None and sequence is not None:
            reply.write(encode_frame(sequence.frames[-1]))
            reply.finish()

    def _key_of(self, path: str) -> StreamKey:
        parts = path.split("/")
        if len(parts) != 5 or not parts[4].isdecimal():
            raise PondpinError(Code.UNKNOWN_PATH)
        return StreamKey(parts[3], int(parts[4]))

    def _submit(self, incoming: IncomingRequest, reply: Reply) -> None:
        if self.faults.drop_before > 0:
            self.faults.drop_before -= 1
            reply.abort()
            return
        try:
            message = msgspec.json.decode(incoming.body, type=StreamRequest)
        except msgspec.MsgspecError as error:
            raise PondpinError(Code.INVALID_FIELD, str(error)) from error
        self.wishes.note(message.instance, steady_now(), *wish_of(self.faults))
        if self.faults.rest:
            headers = {"retry-after": self.faults.rest} | self._state_header()
            reply.send(503, headers, msgspec.json.encode(EngineError("wants rest")))
            return
        lacks_adapter = message.adapter and message.adapter not in self.adapters
        if self.state == "leaving" or message.model != self.served_model or lacks_adapter:
            headers = self._state_header()
            body = msgspec.json.encode(EngineError("leaving or another model"))
            reply.send(503, headers, body)
            return
        if message.prompt in self.deadly_prompts:
            asyncio.get_running_loop().call_later(CRASH_SECONDS, self.crash)
        submission = Submission(
            key=StreamKey(message.request, message.attempt),
            holder=Holder(message.instance, message.incarnation),
            prompt=message.prompt.encode(),
            max_tokens=message.max_tokens,
            priority=message.priority,
            deadline=message.deadline,
            start_offset=message.start_offset,
            members=message.members,
            reservation=message.reservation,
        )
        sequence = self.model.submit(submission)
        if sequence is None:
            self._send_json(reply, EngineError("seen before"), 409)
            return
        if self.model.blocks_needed(sequence) > self.options.shape.blocks:
            self.model.cancel(submission.key, wall_now())
            self._send_json(reply, EngineError("larger than memory"), 413)
            return
        self.wake.set()
        if self.faults.drop_after > 0:
            self.faults.drop_after -= 1
            reply.abort()
            return
        self._attach(sequence, reply, submission.start_offset)

    def _send_json(self, reply: Reply, value: object, status: int = 200) -> None:
        """Send an answer, with what it says of the engine's limit."""
        headers = {"content-type": JSON} | self.faults.limit_header()
        reply.send(status, headers, msgspec.json.encode(value))

    def _state_header(self) -> dict[str, str]:
        """What each answer to a request says of the engine."""
        state = "leaving" if self.faults.says_leaving else self.state
        return {"pondpin-upstream-state": state} | self.faults.limit_header()

    def _resume(self, incoming: IncomingRequest, reply: Reply) -> None:
        sequence = self.model.find(self._key_of(incoming.path))
        if sequence is None:
            self._send_json(reply, EngineError("no such stream"), 410)
            return
        self._attach(sequence, reply, int(incoming.query.get("offset", "0")))

    def _attach(self, sequence: Sequence, reply: Reply, offset: int) -> None:
        """Send what was made from an offset on, then follow the stream."""
        key = sequence.submission.key
        reply.start(200, EVENT_STREAM | self._state_header())
        previous = self.replies_by_key.pop(key, None)
        if previous is not None:
            previous.abort()
        if not sequence.ended:
            self.replies_by_key[key] = reply
            reply.on_disconnect = lambda: self._detach(key, reply)
        for frame in list(sequence.frames):
            if frame.offset >= offset:
                reply.write(encode_frame(frame))
        if sequence.ended:
            reply.finish()

    def _detach(self, key: StreamKey, reply: Reply) -> None:
        """Forget a reader that went away; the request goes on until it ends or is cancelled."""
        if self.replies_by_key.get(key) is reply:
            del self.replies_by_key[key]

    async def _reservations(self, incoming: IncomingRequest, reply: Reply) -> None:
        if not await self._gate(reply):
            return
        if incoming.method == "DELETE":
            name = incoming.path.rpartition("/")[2]
            self._send_json(reply, {"returned_blocks": self.model.release(name)})
            self.wake.set()
            return
        message = msgspec.json.decode(incoming.body, type=ReservationRequest)
        holder = Holder(message.instance, message.incarnation)
        wanted = Reservation(message.name, holder, message.blocks, message.deadline)
        if self.state != "leaving" and self.model.reserve(wanted):
            self._send_json(reply, {"reserved": message.blocks})
        else:
            self._send_json(reply, EngineError("no room"), 409)

    async def _load(self, incoming: IncomingRequest, reply: Reply) -> None:
        if await self._gate(reply):
            self._send_json(reply, self.report)

    async def _cache_events(self, incoming: IncomingRequest, reply: Reply) -> None:
        if not await self._gate(reply):
            return
        after = int(incoming.query.get("after", "0"))
        kept = [
            CacheEvent(number, kind, value)
            for number, kind, value in self.model.cache_events
            if number > after and self.random.random() >= self.options.cache_loss
        ]
        self._send_json(reply, CacheEvents(self.incarnation, tuple(kept[:5000])))

    async def _kv(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Export the blocks of the prefix cache, or import some; importing takes time."""
        if not await self._gate(reply):
            return
        if incoming.method == "GET":
            self._send_json(reply, KvBlocks(tuple(self.model.cache)))
            return
        wanted = msgspec.json.decode(incoming.body, type=KvBlocks).blocks
        await asyncio.sleep(len(wanted) * self.options.kv_seconds_per_block)
        self._send_json(reply, KvBlocks(self.model.import_blocks(wanted, wall_now())))

    async def _orders(self, incoming: IncomingRequest, reply: Reply) -> None:
        if not await self._gate(reply):
            return
        if incoming.method == "GET":
            self._send_json(reply, OrderAnswer(True, self.fence))
            return
        order = msgspec.json.decode(incoming.body, type=Order)
        if self.options.checks_fences and order.fence <= self.fence:
            self.stale_orders += 1
            self._send_json(reply, OrderAnswer(False, self.fence), 409)
            return
        self.fence = order.fence
        self.fences_taken.append(order.fence)
        self.ordered_at = steady_now()
        self.role, self.adapters = order.role, order.adapters
        if order.model != self.served_model:
            self.server.spawn(self._load_model(order.model))
        self._send_json(reply, OrderAnswer(True, self.fence))

    async def _load_model(self, model: str) -> None:
        self.served_model = ""
        await asyncio.sleep(self.options.load_seconds)
        self.served_model = model

    async def _set_faults(self, incoming: IncomingRequest, reply: Reply) -> None:
        self.apply_faults(msgspec.json.decode(incoming.body, type=Faults))
        self._send_json(reply, self.faults)

    async def _leave(self, incoming: IncomingRequest, reply: Reply) -> None:
        self.state = "leaving"
        self.report = self._make_report()
        self._send_json(reply, {"state": self.state})

    async def _audit(self, incoming: IncomingRequest, reply: Reply) -> None:
        self._send_json(reply, self.audit())

    def audit(self) -> Audit:
        """What the engine finds out about itself."""
        return audit_of(self.model, self.stale_orders)

    async def _report_forever(self) -> None:
        while True:
            self.report = self._make_report()
            await asyncio.sleep(max(0.02, self.options.report_lag))
            await self.thawed.wait()

    def _make_report(self) -> LoadReport:
        model, totals = self.model, self.model.totals
        return LoadReport(
            incarnation=self.incarnation,
            state=self.state,
            model=self.served_model,
            role=self.role,
            made_at=steady_now() - self.started,
            blocks=self.options.shape.blocks,
            block_tokens=self.options.shape.block_tokens,
            chunk_tokens=self.options.shape.chunk_tokens,
            blocks_held=model.held_blocks(),
            queued_prefill_tokens=model.queued_prefill_tokens(),
            queued_by_priority=model.queued_by_priority(),
            running=len(model.running),
            waiting=len(model.waiting),
            steps=totals.steps,
            busy_seconds=totals.busy_seconds,
            prefill_tokens=totals.prefill_tokens,
            decode_tokens=totals.decode_tokens,
            context_tokens=totals.context_tokens,
            cache_sequence=model.cache_events[-1][0] if model.cache_events else 0,
            fence=self.fence,
            order_age=steady_now() - self.ordered_at,
            adapters=self.adapters,
            held=held_work(model),
        )


def engine(
    address: str,
    model: str,
    role: str = "mixed",
    checks_fences: bool = True,
    blocks: int = SHAPE.blocks,
    prefill_per_token: float = SHAPE.prefill_per_token,
    report_lag: float = 0.2,
) -> ParsedCommand:
    """Run a stand-in engine on IP:port that serves a model."""
    shape = EngineShape(blocks=blocks, prefill_per_token=prefill_per_token)
    options = EngineOptions(
        model=model, role=role, checks_fences=checks_fences, report_lag=report_lag, shape=shape
    )

    async def work(reactor: Any) -> int:
        stop = stop_on_signals()
        served = Engine(reactor, options)
        bound = await served.start(parse_endpoint(address))
        print(f"pondpin-engine ready on {bound}", flush=True)
        await stop.wait()
        await served.stop()
        return 0

    return ParsedCommand(lambda: run(work))


def main() -> None:
    """Entry point of pondpin-engine."""
    run_command(engine, "pondpin-engine")


if __name__ == "__main__":
    main()
