"""Verdicts on requests that ran where upstreams ended, as seen here or reported by peers."""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.metrics import Metrics
from pondpin.quarantine import (
    Assessment,
    AssessmentContext,
    LifeEnd,
    NamedEnd,
    Quarantine,
    TrialRank,
    Verdict,
)
from pondpin.relay.attempts.crash_guard import POLL_SECONDS
from pondpin.relay.attempts.run_tracker import (
    LATE_START_SECONDS,
    LIST_LAG_SECONDS,
    ObservedEnd,
    RunTracker,
)
from pondpin.relay.call import AttemptEnd, EndKind, Progress, RelayCall
from pondpin.relay.log import EventLog
from pondpin.relay.peers.quarantine_sync import QuarantineSync
from pondpin.relay.quarantine_events import VerdictChanged
from pondpin.relay.upstreams.state import release_id
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.request_identity import format_identity

# A suspect is held this long while another run of it continues, and then refused: one that crashes
# its upstream ends in 0.1 s, a harmless request is cleared as soon as a run completes.
HOLD_SECONDS = 1.0
# Retry delay of a suspect that was refused then.
RETRY_SECONDS = 0.5
# Bytes of a life that arrive this soon after its end were in flight.
IN_FLIGHT_SECONDS = 0.25
MILLISECONDS = 1000


@dataclass
class QuarantineRecords:
    """Feeds the quarantine, settles its ends and logs changed verdicts."""

    quarantine_sync: QuarantineSync
    tracker: RunTracker
    table: UpstreamTable
    trial_rank: TrialRank
    list_at: Callable[[], float | None]
    metrics: Metrics

    def __post_init__(self) -> None:
        self.quarantine: Quarantine = self.quarantine_sync.quarantine
        self.log: EventLog = self.tracker.log
        self.clock: Clock = self.tracker.clock
        self._verdict_by_identity: dict[int, Verdict] = {}
        # Ends that proved void: broadcast with the next step, which is soon enough.
        self.unsent: list[NamedEnd] = []

    async def admit(self, call: RelayCall, progress: Progress) -> None:
        """See CrashGuard."""
        limit = min(call.deadline, self.clock() + HOLD_SECONDS)
        while True:
            assessment = self.assess(call)
            progress.suspected = assessment.verdict is Verdict.SUSPECTED
            progress.failed_releases = assessment.failed_releases
            if assessment.verdict is Verdict.QUARANTINED:
                raise self._refusal(call, assessment)
            if not progress.suspected:
                return
            now = self.clock()
            is_running = self.quarantine.is_running(call.identity, now)
            if now >= assessment.earliest_run_at and not is_running:
                return
            if now >= limit:
                detail = _refusal_detail(call, assessment)
                raise PondpinError(Code.SUSPECTED, detail, retry_after=RETRY_SECONDS)
            await asyncio.sleep(POLL_SECONDS)

    def assess(self, call: RelayCall) -> Assessment:
        """Assess a request now."""
        states = self.table.of_service(call.service)
        context = AssessmentContext(
            upstream_count=len(states),
            releases=frozenset(release_id(state) for state in states if not state.leaving),
            trial_rank=self.trial_rank(call.identity),
        )
        return self.quarantine.assess(call.identity, self.clock(), context)

    def _refusal(self, call: RelayCall, assessment: Assessment) -> PondpinError:
        self.metrics.quarantined_requests.inc({"service": call.service})
        left = max(RETRY_SECONDS, assessment.until - self.clock())
        return PondpinError(Code.QUARANTINED, _refusal_detail(call, assessment), retry_after=left)

    def quarantine_reason(self, call: RelayCall, progress: Progress, is_begun: bool) -> str:
        """Why a request must not be sent as planned under a milder verdict; empty if it may.

        is_begun: the request's own run has begun, and is not another one.
        """
        assessment = self.assess(call)
        if assessment.verdict is Verdict.FREE:
            return ""
        if assessment.verdict is Verdict.QUARANTINED or not progress.suspected:
            return str(assessment.verdict.value)
        is_running = not is_begun and self.quarantine.is_running(call.identity, self.clock())
        return "another run of it goes on" if is_running else ""

    def allows_retry(self, call: RelayCall, end: AttemptEnd) -> bool:
        """Whether the verdict allows a retry after an attempt."""
        assessment = self.assess(call)
        if assessment.verdict is Verdict.FREE:
            return True
        if not end.may_have_run:
            return assessment.verdict is Verdict.SUSPECTED
        # A request that may still run at one upstream is sent to no other.
        ended = end.kind is EndKind.BROKEN
        return assessment.verdict is Verdict.SUSPECTED and ended and assessment.allows_retry

    def record_end(self, observed: ObservedEnd) -> None:
        """Record an end that this instance observed, and broadcast it."""
        release = release_id(observed.state)
        new_ends = []
        for run in observed.runs:
            end = LifeEnd(
                observed.state.life,
                observed.at if run.ended_at is None else min(observed.at, run.ended_at),
                release,
                not run.may_be_starting(observed.at),
                source=self.quarantine_sync.instance,
            )
            if self.quarantine.record_end(run.identity, end):
                new_ends.append(NamedEnd(run.identity, end))
        if new_ends:
            self.quarantine_sync.broadcast(new_ends)
            self._log_verdicts(item.identity for item in new_ends)

    def record_peer_ends(self, source: str, ends: Sequence[NamedEnd]) -> None:
        """Log verdicts that a peer's ends change, and record this instance's requests there."""
        self._log_verdicts(item.identity for item in ends)
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
        if self.unsent:
            sent, self.unsent = self.unsent, []
            self.quarantine_sync.broadcast(sent)
            self._log_verdicts(item.identity for item in sent)

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
        cleared = self.quarantine.record_success(identity, self.clock())
        if cleared:
            self.quarantine_sync.broadcast(cleared)
            self._log_verdicts((identity,))
        return len(cleared)

    def describe(self, identity: int) -> tuple[Assessment, tuple[str, ...], float]:
        """The verdict on an identity in any service, its evidence and the seconds left."""
        now = self.clock()
        context = AssessmentContext(upstream_count=len(self.table.by_id), trial_rank=1)
        assessment = self.quarantine.assess(identity, now, context)
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
                    verdict=assessment.verdict.value,
                    ends=evidence,
                    seconds=seconds,
                )
            )

    def _describe_end(self, end: LifeEnd, now: float) -> str:
        age = round((now - end.at) * MILLISECONDS)
        return f"{self.table.label_of(end.life)} {age} ms ago, seen by {end.source}"


def _refusal_detail(call: RelayCall, assessment: Assessment) -> str:
    # Operators find the evidence by the identity.
    return (
        f"request {format_identity(call.identity)}: "
        f"{len(assessment.ends)} upstreams ended while it ran"
    )
