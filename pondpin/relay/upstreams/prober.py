"""Liveness checks of upstreams, also to learn which life answers."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from pondpin.availability import BlockReason
from pondpin.clocks import Clock
from pondpin.http_streams import CallFailedError
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import UpstreamRestored
from pondpin.relay.model import RelayConfiguration, ResponseHead
from pondpin.relay.ports import LivenessPort, ReportPort
from pondpin.relay.response_ends import Identity
from pondpin.relay.upstreams.notice_handler import LIVENESS_CHECK, HeadHandler, SentRequest
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.table import UpstreamTable

# A check waits for a slot like a request; an upstream that takes longer is still unhealthy.
PROBE_SECONDS = 0.5
# Longer than callers wait for an answer.
IDENTIFY_SECONDS = 10.0
# With these a failed check is a fault, and later ones come less often.
FAULT_REASONS = (BlockReason.NONE, BlockReason.EVACUATED)


@dataclass
class Prober:
    """Makes liveness checks; on_sent: is called before each, since it counts towards a limit."""

    table: UpstreamTable
    port: LivenessPort
    reports: ReportPort
    on_head: HeadHandler
    log: EventLog
    clock: Clock
    on_sent: Callable[[UpstreamState], None]

    async def probe(self, due: Iterable[UpstreamState], configuration: RelayConfiguration) -> None:
        """Probe upstreams concurrently."""
        await asyncio.gather(*(self._probe(state, configuration) for state in due))

    async def identify(self, state: UpstreamState, path: str) -> Identity:
        """Ask which life answers at an upstream's address, well or not.

        On a new connection: a process that is ending still answers on those that it has accepted.
        """
        try:
            async with asyncio.timeout(IDENTIFY_SECONDS):
                return await self._identify(state, path)
        except CallFailedError as error:
            return Identity.REFUSED if error.refused else Identity.NO_ANSWER
        except TimeoutError:
            return Identity.NO_ANSWER

    async def _identify(self, state: UpstreamState, path: str) -> Identity:
        self.on_sent(state)
        listed = state.listed
        request = SentRequest(listed.id, listed.life, LIVENESS_CHECK, self.clock())

        def on_head(head: ResponseHead) -> None:
            self.on_head(request, head)

        answering = await self.port.identify(listed.host, listed.port, path, listed.id, on_head)
        if not answering:
            return Identity.NO_ANSWER
        if answering != listed.id:
            return Identity.OTHER
        if listed.born is None:
            return Identity.SAME
        # It keeps its id over a restart.
        self.on_sent(state)
        report = await self.reports.read_report(listed.host, listed.port, IDENTIFY_SECONDS, on_head)
        return Identity.SAME if report.born == listed.born else Identity.OTHER

    async def _probe(self, state: UpstreamState, configuration: RelayConfiguration) -> None:
        service = configuration.services_by_name.get(state.listed.service)
        if service is None:
            return
        self.on_sent(state)
        asks_cold = state.is_cold
        listed = state.listed
        request = SentRequest(listed.id, listed.life, LIVENESS_CHECK, self.clock())
        try:
            passed = await self.port.is_healthy(
                listed.host,
                listed.port,
                service.health_path,
                PROBE_SECONDS,
                lambda head: self.on_head(request, head),
            )
        except CallFailedError as error:
            if error.unconfirmed:
                return
            passed = False
            if error.refused and self.table.cold_starts is not None:
                self.table.cold_starts.observe_lost(state.life, self.clock())
        if asks_cold and not state.needs_probe:
            # Its health was not in doubt.
            return
        if passed:
            state.record_probe_passed()
            self.log.write(UpstreamRestored(upstream=state.id))
        elif state.needs_probe and state.block_reason(self.clock()) in FAULT_REASONS:
            # A failed check of an upstream that is leaving or rests is no fault.
            self.table.record_failure(state, self.clock(), certain=True)
