"""Returns memory that engines hold for requests whose holder is dead or past its time."""

from collections.abc import Callable
from dataclasses import dataclass

from pondpin.clocks import WallClock
from pondpin.controllers.base import Controller
from pondpin.engine_client import EnginePort, StreamRef
from pondpin.engine_protocol import HeldWork
from pondpin.fleet import Fleet, UpstreamState
from pondpin.http_streams import CallFailedError
from pondpin.interface_metrics import InterfaceMetrics
from pondpin.ledger import Ledger
from pondpin.reservations import Reservations

PERIOD_SECONDS = 1.0
# A release that fails for this many graces is left to the reservation's deadline.
RELEASE_GRACES = 60


@dataclass(frozen=True, slots=True)
class HolderView:
    """What is known of the holder of some work: its newest incarnation, 0 when unknown."""

    is_self: bool
    newest_incarnation: int


def orphan_cause(
    held: HeldWork, holder: HolderView, known_here: bool, wall_now: float, grace: float
) -> str:
    """Why work on an engine is an orphan; empty when it is not one.

    Past its deadline and the grace it is one whoever holds it: an admitted request ends by
    its deadline. Before that, only when a newer incarnation of its holder is known, and so
    the one that held it is dead for good. A holder that is merely silent keeps its work.
    """
    if wall_now > held.deadline + grace:
        return "past its deadline"
    if holder.newest_incarnation > held.incarnation:
        return "of an earlier incarnation"
    own_life = holder.is_self and holder.newest_incarnation == held.incarnation
    return "not known to its holder" if own_life and not known_here else ""


class OrphanController(Controller):
    """Cancels orphans found in load reports, and repeats releases that failed."""

    def __init__(
        self,
        fleet: Fleet,
        engines: EnginePort,
        ledger: Ledger,
        reservations: Reservations,
        metrics: InterfaceMetrics,
        newest_incarnation: Callable[[str], int],
        instance: str,
        wall_clock: WallClock,
        grace: float,
        timeout: float,
    ) -> None:
        super().__init__()
        self.period = PERIOD_SECONDS
        self._fleet = fleet
        self._engines = engines
        self._ledger = ledger
        self._reservations = reservations
        self._metrics = metrics
        self._newest_incarnation = newest_incarnation
        self._instance = instance
        self._wall_clock = wall_clock
        self._grace = grace
        self._timeout = timeout
        self._suspects: set[tuple[str, int, str]] = set()

    async def step(self) -> None:
        """Look through the last reports."""
        suspects: set[tuple[str, int, str]] = set()
        for state in self._fleet.engines():
            if state.report is None:
                continue
            for held in state.report.held:
                await self._look_at(state, held, suspects)
        self._suspects = suspects
        await self._reservations.repeat_failed(self._grace * RELEASE_GRACES)

    async def _look_at(
        self, state: UpstreamState, held: HeldWork, suspects: set[tuple[str, int, str]]
    ) -> None:
        own = held.instance == self._instance
        holder = HolderView(own, self._newest_incarnation(held.instance))
        request, _, attempt = held.reservation.rpartition(".")
        key = (
            (request, int(attempt), state.name)
            if held.reservation and attempt.isdecimal()
            else (held.request, held.attempt, state.name)
        )
        known = key in self._ledger.holds_by_key
        cause = orphan_cause(held, holder, known, self._wall_clock(), self._grace)
        if not cause:
            return
        # A report lags: what was just sent or just ended is an orphan only when seen twice.
        suspects.add(key)
        if key in self._suspects:
            await self._cancel(state, held, cause)

    async def _cancel(self, state: UpstreamState, held: HeldWork, cause: str) -> None:
        address = state.upstream.address
        try:
            if held.reservation:
                await self._engines.release(address, held.reservation, self._timeout)
            else:
                ref = StreamRef(address, held.request, held.attempt)
                await self._engines.cancel(ref, self._timeout)
        except CallFailedError:
            return
        self._metrics.orphans.inc({"cause": cause})
