"""What an instance logs about the source's headers and revisions."""

import unittest

from pondpin.platform.store import PlatformStore
from pondpin.relay.log_events import LogEvent
from pondpin.relay.ports import SourceHead
from pondpin.relay.published.freshness import PublishedVersion
from pondpin.relay.published.source_events import SourceRewound, UnknownHeader
from pondpin.relay.published.source_monitor import MAX_UNKNOWN_HEADERS, SourceMonitor
from pondpin.standins.local_platform import LocalPlatform
from pondpin.tests.support import ListLog, run_async, the_loop


class SourceMonitorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = ListLog()
        self.monitor = SourceMonitor(self.log)

    def logged(self, kind: type[LogEvent]) -> list[LogEvent]:
        return [event for event in self.log.events if isinstance(event, kind)]

    def test_decreasing_source_revision_is_logged(self) -> None:
        for revision in (40, 41, 30, 31, 31):
            self.monitor.receive_revision(revision, 2, PublishedVersion(7, 1, 38))
        self.assertEqual(
            self.logged(SourceRewound),
            [SourceRewound(before=41, revision=30, epoch=2, version=7, in_force=38)],
        )

    def test_an_unknown_header_is_logged_once(self) -> None:
        for value in ("1", "2"):
            self.monitor.receive_head(SourceHead(unknown_headers=(("store-mood", value),)))
        self.assertEqual(self.logged(UnknownHeader), [UnknownHeader(name="store-mood", value="1")])

    def test_lines_on_unknown_headers_are_bounded(self) -> None:
        for number in range(3 * MAX_UNKNOWN_HEADERS):
            self.monitor.receive_head(SourceHead(unknown_headers=((f"store-{number}", "x" * 500),)))
        self.assertEqual(len(self.log.events), MAX_UNKNOWN_HEADERS)

    def test_store_adapter_reports_unknown_headers_of_every_answer(self) -> None:
        heads: list[SourceHead] = []

        async def scenario() -> None:
            platform = LocalPlatform(the_loop()[1], engines=1, plain=0, instances=0)
            await platform.start()
            platform.store.headers = {"Store-Mood": "low"}
            try:
                store = PlatformStore(platform.http, str(platform.source), heads.append)
                await store.read_configuration(2.0)
                platform.store.forget_history()
                await store.read_change(0, 2.0)
            finally:
                await platform.stop()

        run_async(scenario())
        self.assertEqual(heads, [SourceHead(1, unknown_headers=(("store-mood", "low"),))] * 2)


if __name__ == "__main__":
    unittest.main()
