"""Tracks which requests ran on an upstream when its life ended.

A broken connection proves nothing: it may have been reset or cut while the upstream runs on. So
the instance connects again. Only a refused connection, or a list without the life, shows its end.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

from pondpin.clocks import Clock
from pondpin.http_client import ConnectOutcome
from pondpin.relay.log import EventLog
from pondpin.relay.model import NO_SEGMENTS, PromptSegments
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable

if TYPE_CHECKING:
    from pondpin.relay.attempts.liveness_checks import LivenessChecks

# Upstreams start a request after its prefill, which takes at least this share of its forecast.
MIN_PREFILL_SHARE = 0.7
# A request that has been answered for this long did not crash its upstream by starting to run.
ANSWERED_SECONDS = 0.3
# An upstream that still sends data so long after an answer began was not crashed by it: crashes
# come within 0.1 s.
SURVIVAL_SECONDS = 0.2
# Size of the sample of requests with segments.
RECENT_REQUESTS = 64
# After a disconnect, the upstream may start the request before it reads the connection's close.
LATE_START_SECONDS = 1.0
# Delay of the check on an upstream with an abandoned request, unless it was seen meanwhile.
CHECK_DELAY_SECONDS = 0.3
# The list shows the end of an upstream within three heartbeats and the time of a read.
LIST_LAG_SECONDS = 6.0


@dataclass(eq=False)
class Run:
    """A request on the upstreams of one attempt; times are monotonic.

    prefill_seconds: forecast for the prefill of its part of the prompt, 0 if not known. is_sent:
    False while it is planned or connecting; it can't have ended an upstream then.
    """

    identity: int
    began: float
    upstreams: tuple[UpstreamState, ...]
    prefill_seconds: float = 0.0
    segments: PromptSegments = NO_SEGMENTS
    answered_at: float | None = None
    last_data_at: float = 0.0
    ended_at: float | None = None
    broken: bool = False
    is_sent: bool = False
    sent_at: float = 0.0
    # Whether its segments were exonerated by its answer.
    has_survived: bool = False
    # Suspected features of its request, until their run ends.
    suspects: tuple[int, ...] = ()

    def is_answered_by(self, life: int) -> bool:
        """Whether a life answers it rather than only prefilling a part."""
        return self.upstreams[0].life == life

    def was_answered(self, at: float) -> bool:
        """Whether it had been answered for a while at a moment."""
        return self.answered_at is not None and at - self.answered_at >= ANSWERED_SECONDS

    def may_be_starting(self, at: float) -> bool:
        """Whether it may have just started to run at a moment."""
        if self.answered_at is not None:
            return not self.was_answered(at)
        return at - self.began >= MIN_PREFILL_SHARE * self.prefill_seconds

    def survived_since(self) -> float | None:
        """When its answer began, if its upstream outlived that; None if that isn't known."""
        if self.answered_at is None or self.last_data_at - self.answered_at < SURVIVAL_SECONDS:
            return None
        return self.answered_at

    def was_running(self, at: float, seconds: float) -> bool:
        """Whether it ran at a moment, or ended at most some seconds before."""
        return self.ended_at is None or at - self.ended_at <= seconds


@dataclass(frozen=True, slots=True)
class ObservedEnd:
    """The end of an upstream's life, and the requests of this instance that ran there."""

    state: UpstreamState
    at: float
    runs: tuple[Run, ...]


@dataclass
class RunTracker:
    """The runs of this instance by the life of the upstream."""

    reach: Callable[[str, int], Awaitable[ConnectOutcome]]
    table: UpstreamTable
    log: EventLog
    clock: Clock
    on_end: Callable[[ObservedEnd], None] = lambda end: None
    identity_key: bytes = b""
    runs_by_life: dict[int, list[Run]] = field(default_factory=dict)
    recent_segments: deque[PromptSegments] = field(
        default_factory=lambda: deque(maxlen=RECENT_REQUESTS)
    )

    def begin(
        self,
        identity: int,
        upstreams: Iterable[UpstreamState],
        prefill: float,
        segments: PromptSegments = NO_SEGMENTS,
    ) -> Run:
        """Record a request that is about to be sent."""
        run = Run(identity, self.clock(), tuple(upstreams), prefill, segments)
        if segments:
            self.recent_segments.append(segments)
        for state in run.upstreams:
            self.runs_by_life.setdefault(state.life, []).append(run)
        return run

    def complete(self, run: Run) -> None:
        """Remove a request that got its whole response, or was not run."""
        for state in run.upstreams:
            self._remove(state.life, run)

    def abandon(self, run: Run) -> None:
        """End a request without a response; its upstreams are checked soon if they are silent."""
        run.ended_at = self.clock()
        loop = asyncio.get_running_loop()
        for state in run.upstreams:
            loop.call_later(CHECK_DELAY_SECONDS, self._check_if_silent, run, state)

    def _check_if_silent(self, run: Run, state: UpstreamState) -> None:
        abandoned_at = run.ended_at
        if abandoned_at is None or state.last_seen_at > abandoned_at or run not in self.runs(state):
            return
        if self.table.is_in_service(state):
            self.checks.start_check(state)

    @cached_property
    def checks(self) -> "LivenessChecks":
        """Loaded when a request first breaks off, or a peer reports an end."""
        from pondpin.relay.attempts.liveness_checks import LivenessChecks

        return LivenessChecks(self)

    async def check(self, run: Run, state: UpstreamState) -> ConnectOutcome | None:
        """See LivenessChecks."""
        return await self.checks.check(run, state)

    def record_refused(self, state: UpstreamState) -> None:
        """See LivenessChecks."""
        self.checks.record_refused(state)

    def record_unlisted(self) -> None:
        """See LivenessChecks."""
        if "checks" in self.__dict__:
            self.checks.record_unlisted()

    def active_since(self, life: int, since: float) -> bool:
        """See LivenessChecks."""
        return self.checks.active_since(life, since)

    def prune(self, now: float) -> None:
        """Remove requests that ended too long ago to matter."""
        for life, runs in list(self.runs_by_life.items()):
            kept = [run for run in runs if run.was_running(now, LIST_LAG_SECONDS)]
            if kept:
                self.runs_by_life[life] = kept
            else:
                del self.runs_by_life[life]

    def runs(self, state: UpstreamState) -> list[Run]:
        """The requests on an upstream's life."""
        return self.runs_by_life.get(state.life, [])

    def _remove(self, life: int, run: Run) -> None:
        runs = self.runs_by_life.get(life, [])
        if run in runs:
            runs.remove(run)
        if not runs:
            self.runs_by_life.pop(life, None)
