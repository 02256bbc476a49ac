"""How bodies are framed on the way to a worker and back: chunked, early answered, without one."""

import asyncio
from dataclasses import dataclass, field

from pondpin.network import Endpoint
from pondpin.standins.local_platform import HOST, KEY, PLAIN, LocalPlatform
from pondpin.tests.support import RelayTest, ask

LONG_BODY = b"x" * 60_000


@dataclass
class RawWorker:
    """A worker that answers as soon as it has the head, and reads the body afterwards."""

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


async def only_worker(platform: LocalPlatform, worker: RawWorker) -> None:
    """Put one raw worker in the place of the plain ones."""
    place = await worker.start()
    for name in ("plain-0", "plain-1"):
        platform.store.delete(f"servers/{name}")
    platform.list_worker("raw", PLAIN, str(place), "north")
    entry = platform.entries[0]
    await platform.until(lambda: {state.id for state in entry.table.of_service(PLAIN)} == {"raw"})


class FramingTest(RelayTest):
    def test_an_early_answer_does_not_mix_what_follows(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = RawWorker()
            await only_worker(platform, worker)
            for number in range(5):
                answer = await ask(platform, "again", f"e{number}", body=LONG_BODY)
                self.assertEqual((answer.status, answer.body), (200, b"ok"))
                self.assertEqual(answer.headers["x-instance-signature"], f"raw.e{number}")
            await platform.until(lambda: len(worker.bodies) == 5)
            self.assertEqual(worker.bodies, [LONG_BODY] * 5)

        self.play(work)

    def test_an_answer_without_a_body_leaves_the_connection_in_step(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = RawWorker(status="204 No Content")
            await only_worker(platform, worker)
            for number in range(3):
                answer = await ask(platform, "again", f"n{number}")
                self.assertEqual((answer.status, answer.body), (204, b""))

        self.play(work)

    def test_a_chunked_request_arrives_whole(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = RawWorker()
            await only_worker(platform, worker)
            place = platform.callers[0]
            reader, writer = await asyncio.open_connection(place.host, place.port)
            writer.write(
                f"POST /again/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: c1\r\n"
                f"Authorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
            )
            for piece in (b"hello ", b"chunked ", b"world"):
                writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            self.assertIn(b" 200 ", head)
            self.assertEqual(worker.bodies, [b"hello chunked world"])
            writer.close()

        self.play(work)

    def test_two_lengths_are_refused_before_any_worker(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            worker = RawWorker()
            await only_worker(platform, worker)
            place = platform.callers[0]
            reader, writer = await asyncio.open_connection(place.host, place.port)
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
