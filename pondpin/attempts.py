"""Decides what follows a failed attempt at a completion: resume, try elsewhere, or give up."""

import enum
from dataclasses import dataclass

from pondpin.codes import Code

BACKOFF_FIRST = 0.02
BACKOFF_LIMIT = 0.5


class Failure(enum.Enum):
    """How an attempt failed."""

    NOT_SENT = "not sent"
    REFUSED = "refused"
    LEAVING = "upstream leaves"
    BROKEN = "stream broke off"
    STALLED = "no frame in time"
    GAP = "frames are missing"
    UPSTREAM_DOWN = "upstream is down"


class Step(enum.Enum):
    """What to do next."""

    RESUME = "resume on the same engine"
    ELSEWHERE = "try another engine"
    GIVE_UP = "give up"


CODE_BY_FAILURE = {
    Failure.NOT_SENT: Code.NOT_SENT,
    Failure.REFUSED: Code.UPSTREAM_REFUSED,
    Failure.LEAVING: Code.UPSTREAM_REFUSED,
    Failure.BROKEN: Code.UPSTREAM_LOST,
    Failure.STALLED: Code.UPSTREAM_STALLED,
    Failure.GAP: Code.ANSWER_INVALID,
    Failure.UPSTREAM_DOWN: Code.UPSTREAM_LOST,
}


@dataclass(frozen=True, slots=True)
class AttemptState:
    """What is known after a failure.

    resumed counts resumes of this attempt; left_upstreams the attempts that found an upstream
    leaving, which do not count as attempts.
    """

    failure: Failure
    attempt: int
    resumed: int
    repeatable: bool
    time_left: float
    attempts_allowed: int
    left_upstreams: int = 0


@dataclass(frozen=True, slots=True)
class NextStep:
    """The step, and the code to answer when it is to give up."""

    step: Step
    code: Code


def decide_next(state: AttemptState) -> NextStep:
    """Decide by the failure, without spending the retry budget.

    A broken stream is resumed first, once: the engine keeps the answer. Another engine
    continues after the text that the caller already has. Only a call that may be repeated,
    or of which no byte was sent, goes to another engine.
    """
    code = CODE_BY_FAILURE[state.failure]
    if state.time_left <= 0:
        return NextStep(Step.GIVE_UP, Code.DEADLINE)
    if state.failure is Failure.LEAVING:
        # It gets no more work from here, so there are no more of these than upstreams.
        return NextStep(Step.ELSEWHERE, code)
    resumable = state.failure in (Failure.BROKEN, Failure.GAP)
    if resumable and state.resumed == 0:
        return NextStep(Step.RESUME, code)
    harmless = state.failure in (Failure.NOT_SENT, Failure.REFUSED)
    more = state.attempt - state.left_upstreams + 1 < state.attempts_allowed
    if more and (state.repeatable or harmless):
        return NextStep(Step.ELSEWHERE, code)
    return NextStep(Step.GIVE_UP, code)


def backoff_seconds(attempt: int, jitter: float) -> float:
    """Wait before another try; jitter is a random number from 0 to 1 (full jitter)."""
    return float(jitter * min(BACKOFF_LIMIT, BACKOFF_FIRST * 2**attempt))


def stall_limit(floor: float, predicted_first: float, has_first: bool, token_gap: float) -> float:
    """Seconds without a frame after which an attempt counts as stalled.

    Before the first frame the whole predicted wait is allowed for, threefold.
    """
    if has_first:
        return max(floor, 20 * token_gap)
    return floor + 3 * predicted_first
