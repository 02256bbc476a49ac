"""Liveness probes of ejected upstreams."""

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

# Twice the period of the other controllers, with which it coincides.
CHECK_SECONDS = 2 * PERIOD_SECONDS


class ProbeController(Controller):
    """Probes ejected upstreams before they get requests again."""

    period = CHECK_SECONDS

    def __init__(
        self,
        table: UpstreamTable,
        publication: Publication,
        prober: "Callable[[], Prober]",
        clock: Clock,
        recheck_due: Callable[[], Sequence[UpstreamState]] = lambda: (),
    ) -> None:
        """recheck_due: upstreams whose limit of 0 is due for a recheck."""
        super().__init__()
        self._table = table
        self._publication = publication
        self._prober = prober
        self._clock = clock
        self._recheck_due = recheck_due

    async def step(self) -> None:
        """Probe the upstreams that are due."""
        now = self._clock()
        configuration = self._publication.configuration
        due = [state for state in self._table.by_id.values() if is_probe_due(state, now)]
        due += [state for state in self._recheck_due() if state not in due]
        if configuration is not None and due:
            await self._prober().probe(due, configuration)


def is_probe_due(state: UpstreamState, now: float) -> bool:
    """Whether an ejected upstream may be probed."""
    is_blocked = state.block_reason(now) in (BlockReason.LEAVING, BlockReason.RESTING)
    return state.needs_probe and not is_blocked and not state.health.is_ejected(now)
