"""Permits for limited upstreams, and the even pace at which they are handed out.

Times are in seconds of the steady clock, rates in permits a second.
"""

import math
from dataclasses import dataclass

# Permits are saved up for so long beyond a whole one. In any 4 s at most 4.125 times the limit and
# one are handed out; who takes over from another begins with none, so both together stay under
# 1.25 times 4 s of the limit and 3.
SAVED_SECONDS = 0.125


@dataclass(frozen=True, slots=True)
class Permit:
    """One request to a life, to be sent between two moments; host is that of who handed it out,
    "" for this instance.
    """

    life: int
    valid_from: float
    valid_until: float
    host: str = ""


@dataclass(slots=True)
class Pacer:
    """Hands out permits at an even pace; due: when the next would be, were none saved up."""

    due: float

    @classmethod
    def begin(cls, rate: float, now: float) -> "Pacer":
        """A pace that has saved nothing up; rate in permits a second."""
        return cls(now + permit_interval(rate))

    def inherit(self, earlier: "Pacer", earlier_rate: float, rate: float, now: float) -> None:
        """Take over what an earlier pace had handed out ahead of time, at its rate."""
        if earlier_rate > 0 and rate > 0:
            ahead = (earlier.due - now) * earlier_rate
            self.due = max(self.due, now + ahead * permit_interval(rate))

    def available_at(self, now: float) -> float:
        """When the next permit can be had."""
        return max(now, self.due - SAVED_SECONDS)

    def issue(self, rate: float, at: float) -> None:
        """Hand one out that is spent at a moment, or count one that was spent unasked."""
        self.due = max(self.due, at) + permit_interval(rate)

    def release(self, rate: float) -> None:
        """One that was handed out was not spent."""
        if rate > 0:
            self.due -= permit_interval(rate)


def permit_interval(rate: float) -> float:
    """Seconds between two permits."""
    return 1.0 / rate if rate > 0 else math.inf
