"""Finds out whether a life of an upstream ended, and which requests were there."""

import asyncio
from collections.abc import Callable

from pondpin.http_client import ConnectOutcome
from pondpin.relay.attempts.run_tracker import (
    LATE_START_SECONDS,
    LIST_LAG_SECONDS,
    ObservedEnd,
    Run,
    RunTracker,
)
from pondpin.relay.log_events import UpstreamEnded
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.request_identity import format_identity

# A second try waits so long for the answer of such a connection: ways there and back take 4 ms.
ANSWER_SECONDS = 0.06
MILLISECONDS = 1000


class LivenessChecks:
    """Connects to upstreams that requests lost, for the life watch whose requests they are."""

    def __init__(self, watch: RunTracker) -> None:
        self._watch = watch
        self._looks_by_life: dict[int, asyncio.Task[None]] = {}

    async def check(self, run: Run, state: UpstreamState) -> None:
        """A request broke off: find out whether its upstream's life has ended."""
        run.ended_at = self._watch.clock()
        # A worker may also leave by taking its entry away: its end is planned then.
        run.broken = self._watch.table.is_in_service(state)
        if run.broken:
            await asyncio.wait((self.start_check(state),), timeout=ANSWER_SECONDS)

    def start_check(self, state: UpstreamState) -> "asyncio.Task[None]":
        """Connect to an upstream; requests that broke off together share the answer."""
        task = self._looks_by_life.get(state.life)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._look(state))
            self._looks_by_life[state.life] = task
            task.add_done_callback(lambda _: self._looks_by_life.pop(state.life, None))
        return task

    async def _look(self, state: UpstreamState) -> None:
        began = self._watch.clock()
        answer = await self._watch.reach(state.listed.host, state.listed.port)
        runs = self._watch.runs(state)
        self._watch.log.write(
            UpstreamEnded(
                upstream=state.id,
                answer=answer.value,
                after_ms=round((self._watch.clock() - began) * MILLISECONDS),
                ran=tuple(_tell(run, began) for run in runs),
            )
        )
        if answer is ConnectOutcome.REFUSED and self._watch.table.is_in_service(state):
            self.record_refused(state)

    def record_refused(self, state: UpstreamState) -> None:
        """Nobody listens at an upstream's place: those that were there a moment ago are noted."""
        self._end(state, LATE_START_SECONDS, lambda run: True)

    def record_unlisted(self) -> None:
        """Note the ends of lives that are listed no more since requests broke off there."""
        broken = {
            run.upstreams[0].life: run.upstreams[0]
            for runs in self._watch.runs_by_life.values()
            for run in runs
            if run.broken and self._watch.table.by_life(run.upstreams[0].life) is None
        }
        for state in broken.values():
            self._end(state, LIST_LAG_SECONDS, lambda run: run.broken)

    def _end(self, state: UpstreamState, seconds: float, counts: Callable[[Run], bool]) -> None:
        now = self._watch.clock()
        runs = self._watch.runs_by_life.pop(state.life, [])
        found = tuple(run for run in runs if run.was_running(now, seconds) and counts(run))
        # One that is still open may yet show that the life goes on.
        still_open = [run for run in runs if run.ended_at is None]
        if still_open:
            self._watch.runs_by_life[state.life] = still_open
        if found:
            self._watch.on_end(ObservedEnd(state, now, found))

    def active_since(self, life: int, since: float) -> bool:
        """Whether a request that it answers, from before a moment, was heard of after it.

        A word on a new connection would not do: it may be a later life's at the same place. Nor
        a stream of which it has read a part: its lead writes on.
        """
        runs = self._watch.runs_by_life.get(life, ())
        return any(
            run.began < since < run.last_data_at and run.is_answered_by(life) for run in runs
        )


def _tell(run: Run, now: float) -> str:
    since = round((now - run.began) * MILLISECONDS)
    return (
        f"{format_identity(run.identity)} {since} ms"
        f"{' just begun' if run.may_be_starting(now) else ''}"
    )
