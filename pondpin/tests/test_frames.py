"""Frames: each once, in order, and only one's own."""

import contextlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.engine_client import FrameReader
from pondpin.engine_protocol import StreamFrame
from pondpin.frames import Drop, FrameGate, GapError
from pondpin.http_streams import CallFailedError


def frame(offset: int, end: str = "", request: str = "r", attempt: int = 0) -> StreamFrame:
    return StreamFrame(request, attempt, offset, "" if end else f"t{offset}", end)


class GateTest(unittest.TestCase):
    def test_foreign_frames_are_dropped_and_counted(self) -> None:
        gate = FrameGate("r", 0)
        self.assertEqual(gate.take(frame(0, request="other")), [])
        self.assertEqual(gate.take(frame(0, attempt=1)), [])
        self.assertEqual(gate.dropped_by_cause, {Drop.FOREIGN: 2})

    def test_a_gap_that_stays_is_an_error(self) -> None:
        gate = FrameGate("r", 0)
        with self.assertRaises(GapError):
            for offset in range(1, 100):
                gate.take(frame(offset))

    @given(
        count=st.integers(1, 20),
        order=st.randoms(use_true_random=False),
        repeats=st.integers(1, 3),
    )
    def test_any_order_with_repeats_gives_the_answer_once(
        self, count: int, order: object, repeats: int
    ) -> None:
        frames = [frame(offset) for offset in range(count)] + [frame(count, "stop")]
        frames = frames * repeats
        order.shuffle(frames)  # type: ignore[attr-defined]
        gate = FrameGate("r", 0)
        passed = [ready for item in frames for ready in gate.take(item)]
        self.assertEqual([item.offset for item in passed], list(range(count + 1)))
        self.assertTrue(gate.ended)


class ReaderTest(unittest.TestCase):
    @given(st.binary(max_size=200))
    def test_any_bytes_are_frames_or_refused(self, data: bytes) -> None:
        with contextlib.suppress(CallFailedError):
            FrameReader().feed(data)

    @given(st.lists(st.integers(1, 40), max_size=30))
    def test_cuts_anywhere_make_no_difference(self, cuts: list[int]) -> None:
        data = b"".join(
            b'data: {"r":"r","a":0,"offset":%d,"text":"x"}\n\n' % offset for offset in range(9)
        )
        reader, found = FrameReader(), []
        for cut in cuts:
            found += reader.feed(data[:cut])
            data = data[cut:]
        found += reader.feed(data)
        self.assertEqual([item.offset for item in found], list(range(9)))
