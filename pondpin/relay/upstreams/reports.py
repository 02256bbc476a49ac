"""Status queries to silent engines: one that answers is busy, one that doesn't is lost."""

import asyncio
from collections.abc import Callable

from pondpin.availability import BlockReason
from pondpin.clocks import Clock
from pondpin.http_streams import CallFailedError
from pondpin.relay.engine_events import UpstreamQueried
from pondpin.relay.log import EventLog
from pondpin.relay.model import EngineReport
from pondpin.relay.ports import ReportPort
from pondpin.relay.upstreams.notice_handler import HeadHandler, SentRequest, ignore_head
from pondpin.relay.upstreams.state import UpstreamState

# A report needs no slot and is sent at once: a round trip takes a few ms, and a lost packet is
# retransmitted after about 0.25 s.
REPORT_TIMEOUT_SECONDS = 0.3
# A report is used for this long by all requests that wait for the same engine.
REPORT_CACHE_SECONDS = 0.3


class ReportClient:
    """Queries reports of silent engines; concurrent requests share one query."""

    def __init__(
        self,
        port: ReportPort,
        log: EventLog,
        clock: Clock,
        on_head: HeadHandler = ignore_head,
        on_sent: Callable[[UpstreamState], None] = lambda state: None,
    ) -> None:
        """on_sent: is called before each query, since it counts towards the engine's limit."""
        self._on_sent = on_sent
        self._port = port
        self._on_head = on_head
        self._log = log
        self._clock = clock
        self._tasks_by_life: dict[int, asyncio.Task[EngineReport | None]] = {}

    async def query_status(self, state: UpstreamState) -> bool:
        """Whether an engine answers, or did within REPORT_CACHE_SECONDS.

        One that rests is not queried: it has answered and wants no calls until its rest is over.
        """
        if state.block_reason(self._clock()) is BlockReason.RESTING:
            return True
        if self._clock() - state.report_at < REPORT_CACHE_SECONDS:
            return True
        task = self._tasks_by_life.get(state.life)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._read(state))
            self._tasks_by_life[state.life] = task
            task.add_done_callback(lambda _: self._tasks_by_life.pop(state.life, None))
        return await asyncio.shield(task) is not None

    async def _read(self, state: UpstreamState) -> EngineReport | None:
        listed = state.listed
        request = SentRequest(listed.id, listed.life, "report", self._clock())
        self._on_sent(state)
        reason = ""
        report = None
        try:
            report = await self._port.read_report(
                listed.host,
                listed.port,
                REPORT_TIMEOUT_SECONDS,
                lambda head: self._on_head(request, head),
            )
        except CallFailedError as error:
            reason = str(error)
        born = report.born if report is not None else None
        if born not in (None, listed.born):
            # Another life at this address doesn't know the requests of this one.
            report, reason = None, f"another life, from {born}"
        if report is not None:
            state.report, state.report_at = report, self._clock()
            state.last_seen_at = state.report_at
        self._log.write(
            UpstreamQueried(
                upstream=state.id,
                answers=report is not None,
                reason=reason,
                running=report.running if report is not None else 0,
                waiting=report.waiting if report is not None else 0,
            )
        )
        return report
