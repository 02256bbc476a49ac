"""Checks whether a life of an upstream ended, and which requests ran there."""

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
from pondpin.relay.quarantine_events import UpstreamEnded
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.request_identity import format_identity, identify_segment

# A retry waits this long for the result of a check. A refusal is confirmed by two peers, one after
# the other: eight round trips of up to 11 ms between data centres, and time to decide.
ANSWER_SECONDS = 0.15
MILLISECONDS = 1000
# Of each request in a log line.
LOGGED_SEGMENTS = 8


class LivenessChecks:
    """Connects to upstreams to check them, for a run tracker."""

    def __init__(self, tracker: RunTracker) -> None:
        self._tracker = tracker
        self._checks_by_life: dict[int, asyncio.Task[ConnectOutcome]] = {}

    async def check(self, run: Run, state: UpstreamState) -> ConnectOutcome | None:
        """Check an upstream after a request broke off there; None if that isn't done in time."""
        run.ended_at = self._tracker.clock()
        # The end of an upstream that is leaving or has removed its entry is planned.
        run.broken = self._tracker.table.is_in_service(state)
        if not run.broken:
            return None
        task = self.start_check(state)
        await asyncio.wait((task,), timeout=ANSWER_SECONDS)
        return task.result() if task.done() and not task.cancelled() else None

    def start_check(self, state: UpstreamState) -> "asyncio.Task[ConnectOutcome]":
        """Connect to an upstream; requests that break off together share one check."""
        task = self._checks_by_life.get(state.life)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._connect(state))
            self._checks_by_life[state.life] = task
            task.add_done_callback(lambda _: self._checks_by_life.pop(state.life, None))
        return task

    async def _connect(self, state: UpstreamState) -> ConnectOutcome:
        began = self._tracker.clock()
        answer = await self._tracker.reach(state.listed.host, state.listed.port)
        runs = self._tracker.runs(state)
        self._tracker.log.write(
            UpstreamEnded(
                upstream=state.id,
                answer=answer.value,
                after_ms=round((self._tracker.clock() - began) * MILLISECONDS),
                ran=tuple(self._describe_run(run, began) for run in runs),
            )
        )
        if answer is ConnectOutcome.REFUSED and self._tracker.table.is_in_service(state):
            self.record_refused(state)
        return answer

    def _describe_run(self, run: Run, now: float) -> str:
        since = round((now - run.began) * MILLISECONDS)
        key = self._tracker.identity_key
        segments = (identify_segment(key, item) for item in run.segments.ids[:LOGGED_SEGMENTS])
        shared = ",".join(format_identity(item) for item in segments)
        return (
            f"{format_identity(run.identity)} {since} ms"
            f"{' just begun' if run.may_be_starting(now) else ''}"
            f"{' segments ' + shared if shared else ''}"
        )

    def record_refused(self, state: UpstreamState) -> None:
        """Record the end of a life that refuses connections."""
        self._record_end(state, LATE_START_SECONDS, lambda run: True)

    def record_unlisted(self) -> None:
        """Record the ends of lives that left the list after requests broke off there."""
        unlisted = {
            run.upstreams[0].life: run.upstreams[0]
            for runs in self._tracker.runs_by_life.values()
            for run in runs
            if run.broken and self._tracker.table.by_life(run.upstreams[0].life) is None
        }
        for state in unlisted.values():
            self._record_end(state, LIST_LAG_SECONDS, lambda run: run.broken)

    def _record_end(
        self, state: UpstreamState, seconds: float, includes: Callable[[Run], bool]
    ) -> None:
        now = self._tracker.clock()
        runs = self._tracker.runs_by_life.pop(state.life, [])
        sent = (run for run in runs if run.is_sent and run.was_running(now, seconds))
        found = tuple(run for run in sent if includes(run))
        # A request that is still open may yet show that the life goes on.
        still_open = [run for run in runs if run.ended_at is None]
        if still_open:
            self._tracker.runs_by_life[state.life] = still_open
        if found:
            self._tracker.on_end(ObservedEnd(state, now, found))

    def active_since(self, life: int, since: float) -> bool:
        """Whether a life sent data after a moment, in answer to a request from before it.

        Data on a newer connection proves nothing: it may come from a later life at the same
        address. Nor does a stream of which the upstream prefilled a part: its lead continues it.
        """
        runs = self._tracker.runs_by_life.get(life, ())
        return any(
            run.began < since < run.last_data_at and run.is_answered_by(life) for run in runs
        )
