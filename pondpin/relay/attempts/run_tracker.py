"""Which requests ran on an upstream when its life ended.

A connection that breaks proves nothing: it may have been reset or cut, and the upstream lives on.
So whoever loses one connects there again. Only a place that refuses has nobody listening; that, or
a later life in the list, ends the earlier one.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from functools import cached_property
from typing import TYPE_CHECKING

from pondpin.clocks import Clock
from pondpin.http_client import ConnectOutcome
from pondpin.relay.log import EventLog
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable

if TYPE_CHECKING:
    from pondpin.relay.attempts.liveness_checks import LivenessChecks

# A worker begins to run a request once it is read, which takes at least this share of the time that
# reading alone is known to take.
READ_SHARE = 0.7
# A request that has been answered for so long did not end its upstream by beginning to run.
ANSWERED_SECONDS = 0.3
# After a caller left, the worker may begin its request before it reads that the connection closed.
LATE_START_SECONDS = 1.0
# An upstream that a request has left is connected to after this, unless it was heard meanwhile.
LOOK_SECONDS = 0.3
# The list shows the end of a worker within three heartbeats and the time of a read.
LIST_LAG_SECONDS = 6.0


@dataclass(eq=False)
class Run:
    """A request on the upstreams of one attempt; times are by the steady clock.

    reading: seconds that its part of the prompt takes to read, 0 when not known.
    """

    identity: int
    began: float
    upstreams: tuple[UpstreamState, ...]
    prefill_seconds: float = 0.0
    answered_at: float | None = None
    last_data_at: float = 0.0
    ended_at: float | None = None
    broken: bool = False

    def is_answered_by(self, life: int) -> bool:
        """Whether a life answers it, and not only reads a part of it."""
        return self.upstreams[0].life == life

    def was_answered(self, at: float) -> bool:
        """Whether it had been answered for a while at a moment."""
        return self.answered_at is not None and at - self.answered_at >= ANSWERED_SECONDS

    def may_be_starting(self, at: float) -> bool:
        """Whether it may have just begun to run at a moment."""
        is_read = at - self.began >= READ_SHARE * self.prefill_seconds
        return is_read and not self.was_answered(at)

    def was_running(self, at: float, seconds: float) -> bool:
        """Whether it ran at a moment, or had left at most some seconds before."""
        return self.ended_at is None or at - self.ended_at <= seconds


@dataclass(frozen=True, slots=True)
class ObservedEnd:
    """The life of an upstream ended while these requests of this instance were there."""

    state: UpstreamState
    at: float
    runs: tuple[Run, ...]


@dataclass
class RunTracker:
    """The requests of this instance by the life of the upstream that they run on."""

    reach: Callable[[str, int], Awaitable[ConnectOutcome]]
    table: UpstreamTable
    log: EventLog
    clock: Clock
    on_end: Callable[[ObservedEnd], None] = lambda seen: None
    runs_by_life: dict[int, list[Run]] = field(default_factory=dict)

    def begin(self, identity: int, places: Iterable[UpstreamState], reading: float) -> Run:
        """A request is about to be sent."""
        run = Run(identity, self.clock(), tuple(places), reading)
        for state in run.upstreams:
            self.runs_by_life.setdefault(state.life, []).append(run)
        return run

    def complete(self, run: Run) -> None:
        """A request got its whole answer, or was not run."""
        for state in run.upstreams:
            self._drop(state.life, run)

    def abandon(self, run: Run) -> None:
        """A request was given up: its upstreams are looked at in a moment if they are silent."""
        run.ended_at = self.clock()
        loop = asyncio.get_running_loop()
        for state in run.upstreams:
            loop.call_later(LOOK_SECONDS, self._look_if_silent, run, state)

    def _look_if_silent(self, run: Run, state: UpstreamState) -> None:
        left_at = run.ended_at
        if left_at is None or state.last_seen_at > left_at or run not in self.runs(state):
            return
        if self.table.is_in_service(state):
            self.looks.start_check(state)

    @cached_property
    def looks(self) -> "LivenessChecks":
        """Loaded when a request first breaks off, or an end is told."""
        from pondpin.relay.attempts.liveness_checks import LivenessChecks

        return LivenessChecks(self)

    async def check(self, run: Run, state: UpstreamState) -> None:
        """A request broke off: find out whether its upstream's life has ended."""
        await self.looks.check(run, state)

    def record_refused(self, state: UpstreamState) -> None:
        """Nobody listens at an upstream's place: those that were there a moment ago are noted."""
        self.looks.record_refused(state)

    def record_unlisted(self) -> None:
        """Note the ends of lives that are listed no more since requests broke off there."""
        if "looks" in self.__dict__:
            self.looks.record_unlisted()

    def active_since(self, life: int, since: float) -> bool:
        """Whether a request that it answers, from before a moment, was heard of after it."""
        return self.looks.active_since(life, since)

    def prune(self, now: float) -> None:
        """Forget requests that left too long ago to matter."""
        for life, runs in list(self.runs_by_life.items()):
            kept = [run for run in runs if run.was_running(now, LIST_LAG_SECONDS)]
            if kept:
                self.runs_by_life[life] = kept
            else:
                del self.runs_by_life[life]

    def runs(self, state: UpstreamState) -> list[Run]:
        """The requests on an upstream's life."""
        return self.runs_by_life.get(state.life, [])

    def _drop(self, life: int, run: Run) -> None:
        runs = self.runs_by_life.get(life, [])
        if run in runs:
            runs.remove(run)
        if not runs:
            self.runs_by_life.pop(life, None)
