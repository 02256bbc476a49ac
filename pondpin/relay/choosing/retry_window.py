"""This instance's share of the retries that all instances may make at a service.

Counts stand in a sliding window, since the bound holds for every span of the window's length.
"""

from collections import deque
from dataclasses import dataclass, field

# Requests of the last half window may leave the window before retries do.
RATIO_SHARE = 0.6
# Peers come and go faster than they are noticed; a quarter of the allowance stays unused.
ALLOWANCE_SHARE = 0.75
# An instance that has not heard of its peers yet is not alone.
MIN_INSTANCES = 4


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """retries <= ratio x requests + allowance within a window of seconds, over all instances."""

    ratio: float = 0.2
    allowance: float = 20.0
    window: float = 10.0


@dataclass(slots=True)
class RetryWindow:
    """Times of own requests and retries within the window."""

    bounds: RetryBounds
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """A caller's request for the service arrived."""
        self._trim(now)
        self.requests.append(now)

    def spend(self, now: float, sharers: int) -> bool:
        """Take one retry if the share has one left.

        sharers counts peers that fell silent too: they may be cut off from here and alive.
        """
        if not self.has_budget(now, sharers):
            return False
        self.retries.append(now)
        return True

    def has_budget(self, now: float, sharers: int) -> bool:
        """Whether the share has a retry left now."""
        self._trim(now)
        return len(self.retries) + 1 <= self.limit(sharers)

    def limit(self, sharers: int) -> float:
        """Retries that this instance may make within a window."""
        allowance = self.bounds.allowance * ALLOWANCE_SHARE / max(MIN_INSTANCES, sharers)
        return self.bounds.ratio * RATIO_SHARE * len(self.requests) + allowance

    def _trim(self, now: float) -> None:
        start = now - self.bounds.window
        for times in (self.requests, self.retries):
            while times and times[0] < start:
                times.popleft()
