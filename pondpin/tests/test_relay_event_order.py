"""What callers get of streams whose runs break off, by raw connections on both sides."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

from pondpin.relay.attempts.crash_guard import CrashGuard
from pondpin.relay.attempts.event_order import EventOrder, OrderFault
from pondpin.relay.attempts.events import Event
from pondpin.relay.log_events import AttemptEnded, LogEvent
from pondpin.relay_settings import RelayLimits
from pondpin.standins.local_platform import HOST, KEY, PLAIN, LocalPlatform, sample_route
from pondpin.tests.support import RelayTest
from pondpin.tests.test_event_order import DONE, events

EVENT_STREAM = "text/event-stream"
UPSTREAMS = ("raw-0", "raw-1", "raw-2")
LAST_CHUNK = b"0\r\n\r\n"
LATER_SECONDS = 0.1
# Raises no status, so that a caller can read it.
OK = "200 OK"


@dataclass(frozen=True)
class Run:
    """What an upstream answers; is_whole: whether it ends as complete.

    closes: it has no length, and its upstream stops listening before it closes the connection.
    later: comes in a read of its own. hangs: its upstream goes on without another event.
    """

    body: bytes
    is_whole: bool = False
    status: str = OK
    content_type: str = EVENT_STREAM
    headers: str = ""
    closes: bool = False
    later: bytes = b""
    hangs: bool = False

    def head(self, attempt: str, upstream: str) -> str:
        framing = "connection: close" if self.closes else "transfer-encoding: chunked"
        if self.status.startswith("204"):
            framing = "x-none: 1"
        return (
            f"HTTP/1.1 {self.status}\r\nx-attempt-id: {attempt}\r\n"
            f"x-instance-signature: {upstream}\r\ncontent-type: {self.content_type}\r\n"
            f"{self.headers}{framing}\r\n\r\n"
        )


@dataclass
class ScriptedUpstreams:
    """Upstreams that answer requests from one list of runs."""

    runs: list[Run] = field(default_factory=list)
    resumed_after: list[str] = field(default_factory=list)
    upstreams: list[str] = field(default_factory=list)
    servers: dict[str, asyncio.Server] = field(default_factory=dict)

    async def listen(self, platform: LocalPlatform) -> None:
        """Replace the plain workers."""
        for name in UPSTREAMS:
            server = await asyncio.start_server(self._accept(name), "127.0.0.1", 0)
            self.servers[name] = server
            port = server.sockets[0].getsockname()[1]
            platform.list_worker(name, PLAIN, f"127.0.0.1:{port}", "north")
        for name in ("plain-0", "plain-1"):
            platform.store.delete(f"servers/{name}")
        table = platform.entries[0].table
        await platform.until(
            lambda: {state.id for state in table.of_service(PLAIN)} == set(UPSTREAMS)
        )

    def close(self) -> None:
        """Stop listening."""
        for server in self.servers.values():
            server.close()

    def _accept(
        self, name: str
    ) -> Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                while True:
                    await self._answer(name, await reader.readuntil(b"\r\n\r\n"), writer)
            except (asyncio.IncompleteReadError, ConnectionError):
                writer.close()

        return serve

    async def _answer(self, name: str, request: bytes, writer: asyncio.StreamWriter) -> None:
        lines = request.decode("latin-1").lower().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        if lines[0].startswith("get /healthz"):
            writer.write(
                f"HTTP/1.1 200 OK\r\nx-instance-id: {name}\r\ncontent-length: 0\r\n\r\n".encode()
            )
            return
        run = self.runs.pop(0)
        self.upstreams.append(name)
        self.resumed_after.append(fields.get("last-event-id", ""))
        writer.write(run.head(fields["x-attempt-id"], name).encode())
        if run.closes:
            self.servers[name].close()
            writer.write(run.body)
        elif run.body:
            writer.write(b"%x\r\n%b\r\n" % (len(run.body), run.body))
        if run.later:
            await asyncio.sleep(LATER_SECONDS)
            writer.write(b"%x\r\n%b\r\n" % (len(run.later), run.later))
        if run.is_whole and not run.closes:
            writer.write(LAST_CHUNK if not run.status.startswith("204") else b"")
            return
        await writer.drain()
        if not run.hangs:
            writer.close()


@dataclass(frozen=True)
class Received:
    """What a caller got until its connection ended."""

    data: bytes
    was_reset: bool

    @property
    def head(self) -> str:
        """The status line and headers in lower case."""
        return self.data.partition(b"\r\n\r\n")[0].decode("latin-1").lower()

    @property
    def body(self) -> bytes:
        """The body without its chunks' frames."""
        body = self.data.partition(b"\r\n\r\n")[2]
        if "chunked" not in self.head:
            return body
        parts = []
        while body:
            size, _, body = body.partition(b"\r\n")
            parts.append(body[: int(size, 16)])
            body = body[int(size, 16) + 2 :]
        return b"".join(parts)

    @property
    def looks_complete(self) -> bool:
        """Whether a client takes the response for complete."""
        if "chunked" in self.head:
            return self.data.endswith(LAST_CHUNK)
        return not self.was_reset and bool(self.head)


async def receive(
    platform: LocalPlatform,
    route: str,
    version: str = "1.1",
    headers: str = "",
    deadline_ms: int = 5000,
) -> Received:
    """Send a request and read until the connection ends."""
    endpoint = platform.callers[0]
    reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    writer.write(
        f"POST /{route}/x HTTP/{version}\r\nHost: {HOST}\r\nX-Attempt-Id: r1\r\n"
        f"Authorization: Bearer {KEY}\r\nX-Deadline-Ms: {deadline_ms}\r\n{headers}"
        "Connection: close\r\nContent-Length: 0\r\n\r\n".encode()
    )
    data, was_reset = b"", False
    try:
        while part := await reader.read(1 << 16):
            data += part
    except ConnectionError:
        was_reset = True
    writer.close()
    return Received(data, was_reset)


class EventOrderTest(RelayTest):
    def script(
        self, runs: list[Run], work: Callable[[LocalPlatform, ScriptedUpstreams], Awaitable[None]]
    ) -> None:
        """Play with upstreams that answer with some runs."""

        async def play(platform: LocalPlatform) -> None:
            routes = [
                sample_route("stream", "streaming", PLAIN, streamResume=True, maxAttempts=3),
                sample_route("live", "streaming", PLAIN, maxAttempts=3),
                sample_route("again", "safe", PLAIN, maxAttempts=3),
            ]
            revision = platform.publish(2, routes=routes)
            publication = platform.entries[0].publication
            await platform.until(lambda: publication.revision == revision)
            upstreams = ScriptedUpstreams(list(runs))
            try:
                await upstreams.listen(platform)
                await work(platform, upstreams)
            finally:
                upstreams.close()

        self.play(play)

    def check_truncated(
        self, route: str, runs: list[Run], passed: bytes, version: str = "1.1", left: int = 0
    ) -> None:
        """Check that a stream is truncated after some bytes; left: runs that aren't played."""

        async def work(platform: LocalPlatform, upstreams: ScriptedUpstreams) -> None:
            received = await receive(platform, route, version)
            self.assertFalse(received.looks_complete, received)
            if version == "1.1":
                self.assertEqual(received.body, passed)
            self.assertEqual(len(upstreams.runs), left)

        self.script(runs, work)

    def check_complete(self, route: str, runs: list[Run], body: bytes, headers: str = "") -> None:
        async def work(platform: LocalPlatform, upstreams: ScriptedUpstreams) -> None:
            received = await receive(platform, route, headers=headers)
            self.assertTrue(received.looks_complete, received)
            self.assertEqual(received.body, body)
            self.assertEqual(upstreams.runs, [])

        self.script(runs, work)


class JoinedRunsTest(EventOrderTest):
    def test_joined_runs_have_the_head_of_the_first(self) -> None:
        async def work(platform: LocalPlatform, upstreams: ScriptedUpstreams) -> None:
            received = await receive(platform, "stream")
            self.assertEqual(received.body, events(1, 2, 3, 4))
            self.assertTrue(received.looks_complete)
            self.assertEqual(upstreams.resumed_after, ["", "2"])
            self.assertIn(f"x-instance-signature: {upstreams.upstreams[0]}", received.head)

        self.script([Run(events(1, 2)), Run(events(3, 4), is_whole=True)], work)

    def test_stream_that_may_not_be_resumed_is_not_joined_from_two_runs(self) -> None:
        runs = [Run(events(1, 2)), Run(events(3, 4), is_whole=True)]
        self.check_truncated("live", runs, events(1, 2), left=1)

    def test_stream_that_may_not_be_resumed_does_not_run_twice_before_its_first_event(self) -> None:
        async def work(platform: LocalPlatform, upstreams: ScriptedUpstreams) -> None:
            received = await receive(platform, "live")
            self.assertIn(" 502 ", received.head.splitlines()[0])
            self.assertEqual(len(upstreams.upstreams), 1)

        self.script([Run(b""), Run(events(1), is_whole=True)], work)

    def test_safe_response_of_events_is_not_joined_from_two_runs(self) -> None:
        runs = [Run(events(1, 2)), Run(events(3, 4), is_whole=True)]
        self.check_truncated("again", runs, events(1, 2), left=1)

    def test_safe_response_without_events_yet_is_retried(self) -> None:
        self.check_complete("again", [Run(b""), Run(events(1), is_whole=True)], events(1))

    def test_stream_that_ends_without_an_id_is_not_resumed(self) -> None:
        runs = [Run(events(1) + DONE), Run(DONE, is_whole=True)]
        self.check_truncated("stream", runs, events(1) + DONE, left=1)

    def test_late_resumption_is_not_passed_on_and_another_may_follow(self) -> None:
        runs = [Run(events(1, 2)), Run(events(4), is_whole=True), Run(events(3, 4), is_whole=True)]
        logged: list[LogEvent] = []

        async def work(platform: LocalPlatform, upstreams: ScriptedUpstreams) -> None:
            log = platform.entries[0].handler.log
            with mock.patch.object(log, "write", logged.append):
                received = await receive(platform, "stream")
            self.assertTrue(received.looks_complete)
            self.assertEqual(received.body, events(1, 2, 3, 4))
            self.assertEqual(upstreams.resumed_after, ["", "2", "2"])
            ends = [event for event in logged if isinstance(event, AttemptEnded)]
            self.assertEqual(
                [(end.result, end.detail) for end in ends][1:], [("invalid", OrderFault.LATE)]
            )

        self.script(runs, work)

    def test_late_resumption_that_is_the_last_attempt_truncates(self) -> None:
        runs = [Run(events(1, 2)), Run(b""), Run(events(4), is_whole=True)]
        self.check_truncated("stream", runs, events(1, 2))


class ResumptionWithoutEventsTest(EventOrderTest):
    """Resumptions that bring no events; each stream had events before."""

    def check_run(self, run: Run) -> None:
        self.check_truncated("stream", [Run(events(1, 2)), run], events(1, 2))

    def test_plain_response(self) -> None:
        self.check_run(Run(b"sorry", is_whole=True, content_type="text/plain"))

    def test_empty_plain_response(self) -> None:
        self.check_run(Run(b"", is_whole=True, content_type="text/plain"))

    def test_response_without_content(self) -> None:
        self.check_run(Run(b"", is_whole=True, status="204 No Content"))

    def test_failure(self) -> None:
        failure = Run(b"", is_whole=True, status="500 Oops", content_type="text/plain")
        runs = [Run(events(1, 2)), failure, failure]
        self.check_truncated("stream", runs, events(1, 2))

    def test_refusal(self) -> None:
        refusal = Run(b"", is_whole=True, status="503 Full", headers="x-not-executed: 1\r\n")
        runs = [Run(events(1, 2)), refusal, refusal]
        self.check_truncated("stream", runs, events(1, 2))

    def test_http_1_0_caller(self) -> None:
        runs = [Run(events(1, 2)), Run(b"sorry", is_whole=True, content_type="text/plain")]
        self.check_truncated("stream", runs, b"", version="1.0")


class NotExecutedTest(EventOrderTest):
    def test_refusal_whose_body_breaks_off_has_not_run(self) -> None:
        async def work(platform: LocalPlatform, upstreams: ScriptedUpstreams) -> None:
            received = await receive(platform, "live")
            self.assertEqual((received.looks_complete, received.body), (True, events(1) + DONE))

        refusal = Run(b"{", status="503 Busy", headers="x-not-executed: 1\r\n")
        self.script([refusal, Run(events(1) + DONE, is_whole=True)], work)


class StreamWithoutEventsTest(EventOrderTest):
    def test_empty_stream_is_complete(self) -> None:
        self.check_complete("stream", [Run(b"", is_whole=True)], b"")

    def test_head_of_a_run_without_events_is_not_sent_before_the_run_is_known_to_be_whole(
        self,
    ) -> None:
        async def work(platform: LocalPlatform, upstreams: ScriptedUpstreams) -> None:
            received = await receive(platform, "stream")
            self.assertEqual(received.body, events(1, 2))
            self.assertIn(f"x-instance-signature: {upstreams.upstreams[1]}", received.head)

        self.script([Run(b"", closes=True), Run(events(1, 2), is_whole=True)], work)

    def test_unproved_stream_without_events_that_may_not_be_retried_gets_an_error(self) -> None:
        async def work(platform: LocalPlatform, upstreams: ScriptedUpstreams) -> None:
            received = await receive(platform, "live")
            self.assertIn(" 502 ", received.head.splitlines()[0])

        self.script([Run(b"", closes=True)], work)


class EndInTheMiddleTest(EventOrderTest):
    """Streams that pass events on, and then no more."""

    limits = RelayLimits(grace_seconds=1.0)

    def drive(
        self,
        work: Callable[[LocalPlatform, "asyncio.Task[Received]"], Awaitable[None]],
        run: Run,
        deadline_ms: int = 5000,
    ) -> None:
        for version in ("1.1", "1.0"):

            async def play(
                platform: LocalPlatform, upstreams: ScriptedUpstreams, version: str = version
            ) -> None:
                asking = receive(platform, "live", version, deadline_ms=deadline_ms)
                task = asyncio.ensure_future(asking)
                handler = platform.entries[0].handler
                await platform.until(
                    lambda: task.done() or any(item.progress.events for item in handler.served)
                )
                await work(platform, task)
                received = await task
                self.assertFalse(received.looks_complete, received)

            with self.subTest(version=version):
                self.script([run], play)

    def test_instance_that_stops(self) -> None:
        async def stop(platform: LocalPlatform, task: "asyncio.Task[Received]") -> None:
            await platform.entries[0].drain_and_stop()
            platform.entries.clear()

        self.drive(stop, Run(events(1, 2), hangs=True))

    def test_deadline(self) -> None:
        async def wait(platform: LocalPlatform, task: "asyncio.Task[Received]") -> None:
            await task

        self.drive(wait, Run(events(1, 2), hangs=True), deadline_ms=600)

    def test_fault_of_the_instance_after_a_whole_run(self) -> None:
        async def wait(platform: LocalPlatform, task: "asyncio.Task[Received]") -> None:
            await task

        with mock.patch.object(CrashGuard, "finish", side_effect=RuntimeError("fault")):
            self.drive(wait, Run(events(1, 2), is_whole=True))

    def test_fault_of_the_instance_while_it_reads_events(self) -> None:
        async def wait(platform: LocalPlatform, task: "asyncio.Task[Received]") -> None:
            await task

        accept = EventOrder.accept

        def fail_later(order: EventOrder, items: list[Event], now: float) -> Any:
            if items and items[0].number > 1:
                raise RuntimeError("fault")
            return accept(order, items, now)

        with mock.patch.object(EventOrder, "accept", fail_later):
            self.drive(wait, Run(events(1), is_whole=True, later=events(2)))


class CallersEventIdTest(EventOrderTest):
    def test_id_on_a_route_that_may_not_be_resumed_drops_no_events(self) -> None:
        runs = [Run(events(1, 2, 3), is_whole=True)]
        self.check_complete("live", runs, events(1, 2, 3), headers="Last-Event-Id: 2\r\n")

    def test_huge_id_is_no_error_of_the_instance(self) -> None:
        headers = f"Last-Event-Id: {'9' * 5000}\r\n"
        self.check_complete("stream", [Run(b"", is_whole=True)], b"", headers=headers)

    def test_old_events_are_dropped(self) -> None:
        runs = [Run(events(1, 2, 3), is_whole=True)]
        self.check_complete("stream", runs, events(3), headers="Last-Event-Id: 2\r\n")


if __name__ == "__main__":
    unittest.main()
