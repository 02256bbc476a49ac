"""The callers' side: paths, call ids, the filter chain, and the sending of answers."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import msgspec
from absl import logging

from pondpin.answer_writers import REQUEST_HEADER
from pondpin.calls import Call, CallKind, Outcome, Proceed, Snapshot
from pondpin.clocks import Clock, WallClock
from pondpin.codes import Code, Ran
from pondpin.decisions import Decision, DecisionLog, Ended
from pondpin.errors import PondpinError
from pondpin.filters.at_most_once import NEXT_TOKEN_HEADER, TokenIssuer
from pondpin.filters.authentication import AuthenticationFilter
from pondpin.http_reply import IncomingRequest, Reply
from pondpin.http_server import IDEMPOTENCY_HEADERS, WebServer
from pondpin.identity import Identity
from pondpin.interface_metrics import InterfaceMetrics
from pondpin.invariants import INVARIANTS

RAN_HEADER = "pondpin-ran"
INCARNATION_DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"
SERVICE_PREFIX = "/v1/services/"
MAX_TOKENS_AT_ONCE = 100
GAP_MIN_TOKENS = 2
# An ended request may wait this long for the event loop before its end is noted, in seconds.
DEADLINE_MARGIN = 0.5


class TokenBatch(msgspec.Struct, frozen=True):
    """Answer of POST /v1/tokens."""

    tokens: tuple[str, ...]


def short_number(number: int) -> str:
    """A number in base 36."""
    digits = ""
    while number:
        number, digit = divmod(number, len(INCARNATION_DIGITS))
        digits = INCARNATION_DIGITS[digit] + digits
    return digits or "0"


def _cancel(task: "asyncio.Task[Outcome]") -> None:
    task.cancel()


class CallIds:
    """Ids of calls: the instance's name, its incarnation and a number, so that ids never recur."""

    def __init__(self, identity: Identity) -> None:
        self._prefix = f"{identity.instance}.{short_number(identity.incarnation)}"
        self._numbers = itertools.count(1)

    def next(self) -> str:
        """A new id."""
        return f"{self._prefix}.{next(self._numbers)}"


def instance_of(request: str) -> str:
    """The instance that gave an id."""
    return request.partition(".")[0]


@dataclass
class Callers:
    """Takes calls off HTTP and sends them through the filter chain."""

    identity: Identity
    chain: Proceed
    identify: AuthenticationFilter
    issuer: TokenIssuer
    metrics: InterfaceMetrics
    decisions: DecisionLog
    snapshot: Callable[[], Snapshot | None]
    resume: Callable[[IncomingRequest, Reply, Snapshot, str], Awaitable[None]]
    clock: Clock
    wall_clock: WallClock

    def __post_init__(self) -> None:
        """Set up the counters."""
        self.ids = CallIds(self.identity)
        self.open_calls = 0
        self.serving: set[asyncio.Task[Outcome]] = set()
        self.stopping = False

    def attach(self, server: WebServer) -> None:
        """Serve the callers' paths."""
        server.route("/v1/completions", self._completions)
        server.route("/v1/chat/completions", self._chat)
        server.route("/v1/resume", self._resume)
        server.route("/v1/tokens", self._tokens)
        server.route(SERVICE_PREFIX, self._service)

    async def _completions(self, incoming: IncomingRequest, reply: Reply) -> None:
        await self._complete(incoming, reply, CallKind.COMPLETION)

    async def _chat(self, incoming: IncomingRequest, reply: Reply) -> None:
        await self._complete(incoming, reply, CallKind.CHAT)

    async def _complete(self, incoming: IncomingRequest, reply: Reply, kind: CallKind) -> None:
        if "last-event-id" in incoming.headers:
            await self._resume(incoming, reply)
            return
        if incoming.method != "POST":
            raise PondpinError(Code.METHOD_NOT_ALLOWED)
        await self._handle(self._make_call(incoming, reply, kind), stop_when_gone=True)

    async def _service(self, incoming: IncomingRequest, reply: Reply) -> None:
        service = incoming.path.removeprefix(SERVICE_PREFIX).partition("/")[0]
        call = replace(self._make_call(incoming, reply, CallKind.SERVICE), service=service)
        # A call that may have been sent is not given up with its caller: it ends, and is kept.
        await self._handle(call, stop_when_gone=False)

    def the_snapshot(self) -> Snapshot:
        """The configuration in force; raises PondpinError when there is none yet."""
        snapshot = self.snapshot()
        if snapshot is None:
            raise PondpinError(Code.NOT_READY, retry_after=1.0)
        return snapshot

    def make_forwarded(self, incoming: IncomingRequest) -> Call:
        """A call that a peer forwarded: its answer goes back to that peer."""
        return self._make_call(incoming, None, CallKind.SERVICE)

    def _make_call(self, incoming: IncomingRequest, reply: Reply | None, kind: CallKind) -> Call:
        snapshot = self.the_snapshot()
        identifier = self.ids.next()
        decision = Decision(
            request=identifier,
            instance=self.identity.instance,
            revision=snapshot.revision,
            arrived=self.wall_clock(),
            events=[],
        )
        self.decisions.add(decision)
        arrived = self.clock()
        return Call(identifier, kind, incoming, reply, snapshot, decision, arrived)

    async def _handle(self, call: Call, stop_when_gone: bool) -> None:
        """Run a call as a task of its own, so that a caller that leaves can end it."""
        task = asyncio.get_running_loop().create_task(self.run(call, self.chain))
        self.serving.add(task)
        task.add_done_callback(self.serving.discard)
        if stop_when_gone:
            call.the_reply.on_disconnect = lambda: _cancel(task)
        try:
            outcome = await task
        except asyncio.CancelledError:
            if self.stopping:
                self._send_stopped(call)
            return
        except PondpinError as error:
            if not call.the_reply.started:
                call.the_reply.send_error(error, call.id, self._next_token(call))
            return
        self._send(call, outcome)

    def _send_stopped(self, call: Call) -> None:
        """Answer a call that was cancelled as the instance stops: it may have been sent."""
        reply = call.the_reply
        if reply.started:
            reply.truncate()
            return
        error = PondpinError(Code.OUTCOME_UNKNOWN, "the instance stops", Ran.UNKNOWN)
        reply.send_error(error, call.id, self._next_token(call))

    async def run(self, call: Call, chain: Proceed) -> Outcome:
        """Send a call through a chain; count and record how it ends."""
        self.open_calls += 1
        try:
            outcome = await chain(call)
        except PondpinError as error:
            self._unsettle(call, error)
            self._note_end(call, Outcome(error.code, error.ran), error.detail)
            raise
        except asyncio.CancelledError:
            self._note_end(call, Outcome(Code.CALLER_GONE, Ran.UNKNOWN), "")
            raise
        except Exception as error:
            logging.exception("call %s failed", call.id)
            wrapped = PondpinError(Code.INTERNAL, type(error).__name__, Ran.UNKNOWN)
            self._note_end(call, Outcome(wrapped.code, wrapped.ran), wrapped.detail)
            raise wrapped from error
        finally:
            self.open_calls -= 1
        self._note_end(call, outcome, "")
        return outcome

    def _unsettle(self, call: Call, error: PondpinError) -> None:
        """Without the issuer's word, nothing is known of earlier tries of the same call."""
        repeats = any(name in call.incoming.headers for name in IDEMPOTENCY_HEADERS)
        if repeats and not error.covers_earlier_attempts and error.ran is Ran.NOT_RUN:
            error.ran = Ran.UNKNOWN

    def _send(self, call: Call, outcome: Outcome) -> None:
        if outcome.answer is None:
            return
        headers = outcome.headers | {
            "content-type": outcome.answer.content_type,
            RAN_HEADER: outcome.ran.value,
        }
        headers.setdefault(REQUEST_HEADER, call.id)
        headers |= self._next_token(call)
        call.the_reply.send(outcome.answer.status, headers, outcome.answer.body)

    def _next_token(self, call: Call) -> dict[str, str]:
        """A header with a new token, on answers to the calls of known accounts."""
        account = call.decision.account
        if call.kind is not CallKind.SERVICE or self.issuer.stopped or not account:
            return {}
        return {NEXT_TOKEN_HEADER: self.issuer.issue(account, call.snapshot.revision)}

    def _note_end(self, call: Call, outcome: Outcome, detail: str) -> None:
        now = self.clock()
        length_class = call.decision.length_class or "none"
        call.decision.events.append(
            Ended(now - call.arrived, int(outcome.code), outcome.code.name, detail, outcome.ran)
        )
        labels = {"class": length_class}
        code = str(int(outcome.code))
        self.metrics.requests.inc(labels | {"code": code, "ran": outcome.ran.value})
        self.metrics.duration.observe(labels, now - call.arrived)
        allowed = call.decision.allowed
        in_time = not allowed or now - call.arrived <= allowed + DEADLINE_MARGIN
        self.metrics.in_time.inc(labels | {"in_time": "yes" if in_time else "no"})
        INVARIANTS.check(in_time, "ended_by_its_deadline", call.id)
        if outcome.first_token is not None:
            self.metrics.ttft.observe(labels, outcome.first_token)
        if outcome.tokens >= GAP_MIN_TOKENS and outcome.last_token and outcome.first_token:
            span = outcome.last_token - outcome.first_token
            self.metrics.token_gap.observe(labels, span / (outcome.tokens - 1))
        if outcome.tokens:
            self.metrics.tokens.add(labels, outcome.tokens)

    async def _tokens(self, incoming: IncomingRequest, reply: Reply) -> None:
        if incoming.method != "POST":
            raise PondpinError(Code.METHOD_NOT_ALLOWED)
        snapshot = self.the_snapshot()
        account = self._account(incoming, snapshot)
        text = incoming.query.get("count", "1")
        if not text.isdecimal() or not 1 <= int(text) <= MAX_TOKENS_AT_ONCE:
            raise PondpinError(Code.INVALID_FIELD, f"count is 1 to {MAX_TOKENS_AT_ONCE}")
        tokens = [self.issuer.issue(account, snapshot.revision) for _ in range(int(text))]
        reply.send_json(TokenBatch(tuple(tokens)))

    async def _resume(self, incoming: IncomingRequest, reply: Reply) -> None:
        snapshot = self.the_snapshot()
        account = self._account(incoming, snapshot)
        # A planned stop waits for resumed streams too.
        self.open_calls += 1
        try:
            await self.resume(incoming, reply, snapshot, account)
        finally:
            self.open_calls -= 1

    def _account(self, incoming: IncomingRequest, snapshot: Snapshot) -> str:
        header = incoming.headers.get("authorization", "")
        account = self.identify.find_account(snapshot, header)
        if account is None:
            raise PondpinError(Code.UNKNOWN_KEY)
        return account
