"""The part of an upstream's limit that an instance of the callers' own interface uses.

All instances hear an upstream's limit within one poll of its load, so each can reckon its turns by
itself: the permits of a limit belong to the live instances one after the other. A turn that is not
used soon lapses, since saved ones of all instances together would be more than the limit allows.
"""

import math
from dataclasses import dataclass

# A turn is good for so long, and for as long as one permit takes to come: together with those that
# begin in any 4 s that stays under 1.25 times what the limit allows, and 3.
VALID_SECONDS = 0.75


@dataclass(frozen=True, slots=True)
class InstancePosition:
    """An instance's place among those that share a limit."""

    rank: int = 0
    count: int = 1


SINGLE_INSTANCE = InstancePosition()


@dataclass(slots=True)
class LimitSlots:
    """The turns at one limit; limit in requests a second, named_at and last in seconds.

    last: when the turn began that was used last.
    """

    limit: float
    reported_at: float
    last: float = -math.inf

    def current_slot(self, sharer: InstancePosition, now: float) -> float | None:
        """When the turn began that may be used now, None where there is none."""
        if self.limit <= 0:
            return None
        gap = sharer.count / self.limit
        first = self.reported_at + (sharer.rank + 1) / self.limit
        began = first + math.floor((now - first) / gap) * gap
        is_good = began >= first and now - began < min(gap, VALID_SECONDS + 1.0 / self.limit)
        # Where others come or go turns are cut anew: a part of one is none.
        return began if is_good and began >= self.last + gap * 0.999 else None

    def use_slot(self, sharer: InstancePosition, now: float) -> None:
        """Use the turn."""
        began = self.current_slot(sharer, now)
        if began is not None:
            self.last = began

    def seconds_to_next(self, sharer: InstancePosition, now: float) -> float:
        """Seconds until the next turn begins, infinite where none ever does."""
        if self.limit <= 0:
            return math.inf
        gap = sharer.count / self.limit
        first = self.reported_at + (sharer.rank + 1) / self.limit
        return max(0.0, first - now) if now < first else gap - (now - first) % gap
