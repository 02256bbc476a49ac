"""A stream proves its lead alive, but no helper that prefilled a part of its prompt.

Guards against counting the bytes of a stream as a sign of life of its helpers. A worker that had
prefilled a part of another prompt crashed under a deadly request; as that prompt's lead continued
its stream, the end was voided 0.28 s later, the quarantine of the deadly request was lifted, and it
was sent to workers five times more after it had crashed three.
"""

import os
import unittest

from pondpin.http_client import ConnectOutcome
from pondpin.relay.attempts.run_tracker import ObservedEnd, RunTracker
from pondpin.relay.log import EventLog
from pondpin.relay.model import ListedUpstream
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.tests.support import FakeClock


async def reach(host: str, port: int) -> ConnectOutcome:
    return ConnectOutcome.REFUSED


class HelperTest(unittest.TestCase):
    def test_a_stream_proves_its_lead_alive_and_no_helper(self) -> None:
        clock = FakeClock()
        log = EventLog("x", clock, clock, os.open(os.devnull, os.O_WRONLY))
        table = UpstreamTable("north")
        listed = [
            ListedUpstream(name, "engines", "10.0.0.1", 80, "north", 8, False)
            for name in ("lead", "helper")
        ]
        table.apply_list(listed, [])
        lead, helper = (table.by_id[item.id] for item in listed)
        tracker = RunTracker(reach, table, log, clock)
        run = tracker.begin(7, (lead, helper), 0.5)
        clock.advance(1.0)
        ended_at = clock()
        clock.advance(0.5)
        run.last_data_at = clock()
        self.assertTrue(tracker.active_since(lead.life, ended_at))
        self.assertFalse(tracker.active_since(helper.life, ended_at))

    def test_request_that_is_still_connecting_did_not_end_its_upstream(self) -> None:
        clock = FakeClock()
        log = EventLog("x", clock, clock, os.open(os.devnull, os.O_WRONLY))
        table = UpstreamTable("north")
        table.apply_list([ListedUpstream("a", "plain", "10.0.0.1", 80, "north", 8, False)], [])
        ends: list[ObservedEnd] = []
        tracker = RunTracker(reach, table, log, clock, ends.append)
        state = table.by_id["a"]
        connecting, sent = (tracker.begin(identity, (state,), 0.0) for identity in (7, 8))
        sent.is_sent = True
        tracker.record_refused(state)
        self.assertEqual([end.runs for end in ends], [(sent,)])
        self.assertIn(connecting, tracker.runs(state))


if __name__ == "__main__":
    unittest.main()
