"""Finds ejected upstreams whose liveness is to be asked before they get requests again."""

from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from pondpin.availability import BlockReason
from pondpin.clocks import Clock
from pondpin.controllers.base import Controller
from pondpin.relay.periods import PERIOD_SECONDS
from pondpin.relay.published.publication import Publication
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable

if TYPE_CHECKING:
    from pondpin.relay.upstreams.prober import Prober

# Twice the time between the steps of the other controllers, with which its own coincide.
CHECK_SECONDS = 2 * PERIOD_SECONDS


class ProbeController(Controller):
    """Has each ejected upstream probed once its time is over."""

    period = CHECK_SECONDS

    def __init__(
        self,
        table: UpstreamTable,
        publication: Publication,
        prober: "Callable[[], Prober]",
        clock: Clock,
        shut: Callable[[], Sequence[UpstreamState]] = lambda: (),
    ) -> None:
        """shut: those that take nothing at all, and are to be asked whether they still do."""
        super().__init__()
        self._table = table
        self._publication = publication
        self._prober = prober
        self._clock = clock
        self._shut = shut

    async def step(self) -> None:
        """Probe those that are due, at the same time."""
        now = self._clock()
        configuration = self._publication.configuration
        due = [state for state in self._table.by_id.values() if is_probe_due(state, now)]
        due += [state for state in self._shut() if state not in due]
        if configuration is not None and due:
            await self._prober().probe(due, configuration)


def is_probe_due(state: UpstreamState, now: float) -> bool:
    """Whether an ejected upstream may be probed."""
    is_silent = state.bar(now) in (BlockReason.LEAVING, BlockReason.RESTING)
    return state.needs_probe and not is_silent and not state.health.is_ejected(now)
