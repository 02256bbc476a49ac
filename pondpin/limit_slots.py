"""The share of an upstream's limit that an instance of the callers' own interface may use.

All instances learn a limit within one load poll, so each computes its own time slots: permits go
round robin to the live instances. Unused slots expire soon, since the saved slots of all instances
together would exceed the limit.
"""

import math
from dataclasses import dataclass

# A slot is valid for this long plus the interval of one permit: with those that begin in any 4 s
# this stays below 1.25 times the limit, plus 3.
VALID_SECONDS = 0.75


@dataclass(frozen=True, slots=True)
class InstancePosition:
    """An instance's rank among the instances that share a limit, and their count."""

    rank: int = 0
    count: int = 1


SINGLE_INSTANCE = InstancePosition()


@dataclass(slots=True)
class LimitSlots:
    """The time slots of one limit, in requests a second; times in seconds.

    last: the start of the slot used last.
    """

    limit: float
    reported_at: float
    last: float = -math.inf

    def current_slot(self, position: InstancePosition, now: float) -> float | None:
        """The start of the slot that may be used now; None when there is none."""
        if self.limit <= 0:
            return None
        period = position.count / self.limit
        first = self.reported_at + (position.rank + 1) / self.limit
        start = first + math.floor((now - first) / period) * period
        is_valid = start >= first and now - start < min(period, VALID_SECONDS + 1.0 / self.limit)
        # Slots move when instances join or leave: one too soon after the last used is void.
        return start if is_valid and start >= self.last + period * 0.999 else None

    def use_slot(self, position: InstancePosition, now: float) -> None:
        """Mark the current slot as used."""
        start = self.current_slot(position, now)
        if start is not None:
            self.last = start

    def seconds_to_next(self, position: InstancePosition, now: float) -> float:
        """Seconds until the next slot begins; infinite when there is none."""
        if self.limit <= 0:
            return math.inf
        period = position.count / self.limit
        first = self.reported_at + (position.rank + 1) / self.limit
        return max(0.0, first - now) if now < first else period - (now - first) % period
