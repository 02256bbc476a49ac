"""Tests of relayed streams: resumption, cancellation, prefill in parts."""

import asyncio
import socket
import unittest
from typing import Any
from unittest import mock

from pondpin.http_streams import CallFailedError
from pondpin.relay.call import AttemptEnd, RelayCall
from pondpin.relay.choosing.retry_window import RetryWindow
from pondpin.standins.local_platform import HOST as RELAY_HOST
from pondpin.standins.local_platform import KEY as RELAY_KEY
from pondpin.standins.local_platform import PLAIN, LocalPlatform, sample_route
from pondpin.standins.worker import WorkerFault
from pondpin.tests.support import (
    RelayTest,
    ask,
    busy,
    engines,
    fail_next,
    numbers,
    runs,
)


class StreamTest(RelayTest):
    def test_a_broken_stream_resumes_elsewhere_within_one_answer(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            # Before that, the light pool includes every engine.
            await platform.until(platform.entries[0].knows_peers)
            for fault in (WorkerFault.CUT, WorkerFault.CUT_EVENT, WorkerFault.RESET):
                # The pool for a single short stream is one engine, so it is chosen again.
                await ask(platform, "stream", f"{fault.name}0")
                first = next(item for item in engines(platform) if item.seen)
                first.faults = [fault]
                answer = await ask(platform, "stream", f"{fault.name}1")
                self.assertEqual((fault, numbers(answer)), (fault, [1, 2, 3, 4, 5]))
                self.assertFalse(first.faults)
                other = next(item for item in engines(platform) if item is not first)
                resumed = other.seen[-1].headers.get("last-event-id", "")
                expected = "" if fault is WorkerFault.RESET else "2"
                self.assertEqual((fault, resumed), (fault, expected))
                for worker in engines(platform):
                    worker.seen.clear()

        self.play(work)

    def test_a_caller_resumes_after_its_last_event(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            answer = await ask(platform, "stream", last_event_id="3")
            self.assertEqual(numbers(answer), [4, 5])

        self.play(work)

    def test_events_that_the_caller_has_are_not_repeated(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in engines(platform):
                worker.ignores_resuming = True
            answer = await ask(platform, "stream", last_event_id="3")
            self.assertEqual(numbers(answer), [4, 5])

        self.play(work)

    def test_a_failed_retry_does_not_report_the_request_as_not_run(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.RESET)
            first = platform.entries[0]
            spend = first.handler.window("engines").spend

            def expire_proof(now: float, instance_count: int) -> bool:
                # The proof that the key is valid expires between the attempts.
                first.publication.proof = None
                return spend(now, instance_count)

            first.reader.period = 3600.0
            with mock.patch.object(RetryWindow, "spend", lambda self, *args: expire_proof(*args)):
                answer = await ask(platform, "stream")
            self.assertEqual(runs(platform), 1)
            self.assertEqual(answer.status, 502)
            self.assertEqual(answer.headers["pondpin-ran"], "outcome unknown")

        self.play(work)

    def test_a_stream_broken_everywhere_does_not_look_complete(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.CUT, 9)
            with self.assertRaises(CallFailedError):
                await ask(platform, "stream")

        self.play(work)

    def test_a_worker_stops_when_the_caller_disconnects(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in platform.workers_by_id.values():
                worker.event_seconds = 0.05
                worker.events = 1000
            task = asyncio.ensure_future(ask(platform, "stream"))
            await platform.until(lambda: busy(platform))
            task.cancel()
            await platform.until(lambda: not busy(platform))

        self.play(work)

    def test_no_retry_after_the_caller_disconnects(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.HANG)
            task = asyncio.ensure_future(ask(platform, "stream"))
            await platform.until(lambda: busy(platform))
            task.cancel()
            await platform.until(lambda: not platform.entries[0].handler.open_requests)
            await platform.until(lambda: not busy(platform))
            self.assertEqual(runs(platform), 1)

        self.play(work)

    def test_a_request_is_dropped_if_its_caller_disconnected_before_it_was_read(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await ask(platform, "again", "before")
            place = platform.callers[0]
            head = (
                f"POST /again/x HTTP/1.1\r\nhost: {RELAY_HOST}\r\nx-attempt-id: left\r\n"
                f"authorization: Bearer {RELAY_KEY}\r\ncontent-length: 1\r\n\r\nq"
            )
            with socket.create_connection((place.host, place.port)) as caller:
                caller.sendall(head.encode())
            await ask(platform, "again", "after")
            seen = [
                item.headers["x-attempt-id"]
                for worker in platform.workers_by_id.values()
                for item in worker.seen
            ]
            self.assertEqual(seen, ["before", "after"])

        self.play(work)

    def test_an_unsafe_request_is_not_sent_again_after_its_caller_disconnects(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            revision = platform.publish(
                2, routes=[sample_route("once", "unsafe", PLAIN, maxAttempts=2)]
            )
            publication = platform.entries[0].publication
            await platform.until(lambda: publication.revision == revision)
            attempts = platform.entries[0].handler.runner
            run = attempts.run

            async def run_and_disconnect(call: RelayCall, *others: Any) -> AttemptEnd:
                end = await run(call, *others)
                call.reply.mark_disconnected()
                return end

            fail_next(platform, WorkerFault.SHED)
            with mock.patch.object(attempts, "run", run_and_disconnect):
                task = asyncio.ensure_future(ask(platform, "once"))
                handler = platform.entries[0].handler
                workers = platform.workers_by_id.values()
                await platform.until(lambda: any(worker.seen for worker in workers))
                await platform.until(lambda: not handler.open_requests)
                task.cancel()
            self.assertEqual(sum(len(worker.seen) for worker in workers), 1)

        self.play(work)

    def test_a_long_prompt_is_prefilled_in_parts_and_leases_are_released(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.workers_by_id["engine-0"].memory = 450_000
            answer = await ask(platform, "long", x_token_usage="700000,800", x_deadline_ms="20000")
            self.assertEqual(numbers(answer), [1, 2, 3, 4, 5])
            seen = [item for worker in engines(platform) for item in worker.seen]
            self.assertIn("/", seen[0].headers["helpers"])
            await platform.until(
                lambda: not any(worker.lease_by_id for worker in engines(platform))
            )

        self.play(work)

    def test_a_prompt_beyond_the_caller_timeout_is_refused_at_once(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            answer = await ask(platform, "long", x_token_usage="700000,800", x_deadline_ms="3000")
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.headers["pondpin-ran"], "not run")
            self.assertIn("retry-after", answer.headers)
            self.assertEqual(runs(platform), 0)

        self.play(work)

    def test_an_engine_that_does_not_answer_a_status_query_is_abandoned_early(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.HANG)
            for worker in engines(platform):
                worker.dark = True
            task = asyncio.ensure_future(ask(platform, "long", x_token_usage="5000,500"))
            await platform.until(lambda: busy(platform))
            fail_next(platform, WorkerFault.NONE, 0)
            answer = await task
            self.assertEqual(numbers(answer), [1, 2, 3, 4, 5])
            asked = [worker for worker in engines(platform) if worker.reports]
            self.assertEqual(len(asked), 1)
            self.assertTrue(platform.entries[0].table.by_id[asked[0].id].needs_probe)

        self.play(work)

    def test_no_lease_remains_without_memory_for_a_group(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in engines(platform):
                worker.memory = 1000
            answer = await ask(platform, "long", x_token_usage="700000,800", x_deadline_ms="20000")
            self.assertEqual(answer.status, 503)
            self.assertEqual(runs(platform), 0)
            self.assertFalse(any(worker.lease_by_id for worker in engines(platform)))

        self.play(work)


class HelperTest(RelayTest):
    engines = 4

    def test_a_helper_reported_at_fault_is_not_chosen_again(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            once = [WorkerFault.HELPER_GONE]
            for worker in engines(platform):
                worker.faults = once
            answer = await ask(platform, "long", x_token_usage="300000,800", x_deadline_ms="20000")
            self.assertEqual(numbers(answer), [1, 2, 3, 4, 5])
            tried = [worker for worker in engines(platform) if worker.seen]
            refused, served = sorted(tried, key=lambda worker: worker.runs_by_attempt["a1"])
            first, second = refused.seen[0], served.seen[0]
            gone = first.headers["helpers"].split(",")[0].split("/")[0]
            self.assertNotIn(gone, second.headers.get("helpers", ""))
            (state,) = (
                state
                for state in platform.entries[0].table.by_id.values()
                if f"{state.listed.host}:{state.listed.port}" == gone
            )
            self.assertTrue(state.needs_probe)

        self.play(work)


if __name__ == "__main__":
    unittest.main()
