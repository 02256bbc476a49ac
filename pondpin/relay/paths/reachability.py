"""Which upstreams this instance fails to connect to, and whether its own links are at fault.

A failure is evidence on a pair of instance and upstream. Several upstreams that fail with no
success in between are evidence on the links of the instance.
"""

from dataclasses import dataclass, field

from pondpin.network import Endpoint

# One upstream that fails may be down; that two fail at the same time is rarer.
MIN_FAILING = 2
# Failures are evidence for this long. Instances of large fleets open a few connections a second.
EVIDENCE_SECONDS = 3.0


@dataclass
class Reachability:
    """Failures to connect; times are in seconds of the steady clock."""

    failed_at: dict[Endpoint, float] = field(default_factory=dict)
    # When the first upstream failed after the last success.
    failing_since: float = 0.0
    # Upstreams that failed after the last success.
    _failing: set[Endpoint] = field(default_factory=set)

    def record_failure(self, upstream: Endpoint, now: float) -> None:
        """Record that a direct connection failed."""
        self._expire(now)
        if not self._failing:
            self.failing_since = now
        self.failed_at[upstream] = now
        self._failing.add(upstream)

    def record_success(self, upstream: Endpoint) -> None:
        """Record a direct connection."""
        self.failed_at.pop(upstream, None)
        self._failing.clear()

    def is_cut(self, now: float) -> bool:
        """Whether the instance has probably lost its links to all upstreams."""
        self._expire(now)
        return len(self._failing) >= MIN_FAILING

    def is_active(self, now: float) -> bool:
        """Whether there is any evidence."""
        self._expire(now)
        return bool(self.failed_at)

    def _expire(self, now: float) -> None:
        for upstream, at in list(self.failed_at.items()):
            if now - at > EVIDENCE_SECONDS:
                del self.failed_at[upstream]
                self._failing.discard(upstream)
