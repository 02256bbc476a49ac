"""Timeouts for silent attempts: when to query the upstream, and when to retry."""

from dataclasses import dataclass

from pondpin.relay.call import RelayCall
from pondpin.relay.choosing.planner import Plan, RelayPolicy
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import RouteKind

FORECAST_FACTOR = 2.0
FORECAST_SLACK_SECONDS = 0.4
MIN_TIMEOUT_SECONDS = 0.8
QUERY_FACTOR = 1.5
QUERY_SLACK_SECONDS = 0.3
# Retry timeouts as shares of the caller's: for the first event, between events, and for the first
# event of a prompt in parts, whose parts other prefills may delay.
FIRST_EVENT_SHARE = 0.6
GAP_SHARE = 0.6
HELPED_SHARE = 0.85
# A safe plain call is retried after this multiple of its target.
SAFE_FACTOR = 2.5
MIN_SAFE_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class StallTimeouts:
    """Silence after which an attempt counts as stalled, before and after its first event.

    None waits until the deadline. query_seconds: silence before a status query, None without one.
    """

    first_event_seconds: float | None
    gap_seconds: float | None
    query_seconds: float | None = None


def stall_timeouts_for(
    call: RelayCall, plan: Plan, policy: RelayPolicy, can_retry: bool
) -> StallTimeouts:
    """Stall timeouts of a planned attempt; none without a retry, as the caller may still wait."""
    if not call.route.idempotent or not can_retry:
        return StallTimeouts(None, None)
    if call.route.kind is RouteKind.SAFE:
        first = max(MIN_SAFE_SECONDS, SAFE_FACTOR * call.route.latency_target)
        return StallTimeouts(first, None)
    if not policy.has(Mechanism.SECOND_TRIES):
        return StallTimeouts(None, None)
    gap = GAP_SHARE * call.caller_timeout
    forecast = plan.choice.first_event_seconds if plan.choice is not None else 0.0
    query = None
    if policy.has(Mechanism.REPORTS):
        query = QUERY_FACTOR * forecast + QUERY_SLACK_SECONDS
    if plan.helpers:
        # The lead reports lost helpers itself.
        return StallTimeouts(HELPED_SHARE * call.caller_timeout, gap, query)
    first = max(
        MIN_TIMEOUT_SECONDS,
        FORECAST_FACTOR * forecast + FORECAST_SLACK_SECONDS,
        FIRST_EVENT_SHARE * call.caller_timeout,
    )
    return StallTimeouts(first, gap, query)
