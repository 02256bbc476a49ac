"""Errors of requests that no upstream takes, loaded with the first refusal."""

from typing import TYPE_CHECKING

from pondpin.availability import BlockReason, find_unavailability
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.relay.attempts.attempt_ends import RETRY_SECONDS
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.planner import Plan

if TYPE_CHECKING:
    from pondpin.relay.attempts.placer import Placer

# Retries of refused callers are spread over at most this time.
MAX_SPREAD_SECONDS = 1.0


def unavailable_error(placer: "Placer", call: RelayCall, progress: Progress) -> PondpinError:
    """The error if no upstream takes a request; retries are spread from when one does.

    Raises one if all of them are evacuated.
    """
    placer.check_evacuated(call)
    now = placer.clock()
    refusal = placer.permits().refusal(call, progress) if placer.has_limited(call) else None
    if refusal is not None:
        code, wait = refusal
        return PondpinError(code, call.service, retry_after=_spread(placer, wait))
    states = placer.untried(call, progress) or placer.table.of_service(call.service)
    cause = find_unavailability((state.availability for state in states), now)
    if cause is None or cause.reason is BlockReason.EVACUATED:
        return PondpinError(Code.NO_UPSTREAM, call.service, retry_after=RETRY_SECONDS)
    if cause.reason is BlockReason.LEAVING:
        return PondpinError(Code.UPSTREAMS_LEAVE, call.service, retry_after=RETRY_SECONDS)
    wait = max(0.0, cause.resume_at - now)
    return PondpinError(Code.UPSTREAMS_REST, call.service, retry_after=_spread(placer, wait))


def _spread(placer: "Placer", wait: float) -> float:
    return wait + min(MAX_SPREAD_SECONDS, RETRY_SECONDS + wait) * placer.rng.random()


def too_late_error(call: RelayCall, plan: Plan, wait: float, now: float) -> PondpinError:
    """The error of a long prompt that would be served too late; wait: forecast of its turn."""
    assert plan.choice is not None, "only prompts wait"
    first = now - call.arrived_at + plan.choice.first_event_seconds
    detail = f"first event after {first:.2f} s, without those queued before; {wait:.1f} s with them"
    return PondpinError(Code.CANNOT_FINISH, detail, retry_after=wait)
