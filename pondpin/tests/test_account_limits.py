"""Limits: buckets and shares."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.account_limits import Bucket, share_of_limit, take


class BucketTest(unittest.TestCase):
    def test_the_rate_holds(self) -> None:
        bucket, taken = Bucket(0.0, 0.0), 0
        for tick in range(1000):
            bucket, wait = take(bucket, 10.0, 1.0, tick / 100)
            taken += wait == 0.0
        self.assertAlmostEqual(taken, 100, delta=2)

    def test_waiting_as_told_is_enough(self) -> None:
        bucket, wait = take(Bucket(0.0, 0.0), 2.0, 1.0, 0.0)
        self.assertGreater(wait, 0)
        _, again = take(bucket, 2.0, 1.0, wait)
        self.assertEqual(again, 0.0)

    def test_an_amount_over_the_burst_passes_and_leaves_a_debt(self) -> None:
        bucket, wait = take(Bucket(200.0, 0.0), 100.0, 1000.0, 0.0)
        self.assertEqual(wait, 0.0)
        _, wait = take(bucket, 100.0, 1.0, 1.0)
        self.assertGreater(wait, 6.0)


class ShareTest(unittest.TestCase):
    @given(st.lists(st.floats(0, 1000), min_size=1, max_size=20))
    def test_shares_sum_to_the_limit(self, usage: list[float]) -> None:
        total = sum(usage)
        shares = [share_of_limit(100.0, own, total, len(usage)) for own in usage]
        self.assertAlmostEqual(sum(shares), 100.0, delta=1e-6)

    def test_an_idle_instance_keeps_a_floor(self) -> None:
        self.assertGreater(share_of_limit(80.0, 0.0, 500.0, 8), 2.0)
