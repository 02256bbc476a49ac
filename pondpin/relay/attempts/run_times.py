"""How long plain calls of each route run, by recent runs and open ones."""

import itertools
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

# Older runs say little of the next one.
RECENT_SECONDS = 300.0
# Of a route; a falling sequence of run times seldom has more.
MAX_RUNS = 64


@dataclass(frozen=True, slots=True)
class Run:
    """An open run; started_at is by the monotonic clock."""

    route: str
    number: int
    started_at: float


@dataclass(slots=True)
class RunTimes:
    """The longest recent run of each route, in seconds."""

    # Answered runs as (end, seconds) by route name, each shorter than those before it.
    _runs_by_route: dict[str, deque[tuple[float, float]]] = field(default_factory=dict)
    # Starts of open runs by number, the oldest first, by route name.
    _starts_by_route: dict[str, dict[int, float]] = field(default_factory=dict)
    _numbers: Iterator[int] = field(default_factory=itertools.count)

    def begin(self, route: str, now: float) -> Run:
        """Begin a run."""
        run = Run(route, next(self._numbers), now)
        self._starts_by_route.setdefault(route, {})[run.number] = now
        return run

    def end(self, run: Run, is_answered: bool, now: float) -> None:
        """End a run; only one that was answered tells how long others take."""
        starts = self._starts_by_route[run.route]
        del starts[run.number]
        if not starts:
            del self._starts_by_route[run.route]
        if is_answered:
            self._record(run.route, now - run.started_at, now)

    def _record(self, route: str, seconds: float, now: float) -> None:
        runs = self._runs_by_route.setdefault(route, deque())
        while runs and (runs[-1][1] <= seconds or len(runs) >= MAX_RUNS):
            runs.pop()
        runs.append((now, seconds))

    def longest(self, route: str, now: float) -> float:
        """The longest recent run of a route, or the age of its oldest open one; 0 without any."""
        runs = self._runs_by_route.get(route, ())
        recent = next((seconds for at, seconds in runs if now - at <= RECENT_SECONDS), 0.0)
        oldest = next(iter(self._starts_by_route.get(route, {}).values()), now)
        return max(recent, now - oldest)

    def expire(self, now: float) -> None:
        """Drop older runs."""
        for route, runs in list(self._runs_by_route.items()):
            while runs and now - runs[0][0] > RECENT_SECONDS:
                runs.popleft()
            if not runs:
                del self._runs_by_route[route]
