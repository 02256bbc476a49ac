"""How long recent plain calls of each route ran."""

from collections import deque
from dataclasses import dataclass, field

# Older runs say little of the next one.
RECENT_SECONDS = 300.0
# Of a route; a falling sequence of run times seldom has more.
MAX_RUNS = 64


@dataclass(slots=True)
class RunTimes:
    """The longest recent run of each route, in seconds."""

    # Runs as (end, seconds) by route name, each shorter than those before it.
    _runs_by_route: dict[str, deque[tuple[float, float]]] = field(default_factory=dict)

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record a run that was answered."""
        runs = self._runs_by_route.setdefault(route, deque())
        while runs and (runs[-1][1] <= seconds or len(runs) >= MAX_RUNS):
            runs.pop()
        runs.append((now, seconds))

    def longest(self, route: str, now: float) -> float:
        """The longest recent run of a route; 0 if none is known."""
        runs = self._runs_by_route.get(route, ())
        return next((seconds for at, seconds in runs if now - at <= RECENT_SECONDS), 0.0)

    def expire(self, now: float) -> None:
        """Drop older runs."""
        for route, runs in list(self._runs_by_route.items()):
            while runs and now - runs[0][0] > RECENT_SECONDS:
                runs.popleft()
            if not runs:
                del self._runs_by_route[route]
