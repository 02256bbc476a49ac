"""Odd requests of callers: none splits or changes what an upstream receives."""

import asyncio
import unittest

from pondpin.response_grammar import FIELD_LINE
from pondpin.standins.local_platform import HOST, KEY, LocalPlatform
from pondpin.standins.scripted_upstream import ScriptedUpstream
from pondpin.tests.support import RelayTest, use_scripted_upstream

OK = (
    b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Signature: s\r\n"
    b"Content-Length: 2\r\n\r\nok"
)
START = b"POST /again/x?y=1;z HTTP/1.1\r\n"
FIELDS = (
    f"host: {HOST}\r\nx-attempt-id: r1\r\nx-deadline-ms: 3000\r\n"
    f"authorization: Bearer {KEY}\r\nconnection: close\r\n"
).encode()
SECOND = b"GET /again/second HTTP/1.1\r\nx-attempt-id: r2\r\n\r\n"
CONTROL_BYTES = bytes(code for code in (*range(9), 11, 12, *range(14, 32), 127))
# Without a line feed, which ends a line of a request only after a CR.
REFUSED_LINES = (
    *(b"X-%c-Odd: 1" % byte for byte in CONTROL_BYTES + b' \t"(),/;<=>?@[\\]{}\x80\xff'),
    b"X-Odd : 1",
    b": 1",
    b"no colon",
    b"X-Odd: a\x00b",
    b"X-Odd: a\rb",
    b"X-Odd: a\nX-Tenant: other",
    b"X-Odd: a\n\nGET /again/second HTTP/1.1",
    b"Content-Length: 0\r\nContent-Length: 5",
    b"Content-Length: 5\r\nTransfer-Encoding: chunked",
    b"Content-Length: +5",
    b"Content-Length: 0x5",
    b"Content-Length: 5, 5",
    b"Transfer-Encoding: gzip",
    b"Transfer-Encoding: chunked, chunked",
    b"Transfer-Encoding:\x0bchunked",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
)
# Sent on with each byte as it came: RFC 9110, section 5.5, lets a recipient keep control bytes.
KEPT_VALUES = (
    *(b"a%cb" % byte for byte in CONTROL_BYTES if byte),
    b"caf\xe9 \x80\xff",
    b"a\tb",
    b'"a\\"b"; c=[1:2]',
    b"",
)
REFUSED_STARTS = (
    b"POST /again/x y HTTP/1.1\r\n",
    b"POST /again/x\x00 HTTP/1.1\r\n",
    b"POST /again/x\x01 HTTP/1.1\r\n",
    b"POST /again/x\r HTTP/1.1\r\n",
    b"POST /again/x\nX-Odd: 1 HTTP/1.1\r\n",
    b"PO ST /again/x HTTP/1.1\r\n",
    b"PO\x01ST /again/x HTTP/1.1\r\n",
    b"POST /again/x HTTP/2.0\r\n",
    b"POST /again/x http/1.1\r\n",
    b"POST  /again/x HTTP/1.1\r\n",
    b"POST\t/again/x\tHTTP/1.1\r\n",
    b"POST /again/x\r\n",
)


class OddRequestTest(RelayTest):
    async def send(self, platform: LocalPlatform, request: bytes) -> bytes:
        """Send bytes on a connection; all that the caller gets."""
        place = platform.callers[0]
        reader, writer = await asyncio.open_connection(place.host, place.port)
        writer.write(request)
        async with asyncio.timeout(5.0):
            received = await reader.read()
        writer.close()
        return received

    def check_heads(self, upstream: ScriptedUpstream) -> None:
        """Check the form of all heads that reached an upstream."""
        for head in upstream.heads:
            _, *lines = head.removesuffix(b"\r\n\r\n").split(b"\r\n")
            for line in lines:
                name, _, value = line.partition(b":")
                self.assertIsNotNone(FIELD_LINE.fullmatch(name + b":"), line)
                self.assertEqual(value.translate(None, b"\x00\r\n"), value, line)
            names = [line.partition(b":")[0].lower() for line in lines]
            for own in (b"content-length", b"x-deadline-ms", b"x-expect-instance", b"x-tenant"):
                self.assertLessEqual(names.count(own), 1, head)
            self.assertNotIn(b"transfer-encoding", names)

    def test_an_invalid_request_reaches_no_upstream(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            upstream = await use_scripted_upstream(platform, OK)
            requests = [START + FIELDS + line + b"\r\n\r\nhello" + SECOND for line in REFUSED_LINES]
            requests += [start + FIELDS + b"\r\n" + SECOND for start in REFUSED_STARTS]
            for request in requests:
                with self.subTest(request=request):
                    received = await self.send(platform, request)
                    self.assertTrue(received.startswith(b"HTTP/1.1 400 "), received[:80])
                    self.assertEqual(upstream.heads, [])
                    upstream.heads.clear()
            await upstream.close()

        self.play(work)

    def test_an_odd_value_reaches_the_upstream_as_one_field(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            upstream = await use_scripted_upstream(platform, OK)
            for value in KEPT_VALUES:
                upstream.heads.clear()
                with self.subTest(value=value):
                    request = START + FIELDS + b"X-Odd: " + value + b"\r\nContent-Length: 0\r\n\r\n"
                    received = await self.send(platform, request)
                    self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received[:80])
                    self.assertIn(b"\r\nX-Odd: " + value + b"\r\n", upstream.heads[0])
                    self.check_heads(upstream)
            await upstream.close()

        self.play(work)

    def test_a_folded_or_extended_request_is_framed_anew(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            upstream = await use_scripted_upstream(platform, OK)
            chunked = b"Transfer-Encoding: chunked\r\n\r\n"
            for rest, body in (
                (b"X-Odd: a\r\n b\r\nContent-Length: 5\r\n\r\nhello", b"hello"),
                (chunked + b"5;a=b\r\nhello\r\n0\r\nX-Tenant: other\r\n\r\n", b"hello"),
                (chunked + b"5\r\nhello\r\n0\r\nGET /again/second HTTP/1.1\r\n\r\n", b"hello"),
                (b"Connection: x-tenant\r\nX-Tenant: other\r\nContent-Length: 1\r\n\r\nx", b"x"),
                (b"Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nhello", b"hello"),
            ):
                upstream.heads.clear()
                upstream.bodies.clear()
                with self.subTest(rest=rest):
                    received = await self.send(platform, START + FIELDS + rest)
                    self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received[:80])
                    self.assertEqual(len(upstream.heads), 1)
                    self.assertEqual(upstream.bodies, [body])
                    self.assertNotIn(b"other", upstream.heads[0])
                    self.check_heads(upstream)
            await upstream.close()

        self.play(work)


if __name__ == "__main__":
    unittest.main()
