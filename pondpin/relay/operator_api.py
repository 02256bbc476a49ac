"""The operators' API at a relaying instance's metrics address."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from pondpin.availability import Availability, BlockReason
from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.http_reply import IncomingRequest, Reply
from pondpin.metrics import Metrics
from pondpin.network import Endpoint
from pondpin.quarantine import Verdict
from pondpin.relay.attempts.crash_guard import CrashGuard
from pondpin.relay.lazy_components import PUBLISHED_PATH, QUARANTINE_PATH, UPSTREAMS_PATH
from pondpin.relay.published.publication import Publication
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.request_identity import format_identity
from pondpin.upstream_limits import MAX_LIMIT_NUMBER, limit_number

if TYPE_CHECKING:
    from pondpin.relay.peers.permit_issuer import PermitIssuer
    from pondpin.relay.peers.slot_enforcement import SlotEnforcement
    from pondpin.relay.published.evacuations import Evacuations
    from pondpin.relay.upstreams.cold_starts import ColdStarts

# Returns the permit issuer, which is loaded with the first limit of an upstream.
PermitIssuerSource = Callable[[], "PermitIssuer"]
# Returns the slots of contended upstreams, None until one has been contended.
SlotSource = Callable[[], "SlotEnforcement | None"]


class QuarantineLifted(msgspec.Struct, frozen=True):
    """A lifted quarantine; ends: the number of ended lives that no longer count."""

    identity: str
    ends: int


class HeldRequest(msgspec.Struct, frozen=True):
    """A suspected or quarantined request, or segment of prompts, by kind.

    seconds: the rest of its quarantine.
    """

    kind: str
    identity: str
    verdict: str
    ends: tuple[str, ...]
    seconds: float


class HeldRequests(msgspec.Struct, frozen=True):
    """All suspected and quarantined requests."""

    requests: tuple[HeldRequest, ...]


class UpstreamStatus(msgspec.Struct, frozen=True):
    """Whether an upstream gets requests.

    state: "takes requests", "takes some by permit", "cold", "leaves", "is evacuated", "rests",
    "comes back bit by bit", "ejected", "waits for its check" or "suspected by a peer". source, age
    and left: what reported the state, and the seconds since and until its end, -1 for unknown.
    limit: requests a second from all instances, reported or while it is cold, -1 for none; home:
    the instance that issues its permits; share: its part of the limit. contended: requests need
    one of its slots from their owner; slots_granted, slots_waiting: by this instance, -1 where it
    has not been asked for any. unreachable: the own links to it are lost, so that requests go
    through peers.
    """

    id: str
    service: str
    data_center: str
    life: str
    listed: str
    state: str
    source: str
    age: float
    left: float
    open_here: int
    limit: float = -1.0
    home: str = ""
    share: float = 0.0
    contended: bool = False
    slots_granted: int = -1
    slots_waiting: int = -1
    unreachable: bool = False


class OrderStatus(msgspec.Struct, frozen=True):
    """An order to evacuate a data centre; epoch, revision: of its write, as last seen.

    in_force: False if a restored copy has the order although it ended before.
    """

    data_center: str
    epoch: int
    revision: int
    in_force: bool


class PublishedStatus(msgspec.Struct, frozen=True):
    """The published values in force; ages are in seconds, -1 for none.

    version, epoch, revision: of the configuration. source_epoch: the highest seen; list_epoch: of
    the list in use. behind: how long a peer has had a newer configuration. evacuations: the orders
    to evacuate data centres.
    """

    version: int
    epoch: int
    revision: int
    proof_age: float
    behind: float
    source_epoch: int
    list_epoch: int
    list_age: float
    upstreams: int
    evacuations: tuple[OrderStatus, ...] = ()


class UpstreamStatuses(msgspec.Struct, frozen=True):
    """The status of all listed upstreams."""

    upstreams: tuple[UpstreamStatus, ...]


def held_requests(guard: CrashGuard) -> tuple[HeldRequest, ...]:
    """List the suspected and quarantined requests."""
    return tuple(
        HeldRequest(
            guard.quarantine.kind_of(identity).name.lower(),
            format_identity(identity),
            assessment.verdict.value,
            ends,
            seconds,
        )
        for identity in guard.quarantine.ends_by_identity
        for assessment, ends, seconds in (guard.records.describe(identity),)
        if assessment.verdict is not Verdict.FREE
    )


def upstream_statuses(
    table: UpstreamTable,
    issuer: PermitIssuerSource,
    slots: SlotSource,
    now: float,
    is_unreachable: Callable[[Endpoint], bool] = lambda upstream: False,
) -> UpstreamStatuses:
    """Show the status of every upstream."""
    found = slots()
    return UpstreamStatuses(
        tuple(
            _status_of(state, issuer, table.cold_starts, found, now, is_unreachable(state.endpoint))
            for state in table.by_id.values()
        )
    )


def published_status(
    publication: Publication, now: float, evacuations: "Evacuations | None" = None
) -> PublishedStatus:
    """Show the published values in force and their ages."""
    state = None if evacuations is None else evacuations.state
    orders = () if state is None else state.orders
    orders_in_force = () if evacuations is None else tuple(evacuations.in_force.values())
    in_force, proof = publication.in_force, publication.proof
    list_at = publication.list_at
    return PublishedStatus(
        version=in_force.version,
        epoch=in_force.epoch,
        revision=in_force.revision,
        proof_age=-1.0 if proof is None else round(proof.age(now), 3),
        behind=round(publication.behind_seconds(now), 3),
        source_epoch=publication.epoch,
        list_epoch=publication.list_epoch,
        list_age=-1.0 if list_at is None else round(now - list_at, 3),
        upstreams=publication.count_upstreams(),
        evacuations=tuple(
            OrderStatus(order.data_center, order.epoch, order.revision, order in orders_in_force)
            for order in orders
        ),
    )


def _status_of(
    state: UpstreamState,
    issuer: PermitIssuerSource,
    cold_starts: "ColdStarts | None",
    slots: "SlotEnforcement | None",
    now: float,
    is_unreachable: bool,
) -> UpstreamStatus:
    kind, source, age, left = _state_of(state, cold_starts, now)
    listed = state.listed
    owner = issuer().owner(state) if state.is_limited else None
    granted = None if slots is None else slots.owner.status(state.life)
    return UpstreamStatus(
        listed.id,
        listed.service,
        listed.data_center,
        f"{listed.life:x}",
        "leaving" if listed.leaving else "ready",
        kind,
        source,
        round(age, 2),
        round(left, 2),
        state.own_in_flight,
        min(MAX_LIMIT_NUMBER, state.limit),
        "" if owner is None else owner.instance,
        0.0 if owner is None else round(owner.share, 3),
        slots is not None and slots.contention.is_contended(state.life, now),
        -1 if granted is None else granted.granted,
        -1 if granted is None else granted.waiting,
        is_unreachable,
    )


def _state_of(
    state: UpstreamState, cold_starts: "ColdStarts | None", now: float
) -> tuple[str, str, float, float]:
    """The state, its source, its age and the seconds until its end."""
    standing, health = state.availability, state.health
    if standing.leaving is not None:
        return "leaves", standing.leaving.source, now - standing.leaving.at, -1.0
    reason = state.block_reason(now)
    if reason:
        return _blocked_state(standing, reason, now)
    if health.is_ejected(now):
        return "ejected", "attempts here", -1.0, health.ejected_until - now
    if state.needs_probe:
        return "waits for its check", "attempts here", -1.0, -1.0
    if now < state.suspected_until:
        return "suspected by a peer", "a peer", -1.0, state.suspected_until - now
    return _accepting_state(state, cold_starts, now)


def _blocked_state(
    standing: Availability, reason: BlockReason, now: float
) -> tuple[str, str, float, float]:
    rest = standing.rest
    if reason is BlockReason.EVACUATED or rest is None:
        return reason.value, "an operator", -1.0, -1.0
    # The slow start after an evacuation follows a rest of no length.
    source = "its answer" if rest.until > rest.received_at else "an operator"
    return reason.value, source, now - rest.received_at, max(0.0, rest.resume_at - now)


def _accepting_state(
    state: UpstreamState, cold_starts: "ColdStarts | None", now: float
) -> tuple[str, str, float, float]:
    if state.is_cold and cold_starts is not None:
        statement = cold_starts.statement_by_life[state.life]
        return "cold", statement.source, now - statement.latest, statement.until - now
    stated = state.availability.limit
    if stated is None or stated.limit is None:
        return "takes requests", "", -1.0, -1.0
    return "takes some by permit", stated.source, now - stated.received_at, -1.0


@dataclass
class OperatorApi:
    """Handles operators' requests; created at the first one."""

    table: UpstreamTable
    publication: Publication
    metrics: Metrics
    crash_guard: CrashGuard
    permit_issuer: PermitIssuerSource
    slots: SlotSource
    clock: Clock
    evacuations: "Evacuations | None" = None
    is_unreachable: Callable[[Endpoint], bool] = lambda upstream: False

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Dispatch a request by its path."""
        if incoming.path.startswith(QUARANTINE_PATH):
            self._show_or_lift(incoming, reply)
        elif incoming.path.startswith(UPSTREAMS_PATH):
            statuses = upstream_statuses(
                self.table, self.permit_issuer, self.slots, self.clock(), self.is_unreachable
            )
            reply.send_json(statuses)
        elif incoming.path.startswith(PUBLISHED_PATH):
            reply.send_json(published_status(self.publication, self.clock(), self.evacuations))
        else:
            self._show_metrics(incoming, reply)

    def _show_metrics(self, incoming: IncomingRequest, reply: Reply) -> None:
        states, now, metrics = self.table.by_id.values(), self.clock(), self.metrics
        metrics.upstreams_leaving.set({}, sum(state.leaving for state in states))
        metrics.upstreams_resting.set({}, sum(_is_resting(state, now) for state in states))
        metrics.upstreams_cold.set({}, sum(state.is_cold for state in states))
        contention = self.table.contention
        contended = [] if contention is None else contention.lives(now)
        metrics.upstreams_contended.set({}, len(contended))
        self._set_limits([state for state in states if state.is_limited])
        content, headers = metrics.render(incoming.headers.get("accept", ""))
        reply.send(200, headers, content)

    def _set_limits(self, limited: list[UpstreamState]) -> None:
        named = [state for state in limited if limit_number(state.availability.limit) >= 0]
        self.metrics.upstreams_limited.set({}, len(named))
        for state in limited:
            labels = {"upstream": state.id}
            issuer = self.permit_issuer()
            self.metrics.upstream_limit.set(labels, min(MAX_LIMIT_NUMBER, state.limit))
            rate = issuer.rate(state) if issuer.is_owner(state) else 0.0
            self.metrics.upstream_permits.set(labels, rate)

    def _show_or_lift(self, incoming: IncomingRequest, reply: Reply) -> None:
        if incoming.method == "GET":
            reply.send_json(HeldRequests(held_requests(self.crash_guard)))
            return
        if incoming.method != "DELETE":
            raise PondpinError(Code.METHOD_NOT_ALLOWED)
        name = incoming.path.removeprefix(QUARANTINE_PATH).strip("/")
        try:
            identity = int(name, 16)
        except ValueError:
            raise PondpinError(Code.INVALID_FIELD, f"{name!r} is not a request identity") from None
        reply.send_json(QuarantineLifted(name, self.crash_guard.records.lift(identity)))


def _is_resting(state: UpstreamState, now: float) -> bool:
    rest = state.availability.rest
    return rest is not None and now < rest.resume_at
