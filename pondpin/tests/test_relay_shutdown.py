"""Open requests of a relaying instance that stops: each ends with a whole answer."""

import asyncio
import json
import socket
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec

from pondpin.http_client import HttpResponse
from pondpin.http_reply import Reply
from pondpin.relay.attempts.run_times import MAX_RUNS, RECENT_SECONDS, RunTimes
from pondpin.relay.attempts.shutdown import can_finish, check_drain
from pondpin.relay.call import Progress, Wait, WaitPlace
from pondpin.relay.entry import RelayEntry
from pondpin.relay.log_events import Stopped
from pondpin.relay.upstreams.contention import OWNER_ANSWER
from pondpin.relay_settings import RelayLimits
from pondpin.runtime import steady_now
from pondpin.soak.promises import Findings, check_stops
from pondpin.standins.local_platform import (
    HOST,
    KEY,
    PLAIN,
    LocalPlatform,
    sample_configuration,
    sample_route,
)
from pondpin.standins.worker import WorkerFault
from pondpin.tests.support import (
    RelayTest,
    ask,
    busy,
    engines,
    fail_next,
    runs,
)
from pondpin.tests.test_relay_planner import make_call

GRACE_SECONDS = 4.0
# The engines are forecast to prefill it for some 9 s.
BLOCKING_TOKENS = 590_000
QUEUED_TOKENS = 100_000
# Of plain calls, unsafe and safe.
ROUTES = ("once", "again")


class ShutdownTest(RelayTest):
    limits = RelayLimits(grace_seconds=GRACE_SECONDS)

    async def publish(self, platform: LocalPlatform, **route: Any) -> None:
        """Publish a changed route of plain calls."""
        routes = [*sample_configuration()["routes"][:2], sample_route("again", "safe", PLAIN)]
        routes[2] |= route
        revision = platform.publish(2, routes=routes)
        publication = platform.entries[0].publication
        await platform.until(lambda: publication.revision == revision)

    def start(
        self, platform: LocalPlatform, route: str, count: int, **headers: Any
    ) -> "list[asyncio.Task[HttpResponse]]":
        """Send requests with their numbers as attempt ids."""
        return [
            asyncio.create_task(ask(platform, route, f"{route}{number}", **headers))
            for number in range(count)
        ]

    async def until_waiting(self, platform: LocalPlatform, place: WaitPlace, count: int) -> None:
        """Wait until some requests wait for something."""
        entry = platform.entries[0]
        await platform.until(lambda: len(waiting(entry, place)) >= count)

    async def stop(self, platform: LocalPlatform) -> "asyncio.Task[None]":
        """Begin to stop the first instance."""
        entry = platform.entries[0]
        stopping = asyncio.create_task(entry.drain_and_stop())
        await platform.until(lambda: entry.caller_server.stopping)
        return stopping

    def check_refused(self, answer: HttpResponse) -> None:
        """Check that an answer says that nothing was run, and when to retry."""
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["pondpin-ran"], "not run")
        self.assertEqual(json.loads(answer.body)["error"]["name"], "DRAINING")
        self.assertLessEqual(float(answer.headers["retry-after"]), 0.1)


def waiting(entry: RelayEntry, place: WaitPlace) -> list[Wait]:
    """The requests of an instance that wait for something."""
    waits = (item.progress.wait for item in entry.handler.served)
    return [wait for wait in waits if wait is not None and wait.place is place]


class RefusedWhenKnownTest(ShutdownTest):
    def test_queued_prompts_that_outlast_the_drain_are_refused_at_its_start(self) -> None:
        # Guards against prompts that wait until the process ends and get no answer.
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.HANG, 9)
            headers: dict[str, Any] = {"x_deadline_ms": "20000"}
            usage = f"{BLOCKING_TOKENS},800"
            (first,) = self.start(platform, "long", 1, x_token_usage=usage, **headers)
            await platform.until(lambda: busy(platform))
            usage = f"{QUEUED_TOKENS},800"
            queued = [
                asyncio.create_task(
                    ask(platform, "long", f"queued{number}", x_token_usage=usage, **headers)
                )
                for number in range(2)
            ]
            queue = platform.entries[0].gossip.prefill_queue
            await platform.until(lambda: len(queue.queued(steady_now())) == len(queued))
            stopping = await self.stop(platform)
            for answer in await asyncio.gather(*queued):
                self.check_refused(answer)
            self.assertFalse(stopping.done())
            self.assertEqual(runs(platform, "queued0") + runs(platform, "queued1"), 0)
            # It may have run.
            answer = await first
            self.assertEqual(answer.status, 502)
            self.assertEqual(answer.headers["pondpin-ran"], "outcome unknown")
            await stopping
            platform.entries.clear()

        self.play(work)

    def test_calls_that_wait_for_slots_beyond_the_drain_are_refused_at_its_start(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.publish(platform, targetLatencyMs=9000)
            entry = platform.entries[0]
            await platform.until(entry.knows_peers)
            for worker in platform.workers_by_id.values():
                worker.slots, worker.queue_places, worker.call_seconds = 8, 30, 3.0
            for state in entry.table.by_id.values():
                entry.gossip.slots.contention.record(state.life, OWNER_ANSWER, steady_now())
            calls = self.start(platform, "again", 30, x_deadline_ms="9000")
            await self.until_waiting(platform, WaitPlace.SLOT, 3)
            before = len(waiting(entry, WaitPlace.SLOT))
            stopping = await self.stop(platform)
            await platform.until(lambda: not waiting(entry, WaitPlace.SLOT), GRACE_SECONDS / 2)
            self.assertFalse(stopping.done())
            answers = await asyncio.gather(*calls)
            await stopping
            platform.entries.clear()
            refused = [item for item in answers if item.status == 503]
            self.assertGreaterEqual(len(refused), before)
            self.assertLessEqual({item.status for item in answers}, {200, 502, 503})

        self.play(work)

    def test_calls_that_wait_for_a_rest_beyond_the_drain_are_refused_at_its_start(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.publish(platform, targetLatencyMs=40000, timeoutMs=60000)
            for worker in platform.workers_by_id.values():
                worker.rest = "8"
            await asyncio.gather(*self.start(platform, "again", 2))
            calls = self.start(platform, "again", 3, x_deadline_ms="30000")
            await self.until_waiting(platform, WaitPlace.REST, 3)
            stopping = await self.stop(platform)
            for answer in await asyncio.gather(*calls):
                self.check_refused(answer)
            self.assertFalse(stopping.done())
            await stopping
            platform.entries.clear()

        self.play(work)

    def test_calls_that_wait_for_a_permit_beyond_the_drain_are_refused_at_its_start(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.publish(platform, targetLatencyMs=30000, timeoutMs=60000)
            for worker in platform.workers_by_id.values():
                worker.limit = "0.1"
            await asyncio.gather(*self.start(platform, "again", 4))
            calls = self.start(platform, "again", 4, x_deadline_ms="30000")
            await self.until_waiting(platform, WaitPlace.PERMIT, 1)
            entry = platform.entries[0]
            stopping = await self.stop(platform)
            await platform.until(lambda: not waiting(entry, WaitPlace.PERMIT), GRACE_SECONDS / 2)
            self.assertFalse(stopping.done())
            answers = await asyncio.gather(*calls)
            self.assertLessEqual({item.status for item in answers}, {200, 503})
            self.assertIn(503, {item.status for item in answers})
            await stopping
            platform.entries.clear()

        self.play(work)

    def test_a_body_that_is_still_received_is_answered(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            reader, writer = await self.connect(platform)
            writer.write(head("slow", 100) + b"begun")
            await platform.until(lambda: receives_body(platform.entries[0]))
            stopping = await self.stop(platform)
            answer = await reader.read()
            self.assertIn(b" 503 ", answer.partition(b"\r\n")[0])
            self.assertTrue(answer.endswith(b"}"))
            writer.close()
            await stopping
            platform.entries.clear()

        self.play(work)

    async def connect(
        self, platform: LocalPlatform
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        place = platform.callers[0]
        return await asyncio.open_connection(place.host, place.port)


def head(attempt: str, length: int, route: str = "again") -> bytes:
    return (
        f"POST /{route}/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {attempt}\r\n"
        f"x-deadline-ms: 9000\r\nauthorization: Bearer {KEY}\r\n"
        f"content-length: {length}\r\n\r\n"
    ).encode()


def receives_body(entry: RelayEntry) -> bool:
    channels = entry.caller_server.channels
    return any(item.is_receiving_body for channel in channels for item in channel._channel.requests)


class NewRequestsTest(RelayTest):
    limits = RelayLimits(grace_seconds=2.0)

    async def run_before(self, platform: LocalPlatform, seconds: float) -> None:
        """Let the instance learn how long the routes of plain calls run."""
        for worker in platform.workers_by_id.values():
            worker.call_seconds = seconds
        answers = await asyncio.gather(*(ask(platform, route, route) for route in ROUTES))
        self.assertEqual([answer.status for answer in answers], [200, 200])

    def test_new_requests_of_a_route_whose_calls_all_still_run_are_refused(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in platform.workers_by_id.values():
                worker.call_seconds = 60.0
            entry = platform.entries[0]
            open_calls = [asyncio.create_task(ask(platform, route, route)) for route in ROUTES]
            await platform.until(lambda: self.oldest_run(entry) >= 1.7)
            answers, _ = await self.ask_while_stopping(platform)
            for answer in answers:
                self.assertEqual(answer.status, 503)
                self.assertEqual(answer.headers["pondpin-ran"], "not run")
            # They were sent before the stop.
            for answer in await asyncio.gather(*open_calls):
                self.assertEqual(answer.status, 502)

        self.play(work)

    def oldest_run(self, entry: RelayEntry) -> float:
        """The shorter of the routes' longest runs."""
        return min(entry.handler.placer.run_times.longest(name, steady_now()) for name in ROUTES)

    async def ask_while_stopping(
        self, platform: LocalPlatform
    ) -> "tuple[list[HttpResponse], float]":
        """Send a request of each route once a stop has begun; the answers, and seconds to them."""
        entry = platform.entries[0]
        stopping = asyncio.create_task(entry.drain_and_stop())
        await platform.until(lambda: entry.caller_server.stopping)
        began = steady_now()
        calls = [ask(platform, route, f"late-{route}") for route in ROUTES]
        answers = await asyncio.gather(*calls)
        seconds = steady_now() - began
        await stopping
        platform.entries.clear()
        return answers, seconds

    def test_new_requests_that_outlast_the_drain_are_refused_as_not_run(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.run_before(platform, 1.8)
            answers, seconds = await self.ask_while_stopping(platform)
            for answer in answers:
                self.assertEqual(answer.status, 503)
                self.assertEqual(answer.headers["pondpin-ran"], "not run")
                self.assertEqual(json.loads(answer.body)["error"]["name"], "DRAINING")
            self.assertLess(seconds, 1.6)
            self.assertEqual(runs(platform, "late-once") + runs(platform, "late-again"), 0)

        self.play(work)

    def test_new_requests_that_fit_into_the_drain_are_served(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            await self.run_before(platform, 0.5)
            answers, _ = await self.ask_while_stopping(platform)
            self.assertEqual([answer.status for answer in answers], [200, 200])

        self.play(work)


class NewConnectionsTest(ShutdownTest):
    async def connect(
        self, platform: LocalPlatform
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection; returns once it is accepted."""
        place, server = platform.callers[0], platform.entries[0].caller_server
        before = len(server.channels)
        connection = await asyncio.open_connection(place.host, place.port)
        await platform.until(lambda: len(server.channels) > before)
        return connection

    def test_a_connection_that_was_just_accepted_is_not_closed_before_its_request(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.HANG)
            open_call = asyncio.create_task(ask(platform, "again", x_deadline_ms="9000"))
            await platform.until(lambda: busy(platform))
            server = platform.entries[0].caller_server
            polls = self.enterContext(
                mock.patch.object(server, "close_idle", wraps=server.close_idle)
            )
            stopping = await self.stop(platform)
            reader, writer = await self.connect(platform)
            before = polls.call_count
            await platform.until(lambda: polls.call_count >= before + 2)
            writer.write(head("late", 0))
            answer = await reader.read()
            self.assertIn(b" 503 ", answer.partition(b"\r\n")[0])
            self.assertIn(b"pondpin-ran: not run", answer.lower())
            writer.close()
            await asyncio.gather(open_call, stopping)
            platform.entries.clear()

        with mock.patch("pondpin.relay.entry.BALANCER_REMOVAL_SECONDS", 0.0):
            self.play(work)

    def test_a_connection_that_was_accepted_at_the_end_of_the_drain_gets_an_answer(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            entry = platform.entries[0]
            reader, writer = await self.connect(platform)
            stopping = asyncio.create_task(entry.stop())
            await platform.until(lambda: entry.drain_ends_at is not None)
            writer.write(head("late", 0))
            answer = await reader.read()
            self.assertIn(b" 503 ", answer.partition(b"\r\n")[0])
            writer.close()
            await stopping
            platform.entries.clear()

        with mock.patch("pondpin.relay.draining.FLUSH_SECONDS", 5.0):
            self.play(work)


class ServedToTheEndTest(ShutdownTest):
    def test_calls_that_can_be_served_in_time_are_served(self) -> None:
        # Guards against refusals of requests whose upstreams are free before the drain ends.
        async def work(platform: LocalPlatform) -> None:
            await self.publish(platform, targetLatencyMs=5000)
            for worker in platform.workers_by_id.values():
                worker.rest = "1"
            await asyncio.gather(*self.start(platform, "again", 2))
            calls = self.start(platform, "again", 3)
            await self.until_waiting(platform, WaitPlace.REST, 3)
            for worker in platform.workers_by_id.values():
                worker.rest = ""
            stopping = await self.stop(platform)
            for answer in await asyncio.gather(*calls):
                self.assertEqual(answer.status, 200)
            await stopping
            platform.entries.clear()

        self.play(work)

    def test_a_sent_unsafe_request_is_answered_as_of_unknown_outcome(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.HANG)
            call = asyncio.create_task(ask(platform, "once", x_deadline_ms="9000"))
            await platform.until(lambda: busy(platform))
            await (await self.stop(platform))
            platform.entries.clear()
            answer = await call
            self.assertEqual(answer.status, 502)
            self.assertEqual(answer.headers["pondpin-ran"], "outcome unknown")
            self.assertEqual(runs(platform), 1)

        self.play(work)

    def test_a_stream_midway_does_not_look_complete(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for worker in engines(platform):
                worker.events, worker.event_seconds = 1000, 0.05
            reader, writer = await asyncio.open_connection(
                platform.callers[0].host, platform.callers[0].port
            )
            usage = b"x-token-usage: 5000,500\r\n\r\n"
            writer.write(head("a1", 0, "stream").replace(b"\r\n\r\n", b"\r\n" + usage))
            await platform.until(lambda: busy(platform))
            await (await self.stop(platform))
            platform.entries.clear()
            answer = await reader.read()
            self.assertIn(b" 200 ", answer.partition(b"\r\n")[0])
            self.assertIn(b"id: 20", answer)
            self.assertFalse(answer.endswith(b"0\r\n\r\n"))
            writer.close()

        self.play(work)

    def test_an_answer_that_its_caller_reads_slowly_is_whole(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            size = 6 << 20
            for worker in platform.workers_by_id.values():
                self.enterContext(mock.patch.object(worker, "_answer", answer_with(size)))
                worker.call_seconds = 0.2
            entry = platform.entries[0]
            connection = socket.socket()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.setblocking(False)
            loop = asyncio.get_running_loop()
            place = platform.callers[0]
            await loop.sock_connect(connection, (place.host, place.port))
            await loop.sock_sendall(connection, head("big", 0, "again"))
            await platform.until(lambda: bool(entry.handler.served))
            stopping = await self.stop(platform)
            await platform.until(lambda: not entry.handler.open_requests)
            received = 0
            while data := await loop.sock_recv(connection, 1 << 16):
                received += len(data)
            self.assertGreater(received, size)
            connection.close()
            await stopping
            platform.entries.clear()

        self.play(work)


def answer_with(size: int) -> Callable[[Reply, dict[str, str], str, WorkerFault], None]:
    """A worker's answer with a large body."""
    return lambda reply, headers, attempt, fault: reply.send(200, headers, b"." * size)


class RepeatedStopTest(ShutdownTest):
    def test_a_stop_without_a_drain_answers_open_requests(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            fail_next(platform, WorkerFault.HANG)
            call = asyncio.create_task(ask(platform, "again", x_deadline_ms="9000"))
            await platform.until(lambda: busy(platform))
            await platform.entries[0].stop()
            platform.entries.clear()
            self.assertEqual((await call).status, 502)

        self.play(work)


class DecisionTest(unittest.TestCase):
    def test_a_wait_and_the_answer_must_fit_into_the_drain(self) -> None:
        call = make_call(5000)
        wait = Wait(WaitPlace.REST, lambda now: 105.0 - now)
        self.assertTrue(can_finish(call, wait, 110.0, 100.0))
        self.assertFalse(can_finish(call, wait, 105.0, 100.0))
        # A wait that should be over counts as over.
        self.assertTrue(can_finish(call, wait, 110.0, 108.0))

    def test_a_started_stream_goes_on(self) -> None:
        wait = Wait(WaitPlace.PLACEMENT)
        check_drain(make_call(5000), Progress(events=3), wait, 100.0, 200.0)

    def test_a_new_request_must_fit_as_the_longest_recent_run_of_its_route(self) -> None:
        call = make_call(5000)
        wait = Wait(WaitPlace.PLACEMENT)
        self.assertTrue(can_finish(call, wait, 110.0, 100.0, longest_run=9.0))
        self.assertFalse(can_finish(call, wait, 110.0, 100.0, longest_run=11.0))
        # Its deadline is before the end of the drain.
        self.assertTrue(can_finish(call, wait, call.deadline, call.deadline - 5.0, longest_run=9.0))


class RunTimesTest(unittest.TestCase):
    def run_for(self, times: RunTimes, seconds: float, at: float) -> None:
        """Record a run of a route that was answered."""
        times.end(times.begin("a", at - seconds), True, at)

    def test_an_open_run_counts_by_its_age(self) -> None:
        times = RunTimes()
        self.run_for(times, 2.0, 100.0)
        first, second = times.begin("a", 100.0), times.begin("a", 103.0)
        self.assertEqual(times.longest("a", 109.0), 9.0)
        times.end(first, False, 109.0)
        self.assertEqual(times.longest("a", 109.0), 6.0)
        times.end(second, False, 109.0)
        self.assertEqual(times.longest("a", 109.0), 2.0)

    def test_the_longest_recent_run_counts(self) -> None:
        times = RunTimes()
        for at, seconds in enumerate((2.0, 7.0, 3.0, 1.0)):
            self.run_for(times, seconds, float(at))
        times.end(times.begin("a", -90.0), False, 3.0)
        self.assertEqual(times.longest("a", 4.0), 7.0)
        self.assertEqual(times.longest("a", 1.5 + RECENT_SECONDS), 3.0)
        self.assertEqual(times.longest("b", 4.0), 0.0)

    def test_runs_are_bounded(self) -> None:
        times = RunTimes()
        for number in range(10 * MAX_RUNS):
            self.run_for(times, 1000.0 - number, float(number))
        self.assertLessEqual(len(times._runs_by_route["a"]), MAX_RUNS)
        times.expire(10 * MAX_RUNS + RECENT_SECONDS)
        self.assertEqual(times._runs_by_route, {})


class StopLogTest(unittest.TestCase):
    def test_a_stop_that_left_requests_unanswered_is_found(self) -> None:
        lines = (Stopped(open_requests=3), Stopped(open_requests=3, unanswered=2))
        for line, count in zip(lines, (0, 1), strict=True):
            path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "relay-0.log"
            path.write_bytes(msgspec.json.encode(line) + b"\n")
            findings = Findings()
            check_stops([path], findings)
            self.assertEqual(len(findings.lines), count)


if __name__ == "__main__":
    unittest.main()
