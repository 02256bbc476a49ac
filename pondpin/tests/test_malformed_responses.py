"""Responses that don't match the grammar of HTTP/1.1 are no answers."""

import unittest
from collections.abc import Awaitable, Callable, Mapping
from unittest import mock

from pondpin.http_client import HttpClient, HttpResponse
from pondpin.http_streams import CallFailedError, ResponseFault
from pondpin.relay.log_events import AttemptEnded, LogEvent
from pondpin.standins.local_platform import PLAIN, LocalPlatform, sample_entry
from pondpin.standins.scripted_upstream import ScriptedUpstream
from pondpin.standins.store_state import UPSTREAMS_PREFIX
from pondpin.tests.support import RelayTest, ask, run_async, the_loop

NAMED = b"X-Attempt-Id: {attempt}\r\nX-Instance-Signature: s.{attempt}\r\n"
SOUND = b"HTTP/1.1 200 OK\r\n" + NAMED + b"Content-Length: 2\r\n\r\nok"


def with_status_line(line: bytes) -> bytes:
    """A response that is sound but for its status-line."""
    return line + SOUND.removeprefix(b"HTTP/1.1 200 OK")


MALFORMED_STATUS_LINES = {
    repr(line): with_status_line(line)
    for line in (
        b"HTTP/1.1 000 Zero",
        b"HTTP/1.1 000",
        b"HTTP/1.1 099 Low",
        b"HTTP/1.1 99 Short",
        b"HTTP/1.1 600 High",
        b"HTTP/1.1 999 High",
        b"HTTP/1.1 1000 Long",
        b"HTTP/1.1 0200 OK",
        b"HTTP/1.1 +200 OK",
        b"HTTP/1.1 -20 OK",
        b"HTTP/1.1 2_0 OK",
        b"HTTP/1.1 2xx OK",
        b"HTTP/1.1 \xb2\xb0\xb0 OK",
        b"HTTP/1.1  200 OK",
        b"HTTP/1.1\t200\tOK",
        b"HTTP/1.1 200\tOK",
        b" HTTP/1.1 200 OK",
        b"HTTP/1.1 200 O\x00K",
        b"HTTP/1.1 200 O\x0bK",
        b"HTTP/1.1 200 O\x7fK",
        b"HTTP/1.1 200 O\rK",
        b"HTTP/2.0 200 OK",
        b"HTTP/0.9 200 OK",
        b"HTTP/1 200 OK",
        b"HTTP/1.10 200 OK",
        b"HTTP/+1.1 200 OK",
        b"http/1.1 200 OK",
        b"HTTP 200 OK",
        b"ICY 200 OK",
        b"HTTP/1.1",
        b"200 OK",
        b"",
        b"\r\nHTTP/1.1 200 OK",
    )
}
MALFORMED_STATUS_LINES["an invalid interim response"] = b"HTTP/1.1 1xx Early\r\n\r\n" + SOUND
MALFORMED_STATUS_LINES["an invalid status after an interim response"] = (
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + with_status_line(b"HTTP/1.1 000 Zero")
)
SOUND_STATUS_LINES = {
    line: with_status_line(line)
    for line in (
        b"HTTP/1.1 200",
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200  two spaces",
        b"HTTP/1.1 200 tab\there \xe9\xff",
        b"HTTP/1.0 200 OK",
        b"HTTP/1.2 200 OK",
        b"HTTP/1.1 299 Custom",
        b"HTTP/1.1 418 I'm a teapot",
        b"HTTP/1.1 599 Last",
    )
}


def with_field(line: bytes) -> bytes:
    """A response that is sound but for a line of its head, the last."""
    return SOUND.replace(b"\r\n\r\n", b"\r\n" + line + b"\r\n\r\n", 1)


CONTROL_BYTES = b"".join(bytes((code,)) for code in (*range(9), *range(11, 32), 127))
# Visible characters that no token has, and bytes over 127.
NO_TOKEN_BYTES = b'"(),/:;<=>?@[\\]{}' + bytes((0x80, 0xA0, 0xFF))
MALFORMED_FIELD_LINES = {
    f"{byte!r} in a name": with_field(b"X-%c-Odd: 1" % byte)
    for byte in CONTROL_BYTES + b" \t" + NO_TOKEN_BYTES.replace(b":", b"")
} | {f"{byte!r} in a value": with_field(b"X-Odd: a%cb" % byte) for byte in CONTROL_BYTES}
MALFORMED_FIELD_LINES |= {
    repr(line): with_field(line)
    for line in (
        b"X-Odd : 1",
        b"X-Odd\t: 1",
        b": no name",
        b"no colon",
        b"X-Odd: at the end\x00",
        b"X-Odd:\x0b",
        b"Transfer-Encoding:\x0bchunked",
        b"HTTP/1.1 200 OK",
    )
}
MALFORMED_FIELD_LINES["whitespace after the status-line"] = SOUND.replace(
    b"\r\n", b"\r\n X-Odd: 1\r\n", 1
)
MALFORMED_FIELD_LINES["in an interim response"] = (
    b"HTTP/1.1 103 Early Hints\r\nX-\x01: 1\r\n\r\n" + SOUND
)
MALFORMED_FIELD_LINES["whitespace after the status-line of the second head"] = (
    b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n X-Odd: 1\r\n"
    + SOUND.partition(b"\r\n")[2]
)
BARE_LINE_FEEDS = {
    "after the status-line": SOUND.replace(b"\r\n", b"\n", 1),
    "after a field": with_field(b"X-Odd: 1\nX-More: 2"),
    "before the end of the head": SOUND.replace(b"\r\n\r\n", b"\r\n\n", 1),
    "instead of the end of the head": SOUND.replace(b"\r\n\r\n", b"\n\n", 1),
    "everywhere": SOUND.replace(b"\r\n", b"\n"),
    "a second response in a value": with_field(
        b"X-Odd: 1\n\nHTTP/1.1 200 OK\nContent-Length: 2\n\nno"
    ),
}
FOLDED_LINES = {
    "a field that looks folded": with_field(b"X-Odd: 1\r\n X-More: 2"),
    "a fold with a tab": with_field(b"X-Odd: 1\r\n\t2"),
    "an empty fold": with_field(b"X-Odd: 1\r\n "),
    "a folded signature": SOUND.replace(b"s.{attempt}", b"s.{attempt}\r\n X-Odd: 1", 1),
    "a folded coding": SOUND.replace(b"Content-Length: 2", b"Transfer-Encoding:\r\n chunked", 1),
}


def with_framing(*lines: bytes, body: bytes = b"", status: bytes = b"HTTP/1.1 200 OK") -> bytes:
    """A response with the given fields about its body."""
    fields = b"".join(line + b"\r\n" for line in lines)
    return status + b"\r\n" + NAMED + fields + b"\r\n" + body


CHUNKS = b"2\r\nok\r\n0\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked"
CONTRADICTORY_FRAMINGS = {
    f"{fields!r}": with_framing(*fields, body=CHUNKS)
    for fields in (
        (b"Content-Length: 2", CHUNKED),
        (CHUNKED, b"Content-Length: 2"),
        (CHUNKED, b"Content-Length: 12"),
        (CHUNKED, CHUNKED),
        (CHUNKED, b"Transfer-Encoding: gzip"),
        (b"Transfer-Encoding: gzip", CHUNKED),
        (b"Transfer-Encoding: gzip, chunked",),
        (b"Transfer-Encoding: chunked, chunked",),
        (b"Transfer-Encoding: chunked;q=1",),
        (b"Transfer-Encoding: identity",),
        (b"Transfer-Encoding:",),
        (b'Transfer-Encoding: "chunked"',),
    )
} | {
    f"{fields!r}": with_framing(*fields, body=b"ok")
    for fields in (
        (b"Content-Length: 2", b"Content-Length: 3"),
        (b"Content-Length: 2, 3",),
        (b"Content-Length: 2,",),
        (b"Content-Length: 2;",),
        (b"Content-Length: +2",),
        (b"Content-Length: -2",),
        (b"Content-Length: 0x2",),
        (b"Content-Length: 0_2",),
        (b"Content-Length: 2 2",),
        (b"Content-Length: 2.0",),
        (b"Content-Length: \xb2",),
        (b"Content-Length:",),
        (b"Content-Length: " + b"9" * 5000,),
    )
}
CONTRADICTORY_FRAMINGS |= {
    "chunked in HTTP/1.0": with_framing(CHUNKED, body=CHUNKS, status=b"HTTP/1.0 200 OK"),
    "chunked 204": with_framing(CHUNKED, body=CHUNKS, status=b"HTTP/1.1 204 None"),
    "204 with a length": with_framing(
        b"Content-Length: 2", body=b"ok", status=b"HTTP/1.1 204 None"
    ),
    "interim response with a length": with_framing(
        b"Content-Length: 4", status=b"HTTP/1.1 103 Early Hints", body=b"four" + SOUND
    ),
    "chunked interim response": with_framing(
        CHUNKED, status=b"HTTP/1.1 103 Early Hints", body=SOUND
    ),
    "another protocol": with_framing(
        b"Upgrade: other", status=b"HTTP/1.1 101 Switching Protocols", body=SOUND
    ),
    "contradiction after an interim response": b"HTTP/1.1 100 Continue\r\n\r\n"
    + with_framing(b"Content-Length: 2", CHUNKED, body=CHUNKS),
}
SOUND_FRAMINGS = {
    b"one length": with_framing(b"Content-Length: 2", body=b"ok"),
    b"the same length twice": with_framing(*(b"Content-Length: 2",) * 2, body=b"ok"),
    b"a list of the same length": with_framing(b"Content-Length: 2, 2", body=b"ok"),
    b"a length with zeros": with_framing(b"Content-Length: 0002", body=b"ok"),
    b"chunks": with_framing(CHUNKED, body=CHUNKS),
    b"chunks in capitals": with_framing(b"transfer-encoding: CHUNKED", body=CHUNKS),
    b"interim responses": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>"
    + b"\r\nContent-Length: 0\r\n\r\n" + SOUND,
}  # fmt: skip
MALFORMED_CHUNKS = {
    f"{body!r}": with_framing(CHUNKED, body=body)
    for body in (
        b"2;\r\nok\r\n0\r\n\r\n",
        b"2;=1\r\nok\r\n0\r\n\r\n",
        b"2;a b\r\nok\r\n0\r\n\r\n",
        b"2;a=\r\nok\r\n0\r\n\r\n",
        b'2;a="b\r\nok\r\n0\r\n\r\n',
        b"2;a=\xff\r\nok\r\n0\r\n\r\n",
        b"2;a=b\nc\r\nok\r\n0\r\n\r\n",
        b"2;a\x00\r\nok\r\n0\r\n\r\n",
        b"2\r\nok\r\n0;a b\r\n\r\n",
        b"+2\r\nok\r\n0\r\n\r\n",
        b"-2\r\nok\r\n0\r\n\r\n",
        b" 2\r\nok\r\n0\r\n\r\n",
        b"2 \r\nok\r\n0\r\n\r\n",
        b"0x2\r\nok\r\n0\r\n\r\n",
        b"0_2\r\nok\r\n0\r\n\r\n",
        b"\r\nok\r\n0\r\n\r\n",
        b"2\nok\r\n0\r\n\r\n",
        b"2\r\nok0\r\n\r\n",
        b"2\r\nok\n0\r\n\r\n",
        b"2\r\noker\r\n0\r\n\r\n",
        b"2" * 2000 + b"\r\n",
    )
}
MALFORMED_TRAILERS = {
    f"{trailers!r}": with_framing(CHUNKED, body=b"2\r\nok\r\n0\r\n" + trailers + b"\r\n\r\n")
    for trailers in (
        b"no colon",
        b"X-Odd : 1",
        b" X-Odd: 1",
        b"X-Odd: 1\r\n folded",
        b"X-\x01: 1",
        b"X-Odd: a\x00b",
        b"X-Odd: a\nX-More: b",
        # The next response, behind a body without its last line.
        SOUND.partition(b"\r\n\r\n")[0],
    )
}
SOUND_CHUNKS = {
    body: with_framing(CHUNKED, body=body)
    for body in (
        b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        b"0002\r\nok\r\n000\r\n\r\n",
        b'2;a;b=c;d="e f";g = h\r\nok\r\n0;last\r\n\r\n',
        b"2\r\nok\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\nX-Text: caf\xe9\r\n\r\n",
    )
}
# All characters of a token but those that Twisted changes: upper case, and the first of a word.
TOKEN = b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
SOUND_FIELD_LINES = {
    line: with_field(line)
    for line in (
        b"X-Empty:",
        b"X-Empty: \t ",
        b"X-No-Space:value",
        b"X-Text: caf\xe9 \x80\xff",
        b"X-Tab: a\tb",
        b'X-Quoted: "a\\"b"; c=[1:2]',
        TOKEN + b": 1",
    )
}


class ClientTest(unittest.TestCase):
    """All readers of responses use this client."""

    def play(self, work: Callable[[HttpClient, ScriptedUpstream, str], Awaitable[None]]) -> None:
        async def whole() -> None:
            client = HttpClient(the_loop()[1], 1.0)
            upstream = ScriptedUpstream()
            url = f"http://{await upstream.listen()}/x"
            try:
                await work(client, upstream, url)
            finally:
                await client.close()
                await upstream.close()

        run_async(whole())

    def check_fault(self, responses: Mapping[str, bytes], fault: ResponseFault) -> None:
        """Check that each response ends its connection with a fault."""

        async def work(client: HttpClient, upstream: ScriptedUpstream, url: str) -> None:
            for name, response in responses.items():
                upstream.response = response
                with self.subTest(name):
                    error = await find_error(client, url)
                    self.assertTrue(error.sent)
                    self.assertIs(error.fault, fault)

        self.play(work)

    def check_served(self, responses: Mapping[bytes, bytes], expected: HttpResponse | None) -> None:
        """Check that each response is received, and equals expected unless that is None."""

        async def work(client: HttpClient, upstream: ScriptedUpstream, url: str) -> None:
            for name, response in responses.items():
                upstream.response = response
                with self.subTest(name):
                    answer = await client.call("GET", url, {"x-attempt-id": "a1"}, timeout=2.0)
                    self.assertEqual(answer.body, b"ok")
                    self.assertEqual(answer.headers["x-attempt-id"], "a1")
                    if expected is not None:
                        self.assertEqual(answer, expected)

        self.play(work)

    def test_a_malformed_status_line_is_no_answer(self) -> None:
        self.check_fault(MALFORMED_STATUS_LINES, ResponseFault.STATUS_LINE)

    def test_sound_status_lines_are_served(self) -> None:
        self.check_served(SOUND_STATUS_LINES, None)

    def test_a_malformed_field_line_is_no_answer(self) -> None:
        self.check_fault(MALFORMED_FIELD_LINES, ResponseFault.FIELD_LINE)

    def test_a_bare_line_feed_ends_no_line(self) -> None:
        self.check_fault(BARE_LINE_FEEDS, ResponseFault.LINE_END)

    def test_a_folded_line_continues_no_field(self) -> None:
        self.check_fault(FOLDED_LINES, ResponseFault.FIELD_LINE)

    def test_contradictory_fields_delimit_no_body(self) -> None:
        self.check_fault(CONTRADICTORY_FRAMINGS, ResponseFault.FRAMING)

    def test_sound_framings_are_served(self) -> None:
        self.check_served(SOUND_FRAMINGS, None)

    def test_a_malformed_chunk_is_no_part_of_an_answer(self) -> None:
        self.check_fault(MALFORMED_CHUNKS, ResponseFault.CHUNK)

    def test_a_malformed_trailer_ends_no_answer(self) -> None:
        self.check_fault(MALFORMED_TRAILERS, ResponseFault.TRAILER)

    def test_sound_chunks_and_trailers_are_served(self) -> None:
        self.check_served(SOUND_CHUNKS, None)

    def test_responses_without_a_body_are_served(self) -> None:
        async def work(client: HttpClient, upstream: ScriptedUpstream, url: str) -> None:
            for method, status, lines in (
                ("GET", 204, ()),
                ("GET", 204, (b"Content-Length: 0",)),
                ("GET", 304, (b"Content-Length: 7",)),
                ("GET", 304, (CHUNKED,)),
                ("HEAD", 200, (b"Content-Length: 7",)),
                ("HEAD", 200, (CHUNKED,)),
            ):
                upstream.response = with_framing(*lines, status=b"HTTP/1.1 %d Status" % status)
                with self.subTest(method=method, status=status, lines=lines):
                    answer = await client.call(method, url, timeout=2.0)
                    self.assertEqual((answer.status, answer.body), (status, b""))

        self.play(work)

    def test_sound_field_lines_are_served(self) -> None:
        self.check_served(SOUND_FIELD_LINES, None)


async def find_error(client: HttpClient, url: str) -> CallFailedError:
    """Make a call that fails; AssertionError if it is answered."""
    try:
        answer = await client.call("GET", url, {"x-attempt-id": "a1"}, timeout=2.0)
    except CallFailedError as error:
        return error
    raise AssertionError(f"taken as an answer: {answer}")


class RelayedTest(RelayTest):
    async def add_upstream(self, platform: LocalPlatform, response: bytes) -> ScriptedUpstream:
        """Add an upstream of plain calls that sends a response; keep its log."""
        upstream = ScriptedUpstream(response)
        place = await upstream.listen()
        # The first by its id, it is chosen among idle upstreams.
        entry = sample_entry(PLAIN, str(place))
        platform.store.put(f"{UPSTREAMS_PREFIX}malformed", entry)
        instance = platform.entries[0]
        await platform.until(lambda: "malformed" in instance.table.by_id)
        self.addCleanup(lambda: run_async(upstream.close()))
        self.events: list[LogEvent] = []
        self.enterContext(mock.patch.object(instance.log, "write", self.events.append))
        return upstream

    async def remove_sound(self, platform: LocalPlatform) -> None:
        """Leave the scripted upstream alone."""
        for name in ("plain-0", "plain-1"):
            platform.store.delete(f"servers/{name}")
        table = platform.entries[0].table
        await platform.until(lambda: {item.id for item in table.of_service(PLAIN)} == {"malformed"})

    def check_unanswered(self, response: bytes, fault: ResponseFault) -> None:
        """Check what callers get, beside sound upstreams and without them."""

        async def work(platform: LocalPlatform) -> None:
            upstream = await self.add_upstream(platform, response)
            for number in range(24):
                answer = await ask(platform, "again", f"safe{number}")
                self.assertEqual((answer.status, "s." in str(answer.headers)), (200, False))
                answer = await ask(platform, "once", f"unsafe{number}")
                self.assertIn(answer.status, (200, 502))
                if answer.status == 502:
                    self.assertEqual(answer.headers["pondpin-ran"], "outcome unknown")
            self.assertGreater(sum(upstream.runs_by_attempt.values()), 0)
            await self.remove_sound(platform)
            for route in ("again", "once"):
                answer = await ask(platform, route, f"last-{route}")
                self.assertEqual(answer.status, 502)
                self.assertEqual(answer.headers["pondpin-ran"], "outcome unknown")
                self.assertNotIn("x-instance-signature", answer.headers)
            self.assertEqual(set(upstream.runs_by_attempt.values()), {1})
            self.check_recorded(platform, fault, f"last-{route}")

        self.play(work)

    def check_recorded(self, platform: LocalPlatform, fault: ResponseFault, request: str) -> None:
        """Check the log line of a request, and the counter."""
        lines = [
            event
            for event in self.events
            if isinstance(event, AttemptEnded) and event.request == request
        ]
        self.assertEqual([line.detail for line in lines], [f"malformed response: {fault.value}"])
        text, _ = platform.entries[0].metrics.render("text/plain")
        counted = [
            line
            for line in text.decode().splitlines()
            if line.startswith("pondpin_malformed_responses_total{") and f'"{fault.value}"' in line
        ]
        self.assertEqual(len(counted), 1, counted)

    def test_status_000_reaches_no_caller(self) -> None:
        self.check_unanswered(with_status_line(b"HTTP/1.1 000 Zero"), ResponseFault.STATUS_LINE)

    def test_a_control_byte_in_a_name_reaches_no_caller(self) -> None:
        self.check_unanswered(with_field(b"X-\x01: 1"), ResponseFault.FIELD_LINE)

    def test_a_control_byte_in_a_value_reaches_no_caller(self) -> None:
        self.check_unanswered(with_field(b"X-Odd: a\x01b"), ResponseFault.FIELD_LINE)

    def test_a_name_that_begins_with_a_blank_reaches_no_caller(self) -> None:
        self.check_unanswered(FOLDED_LINES["a folded signature"], ResponseFault.FIELD_LINE)

    def test_a_body_of_two_lengths_reaches_no_caller(self) -> None:
        response = with_framing(b"Content-Length: 2", CHUNKED, body=CHUNKS)
        self.check_unanswered(response, ResponseFault.FRAMING)

    def test_a_response_in_the_trailers_of_another_reaches_no_caller(self) -> None:
        head = SOUND.partition(b"\r\n\r\n")[0]
        response = with_framing(CHUNKED, body=b"2\r\nok\r\n0\r\n" + head + b"\r\n\r\nok")
        self.check_unanswered(response, ResponseFault.TRAILER)

    def test_sound_field_lines_reach_the_caller_unchanged(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            upstream = await self.add_upstream(platform, b"")
            await self.remove_sound(platform)
            for number, response in enumerate(SOUND_FIELD_LINES.values()):
                upstream.response = response
                answer = await ask(platform, "once", f"n{number}")
                name, _, value = read_last_line(response).partition(b":")
                received = answer.headers[name.decode().lower()]
                self.assertEqual(received.encode("latin-1"), value.strip(b" \t"))

        self.play(work)


def read_last_line(response: bytes) -> bytes:
    """The last line of a response's head."""
    return response.partition(b"\r\n\r\n")[0].rpartition(b"\r\n")[2]


if __name__ == "__main__":
    unittest.main()
