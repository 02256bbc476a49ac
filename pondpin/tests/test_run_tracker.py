"""What a stream says of the lives of the upstreams that read a part of its prompt.

Users saw: a request under which three workers had ended was sent to workers five times more.
Order: a worker that has read a part of another prompt ends under a deadly request; that prompt's
answer goes on, since another worker writes it; 0.28 s later the end counts no more, the quarantine
of the deadly request is over, and it runs again.
Cause: bytes of a stream were taken for a sign of life of every worker that its prompt was read by.
Proof: the verdict went from quarantined to suspected twice, each time 0.27 to 0.29 s after the last
end, at all instances at once; the only request that was heard of after an end that was dropped had
its worker as a helper.
"""

import os
import unittest

from pondpin.http_client import ConnectOutcome
from pondpin.relay.attempts.run_tracker import RunTracker
from pondpin.relay.log import EventLog
from pondpin.relay.model import ListedUpstream
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.tests.support import FakeClock


async def reach(host: str, port: int) -> ConnectOutcome:
    return ConnectOutcome.REFUSED


class HelperTest(unittest.TestCase):
    def test_a_stream_proves_the_life_of_its_lead_and_of_no_helper(self) -> None:
        clock = FakeClock()
        log = EventLog("x", clock, clock, os.open(os.devnull, os.O_WRONLY))
        table = UpstreamTable("north")
        listed = [
            ListedUpstream(name, "engines", "10.0.0.1", 80, "north", 8, False)
            for name in ("lead", "helper")
        ]
        table.apply_list(listed, [])
        lead, helper = (table.by_id[item.id] for item in listed)
        watch = RunTracker(reach, table, log, clock)
        run = watch.begin(7, (lead, helper), 0.5)
        clock.advance(1.0)
        ended_at = clock()
        clock.advance(0.5)
        run.last_data_at = clock()
        self.assertTrue(watch.active_since(lead.life, ended_at))
        self.assertFalse(watch.active_since(helper.life, ended_at))


if __name__ == "__main__":
    unittest.main()
