"""Brings engines to the state that the configuration wants, by orders with fencing numbers."""

from collections.abc import Callable
from dataclasses import dataclass

from absl import logging

from pondpin.calls import Snapshot
from pondpin.clocks import Clock
from pondpin.controllers.base import Controller
from pondpin.engine_client import EnginePort
from pondpin.engine_protocol import Order
from pondpin.fleet import Fleet, UpstreamState
from pondpin.http_streams import CallFailedError
from pondpin.interface_metrics import InterfaceMetrics
from pondpin.orders import (
    Desired,
    OrderRules,
    OrderView,
    PlannedOrder,
    desired_states,
    find_owner,
    next_fence,
    plan_orders,
    revision_of_fence,
)

PERIOD_SECONDS = 1.0
# A longer gap between rounds means that this process was paused and its state is stale.
MAX_ROUND_GAP_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class OrderContext:
    """State of the instance that the controller reads or updates."""

    snapshot: Callable[[], Snapshot | None]
    live_instances: Callable[[], list[str]]
    raise_floor: Callable[[int], None]
    draining: Callable[[], bool]


class OrderController(Controller):
    """Plans orders each round, and sends those for the engines that this instance owns."""

    period = PERIOD_SECONDS

    def __init__(
        self,
        fleet: Fleet,
        engines: EnginePort,
        metrics: InterfaceMetrics,
        context: OrderContext,
        instance: str,
        clock: Clock,
        timeout: float,
    ) -> None:
        super().__init__()
        self._fleet = fleet
        self._engines = engines
        self._metrics = metrics
        self._context = context
        self._instance = instance
        self._clock = clock
        self._timeout = timeout
        self._last_round = clock()
        self.planned_orders: list[PlannedOrder] = []

    async def step(self) -> None:
        """Plan a round and send the orders of own engines."""
        now = self._clock()
        paused = now - self._last_round > MAX_ROUND_GAP_SECONDS
        self._last_round = now
        snapshot = self._context.snapshot()
        if paused or snapshot is None or self._context.draining():
            return
        policy = snapshot.configuration.policy
        rules = OrderRules(policy.loads_at_once, policy.serving_floor, policy.dwell_seconds)
        states = [state for state in self._fleet.engines() if state.report is not None]
        views = [self._make_view(state, now) for state in states]
        self.planned_orders = plan_orders(views, desired_states(snapshot.configuration), rules)
        instances = [*self._context.live_instances(), self._instance]
        for order in self.planned_orders:
            if not order.held_back and find_owner(order.engine, instances) == self._instance:
                await self._send_order(order, snapshot.revision)

    def _make_view(self, state: UpstreamState, now: float) -> OrderView:
        report = state.report
        assert report is not None, "only engines that have reported are ordered"
        return OrderView(
            name=state.name,
            state=Desired(report.model, report.role, report.adapters),
            serving=bool(report.model) and not state.leaving and not state.health.is_ejected(now),
            loading=not report.model,
            checks_fences=state.upstream.checks_fences,
            report_age=now - state.heard_at,
            order_age=report.order_age,
        )

    async def _send_order(self, order: PlannedOrder, revision: int) -> None:
        state = self._fleet.by_name[order.engine]
        try:
            result = await self._propose(state, order, revision)
        except CallFailedError as error:
            result = "no answer"
            logging.debug("order to %s: %s", order.engine, error)
        self._metrics.orders.inc({"upstream": order.engine, "result": result})
        logging.info("order to %s: %s", order.engine, result)

    async def _propose(self, state: UpstreamState, order: PlannedOrder, revision: int) -> str:
        """Read the engine's fence and send an order with the next; the engine decides."""
        address = state.upstream.address
        last = await self._engines.last_order(address, self._timeout)
        fence = next_fence(last.fence, revision)
        if fence is None:
            if state.upstream.checks_fences:
                self._context.raise_floor(revision_of_fence(last.fence))
            return "a newer revision was there"
        if self._clock() - self._last_round > MAX_ROUND_GAP_SECONDS:
            return "paused meanwhile"
        desired = order.desired
        proposal = Order(
            fence=fence, model=desired.model, role=desired.role, adapters=desired.adapters
        )
        response = await self._engines.order(address, proposal, self._timeout)
        return "taken" if response.taken else "another was first"
