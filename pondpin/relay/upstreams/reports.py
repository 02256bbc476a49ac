"""Asks silent engines for their report: one that answers is busy, one that doesn't is lost."""

import asyncio
from collections.abc import Callable

from pondpin.clocks import Clock
from pondpin.http_streams import CallFailedError
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import UpstreamQueried
from pondpin.relay.model import EngineReport
from pondpin.relay.ports import ReportPort
from pondpin.relay.upstreams.notice_handler import HeadHandler, SentRequest, ignore_head
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.standing import Bar

# A report takes no slot and is sent at once: a way there and back takes a few ms, a lost
# packet is sent again after a quarter of a second or so.
REPORT_TIMEOUT_SECONDS = 0.3
# What one request learnt counts for the others that wait for the same engine.
REPORT_CACHE_SECONDS = 0.3


class ReportClient:
    """Reports of engines, asked for when they are silent; requests share them."""

    def __init__(
        self,
        port: ReportPort,
        log: EventLog,
        clock: Clock,
        listen: HeadHandler = ignore_head,
        note_sent: Callable[[UpstreamState], None] = lambda state: None,
    ) -> None:
        """note_sent: something goes to an engine that counts for a limit of it."""
        self._note_sent = note_sent
        self._port = port
        self._listen = listen
        self._log = log
        self._clock = clock
        self._tasks_by_life: dict[int, asyncio.Task[EngineReport | None]] = {}

    async def query_status(self, state: UpstreamState) -> bool:
        """Whether an engine answers now, or did a moment ago.

        One that asked for rest is not asked: it spoke, and wants nothing until its rest is over.
        """
        if state.bar(self._clock()) is Bar.RESTS:
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
        asked = SentRequest(listed.id, listed.life, "report", self._clock())
        self._note_sent(state)
        reason = ""
        report = None
        try:
            report = await self._port.read_report(
                listed.host,
                listed.port,
                REPORT_TIMEOUT_SECONDS,
                lambda said: self._listen(asked, said),
            )
        except CallFailedError as error:
            reason = str(error)
        born = report.born if report is not None else None
        if born not in (None, listed.born):
            # What answers at this address knows nothing of the requests of the life asked.
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
