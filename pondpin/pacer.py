"""Permits for limited upstreams, and the constant rate at which they are issued.

Times are in seconds of the steady clock, rates in permits a second.
"""

import math
from dataclasses import dataclass

# Permits accumulate for this long beyond a whole one: at most 4.125 times the limit plus one in any
# 4 s. A new issuer has no burst, so that both stay below 1.25 times 4 s of the limit plus 3.
BURST_SECONDS = 0.125


@dataclass(frozen=True, slots=True)
class Permit:
    """One request to a life, to be sent within a period; host: its issuer, "" for this instance."""

    life: int
    valid_from: float
    valid_until: float
    host: str = ""


@dataclass(slots=True)
class Pacer:
    """Issues permits at a constant rate; due: when the next is due without any burst."""

    due: float

    @classmethod
    def begin(cls, rate: float, now: float) -> "Pacer":
        """A pacer without a burst; rate in permits a second."""
        return cls(now + permit_interval(rate))

    def inherit(self, earlier: "Pacer", earlier_rate: float, rate: float, now: float) -> None:
        """Take over the permits that an earlier pacer issued in advance, at its rate."""
        if earlier_rate > 0 and rate > 0:
            ahead = (earlier.due - now) * earlier_rate
            self.due = max(self.due, now + ahead * permit_interval(rate))

    def available_at(self, now: float) -> float:
        """When the next permit can be issued."""
        return max(now, self.due - BURST_SECONDS)

    def issue(self, rate: float, at: float) -> None:
        """Count a permit for a request at a time, also one sent without asking."""
        self.due = max(self.due, at) + permit_interval(rate)

    def release(self, rate: float) -> None:
        """Take back an unused permit."""
        if rate > 0:
            self.due -= permit_interval(rate)


def permit_interval(rate: float) -> float:
    """Seconds between two permits."""
    return 1.0 / rate if rate > 0 else math.inf
