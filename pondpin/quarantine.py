"""Quarantine of deadly requests and segments, which crash the upstreams that run them.

An end is an upstream life that ended while it ran a request. It counts against features of that
request: the whole request, and each segment that its prompt shares with others. It counts once per
feature, whichever instance observed it. Features are opaque digests; `pondpin.quarantine_rules`
decides which ends count against a feature, and what follows.

The state is a set of ends by feature and life, whose flags change one way only. So instances can
merge their sets in any order, and no end counts twice. Times are of the steady clock.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence
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
# The first quarantines of a segment are short, since others may need it and no retry clears it. Two
# trials more are within what the platform tolerates.
SEGMENT_QUARANTINE_SECONDS = (2.0, 10.0)
# A completed request can't be suspected for this long; then upstreams' software may have changed.
# Segments have no such protection.
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


class FeatureKind(enum.IntEnum):
    """What a feature identifies; the number is sent to peers."""

    REQUEST = 0
    SEGMENT = 1


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
    count. settled: the upstream list confirms the end, or it is void. source: the observer. kind:
    of the feature that it counts against. trial: the feature was suspected, and its request ran
    alone.
    """

    life: int
    at: float
    release: int = 0
    unlikely: bool = False
    void: bool = False
    settled: bool = False
    source: str = ""
    kind: FeatureKind = FeatureKind.REQUEST
    trial: bool = False

    def merge(self, other: "LifeEnd") -> "LifeEnd":
        """Combine two reports of the same end."""
        return replace(
            self,
            at=min(self.at, other.at),
            release=self.release or other.release,
            unlikely=self.unlikely and other.unlikely,
            void=self.void or other.void,
            settled=self.settled or other.settled,
            trial=self.trial or other.trial,
        )


@dataclass(frozen=True, slots=True)
class Assessment:
    """A verdict with the ends that count; until: when a quarantine is over.

    failed_releases: software that the request has crashed; a trial needs other software. features:
    those of the request that have the verdict. earliest_run_at: when a suspect may run.
    """

    verdict: Verdict
    ends: tuple[LifeEnd, ...] = ()
    until: float = 0.0
    failed_releases: frozenset[int] = frozenset()
    features: tuple[int, ...] = ()
    earliest_run_at: float = 0.0

    @property
    def allows_retry(self) -> bool:
        """Whether another upstream may be tried: after the first end only."""
        return len(self.ends) <= 1


FREE = Assessment(Verdict.FREE)


@dataclass(frozen=True, slots=True)
class AssessmentContext:
    """What a verdict depends on besides the ends.

    upstream_count: of the request's service. releases: software of these. trial_rank: how many
    instances may run trials before this one after a quarantine. recent_requests: a sample of this
    instance's requests with segments; recent_by_segment: how many of them have a segment.
    """

    upstream_count: int = 0
    releases: frozenset[int] = frozenset()
    trial_rank: int = 0
    recent_requests: int = 0
    recent_by_segment: Mapping[int, int] = field(default_factory=dict)


def quarantine_seconds(ends: int, kind: FeatureKind = FeatureKind.REQUEST) -> float:
    """Length of a quarantine, by the number of ends."""
    further = ends - ENDS_TO_QUARANTINE
    if kind is FeatureKind.SEGMENT:
        if further < len(SEGMENT_QUARANTINE_SECONDS):
            return SEGMENT_QUARANTINE_SECONDS[further]
        further -= len(SEGMENT_QUARANTINE_SECONDS)
    return float(min(MAX_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2**further))


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """A run of a suspect at an upstream's life."""

    life: int
    started_at: float


@dataclass(frozen=True, slots=True)
class NamedEnd:
    """An end with the feature that it counts against."""

    identity: int
    end: LifeEnd


@dataclass
class Quarantine:
    """The known ends, and the suspects that are running now."""

    ends_by_identity: dict[int, dict[int, LifeEnd]] = field(default_factory=dict)
    identities_by_life: dict[int, set[int]] = field(default_factory=dict)
    success_at_by_identity: OrderedDict[int, float] = field(default_factory=OrderedDict)
    runs_by_identity: dict[int, dict[str, SuspectRun]] = field(default_factory=dict)
    # When answers last began on a segment that did not end their upstreams.
    exonerated_at_by_segment: OrderedDict[int, float] = field(default_factory=OrderedDict)
    # Segments with ends, void ones too.
    segments: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._fingerprint: int | None = 0

    def record_end(self, identity: int, end: LifeEnd) -> bool:
        """Record an end observed here; True when it must be broadcast."""
        success_at = self.success_at_by_identity.get(identity)
        if success_at is not None and end.at - success_at < SUCCESS_SECONDS:
            return False
        if self._is_exonerated(identity, end):
            return False
        return self._merge_end(identity, end)

    def _is_exonerated(self, feature: int, end: LifeEnd) -> bool:
        """Whether answers have begun on a segment since an end."""
        return self.exonerated_at_by_segment.get(feature, float("-inf")) > end.at

    def merge_ends(self, reports: Iterable[NamedEnd], now: float) -> tuple[NamedEnd, ...]:
        """Merge a peer's ends; returns those that are void here, for the peer."""
        better = []
        for item in reports:
            if now >= _expires_at(len(self.valid_ends(item.identity)) + 1, item.end):
                continue
            known = self.ends_by_identity.get(item.identity, {}).get(item.end.life)
            if known is not None and known.void and not item.end.void:
                better.append(NamedEnd(item.identity, known))
            self._merge_end(item.identity, item.end)
            if known is None and not item.end.void and self._is_exonerated(item.identity, item.end):
                better.append(self.settle(item.identity, item.end.life, void=True))
        return tuple(better)

    def _merge_end(self, identity: int, end: LifeEnd) -> bool:
        ends = self.ends_by_identity.setdefault(identity, {})
        known = ends.get(end.life)
        merged = end if known is None else known.merge(end)
        if merged == known:
            return False
        ends[end.life] = merged
        self.identities_by_life.setdefault(end.life, set()).add(identity)
        if merged.kind is FeatureKind.SEGMENT:
            self.segments.add(identity)
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
        return len(self.valid_ends(identity)), latest

    def record_success(self, identity: int, now: float) -> tuple[NamedEnd, ...]:
        """Void the ends of a completed request; returns those that were valid."""
        self.success_at_by_identity[identity] = now
        self.success_at_by_identity.move_to_end(identity)
        if len(self.success_at_by_identity) > MAX_SUCCESSES:
            self.success_at_by_identity.popitem(last=False)
        return self.clear(identity)

    def exonerate(self, segments: Iterable[int], since: float) -> tuple[NamedEnd, ...]:
        """Void the ends of segments on which an answer began later; returns those that were valid.

        since: when the answer began, of a run that has not ended its upstream.
        """
        voided: list[NamedEnd] = []
        for segment in segments:
            known = self.exonerated_at_by_segment.get(segment, since)
            self.exonerated_at_by_segment[segment] = max(known, since)
            self.exonerated_at_by_segment.move_to_end(segment)
            for end in self.valid_ends(segment):
                if end.at < since:
                    voided.append(self.settle(segment, end.life, void=True))
        while len(self.exonerated_at_by_segment) > MAX_SUCCESSES:
            self.exonerated_at_by_segment.popitem(last=False)
        return tuple(voided)

    def clear(self, identity: int) -> tuple[NamedEnd, ...]:
        """Void all ends of a request; returns those that were valid."""
        valid = self.valid_ends(identity)
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

    def assess(
        self,
        identity: int,
        now: float,
        context: AssessmentContext,
        segments: Sequence[int] = (),
    ) -> Assessment:
        """Whether a request may run now, by the worst of its features."""
        if identity not in self.ends_by_identity and self.segments.isdisjoint(segments):
            return FREE
        from pondpin.quarantine_rules import assess_request

        return assess_request(self, identity, tuple(segments), now, context)

    def assess_feature(self, feature: int, now: float, context: AssessmentContext) -> Assessment:
        """The verdict on a single feature."""
        if feature in self.segments:
            from pondpin.quarantine_rules import assess_segment

            return assess_segment(self, feature, (feature,), now, context)
        return self.assess(feature, now, context)

    def void_count(self, feature: int) -> int:
        """How many ends of a feature don't count any more."""
        return sum(end.void for end in self.ends_by_identity.get(feature, {}).values())

    def kind_of(self, feature: int) -> FeatureKind:
        """The kind of a feature with ends."""
        return FeatureKind.SEGMENT if feature in self.segments else FeatureKind.REQUEST

    def valid_ends(self, identity: int) -> list[LifeEnd]:
        """The ends of a feature that are not void."""
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
            valid_count = len(self.valid_ends(identity))
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
        self.segments.discard(identity)

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
            NamedEnd(identity, end) for identity in ordered for end in self.valid_ends(identity)
        )
        return tuple(item for item, _ in zip(found, range(limit), strict=False))

    @property
    def fingerprint(self) -> int:
        """Hash of the ends that are not void; 0 for none."""
        if self._fingerprint is None:
            names = sorted(
                f"{identity}@{end.life}"
                for identity in self.ends_by_identity
                for end in self.valid_ends(identity)
            )
            self._fingerprint = xxhash.xxh64_intdigest(",".join(names).encode()) if names else 0
        return self._fingerprint


def _expires_at(valid_count: int, latest: LifeEnd) -> float:
    """When a request expires: with a quarantine, some time after twice its length."""
    if not valid_count:
        return latest.at + VOID_RETENTION_SECONDS
    if valid_count < ENDS_TO_QUARANTINE:
        return latest.at + SUSPICION_SECONDS
    return latest.at + 2 * quarantine_seconds(valid_count, latest.kind) + SUSPICION_SECONDS


TrialRank = Callable[[int], int]


def compute_trial_rank(identity: int, instance: str, peers: Iterable[str]) -> int:
    """How many live peers precede an instance in an order by request."""
    own = _rank_hash(identity, instance)
    return sum(_rank_hash(identity, peer) < own for peer in peers)


def _rank_hash(identity: int, instance: str) -> int:
    return xxhash.xxh64_intdigest(f"{identity}/{instance}".encode())
