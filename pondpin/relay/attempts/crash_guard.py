"""Holds back requests that end the workers which run them.

Asks `pondpin.quarantine`, which holds the decision, before every send, and feeds it with what
attempts, the list of upstreams and peers say of lives that ended.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

from pondpin.clocks import Clock
from pondpin.metrics import Metrics
from pondpin.quarantine import (
    Quarantine,
    Turn,
)
from pondpin.relay.attempts.attempt_ends import helper_at_fault
from pondpin.relay.attempts.run_tracker import (
    Run,
    RunTracker,
)
from pondpin.relay.call import AttemptEnd, EndKind, Progress, RelayCall
from pondpin.relay.choosing.planner import Plan, RelayPolicy
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.peers.quarantine_sync import QuarantineSync
from pondpin.relay.upstreams.table import UpstreamTable

if TYPE_CHECKING:
    from pondpin.relay.attempts.quarantine_records import QuarantineRecords

POLL_SECONDS = 0.02
# An instance that starts waits so long for a peer's digest, and for what that peer sends: digests
# come every 0.2 s.
START_SECONDS = 0.3


@dataclass
class CrashGuard:
    """The quarantine of an instance that relays."""

    quarantine_sync: QuarantineSync
    tracker: RunTracker
    table: UpstreamTable
    turn: Turn
    list_at: Callable[[], float | None]
    policy: RelayPolicy
    metrics: Metrics

    def __post_init__(self) -> None:
        """Hear of ends."""
        self.quarantine: Quarantine = self.quarantine_sync.quarantine
        self.clock: Clock = self.tracker.clock
        self.tracker.on_end = lambda seen: self.records.record_end(seen)
        self.quarantine_sync.on_received = lambda source, ends: self.records.record_peer_ends(
            source, ends
        )
        self._made_at = self.clock()

    async def admit(self, call: RelayCall, progress: Progress) -> None:
        """Let a request through to placement, or raise PondpinError.

        Sets what placement must heed: whether it is suspect, and which software it may not meet.
        """
        while not self._knows_peers():
            await asyncio.sleep(POLL_SECONDS)
        if self.has_ends:
            await self.records.admit(call, progress)
        else:
            progress.suspected = False
            progress.spent_releases = frozenset()

    def _knows_peers(self) -> bool:
        """Whether peers had the time to tell what they know since this instance started."""
        if self.quarantine_sync.is_synced or not self.quarantine_sync.hosts():
            # All reachable peers have told what they know.
            return True
        return self.clock() - self._made_at >= START_SECONDS

    @property
    def has_ends(self) -> bool:
        """Whether any request was running where an upstream ended, and verdicts are on."""
        return bool(self.quarantine.ends_by_identity) and self.policy.has(Mechanism.QUARANTINE)

    def outdated(self, call: RelayCall, progress: Progress, is_begun: bool) -> str:
        """What holds now where a request was planned under a milder verdict; empty where not.

        is_begun: the run that goes on is its own.
        """
        return self.records.outdated(call, progress, is_begun) if self.has_ends else ""

    def avoided_lives(self) -> frozenset[int]:
        """Lives of upstreams that others had better keep off for a moment."""
        if not self.policy.has(Mechanism.QUARANTINE):
            return frozenset()
        return self.quarantine.shunned(self.clock())

    def begin(self, call: RelayCall, progress: Progress, plan: Plan) -> Run:
        """A request is about to be sent; leave or look_after ends it."""
        if progress.suspected:
            self.metrics.suspected.inc({"service": call.service})
            identity, life = call.identity, plan.lead.life
            self.quarantine.begin_run(identity, self.quarantine_sync.instance, life, self.clock())
            self.quarantine_sync.running_by_identity[identity] = life
            self.quarantine_sync.broadcast()
        reading = plan.choice.part_seconds if plan.choice is not None else 0.0
        return self.tracker.begin(call.identity, (plan.lead, *plan.helpers), reading)

    def _end(self, call: RelayCall, progress: Progress) -> None:
        """A suspect's run is over, and what it led to was told."""
        identity = call.identity
        if not progress.suspected or identity not in self.quarantine_sync.running_by_identity:
            return
        self.quarantine.end_run(identity, self.quarantine_sync.instance)
        del self.quarantine_sync.running_by_identity[identity]
        self.quarantine_sync.broadcast()

    def abandon(self, call: RelayCall, progress: Progress, run: Run) -> None:
        """Its caller left, or its attempt failed here."""
        self.tracker.abandon(run)
        self._end(call, progress)

    async def finish(
        self, call: RelayCall, progress: Progress, plan: Plan, end: AttemptEnd, run: Run
    ) -> None:
        """Find out what an attempt's end says of the upstream's life, and of the request."""
        try:
            await self._look(plan, end, run)
        finally:
            # Also when its caller leaves meanwhile: peers would take it for running on.
            self._end(call, progress)
        if end.kind in (EndKind.DONE, EndKind.ANSWERED):
            cleared = self.quarantine.note_good(call.identity, self.clock())
            if cleared:
                self.records.unsent += cleared

    async def _look(self, plan: Plan, end: AttemptEnd, run: Run) -> None:
        helper = helper_at_fault(plan, end)
        if end.kind is EndKind.BROKEN:
            await self.tracker.check(run, plan.lead)
        elif helper is not None:
            await self.tracker.check(run, helper)
        elif end.kind is EndKind.STALLED:
            self.tracker.abandon(run)
        else:
            self.tracker.complete(run)
        if end.kind is EndKind.NOT_SENT and end.connection_refused:
            self.tracker.record_refused(plan.lead)

    def allows_retry(self, call: RelayCall, end: AttemptEnd) -> bool:
        """Whether another upstream may get a request after an attempt."""
        return self.records.allows_retry(call, end) if self.has_ends else True

    @cached_property
    def records(self) -> "QuarantineRecords":
        """Loaded with the first end of an upstream under a request."""
        from pondpin.relay.attempts.quarantine_records import QuarantineRecords

        return QuarantineRecords(
            self.quarantine_sync, self.tracker, self.table, self.turn, self.list_at, self.metrics
        )

    def step(self, now: float) -> None:
        """Settle and forget ends."""
        self.tracker.record_unlisted()
        self.tracker.prune(now)
        self.quarantine_sync.expire(now)
        if self.quarantine.ends_by_identity or "records" in self.__dict__:
            self.records.settle(now)
        self.quarantine.prune(now)
