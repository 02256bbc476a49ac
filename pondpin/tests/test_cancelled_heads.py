"""Heads of responses that arrive as their request is given up."""

import asyncio
import contextlib
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from pondpin.http_client import HttpClient, RawRequest
from pondpin.relay.attempts.attempt import AttemptRunner
from pondpin.relay.choosing.stall_timeouts import StallTimeouts
from pondpin.runtime import steady_now
from pondpin.tests.support import run_async, the_loop, wait_until
from pondpin.tests.test_relay_planner import make_call

HEAD = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"
# Turns of the event loop between the head's sending and the cancellation.
TURNS = range(10)
ARRIVAL_TURNS = 50
NO_TIMEOUTS = StallTimeouts(None, None)


class Server:
    """Answers with a head alone, and counts connections that are open."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.answered = asyncio.Event()
        self.open = 0

    async def listen(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def close(self) -> None:
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        await reader.readuntil(b"\r\n\r\n")
        await self.may_answer.wait()
        writer.write(HEAD)
        self.answered.set()
        with contextlib.suppress(ConnectionError):
            await reader.read()
        writer.close()
        self.open -= 1


Send = Callable[[HttpClient, RawRequest], Awaitable[Any]]


async def send(http: HttpClient, request: RawRequest) -> Any:
    return await http.open_raw(request, fresh=True)


class SilentObserver:
    """An observer whose status query fails after the head has arrived."""

    def __init__(self, server: Server | None = None) -> None:
        self._server = server

    def busy_until(self, now: float) -> float:
        return now

    def is_partitioned(self, now: float) -> bool:
        return False

    def may_retry(self) -> bool:
        return True

    def withhold_reason(self, connection: Any) -> str:
        return ""

    async def query_status(self) -> bool:
        assert self._server is not None, "asked only with a time for it"
        self._server.may_answer.set()
        await self._server.answered.wait()
        for _ in range(ARRIVAL_TURNS):
            await asyncio.sleep(0)
        return False


async def wait_for_head(
    http: HttpClient, request: RawRequest, observer: Any, timeouts: StallTimeouts = NO_TIMEOUTS
) -> Any:
    now = steady_now()
    call = replace(make_call(5000), arrived_at=now, deadline=now + 10.0)
    nothing: Any = None
    runner = AttemptRunner(http, nothing, steady_now)
    return await runner._wait_for_head(call, request, True, timeouts, observer, now)


class CancelledHeadTest(unittest.TestCase):
    def play(self, work: Callable[[HttpClient, RawRequest, Server], Awaitable[None]]) -> None:
        async def whole() -> None:
            server = Server()
            port = await server.listen()
            request = RawRequest("127.0.0.1", port, b"GET", b"/", (), b"")
            try:
                await work(HttpClient(the_loop()[1], 1.0), request, server)
                await wait_until(lambda: server.open == 0)
            finally:
                server.close()

        run_async(whole())

    def play_cancelled(self, send: Send) -> None:
        for turns in TURNS:
            with self.subTest(turns=turns):

                async def work(
                    http: HttpClient, request: RawRequest, server: Server, turns: int = turns
                ) -> None:
                    server.may_answer.set()
                    task = asyncio.ensure_future(send(http, request))
                    await server.answered.wait()
                    for _ in range(turns):
                        await asyncio.sleep(0)
                    task.cancel()
                    results = await asyncio.gather(task, return_exceptions=True)
                    if not isinstance(results[0], BaseException):
                        results[0].abort()

                self.play(work)

    def test_head_that_arrives_as_its_call_is_cancelled_is_closed(self) -> None:
        self.play_cancelled(send)

    def test_head_that_arrives_as_its_attempt_is_cancelled_is_closed(self) -> None:
        self.play_cancelled(lambda http, request: wait_for_head(http, request, SilentObserver()))

    def test_head_that_arrives_while_its_upstream_is_asked_for_its_status_is_closed(self) -> None:
        async def work(http: HttpClient, request: RawRequest, server: Server) -> None:
            observer = SilentObserver(server)
            timeouts = StallTimeouts(5.0, 5.0, 0.0)
            self.assertIsNone(await wait_for_head(http, request, observer, timeouts))

        self.play(work)


if __name__ == "__main__":
    unittest.main()
