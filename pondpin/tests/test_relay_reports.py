"""Status queries to silent engines: shared by waiting requests and cached briefly."""

import asyncio
import os
import unittest

from pondpin.http_streams import CallFailedError
from pondpin.relay.log import EventLog
from pondpin.relay.model import EngineReport, ListedUpstream
from pondpin.relay.ports import HeadCallback
from pondpin.relay.upstreams.reports import REPORT_CACHE_SECONDS, ReportClient
from pondpin.relay.upstreams.state import UpstreamState
from pondpin.relay.upstreams.work import Work
from pondpin.tests.support import FakeClock, run_async


class FakePort:
    """Answers unless lost is set; counts the queries."""

    def __init__(self) -> None:
        self.queries = 0
        self.answer = EngineReport(running=3, waiting=0)
        self.lost = False

    async def read_report(
        self, host: str, port: int, timeout: float, hear: HeadCallback
    ) -> EngineReport:
        self.queries += 1
        await asyncio.sleep(0)
        if self.lost:
            raise CallFailedError("timeout", sent=True)
        return self.answer


class ReportsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        self.port = FakePort()
        log = EventLog("a", self.clock, self.clock, os.open(os.devnull, os.O_WRONLY))
        self.reports = ReportClient(self.port, log, self.clock)
        listed = ListedUpstream("e0", "engines", "10.0.0.1", 80, "north", 8, False)
        self.state = UpstreamState(listed)

    def query(self, times: int = 1) -> list[bool]:
        answers: list[bool] = []

        async def work() -> None:
            queries = (self.reports.query_status(self.state) for _ in range(times))
            answers.extend(await asyncio.gather(*queries))

        run_async(work())
        return answers

    def test_report_is_shared_and_cached(self) -> None:
        self.assertEqual(self.query(3), [True, True, True])
        self.assertEqual(self.port.queries, 1)
        self.assertEqual(self.query(), [True])
        self.assertEqual(self.port.queries, 1)
        self.clock.advance(2 * REPORT_CACHE_SECONDS)
        self.assertEqual(self.query(), [True])
        self.assertEqual(self.port.queries, 2)

    def test_failed_query_is_shared_but_not_cached(self) -> None:
        self.port.lost = True
        self.assertEqual(self.query(2), [False, False])
        self.port.lost = False
        self.assertEqual(self.query(), [True])
        self.assertEqual(self.port.queries, 2)

    def test_report_updates_last_seen_and_busy(self) -> None:
        self.clock.advance(5.0)
        self.query()
        self.assertEqual(self.state.last_seen_at, self.clock())
        self.assertFalse(self.state.is_busy(self.clock()))
        self.port.answer = EngineReport(running=8, waiting=2)
        self.clock.advance(2 * REPORT_CACHE_SECONDS)
        self.query()
        self.assertTrue(self.state.is_busy(self.clock()))

    def test_long_prefill_makes_an_engine_busy(self) -> None:
        now = self.clock()
        self.state.work_by_key[1] = Work(1.0, now, 9000, 3.0, 0.8, 2.0, False, True)
        self.assertTrue(self.state.is_busy(now))
        self.state.record_prefill_end(1, now)
        self.assertFalse(self.state.is_busy(now))


if __name__ == "__main__":
    unittest.main()
