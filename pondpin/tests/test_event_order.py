"""The order of a stream's events, over the runs of its request."""

import asyncio
import unittest
from dataclasses import dataclass, field, replace
from typing import Any

from pondpin.body_ends import BodyEnd, ConnectionEnd, Framing
from pondpin.relay.attempts.event_sink import EventSink
from pondpin.relay.call import Progress
from pondpin.tests.support import run_async
from pondpin.tests.test_relay_planner import make_call
from pondpin.tests.test_relay_stall_timeouts import ScriptedObserver

WHOLE = BodyEnd(Framing.CHUNKED, ConnectionEnd.OPEN, is_framed=True)
DONE = b"data: [DONE]\n\n"


def events(*numbers: int) -> bytes:
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in numbers)


@dataclass
class Stream:
    """A caller's stream, fed by the runs of its request."""

    resume_after: int = -1
    written: list[bytes] = field(default_factory=list)

    def __post_init__(self) -> None:
        reply: Any = self
        self._call = replace(make_call(5000), reply=reply)
        self.progress = Progress(last_event_number=self.resume_after)

    def write(self, data: bytes) -> None:
        """Receive what the relay writes to the caller."""
        self.written.append(data)

    def run(self, *parts: bytes, is_whole: bool = False) -> bool | None:
        """Play a run; returns whether it was taken for complete, None if it goes on."""
        result: list[bool | None] = []

        async def work() -> None:
            sink = EventSink(
                self._call, self.progress, lambda: 0.0, self._start, ScriptedObserver(True)
            )
            for part in parts:
                sink.on_data(part)
            if is_whole:
                sink.on_end(WHOLE)
            await asyncio.sleep(0)
            result.append(sink.ended.result() if sink.ended.done() else None)

        run_async(work())
        return result[0]

    def _start(self) -> None:
        self.progress.head_sent = True

    @property
    def data(self) -> bytes:
        """All that the caller got."""
        return b"".join(self.written)


class ReadingGapTest(unittest.TestCase):
    def gap_ended_at(self, pauses: bool, resumes: bool) -> float | None:
        """When reading last began again, of a run that ends at 7.0 s."""
        found: list[float | None] = []

        async def work() -> None:
            now = 6.9
            stream = Stream()
            sink = EventSink(
                stream._call, stream.progress, lambda: now, stream._start, ScriptedObserver(True)
            )
            if pauses:
                sink.pause()
            if resumes:
                sink.resume()
            now = 7.0
            sink.on_end(WHOLE)
            assert sink.response_end is not None
            found.append(sink.response_end.gap_ended_at)

        run_async(work())
        return found[0]

    def test_pauses_of_a_slow_caller_are_known_at_the_end(self) -> None:
        self.assertIsNone(self.gap_ended_at(pauses=False, resumes=False))
        self.assertEqual(self.gap_ended_at(pauses=True, resumes=False), 7.0)
        self.assertEqual(self.gap_ended_at(pauses=True, resumes=True), 6.9)


class OneRunTest(unittest.TestCase):
    def check(self, parts: tuple[bytes, ...], passed: bytes) -> None:
        """Check that a run is broken off, and what was passed on of it."""
        for fed in (parts, (b"".join(parts),)):
            with self.subTest(parts=len(fed)):
                stream = Stream()
                self.assertIs(stream.run(*fed), False)
                self.assertEqual(stream.data, passed)

    def test_id_that_goes_back_breaks_the_stream_off(self) -> None:
        self.check((events(1, 2), events(1)), events(1, 2))

    def test_repeated_id_breaks_the_stream_off(self) -> None:
        self.check((events(1, 2), events(2)), events(1, 2))

    def test_nothing_is_passed_on_after_a_stream_was_broken_off(self) -> None:
        self.check((events(1, 2), events(2), events(3)), events(1, 2))

    def test_oversized_event_is_not_passed_on_when_it_ends(self) -> None:
        stream = Stream()
        long = b"id: 2\ndata: " + b"x" * (2 << 20)
        self.assertIs(stream.run(events(1), long, b"\n\n"), False)
        self.assertEqual(stream.data, events(1))

    def test_ids_may_jump_within_a_run(self) -> None:
        stream = Stream()
        self.assertIs(stream.run(events(0, 1, 2, 9), events(30), is_whole=True), True)
        self.assertEqual(stream.data, events(0, 1, 2, 9, 30))

    def test_events_without_ids_pass_unchanged(self) -> None:
        body = b": hello\n\n" + DONE + events(4) + b"event: end\n\n" + DONE
        stream = Stream()
        self.assertIs(stream.run(body, is_whole=True), True)
        self.assertEqual(stream.data, body)

    def test_empty_lines_at_the_end_are_part_of_the_body(self) -> None:
        stream = Stream()
        self.assertIs(stream.run(events(1), b"\n", is_whole=True), True)
        self.assertEqual(stream.data, events(1) + b"\n")

    def test_event_without_its_empty_line_is_not_complete(self) -> None:
        stream = Stream()
        self.assertIs(stream.run(events(1), b"id: 2\ndata: x\n", is_whole=True), False)
        self.assertEqual(stream.data, events(1))


class ResumedRunTest(unittest.TestCase):
    def after(self, *parts: bytes) -> Stream:
        """A stream whose first run broke off."""
        stream = Stream()
        self.assertIsNone(stream.run(*parts))
        stream.written.clear()
        return stream

    def check(self, first: bytes, second: bytes, result: bool, passed: bytes) -> None:
        stream = self.after(first)
        self.assertIs(stream.run(second, is_whole=True), result)
        self.assertEqual(stream.data, passed)

    def test_run_that_continues_is_joined(self) -> None:
        self.check(events(1, 2), events(3, 4), True, events(3, 4))

    def test_run_that_starts_again_is_joined_without_its_old_events(self) -> None:
        self.check(events(1, 2), events(1, 2, 3), True, events(3))

    def test_run_that_starts_in_the_middle_is_joined_without_its_old_events(self) -> None:
        self.check(events(1, 2, 3), events(2, 3, 4), True, events(4))

    def test_run_that_resumes_too_late_is_broken_off(self) -> None:
        self.check(events(1, 2), events(4, 5), False, b"")

    def test_late_resumption_is_told_over_several_runs(self) -> None:
        stream = self.after(events(1, 2))
        self.assertIsNone(stream.run(events(3)))
        self.assertIs(stream.run(events(5), is_whole=True), False)

    def test_ids_that_jumped_before_may_jump_after_a_resumption(self) -> None:
        self.check(events(1, 2, 9), events(17), True, events(17))

    def test_single_event_says_nothing_of_the_steps_of_ids(self) -> None:
        self.check(events(1), events(9), True, events(9))

    def test_run_without_the_event_to_continue_from_is_broken_off(self) -> None:
        self.check(events(1, 5, 9), events(1, 6, 11), False, b"")

    def test_run_that_ends_before_the_passed_events_is_broken_off(self) -> None:
        self.check(events(1, 2, 3), events(1, 2), False, b"")

    def test_run_that_ends_at_the_last_passed_event_is_complete(self) -> None:
        self.check(events(1, 2, 3), events(1, 2, 3), True, b"")

    def test_run_without_events_is_complete(self) -> None:
        self.check(events(1, 2, 3), b"", True, b"")

    def test_ids_that_go_back_among_old_events_break_the_run_off(self) -> None:
        self.check(events(1, 2, 3), events(2, 1, 2, 3, 4), False, b"")

    def test_event_without_an_id_is_not_repeated(self) -> None:
        passed = DONE + events(1, 2)
        self.check(passed, events(1) + DONE + events(2, 3) + DONE, True, events(3) + DONE)

    def test_event_without_an_id_before_any_id_breaks_a_resumed_run_off(self) -> None:
        self.check(events(1, 2), DONE + events(3), False, b"")

    def test_comments_break_no_resumed_run_off(self) -> None:
        self.check(events(1, 2), b": hello\n\n" + events(3), True, b": hello\n\n" + events(3))

    def test_byte_order_mark_of_a_resumed_run_is_dropped(self) -> None:
        self.check(events(1, 2), b"\xef\xbb\xbf" + events(3), True, events(3))

    def test_run_after_comments_alone_starts_anew(self) -> None:
        self.check(b": hello\n\n", DONE + events(7), True, DONE + events(7))


class CallersResumptionTest(unittest.TestCase):
    def check(self, body: bytes, passed: bytes) -> None:
        stream = Stream(resume_after=3)
        self.assertIs(stream.run(body, is_whole=True), True)
        self.assertEqual(stream.data, passed)

    def test_old_events_are_dropped(self) -> None:
        self.check(events(1, 3, 4, 5), events(4, 5))

    def test_ids_need_not_follow_at_once(self) -> None:
        self.check(events(9, 17), events(9, 17))

    def test_stream_may_end_before_the_callers_event(self) -> None:
        self.check(events(1, 2), b"")

    def test_event_without_an_id_passes(self) -> None:
        self.check(DONE, DONE)

    def test_event_without_an_id_among_old_events_is_dropped(self) -> None:
        self.check(events(1) + DONE + events(3, 4), events(4))


if __name__ == "__main__":
    unittest.main()
