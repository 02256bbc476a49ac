"""Periodic maintenance: watchdog, queue, stored responses, gauges."""

from collections import Counter
from collections.abc import Callable

from pondpin.clocks import Clock
from pondpin.controllers.base import Controller
from pondpin.interface_metrics import InterfaceMetrics
from pondpin.invariants import INVARIANTS
from pondpin.ledger import Ledger
from pondpin.once import OnceTable
from pondpin.scheduler import PUMP_SECONDS, Scheduler
from pondpin.stream_attempt import Watchdog

TICK_SECONDS = 0.2


class QueueController(Controller):
    """Periodically retries the heads of the queue."""

    period = PUMP_SECONDS

    def __init__(self, scheduler: Scheduler) -> None:
        super().__init__()
        self._scheduler = scheduler

    async def step(self) -> None:
        """Pump the queue; with nothing queued, sleep until something is."""
        await self._scheduler.something_waits.wait()
        self._scheduler.pump()
        if self._scheduler.queue.size == 0:
            self._scheduler.something_waits.clear()


class HousekeepingController(Controller):
    """Checks attempts for stalls, expires stored responses and updates gauges."""

    period = TICK_SECONDS

    def __init__(
        self,
        watchdog: Watchdog,
        once: OnceTable,
        scheduler: Scheduler,
        ledger: Ledger,
        metrics: InterfaceMetrics,
        open_calls: Callable[[], int],
        refresh_crashes: Callable[[], None],
        clock: Clock,
    ) -> None:
        super().__init__()
        self._refresh_crashes = refresh_crashes
        self._watchdog = watchdog
        self._once = once
        self._scheduler = scheduler
        self._ledger = ledger
        self._metrics = metrics
        self._open_calls = open_calls
        self._clock = clock
        self._reported_drops: Counter[str] = Counter()

    async def step(self) -> None:
        """Run the checks and update the gauges."""
        now = self._clock()
        self._watchdog.tick(now)
        self._once.forget_old(now)
        self._refresh_crashes()
        metrics = self._metrics
        metrics.open_requests.set({}, self._open_calls())
        metrics.queued.set({}, self._scheduler.queue.size)
        metrics.held_blocks.set({}, self._ledger.held_blocks)
        for name, count in INVARIANTS.breaches_by_name.items():
            metrics.invariant_breaches.set({"invariant": name}, count)
        for cause, count in self._watchdog.dropped.items():
            metrics.frames_dropped.add({"cause": cause}, count - self._reported_drops[cause])
        self._reported_drops = Counter(self._watchdog.dropped)
