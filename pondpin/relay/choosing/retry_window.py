"""This instance's share of the retry budget of a service, which all instances share.

The window slides because the bound holds for every interval of its length.
"""

from collections import deque
from dataclasses import dataclass, field

# Up to half a window of requests may leave the window before the retries that they allowed.
RATIO_SHARE = 0.6
# Membership changes are noticed late, so a quarter of the allowance stays unused.
ALLOWANCE_SHARE = 0.75
# Lower bound, for an instance that has not discovered its peers yet.
MIN_INSTANCES = 4


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """retries <= ratio * requests + allowance per window (seconds), over all instances."""

    ratio: float = 0.2
    allowance: float = 20.0
    window: float = 10.0


@dataclass(slots=True)
class RetryWindow:
    """Times of this instance's requests and retries within the window."""

    bounds: RetryBounds
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Record a caller's request."""
        self._trim(now)
        self.requests.append(now)

    def spend(self, now: float, instances: int) -> bool:
        """Use one retry of this instance's share; False when none is left.

        instances counts silent peers too: they may be alive behind a network partition.
        """
        if not self.has_budget(now, instances):
            return False
        self.retries.append(now)
        return True

    def has_budget(self, now: float, instances: int) -> bool:
        """Whether this instance's share has a retry left."""
        self._trim(now)
        return len(self.retries) + 1 <= self.limit(instances)

    def limit(self, instances: int) -> float:
        """Retries that this instance may make per window."""
        allowance = self.bounds.allowance * ALLOWANCE_SHARE / max(MIN_INSTANCES, instances)
        return self.bounds.ratio * RATIO_SHARE * len(self.requests) + allowance

    def _trim(self, now: float) -> None:
        start = now - self.bounds.window
        for times in (self.requests, self.retries):
            while times and times[0] < start:
                times.popleft()
