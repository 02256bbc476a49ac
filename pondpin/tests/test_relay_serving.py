"""Tests of relaying over loopback: requests, answers, at-most-once execution, retries."""

import unittest

from pondpin.relay.choosing.retry_window import RetryBounds
from pondpin.standins.local_platform import PLAIN, LocalPlatform, sample_route
from pondpin.standins.worker import WorkerFault
from pondpin.tests.support import (
    RelayTest,
    ask,
    fail_next,
    numbers,
    runs,
)


class PassThroughTest(RelayTest):
    def test_a_request_reaches_the_worker_unchanged(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            answer = await ask(platform, "once", x_tenant="thief", priority="0", x_own="kept")
            self.assertEqual(answer.status, 200)
            worker = next(item for item in platform.workers_by_id.values() if item.seen)
            seen = worker.seen[0]
            self.assertEqual((seen.method, seen.target), ("POST", b"/once/x?y=1;z"))
            self.assertEqual(seen.body, b"question")
            self.assertEqual(seen.headers["x-tenant"], "riders")
            self.assertEqual(seen.headers["x-expect-instance"], worker.id)
            self.assertEqual(seen.headers["x-own"], "kept")
            self.assertNotIn("authorization", seen.headers)
            self.assertLessEqual(int(seen.headers["x-deadline-ms"]), 5000)
            self.assertEqual(answer.headers["x-instance-signature"], f"{worker.id}.a1")
            self.assertEqual(answer.body, f"{worker.id} answers a1".encode())

        self.play(work)

    def test_a_head_request_an_unknown_path_and_an_unknown_key(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            self.assertEqual((await ask(platform, "again", method="HEAD")).status, 200)
            self.assertEqual((await ask(platform, "nowhere")).status, 404)
            wrong = await ask(platform, "once", authorization="Bearer other")
            self.assertEqual(wrong.status, 401)
            self.assertEqual(runs(platform), 1)

        self.play(work)

    def test_a_stream_is_complete_and_in_order(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            answer = await ask(platform, "stream")
            self.assertEqual(numbers(answer), [1, 2, 3, 4, 5])

        self.play(work)


class AtMostOnceTest(RelayTest):
    def test_an_unsafe_request_runs_once_and_is_not_reported_as_not_run(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            lost = (
                WorkerFault.RESET,
                WorkerFault.CUT,
                WorkerFault.SPOILED,
                WorkerFault.FOREIGN,
                WorkerFault.UNSIGNED,
                WorkerFault.UNFRAMED_RESET,
            )
            for fault in lost:
                attempt = fault.name
                fail_next(platform, fault)
                answer = await ask(platform, "once", attempt)
                self.assertEqual((fault, answer.status), (fault, 502))
                self.assertEqual((fault, runs(platform, attempt)), (fault, 1))
                self.assertNotIn("x-instance-signature", answer.headers)
                fail_next(platform, fault, 0)

        self.play(work)

    def test_an_unsafe_request_runs_once_on_a_route_with_two_attempts(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            route = sample_route("once", "unsafe", PLAIN, maxAttempts=2)
            platform.publish(2, routes=[route])
            publication = platform.entries[0].publication
            await platform.until(lambda: publication.configuration.version == 2)  # type: ignore[union-attr]
            for fault in (WorkerFault.RESET, WorkerFault.CUT, WorkerFault.SPOILED):
                fail_next(platform, fault)
                answer = await ask(platform, "once", fault.name)
                self.assertEqual((fault, answer.status), (fault, 502))
                self.assertEqual((fault, runs(platform, fault.name)), (fault, 1))
                fail_next(platform, fault, 0)
            shedding = next(item for item in platform.workers_by_id.values() if item.seen)
            shedding.faults = [WorkerFault.SHED]
            self.assertEqual((await ask(platform, "once", "shed")).status, 200)
            self.assertEqual(runs(platform, "shed"), 1)

        self.play(work)

    def test_a_shed_unsafe_request_gets_retry_after_and_is_reported_as_not_run(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for fault in (WorkerFault.SHED, WorkerFault.MISDIRECTED):
                fail_next(platform, fault)
                answer = await ask(platform, "once", fault.name)
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.headers["retry-after"]), 0)
                self.assertEqual(runs(platform, fault.name), 0)
                self.assertEqual(answer.headers["pondpin-ran"], "not run")

        self.play(work)

    def test_a_hanging_unsafe_request_times_out_with_unknown_outcome(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.HANG)
            answer = await ask(platform, "once", x_deadline_ms="300")
            self.assertEqual(answer.status, 504)
            self.assertEqual(answer.headers["pondpin-ran"], "outcome unknown")
            self.assertEqual(runs(platform), 1)

        self.play(work)

    def test_an_unsent_request_is_sent_elsewhere_without_retry_budget(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            window = platform.entries[0].handler.window(PLAIN)
            window.bounds = RetryBounds(0.0, 0.0, 10.0)
            gone = platform.workers_by_id["plain-0"]
            await gone.server.close()
            gone.server.abort_connections()
            for number in range(4):
                answer = await ask(platform, "once", f"n{number}")
                self.assertEqual(answer.status, 200)
                self.assertEqual(runs(platform, f"n{number}"), 1)

        self.play(work)

    def test_a_connection_failure_does_not_count_as_a_send(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            gone = platform.workers_by_id["plain-0"]
            await gone.server.close()
            gone.server.abort_connections()
            for number in range(4):
                answer = await ask(platform, "once", f"n{number}")
                self.assertEqual(answer.status, 200)

        self.play(work)


class AnswersTest(RelayTest):
    def test_an_unframed_answer_ends_with_the_connection(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.UNFRAMED)
            answer = await ask(platform, "once")
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.body.endswith(b"answers a1"))

        self.play(work)

    def test_a_surplus_answer_is_discarded(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.SURPLUS)
            for number in range(8):
                answer = await ask(platform, "again", f"s{number}")
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.body.endswith(f"answers s{number}".encode()))

        self.play(work)

    def test_a_safe_request_is_retried_elsewhere(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for fault in (WorkerFault.ERROR, WorkerFault.RESET, WorkerFault.SHED):
                for worker in platform.workers_by_id.values():
                    worker.faults = []
                platform.workers_by_id["plain-0"].faults = [fault]
                for number in range(2):
                    answer = await ask(platform, "again", f"{fault.name}{number}")
                    self.assertEqual((fault, answer.status), (fault, 200))

        self.play(work)

    def test_an_error_keeps_its_signature_and_status(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.ERROR)
            answer = await ask(platform, "once")
            self.assertEqual(answer.status, 500)
            self.assertTrue(answer.headers["x-instance-signature"].endswith(".a1"))

        self.play(work)


class RetryBudgetTest(RelayTest):
    instances = 3

    def test_a_silent_peer_keeps_its_share_of_the_retry_budget(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            first = platform.entries[0]
            await platform.until(lambda: first.handler.instance_count() == 3)
            await platform.entries[2].stop()
            del platform.entries[2]
            await platform.until(
                lambda: len(first.gossip.peer_table.alive(first.handler.clock())) == 1
            )
            self.assertEqual(first.handler.instance_count(), 3)

        self.play(work)


if __name__ == "__main__":
    unittest.main()
