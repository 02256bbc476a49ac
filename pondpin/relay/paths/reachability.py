"""Which upstreams this instance can't reach directly, as far as it knows.

Reachability is a property of a pair of instance and upstream. A failure to connect is evidence on
the pair; a peer tells whether the upstream is at fault (it can't connect either) or the own link.
"""

from dataclasses import dataclass, field

from pondpin.network import Endpoint

# One upstream that fails may be down; that two fail at the same time is rarer.
MIN_FAILING = 2
# Upstreams that must fail, and none succeed, before all links count as lost.
MIN_FAILING_FOR_CUT = 4
# How long a fault of the upstream that peers confirmed stays known, and spares asking them again.
CONFIRMED_SECONDS = 1.0


@dataclass
class Reachability:
    """Failures to connect directly; times are in seconds of the steady clock."""

    # Upstreams that failed, with the time of the last failure; see drop_confirmed.
    failed_at: dict[Endpoint, float] = field(default_factory=dict)
    # Those of them that a peer reached: the own link is at fault.
    detours: set[Endpoint] = field(default_factory=set)
    _confirmed_at: dict[Endpoint, float] = field(default_factory=dict)
    # Upstreams that failed since the last success.
    _failed_in_row: set[Endpoint] = field(default_factory=set)

    def record_failure(self, upstream: Endpoint, now: float) -> None:
        """Record that a direct connection failed."""
        self.failed_at[upstream] = now
        self._failed_in_row.add(upstream)

    def record_success(self, upstream: Endpoint) -> bool:
        """Record a direct connection; returns whether the upstream had failed before."""
        self._failed_in_row.clear()
        self._confirmed_at.pop(upstream, None)
        return self._drop(upstream)

    def record_detour(self, upstream: Endpoint) -> bool:
        """Record that a peer reached an upstream that failed; returns whether this is new."""
        is_new = upstream in self.failed_at and upstream not in self.detours
        if is_new:
            self.detours.add(upstream)
        return is_new

    def record_confirmed(self, upstream: Endpoint, now: float) -> None:
        """Record that peers can't connect either: the upstream is at fault."""
        self._drop(upstream)
        self._failed_in_row.discard(upstream)
        self._confirmed_at[upstream] = now

    def is_confirmed(self, upstream: Endpoint, now: float) -> bool:
        """Whether peers confirmed lately that the upstream is at fault."""
        self._confirmed_at = {
            item: at for item, at in self._confirmed_at.items() if now - at < CONFIRMED_SECONDS
        }
        return upstream in self._confirmed_at

    def keep(self, listed: set[Endpoint]) -> None:
        """Forget upstreams that are not listed any more."""
        for upstream in set(self.failed_at) - listed:
            self._drop(upstream)
            self._failed_in_row.discard(upstream)

    def _drop(self, upstream: Endpoint) -> bool:
        self.detours.discard(upstream)
        return self.failed_at.pop(upstream, None) is not None

    @property
    def is_degraded(self) -> bool:
        """Whether the own links are probably at fault for some upstreams."""
        return bool(self.detours) or len(self.failed_at) >= MIN_FAILING

    def is_cut(self, listed: int) -> bool:
        """Whether all links are probably lost; listed: how many upstreams there are."""
        return len(self._failed_in_row) >= max(1, min(MIN_FAILING_FOR_CUT, listed))
