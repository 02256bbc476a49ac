"""Slots of contended upstreams with real instances: messages, refusals, log lines and views.

The aims are tested in simulated time (test_relay_slot_fleet), as a busy machine delays calls of
0.1 s; `measure_slots` measures them on real instances.
"""

import asyncio
import unittest
from typing import Any
from unittest import mock

import msgspec

from pondpin.codes import Code
from pondpin.http_client import HttpResponse
from pondpin.overload.slots import SlotRequest
from pondpin.relay.entry import RelayEntry
from pondpin.relay.log_events import LogEvent
from pondpin.relay.mechanisms import Mechanism
from pondpin.relay.operator_api import UpstreamStatus, upstream_statuses
from pondpin.relay.peers.gossip import SLOTS_FORMAT_BYTES
from pondpin.relay.peers.permit_issuer import PermitOwner
from pondpin.relay.peers.slot_messages import (
    FORMAT_BYTES,
    SLOTS_FORMAT,
    SlotAnswer,
    SlotEnd,
    SlotMessage,
    SlotOutcomeCode,
    decode_slots,
    encode_slots,
)
from pondpin.runtime import steady_now
from pondpin.standins.local_platform import LocalPlatform
from pondpin.tests.support import LONGEST_TEST_SECONDS, ask, run_async, the_loop

SLOTS = 2
QUEUE_PLACES = 4
CALL_SECONDS = 0.1
# More than the workers and their queues take at once.
BURST = 60


class SlotsTest(unittest.TestCase):
    """Two workers of two slots and three instances."""

    def play(self, work: Any, without: tuple[Mechanism, ...] = ()) -> None:
        async def whole() -> None:
            platform = LocalPlatform(
                the_loop()[1], engines=0, plain=2, instances=3, without=without
            )
            async with asyncio.timeout(LONGEST_TEST_SECONDS):
                await platform.start()
                for worker in platform.workers_by_id.values():
                    worker.slots, worker.queue_places = SLOTS, QUEUE_PLACES
                    worker.call_seconds = CALL_SECONDS
                await platform.until(lambda: all(item.knows_peers() for item in platform.entries))
                try:
                    await work(platform)
                finally:
                    await platform.stop()

        run_async(whole())

    async def burst(self, platform: LocalPlatform, name: str, count: int) -> list[HttpResponse]:
        """Send calls at once, spread over the instances."""
        calls = (
            ask(platform, "again", f"{name}{number}", number % 3, body=f"{name}{number}".encode())
            for number in range(count)
        )
        return list(await asyncio.gather(*calls))

    def test_calls_without_a_place_are_refused_with_a_time_and_the_reasons(self) -> None:
        # Guards against calls that wait in full queues, and refusals that nobody can explain.
        events: list[LogEvent] = []

        async def work(platform: LocalPlatform) -> None:
            for entry in platform.entries:
                self.enterContext(mock.patch.object(entry.log, "write", events.append))
            await self.burst(platform, "first", BURST)
            for worker in platform.workers_by_id.values():
                worker.most_working = 0
            answers = await self.burst(platform, "second", BURST)
            refused = [item for item in answers if item.status == 503]
            self.assertTrue(refused)
            self.assertTrue(any(item.status == 200 for item in answers))
            codes = {msgspec.json.decode(item.body)["error"]["code"] for item in refused}
            # On a busy machine an owner is silent for 50 ms at times, and calls go on without it.
            self.assertIn(int(Code.NO_CAPACITY), codes)
            self.assertLessEqual(codes, {int(Code.NO_CAPACITY), int(Code.NO_UPSTREAM)})
            self.assertTrue(all(float(item.headers["retry-after"]) > 0 for item in refused))
            for worker in platform.workers_by_id.values():
                self.assertLessEqual(worker.most_working, SLOTS)

        self.play(work)
        details = [
            getattr(item, "detail", "")
            for item in events
            if getattr(item, "code", "") == Code.NO_CAPACITY.name
        ]
        for part in ("asked plain-", "rank 1", "account's share", "forecast wait", "capacity"):
            self.assertIn(part, details[0])
        begins = [item for item in events if type(item).__name__ == "ContentionChanged"]
        self.assertTrue(begins)

    def test_operators_see_the_slots_where_they_are_granted(self) -> None:
        # Guards against a mechanism whose decisions can't be seen while it works.
        async def work(platform: LocalPlatform) -> None:
            await self.burst(platform, "first", BURST)
            load = asyncio.ensure_future(self.burst(platform, "second", BURST))
            await asyncio.sleep(CALL_SECONDS / 2)
            shown = [status for entry in platform.entries for status in statuses(entry)]
            self.assertTrue(all(item.contended for item in shown))
            granted = [item.slots_granted for item in shown if item.slots_granted >= 0]
            self.assertGreater(sum(granted), 0)
            await load

        self.play(work)

    def test_grants_end_with_their_attempts(self) -> None:
        # Guards against slots that stay granted when callers disconnect or attempts fail.
        async def work(platform: LocalPlatform) -> None:
            await self.burst(platform, "first", BURST)
            load = [
                asyncio.ensure_future(ask(platform, "again", f"left{number}", number % 3))
                for number in range(BURST)
            ]
            await asyncio.sleep(CALL_SECONDS / 2)
            for task in load:
                task.cancel()
            await asyncio.gather(*load, return_exceptions=True)

            def none_granted() -> bool:
                owned = [
                    item.scheduler.status(steady_now())
                    for entry in platform.entries
                    for item in entry.gossip.slots.owner.owned_by_life.values()
                ]
                return not any(item.granted or item.waiting for item in owned)

            # Well before grants lapse after three times their hold, at least 0.5 s.
            await platform.until(none_granted, seconds=0.45)

        self.play(work)

    def test_grant_that_arrives_as_its_caller_leaves_is_released(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            broker, state = entry.gossip.slots.broker, entry.table.by_id["plain-0"]
            request = SlotRequest(broker.new_key(), 1, 7, CALL_SECONDS, 1.0, False, True)
            own = PermitOwner("relay-0", broker.host, 1.0)
            with (
                mock.patch.object(broker.owners, "owner", return_value=own),
                mock.patch.object(broker.owner, "decide"),
                mock.patch.object(broker.owner, "handle_end") as handle_end,
            ):
                asking = asyncio.ensure_future(broker.acquire(state, request))
                await asyncio.sleep(0)
                answer = SlotAnswer(request.key, SlotOutcomeCode.GRANTED)
                broker.send_answer("", answer, waited=True)
                asking.cancel()
                await asyncio.gather(asking, return_exceptions=True)
            handle_end.assert_called_once_with(SlotEnd(request.key, state.life))

        self.play(work)

    def test_without_the_mechanism_nothing_is_asked(self) -> None:
        # Guards against a measurement of the mechanism that has it on both sides.
        async def work(platform: LocalPlatform) -> None:
            await self.burst(platform, "first", BURST)
            self.assertEqual({item.table.contention for item in platform.entries}, {None})

        self.play(work, (Mechanism.SLOT_GRANTS, Mechanism.RETURN_ORDER))


def statuses(entry: RelayEntry) -> tuple[UpstreamStatus, ...]:
    """What an instance shows its operators."""
    issuer, slots = entry.gossip.limits.issuer, entry.gossip.slots
    return upstream_statuses(entry.table, lambda: issuer, lambda: slots, steady_now()).upstreams


class MessageTest(unittest.TestCase):
    def test_messages_are_recognised_by_their_format(self) -> None:
        # Guards against slot messages that are decoded as digests or permits, or the reverse.
        data = encode_slots(SlotMessage(SLOTS_FORMAT, end=SlotEnd(7, 1 << 63, 2, 1)))
        self.assertEqual(data[1:4], SLOTS_FORMAT_BYTES)
        self.assertEqual(FORMAT_BYTES, SLOTS_FORMAT_BYTES)
        message = decode_slots(data)
        assert message is not None, "it is one"
        self.assertEqual(message.end, SlotEnd(7, 1 << 63, 2, 1))

    def test_invalid_messages_are_ignored(self) -> None:
        # Guards against datagrams of any content that end the instance's reading.
        data = encode_slots(SlotMessage(SLOTS_FORMAT, end=SlotEnd(7, 1)))
        for length in range(len(data)):
            self.assertIsNone(decode_slots(data[:length]))


if __name__ == "__main__":
    unittest.main()
