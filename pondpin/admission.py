"""Decides whether a request can finish in its allowed time: refuse at once or let it wait."""

from dataclasses import dataclass

from pondpin.codes import Code
from pondpin.placement import Prediction
from pondpin.policies import AdmissionPolicy

MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 60.0


@dataclass(frozen=True, slots=True)
class Pressure:
    """What waits in this instance's queue: requests, and seconds of work before a new one."""

    queued: int
    queue_limit: int
    wait_seconds: float


@dataclass(frozen=True, slots=True)
class Verdict:
    """Let in, or refused with a code and seconds after which to try again."""

    code: Code
    detail: str = ""
    retry_after: float | None = None

    @property
    def admitted(self) -> bool:
        """Whether the request is let in."""
        return self.code is Code.OK


def decide_admission(
    policy: AdmissionPolicy,
    prediction: Prediction,
    pressure: Pressure,
    time_left: float,
) -> Verdict:
    """Refuse what cannot finish in the time left, in seconds; admit all else."""
    if pressure.queued >= pressure.queue_limit:
        return Verdict(Code.QUEUE_FULL, retry_after=bound_retry(pressure.wait_seconds))
    if policy is AdmissionPolicy.NONE:
        return Verdict(Code.OK)
    expected = pressure.wait_seconds + prediction.finish
    if expected <= time_left:
        return Verdict(Code.OK)
    detail = f"expected to take {expected:.2f} s of {time_left:.2f} s allowed"
    # A request that would be too slow even on an idle fleet gains nothing by waiting.
    return Verdict(Code.CANNOT_FINISH, detail, bound_retry(expected - time_left))


def bound_retry(seconds: float) -> float:
    """A time to try again that is neither at once nor for ever."""
    return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, seconds))
