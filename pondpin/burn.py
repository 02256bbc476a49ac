"""Error budgets and their burn over several windows: pure arithmetic on counts."""

from collections.abc import Sequence
from dataclasses import dataclass

# Long and short window in seconds, and the burn rate at which to alert, after the SRE workbook.
PAGE_FAST = (3600.0, 300.0, 14.4)
PAGE_SLOW = (21600.0, 1800.0, 6.0)
TICKET = (259200.0, 21600.0, 1.0)
RULES = (PAGE_FAST, PAGE_SLOW, TICKET)


@dataclass(frozen=True, slots=True)
class Count:
    """Good events and all events up to a time, in seconds since the epoch."""

    at: float
    good: float
    total: float


@dataclass(frozen=True, slots=True)
class Burn:
    """The burn rate over a window; covered is how many seconds of it there is data for.

    A rate of 1 spends the budget exactly over the objective's period.
    """

    window: float
    covered: float
    good: float
    total: float
    rate: float


def burn_rate(good: float, total: float, target: float) -> float:
    """How many times faster than allowed the budget is spent."""
    if total <= 0:
        return 0.0
    return (1.0 - good / total) / (1.0 - target)


def burn_over(counts: Sequence[Count], window: float, target: float) -> Burn:
    """The burn over the last window of a series in order of time."""
    if not counts:
        return Burn(window, 0.0, 0.0, 0.0, 0.0)
    last = counts[-1]
    first = counts[0]
    for count in counts:
        if last.at - count.at >= window:
            first = count
    good, total = last.good - first.good, last.total - first.total
    covered = min(window, last.at - first.at)
    return Burn(window, covered, good, total, burn_rate(good, total, target))


def is_alerting(counts: Sequence[Count], target: float, rule: tuple[float, float, float]) -> bool:
    """Whether both the long and the short window burn faster than the rule allows."""
    long_window, short_window, limit = rule
    long_burn = burn_over(counts, long_window, target)
    short_burn = burn_over(counts, short_window, target)
    return long_burn.rate >= limit and short_burn.rate >= limit
