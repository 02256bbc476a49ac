"""Ejection of upstreams, and the retry budget."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.health import (
    MAX_EJECTION_SECONDS,
    Health,
    record_failure,
    record_success,
    usable_names,
)
from pondpin.retry_budget import RESERVE_TOKENS, RetryBudget, record_first_attempt, spend_retry


class HealthTest(unittest.TestCase):
    def test_consecutive_failures_eject(self) -> None:
        health = Health()
        for _ in range(3):
            self.assertFalse(health.is_ejected(10.0))
            health = record_failure(health, 10.0)
        self.assertTrue(health.is_ejected(10.0))

    def test_a_refused_connection_ejects_immediately(self) -> None:
        self.assertTrue(record_failure(Health(), 10.0, certain=True).is_ejected(10.5))

    def test_a_success_resets_the_failures(self) -> None:
        health = record_success(record_failure(record_failure(Health(), 1.0), 1.0), 1.0)
        self.assertFalse(record_failure(health, 1.0).is_ejected(1.0))

    def test_ejections_lengthen_up_to_a_limit(self) -> None:
        health, now = Health(), 0.0
        for _ in range(12):
            health = record_failure(health, now, certain=True)
            self.assertLessEqual(health.ejected_until - now, MAX_EJECTION_SECONDS)
            now = health.ejected_until
        self.assertEqual(health.ejected_until - now, 0.0)

    @given(st.lists(st.booleans(), min_size=1, max_size=20))
    def test_a_pool_is_never_emptied(self, ejected: list[bool]) -> None:
        names = [f"e{number}" for number in range(len(ejected))]
        health = {
            name: Health(ejected_until=100.0 if is_out else 0.0)
            for name, is_out in zip(names, ejected, strict=True)
        }
        found = usable_names(names, health, 50.0)
        self.assertTrue(found)
        if not all(ejected):
            self.assertFalse(any(health[name].is_ejected(50.0) for name in found))


class RetryBudgetTest(unittest.TestCase):
    def test_a_burst_of_failures_spends_the_reserve(self) -> None:
        budget, spent = RetryBudget(), 0
        for _ in range(100):
            allowed, budget = spend_retry(budget, 0.0)
            spent += allowed
        self.assertEqual(spent, int(RESERVE_TOKENS))

    @given(st.lists(st.floats(0, 0.5), min_size=20, max_size=200))
    def test_retries_are_limited_to_a_share(self, gaps: list[float]) -> None:
        budget, now, retries = RetryBudget(), 0.0, 0
        for gap in gaps:
            now += gap
            budget = record_first_attempt(budget, 0.1, now)
            allowed, budget = spend_retry(budget, now)
            retries += allowed
        refilled = RESERVE_TOKENS * (1 + now / 10.0)
        self.assertLessEqual(retries, 0.1 * len(gaps) + refilled + 1)
