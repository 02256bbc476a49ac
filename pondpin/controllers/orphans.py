"""Releases engine memory held for requests whose holder has died or whose deadline has passed."""

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
# Release retries end after this many grace periods; then the reservation's deadline frees it.
RELEASE_RETRY_GRACES = 60


@dataclass(frozen=True, slots=True)
class HolderView:
    """The instance that holds some work; newest_incarnation is 0 if unknown."""

    is_self: bool
    newest_incarnation: int


def orphan_cause(
    held: HeldWork, holder: HolderView, is_known: bool, wall_now: float, grace: float
) -> str:
    """Why work on an engine is an orphan; empty if it isn't one.

    After its deadline plus grace it always is one, because an admitted request ends by its
    deadline. Before that, only if a newer incarnation of its holder is known, which proves that
    the old one is dead, or if its holder is this instance and doesn't know it. Silence of the
    holder is no proof.
    """
    if wall_now > held.deadline + grace:
        return "past its deadline"
    if holder.newest_incarnation > held.incarnation:
        return "of an earlier incarnation"
    same_incarnation = holder.is_self and holder.newest_incarnation == held.incarnation
    return "not known to its holder" if same_incarnation and not is_known else ""


class OrphanController(Controller):
    """Cancels orphans found in load reports, and retries failed releases."""

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
        """Check the last load reports."""
        suspects: set[tuple[str, int, str]] = set()
        for state in self._fleet.engines():
            if state.report is None:
                continue
            for held in state.report.held:
                await self._check(state, held, suspects)
        self._suspects = suspects
        await self._reservations.repeat_failed(self._grace * RELEASE_RETRY_GRACES)

    async def _check(
        self, state: UpstreamState, held: HeldWork, suspects: set[tuple[str, int, str]]
    ) -> None:
        is_self = held.instance == self._instance
        holder = HolderView(is_self, self._newest_incarnation(held.instance))
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
        # Reports lag, so work that just started or ended looks orphaned: require two rounds.
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
