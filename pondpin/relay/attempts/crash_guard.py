"""Holds back requests that crash the upstreams running them.

Before every send `pondpin.quarantine` decides by the ends of upstream lives that attempts, the list
of upstreams and peers report.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

from pondpin.clocks import Clock
from pondpin.metrics import Metrics
from pondpin.quarantine import Quarantine, TrialRank
from pondpin.relay.attempts.run_tracker import Run, RunTracker
from pondpin.relay.call import AttemptEnd, Progress, RelayCall
from pondpin.relay.choosing.planner import Plan, RelayPolicy
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.peers.quarantine_sync import QuarantineSync
from pondpin.relay.upstreams.table import UpstreamTable

if TYPE_CHECKING:
    from pondpin.relay.attempts.quarantine_records import QuarantineRecords
    from pondpin.relay.attempts.run_outcomes import RunOutcomes
    from pondpin.relay.upstreams.prober import Prober

POLL_SECONDS = 0.02
# A starting instance waits this long for a peer's digest (sent every 0.2 s) and the peer's ends.
SYNC_WAIT_SECONDS = 0.3


@dataclass
class CrashGuard:
    """The quarantine of a relay instance."""

    quarantine_sync: QuarantineSync
    tracker: RunTracker
    identity_key: bytes
    table: UpstreamTable
    trial_rank: TrialRank
    list_at: Callable[[], float | None]
    policy: RelayPolicy
    metrics: Metrics

    def __post_init__(self) -> None:
        self.quarantine: Quarantine = self.quarantine_sync.quarantine
        self.clock: Clock = self.tracker.clock
        self.tracker.identity_key = self.identity_key
        self.tracker.on_end = lambda end: self.records.record_end(end)
        self.quarantine_sync.on_received = lambda source, ends: self.records.record_peer_ends(
            source, ends
        )
        self._started_at = self.clock()
        # Set by the components that are created later.
        self.load_prober: Callable[[], Prober]

    async def admit(self, call: RelayCall, progress: Progress) -> None:
        """Admit a request to placement, or raise PondpinError.

        Sets whether it is suspected, and which releases must not run it.
        """
        while not self._is_synced():
            await asyncio.sleep(POLL_SECONDS)
        if self.has_ends:
            await self.records.admit(call, progress)
        else:
            progress.suspected = False
            progress.suspected_features = ()
            progress.failed_releases = frozenset()

    def _is_synced(self) -> bool:
        if self.quarantine_sync.is_synced or not self.quarantine_sync.hosts():
            # All reachable peers have sent their ends.
            return True
        return self.clock() - self._started_at >= SYNC_WAIT_SECONDS

    @property
    def has_ends(self) -> bool:
        """Whether any life ended under a request, and the quarantine is enabled."""
        return bool(self.quarantine.ends_by_identity) and self.policy.has(Mechanism.QUARANTINE)

    def quarantine_reason(self, call: RelayCall, progress: Progress, is_begun: bool) -> str:
        """See QuarantineRecords."""
        return self.records.quarantine_reason(call, progress, is_begun) if self.has_ends else ""

    def avoided_lives(self) -> frozenset[int]:
        """Lives to avoid because a suspect was just sent there."""
        if not self.policy.has(Mechanism.QUARANTINE):
            return frozenset()
        return self.quarantine.avoided_lives(self.clock())

    def begin(self, call: RelayCall, progress: Progress, plan: Plan) -> Run:
        """Record a run about to be sent; abandon or finish ends it."""
        prefill = plan.choice.part_seconds if plan.choice is not None else 0.0
        segments = call.metadata.segments
        run = self.tracker.begin(call.identity, (plan.lead, *plan.helpers), prefill, segments)
        if progress.suspected:
            self.metrics.suspected_runs.inc({"service": call.service})
            run.suspects = progress.suspected_features
            for feature in run.suspects:
                life, instance = plan.lead.life, self.quarantine_sync.instance
                self.quarantine.begin_run(feature, instance, life, self.clock())
                self.quarantine_sync.running_by_identity[feature] = life
            self.quarantine_sync.broadcast()
        return run

    def end_suspect_run(self, run: Run) -> None:
        """End a suspect's run, after its outcome was broadcast."""
        if not run.suspects:
            return
        for feature in run.suspects:
            self.quarantine.end_run(feature, self.quarantine_sync.instance)
            self.quarantine_sync.running_by_identity.pop(feature, None)
        run.suspects = ()
        self.quarantine_sync.broadcast()

    def abandon(self, run: Run) -> None:
        """End a run whose caller disconnected, or whose attempt failed here."""
        self.tracker.abandon(run)
        self.end_suspect_run(run)

    async def finish(self, call: RelayCall, plan: Plan, end: AttemptEnd, run: Run) -> AttemptEnd:
        """End a run, and evaluate its end for the upstream's life and the request.

        Returns the end, broken if nothing shows that its response is complete.
        """
        return await self.outcomes.finish(call, plan, end, run)

    async def wait_for_exoneration(
        self, call: RelayCall, progress: Progress, end: AttemptEnd
    ) -> None:
        """See RunOutcomes."""
        await self.outcomes.wait_for_exoneration(call, progress, end)

    @cached_property
    def outcomes(self) -> "RunOutcomes":
        """Loaded with the end of the first run."""
        from pondpin.relay.attempts.run_outcomes import RunOutcomes

        return RunOutcomes(self)

    def allows_retry(self, call: RelayCall, progress: Progress, end: AttemptEnd) -> bool:
        """Whether the quarantine allows a retry after an attempt."""
        return self.records.allows_retry(call, progress, end) if self.has_ends else True

    @cached_property
    def records(self) -> "QuarantineRecords":
        """Loaded on the first end of a life under a request."""
        from pondpin.relay.attempts.quarantine_records import QuarantineRecords

        return QuarantineRecords(
            self.quarantine_sync,
            self.tracker,
            self.table,
            self.trial_rank,
            self.list_at,
            self.metrics,
            self.end_suspect_run,
        )

    def step(self, now: float) -> None:
        """Settle and expire ends."""
        self.tracker.record_unlisted()
        self.tracker.prune(now)
        self.quarantine_sync.expire(now)
        if self.quarantine.ends_by_identity or "records" in self.__dict__:
            self.records.settle(now)
        self.quarantine.prune(now)
