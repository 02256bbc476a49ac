"""Retry budget: retries are limited to a share of first attempts, against retry storms."""

from dataclasses import dataclass, replace

HALF_LIFE_SECONDS = 10.0
RESERVE_TOKENS = 3.0


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Tokens that first attempts add and retries spend; above the reserve they decay."""

    tokens: float = RESERVE_TOKENS
    updated_at: float = 0.0

    def _tokens_at(self, now: float) -> float:
        age = max(0.0, now - self.updated_at)
        surplus = self.tokens - RESERVE_TOKENS
        return float(RESERVE_TOKENS + surplus * 0.5 ** (age / HALF_LIFE_SECONDS))


def record_first_attempt(budget: RetryBudget, ratio: float, now: float) -> RetryBudget:
    """Add a first attempt's share of a retry."""
    return replace(budget, tokens=budget._tokens_at(now) + ratio, updated_at=now)


def spend_retry(budget: RetryBudget, now: float) -> tuple[bool, RetryBudget]:
    """Spend one retry if the budget allows it; returns whether it did."""
    tokens = budget._tokens_at(now)
    if tokens < 1.0:
        return False, replace(budget, tokens=tokens, updated_at=now)
    return True, replace(budget, tokens=tokens - 1.0, updated_at=now)
