"""Verdicts on requests that ran where upstreams ended, as seen here or reported by peers."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.metrics import Metrics
from pondpin.quarantine import (
    FREE,
    Assessment,
    AssessmentContext,
    FeatureKind,
    LifeEnd,
    NamedEnd,
    Quarantine,
    TrialRank,
    Verdict,
)
from pondpin.quarantine_rules import has_recent_end
from pondpin.relay.attempts.crash_guard import POLL_SECONDS
from pondpin.relay.attempts.exonerations import Exonerations
from pondpin.relay.attempts.run_tracker import (
    LATE_START_SECONDS,
    LIST_LAG_SECONDS,
    ObservedEnd,
    Run,
    RunTracker,
)
from pondpin.relay.attempts.segment_features import SegmentFeatures
from pondpin.relay.call import AttemptEnd, EndKind, Progress, RelayCall
from pondpin.relay.log import EventLog
from pondpin.relay.peers.quarantine_sync import QuarantineSync
from pondpin.relay.quarantine_events import VerdictChanged
from pondpin.relay.upstreams.state import release_id
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.request_identity import format_identity

# A suspect is held this long while another run of it continues, and then refused: one that crashes
# its upstream ends in 0.1 s, a harmless request is cleared as soon as a run completes. A retry
# waits as long for answers that exonerate the segments of its prompt.
HOLD_SECONDS = 1.0
# Retry delay of a suspect that was refused then.
RETRY_SECONDS = 0.5
# Bytes of a life that arrive this soon after its end were in flight.
IN_FLIGHT_SECONDS = 0.25
MILLISECONDS = 1000
# Segments told of one end, 30 bytes each: two datagrams.
MAX_TOLD_SEGMENTS = 64


@dataclass
class QuarantineRecords:
    """Feeds the quarantine, settles its ends and logs changed verdicts."""

    quarantine_sync: QuarantineSync
    tracker: RunTracker
    table: UpstreamTable
    trial_rank: TrialRank
    list_at: Callable[[], float | None]
    metrics: Metrics
    end_suspect_run: Callable[[Run], None]

    def __post_init__(self) -> None:
        self.quarantine: Quarantine = self.quarantine_sync.quarantine
        self.log: EventLog = self.tracker.log
        self.clock: Clock = self.tracker.clock
        tracker = self.tracker
        self.features = SegmentFeatures(
            tracker.identity_key, tracker.recent_segments, self.metrics, self.clock
        )
        self.exonerations = Exonerations(
            self.quarantine_sync, tracker, self.features, self.end_suspect_run, self._log_verdicts
        )
        self._verdict_by_identity: dict[int, Verdict] = {}
        # Ends that proved void: broadcast with the next step, which is soon enough.
        self.unsent: list[NamedEnd] = []

    async def admit(self, call: RelayCall, progress: Progress) -> None:
        """See CrashGuard."""
        limit = min(call.deadline, self.clock() + HOLD_SECONDS)
        while True:
            assessment = self.assess(call)
            progress.suspected = assessment.verdict is Verdict.SUSPECTED
            progress.suspected_features = assessment.features if progress.suspected else ()
            progress.failed_releases = assessment.failed_releases
            if assessment.verdict is Verdict.QUARANTINED:
                raise self._refusal(call, assessment)
            if not progress.suspected:
                return
            now = self.clock()
            is_running = self._is_running(assessment, now)
            if now >= assessment.earliest_run_at and not is_running:
                return
            if now >= limit:
                detail = self._refusal_detail(call, assessment)
                raise PondpinError(Code.SUSPECTED, detail, retry_after=RETRY_SECONDS)
            await asyncio.sleep(POLL_SECONDS)

    def _is_running(self, assessment: Assessment, now: float) -> bool:
        """Whether any suspected feature of a request runs somewhere."""
        return any(self.quarantine.is_running(item, now) for item in assessment.features)

    def assess(self, call: RelayCall) -> Assessment:
        """Assess a request now."""
        quarantine = self.quarantine
        segments = self._segments(call)
        held = quarantine.segments.intersection(segments)
        if not held and call.identity not in quarantine.ends_by_identity:
            return FREE
        context = self._context(call.service, next(iter(held), call.identity))
        return quarantine.assess(call.identity, self.clock(), context, segments)

    def _segments(self, call: RelayCall) -> tuple[int, ...]:
        """The digests of a prompt's segments, empty while no segment has ends."""
        if not self.quarantine.segments:
            return ()
        return self.features.digests(call.metadata.segments)

    def _context(self, service: str, feature: int) -> AssessmentContext:
        states = self.table.of_service(service) if service else self.table.by_id.values()
        return AssessmentContext(
            upstream_count=len(states),
            releases=frozenset(release_id(state) for state in states if not state.leaving),
            trial_rank=self.trial_rank(feature) if service else 1,
            recent_requests=self.features.recent_requests(),
            recent_by_segment=self.features.recent_by_segment(self.quarantine.segments),
        )

    def _refusal(self, call: RelayCall, assessment: Assessment) -> PondpinError:
        kind = self.quarantine.kind_of(assessment.features[0]).name.lower()
        self.metrics.quarantined_requests.inc({"service": call.service, "kind": kind})
        left = max(RETRY_SECONDS, assessment.until - self.clock())
        detail = self._refusal_detail(call, assessment)
        return PondpinError(Code.QUARANTINED, detail, retry_after=left)

    def _refusal_detail(self, call: RelayCall, assessment: Assessment) -> str:
        """Operators find the evidence by the digest, which reveals no text."""
        feature = next(iter(assessment.features), call.identity)
        is_segment = self.quarantine.kind_of(feature) is FeatureKind.SEGMENT
        subject = "a part of the prompt is held back, segment" if is_segment else "request"
        ended = f"{len(assessment.ends)} upstreams ended while it ran"
        return f"{subject} {format_identity(feature)}: {ended}"

    def quarantine_reason(self, call: RelayCall, progress: Progress, is_begun: bool) -> str:
        """Why a request must not be sent as planned under a milder verdict; empty if it may.

        is_begun: the request's own run has begun, and is not another one.
        """
        assessment = self.assess(call)
        if assessment.verdict is Verdict.FREE:
            return ""
        if assessment.verdict is Verdict.QUARANTINED:
            return str(assessment.verdict.value)
        if not set(assessment.features).issubset(progress.suspected_features):
            return str(assessment.verdict.value)
        is_running = not is_begun and self._is_running(assessment, self.clock())
        return "another run of it goes on" if is_running else ""

    def allows_retry(self, call: RelayCall, progress: Progress, end: AttemptEnd) -> bool:
        """Whether the verdict allows a retry after an attempt."""
        if self._segments(call):
            if self.assess(call).verdict is Verdict.QUARANTINED:
                return False
            if end.may_have_run and self._may_have_ended(call, progress.last_life):
                return False
        context = self._context(call.service, call.identity)
        assessment = self.quarantine.assess(call.identity, self.clock(), context)
        if assessment.verdict is Verdict.FREE:
            return True
        if not end.may_have_run:
            return assessment.verdict is Verdict.SUSPECTED
        # A request that may still run at one upstream is sent to no other.
        ended = end.kind is EndKind.BROKEN
        return assessment.verdict is Verdict.SUSPECTED and ended and assessment.allows_retry

    def _may_have_ended(self, call: RelayCall, life: int) -> bool:
        """Whether an answer on a segment of a request may have ended a life."""
        segments = self.quarantine.segments.intersection(self._segments(call))
        if not segments:
            return False
        context = self._context(call.service, call.identity)
        return any(has_recent_end(self.quarantine, item, life, context) for item in segments)

    async def wait_for_exoneration(self, call: RelayCall, life: int) -> None:
        """Wait until no segment of a request may have ended a life, or it is refused anyway."""
        limit = min(call.deadline, self.clock() + HOLD_SECONDS)
        while self._may_have_ended(call, life) and self.clock() < limit:
            if self.assess(call).verdict is Verdict.QUARANTINED:
                return
            await asyncio.sleep(POLL_SECONDS)

    def record_end(self, observed: ObservedEnd) -> None:
        """Record an end that this instance observed, and broadcast it."""
        ends = [
            NamedEnd(run.identity, self._make_end(observed, (run,), run.identity))
            for run in observed.runs
        ]
        ends += self._segment_ends(observed)
        new_ends = [item for item in ends if self.quarantine.record_end(item.identity, item.end)]
        if any(item.end.kind is FeatureKind.SEGMENT for item in new_ends):
            self.exonerations.watch()
        if new_ends:
            self.quarantine_sync.broadcast(new_ends)
            self._log_verdicts(item.identity for item in new_ends)

    def _make_end(
        self,
        observed: ObservedEnd,
        runs: Sequence[Run],
        feature: int,
        kind: FeatureKind = FeatureKind.REQUEST,
    ) -> LifeEnd:
        ended = [observed.at if run.ended_at is None else run.ended_at for run in runs]
        return LifeEnd(
            observed.state.life,
            min(observed.at, *ended),
            release_id(observed.state),
            not any(run.may_be_starting(observed.at) for run in runs),
            source=self.quarantine_sync.instance,
            kind=kind,
            trial=any(feature in run.suspects for run in runs),
        )

    def _segment_ends(self, observed: ObservedEnd) -> list[NamedEnd]:
        """Ends of the segments that answers were beginning on, the rarest first."""
        life = observed.state.life
        runs = [run for run in observed.runs if run.segments and run.is_answered_by(life)]
        starting = [run for run in runs if run.may_be_starting(observed.at)]
        runs_by_segment: dict[int, list[Run]] = {}
        for run in starting or runs:
            for segment in self.features.digests(run.segments):
                runs_by_segment.setdefault(segment, []).append(run)
        recent = self.features.recent_by_segment(runs_by_segment.keys())
        rarest = sorted(runs_by_segment, key=lambda item: recent[item])[:MAX_TOLD_SEGMENTS]
        return [
            NamedEnd(
                item,
                self._make_end(observed, runs_by_segment[item], item, FeatureKind.SEGMENT),
            )
            for item in rarest
        ]

    def record_peer_ends(self, source: str, ends: Sequence[NamedEnd]) -> None:
        """Log verdicts that a peer's ends change, and record this instance's requests there."""
        self._log_verdicts(item.identity for item in ends)
        self.exonerations.record_peer_ends(ends)
        for item in ends:
            state = self.table.by_life(item.end.life)
            is_recent = self.clock() - item.end.at < LATE_START_SECONDS
            if state is not None and is_recent and not item.end.void:
                # A request of this instance may have ended there just before.
                self.tracker.record_refused(state)

    def settle(self, now: float) -> None:
        """Settle ends by the list and by data received since, and broadcast the void ones."""
        for item in self.quarantine.unsettled():
            void = self._is_void(item.end, now)
            if void is not None:
                marked = self.quarantine.settle(item.identity, item.end.life, void)
                if void:
                    self.unsent.append(marked)
        self._count_held()
        if self.unsent:
            sent, self.unsent = self.unsent, []
            self.quarantine_sync.broadcast(sent)
            self._log_verdicts(item.identity for item in sent)

    def _count_held(self) -> None:
        held = Counter(self.quarantine.kind_of(item) for item in self._verdict_by_identity)
        for kind in FeatureKind:
            self.metrics.held_features.set({"kind": kind.name.lower()}, held[kind])

    def _is_void(self, end: LifeEnd, now: float) -> bool | None:
        """Whether a life did not end after all; None while that isn't known."""
        state = self.table.by_life(end.life)
        if state is None or state.ended:
            return False
        if self.tracker.active_since(end.life, end.at + IN_FLIGHT_SECONDS):
            return True
        list_at = self.list_at()
        if list_at is not None and list_at > end.at + LIST_LAG_SECONDS:
            return True
        return None

    def lift(self, identity: int) -> int:
        """Clear a request for an operator; returns how many ends counted."""
        now = self.clock()
        if self.quarantine.kind_of(identity) is FeatureKind.SEGMENT:
            cleared = self.quarantine.exonerate((identity,), now)
        else:
            cleared = self.quarantine.record_success(identity, now)
        if cleared:
            self.quarantine_sync.broadcast(cleared)
            self._log_verdicts((identity,))
        return len(cleared)

    def describe(self, identity: int) -> tuple[Assessment, tuple[str, ...], float]:
        """The verdict on a feature in any service, its evidence and the seconds left."""
        now = self.clock()
        assessment = self.quarantine.assess_feature(identity, now, self._context("", identity))
        evidence = tuple(self._describe_end(end, now) for end in assessment.ends)
        return assessment, evidence, round(max(0.0, assessment.until - now), 2)

    def _log_verdicts(self, identities: Iterable[int]) -> None:
        for identity in set(identities):
            assessment, evidence, seconds = self.describe(identity)
            if assessment.verdict is self._verdict_by_identity.get(identity, Verdict.FREE):
                continue
            self._verdict_by_identity[identity] = assessment.verdict
            if assessment.verdict is Verdict.FREE:
                del self._verdict_by_identity[identity]
            self.log.write(
                VerdictChanged(
                    identity=format_identity(identity),
                    kind=self.quarantine.kind_of(identity).name.lower(),
                    verdict=assessment.verdict.value,
                    ends=evidence,
                    seconds=seconds,
                    exonerated=self.quarantine.void_count(identity),
                )
            )

    def _describe_end(self, end: LifeEnd, now: float) -> str:
        age = round((now - end.at) * MILLISECONDS)
        return f"{self.table.label_of(end.life)} {age} ms ago, seen by {end.source}"
