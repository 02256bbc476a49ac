"""Asks upstreams for their liveness."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pondpin.clocks import Clock
from pondpin.http_streams import CallFailedError
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import UpstreamRestored
from pondpin.relay.model import RelayConfiguration
from pondpin.relay.ports import LivenessPort
from pondpin.relay.upstreams.notice_handler import LIVENESS_CHECK, HeadHandler, SentRequest
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.standing import Bar

# A check waits for a slot like a request; a worker that takes longer is still not well.
PROBE_SECONDS = 0.5


@dataclass
class Prober:
    """Makes liveness checks; note_sent: one goes out, and counts for a limit of its upstream."""

    table: UpstreamTable
    port: LivenessPort
    on_head: HeadHandler
    log: EventLog
    clock: Clock
    on_sent: Callable[[UpstreamState], None]

    async def probe(self, due: Iterable[UpstreamState], configuration: RelayConfiguration) -> None:
        """Probe some upstreams at the same time."""
        await asyncio.gather(*(self._probe(state, configuration) for state in due))

    async def _probe(self, state: UpstreamState, configuration: RelayConfiguration) -> None:
        service = configuration.services_by_name.get(state.listed.service)
        if service is None:
            return
        self.on_sent(state)
        listed = state.listed
        asked = SentRequest(listed.id, listed.life, LIVENESS_CHECK, self.clock())
        try:
            passed = await self.port.is_healthy(
                listed.host,
                listed.port,
                service.health_path,
                PROBE_SECONDS,
                lambda said: self.on_head(asked, said),
            )
        except CallFailedError:
            passed = False
        if passed:
            state.record_probe_passed()
            self.log.write(UpstreamRestored(upstream=state.id))
        elif state.needs_probe and state.bar(self.clock()) is Bar.NONE:
            # One that leaves or asked for rest is not ill.
            self.table.record_failure(state, self.clock(), certain=True)
