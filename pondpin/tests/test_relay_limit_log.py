"""Log lines on limits and unknown headers of upstreams."""

import json
import os
import tempfile
import unittest
from typing import Any

from pondpin.metrics import Metrics
from pondpin.notices import Notice
from pondpin.relay.log import EventLog
from pondpin.relay.model import ListedUpstream, ResponseHead
from pondpin.relay.upstreams.limit_handler import MAX_UNKNOWN_HEADERS
from pondpin.relay.upstreams.notice_handler import REQUEST, NoticeHandler, SentRequest
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.tests.support import FakeClock


class LimitLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = FakeClock()
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = os.path.join(folder, "log")
        descriptor = os.open(self.path, os.O_WRONLY | os.O_CREAT)
        self.log = EventLog("x", self.clock, self.clock, descriptor)
        self.table = UpstreamTable("north")
        listed = ListedUpstream("a", "engines", "10.0.0.1", 80, "north", 8, False)
        self.table.apply_list([listed], [])
        self.life = listed.life
        metrics = Metrics("x", "north")
        self.handler = NoticeHandler(
            self.table, lambda: None, lambda: None, metrics, self.log, self.clock
        )

    def receive(self, purpose: str = REQUEST, unknown_headers: Any = (), **fields: Any) -> None:
        """Handle an answer to a request sent 0.1 s after the previous answer."""
        self.clock.advance(0.1)
        request = SentRequest("a", self.life, purpose, self.clock())
        self.clock.advance(0.1)
        notice = Notice(**fields)
        head = ResponseHead(
            200, "a1", False, None, False, True, None, "", notice, (), unknown_headers
        )
        self.handler.handle_head(request, head)

    def lines(self, event: str) -> list[dict[str, Any]]:
        self.log.flush()
        with open(self.path) as file:
            found = [json.loads(line) for line in file]
        return [line for line in found if line["event"] == event]

    def test_each_limit_change_is_logged(self) -> None:
        for limit in (None, 1.0, 1.0, 2.0, None, None):
            self.receive(limit=limit)
        logged = [(line["before"], line["limit"]) for line in self.lines("upstream_limit")]
        self.assertEqual(logged, [(-1.0, 1.0), (1.0, 2.0), (2.0, -1.0)])

    def test_only_answers_to_requests_lift_a_limit(self) -> None:
        self.receive(limit=1.0)
        for purpose in ("liveness check", "report", "lease"):
            self.receive(purpose)
        self.assertEqual(len(self.lines("upstream_limit")), 1)
        self.receive("report", limit=3.0)
        self.assertEqual(self.lines("upstream_limit")[-1]["answer"], "report")

    def test_invalid_limit_is_logged_once_and_ignored(self) -> None:
        self.receive(limit=1.0)
        for _ in range(3):
            self.receive(invalid_limit="many")
        line = self.lines("upstream_limit")[-1]
        self.assertEqual((line["odd"], line["limit"], line["before"]), ("many", 1.0, 1.0))
        self.assertEqual(len(self.lines("upstream_limit")), 2)

    def test_unknown_header_is_logged_once_per_life(self) -> None:
        for value in ("low", "high"):
            self.receive(unknown_headers=(("server-mood", value),))
        logged = [(line["name"], line["value"]) for line in self.lines("unknown_word")]
        self.assertEqual(logged, [("server-mood", "low")])
        for number in range(2 * MAX_UNKNOWN_HEADERS):
            self.clock.advance(1.0)
            self.receive(unknown_headers=((f"server-{number}", "x" * 500),))
        found = self.lines("unknown_word")
        self.assertEqual(len(found), MAX_UNKNOWN_HEADERS)
        self.assertLessEqual(max(len(line["value"]) for line in found), 80)


if __name__ == "__main__":
    unittest.main()
