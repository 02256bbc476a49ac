"""Admission: refused at once what cannot finish, let in all else."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.admission import MAX_RETRY_AFTER, MIN_RETRY_AFTER, Pressure, decide_admission
from pondpin.codes import Code
from pondpin.placement import Prediction
from pondpin.policies import AdmissionPolicy


def prediction(finish: float) -> Prediction:
    return Prediction("e", finish / 2, 0.01, finish, finish, True)


class AdmissionTest(unittest.TestCase):
    def decide(self, finish: float, wait: float, left: float, queued: int = 0) -> Code:
        pressure = Pressure(queued, 10, wait)
        return decide_admission(AdmissionPolicy.DEADLINE, prediction(finish), pressure, left).code

    def test_in_time(self) -> None:
        self.assertIs(self.decide(1.0, 1.0, 3.0), Code.OK)

    def test_too_late(self) -> None:
        self.assertIs(self.decide(1.0, 3.0, 3.0), Code.CANNOT_FINISH)

    def test_a_full_queue_refuses(self) -> None:
        self.assertIs(self.decide(0.1, 0.0, 3.0, queued=10), Code.QUEUE_FULL)

    def test_the_baseline_lets_all_in(self) -> None:
        verdict = decide_admission(AdmissionPolicy.NONE, prediction(9.0), Pressure(0, 10, 9.0), 0.1)
        self.assertTrue(verdict.admitted)

    @given(finish=st.floats(0, 1e4), wait=st.floats(0, 1e4), left=st.floats(0, 1e4))
    def test_a_refusal_says_when_to_come_back(
        self, finish: float, wait: float, left: float
    ) -> None:
        verdict = decide_admission(
            AdmissionPolicy.DEADLINE, prediction(finish), Pressure(0, 10, wait), left
        )
        if not verdict.admitted:
            assert verdict.retry_after is not None
            self.assertLessEqual(MIN_RETRY_AFTER, verdict.retry_after)
            self.assertLessEqual(verdict.retry_after, MAX_RETRY_AFTER)
