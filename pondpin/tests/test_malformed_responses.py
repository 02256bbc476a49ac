"""Responses that don't match the grammar of HTTP/1.1 are no answers."""

import asyncio
import contextlib
import unittest
from collections.abc import Awaitable, Callable, Mapping
from unittest import mock

from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError, ResponseFault
from pondpin.relay.log_events import AttemptEnded, LogEvent
from pondpin.standins.local_platform import (
    ENGINES,
    HOST,
    KEY,
    PLAIN,
    LocalPlatform,
    sample_entry,
)
from pondpin.standins.partitions import Cut
from pondpin.standins.scripted_upstream import PART_BYTES, ScriptedUpstream
from pondpin.standins.store_state import UPSTREAMS_PREFIX
from pondpin.tests.response_samples import (
    BARE_LINE_FEEDS,
    CHUNKED,
    CHUNKS,
    CONTRADICTORY_FRAMINGS,
    EVENTS,
    FIRST_EVENT,
    FOLDED_LINES,
    MALFORMED_CHUNKS,
    MALFORMED_FIELD_LINES,
    MALFORMED_STATUS_LINES,
    MALFORMED_TRAILERS,
    SOUND,
    SOUND_CHUNKS,
    SOUND_FIELD_LINES,
    SOUND_FRAMINGS,
    SOUND_STATUS_LINES,
    THROUGH_PEER,
    with_field,
    with_framing,
    with_status_line,
)
from pondpin.tests.support import RelayTest, ask, run_async, the_loop, use_scripted_upstream


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

    def check_served(self, responses: Mapping[bytes, bytes]) -> None:
        """Check that each response is received."""

        async def work(client: HttpClient, upstream: ScriptedUpstream, url: str) -> None:
            for name, response in responses.items():
                upstream.response = response
                with self.subTest(name):
                    answer = await client.call("GET", url, {"x-attempt-id": "a1"}, timeout=2.0)
                    self.assertEqual(answer.body, b"ok")
                    self.assertEqual(answer.headers["x-attempt-id"], "a1")

        self.play(work)

    def test_a_malformed_status_line_is_no_answer(self) -> None:
        self.check_fault(MALFORMED_STATUS_LINES, ResponseFault.STATUS_LINE)

    def test_sound_status_lines_are_served(self) -> None:
        self.check_served(SOUND_STATUS_LINES)

    def test_a_malformed_field_line_is_no_answer(self) -> None:
        self.check_fault(MALFORMED_FIELD_LINES, ResponseFault.FIELD_LINE)

    def test_a_bare_line_feed_ends_no_line(self) -> None:
        self.check_fault(BARE_LINE_FEEDS, ResponseFault.LINE_END)

    def test_a_folded_line_continues_no_field(self) -> None:
        self.check_fault(FOLDED_LINES, ResponseFault.FIELD_LINE)

    def test_contradictory_fields_delimit_no_body(self) -> None:
        self.check_fault(CONTRADICTORY_FRAMINGS, ResponseFault.FRAMING)

    def test_sound_framings_are_served(self) -> None:
        self.check_served(SOUND_FRAMINGS)

    def test_a_malformed_chunk_is_no_part_of_an_answer(self) -> None:
        self.check_fault(MALFORMED_CHUNKS, ResponseFault.CHUNK)

    def test_a_malformed_trailer_ends_no_answer(self) -> None:
        self.check_fault(MALFORMED_TRAILERS, ResponseFault.TRAILER)

    def test_sound_chunks_and_trailers_are_served(self) -> None:
        self.check_served(SOUND_CHUNKS)

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
        self.check_served(SOUND_FIELD_LINES)


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


class TunnelTest(RelayTest):
    instances = 2

    def test_a_malformed_response_through_a_peer_reaches_no_caller(self) -> None:
        for name, response in THROUGH_PEER.items():

            async def work(
                platform: LocalPlatform, name: str = name, response: bytes = response
            ) -> None:
                upstream = await use_scripted_upstream(platform, SOUND)
                platform.cut_from_workers(0, Cut.REFUSE)
                self.assertEqual((await ask(platform, "once", "sound")).status, 200)
                upstream.response = response
                answer = await ask(platform, "once", "malformed")
                with self.subTest(name):
                    self.assertEqual(answer.status, 502)
                    self.assertIn(b"malformed response", answer.body)
                    self.assertEqual(upstream.runs_by_attempt["malformed"], 1)
                await upstream.close()

            self.play(work)


class StreamTest(RelayTest):
    def test_a_malformed_chunk_does_not_complete_a_stream(self) -> None:
        async def work(platform: LocalPlatform) -> None:
            for name in ("engine-0", "engine-1"):
                platform.store.delete(f"{UPSTREAMS_PREFIX}{name}")
            upstream = ScriptedUpstream()
            platform.list_worker("malformed", ENGINES, str(await upstream.listen()), "north")
            table = platform.entries[0].table
            await platform.until(
                lambda: {item.id for item in table.of_service(ENGINES)} == {"malformed"}
            )
            for number, rest in enumerate((b"+5\r\nevent", b"5;=\r\nevent", b"0\r\nno colon\r\n")):
                upstream.response = with_framing(EVENTS, CHUNKED, body=FIRST_EVENT + rest)
                with self.subTest(rest=rest):
                    received = await self.stream(platform, f"s{number}")
                    head, _, body = received.partition(b"\r\n\r\n")
                    self.assertIn(b" 200 ", head.partition(b"\r\n")[0])
                    self.assertIn(b"data: piece 0", body)
                    self.assertFalse(body.endswith(b"0\r\n\r\n"), body)
            await upstream.close()

        self.play(work)

    async def stream(self, platform: LocalPlatform, attempt: str) -> bytes:
        """Request a stream; all that its caller gets."""
        place = platform.callers[0]
        reader, writer = await asyncio.open_connection(place.host, place.port)
        writer.write(
            f"POST /stream/x HTTP/1.1\r\nhost: {HOST}\r\nx-attempt-id: {attempt}\r\n"
            f"x-deadline-ms: 2000\r\nauthorization: Bearer {KEY}\r\nx-token-usage: 500,50\r\n"
            "content-length: 0\r\n\r\n".encode()
        )
        received = b""
        async with asyncio.timeout(5.0):
            with contextlib.suppress(ConnectionResetError):
                while data := await reader.read(PART_BYTES):
                    received += data
        writer.close()
        return received


def read_last_line(response: bytes) -> bytes:
    """The last line of a response's head."""
    return response.partition(b"\r\n\r\n")[0].rpartition(b"\r\n")[2]


if __name__ == "__main__":
    unittest.main()
