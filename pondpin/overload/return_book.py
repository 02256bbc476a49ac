"""Times at which refused callers are told to return.

Times are in seconds of the steady clock, rates in slots a second.
"""

import math
from dataclasses import dataclass, field

from pondpin.pacer import Pacer

# The other half of the slots is left for new callers.
RETURN_PART = 0.5
# Without a refusal for this long, capacity suffices, and the places booked further ahead are open
# to new bookings: otherwise the first refusal of the next overload would get a time after them.
CALM_SECONDS = 5.0
# Weight of one grant in the parts of the grants that each kind gets: 3 s of 20 grants a second.
GRANT_WEIGHT = 1.0 / 64
# Returns of a kind that has lately been granted nothing are booked at this part of the slots, or at
# an equal one if there are more kinds, so that they have a finite time.
LEAST_PART = 0.05
# A change of the rate by this factor is no fluctuation of the learned part.
RATE_CHANGE = 2.0
# Kinds that are remembered; 200 bytes each.
MOST_KINDS = 1024


@dataclass(frozen=True, slots=True)
class Kind:
    """Requests of which the places are booked one after the other."""

    rank: int
    account: int


@dataclass(slots=True)
class ReturnBook:
    """Books places for each kind at half of the rate at which the kind is granted slots.

    So all kinds together have half of the slots, and the returns of an account that is refused most
    don't take what is another account's share. A place isn't kept free: whoever waits is served
    when a slot is. Booking at the rate at which returns are served is what makes the time true.
    """

    pacer_by_kind: dict[Kind, Pacer] = field(default_factory=dict)
    refused_at: float = -math.inf
    grants: int = 0
    _rate_by_kind: dict[Kind, float] = field(default_factory=dict)
    _part_by_kind: dict[Kind, tuple[int, float]] = field(default_factory=dict)

    def record_grant(self, kind: Kind) -> None:
        """Count a grant in the parts of all kinds."""
        part = self._granted_part(kind) if self.grants else 1.0
        self.grants += 1
        self._part_by_kind[kind] = (self.grants, part * (1 - GRANT_WEIGHT) + GRANT_WEIGHT)
        if len(self._part_by_kind) > MOST_KINDS:
            oldest = sorted(self._part_by_kind, key=self._part_by_kind.__getitem__)
            for old in oldest[: MOST_KINDS // 2]:
                del self._part_by_kind[old]

    def book(
        self, kind: Kind, rate: float, wait_seconds: float, now: float, is_kept: bool = True
    ) -> float:
        """Seconds until the next place of a kind after a wait; is_kept: whether it is booked.

        rate: slots a second of the upstream.
        """
        if now - self.refused_at > CALM_SECONDS:
            self.pacer_by_kind.clear()
            self._rate_by_kind.clear()
        self.refused_at = now
        rate *= RETURN_PART * self.part(kind)
        pacer = self.pacer_by_kind.get(kind)
        if pacer is None:
            self._limit_pacers(now)
            pacer = self.pacer_by_kind[kind] = Pacer.begin(rate, now)
            self._rate_by_kind[kind] = rate
        elif not 1 / RATE_CHANGE < rate / self._rate_by_kind[kind] < RATE_CHANGE:
            # Places booked at a lower rate lie further apart than they need to.
            ahead = max(0.0, pacer.due - now)
            pacer.due = now + ahead * min(1.0, self._rate_by_kind[kind] / rate)
            self._rate_by_kind[kind] = rate
        # Without the pacer's burst, in which places would coincide.
        at = max(pacer.due, now + wait_seconds)
        if is_kept:
            pacer.issue(rate, at)
        return at - now

    def part(self, kind: Kind) -> float:
        """The part of the slots that the returns of a kind are booked at, before halving."""
        equal = 1.0 / (1 + len(self._part_by_kind))
        if kind not in self._part_by_kind:
            return equal
        return max(min(LEAST_PART, equal), self._granted_part(kind))

    def _granted_part(self, kind: Kind) -> float:
        counted_at, part = self._part_by_kind.get(kind, (self.grants, 0.0))
        return part * math.pow(1 - GRANT_WEIGHT, self.grants - counted_at)

    def _limit_pacers(self, now: float) -> None:
        """Forget pacers that are like new ones, and the earliest of too many."""
        if len(self.pacer_by_kind) < MOST_KINDS:
            return
        by_due = sorted(self.pacer_by_kind, key=lambda kind: self.pacer_by_kind[kind].due)
        for place, kind in enumerate(by_due):
            if place < MOST_KINDS // 2 or self.pacer_by_kind[kind].due <= now:
                del self.pacer_by_kind[kind], self._rate_by_kind[kind]
