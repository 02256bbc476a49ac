"""A fleet in virtual time whose requests have segments, some of which crash upstreams.

Instances decide by the real quarantine and exchange real messages; upstreams, callers and links are
simulated. Ways of scoring and of gathering evidence can be compared on the same seeds.
"""

import enum
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from pondpin.quarantine import (
    FREE,
    Assessment,
    AssessmentContext,
    FeatureKind,
    LifeEnd,
    NamedEnd,
    Quarantine,
    Verdict,
    compute_trial_rank,
)
from pondpin.quarantine_rules import has_recent_end
from pondpin.relay.attempts.quarantine_records import HOLD_SECONDS
from pondpin.relay.attempts.run_tracker import ANSWERED_SECONDS, RECENT_REQUESTS, SURVIVAL_SECONDS
from pondpin.relay.peers.quarantine_sync import QuarantineSync

SYSTEM = 1
TWIN = 2
FIRST_DEADLY = 10
POOL = range(100, 108)
BEGAN = 1000.0
DELAY_SECONDS = 0.003
# A broken connection is proved to be an end after this.
PROOF_SECONDS = 0.015
PREFILL_SECONDS = 0.06
STREAM_SECONDS = 0.8
CRASH_SECONDS = (0.04, 0.1)
RESTART_SECONDS = 2.5
POLL_SECONDS = 0.02
LARGEST_SCORE_SHARE = 0.5
SUCCESS_WINDOW_SECONDS = 10.0


class Scoring(enum.Enum):
    """How ends are scored."""

    ENDS = "ends with exoneration"
    SPECTRUM = "spectrum score"


class Evidence(enum.Enum):
    """What happens to requests with suspected features."""

    SERIAL = "one run at a time"
    FREE = "all run on"


@dataclass(frozen=True)
class Plan:
    """What a fleet is played with; rates are requests a second.

    onsets: when each deadly segment turns deadly. racks: when how many upstreams end at once.
    cuts: when which instances are cut off, and until when.
    """

    instances: int = 8
    upstreams: int = 18
    sound_rate: float = 50.0
    deadly_rate: float = 5.0
    onsets: tuple[float, ...] = (2.0,)
    system_turns_deadly_at: float = float("inf")
    has_twin: bool = False
    racks: tuple[tuple[float, int], ...] = ()
    cuts: tuple[tuple[float, float, int], ...] = ()
    restarts: tuple[float, ...] = ()
    seconds: float = 12.0
    scoring: Scoring = Scoring.ENDS
    evidence: Evidence = Evidence.SERIAL


@dataclass
class Member:
    """An instance."""

    name: str
    quarantine: Quarantine
    sync: QuarantineSync
    recent: deque[tuple[int, ...]] = field(default_factory=lambda: deque(maxlen=RECENT_REQUESTS))
    successes: deque[tuple[float, tuple[int, ...]]] = field(default_factory=deque)


@dataclass(eq=False)
class Request:
    """A caller's request and its run."""

    identity: int
    segments: tuple[int, ...]
    member: Member
    sent_at: float
    is_deadly: bool
    suspects: tuple[int, ...] = ()
    answered_at: float | None = None
    is_open: bool = True


class Fleet:
    """One play."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan = plan
        self.now = BEGAN
        self.rng = random.Random(seed)
        # By cause and the side of a cut whose request it was.
        self.ended_at: dict[tuple[int, int], list[float]] = {}
        self.sound_sent = self.sound_served = self.sound_failed = 0
        self.refused: dict[int, int] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._identities = itertools.count(10_000)
        self._lives = itertools.count(1_000_000)
        self._sides: dict[str, int] = {}
        self.life_by_upstream: dict[int, int | None] = {
            number: next(self._lives) for number in range(plan.upstreams)
        }
        self.open_by_upstream: dict[int, list[Request]] = {n: [] for n in range(plan.upstreams)}
        self.members = [self._start(f"i{number}") for number in range(plan.instances)]

    def _start(self, name: str) -> Member:
        quarantine = Quarantine()
        sync = QuarantineSync(
            name,
            self.rng.getrandbits(40),
            quarantine,
            lambda data, host: self._transmit(name, data, host),
            lambda: [member.name for member in self.members if member.name != name],
            lambda: self.now,
        )
        return Member(name, quarantine, sync)

    def _transmit(self, source: str, data: bytes, host: str) -> None:
        if self._sides.get(source) == self._sides.get(host):
            self.after(DELAY_SECONDS * (0.5 + self.rng.random()), lambda: self._deliver(data, host))

    def _deliver(self, data: bytes, host: str) -> None:
        for member in self.members:
            if member.name == host:
                member.sync.receive(data, self.now)

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (self.now + seconds, next(self._order), action))

    def play(self) -> "Fleet":
        """Play the plan to its end."""
        plan = self.plan
        self._schedule_load()
        for seconds, count in plan.racks:
            self.after(seconds, lambda count=count: self._end_rack(count))  # type: ignore[misc]
        for since, until, count in plan.cuts:
            self.after(since, lambda count=count: self._cut(count))  # type: ignore[misc]
            self.after(until, self._heal)
        for seconds in plan.restarts:
            self.after(seconds, self._restart)
        while self._events and self._events[0][0] <= BEGAN + plan.seconds + 2.0:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self

    def _schedule_load(self) -> None:
        plan = self.plan
        at = 0.0
        while (at := at + self.rng.expovariate(plan.sound_rate)) < plan.seconds:
            segments = [SYSTEM, self.rng.choice(POOL)]
            if plan.has_twin and self.rng.random() < 1 / 3:
                segments.insert(1, TWIN)
            self.after(at, lambda found=tuple(segments): self._arrive(found))  # type: ignore[misc]
        for index, onset in enumerate(plan.onsets):
            at = onset
            twin = (TWIN,) if plan.has_twin else ()
            segments = [SYSTEM, *twin, FIRST_DEADLY + index]
            while (at := at + self.rng.expovariate(plan.deadly_rate)) < plan.seconds:
                self.after(at, lambda found=tuple(segments): self._arrive(found))  # type: ignore[misc]

    def _deadly_of(self, segments: tuple[int, ...]) -> int:
        """The deadly segment of a request, 0 for none."""
        if self.now >= BEGAN + self.plan.system_turns_deadly_at:
            return SYSTEM
        return next((item for item in segments if FIRST_DEADLY <= item < POOL[0]), 0)

    def _arrive(self, segments: tuple[int, ...]) -> None:
        is_deadly = bool(self._deadly_of(segments))
        request = Request(
            next(self._identities), segments, self.rng.choice(self.members), self.now, is_deadly
        )
        self.sound_sent += not is_deadly
        request.member.recent.append(segments)
        self._try(request)

    def _context(self, request: Request) -> AssessmentContext:
        member = request.member
        held = member.quarantine.segments
        counts = {item: sum(item in found for found in member.recent) for item in held}
        peers = [other.name for other in self.members if other is not member]
        rank = compute_trial_rank(request.segments[-1], member.name, peers)
        return AssessmentContext(self.plan.upstreams, frozenset(), rank, len(member.recent), counts)

    def _assess(self, request: Request) -> Assessment:
        quarantine = request.member.quarantine
        if self.plan.scoring is Scoring.SPECTRUM:
            return self._assess_by_spectrum(request)
        return quarantine.assess(
            request.identity, self.now, self._context(request), request.segments
        )

    def _assess_by_spectrum(self, request: Request) -> Assessment:
        """Ochiai's score over all ends and the successes of a window, before the ends as well."""
        member = request.member
        ends = member.quarantine
        while member.successes and self.now - member.successes[0][0] > SUCCESS_WINDOW_SECONDS:
            member.successes.popleft()
        failed = {end.life for item in ends.segments for end in ends.valid_ends(item)}
        scores = {}
        for segment in ends.segments:
            failing = len(ends.valid_ends(segment))
            passing = sum(segment in found for _, found in member.successes)
            whole = (len(failed) * (failing + passing)) ** 0.5
            scores[segment] = failing / whole if whole else 0.0
        found = [item for item in request.segments if item in scores]
        if not found:
            return FREE
        worst = max(found, key=scores.__getitem__)
        valid = tuple(ends.valid_ends(worst))
        if len(valid) >= 3 and scores[worst] >= LARGEST_SCORE_SHARE:
            until = max(end.at for end in valid) + 60.0
            return Assessment(Verdict.QUARANTINED, valid, until, features=(worst,))
        return FREE

    def _try(self, request: Request) -> None:
        found = self._assess(request)
        member = request.member
        if found.verdict is Verdict.QUARANTINED:
            self._refuse(request)
            return
        is_held = found.verdict is Verdict.SUSPECTED and self.plan.evidence is Evidence.SERIAL
        running = any(member.quarantine.is_running(item, self.now) for item in found.features)
        if is_held and (running or self.now < found.earliest_run_at):
            if self.now - request.sent_at >= HOLD_SECONDS:
                self._refuse(request)
            else:
                self.after(POLL_SECONDS, lambda: self._try(request))
            return
        self._run(request, found.features if is_held else ())

    def _refuse(self, request: Request) -> None:
        for segment in request.segments:
            self.refused[segment] = self.refused.get(segment, 0) + (not request.is_deadly)
        self.sound_failed += not request.is_deadly

    def _run(self, request: Request, suspects: tuple[int, ...]) -> None:
        living = [number for number, life in self.life_by_upstream.items() if life is not None]
        if not living:
            self._refuse(request)
            return
        upstream = self.rng.choice(living)
        life = self.life_by_upstream[upstream]
        member = request.member
        request.suspects = suspects
        for feature in suspects:
            member.quarantine.begin_run(feature, member.name, life or 0, self.now)
            member.sync.running_by_identity[feature] = life or 0
        if suspects:
            member.sync.broadcast()
        self.open_by_upstream[upstream].append(request)
        self.after(PREFILL_SECONDS, lambda: self._answer(request, upstream, life))

    def _answer(self, request: Request, upstream: int, life: int | None) -> None:
        if not request.is_open or self.life_by_upstream[upstream] != life:
            return
        request.answered_at = self.now
        cause = self._deadly_of(request.segments)
        if cause:
            crash = self.rng.uniform(*CRASH_SECONDS)
            self.after(crash, lambda: self._end(upstream, life, cause))
            return
        self.after(SURVIVAL_SECONDS, lambda: self._survive(request))
        self.after(STREAM_SECONDS, lambda: self._complete(request, upstream))

    def _survive(self, request: Request) -> None:
        if not request.is_open or request.answered_at is None:
            return
        member = request.member
        member.successes.append((self.now, request.segments))
        if self.plan.scoring is Scoring.ENDS and member.quarantine.segments:
            voided = member.quarantine.exonerate(request.segments, request.answered_at)
            if voided:
                member.sync.broadcast(voided)
        self._end_suspects(request)

    def _end_suspects(self, request: Request) -> None:
        member = request.member
        for feature in request.suspects:
            member.quarantine.end_run(feature, member.name)
            member.sync.running_by_identity.pop(feature, None)
        if request.suspects:
            request.suspects = ()
            member.sync.broadcast()

    def _complete(self, request: Request, upstream: int) -> None:
        if not request.is_open:
            return
        request.is_open = False
        self.open_by_upstream[upstream].remove(request)
        self.sound_served += 1
        self._end_suspects(request)

    def _end(self, upstream: int, life: int | None, cause: int = 0) -> None:
        if life is None or self.life_by_upstream[upstream] != life:
            return
        side = self._side_of_cause(upstream, cause)
        self.ended_at.setdefault((cause, side), []).append(self.now)
        self.life_by_upstream[upstream] = None
        broken, self.open_by_upstream[upstream] = self.open_by_upstream[upstream], []
        at = self.now
        for request in broken:
            request.is_open = False
        self.after(PROOF_SECONDS, lambda: self._record(broken, life, at))
        self.after(RESTART_SECONDS, lambda: self._start_upstream(upstream))

    def _side_of_cause(self, upstream: int, cause: int) -> int:
        found = (item for item in self.open_by_upstream[upstream] if cause in item.segments)
        names = (item.member.name for item in found if item.answered_at is not None)
        return self._sides.get(next(names, ""), 0)

    def _start_upstream(self, upstream: int) -> None:
        self.life_by_upstream[upstream] = next(self._lives)

    def _record(self, broken: list[Request], life: int, at: float) -> None:
        starting = [item for item in broken if self._is_starting(item, at)]
        for request in broken:
            member = request.member
            new = []
            if request in starting:
                for segment in request.segments:
                    end = LifeEnd(
                        life,
                        at,
                        source=member.name,
                        kind=FeatureKind.SEGMENT,
                        trial=segment in request.suspects,
                    )
                    if member.quarantine.record_end(segment, end):
                        new.append(NamedEnd(segment, end))
            if new:
                member.sync.broadcast(new)
            self._end_suspects(request)
            self._retry(request, life if request in starting else 0, self.now)

    def _is_starting(self, request: Request, at: float) -> bool:
        return request.answered_at is None or at - request.answered_at < ANSWERED_SECONDS

    def _retry(self, request: Request, life: int, since: float) -> None:
        """Retry once no segment of a request may have ended a life, 0 for none."""
        member = request.member
        if member not in self.members:
            return
        context = self._context(request)
        if any(has_recent_end(member.quarantine, item, life, context) for item in request.segments):
            if self.now - since < HOLD_SECONDS:
                self.after(POLL_SECONDS, lambda: self._retry(request, life, since))
            else:
                self.sound_failed += not request.is_deadly
            return
        identity, segments = request.identity, request.segments
        self._try(Request(identity, segments, member, self.now, request.is_deadly))

    def _end_rack(self, count: int) -> None:
        for upstream in self.rng.sample(range(self.plan.upstreams), count):
            life = self.life_by_upstream[upstream]
            self.after(self.rng.random() * 0.2, lambda u=upstream, v=life: self._end(u, v))  # type: ignore[misc]

    def _cut(self, count: int) -> None:
        self._sides = {f"i{number}": 1 for number in range(count)}

    def _heal(self) -> None:
        self._sides.clear()
        for member in self.members:
            self._send_all(member, [other.name for other in self.members if other is not member])

    def _restart(self) -> None:
        index = self.rng.randrange(len(self.members))
        name = self.members[index].name
        self.members[index] = self._start(name)
        for member in self.members:
            if member.name != name and self._sides.get(member.name) == self._sides.get(name):
                self._send_all(member, [name])

    def _send_all(self, member: Member, hosts: list[str]) -> None:
        for data in member.sync._encode_messages(member.quarantine.top_ends(72)):
            for host in hosts:
                self._transmit(member.name, data, host)

    def ends_of(self, cause: int, side: int = 0) -> list[float]:
        """When upstreams ended by a cause, 0 for none of the requests, on a side of a cut."""
        return sorted(self.ended_at.get((cause, side), []))
