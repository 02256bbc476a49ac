"""All that an instance reads over HTTP: a malformed response is a failed call to each reader."""

import asyncio
import json
import unittest
from collections.abc import Awaitable, Callable

from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.filters.request_parsing import ChatBody, decode_body
from pondpin.http_client import HttpClient
from pondpin.standins.scripted_upstream import ScriptedUpstream
from pondpin.tests.support import run_async, the_loop
from pondpin.tests.test_close_delimited_bodies import (
    BODY_READERS,
    FAILURES,
    HEAD_READERS,
    Reader,
)

READERS = (*BODY_READERS, *HEAD_READERS)
# The head alone identifies an upstream.
READ_BY_HEAD = ("identity of an upstream", "a malformed trailer")
# More than the decoder's recursion limit, and a report of less than 64 KiB.
NESTED = b"[" * 30_000 + b"]" * 30_000


def respond(
    reader: Reader, start: bytes = b"HTTP/1.1 200 OK", line: bytes = b"", chunked: bool = False
) -> bytes:
    """A response with a reader's sound body, and a further line in its head."""
    lines = [start, *(f"{name}: {value}".encode() for name, value in reader.headers.items())]
    lines += [line] if line else []
    if chunked:
        body = b"%x\r\n%b\r\n0\r\n" % (len(reader.body), reader.body)
        return b"\r\n".join((*lines, b"Transfer-Encoding: chunked", b"", body))
    lines.append(b"Content-Length: %d" % len(reader.body))
    return b"\r\n".join((*lines, b"", reader.body))


def malformed(reader: Reader) -> dict[str, bytes]:
    """Malformed responses to a reader, by name."""
    sound = respond(reader)
    return {
        "status 000": respond(reader, b"HTTP/1.1 000 Zero"),
        "status 0200": respond(reader, b"HTTP/1.1 0200 OK"),
        "HTTP/2.0": respond(reader, b"HTTP/2.0 200 OK"),
        "a control byte in a name": respond(reader, line=b"X-\x01: 1"),
        "a control byte in a value": respond(reader, line=b"X-Odd: a\x01b"),
        "a folded line": respond(reader, line=b"X-Odd: a\r\n b"),
        "a bare line feed": sound.replace(b"\r\n", b"\n", 1),
        "two framings": respond(reader, line=b"Transfer-Encoding: chunked"),
        "two lengths": respond(reader, line=b"Content-Length: 0"),
        "a malformed trailer": respond(reader, chunked=True) + b"HTTP/1.1 200 OK\r\n\r\n",
    }


class ReadersTest(unittest.TestCase):
    def play(self, work: Callable[[HttpClient, ScriptedUpstream, str], Awaitable[None]]) -> None:
        async def whole() -> None:
            client = HttpClient(the_loop()[1], 1.0)
            server = ScriptedUpstream()
            address = str(await server.listen())
            try:
                await work(client, server, address)
            finally:
                await client.close()
                await server.close()

        run_async(whole())

    def test_a_malformed_response_is_a_failed_call(self) -> None:
        async def work(client: HttpClient, server: ScriptedUpstream, address: str) -> None:
            for reader in READERS:
                for name, response in malformed(reader).items():
                    if (reader.name, name) == READ_BY_HEAD:
                        continue
                    server.response = response
                    with self.subTest(reader.name, response=name):
                        await self.check_failed(reader, client, address)

        self.play(work)

    async def check_failed(self, reader: Reader, client: HttpClient, address: str) -> None:
        """Check that a reader gets no result."""
        try:
            async with asyncio.timeout(2.0):
                found = await reader.read(client, address)
        except FAILURES as error:
            self.assertIn("malformed response", str(error))
            return
        self.fail(f"taken as a response: {found!r}")

    def test_sound_responses_are_read(self) -> None:
        async def work(client: HttpClient, server: ScriptedUpstream, address: str) -> None:
            for reader in READERS:
                for chunked in (False, True):
                    server.response = respond(reader, chunked=chunked) + b"\r\n" * chunked
                    with self.subTest(reader.name, chunked=chunked):
                        await reader.read(client, address)

        self.play(work)

    def test_a_deeply_nested_document_is_a_failed_call(self) -> None:
        async def work(client: HttpClient, server: ScriptedUpstream, address: str) -> None:
            for reader in BODY_READERS:
                if not reader.body.startswith(b"{"):
                    continue
                body = b'{"odd":' + NESTED + b"," + reader.body[1:]
                nested = Reader(reader.name, body, reader.read, headers=reader.headers)
                server.response = respond(nested)
                # Some readers pass the body on without decoding it.
                with self.subTest(reader.name):
                    try:
                        await reader.read(client, address)
                    except FAILURES as error:
                        self.assertIn("nested too deeply", str(error))

        self.play(work)


class CallersTest(unittest.TestCase):
    def test_a_deeply_nested_request_is_malformed(self) -> None:
        body = json.dumps({"model": "m", "messages": []}).encode()
        with self.assertRaises(PondpinError) as raised:
            decode_body(b'{"odd":' + NESTED + b"," + body[1:], ChatBody)
        self.assertIs(raised.exception.code, Code.MALFORMED_JSON)


if __name__ == "__main__":
    unittest.main()
