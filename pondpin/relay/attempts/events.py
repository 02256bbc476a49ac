"""Splits a server-sent event stream into complete events."""

import re
from dataclasses import dataclass

MAX_EVENT_BYTES = 1 << 20
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
# A line end and an empty line. After a CRLF the LF of another one is awaited.
EVENT_END = re.compile(rb"\r\n(?:\r\n|\n|\r(?=[^\n]))|(?:(?<!\r)\n|\r(?!\n))(?:\r\n|\n|\r)")
EVENT_END_BYTES = 4
# Sent back in a Last-Event-Id, such an integer is the same text again.
INTEGER_ID = re.compile(rb"0|[1-9][0-9]{0,17}")


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event with its closing blank line; number is -1 without an integer id.

    has_data: whether a caller gets an event from it.
    """

    data: bytes
    number: int
    has_data: bool = True


class EventSplitter:
    """Buffers bytes and returns complete events.

    is_continued: the stream follows another one, so its byte order mark is dropped.
    """

    def __init__(self, is_continued: bool = False) -> None:
        self._is_continued = is_continued
        self._buffer = b""
        self._searched = 0
        self._is_first = True

    @property
    def has_partial(self) -> bool:
        """Whether a part of an event is buffered."""
        return bool(self._buffer.strip())

    @property
    def rest(self) -> bytes:
        """Empty lines after the last event."""
        return b"" if self.has_partial else self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; returns the events completed. Raises ValueError if one is too long."""
        self._buffer += data
        found: list[Event] = []
        while (end := EVENT_END.search(self._buffer, self._searched)) is not None:
            found.append(self._make_event(self._buffer[: end.end()]))
            self._buffer = self._buffer[end.end() :]
            self._searched = 0
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"event of more than {MAX_EVENT_BYTES} bytes")
        self._searched = max(0, len(self._buffer) - EVENT_END_BYTES)
        return found

    def _make_event(self, data: bytes) -> Event:
        text = data.removeprefix(BYTE_ORDER_MARK) if self._is_first else data
        self._is_first = False
        return _parse_event(text if self._is_continued else data, text)


def _parse_event(data: bytes, text: bytes) -> Event:
    number, has_data = -1, False
    for line in text.splitlines():
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and b"\0" not in value:
            number = int(value) if INTEGER_ID.fullmatch(value) else -1
        has_data = has_data or name == b"data"
    return Event(data, number, has_data)
