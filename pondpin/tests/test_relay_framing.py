"""Framing of request and response bodies: chunked, answered early, and absent."""

import asyncio
from dataclasses import dataclass, field

from pondpin.network import Endpoint
from pondpin.standins.local_platform import HOST, KEY, PLAIN, LocalPlatform
from pondpin.tests.support import RelayTest, ask

LONG_BODY = b"x" * 60_000


@dataclass
class RawWorker:
    """A worker that responds when it has the request head, and reads the body afterwards."""

    status: str = "200 OK"
    bodies: list[bytes] = field(default_factory=list)
    connections: int = 0

    async def start(self) -> Endpoint:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return Endpoint("127.0.0.1", self.server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        while True:
            try:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            except asyncio.IncompleteReadError:
                writer.close()
                return
            writer.write(self._answer(head))
            await writer.drain()
            length = int(_header(head, "content-length") or 0)
            self.bodies.append(await reader.readexactly(length))

    def _answer(self, head: str) -> bytes:
        attempt = _header(head, "x-attempt-id")
        fields = f"X-Attempt-Id: {attempt}\r\nX-Instance-Signature: raw.{attempt}\r\n"
        body = "" if self.status.startswith("204") else "Content-Length: 2\r\n\r\nok"
        return f"HTTP/1.1 {self.status}\r\n{fields}{body or chr(13) + chr(10)}".encode()


def _header(head: str, name: str) -> str:
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.lower() == name:
            return value.strip()
    return ""


async def replace_workers(platform: LocalPlatform, worker: RawWorker) -> None:
    """Replace the plain workers by one raw worker."""
    endpoint = await worker.start()
    for name in ("plain-0", "plain-1"):
        platform.store.delete(f"servers/{name}")
    platform.list_worker("raw", PLAIN, str(endpoint), "north")
    entry = platform.entries[0]
    await platform.until(lambda: {state.id for state in entry.table.of_service(PLAIN)} == {"raw"})


class FramingTest(RelayTest):
    def test_an_early_response_does_not_corrupt_later_requests(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = RawWorker()
            await replace_workers(platform, worker)
            for number in range(5):
                answer = await ask(platform, "again", f"e{number}", body=LONG_BODY)
                self.assertEqual((answer.status, answer.body), (200, b"ok"))
                self.assertEqual(answer.headers["x-instance-signature"], f"raw.e{number}")
            await platform.until(lambda: len(worker.bodies) == 5)
            self.assertEqual(worker.bodies, [LONG_BODY] * 5)

        self.play(work)

    def test_a_response_without_a_body_keeps_the_connection_in_sync(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = RawWorker(status="204 No Content")
            await replace_workers(platform, worker)
            for number in range(3):
                answer = await ask(platform, "again", f"n{number}")
                self.assertEqual((answer.status, answer.body), (204, b""))

        self.play(work)

    def test_a_chunked_request_is_forwarded_completely(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = RawWorker()
            await replace_workers(platform, worker)
            endpoint = platform.callers[0]
            reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
            writer.write(
                f"POST /again/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: c1\r\n"
                f"Authorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
            )
            for chunk in (b"hello ", b"chunked ", b"world"):
                writer.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b" 200 ", head)
            self.assertEqual(worker.bodies, [b"hello chunked world"])
            writer.close()

        self.play(work)

    def test_a_request_with_two_body_lengths_reaches_no_worker(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = RawWorker()
            await replace_workers(platform, worker)
            endpoint = platform.callers[0]
            reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
            writer.write(
                f"POST /again/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: s1\r\n"
                f"Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n"
                f"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /again/y HTTP/1.1\r\n\r\n".encode()
            )
            answer = await reader.read()
            self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer[:60])
            self.assertEqual(worker.bodies, [])
            writer.close()

        self.play(work)
