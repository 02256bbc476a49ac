"""Verdicts on requests that ran where upstreams ended: ends seen here and told by peers."""

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
from pondpin.relay.log_events import VerdictChanged
from pondpin.relay.peers.quarantine_sync import QuarantineSync
from pondpin.relay.upstreams.state import release_id
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.request_identity import format_identity

# A suspect waits so long while another run of it goes on, and is refused then: a deadly one ends in
# 0.1 s, a harmless one is cleared as soon as a run ends whole.
HOLD_SECONDS = 1.0
# Then its caller comes back in this time.
RETRY_SECONDS = 0.5
# Bytes of a life that come so long after its end were on their way.
ECHO_SECONDS = 0.25
MILLISECONDS = 1000


@dataclass
class QuarantineRecords:
    """Feeds the quarantine, settles its ends and logs each verdict that changes."""

    quarantine_sync: QuarantineSync
    tracker: RunTracker
    table: UpstreamTable
    turn: TrialRank
    list_at: Callable[[], float | None]
    metrics: Metrics

    def __post_init__(self) -> None:
        """Set up what is not told yet."""
        self.quarantine: Quarantine = self.quarantine_sync.quarantine
        self.log: EventLog = self.tracker.log
        self.clock: Clock = self.tracker.clock
        self._verdict_by_identity: dict[int, Verdict] = {}
        # Ends that proved to say nothing: told with the next step, which is soon enough.
        self.unsent: list[NamedEnd] = []

    async def admit(self, call: RelayCall, progress: Progress) -> None:
        """Let a request through to placement, or raise PondpinError; see CrashGuard."""
        limit = min(call.deadline, self.clock() + HOLD_SECONDS)
        while True:
            judgement = self.judge(call)
            progress.suspected = judgement.verdict is Verdict.SUSPECTED
            progress.spent_releases = judgement.failed_releases
            if judgement.verdict is Verdict.QUARANTINED:
                raise self._refusal(call, judgement)
            if not progress.suspected:
                return
            now = self.clock()
            is_running = self.quarantine.is_running(call.identity, now)
            if now >= judgement.earliest_run_at and not is_running:
                return
            if now >= limit:
                detail = _tell(call, judgement)
                raise PondpinError(Code.SUSPECTED, detail, retry_after=RETRY_SECONDS)
            await asyncio.sleep(POLL_SECONDS)

    def judge(self, call: RelayCall) -> Assessment:
        """The verdict on a request now."""
        states = self.table.of_service(call.service)
        around = AssessmentContext(
            upstream_count=len(states),
            releases=frozenset(release_id(state) for state in states if not state.leaving),
            trial_rank=self.turn(call.identity),
        )
        return self.quarantine.assess(call.identity, self.clock(), around)

    def _refusal(self, call: RelayCall, judgement: Assessment) -> PondpinError:
        self.metrics.quarantined_requests.inc({"service": call.service})
        left = max(RETRY_SECONDS, judgement.until - self.clock())
        return PondpinError(Code.QUARANTINED, _tell(call, judgement), retry_after=left)

    def outdated(self, call: RelayCall, progress: Progress, is_begun: bool) -> str:
        """What holds now where a request was planned under a milder verdict; empty where not.

        is_begun: the run that goes on is its own.
        """
        judgement = self.judge(call)
        if judgement.verdict is Verdict.FREE:
            return ""
        if judgement.verdict is Verdict.QUARANTINED or not progress.suspected:
            return str(judgement.verdict.value)
        is_running = not is_begun and self.quarantine.is_running(call.identity, self.clock())
        return "another run of it goes on" if is_running else ""

    def allows_retry(self, call: RelayCall, end: AttemptEnd) -> bool:
        """Whether another upstream may get a request after an attempt."""
        judgement = self.judge(call)
        if judgement.verdict is Verdict.FREE:
            return True
        if not end.may_have_run:
            return judgement.verdict is Verdict.SUSPECTED
        # What may still run at one upstream goes to no other.
        proved = end.kind is EndKind.BROKEN
        return judgement.verdict is Verdict.SUSPECTED and proved and judgement.allows_retry

    def record_end(self, seen: ObservedEnd) -> None:
        """Record an end that this instance saw, and tell peers."""
        release = release_id(seen.state)
        news = []
        for run in seen.runs:
            end = LifeEnd(
                seen.state.life,
                seen.at if run.ended_at is None else min(seen.at, run.ended_at),
                release,
                not run.may_be_starting(seen.at),
                source=self.quarantine_sync.instance,
            )
            if self.quarantine.record_end(run.identity, end):
                news.append(NamedEnd(run.identity, end))
        if news:
            self.quarantine_sync.broadcast(news)
            self._log_verdicts(item.identity for item in news)

    def record_peer_ends(self, source: str, ends: Sequence[NamedEnd]) -> None:
        """Log verdicts that a peer's ends change, and look at this instance's requests there."""
        self._log_verdicts(item.identity for item in ends)
        for item in ends:
            state = self.table.by_life(item.end.life)
            is_new = self.clock() - item.end.at < LATE_START_SECONDS
            if state is not None and is_new and not item.end.void:
                # A request of this instance may have left there just before.
                self.tracker.record_refused(state)

    def settle(self, now: float) -> None:
        """Settle ends by the list and by what was heard since, and tell peers."""
        for item in self.quarantine.unsettled():
            void = self._says_nothing(item.end, now)
            if void is not None:
                marked = self.quarantine.settle(item.identity, item.end.life, void)
                if void:
                    self.unsent.append(marked)
        if self.unsent:
            told, self.unsent = self.unsent, []
            self.quarantine_sync.broadcast(told)
            self._log_verdicts(item.identity for item in told)

    def _says_nothing(self, end: LifeEnd, now: float) -> bool | None:
        """Whether an end is none after all; None while that isn't known."""
        state = self.table.by_life(end.life)
        if state is None or state.ended:
            return False
        if self.tracker.active_since(end.life, end.at + ECHO_SECONDS):
            return True
        list_at = self.list_at()
        if list_at is not None and list_at > end.at + LIST_LAG_SECONDS:
            return True
        return None

    def lift(self, identity: int) -> int:
        """An operator clears a request; returns how many ends were believed."""
        cleared = self.quarantine.record_success(identity, self.clock())
        if cleared:
            self.quarantine_sync.broadcast(cleared)
            self._log_verdicts((identity,))
        return len(cleared)

    def describe(self, identity: int) -> tuple[Assessment, tuple[str, ...], float]:
        """The verdict on an identity, whatever its service, its evidence and its rest."""
        now = self.clock()
        around = AssessmentContext(upstream_count=len(self.table.by_id), trial_rank=1)
        judgement = self.quarantine.assess(identity, now, around)
        told = tuple(self._tell_end(end, now) for end in judgement.ends)
        return judgement, told, round(max(0.0, judgement.until - now), 2)

    def _log_verdicts(self, identities: Iterable[int]) -> None:
        """Write a line for each verdict that changed."""
        for identity in set(identities):
            judgement, told, seconds = self.describe(identity)
            if judgement.verdict is self._verdict_by_identity.get(identity, Verdict.FREE):
                continue
            self._verdict_by_identity[identity] = judgement.verdict
            if judgement.verdict is Verdict.FREE:
                del self._verdict_by_identity[identity]
            self.log.write(
                VerdictChanged(
                    identity=format_identity(identity),
                    verdict=judgement.verdict.value,
                    ends=told,
                    seconds=seconds,
                )
            )

    def _tell_end(self, end: LifeEnd, now: float) -> str:
        age = round((now - end.at) * MILLISECONDS)
        return f"{self.table.label_of(end.life)} {age} ms ago, seen by {end.source}"


def _tell(call: RelayCall, judgement: Assessment) -> str:
    """The reason of a refusal; operators find the evidence by the identity."""
    return (
        f"request {format_identity(call.identity)}: "
        f"{len(judgement.ends)} upstreams ended while it ran"
    )
