"""Ends of replies that aren't complete, as a caller's connection shows them."""

import asyncio
import subprocess
import sys
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from twisted.internet.task import Clock

from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.http_reply import IncomingRequest, Reply
from pondpin.http_server import ServerLimits, WebServer
from pondpin.network import Endpoint
from pondpin.server_shutdown import close_connections
from pondpin.tests.support import READY_SECONDS, run_async, the_loop, wait_until

ROOT = Path(__file__).resolve().parents[2]
VERSIONS = ("1.1", "1.0")
IDLE_SECONDS = 60.0
# In which a connection that was closed has ended.
LOOP_TURNS = 20
EVENT = b"id: 1\ndata: x\n\n"
LAST_CHUNK = b"0\r\n\r\n"
HEADERS = {"content-type": "text/event-stream"}
# More than the buffers of both sockets take.
LARGE = b"x" * (16 << 20)
# More than a caller's socket takes before it is read, and less than both take.
UNREAD = b"x" * (512 << 10)
# Serves one stream, and ends itself in its middle.
PROCESS = """
import asyncio, os, signal, sys
from pondpin.http_server import WebServer
from pondpin.network import Endpoint
from pondpin.runtime import run

async def start(reactor):
    ended = asyncio.Event()

    async def stream(incoming, reply):
        reply.start(200, {"content-type": "text/event-stream"})
        reply.write(b"id: 1\\\\ndata: x\\\\n\\\\n")
        if incoming.path.startswith("/whole"):
            reply.write(b"x" * int(incoming.query["bytes"]))
            reply.finish()
        # What was written leaves with the loop's next turns.
        await asyncio.sleep(0.05)
        if incoming.path in ("/kill", "/whole-kill"):
            os.kill(os.getpid(), signal.SIGKILL)
        if incoming.path == "/abort":
            server.abort_connections()
        ended.set()

    server = WebServer(reactor)
    server.route("/", stream)
    print(server.listen(reactor, Endpoint("127.0.0.1", 0)).port, flush=True)
    await ended.wait()
    return 0

run(start)
""".replace("\\\\", "\\")


@dataclass(frozen=True)
class Received:
    """What a caller got until its connection ended."""

    data: bytes
    was_reset: bool

    @property
    def looks_complete(self) -> bool:
        """Whether a client takes the response for complete."""
        if b"chunked" in self.data:
            return self.data.endswith(LAST_CHUNK)
        return bool(self.data) and not self.was_reset


async def connect(
    endpoint: Endpoint, version: str, path: str = "/", method: str = "GET", times: int = 1
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send some pipelined requests."""
    reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port, limit=1 << 10)
    writer.write(f"{method} {path} HTTP/{version}\r\nHost: x\r\n\r\n".encode() * times)
    return reader, writer


async def read_to_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Received:
    """Read until the connection ends."""
    data, was_reset = bytearray(), False
    try:
        async with asyncio.timeout(READY_SECONDS):
            while part := await reader.read(1 << 16):
                data += part
    except ConnectionError:
        was_reset = True
    writer.close()
    return Received(bytes(data), was_reset)


class Streams:
    """A server whose streams send an event and then do something."""

    def __init__(self, then: Callable[[Reply], Awaitable[None]], body: bytes = EVENT) -> None:
        self.clock = Clock()
        self.server = WebServer(self.clock, ServerLimits(idle_seconds=IDLE_SECONDS))
        self.server.route("/", self._serve)
        self.endpoint = self.server.listen(the_loop()[1], Endpoint("127.0.0.1", 0))
        self.replies: list[Reply] = []
        self._then = then
        self._body = body

    async def _serve(self, incoming: IncomingRequest, reply: Reply) -> None:
        reply.start(200, HEADERS)
        reply.write(self._body)
        self.replies.append(reply)
        await self._then(reply)

    @property
    def is_connected(self) -> bool:
        """Whether the server has a connection."""
        transports = [item._channel.transport for item in list(self.server.channels)]
        return any(item is not None and item.connected for item in transports)

    async def close(self) -> None:
        """Stop the server."""
        await self.server.close()
        self.server.abort_connections()
        for task in list(self.server.tasks):
            task.cancel()
        await asyncio.sleep(0)


async def wait_forever(reply: Reply) -> None:
    await asyncio.Event().wait()


async def fail(reply: Reply) -> None:
    raise RuntimeError("fault")


async def refuse(reply: Reply) -> None:
    raise PondpinError(Code.DRAINING)


async def send_error(reply: Reply) -> None:
    reply.send_error(PondpinError(Code.DRAINING))


async def send_json(reply: Reply) -> None:
    reply.send_json({})


async def truncate(reply: Reply) -> None:
    reply.truncate()


async def truncate_and_go_on(reply: Reply) -> None:
    reply.truncate()
    reply.write(EVENT)
    reply.finish()


async def abort(reply: Reply) -> None:
    reply.abort()


async def finish(reply: Reply) -> None:
    reply.finish()


class ReplyEndTest(unittest.TestCase):
    def drive(
        self,
        then: Callable[[Reply], Awaitable[None]],
        during: Callable[[Streams], Awaitable[None]] | None = None,
        is_complete: bool = False,
        times: int = 1,
    ) -> None:
        """Check the end of a stream in each version; during: once its first event was sent."""

        async def work(version: str) -> None:
            streams = Streams(then)
            try:
                reader, writer = await connect(streams.endpoint, version, times=times)
                await wait_until(lambda: streams.replies)
                if during is not None:
                    await during(streams)
                received = await read_to_end(reader, writer)
                self.assertEqual(received.looks_complete, is_complete, received)
                self.assertEqual(len(streams.replies), 1)
            finally:
                await streams.close()

        for version in VERSIONS:
            with self.subTest(version=version):
                run_async(work(version))

    def test_finished_reply_is_complete(self) -> None:
        async def until_sent(streams: Streams) -> None:
            streams.server.close_idle()

        self.drive(finish, until_sent, is_complete=True)

    def test_error_after_the_head(self) -> None:
        self.drive(fail)

    def test_refusal_after_the_head(self) -> None:
        self.drive(refuse)

    def test_error_reply_after_the_head(self) -> None:
        self.drive(send_error)

    def test_whole_reply_after_the_head(self) -> None:
        self.drive(send_json)

    def test_truncated_reply(self) -> None:
        self.drive(truncate)

    def test_finish_after_truncation(self) -> None:
        self.drive(truncate_and_go_on)

    def test_aborted_reply(self) -> None:
        self.drive(abort)

    def test_reply_left_by_its_handler_at_the_end_of_the_server(self) -> None:
        async def nothing(reply: Reply) -> None:
            pass

        async def close(streams: Streams) -> None:
            await wait_until(lambda: not streams.server.tasks)
            await close_connections(streams.server, 0.0, lambda: 0.0)

        self.drive(nothing, close)

    def test_cancelled_handler_at_the_end_of_the_server(self) -> None:
        async def close(streams: Streams) -> None:
            for task in list(streams.server.tasks):
                task.cancel()
            await wait_until(lambda: not streams.server.tasks)
            await close_connections(streams.server, 0.0, lambda: 0.0)

        self.drive(wait_forever, close)

    def test_reply_in_progress_outlasts_idle_timeouts(self) -> None:
        async def time_out(streams: Streams) -> None:
            streams.server.close_idle()
            streams.server.set_idle_timeout(1.0)
            streams.clock.advance(2 * IDLE_SECONDS)
            for _ in range(LOOP_TURNS):
                await asyncio.sleep(0)
            streams.replies[0].finish()
            streams.server.close_idle()

        self.drive(wait_forever, time_out, is_complete=True)

    def test_connection_closed_in_order_in_the_middle_of_a_reply(self) -> None:
        async def close(streams: Streams) -> None:
            streams.replies[0].channel.loseConnection()

        self.drive(wait_forever, close)

    def test_pipelined_request_after_a_truncated_reply_gets_nothing(self) -> None:
        self.drive(truncate, times=2)

    def test_pipelined_request_after_a_failed_reply_gets_nothing(self) -> None:
        self.drive(fail, times=2)


class SlowCallerTest(unittest.TestCase):
    """A caller that reads nothing until its reply was ended."""

    def drive(
        self,
        then: Callable[[Reply], Awaitable[None]],
        during: Callable[[Streams], Awaitable[None]],
        body: bytes = LARGE,
        is_complete: bool = False,
    ) -> None:
        async def work(version: str) -> None:
            streams = Streams(then, body)
            try:
                reader, writer = await connect(streams.endpoint, version)
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await wait_until(lambda: streams.replies)
                await during(streams)
                writer.transport.resume_reading()  # type: ignore[attr-defined]
                received = await read_to_end(reader, writer)
                self.assertEqual(received.looks_complete, is_complete, len(received.data))
                self.assertTrue(not is_complete or body in received.data)
            finally:
                await streams.close()

        for version in VERSIONS:
            with self.subTest(version=version):
                run_async(work(version))

    async def close(self, streams: Streams) -> None:
        await close_connections(streams.server, 0.0, lambda: 0.0)

    def test_truncated_reply_of_a_stopping_server(self) -> None:
        self.drive(truncate, self.close)

    def test_finished_reply_that_is_not_read_before_the_end(self) -> None:
        self.drive(finish, self.close)

    def test_reply_that_is_read_after_the_connection_was_closed(self) -> None:
        async def until_closed(streams: Streams) -> None:
            streams.server.close_idle()
            await wait_until(lambda: not streams.is_connected)

        self.drive(finish, until_closed, UNREAD, is_complete=True)

    def test_failed_reply(self) -> None:
        async def nothing(streams: Streams) -> None:
            await wait_until(lambda: not streams.server.tasks)

        self.drive(fail, nothing)


class ProcessEndTest(unittest.TestCase):
    """The end of the process that streams; the kernel closes its connections."""

    def receive(self, path: str, version: str, reads_at_once: bool) -> Received:
        process = subprocess.Popen(
            [sys.executable, "-c", PROCESS], stdout=subprocess.PIPE, text=True, cwd=ROOT
        )
        result: list[Received] = []

        async def work(port: int) -> None:
            reader, writer = await connect(Endpoint("127.0.0.1", port), version, path)
            if not reads_at_once:
                writer.transport.pause_reading()  # type: ignore[attr-defined]
                await wait_until(lambda: process.poll() is not None)
                writer.transport.resume_reading()  # type: ignore[attr-defined]
            result.append(await read_to_end(reader, writer))

        try:
            assert process.stdout is not None
            run_async(work(int(process.stdout.readline())))
        finally:
            process.kill()
            process.communicate()
        return result[0]

    def check(self, path: str, is_complete: bool = False, reads_at_once: bool = True) -> None:
        for version in VERSIONS:
            with self.subTest(version=version):
                received = self.receive(path, version, reads_at_once)
                self.assertEqual(received.looks_complete, is_complete, received)

    def test_killed_process(self) -> None:
        self.check("/kill")

    def test_process_that_exits_without_ending_its_reply(self) -> None:
        self.check("/exit")

    def test_process_that_exits_as_it_aborts_its_connections(self) -> None:
        self.check("/abort")

    def test_process_that_exits_after_its_reply(self) -> None:
        self.check("/whole?bytes=9", is_complete=True)

    def test_process_that_is_killed_before_its_finished_reply_is_written(self) -> None:
        self.check(f"/whole-kill?bytes={len(LARGE)}", reads_at_once=False)

    def test_process_that_is_killed_after_its_finished_reply_is_written(self) -> None:
        self.check("/whole-kill?bytes=9", is_complete=True, reads_at_once=False)


if __name__ == "__main__":
    unittest.main()
