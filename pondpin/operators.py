"""The operators' side: health, metrics, what is in force, explanations, drain."""

import asyncio
import hashlib
import hmac
from collections.abc import Callable
from typing import Protocol

import msgspec
from absl import logging

from pondpin.calls import Snapshot
from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.controllers.configuration import ConfigurationStore
from pondpin.controllers.peers import PeerPort, PeerRegistry
from pondpin.decisions import Decision, DecisionLog
from pondpin.errors import PeerUnreachableError, PondpinError
from pondpin.fleet import Fleet, UpstreamState
from pondpin.http_reply import IncomingRequest, Reply
from pondpin.http_server import WebServer
from pondpin.identity import Identity
from pondpin.invariants import INVARIANTS
from pondpin.ledger import Ledger
from pondpin.limit_slots import InstancePosition
from pondpin.metrics import Metrics
from pondpin.positions import epoch_of, revision_of
from pondpin.scheduler import Scheduler
from pondpin.settings import Operator
from pondpin.wire.peer_pb2 import ExplainRequest

EXPLAIN_LIMIT = 20
ASK_SECONDS = 2.0


class PeerRow(msgspec.Struct, frozen=True):
    """A peer as this instance knows it; heard_ago is in seconds, -1 for never."""

    name: str
    address: str
    data_center: str
    incarnation: int
    epoch: int
    revision: int
    alive: bool
    ready: bool
    draining: bool
    listed: str
    heard_ago: float


class StatusAnswer(msgspec.Struct, frozen=True):
    """Answer of GET /v1/status."""

    instance: str
    incarnation: int
    data_center: str
    epoch: int
    revision: int
    floor: int
    refused_revision: int
    left_out_epoch: int
    left_out_revision: int
    refused_faults: str
    ready: bool
    draining: bool
    platform_answers: bool
    open_calls: int
    queued: int
    blocks_held: int
    invariant_breaches: dict[str, int]
    peers: tuple[PeerRow, ...]


class UpstreamRow(msgspec.Struct, frozen=True):
    """An upstream as this instance knows it; costs are in seconds."""

    name: str
    kind: str
    address: str
    labels: dict[str, str]
    in_service: bool
    why_not: str
    incarnation: int
    report_age: float
    blocks: int
    blocks_held: int
    queued_tokens: int
    running: int
    own_work: int
    open_calls: int
    step_base: float
    prefill_per_token: float
    decode_per_sequence: float
    prefix_blocks: int
    prefix_trust: float


class Lifecycle(Protocol):
    """Whether the instance is ready or draining, and the way to change that."""

    @property
    def ready(self) -> bool:
        """Whether the balancer should send calls."""
        ...

    @property
    def draining(self) -> bool:
        """Whether a planned stop has begun."""
        ...

    def drain(self) -> None:
        """Stop being ready; calls in flight go on."""
        ...

    def undrain(self) -> None:
        """Be ready again."""
        ...


class OperatorGate:
    """Checks operators' tokens and rights."""

    def __init__(self, operators: tuple[Operator, ...]) -> None:
        self._operators = operators

    def check(self, incoming: IncomingRequest, act: bool) -> str:
        """The operator's name; raises PondpinError with OPERATOR_DENIED."""
        if not self._operators:
            return "anyone"
        _, _, token = incoming.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode("utf-8", "replace")).hexdigest()
        for operator in self._operators:
            if hmac.compare_digest(operator.token_sha256, digest):
                if act and not operator.may_act:
                    raise PondpinError(Code.OPERATOR_DENIED, f"{operator.name} may only read")
                return operator.name
        raise PondpinError(Code.OPERATOR_DENIED, "the operator's token is missing or unknown")


class Operators:
    """Serves operators over HTTP."""

    def __init__(
        self,
        identity: Identity,
        gate: OperatorGate,
        lifecycle: Lifecycle,
        store: ConfigurationStore,
        fleet: Fleet,
        scheduler: Scheduler,
        ledger: Ledger,
        decisions: DecisionLog,
        book: PeerRegistry,
        peers: PeerPort,
        metrics: Metrics,
        platform_answers: Callable[[], bool],
        open_calls: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._gate = gate
        self._lifecycle = lifecycle
        self._store = store
        self._fleet = fleet
        self._scheduler = scheduler
        self._ledger = ledger
        self._decisions = decisions
        self._book = book
        self._peers = peers
        self._metrics = metrics
        self._platform_answers = platform_answers
        self._open_calls = open_calls
        self._clock = clock

    def attach(self, server: WebServer) -> None:
        """Serve the operators' paths."""
        server.route("/healthz", self._health)
        server.route("/readyz", self.show_ready)
        server.route("/metrics", self._show_metrics)
        server.route("/v1/status", self._status)
        server.route("/v1/upstreams", self._upstreams)
        server.route("/v1/configuration", self._configuration)
        server.route("/v1/explain", self._explain)
        server.route("/v1/drain", self._drain)
        server.route("/v1/undrain", self._undrain)

    async def _health(self, incoming: IncomingRequest, reply: Reply) -> None:
        reply.send(200, {"content-type": "text/plain"}, b"ok\n")

    async def show_ready(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Answer the balancer: 200 when ready, 503 when not."""
        if self._lifecycle.ready:
            reply.send(200, {"content-type": "text/plain"}, b"ready\n")
        else:
            reply.send(503, {"content-type": "text/plain"}, b"not ready\n")

    async def _show_metrics(self, incoming: IncomingRequest, reply: Reply) -> None:
        content, headers = self._metrics.render(incoming.headers.get("accept", ""))
        reply.send(200, headers, content)

    async def _status(self, incoming: IncomingRequest, reply: Reply) -> None:
        self._gate.check(incoming, act=False)
        reply.send_json(self.status())

    def status(self) -> StatusAnswer:
        """What is in force here."""
        refused = self._store.rejected
        return StatusAnswer(
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            data_center=self._identity.data_center,
            epoch=epoch_of(self._store.revision),
            revision=revision_of(self._store.revision),
            floor=revision_of(self._store.floor),
            refused_revision=revision_of(refused.revision) if refused is not None else 0,
            left_out_epoch=epoch_of(self._store.ignored_position),
            left_out_revision=revision_of(self._store.ignored_position),
            refused_faults=refused.faults if refused is not None else "",
            ready=self._lifecycle.ready,
            draining=self._lifecycle.draining,
            platform_answers=self._platform_answers(),
            open_calls=self._open_calls(),
            queued=self._scheduler.queue.size,
            blocks_held=self._ledger.held_blocks,
            invariant_breaches=dict(INVARIANTS.breaches_by_name),
            peers=self._peer_rows(),
        )

    def _peer_rows(self) -> tuple[PeerRow, ...]:
        now = self._clock()
        alive = {peer.name for peer in self._book.live_peers()}
        return tuple(
            PeerRow(
                name=peer.name,
                address=peer.address,
                data_center=peer.data_center,
                incarnation=peer.incarnation,
                epoch=epoch_of(peer.revision),
                revision=revision_of(peer.revision),
                alive=peer.name in alive,
                ready=peer.ready,
                draining=peer.draining,
                listed=peer.listed,
                heard_ago=round(now - peer.heard_at, 3) if peer.heard_at else -1.0,
            )
            for _, peer in sorted(self._book.table.items())
        )

    async def _upstreams(self, incoming: IncomingRequest, reply: Reply) -> None:
        self._gate.check(incoming, act=False)
        now = self._clock()
        rows = [self._row(state, now) for _, state in sorted(self._fleet.by_name.items())]
        reply.send_json(rows)

    def _row(self, state: UpstreamState, now: float) -> UpstreamRow:
        report, costs = state.report, state.costs.costs
        why_not = _find_why_not(state, self._fleet.sharer(), now)
        return UpstreamRow(
            name=state.name,
            kind=state.upstream.kind.value,
            address=state.upstream.address,
            labels=state.labels,
            in_service=not why_not,
            why_not=why_not,
            incarnation=state.incarnation,
            report_age=round(now - state.heard_at, 3) if state.heard_at else -1.0,
            blocks=report.blocks if report is not None else 0,
            blocks_held=report.blocks_held if report is not None else 0,
            queued_tokens=report.queued_prefill_tokens if report is not None else 0,
            running=report.running if report is not None else 0,
            own_work=len(state.work_by_key),
            open_calls=state.open_calls,
            step_base=costs.base,
            prefill_per_token=costs.prefill,
            decode_per_sequence=costs.decode,
            prefix_blocks=len(state.prefixes.blocks),
            prefix_trust=round(state.prefixes.trust, 3),
        )

    async def _configuration(self, incoming: IncomingRequest, reply: Reply) -> None:
        self._gate.check(incoming, act=False)
        snapshot: Snapshot | None = self._store.snapshot
        if snapshot is None:
            raise PondpinError(Code.NOT_READY, retry_after=1.0)
        headers = {
            "content-type": "application/json",
            "pondpin-revision": str(revision_of(snapshot.revision)),
        }
        reply.send(200, headers, self._store.document)

    async def _explain(self, incoming: IncomingRequest, reply: Reply) -> None:
        self._gate.check(incoming, act=False)
        asked = incoming.query
        request = ExplainRequest(
            request=asked.get("request", ""),
            account=asked.get("account", ""),
            upstream=asked.get("upstream", ""),
            last_refused=asked.get("refused", "") == "yes",
            limit=int(asked["limit"]) if asked.get("limit", "").isdecimal() else EXPLAIN_LIMIT,
        )
        reply.send_json(await self._find(request))

    async def _find(self, request: ExplainRequest) -> list[Decision]:
        """Own records and, where they may be, those of peers."""
        own = self._decisions.find(
            request.request, request.account, request.upstream, request.last_refused, request.limit
        )
        if request.request and own:
            return own
        asked = self._book.live_peers()
        if request.request:
            giver = request.request.partition(".")[0]
            asked = [peer for peer in asked if peer.name == giver]
        answers = await asyncio.gather(*(self._ask(peer.address, request) for peer in asked))
        found = own + [decision for answer in answers for decision in answer]
        found.sort(key=lambda decision: decision.arrived, reverse=True)
        return found[: request.limit]

    async def _ask(self, address: str, request: ExplainRequest) -> list[Decision]:
        try:
            reply = await self._peers.explain(address, request, ASK_SECONDS)
        except PeerUnreachableError:
            return []
        return [msgspec.json.decode(record, type=Decision) for record in reply.records]

    async def _drain(self, incoming: IncomingRequest, reply: Reply) -> None:
        self._act(incoming, "drains")
        self._lifecycle.drain()
        reply.send_json({"draining": True})

    async def _undrain(self, incoming: IncomingRequest, reply: Reply) -> None:
        self._act(incoming, "undrains")
        self._lifecycle.undrain()
        reply.send_json({"draining": False})

    def _act(self, incoming: IncomingRequest, what: str) -> None:
        if incoming.method != "POST":
            raise PondpinError(Code.METHOD_NOT_ALLOWED)
        name = self._gate.check(incoming, act=True)
        logging.info("operator %s %s this instance", name, what)


def _find_why_not(state: UpstreamState, sharer: InstancePosition, now: float) -> str:
    """Why an upstream gets no new work; empty when it does."""
    if state.leaving:
        return "leaving"
    rest = state.standing.rest
    if rest is not None and now < rest.resume_at:
        return f"asked for rest, {rest.resume_at - now:.1f} s more"
    if state.health.is_ejected(now):
        return f"ejected for {state.health.ejected_until - now:.1f} s more"
    if state.turns is not None and not state.has_turn(sharer, now):
        return f"takes {state.turns.limit:g} a second from all instances"
    return "" if state.heard_at else "not heard from yet"
