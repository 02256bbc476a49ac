"""Responses that an upstream sends before it has read a long body."""

import asyncio
import unittest
from collections.abc import Iterator
from dataclasses import dataclass

from pondpin.http_client import HttpResponse
from pondpin.standins.local_platform import LocalPlatform, sample_configuration
from pondpin.standins.scripted_upstream import After, ScriptedUpstream
from pondpin.tests.support import RelayTest, ask, use_scripted_upstream

BODY = bytes(range(256)) * (16 << 10)
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 2 * len(BODY)}
ROUTES = ("again", "once")
NAMED = b"X-Attempt-Id: {attempt}\r\nX-Instance-Signature: s.{attempt}\r\n"
PART = b"part of a body"


@dataclass(frozen=True)
class Early:
    """When a response is sent, and what its connection does then."""

    after: After
    read_share: float = 0.0
    delay: float = 0.0


TIMINGS = (
    *(Early(after, delay=delay) for after in (After.RESET, After.CLOSE) for delay in (0.0, 0.05)),
    Early(After.HALF_CLOSE),
    Early(After.RESET, delay=0.6),
    Early(After.RESET, read_share=0.25),
    Early(After.RESET, read_share=0.95),
    Early(After.RESET, read_share=1.0),
)


def with_body(status: bytes, *fields: bytes, body: bytes) -> bytes:
    """A response."""
    lines = b"".join(field + b"\r\n" for field in fields)
    return b"HTTP/1.1 " + status + b"\r\n" + NAMED + lines + b"\r\n" + body


INCOMPLETE = {
    "without a length": with_body(b"200 OK", body=PART),
    "chunked": with_body(b"200 OK", b"Transfer-Encoding: chunked", body=b"4\r\npart\r\n"),
    "with a length": with_body(b"200 OK", b"Content-Length: 2000", body=PART),
    "401 without a length": with_body(b"401 Unauthorized", body=PART),
}
COMPLETE = {
    401: with_body(b"401 Unauthorized", b"Content-Length: 14", body=PART),
    413: with_body(b"413 Too Large", b"Content-Length: 14", b"Connection: close", body=PART),
    200: with_body(b"200 OK", b"Content-Length: 14", body=PART),
    503: with_body(b"503 Busy", b"Content-Length: 14", b"X-Not-Executed: 1", body=PART),
}


class EarlyTest(RelayTest):
    async def replace_workers(self, platform: LocalPlatform) -> ScriptedUpstream:
        """Replace the plain workers by a scripted one; allow long bodies."""
        upstream = await use_scripted_upstream(platform)
        entry = platform.entries[0]
        routes = sample_configuration()["routes"]
        revision = platform.publish(2, limits=LIMITS, routes=routes)
        await platform.until(lambda: entry.publication.revision == revision)
        return upstream

    def attempts(self) -> Iterator[str]:
        """Names of attempts."""
        number = 0
        while True:
            number += 1
            yield f"e{number}"

    async def send(
        self, platform: LocalPlatform, upstream: ScriptedUpstream, timing: Early, route: str
    ) -> HttpResponse:
        """Send a long body; the upstream's health is as at the start."""
        upstream.after, upstream.read_share = timing.after, timing.read_share
        upstream.delay = timing.delay
        state = platform.entries[0].table.by_id["scripted"]
        state.health = type(state.health)()
        self.attempt = next(self.names)
        return await ask(platform, route, self.attempt, body=BODY)

    def setUp(self) -> None:
        self.names = self.attempts()
        self.attempt = ""


class IncompleteTest(EarlyTest):
    def test_a_part_of_a_body_before_the_upload_was_read_is_no_answer(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            upstream = await self.replace_workers(platform)
            for name, response in INCOMPLETE.items():
                upstream.response = response
                for timing in TIMINGS:
                    for route in ROUTES:
                        with self.subTest(name, timing=timing, route=route):
                            answer = await self.send(platform, upstream, timing, route)
                            self.assertEqual(answer.status, 502)
                            self.assertNotIn(PART, answer.body)
                            self.assertNotIn("x-instance-signature", answer.headers)
                            self.assertEqual(upstream.runs_by_attempt[self.attempt], 1)
            await upstream.close()

        self.play(work)


class CompleteTest(EarlyTest):
    def test_a_whole_answer_before_the_upload_was_read_reaches_its_caller(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            upstream = await self.replace_workers(platform)
            for status, response in COMPLETE.items():
                upstream.response = response
                for timing in (*TIMINGS, Early(After.KEEP)):
                    for route in ROUTES:
                        with self.subTest(status=status, timing=timing, route=route):
                            answer = await self.send(platform, upstream, timing, route)
                            self.assertEqual(answer.status, status)
                            if status != 503:
                                self.assertEqual(answer.body, PART)
            await upstream.close()

        self.play(work)

    def test_an_early_answer_on_a_kept_connection_leaves_later_requests_whole(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            upstream = await self.replace_workers(platform)
            upstream.response = COMPLETE[200]
            calls = [
                asyncio.create_task(
                    self.send(platform, upstream, Early(After.KEEP, delay=0.0), "again")
                )
                for _ in range(4)
            ]
            await asyncio.gather(*calls)
            for _ in range(8):
                answer = await self.send(platform, upstream, Early(After.KEEP), "again")
                self.assertEqual((answer.status, answer.body), (200, PART))
                self.assertEqual(answer.headers["x-attempt-id"], self.attempt)
            await platform.until(lambda: len(upstream.bodies) == 12)
            self.assertTrue(all(body == BODY for body in upstream.bodies))
            self.assertEqual(set(upstream.runs_by_attempt.values()), {1})
            await upstream.close()

        self.play(work)


if __name__ == "__main__":
    unittest.main()
