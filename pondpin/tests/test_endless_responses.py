"""Responses without end: each is ended at a bound, and other requests go on."""

import asyncio
import contextlib
import unittest
from collections.abc import Awaitable, Callable

from hypothesis import given
from hypothesis import strategies as st

from pondpin.http_client import HttpClient
from pondpin.http_streams import BufferBudget, CallFailedError, ResponseFault, ResponseLimits
from pondpin.standins.endless import Endless, EndlessServer
from pondpin.standins.local_platform import ENGINES, PLAIN, LocalPlatform, sample_entry
from pondpin.standins.store_state import UPSTREAMS_PREFIX
from pondpin.tests.support import RelayTest, ask, run_async, the_loop

# Small, so that the bounds are met soon.
LIMITS = ResponseLimits(body_bytes=1 << 20, buffered_bytes=4 << 20)
FAULT_BY_KIND = {
    Endless.BODY: ResponseFault.BODY_BYTES,
    Endless.CHUNKS: ResponseFault.BODY_BYTES,
    Endless.EVENT: ResponseFault.BODY_BYTES,
    Endless.HEADERS: ResponseFault.HEAD_LINES,
    Endless.FOLDED: ResponseFault.FIELD_LINE,
    Endless.INTERIM: ResponseFault.HEAD_LINES,
    Endless.SLOW_HEAD: ResponseFault.HEAD_SECONDS,
    Endless.GARBAGE: ResponseFault.LINE_END,
    Endless.CHUNK_EXTENSION: ResponseFault.CHUNK,
    Endless.TRAILERS: ResponseFault.TRAILER,
    Endless.COMMENTS: ResponseFault.BODY_BYTES,
}
# The parser has a bound of its own for a line.
LONG_LINES = (Endless.LINE, Endless.STATUS)


class ClientTest(unittest.TestCase):
    def play(self, work: Callable[[HttpClient, EndlessServer, str], Awaitable[None]]) -> None:
        async def whole() -> None:
            client = HttpClient(the_loop()[1], 1.0, limits=LIMITS)
            server = EndlessServer(Endless.BODY)
            url = f"http://{await server.listen()}/x"
            try:
                await work(client, server, url)
            finally:
                await client.close()
                await server.close()

        run_async(whole())

    def test_each_endless_response_ends_at_its_bound(self) -> None:
        async def work(client: HttpClient, server: EndlessServer, url: str) -> None:
            for kind in set(Endless) - {Endless.AFTER}:
                for fresh in (False, True):
                    server.kind = kind
                    with self.assertRaises(CallFailedError, msg=kind) as raised:
                        await client.call("GET", url, fresh=fresh, timeout=10.0)
                    self.assertTrue(raised.exception.sent)
                    if kind not in LONG_LINES:
                        self.assertIs(raised.exception.fault, FAULT_BY_KIND[kind], kind)
                    self.assertEqual(client.budget.held, 0)
            async with asyncio.timeout(5.0):
                while server.open_connections:
                    await asyncio.sleep(0.01)

        self.play(work)

    def test_bytes_after_a_whole_response_end_its_connection(self) -> None:
        async def work(client: HttpClient, server: EndlessServer, url: str) -> None:
            server.kind = Endless.AFTER
            for _ in range(3):
                answer = await client.call("GET", url, timeout=10.0)
                self.assertEqual((answer.status, answer.body), (200, b"ok"))
            async with asyncio.timeout(5.0):
                while server.open_connections:
                    await asyncio.sleep(0.01)

        self.play(work)

    def test_a_call_may_have_a_smaller_bound(self) -> None:
        async def work(client: HttpClient, server: EndlessServer, url: str) -> None:
            with self.assertRaises(CallFailedError) as raised:
                await client.call("GET", url, timeout=10.0, limit=1000)
            self.assertIs(raised.exception.fault, ResponseFault.BODY_BYTES)
            self.assertLess(server.sent_bytes, LIMITS.body_bytes)

        self.play(work)

    def test_many_endless_bodies_stay_within_the_budget(self) -> None:
        async def work(client: HttpClient, server: EndlessServer, url: str) -> None:
            calls = [asyncio.create_task(client.call("GET", url, timeout=20.0)) for _ in range(30)]
            most = 0
            while not all(call.done() for call in calls):
                most = max(most, client.budget.held)
                await asyncio.sleep(0)
            self.assertLessEqual(most, LIMITS.buffered_bytes)
            for call in calls:
                self.assertIsInstance(call.exception(), CallFailedError)
            self.assertEqual((client.budget.held, client.budget.buffers), (0, set()))

        self.play(work)


class _Sized:
    def __init__(self, budget: BufferBudget) -> None:
        self.size = 0
        self.ended = False
        self.budget = budget

    def give_way(self) -> None:
        self.ended = True


class BudgetTest(unittest.TestCase):
    def test_the_largest_gives_way(self) -> None:
        budget = BufferBudget(100)
        small, large = _Sized(budget), _Sized(budget)
        self.assertTrue(budget.add(large, 80))
        self.assertTrue(budget.add(small, 30))
        self.assertEqual((small.ended, large.ended, budget.held), (False, True, 30))

    @given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 150), st.booleans()), max_size=40))
    def test_the_budget_is_kept_and_counts_what_is_held(
        self, steps: list[tuple[int, int, bool]]
    ) -> None:
        budget = BufferBudget(100)
        buffers = [_Sized(budget) for _ in range(5)]
        for number, amount, removes in steps:
            buffer = buffers[number]
            if removes:
                budget.remove(buffer)
                buffers[number] = _Sized(budget)
            elif not buffer.ended:
                budget.add(buffer, amount)
            self.assertLessEqual(budget.held, budget.limit)
            self.assertEqual(budget.held, sum(item.size for item in budget.buffers))


class RelayedTest(RelayTest):
    async def add_endless(self, platform: LocalPlatform, kind: Endless) -> EndlessServer:
        """Add an upstream of plain calls that answers without end."""
        server = EndlessServer(kind)
        place = await server.listen()
        entry = sample_entry(PLAIN, str(place), slots=64)
        platform.store.put(f"{UPSTREAMS_PREFIX}endless", entry)
        table = platform.entries[0].table
        await platform.until(lambda: "endless" in table.by_id)
        return server

    def test_requests_are_served_elsewhere_and_the_endless_upstream_is_ejected(self) -> None:
        for kind in (Endless.BODY, Endless.CHUNKS, Endless.HEADERS, Endless.INTERIM):

            async def work(platform: LocalPlatform, kind: Endless = kind) -> None:
                server = await self.add_endless(platform, kind)
                entry = platform.entries[0]
                state = entry.table.by_id["endless"]
                try:
                    for number in range(200):
                        if state.health.ejected_until > entry.handler.clock():
                            break
                        answer = await ask(platform, "again", f"n{number}")
                        self.assertEqual(answer.status, 200)
                    self.assertGreater(state.health.ejected_until, entry.handler.clock())
                    self.assertGreater(server.requests, 0)
                finally:
                    await server.close()

            self.play(work)

    def test_an_endless_event_or_comment_ends_its_stream_alone(self) -> None:
        for kind in (Endless.EVENT, Endless.COMMENTS):

            async def work(platform: LocalPlatform, kind: Endless = kind) -> None:
                server = EndlessServer(kind)
                platform.list_worker("endless", ENGINES, str(await server.listen()), "north")
                for name in ("engine-0", "engine-1"):
                    platform.store.delete(f"{UPSTREAMS_PREFIX}{name}")
                entry = platform.entries[0]
                await platform.until(
                    lambda: {item.id for item in entry.table.of_service(ENGINES)} == {"endless"}
                )
                try:
                    stream = asyncio.create_task(ask(platform, "stream", x_deadline_ms="1500"))
                    await platform.until(lambda: server.sent_bytes > LIMITS.body_bytes)
                    self.assertEqual((await ask(platform, "again", "other")).status, 200)
                    with contextlib.suppress(CallFailedError):
                        self.assertGreaterEqual((await stream).status, 500)
                    await platform.until(lambda: not entry.handler.served)
                    await platform.until(lambda: not server.open_connections)
                    self.assertEqual(entry.http.budget.held, 0)
                finally:
                    await server.close()

            self.play(work)

    def test_a_request_at_an_endless_upstream_may_have_run(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            server = await self.add_endless(platform, Endless.HEADERS)
            try:
                statuses = {
                    (await ask(platform, "once", f"n{number}")).status for number in range(30)
                }
                self.assertEqual(statuses, {200, 502})
            finally:
                await server.close()

        self.play(work)


if __name__ == "__main__":
    unittest.main()
