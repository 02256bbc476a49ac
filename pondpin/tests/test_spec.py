"""The specifications: proved, able to move, and each mutant caught."""

import unittest

from spec.checks import check_all


class SpecificationTest(unittest.TestCase):
    def test_all_checks(self) -> None:
        count = 0
        for verdict in check_all():
            with self.subTest(verdict.about):
                self.assertTrue(verdict.good, verdict.trace)
            count += 1
        self.assertGreater(count, 15)
