"""Relaying instances on a platform of loopback addresses: what callers and workers see."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

from pondpin.http_client import Answer
from pondpin.http_streams import CallFailedError
from pondpin.relay.retry_window import RetryWindow
from pondpin.settings import RelayLimits
from pondpin.standins.local_platform import (
    HOST,
    KEY,
    PLAIN,
    LocalPlatform,
    sample_configuration,
    sample_route,
)
from pondpin.standins.published_store import StoreFault
from pondpin.standins.worker import Worker, WorkerFault
from pondpin.tests.support import LONGEST_TEST_SECONDS, run_async, the_loop

EVENTS = 5
SHORT_KEY_MS = 1500.0


class RelayTest(unittest.TestCase):
    """Base: starts a platform for each test."""

    instances = 1
    limits = RelayLimits()

    def play(self, work: Callable[[LocalPlatform], Awaitable[None]]) -> None:
        async def whole() -> None:
            platform = LocalPlatform(the_loop()[1], instances=self.instances, limits=self.limits)
            async with asyncio.timeout(LONGEST_TEST_SECONDS):
                await platform.start()
                try:
                    await work(platform)
                finally:
                    await platform.stop()

        run_async(whole())


async def ask(
    platform: LocalPlatform,
    route: str,
    attempt: str = "a1",
    instance: int = 0,
    method: str = "POST",
    body: bytes = b"question",
    **headers: str,
) -> Answer:
    """One request of a caller."""
    named = {
        "host": HOST,
        "x-attempt-id": attempt,
        "x-deadline-ms": "5000",
        "authorization": f"Bearer {KEY}",
    }
    if route == "stream":
        named["x-token-usage"] = "5000,500"
    named |= {name.replace("_", "-"): value for name, value in headers.items()}
    url = f"http://{platform.callers[instance]}/{route}/x?y=1;z"
    return await platform.http.call(method, url, named, body, timeout=20.0)


def fail_next(platform: LocalPlatform, fault: WorkerFault, times: int = 1) -> None:
    """The next request at any worker meets a fault."""
    for worker in platform.workers_by_id.values():
        worker.faults = [fault] * times


def runs(platform: LocalPlatform, attempt: str = "a1") -> int:
    """How often an attempt ran at any worker."""
    return sum(worker.runs_by_attempt[attempt] for worker in platform.workers_by_id.values())


def numbers(answer: Answer) -> list[int]:
    """The ids of the events of an answer."""
    lines = answer.body.decode().splitlines()
    return [int(line.partition(":")[2]) for line in lines if line.startswith("id:")]


class PassThroughTest(RelayTest):
    def test_a_request_reaches_the_worker_as_it_was(self) -> None:
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

    def test_head_and_no_route_and_no_key(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            self.assertEqual((await ask(platform, "again", method="HEAD")).status, 200)
            self.assertEqual((await ask(platform, "nowhere")).status, 404)
            wrong = await ask(platform, "once", authorization="Bearer other")
            self.assertEqual(wrong.status, 401)
            self.assertEqual(runs(platform), 1)

        self.play(work)

    def test_a_stream_is_whole_and_in_order(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            answer = await ask(platform, "stream")
            self.assertEqual(numbers(answer), [1, 2, 3, 4, 5])

        self.play(work)


class AtMostOnceTest(RelayTest):
    def test_an_unsafe_request_runs_once_and_is_not_called_unrun(self) -> None:
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

    def test_a_shed_unsafe_request_is_told_truly_to_come_back(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for fault in (WorkerFault.SHED, WorkerFault.MISDIRECTED):
                fail_next(platform, fault)
                answer = await ask(platform, "once", fault.name)
                self.assertEqual(answer.status, 503)
                self.assertGreater(float(answer.headers["retry-after"]), 0)
                self.assertEqual(runs(platform, fault.name), 0)
                self.assertEqual(answer.headers["pondpin-ran"], "not run")

        self.play(work)

    def test_a_hanging_unsafe_request_ends_at_its_time_as_unknown(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.HANG)
            answer = await ask(platform, "once", x_deadline_ms="300")
            self.assertEqual(answer.status, 504)
            self.assertEqual(answer.headers["pondpin-ran"], "outcome unknown")
            self.assertEqual(runs(platform), 1)

        self.play(work)

    def test_an_unreachable_worker_is_no_send(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            gone = platform.workers_by_id["plain-0"]
            await gone.server.close()
            gone.server.cut()
            for number in range(4):
                answer = await ask(platform, "once", f"n{number}")
                self.assertEqual(answer.status, 200)

        self.play(work)


class AnswersTest(RelayTest):
    def test_an_unframed_answer_that_closes_is_whole(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.UNFRAMED)
            answer = await ask(platform, "once")
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.body.endswith(b"answers a1"))

        self.play(work)

    def test_a_surplus_answer_reaches_nobody(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.SURPLUS)
            for number in range(8):
                answer = await ask(platform, "again", f"s{number}")
                self.assertEqual(answer.status, 200)
                self.assertTrue(answer.body.endswith(f"answers s{number}".encode()))

        self.play(work)

    def test_a_safe_request_is_tried_elsewhere(self) -> None:
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


class StreamTest(RelayTest):
    def test_a_broken_stream_goes_on_elsewhere_within_one_answer(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for fault in (WorkerFault.CUT, WorkerFault.CUT_EVENT, WorkerFault.RESET):
                # The pool of a single short stream is one engine: it is chosen again.
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

    def test_a_caller_resumes_where_it_was(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            answer = await ask(platform, "stream", last_event_id="3")
            self.assertEqual(numbers(answer), [4, 5])

        self.play(work)

    def test_events_that_the_caller_has_are_not_passed_again(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in engines(platform):
                worker.ignores_resuming = True
            answer = await ask(platform, "stream", last_event_id="3")
            self.assertEqual(numbers(answer), [4, 5])

        self.play(work)

    def test_a_second_try_that_finds_no_place_is_not_called_unrun(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.RESET)
            first = platform.entries[0]
            spend = first.handler._window("engines").spend

            def take_key_away(now: float, sharers: int) -> bool:
                # Between both attempts the proof of the key grows too old.
                first.publication.proof = None
                return spend(now, sharers)

            first.reader.period = 3600.0
            with mock.patch.object(RetryWindow, "spend", lambda self, *args: take_key_away(*args)):
                answer = await ask(platform, "stream")
            self.assertEqual(runs(platform), 1)
            self.assertEqual(answer.status, 502)
            self.assertEqual(answer.headers["pondpin-ran"], "outcome unknown")

        self.play(work)

    def test_a_stream_broken_everywhere_does_not_look_whole(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.CUT, 9)
            with self.assertRaises(CallFailedError):
                await ask(platform, "stream")

        self.play(work)

    def test_a_worker_stops_when_the_caller_leaves(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in platform.workers_by_id.values():
                worker.event_seconds = 0.05
                worker.events = 1000
            task = asyncio.ensure_future(ask(platform, "stream"))
            await platform.until(lambda: busy(platform))
            task.cancel()
            await platform.until(lambda: not busy(platform))

        self.play(work)

    def test_a_long_prompt_is_read_in_parts_and_leases_are_returned(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.workers_by_id["engine-0"].memory = 450_000
            answer = await ask(platform, "stream", x_token_usage="700000,800")
            self.assertEqual(numbers(answer), [1, 2, 3, 4, 5])
            seen = [item for worker in engines(platform) for item in worker.seen]
            self.assertIn("/", seen[0].headers["helpers"])
            await platform.until(
                lambda: not any(worker.lease_by_id for worker in engines(platform))
            )

        self.play(work)

    def test_without_memory_for_a_group_nothing_stays_leased(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in engines(platform):
                worker.memory = 1000
            answer = await ask(platform, "stream", x_token_usage="700000,800")
            self.assertEqual(answer.status, 503)
            self.assertEqual(runs(platform), 0)
            self.assertFalse(any(worker.lease_by_id for worker in engines(platform)))

        self.play(work)


def engines(platform: LocalPlatform) -> list[Worker]:
    """The model engines."""
    return [item for name, item in platform.workers_by_id.items() if name.startswith("engine")]


def busy(platform: LocalPlatform) -> bool:
    """Whether any worker works."""
    return any(worker.working for worker in platform.workers_by_id.values())


class ConfigurationTest(RelayTest):
    instances = 3
    limits = RelayLimits(key_ms=SHORT_KEY_MS)

    def versions(self, platform: LocalPlatform) -> list[int]:
        return [
            entry.publication.configuration.version if entry.publication.configuration else 0
            for entry in platform.entries
        ]

    def all_have(self, platform: LocalPlatform, version: int) -> bool:
        return self.versions(platform) == [version] * 3

    def test_a_new_version_reaches_an_instance_that_the_store_turns_away(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            faults = (StoreFault.BUSY, StoreFault.MANY, StoreFault.RESET, StoreFault.SPOILED)
            for version, fault in enumerate(faults, 2):
                # Connections to the store come from the address of the machine's route: on
                # loopback all look alike, so the others are told apart by who may read.
                platform.entries[2].reader.period = 3600.0
                platform.publish(version)
                await platform.until(lambda wanted=version: self.all_have(platform, wanted))
                platform.store.fail(fault)
                await platform.until(lambda: not platform.entries[0].reader.answers)
                platform.store.fail(StoreFault.NONE)
                await platform.until(lambda: platform.entries[0].reader.answers)

        self.play(work)

    def test_a_key_that_was_taken_away_runs_nowhere(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.publish(2, tenants=[{"name": "riders", "apiKeys": ["new-key"]}])
            await platform.until(lambda: self.versions(platform) == [2, 2, 2])
            for instance in range(3):
                self.assertEqual((await ask(platform, "once", instance=instance)).status, 401)
            self.assertEqual(runs(platform), 0)

        self.play(work)

    def test_without_the_store_keys_end_and_come_back(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            platform.store.fail(StoreFault.SILENT)
            await platform.until(lambda: not any(entry.ready for entry in platform.entries))
            answer = await ask(platform, "once")
            self.assertEqual(answer.status, 503)
            self.assertEqual(runs(platform), 0)
            platform.store.fail(StoreFault.NONE)
            await platform.until(lambda: all(entry.ready for entry in platform.entries))
            self.assertEqual((await ask(platform, "once")).status, 200)

        self.play(work)

    def test_a_leaving_worker_gets_nothing_more(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = platform.workers_by_id["plain-0"]
            assert worker.server.port is not None
            place = f"127.0.0.1:{worker.server.port.getHost().port}"
            platform.list_worker("plain-0", PLAIN, place, "north", "draining")
            await platform.until(
                lambda: all("plain-0" in entry.table.left for entry in platform.entries)
            )
            worker.seen.clear()
            for number in range(12):
                answer = await ask(platform, "once", f"n{number}", instance=number % 3)
                self.assertEqual(answer.status, 200)
            self.assertEqual(worker.seen, [])

        self.play(work)

    def test_only_another_upstream_at_an_address_means_leaving(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.MISDIRECTED)
            await ask(platform, "once", "own")
            self.assertEqual(platform.entries[0].table.left, frozenset())
            fail_next(platform, WorkerFault.NONE, 0)
            for name in ("plain-0", "plain-1"):
                platform.workers_by_id[name].id = f"new-{name}"
            await ask(platform, "once", "other")
            self.assertEqual(len(platform.entries[0].table.left), 1)
            self.assertEqual(runs(platform, "other"), 0)

        self.play(work)

    def test_a_moved_route_goes_to_its_new_service(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            routes = sample_configuration()["routes"]
            routes[1] = sample_route("once", "unsafe", "engines", maxAttempts=1)
            platform.publish(2, routes=routes)
            await platform.until(lambda: self.versions(platform) == [2, 2, 2])
            answer = await ask(platform, "once")
            self.assertTrue(answer.body.startswith(b"engine-"))

        self.play(work)


class RetryShareTest(RelayTest):
    instances = 3

    def test_a_silent_peer_keeps_its_share_of_the_retries(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            first = platform.entries[0]
            await platform.until(lambda: first.handler.sharers() == 3)
            await platform.entries[2].stop()
            del platform.entries[2]
            await platform.until(lambda: len(first.gossip.known.alive(first.handler.clock())) == 1)
            self.assertEqual(first.handler.sharers(), 3)

        self.play(work)


class StopTest(RelayTest):
    limits = RelayLimits(grace_seconds=4.0)

    def test_a_stop_ends_streams_whole_and_sends_callers_away(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in engines(platform):
                worker.event_seconds = 0.2
            entry = platform.entries[0]
            task = asyncio.ensure_future(ask(platform, "stream"))
            await platform.until(lambda: busy(platform))
            stopping = asyncio.ensure_future(entry.drain_and_stop())
            await platform.until(lambda: entry.caller_server.stopping)
            self.assertFalse(entry.ready)
            late = await ask(platform, "once", "late")
            self.assertEqual(late.status, 200)
            self.assertEqual(numbers(await task), [1, 2, 3, 4, 5])
            await platform.until(lambda: entry.handler.refuses_new(entry.handler.clock()))
            with self.assertRaises((CallFailedError, AssertionError)):
                refused = await ask(platform, "once", "later")
                self.assertEqual(refused.status, 503)
                raise CallFailedError("told to come back", sent=False)
            await stopping
            platform.entries.clear()
            self.assertEqual(runs(platform, "later"), 0)

        self.play(work)


if __name__ == "__main__":
    unittest.main()
