"""Requests whose bodies never end: refused by their heads, within a budget."""

import asyncio
import unittest

from pondpin.http_server import UNCHECKED_BODY_BYTES
from pondpin.standins.local_platform import HOST, KEY, LocalPlatform
from pondpin.tests.support import RelayTest, ask

CALLERS = 20
CHUNK = b"1000\r\n" + b"c" * 0x1000 + b"\r\n"


def head(key: str, framing: str, path: str = "/again/x") -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: a1\r\n"
        f"authorization: Bearer {key}\r\n{framing}\r\n\r\n"
    ).encode()


class EndlessRequestTest(RelayTest):
    async def send_without_end(self, platform: LocalPlatform, request: bytes) -> tuple[bytes, int]:
        """Send chunks until an answer comes; returns its first line and the bytes sent."""
        place = platform.callers[0]
        reader, writer = await asyncio.open_connection(place.host, place.port)
        writer.write(request)
        answering = asyncio.create_task(reader.readline())
        sent = 0
        try:
            while not answering.done():
                writer.write(CHUNK)
                sent += len(CHUNK)
                await writer.drain()
                await asyncio.sleep(0.001)
            return await answering, sent
        finally:
            writer.close()

    def test_bodies_without_end_are_refused_by_their_heads(self) -> None:
        # Guards against callers without a key that fill the memory of an instance.
        async def work(platform: LocalPlatform) -> None:
            chunked = "transfer-encoding: chunked"
            for request, status in (
                (head("unknown", chunked), b" 401 "),
                (head(KEY, chunked, "/nowhere/x"), b" 404 "),
            ):
                sending = [self.send_without_end(platform, request) for _ in range(CALLERS)]
                for line, sent in await asyncio.gather(*sending):
                    self.assertIn(status, line)
                    # What was on its way as the answer was sent.
                    self.assertLess(sent, 16 * UNCHECKED_BODY_BYTES)
                held = platform.entries[0].caller_server.budget.held
                self.assertLessEqual(held, CALLERS * UNCHECKED_BODY_BYTES)

        self.play(work)

    def test_a_large_declared_body_is_refused_before_it_is_sent(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            place = platform.callers[0]
            reader, writer = await asyncio.open_connection(place.host, place.port)
            writer.write(head("unknown", "content-length: 60000"))
            self.assertIn(b" 401 ", await reader.readline())
            writer.close()

        self.play(work)

    def test_a_large_body_with_a_valid_key_is_served(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            answer = await ask(platform, "again", body=b"b" * 60_000)
            self.assertEqual(answer.status, 200)

        self.play(work)


if __name__ == "__main__":
    unittest.main()
