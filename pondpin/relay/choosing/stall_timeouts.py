"""How long an attempt may be silent before its upstream is asked, or another one is tried."""

from dataclasses import dataclass

from pondpin.relay.call import RelayCall
from pondpin.relay.choosing.planner import Plan, RelayPolicy
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.model import RouteKind

# A second try at another upstream begins after this multiple of the forecast, but not before
# the shortest, and while the caller still has time for it.
FORECAST_PATIENCE = 2.0
FORECAST_SLACK_SECONDS = 0.4
SHORTEST_PATIENCE = 0.8
# An engine that is silent for this multiple of the forecast is asked whether it lives.
ASK_TIMES = 1.5
ASK_SLACK_SECONDS = 0.3
# Shares of the time after which a caller gives a silent stream up: before the first event,
# between events, and for prompts read in parts, before whose parts others may go.
PATIENCE_SHARE = 0.6
GAP_PATIENCE_SHARE = 0.6
HELPED_PATIENCE_SHARE = 0.85
# A repeatable plain call is tried elsewhere after this multiple of its target.
SAFE_PATIENCE_TARGETS = 2.5
SHORTEST_SAFE_PATIENCE = 0.5


@dataclass(frozen=True, slots=True)
class StallTimeouts:
    """Seconds of silence after which an attempt counts as stalled, before and after the first
    event; None waits until the deadline. ask: seconds after which a silent upstream is asked
    whether it lives, None when it can't be asked."""

    first_event_seconds: float | None
    gap_seconds: float | None
    query_seconds: float | None = None


def stall_timeouts_for(
    call: RelayCall, plan: Plan, policy: RelayPolicy, may_go_elsewhere: bool
) -> StallTimeouts:
    """The patience with an attempt at a planned upstream.

    Without another attempt silence is no reason to end an answer: the caller may wait on.
    """
    if not call.route.idempotent or not may_go_elsewhere:
        return StallTimeouts(None, None)
    if call.route.kind is RouteKind.SAFE:
        first = max(SHORTEST_SAFE_PATIENCE, SAFE_PATIENCE_TARGETS * call.route.latency_target)
        return StallTimeouts(first, None)
    if not policy.has(Mechanism.SECOND_TRIES):
        return StallTimeouts(None, None)
    gap = GAP_PATIENCE_SHARE * call.caller_timeout
    forecast = plan.choice.first_event_seconds if plan.choice is not None else 0.0
    ask = None
    if policy.has(Mechanism.REPORTS):
        ask = ASK_TIMES * forecast + ASK_SLACK_SECONDS
    if plan.helpers:
        # The engine itself tells of lost helpers.
        return StallTimeouts(HELPED_PATIENCE_SHARE * call.caller_timeout, gap, ask)
    first = max(
        SHORTEST_PATIENCE,
        FORECAST_PATIENCE * forecast + FORECAST_SLACK_SECONDS,
        PATIENCE_SHARE * call.caller_timeout,
    )
    return StallTimeouts(first, gap, ask)
