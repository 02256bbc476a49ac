"""Ends the open requests of a stopping instance; loaded when it stops."""

import asyncio
from collections.abc import Iterable

from pondpin.codes import Code, Ran
from pondpin.errors import PondpinError
from pondpin.http_server import STOPPING_RETRY_SECONDS
from pondpin.relay.attempts.attempt_ends import correct_ran
from pondpin.relay.attempts.handler import CancelReason, RelayHandler, ServedRequest
from pondpin.relay.attempts.slot_acquirer import FIRST_RUN_SHARE, full_pass_seconds
from pondpin.relay.call import Progress, RelayCall, Wait
from pondpin.relay.log_events import RequestsRefused

STOP_DETAIL = "the instance stops"


def can_finish(
    call: RelayCall, wait: Wait, ends_at: float, now: float, longest_run: float = 0.0
) -> bool:
    """Whether a request that was not sent is forecast to end by ends_at, the end of the drain.

    longest_run: seconds that a recent call of its route ran; beyond its deadline it doesn't run.
    """
    starts_at = now + max(0.0, wait.forecast(now))
    seconds = run_seconds(call, wait.first_seconds)
    longest = min(longest_run, max(0.0, call.deadline - starts_at))
    return starts_at + max(seconds, longest) <= ends_at


def run_seconds(call: RelayCall, first_seconds: float | None) -> float:
    """Forecast seconds from the end of a wait to the end of the answer.

    first_seconds: to the first event, or to a plain answer; None if it isn't known.
    """
    service = call.configuration.services_by_name.get(call.service)
    profile = service.engine if service is not None else None
    target = call.route.latency_target
    if profile is None:
        return FIRST_RUN_SHARE * target if first_seconds is None else first_seconds
    passes = call.metadata.answer_tokens / max(1, profile.stride)
    first = target if first_seconds is None else first_seconds
    return first + passes * full_pass_seconds(profile)


def check_drain(
    call: RelayCall,
    progress: Progress,
    wait: Wait,
    ends_at: float,
    now: float,
    longest_run: float = 0.0,
) -> None:
    """Raise PondpinError if a request can't be answered before the drain ends.

    A started stream continues in any case: its caller has a part of the answer and resumes
    elsewhere when it breaks off.
    """
    if not progress.events and not can_finish(call, wait, ends_at, now, longest_run):
        raise _refusal(progress)


def refuse_waiting(handler: RelayHandler, ends_at: float, now: float) -> None:
    """Refuse the waiting requests that can't be answered before the drain ends."""
    refused = []
    for served in handler.served:
        wait = served.progress.wait
        if wait is None or served.progress.events or served.cancel_reason is not None:
            continue
        longest_run = handler.placer.run_times.longest(served.call.route.name, now)
        if not can_finish(served.call, wait, ends_at, now, longest_run):
            served.cancel(CancelReason.STOPPING)
            refused.append(wait.place.value)
    if refused:
        places = {place: refused.count(place) for place in refused}
        handler.log.write(RequestsRefused(left_ms=round((ends_at - now) * 1000), places=places))


async def end_requests(handler: RelayHandler) -> None:
    """End all open requests with an answer, or by breaking off their streams."""
    while handler.served:
        ending = list(handler.served)
        for served in ending:
            served.cancel(CancelReason.STOPPING)
        await asyncio.wait(_tasks(ending))
        # Lets the handlers answer.
        await asyncio.sleep(0)


def _tasks(ending: Iterable[ServedRequest]) -> list["asyncio.Task[None]"]:
    return [served.task for served in ending]


def stop_error(call: RelayCall, progress: Progress, now: float) -> PondpinError:
    """The error of a request that was cancelled as the instance stops."""
    if not progress.is_sent:
        return correct_ran(_refusal(progress), progress)
    if now >= call.deadline:
        return PondpinError(Code.DEADLINE, STOP_DETAIL, Ran.UNKNOWN)
    code = Code.UPSTREAM_LOST if call.route.idempotent else Code.OUTCOME_UNKNOWN
    return PondpinError(code, STOP_DETAIL, Ran.UNKNOWN)


def _refusal(progress: Progress) -> PondpinError:
    place = progress.wait.place.value if progress.wait is not None else ""
    detail = f"waits for its {place}" if place else STOP_DETAIL
    return PondpinError(Code.DRAINING, detail, retry_after=STOPPING_RETRY_SECONDS)
