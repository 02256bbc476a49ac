"""Quarantine of deadly requests, which crash the upstreams that run them.

An end is an upstream life that ended while it ran a request. It counts once against the request,
whichever instance observed it. After one end the request is suspected: it runs at one upstream at a
time, apart from others. Three quarantine it: it runs nowhere for a period, then in single trials at
growing intervals.

Most requests at an upstream that ends are innocent, so an end does not count against a request

- that had been answered there for a while or was in its prefill, when another had just begun;
- that shares it with a request that has more ends, which explain it;
- when many other lives ended at the same time, as in the loss of a rack or of a service's power;
- that has completed at some upstream recently, or does so later.

An end of a request that had not just begun doesn't suspect it, but three quarantine it.

The state is a set of ends by request and life, whose flags change one way only. So instances can
merge their sets in any order, and no end counts twice. Times are of the steady clock.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import xxhash

# The platform calls a request deadly from its third end on.
ENDS_TO_QUARANTINE = 3
# Fewer ends expire after this: an upstream crashes by itself every few minutes at worst.
SUSPICION_SECONDS = 600.0
# The first quarantine; each further end doubles it. It is many times an upstream's restart (3 s),
# so that a deadly request ends at most one upstream a minute.
QUARANTINE_SECONDS = 60.0
MAX_QUARANTINE_SECONDS = 3600.0
# After a quarantine the instances may run trials in turn at this interval, so that the end of one
# trial's upstream is broadcast before the next trial.
TRIAL_INTERVAL_SECONDS = 5.0
# Lives of a rack or a service that loses power end within this time; a deadly request takes 0.1 s
# and more from one upstream to the next.
CORRELATED_SECONDS = 0.35
# More other lives than this, and than this share of the service's, are a common failure.
CORRELATED_LIVES = 2
CORRELATED_SHARE = 0.25
# A completed request can't be suspected for this long; then upstreams' software may have changed.
SUCCESS_SECONDS = 30.0
# A suspect's run without a reported end expires: its instance has died.
RUN_TIMEOUT_SECONDS = 2.0
# A suspect's next run waits this long after its last end: by then every instance has reported the
# requests that it had there.
SETTLE_SECONDS = 0.06
# Other requests avoid a suspect's upstream for this long: a deadly request ends it within 0.2 s.
AVOID_SECONDS = 0.5
# A void end is kept for this long, so that a peer's older report doesn't restore it.
VOID_RETENTION_SECONDS = 60.0
# Memory bounds: 0.3 kB a suspect, 0.1 kB a completed request. Evicted first are void ends and
# suspects with the fewest others; the oldest first among equals.
MAX_SUSPECTS = 1000
MAX_ENDS = 12
MAX_SUCCESSES = 4096


class Verdict(enum.Enum):
    """Whether a request may run."""

    FREE = "free"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class LifeEnd:
    """An upstream's life that ended while it ran a request.

    release: ID of the software that ran there, 0 if unknown. unlikely: the request had not just
    begun to run: it had been answered there for a while, or was in its prefill. void: it does not
    count. settled: the upstream list confirms the end, or it is void. source: the observer.
    """

    life: int
    at: float
    release: int = 0
    unlikely: bool = False
    void: bool = False
    settled: bool = False
    source: str = ""

    def merge(self, other: "LifeEnd") -> "LifeEnd":
        """Combine two reports of the same end."""
        return replace(
            self,
            at=min(self.at, other.at),
            release=self.release or other.release,
            unlikely=self.unlikely and other.unlikely,
            void=self.void or other.void,
            settled=self.settled or other.settled,
        )


@dataclass(frozen=True, slots=True)
class Assessment:
    """A verdict with the ends that count; until: when a quarantine is over.

    failed_releases: software that the request has crashed; a trial needs other software.
    """

    verdict: Verdict
    ends: tuple[LifeEnd, ...] = ()
    until: float = 0.0
    failed_releases: frozenset[int] = frozenset()

    @property
    def earliest_run_at(self) -> float:
        """When a suspect may run at the earliest."""
        return self.ends[-1].at + SETTLE_SECONDS if self.ends else 0.0

    @property
    def allows_retry(self) -> bool:
        """Whether another upstream may be tried: after the first end only."""
        return len(self.ends) <= 1


FREE = Assessment(Verdict.FREE)


@dataclass(frozen=True, slots=True)
class AssessmentContext:
    """What a verdict depends on besides the ends.

    upstream_count: of the request's service. releases: software of these. trial_rank: how many
    instances may run trials before this one after a quarantine.
    """

    upstream_count: int = 0
    releases: frozenset[int] = frozenset()
    trial_rank: int = 0


def quarantine_seconds(ends: int) -> float:
    """Length of the quarantine of a request, by its number of ends."""
    further = ends - ENDS_TO_QUARANTINE
    return float(min(MAX_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2**further))


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """A run of a suspect at an upstream's life."""

    life: int
    started_at: float


@dataclass(frozen=True, slots=True)
class NamedEnd:
    """An end with the request that it counts against."""

    identity: int
    end: LifeEnd


@dataclass
class Quarantine:
    """The known ends, and the suspects that are running now."""

    ends_by_identity: dict[int, dict[int, LifeEnd]] = field(default_factory=dict)
    identities_by_life: dict[int, set[int]] = field(default_factory=dict)
    success_at_by_identity: OrderedDict[int, float] = field(default_factory=OrderedDict)
    runs_by_identity: dict[int, dict[str, SuspectRun]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._fingerprint: int | None = 0

    def record_end(self, identity: int, end: LifeEnd) -> bool:
        """Record an end observed here; True when it must be broadcast."""
        success_at = self.success_at_by_identity.get(identity)
        if success_at is not None and end.at - success_at < SUCCESS_SECONDS:
            return False
        return self._merge_end(identity, end)

    def merge_ends(self, reports: Iterable[NamedEnd], now: float) -> tuple[NamedEnd, ...]:
        """Merge a peer's ends; returns those that are void here, for the peer."""
        better = []
        for item in reports:
            if now >= _expires_at(len(self._valid_ends(item.identity)) + 1, item.end):
                continue
            known = self.ends_by_identity.get(item.identity, {}).get(item.end.life)
            if known is not None and known.void and not item.end.void:
                better.append(NamedEnd(item.identity, known))
            self._merge_end(item.identity, item.end)
        return tuple(better)

    def _merge_end(self, identity: int, end: LifeEnd) -> bool:
        ends = self.ends_by_identity.setdefault(identity, {})
        known = ends.get(end.life)
        merged = end if known is None else known.merge(end)
        if merged == known:
            return False
        ends[end.life] = merged
        self.identities_by_life.setdefault(end.life, set()).add(identity)
        self._fingerprint = None
        self._evict(identity)
        return known is None or known.void != merged.void

    def _evict(self, identity: int) -> None:
        ends = self.ends_by_identity[identity]
        if len(ends) > MAX_ENDS:
            self._remove_end(identity, min(ends.values(), key=lambda end: (not end.void, end.at)))
        if len(self.ends_by_identity) > MAX_SUSPECTS:
            self._remove(min(self.ends_by_identity, key=self._eviction_key))

    def _eviction_key(self, identity: int) -> tuple[int, float]:
        """Eviction order: the lowest first."""
        latest = max(end.at for end in self.ends_by_identity[identity].values())
        return len(self._valid_ends(identity)), latest

    def record_success(self, identity: int, now: float) -> tuple[NamedEnd, ...]:
        """Void the ends of a completed request; returns those that were valid."""
        self.success_at_by_identity[identity] = now
        self.success_at_by_identity.move_to_end(identity)
        if len(self.success_at_by_identity) > MAX_SUCCESSES:
            self.success_at_by_identity.popitem(last=False)
        return self.clear(identity)

    def clear(self, identity: int) -> tuple[NamedEnd, ...]:
        """Void all ends of a request; returns those that were valid."""
        valid = self._valid_ends(identity)
        return tuple(self.settle(identity, end.life, void=True) for end in valid)

    def settle(self, identity: int, life: int, void: bool = False) -> NamedEnd:
        """Mark an end as settled: the upstream list confirms it, or it is void."""
        known = self.ends_by_identity[identity][life]
        end = replace(known, void=known.void or void, settled=True)
        self.ends_by_identity[identity][life] = end
        self._fingerprint = None
        return NamedEnd(identity, end)

    def unsettled(self) -> tuple[NamedEnd, ...]:
        """Ends whose only evidence is a refused connection."""
        return tuple(
            NamedEnd(identity, end)
            for identity, ends in self.ends_by_identity.items()
            for end in ends.values()
            if not end.settled and not end.void
        )

    def assess(self, identity: int, now: float, context: AssessmentContext) -> Assessment:
        """Whether a request may run now."""
        ends = self._counted_ends(identity, context.upstream_count)
        if not ends:
            return FREE
        if len(ends) < ENDS_TO_QUARANTINE:
            likely = [end for end in ends if not end.unlikely]
            is_fresh = now - ends[-1].at < SUSPICION_SECONDS
            return Assessment(Verdict.SUSPECTED, ends) if likely and is_fresh else FREE
        return _assess_many(ends, now, context)

    def _counted_ends(self, identity: int, upstream_count: int) -> tuple[LifeEnd, ...]:
        """The ends that count against a request, in order of time."""
        valid = self._valid_ends(identity)
        own = {end.life for end in valid}
        counted = [
            end
            for end in valid
            if not self._is_explained(identity, end, len(valid))
            and not self._is_correlated(end, own, upstream_count)
        ]
        return tuple(sorted(counted, key=lambda end: end.at))

    def _is_explained(self, identity: int, end: LifeEnd, own_ends: int) -> bool:
        """Whether another request there is the more likely cause."""
        for other in self.identities_by_life.get(end.life, set()) - {identity}:
            theirs = self.ends_by_identity[other].get(end.life)
            if theirs is None or theirs.void:
                continue
            if end.unlikely and not theirs.unlikely:
                return True
            if not theirs.unlikely and len(self._valid_ends(other)) > own_ends:
                return True
        return False

    def _is_correlated(self, end: LifeEnd, own: set[int], upstream_count: int) -> bool:
        """Whether many lives without the request ended at the same time."""
        limit = max(CORRELATED_LIVES, CORRELATED_SHARE * upstream_count)
        others = 0
        for life, identities in self.identities_by_life.items():
            if life not in own and self._ended_near(life, identities, end.at):
                others += 1
        return others > limit

    def _ended_near(self, life: int, identities: Iterable[int], at: float) -> bool:
        """Whether a life ended about then without running a deadly request."""
        is_near = False
        for identity in identities:
            theirs = self.ends_by_identity[identity][life]
            if len(self._valid_ends(identity)) >= ENDS_TO_QUARANTINE:
                return False
            is_near = is_near or abs(theirs.at - at) <= CORRELATED_SECONDS
        return is_near

    def _valid_ends(self, identity: int) -> list[LifeEnd]:
        ends = self.ends_by_identity.get(identity, {})
        return [end for end in ends.values() if not end.void]

    def begin_run(self, identity: int, instance: str, life: int, now: float) -> None:
        """Record an instance's run of a suspect; idempotent."""
        runs = self.runs_by_identity.setdefault(identity, {})
        known = runs.get(instance)
        if known is None or known.life != life:
            runs[instance] = SuspectRun(life, now)

    def end_run(self, identity: int, instance: str) -> None:
        """Remove the run that ended."""
        runs = self.runs_by_identity.get(identity, {})
        runs.pop(instance, None)
        if not runs:
            self.runs_by_identity.pop(identity, None)

    def is_running(self, identity: int, now: float) -> bool:
        """Whether any instance runs a suspect."""
        runs = self.runs_by_identity.get(identity, {}).values()
        return any(now - run.started_at < RUN_TIMEOUT_SECONDS for run in runs)

    def avoided_lives(self, now: float) -> frozenset[int]:
        """Lives that a suspect was just sent to, so that they may end."""
        return frozenset(
            run.life
            for runs in self.runs_by_identity.values()
            for run in runs.values()
            if now - run.started_at < AVOID_SECONDS
        )

    def prune(self, now: float) -> None:
        """Remove expired ends and runs."""
        for identity, ends in list(self.ends_by_identity.items()):
            valid_count = len(self._valid_ends(identity))
            latest = max(ends.values(), key=lambda end: end.at)
            if now >= _expires_at(valid_count, latest):
                self._remove(identity)
        for identity, runs in list(self.runs_by_identity.items()):
            for instance, run in list(runs.items()):
                if now - run.started_at >= RUN_TIMEOUT_SECONDS:
                    self.end_run(identity, instance)

    def _remove(self, identity: int) -> None:
        for end in list(self.ends_by_identity[identity].values()):
            self._remove_end(identity, end)
        del self.ends_by_identity[identity]

    def _remove_end(self, identity: int, end: LifeEnd) -> None:
        del self.ends_by_identity[identity][end.life]
        identities = self.identities_by_life[end.life]
        identities.discard(identity)
        if not identities:
            del self.identities_by_life[end.life]
        self._fingerprint = None

    def top_ends(self, limit: int) -> tuple[NamedEnd, ...]:
        """The ends of the requests with most ends, then of the latest."""
        ordered = sorted(self.ends_by_identity, key=self._eviction_key, reverse=True)
        found = (
            NamedEnd(identity, end) for identity in ordered for end in self._valid_ends(identity)
        )
        return tuple(item for item, _ in zip(found, range(limit), strict=False))

    @property
    def fingerprint(self) -> int:
        """Hash of the ends that are not void; 0 for none."""
        if self._fingerprint is None:
            names = sorted(
                f"{identity}@{end.life}"
                for identity in self.ends_by_identity
                for end in self._valid_ends(identity)
            )
            self._fingerprint = xxhash.xxh64_intdigest(",".join(names).encode()) if names else 0
        return self._fingerprint


def _assess_many(ends: tuple[LifeEnd, ...], now: float, context: AssessmentContext) -> Assessment:
    """Quarantine a request with enough ends, or allow a trial."""
    until = ends[-1].at + quarantine_seconds(len(ends))
    if now >= until + context.trial_rank * TRIAL_INTERVAL_SECONDS:
        return Assessment(Verdict.SUSPECTED, ends, until)
    failed = frozenset(end.release for end in ends)
    if context.trial_rank == 0 and 0 not in failed and context.releases - failed:
        # One instance runs a trial on new software.
        return Assessment(Verdict.SUSPECTED, ends, until, failed)
    return Assessment(Verdict.QUARANTINED, ends, until)


def _expires_at(valid_count: int, latest: LifeEnd) -> float:
    """When a request expires: with a quarantine, some time after twice its length."""
    if not valid_count:
        return latest.at + VOID_RETENTION_SECONDS
    if valid_count < ENDS_TO_QUARANTINE:
        return latest.at + SUSPICION_SECONDS
    return latest.at + 2 * quarantine_seconds(valid_count) + SUSPICION_SECONDS


TrialRank = Callable[[int], int]


def compute_trial_rank(identity: int, instance: str, peers: Iterable[str]) -> int:
    """How many live peers precede an instance in an order by request."""
    own = _rank_hash(identity, instance)
    return sum(_rank_hash(identity, peer) < own for peer in peers)


def _rank_hash(identity: int, instance: str) -> int:
    return xxhash.xxh64_intdigest(f"{identity}/{instance}".encode())
