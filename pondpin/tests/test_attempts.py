"""What follows a failed attempt."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.attempts import (
    BACKOFF_LIMIT,
    AttemptState,
    Failure,
    Step,
    backoff_seconds,
    decide_next,
    stall_limit,
)
from pondpin.codes import Code

HARMLESS = (Failure.NOT_SENT, Failure.REFUSED, Failure.LEAVING)


def state(failure: Failure, **changes: object) -> AttemptState:
    values: dict[str, object] = {
        "attempt": 0,
        "resumed": 0,
        "repeatable": True,
        "time_left": 5.0,
        "attempts_allowed": 3,
    }
    return AttemptState(failure=failure, **(values | changes))  # type: ignore[arg-type]


class NextStepTest(unittest.TestCase):
    def test_a_broken_stream_is_resumed_once(self) -> None:
        self.assertIs(decide_next(state(Failure.BROKEN)).step, Step.RESUME)
        self.assertIs(decide_next(state(Failure.BROKEN, resumed=1)).step, Step.ELSEWHERE)

    def test_a_stalled_engine_is_left(self) -> None:
        self.assertIs(decide_next(state(Failure.STALLED)).step, Step.ELSEWHERE)

    def test_no_time_left(self) -> None:
        following = decide_next(state(Failure.NOT_SENT, time_left=0.0))
        self.assertEqual((following.step, following.code), (Step.GIVE_UP, Code.DEADLINE))

    @given(
        failure=st.sampled_from(Failure),
        attempt=st.integers(0, 5),
        resumed=st.integers(0, 1),
        left=st.floats(-1, 10),
    )
    def test_what_may_have_run_is_not_sent_elsewhere(
        self, failure: Failure, attempt: int, resumed: int, left: float
    ) -> None:
        following = decide_next(
            state(failure, attempt=attempt, resumed=resumed, time_left=left, repeatable=False)
        )
        if failure not in HARMLESS:
            self.assertIsNot(following.step, Step.ELSEWHERE)

    @given(failure=st.sampled_from(Failure), resumed=st.integers(0, 1))
    def test_attempts_end(self, failure: Failure, resumed: int) -> None:
        following = decide_next(state(failure, attempt=2, resumed=resumed))
        if failure is Failure.LEAVING:
            return
        self.assertIsNot(following.step, Step.ELSEWHERE)


class TimesTest(unittest.TestCase):
    @given(attempt=st.integers(0, 50), jitter=st.floats(0, 1))
    def test_backoff_is_bounded(self, attempt: int, jitter: float) -> None:
        self.assertLessEqual(backoff_seconds(attempt, jitter), BACKOFF_LIMIT)

    def test_a_long_prefill_is_not_a_stall(self) -> None:
        self.assertGreater(stall_limit(2.0, 30.0, False, 0.01), 90.0)
        self.assertEqual(stall_limit(2.0, 30.0, True, 0.01), 2.0)
