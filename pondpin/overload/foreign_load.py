"""Estimates how many requests an upstream runs without a grant, from reports that lag.

Times are in seconds of the steady clock.
"""

from collections import deque
from dataclasses import dataclass, field

# A report describes the upstream at a moment up to this long ago: two one-way latencies of 5.4 ms
# and the time in which both sides handle it.
REPORT_LAG_SECONDS = 0.05
# The newest ends of grants that are remembered for the lag: 1,000 a second.
ENDS_REMEMBERED = 50


@dataclass(slots=True)
class ForeignLoad:
    """The number of requests without a grant that the last reports prove.

    A grant that was made or ended within the lag may or may not be part of a report, so a report
    gives a lowest and a highest number. The estimate rises to the lowest and falls to the highest
    at once. Between them it is kept only as long as a request is held: a number that no report
    proves again is from requests that have ended.
    """

    count: int = 0
    reported_at: float = 0.0
    proven_at: float = 0.0
    ended_at: deque[float] = field(default_factory=lambda: deque(maxlen=ENDS_REMEMBERED))

    def record_end(self, now: float) -> None:
        """Note that a grant has ended."""
        self.ended_at.append(now)

    def observe(
        self, load: int, granted: int, granted_lately: int, hold_seconds: float, now: float
    ) -> None:
        """Apply a report; granted_lately: the part of the grants made within the lag."""
        ended_lately = sum(now - at < REPORT_LAG_SECONDS for at in self.ended_at)
        most = max(0, load - (granted - granted_lately))
        least = max(0, load - granted - ended_lately)
        self.reported_at = now
        is_old = now - self.proven_at > max(REPORT_LAG_SECONDS, hold_seconds)
        if least >= self.count or is_old:
            self.count, self.proven_at = least, now
        self.count = min(self.count, most)

    def expire(self, keep_seconds: float, now: float) -> None:
        """Forget the estimate if there was no report for some time."""
        if now - self.reported_at >= keep_seconds:
            self.count = 0
