"""Decides which orders engines get: pure functions, the same at every instance.

An engine that checks fences is itself the register of its orders: whoever reads its last fence
may propose a higher one, and the engine refuses the loser. The owner of an engine, by hash over
the instances that seem alive, tries first; that only spares traffic.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import xxhash

from pondpin.configuration import Configuration, Upstream, UpstreamKind
from pondpin.fleet import label_upstream
from pondpin.selectors import parse_selector

FENCE_SPAN = 1 << 20


@dataclass(frozen=True, slots=True)
class Desired:
    """The state that the configuration wants an engine to have."""

    model: str
    role: str
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class OrderView:
    """An engine as its last report tells it; ages are in seconds."""

    name: str
    state: Desired
    serving: bool
    loading: bool
    checks_fences: bool
    report_age: float
    order_age: float


@dataclass(frozen=True, slots=True)
class OrderRules:
    """Limits on orders: how many engines may load at once, how many must go on serving each
    model, how long an engine keeps a state at least, and how fresh a report must be (seconds).
    """

    loads_at_once: int = 1
    serving_floor: int = 1
    dwell_seconds: float = 30.0
    fresh_seconds: float = 3.0


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order to one engine, or why there is none now."""

    engine: str
    desired: Desired
    held_back: str = ""


def find_desired(configuration: Configuration, name: str, upstream: Upstream) -> Desired:
    """The first placement whose selector takes the engine, else its own description."""
    labels = label_upstream(name, upstream)
    for placement in configuration.placements:
        if parse_selector(placement.upstreams).matches(labels):
            return Desired(placement.model, placement.role, placement.adapters)
    return Desired(upstream.model, upstream.role)


def desired_states(configuration: Configuration) -> dict[str, Desired]:
    """The desired state of each engine."""
    return {
        name: find_desired(configuration, name, upstream)
        for name, upstream in configuration.upstreams.items()
        if upstream.kind is UpstreamKind.ENGINE
    }


def find_owner(engine: str, instances: Sequence[str]) -> str:
    """The instance that tries first to order an engine, by rendezvous hashing."""
    return max(
        instances, key=lambda name: (xxhash.xxh3_64_intdigest(f"{engine}\0{name}".encode()), name)
    )


def next_fence(last: int, revision: int) -> int | None:
    """The fence of a new order, above the last; None when the last is of a newer revision."""
    base = revision * FENCE_SPAN
    if last >= base + FENCE_SPAN - 1:
        return None
    return max(last, base) + 1


def revision_of_fence(fence: int) -> int:
    """The revision in a fence's high part."""
    return fence // FENCE_SPAN


def plan_orders(
    engines: Sequence[OrderView], desired: Mapping[str, Desired], rules: OrderRules
) -> list[PlannedOrder]:
    """The orders that may be given now, and those held back, in order of name.

    All instances with the same reports plan the same, so that the pace of the weight store and
    the floor of serving engines hold without any agreement.
    """
    room = rules.loads_at_once - sum(engine.loading for engine in engines)
    serving: dict[str, int] = {}
    for engine in engines:
        if engine.serving:
            serving[engine.state.model] = serving.get(engine.state.model, 0) + 1
    planned: list[PlannedOrder] = []
    for engine in sorted(engines, key=lambda item: item.name):
        wanted = desired.get(engine.name)
        if wanted is None or wanted == engine.state or engine.loading:
            continue
        moves_model = wanted.model != engine.state.model
        cause = _find_cause(engine, moves_model, room, serving, rules)
        planned.append(PlannedOrder(engine.name, wanted, cause))
        if not cause and moves_model:
            room -= 1
            if engine.serving:
                serving[engine.state.model] -= 1
    return planned


def _find_cause(
    engine: OrderView,
    moves_model: bool,
    room: int,
    serving: Mapping[str, int],
    rules: OrderRules,
) -> str:
    """Why an engine gets no order now; empty when it does."""
    if engine.report_age > rules.fresh_seconds:
        return "its report is old"
    if engine.checks_fences and engine.order_age < rules.dwell_seconds:
        return "it keeps its state for the dwell time"
    if not moves_model:
        return ""
    if room <= 0:
        return "the weight store is busy"
    if engine.serving and serving[engine.state.model] <= rules.serving_floor:
        return f"it is among the last {rules.serving_floor} that serve {engine.state.model}"
    return ""
