"""Boundaries and ids of server-sent events, by the WHATWG's HTML standard, section 9.2."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from pondpin.relay.attempts.events import Event, EventSplitter

BOM = b"\xef\xbb\xbf"
LINE_ENDS = (b"\n", b"\r", b"\r\n")
# A CR and an LF in a row are one line end, and after a CRLF the LF of another one is awaited.
CLOSING = [a + b for a in LINE_ENDS for b in LINE_ENDS if a + b not in (b"\r\n", b"\r\n\r")]


def split(data: bytes, size: int = 1) -> list[Event]:
    """Feed data in parts of a size."""
    splitter = EventSplitter()
    parts = (data[start : start + size] for start in range(0, len(data), size))
    return [event for part in parts for event in splitter.feed(part)]


def first_number(data: bytes) -> int:
    return split(data, len(data))[0].number


class LineEndTest(unittest.TestCase):
    @given(st.lists(st.sampled_from(CLOSING), min_size=4, max_size=4), st.integers(1, 9))
    def test_each_line_end_closes_events(self, closings: list[bytes], size: int) -> None:
        events = (b"id: %d\ndata: x" % number for number in range(1, 5))
        text = b"".join(event + end for event, end in zip(events, closings, strict=True))
        splitter = EventSplitter()
        found = []
        for start in range(0, len(text), size):
            found += splitter.feed(text[start : start + size])
        self.assertEqual([item.number for item in found if item.has_data], [1, 2, 3, 4])
        self.assertEqual(b"".join(item.data for item in found) + splitter.rest, text)
        self.assertFalse(splitter.has_partial)

    def test_event_that_ends_with_cr_is_not_held_back(self) -> None:
        found = EventSplitter().feed(b"id: 1\rdata: x\r\r")
        self.assertEqual([item.number for item in found], [1])

    def test_crlf_is_not_an_empty_line(self) -> None:
        self.assertEqual(EventSplitter().feed(b"id: 1\r\ndata: x\r\n"), [])

    def test_cr_after_a_crlf_closes_an_event_with_the_next_byte(self) -> None:
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\r\ndata: x\r\n\r"), [])
        self.assertEqual([item.number for item in splitter.feed(b"i")], [1])

    def test_mixed_line_ends_close_an_event(self) -> None:
        self.assertEqual(first_number(b"id: 1\ndata: x\n\r\n"), 1)


class IdTest(unittest.TestCase):
    def test_byte_order_mark_does_not_hide_the_first_id(self) -> None:
        self.assertEqual(first_number(BOM + b"id: 1\ndata: x\n\n"), 1)

    def test_byte_order_mark_is_only_skipped_at_the_start(self) -> None:
        found = split(b"id: 1\ndata: x\n\n" + BOM + b"id: 2\ndata: x\n\n", 100)
        self.assertEqual([item.number for item in found], [1, -1])

    def test_last_of_several_ids_counts(self) -> None:
        self.assertEqual(first_number(b"id: 1\nid: 2\ndata: x\n\n"), 2)

    def test_id_with_nul_is_ignored(self) -> None:
        self.assertEqual(first_number(b"id: 1\nid: 2\0\ndata: x\n\n"), 1)

    def test_id_that_is_not_sent_back_as_written_is_no_number(self) -> None:
        values = [b"", b" ", b" 007", b"  7", b" 7 ", b" +7", b" -7", b" 7.0", b" " + b"9" * 5000]
        for value in [*values, " ٣".encode()]:
            with self.subTest(value=value[:9]):
                self.assertEqual(first_number(b"id:" + value + b"\ndata: x\n\n"), -1)

    def test_id_without_a_space_is_a_number(self) -> None:
        self.assertEqual(first_number(b"id:0\ndata: x\n\n"), 0)

    def test_comment_carries_no_data(self) -> None:
        event = split(b": id: 3\nretry: 1000\n\n", 100)[0]
        self.assertEqual((event.number, event.has_data), (-1, False))

    def test_data_of_several_lines_is_one_event(self) -> None:
        found = split(b"data\ndata: id: 3\nid: 4\n\n")
        self.assertEqual([(item.number, item.has_data) for item in found], [(4, True)])


if __name__ == "__main__":
    unittest.main()
