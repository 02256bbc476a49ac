"""Rests that a later life asks for before the list shows that life."""

import asyncio
import unittest

from pondpin.availability import Availability, BlockReason, Rest
from pondpin.standins.local_platform import PLAIN, LocalPlatform
from pondpin.standins.wishes import windows_over
from pondpin.tests.support import RelayTest, ask
from pondpin.tests.test_relay_notice_paths import rest_all, state_of

BORN = 1_700_000_000_000


class UnlistedLifeTest(RelayTest):
    def test_rest_of_an_unlisted_life_is_inherited(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            rest_all(platform, PLAIN, "60")
            await ask(platform, "again", "relay-0.first")
            worker = platform.add_worker("plain-9", PLAIN, 0, BORN)
            await platform.until(lambda: "plain-9" in entry.table.by_id)
            worker.start_again(BORN + 5000)
            worker.rest = "30"
            number = 0
            while not worker.wishes.arrivals:
                number += 1
                await ask(platform, "again", f"relay-0.a{number}")
            worker.rest = ""
            assert worker.server.port is not None
            place = f"127.0.0.1:{worker.server.port.getHost().port}"
            platform.list_worker("plain-9", PLAIN, place, "north")
            await platform.until(lambda: state_of(entry, "plain-9").listed.born == BORN + 5000)
            loop = asyncio.get_running_loop()
            end = loop.time() + 1.5
            while loop.time() < end:
                number += 1
                await ask(platform, "again", f"relay-0.a{number}")
            self.assertEqual(windows_over([worker.wishes]), 0)

        self.play(work)

    def test_only_a_rest_after_the_start_is_inherited(self) -> None:
        for asked_at, is_inherited in ((9.0, False), (11.0, True)):
            earlier, later = Availability(), Availability()
            earlier.rest = Rest(asked_at, 70.0, 70.0)
            later.inherit_rest(earlier, since=10.0)
            self.assertEqual(later.block_reason(20.0) is BlockReason.RESTING, is_inherited)


if __name__ == "__main__":
    unittest.main()
