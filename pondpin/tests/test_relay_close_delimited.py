"""Responses that end with their connection, with neither a length nor chunks."""

import asyncio
import unittest

from pondpin.http_streams import CallFailedError
from pondpin.relay.entry import RelayEntry
from pondpin.request_identity import derive_key, identify_segment
from pondpin.standins.local_platform import ENGINES, HOST, IDENTITY_KEY, KEY, LocalPlatform
from pondpin.standins.worker import WorkerFault
from pondpin.tests.support import RelayTest, ask, numbers, runs

SEGMENT = "a1"
LISTED = f"{SEGMENT}:40,ff:10"
WHOLE = [1, 2, 3, 4, 5]


class CloseDelimitedTest(RelayTest):
    engines = 4

    async def until_listed(self, platform: LocalPlatform) -> None:
        entry = platform.entries[0]
        await platform.until(lambda: len(entry.table.of_service(ENGINES)) == self.engines)

    def fail_first(self, platform: LocalPlatform, fault: WorkerFault) -> None:
        """The first request at any worker meets a fault."""
        shared = [fault]
        for worker in platform.workers_by_id.values():
            worker.faults = shared

    def valid_ends(self, entry: RelayEntry) -> int:
        segment = identify_segment(derive_key(IDENTITY_KEY), SEGMENT.encode())
        return len(entry.crash_guard.quarantine.valid_ends(segment))

    def play_stream(self, fault: WorkerFault, expected_runs: int) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.until_listed(platform)
            self.fail_first(platform, fault)
            answer = await ask(platform, "stream")
            self.assertEqual((answer.status, numbers(answer)), (200, WHOLE))
            self.assertEqual(runs(platform), expected_runs)

        self.play(work)

    def test_stream_that_ends_with_its_connection_is_whole(self) -> None:
        self.play_stream(WorkerFault.UNFRAMED, 1)

    def test_stream_closed_inside_an_event_is_resumed(self) -> None:
        self.play_stream(WorkerFault.UNFRAMED_EVENT, 2)

    def test_stream_whose_upstream_ended_with_it_is_resumed(self) -> None:
        self.play_stream(WorkerFault.UNFRAMED_END, 2)

    def test_end_with_a_close_delimited_stream_counts_against_its_segments(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.until_listed(platform)
            self.fail_first(platform, WorkerFault.UNFRAMED_END)
            with self.assertRaises(CallFailedError):
                await ask(platform, "stream", x_prompt_prefix=LISTED)
            self.assertEqual(self.valid_ends(platform.entries[0]), 1)

        self.play(work)

    def test_plain_answer_that_ends_with_its_connection_is_whole(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            self.fail_first(platform, WorkerFault.UNFRAMED)
            answer = await ask(platform, "again")
            self.assertEqual((answer.status, runs(platform)), (200, 1))
            self.assertTrue(answer.body.endswith(b"answers a1"))

        self.play(work)

    def test_plain_answer_whose_upstream_ended_with_it_is_retried(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            self.fail_first(platform, WorkerFault.UNFRAMED_END)
            answer = await ask(platform, "again")
            self.assertEqual((answer.status, runs(platform)), (200, 2))

        self.play(work)

    def test_unsafe_answer_whose_upstream_ended_with_it_has_an_unknown_outcome(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            self.fail_first(platform, WorkerFault.UNFRAMED_END)
            answer = await ask(platform, "once")
            self.assertEqual((answer.status, runs(platform)), (502, 1))

        self.play(work)

    async def ask_raw(self, platform: LocalPlatform, method: str, version: str) -> bytes:
        endpoint = platform.callers[0]
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        writer.write(
            f"{method} /stream/x HTTP/{version}\r\nHost: {HOST}\r\nX-Attempt-Id: r1\r\n"
            f"Authorization: Bearer {KEY}\r\nX-Token-Usage: 5000,500\r\n"
            "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
        )
        data = await reader.read()
        writer.close()
        return data

    def test_run_whose_caller_leaves_during_the_check_of_its_end_is_not_left_open(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.until_listed(platform)
            self.fail_first(platform, WorkerFault.UNFRAMED)
            for worker in platform.workers_by_id.values():
                worker.lasting_fault = WorkerFault.HANG
            task = asyncio.ensure_future(ask(platform, "stream"))
            workers = platform.workers_by_id.values()
            await platform.until(lambda: any(worker.probes for worker in workers))
            task.cancel()
            runs_by_life = platform.entries[0].crash_guard.tracker.runs_by_life
            await platform.until(
                lambda: all(run.ended_at for found in runs_by_life.values() for run in found)
            )

        self.play(work)

    def test_http_1_0_callers_get_a_stream_that_ends_with_its_connection(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.until_listed(platform)
            self.fail_first(platform, WorkerFault.UNFRAMED)
            head, _, body = (await self.ask_raw(platform, "POST", "1.0")).partition(b"\r\n\r\n")
            self.assertIn(b" 200 ", head.splitlines()[0])
            self.assertNotIn(b"chunked", head.lower())
            self.assertTrue(body.endswith(b"id: 5\ndata: piece 5\n\n"))

        self.play(work)

    def test_http_1_1_callers_get_chunks(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.until_listed(platform)
            self.fail_first(platform, WorkerFault.UNFRAMED)
            head, _, body = (await self.ask_raw(platform, "POST", "1.1")).partition(b"\r\n\r\n")
            self.assertIn(b"transfer-encoding: chunked", head.lower())
            self.assertTrue(body.endswith(b"0\r\n\r\n"))

        self.play(work)


if __name__ == "__main__":
    unittest.main()
