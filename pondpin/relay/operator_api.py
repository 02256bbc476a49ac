"""What operators read and do at a relaying instance's metrics address."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.http_reply import Incoming, Reply
from pondpin.limits import told_limit
from pondpin.metrics import Metrics
from pondpin.quarantine import Verdict
from pondpin.relay.attempts.crash_guard import CrashGuard
from pondpin.relay.lazy_components import PUBLISHED_PATH, QUARANTINE_PATH, UPSTREAMS_PATH
from pondpin.relay.published.publication import Publication
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.request_identity import show

if TYPE_CHECKING:
    from pondpin.relay.peers.permit_issuer import PermitIssuer

# Gives the desk of permits, which is loaded with the first limit of an upstream.
PermitIssuerSource = Callable[[], "PermitIssuer"]


class QuarantineLifted(msgspec.Struct, frozen=True):
    """What lifting a request's quarantine changed: ends that counted and count no more."""

    identity: str
    ends: int


class HeldRequest(msgspec.Struct, frozen=True):
    """A request that is held back, as operators see it; seconds until its quarantine is over."""

    identity: str
    verdict: str
    ends: tuple[str, ...]
    seconds: float


class HeldRequests(msgspec.Struct, frozen=True):
    """The requests that are suspected or quarantined."""

    requests: tuple[HeldRequest, ...]


class UpstreamStatus(msgspec.Struct, frozen=True):
    """Why an upstream gets nothing new, if so, who said it, since when and for how much longer.

    state: "takes requests", "takes some by permit", "leaves", "rests", "comes back bit by bit",
    "ejected", "waits for its check" or "suspected by a peer"; age and left are in seconds, -1 where
    there are none. limit: requests a second that it takes from all instances, -1 for no limit;
    home: the instance that hands out its permits, and share the part of the limit that it may.
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


class PublishedStatus(msgspec.Struct, frozen=True):
    """What is in force of the published values; ages are in seconds, -1 where there are none.

    version, epoch and revision: the configuration's, as it was read last. source_epoch: the
    highest that was heard of; list_epoch: of the list in use. behind: for how long a peer has had a
    newer configuration.
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


class UpstreamStatuses(msgspec.Struct, frozen=True):
    """All listed upstreams."""

    upstreams: tuple[UpstreamStatus, ...]


def held_requests(guard: CrashGuard) -> tuple[HeldRequest, ...]:
    """The requests that are suspected or quarantined."""
    return tuple(
        HeldRequest(show(identity), judgement.verdict.value, told, seconds)
        for identity in guard.quarantine.ends_by_identity
        for judgement, told, seconds in (guard.records.describe(identity),)
        if judgement.verdict is not Verdict.FREE
    )


def upstream_statuses(
    states: Iterable[UpstreamState], desk: PermitIssuerSource, now: float
) -> UpstreamStatuses:
    """Every upstream as it stands."""
    return UpstreamStatuses(tuple(_show(state, desk, now) for state in states))


def published_status(publication: Publication, now: float) -> PublishedStatus:
    """What is in force, and how old the knowledge is."""
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
    )


def _show(state: UpstreamState, desk: PermitIssuerSource, now: float) -> UpstreamStatus:
    kind, source, age, left = _stands(state, now)
    listed = state.listed
    home = desk().owner(state) if state.is_limited else None
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
        told_limit(state.standing.limit),
        "" if home is None else home.instance,
        0.0 if home is None else round(home.share, 3),
    )


def _stands(state: UpstreamState, now: float) -> tuple[str, str, float, float]:
    """The state, its source, its age and what is left of it."""
    standing, health = state.standing, state.health
    if standing.leaving is not None:
        return "leaves", standing.leaving.source, now - standing.leaving.at, -1.0
    bar = state.bar(now)
    if bar and standing.rest is not None:
        left = max(0.0, standing.rest.back_at - now)
        return bar.value, "its answer", now - standing.rest.asked_at, left
    if health.is_ejected(now):
        return "ejected", "attempts here", -1.0, health.ejected_until - now
    if state.needs_probe:
        return "waits for its check", "attempts here", -1.0, -1.0
    if now < state.suspected_until:
        return "suspected by a peer", "a peer", -1.0, state.suspected_until - now
    return _takes(state, now)


def _takes(state: UpstreamState, now: float) -> tuple[str, str, float, float]:
    word = state.standing.limit
    if word is None or word.limit is None:
        return "takes requests", "", -1.0, -1.0
    return "takes some by permit", word.source, now - word.heard_at, -1.0


@dataclass
class OperatorApi:
    """Answers operators' calls; made with the first of them."""

    table: UpstreamTable
    publication: Publication
    metrics: Metrics
    guard: CrashGuard
    permit_issuer: PermitIssuerSource
    clock: Clock

    async def handle(self, incoming: Incoming, reply: Reply) -> None:
        """Answer a call by its path."""
        if incoming.path.startswith(QUARANTINE_PATH):
            self._show_or_lift(incoming, reply)
        elif incoming.path.startswith(UPSTREAMS_PATH):
            reply.send_json(
                upstream_statuses(self.table.by_id.values(), self.permit_issuer, self.clock())
            )
        elif incoming.path.startswith(PUBLISHED_PATH):
            reply.send_json(published_status(self.publication, self.clock()))
        else:
            self._show_metrics(incoming, reply)

    def _show_metrics(self, incoming: Incoming, reply: Reply) -> None:
        states, now, metrics = self.table.by_id.values(), self.clock(), self.metrics
        metrics.upstreams_leaving.set({}, sum(state.leaving for state in states))
        metrics.upstreams_resting.set({}, sum(_is_resting(state, now) for state in states))
        self._set_limits([state for state in states if state.is_limited])
        content, headers = metrics.render(incoming.headers.get("accept", ""))
        reply.send(200, headers, content)

    def _set_limits(self, limited: list[UpstreamState]) -> None:
        self.metrics.upstreams_limited.set({}, len(limited))
        for state in limited:
            labels = {"upstream": state.id}
            desk = self.permit_issuer()
            self.metrics.upstream_limit.set(labels, told_limit(state.standing.limit))
            rate = desk.rate(state) if desk.is_owner(state) else 0.0
            self.metrics.upstream_permits.set(labels, rate)

    def _show_or_lift(self, incoming: Incoming, reply: Reply) -> None:
        if incoming.method == "GET":
            reply.send_json(HeldRequests(held_requests(self.guard)))
            return
        if incoming.method != "DELETE":
            raise PondpinError(Code.METHOD_NOT_ALLOWED)
        name = incoming.path.removeprefix(QUARANTINE_PATH).strip("/")
        try:
            identity = int(name, 16)
        except ValueError:
            raise PondpinError(Code.INVALID_FIELD, f"{name!r} is no request's identity") from None
        reply.send_json(QuarantineLifted(name, self.guard.records.lift(identity)))


def _is_resting(state: UpstreamState, now: float) -> bool:
    rest = state.standing.rest
    return rest is not None and now < rest.back_at
