"""Requests that end the workers which run them: what proves it, and whether one may run.

Each life of an upstream that ended while a request was there counts once against that request,
whoever saw it. One end makes it suspect: it runs at one upstream at a time, apart from others.
Three quarantine it: it runs nowhere for a while, then one try at a time, each later than the last.

Most requests that were there are innocent, so an end does not count against a request

- that had been answered there for a while or was still being read, when another had just begun;
- that shares the end with a request which is known from more ends: those explain it;
- when many other lives ended at the same time, as in the loss of a rack or of a service's power;
- that has ended whole at some upstream lately, or does so later.

Ends of requests that had not just begun make nobody suspect, whoever else was there; three of them
quarantine all the same.

What is known is a set of ends, each named by request and life, which only ever gains marks. So
instances can join their sets in any order, and no end counts twice. All times are by the steady
clock; every decision takes the present time.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

import xxhash

# The platform calls a request deadly from its third end on.
ENDS_TO_QUARANTINE = 3
# Fewer ends are forgotten after this: a worker crashes by itself every few minutes at worst.
SUSPICION_SECONDS = 600.0
# The first quarantine; each further end doubles it. It is many times a worker's return (3 s), so
# that one deadly request takes one worker a minute at most.
QUARANTINE_SECONDS = 60.0
MAX_QUARANTINE_SECONDS = 3600.0
# When a quarantine is over the instances may try in turn, this far apart, so that one that ends
# its worker has told the others before the next one's turn comes.
TRIAL_INTERVAL_SECONDS = 5.0
# Lives of a rack or a service that lose power go within this of one another; a deadly request needs
# 0.1 s and more from one to the next.
CROWD_SECONDS = 0.35
# So many other lives, or this share of the service's, are no coincidence.
CORRELATED_LIVES = 2
CROWD_SHARE = 0.25
# A request that ended whole is no suspect for so long. Workers' software may change meanwhile.
SUCCESS_SECONDS = 30.0
# A run of a suspect that was told and whose end was not: its instance is gone.
RUN_TIMEOUT_SECONDS = 2.0
# A suspect's next run waits until this long after its last end: by then every instance has told
# where it sent what it had there.
SETTLE_SECONDS = 0.06
# Others keep off a suspect's upstream for so long: a deadly one ends it within 0.2 s of being sent.
AVOID_SECONDS = 0.5
# An end that proved to say nothing is remembered, so that a peer's older word doesn't bring it
# back.
VOID_RETENTION_SECONDS = 60.0
# Bounds of memory: 0.3 kB a suspect, 0.1 kB a good request. Void ones go first, then those with the
# fewest ends, then the oldest.
MAX_SUSPECTS = 1000
MAX_ENDS = 12
MOST_GOOD = 4096


class Verdict(enum.Enum):
    """Whether a request may run."""

    FREE = "free"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class LifeEnd:
    """A life of an upstream ended while a request was there.

    release: a number for the software that ran there, 0 when not known. unlikely: the request had
    not just begun to run: it had been answered there for a while, or was still being read. void: it
    says nothing after all. settled: the list agrees that the life has ended. source: who saw it.
    """

    life: int
    at: float
    release: int = 0
    unlikely: bool = False
    void: bool = False
    settled: bool = False
    source: str = ""

    def merge(self, other: "LifeEnd") -> "LifeEnd":
        """What two words on one end say together."""
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

    spent_releases: software that the request has ended; only other one may try it.
    """

    verdict: Verdict
    ends: tuple[LifeEnd, ...] = ()
    until: float = 0.0
    failed_releases: frozenset[int] = frozenset()

    @property
    def earliest_run_at(self) -> float:
        """From when on a suspect may run."""
        return self.ends[-1].at + SETTLE_SECONDS if self.ends else 0.0

    @property
    def allows_retry(self) -> bool:
        """Whether a second upstream may follow one that ended: only after the first end of all."""
        return len(self.ends) <= 1


FREE = Assessment(Verdict.FREE)


@dataclass(frozen=True, slots=True)
class AssessmentContext:
    """What a verdict depends on beside the ends.

    lives: upstreams of the request's service. releases: the software that they run. turn: how many
    instances come before this one when a quarantine is over.
    """

    upstream_count: int = 0
    releases: frozenset[int] = frozenset()
    trial_rank: int = 0


def quarantine_seconds(ends: int) -> float:
    """How long a request with so many ends runs nowhere."""
    further = ends - ENDS_TO_QUARANTINE
    return float(min(MAX_QUARANTINE_SECONDS, QUARANTINE_SECONDS * 2**further))


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """An instance runs a suspect on the life of an upstream since a moment."""

    life: int
    began: float


@dataclass(frozen=True, slots=True)
class NamedEnd:
    """An end with the request that it counts against."""

    identity: int
    end: LifeEnd


@dataclass
class Quarantine:
    """The ends that this instance knows of, and which suspects run at the moment."""

    ends_by_identity: dict[int, dict[int, LifeEnd]] = field(default_factory=dict)
    identities_by_life: dict[int, set[int]] = field(default_factory=dict)
    good_at_by_identity: OrderedDict[int, float] = field(default_factory=OrderedDict)
    runs_by_identity: dict[int, dict[str, SuspectRun]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Set up the tag, which is worked out when it is asked for."""
        self._tag: int | None = 0

    def record_end(self, identity: int, end: LifeEnd) -> bool:
        """Take an end that this instance saw; True when it is news that others need."""
        good_at = self.good_at_by_identity.get(identity)
        if good_at is not None and end.at - good_at < SUCCESS_SECONDS:
            return False
        return self._join(identity, end)

    def merge_ends(self, told: Iterable[NamedEnd], now: float) -> tuple[NamedEnd, ...]:
        """Take what a peer told; returns what it should know better: ends that are void here."""
        better = []
        for item in told:
            if now >= _forget_at(len(self._standing(item.identity)) + 1, item.end):
                continue
            known = self.ends_by_identity.get(item.identity, {}).get(item.end.life)
            if known is not None and known.void and not item.end.void:
                better.append(NamedEnd(item.identity, known))
            self._join(item.identity, item.end)
        return tuple(better)

    def _join(self, identity: int, end: LifeEnd) -> bool:
        ends = self.ends_by_identity.setdefault(identity, {})
        known = ends.get(end.life)
        joined = end if known is None else known.merge(end)
        if joined == known:
            return False
        ends[end.life] = joined
        self.identities_by_life.setdefault(end.life, set()).add(identity)
        self._tag = None
        self._bound(identity)
        return known is None or known.void != joined.void

    def _bound(self, identity: int) -> None:
        ends = self.ends_by_identity[identity]
        if len(ends) > MAX_ENDS:
            self._drop(identity, min(ends.values(), key=lambda end: (not end.void, end.at)))
        if len(self.ends_by_identity) > MAX_SUSPECTS:
            self._forget(min(self.ends_by_identity, key=self._weight))

    def _weight(self, identity: int) -> tuple[int, float]:
        """What goes first when there are too many: the least."""
        latest = max(end.at for end in self.ends_by_identity[identity].values())
        return len(self._standing(identity)), latest

    def record_success(self, identity: int, now: float) -> tuple[NamedEnd, ...]:
        """A request ended whole: its ends say nothing; returns those that were believed to."""
        self.good_at_by_identity[identity] = now
        self.good_at_by_identity.move_to_end(identity)
        if len(self.good_at_by_identity) > MOST_GOOD:
            self.good_at_by_identity.popitem(last=False)
        return self.clear(identity)

    def clear(self, identity: int) -> tuple[NamedEnd, ...]:
        """All ends of a request say nothing; returns those that were believed to."""
        standing = self._standing(identity)
        return tuple(self.settle(identity, end.life, void=True) for end in standing)

    def settle(self, identity: int, life: int, void: bool = False) -> NamedEnd:
        """An end is settled: the list agrees, or it is void."""
        known = self.ends_by_identity[identity][life]
        marked = replace(known, void=known.void or void, settled=True)
        self.ends_by_identity[identity][life] = marked
        self._tag = None
        return NamedEnd(identity, marked)

    def unsettled(self) -> tuple[NamedEnd, ...]:
        """Ends that nothing but a refused connection speaks for."""
        return tuple(
            NamedEnd(identity, end)
            for identity, ends in self.ends_by_identity.items()
            for end in ends.values()
            if not end.settled and not end.void
        )

    def assess(self, identity: int, now: float, around: AssessmentContext) -> Assessment:
        """Whether a request may run now."""
        ends = self._counted(identity, around.upstream_count)
        if not ends:
            return FREE
        if len(ends) < ENDS_TO_QUARANTINE:
            likely = [end for end in ends if not end.unlikely]
            is_fresh = now - ends[-1].at < SUSPICION_SECONDS
            return Assessment(Verdict.SUSPECTED, ends) if likely and is_fresh else FREE
        return _judge_proved(ends, now, around)

    def _counted(self, identity: int, lives: int) -> tuple[LifeEnd, ...]:
        """The ends that count against a request, by their time."""
        standing = self._standing(identity)
        own = {end.life for end in standing}
        counted = [
            end
            for end in standing
            if not self._is_explained(identity, end, len(standing))
            and not self._is_in_crowd(end, own, lives)
        ]
        return tuple(sorted(counted, key=lambda end: end.at))

    def _is_explained(self, identity: int, end: LifeEnd, own_ends: int) -> bool:
        """Whether another request that was there is the better suspect."""
        for other in self.identities_by_life.get(end.life, set()) - {identity}:
            theirs = self.ends_by_identity[other].get(end.life)
            if theirs is None or theirs.void:
                continue
            if end.unlikely and not theirs.unlikely:
                return True
            if not theirs.unlikely and len(self._standing(other)) > own_ends:
                return True
        return False

    def _is_in_crowd(self, end: LifeEnd, own: set[int], lives: int) -> bool:
        """Whether many lives that the request did not run on ended at the same time."""
        limit = max(CORRELATED_LIVES, CROWD_SHARE * lives)
        others = 0
        for life, identities in self.identities_by_life.items():
            if life not in own and self._ended_with(life, identities, end.at):
                others += 1
        return others > limit

    def _ended_with(self, life: int, identities: Iterable[int], at: float) -> bool:
        """Whether a life ended about then and no deadly request was there."""
        near = False
        for identity in identities:
            theirs = self.ends_by_identity[identity][life]
            if len(self._standing(identity)) >= ENDS_TO_QUARANTINE:
                return False
            near = near or abs(theirs.at - at) <= CROWD_SECONDS
        return near

    def _standing(self, identity: int) -> list[LifeEnd]:
        ends = self.ends_by_identity.get(identity, {})
        return [end for end in ends.values() if not end.void]

    def begin_run(self, identity: int, instance: str, life: int, now: float) -> None:
        """An instance runs a suspect; being told so again changes nothing."""
        runs = self.runs_by_identity.setdefault(identity, {})
        known = runs.get(instance)
        if known is None or known.life != life:
            runs[instance] = SuspectRun(life, now)

    def end_run(self, identity: int, instance: str) -> None:
        """Its run is over."""
        runs = self.runs_by_identity.get(identity, {})
        runs.pop(instance, None)
        if not runs:
            self.runs_by_identity.pop(identity, None)

    def is_running(self, identity: int, now: float) -> bool:
        """Whether a suspect runs anywhere."""
        runs = self.runs_by_identity.get(identity, {}).values()
        return any(now - run.began < RUN_TIMEOUT_SECONDS for run in runs)

    def avoided_lives(self, now: float) -> frozenset[int]:
        """Lives of upstreams that may end in a moment: a suspect has just been sent there."""
        return frozenset(
            run.life
            for runs in self.runs_by_identity.values()
            for run in runs.values()
            if now - run.began < AVOID_SECONDS
        )

    def prune(self, now: float) -> None:
        """Forget what lapsed."""
        for identity, ends in list(self.ends_by_identity.items()):
            standing = len(self._standing(identity))
            latest = max(ends.values(), key=lambda end: end.at)
            if now >= _forget_at(standing, latest):
                self._forget(identity)
        for identity, runs in list(self.runs_by_identity.items()):
            for instance, run in list(runs.items()):
                if now - run.began >= RUN_TIMEOUT_SECONDS:
                    self.end_run(identity, instance)

    def _forget(self, identity: int) -> None:
        for end in list(self.ends_by_identity[identity].values()):
            self._drop(identity, end)
        del self.ends_by_identity[identity]

    def _drop(self, identity: int, end: LifeEnd) -> None:
        del self.ends_by_identity[identity][end.life]
        there = self.identities_by_life[end.life]
        there.discard(identity)
        if not there:
            del self.identities_by_life[end.life]
        self._tag = None

    def top_ends(self, most: int) -> tuple[NamedEnd, ...]:
        """The ends that others need most: of the requests with most ends, the newest."""
        ordered = sorted(self.ends_by_identity, key=self._weight, reverse=True)
        found = (
            NamedEnd(identity, end) for identity in ordered for end in self._standing(identity)
        )
        return tuple(item for item, _ in zip(found, range(most), strict=False))

    @property
    def fingerprint(self) -> int:
        """A number that is alike where the same ends are believed; 0 where there are none."""
        if self._tag is None:
            names = sorted(
                f"{identity}@{end.life}"
                for identity in self.ends_by_identity
                for end in self._standing(identity)
            )
            self._tag = xxhash.xxh64_intdigest(",".join(names).encode()) if names else 0
        return self._tag


def _judge_proved(ends: tuple[LifeEnd, ...], now: float, around: AssessmentContext) -> Assessment:
    """A request with ends enough: it waits, or is tried once more."""
    until = ends[-1].at + quarantine_seconds(len(ends))
    if now >= until + around.trial_rank * TRIAL_INTERVAL_SECONDS:
        return Assessment(Verdict.SUSPECTED, ends, until)
    spent = frozenset(end.release for end in ends)
    if around.trial_rank == 0 and 0 not in spent and around.releases - spent:
        # New software may have no trouble with it: one instance tries it there.
        return Assessment(Verdict.SUSPECTED, ends, until, spent)
    return Assessment(Verdict.QUARANTINED, ends, until)


def _forget_at(standing: int, latest: LifeEnd) -> float:
    """When a request is forgotten: after twice its quarantine, or once all its ends are void."""
    if not standing:
        return latest.at + VOID_RETENTION_SECONDS
    if standing < ENDS_TO_QUARANTINE:
        return latest.at + SUSPICION_SECONDS
    return latest.at + 2 * quarantine_seconds(standing) + SUSPICION_SECONDS


TrialRank = Callable[[int], int]


def compute_trial_rank(identity: int, instance: str, peers: Iterable[str]) -> int:
    """How many live peers come before an instance in an order that differs by request."""
    own = _place(identity, instance)
    return sum(_place(identity, peer) < own for peer in peers)


def _place(identity: int, instance: str) -> int:
    return xxhash.xxh64_intdigest(f"{identity}/{instance}".encode())
