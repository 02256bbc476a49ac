"""Learned time for which requests occupy a slot.

Times are in seconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Weight of one release in the mean: some 16 releases, 0.8 s of an upstream with 2 slots of 0.1 s.
RELEASE_WEIGHT = 1.0 / 16
# A release counts as at most this many times the mean, so that a single message that was delayed
# doesn't dominate the estimate.
LONGEST_HOLD_TIMES = 8.0


@dataclass(slots=True)
class HoldEstimate:
    """Mean hold time, its mean deviation, and the mean cost of the requests it was learned from."""

    mean: float
    deviation: float = 0.0
    cost: float = 0.0

    def record(self, cost_seconds: float, held_seconds: float) -> None:
        """Learn from the release of a request with a forecast cost."""
        held = min(max(0.0, held_seconds), LONGEST_HOLD_TIMES * self.mean)
        if self.cost == 0.0:
            self.cost = self.mean
        self.deviation += (abs(held - self.mean) - self.deviation) * RELEASE_WEIGHT
        self.mean = max(1e-6, self.mean + (held - self.mean) * RELEASE_WEIGHT)
        self.cost = max(1e-6, self.cost + (cost_seconds - self.cost) * RELEASE_WEIGHT)

    def forecast(self, cost_seconds: float) -> float:
        """Forecast hold of a request: its cost, corrected by the learned ratio of hold to cost."""
        return cost_seconds * self.mean / self.cost if self.cost else cost_seconds

    def remaining(self, holds: Iterable[tuple[float, float]]) -> list[float]:
        """Forecast of the rest of each of some holds, given by their forecast and age.

        One that is over its forecast ends after as long as it is over it, as slow ones tend to
        remain slow. Those that may end at any moment are within the deviation: the first of them
        ends the sooner the more they are, as the first of as many random times.
        """
        rest = sorted(abs(forecast - age) for forecast, age in holds)
        soon = sum(seconds < self.deviation for seconds in rest)
        at = 0.0
        for place in range(soon):
            at += self.deviation / (soon - place)
            rest[place] = at
        return rest
