"""Retry budget: retries are a bounded share of first attempts, so that they never amplify."""

from dataclasses import dataclass, replace

HALF_LIFE_SECONDS = 10.0
RESERVE = 3.0


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Tokens that first attempts earn and retries spend; they decay over time."""

    tokens: float = RESERVE
    updated: float = 0.0

    def _at(self, now: float) -> float:
        age = max(0.0, now - self.updated)
        surplus = self.tokens - RESERVE
        return float(RESERVE + surplus * 0.5 ** (age / HALF_LIFE_SECONDS))


def note_first_attempt(budget: RetryBudget, ratio: float, now: float) -> RetryBudget:
    """A first attempt earns a share of a retry."""
    return replace(budget, tokens=budget._at(now) + ratio, updated=now)


def spend_retry(budget: RetryBudget, now: float) -> tuple[bool, RetryBudget]:
    """Spend one retry if the budget has it; says whether it did."""
    tokens = budget._at(now)
    if tokens < 1.0:
        return False, replace(budget, tokens=tokens, updated=now)
    return True, replace(budget, tokens=tokens - 1.0, updated=now)
