"""Splits a server-sent event stream into complete events."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event with its closing blank line; number is -1 without an integer id."""

    data: bytes
    number: int


class EventSplitter:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial(self) -> bool:
        """Whether a part of an event is buffered."""
        return bool(self._buffer.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; returns the events completed. Raises ValueError if one is too long."""
        self._buffer += data
        found: list[Event] = []
        while True:
            end = _find_end(self._buffer)
            if end < 0:
                break
            found.append(_make_event(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"event of more than {MAX_EVENT_BYTES} bytes")
        return found


def _find_end(data: bytes) -> int:
    lf = data.find(b"\n\n")
    crlf = data.find(b"\r\n\r\n")
    ends = [end for end in (lf + 2 if lf >= 0 else 0, crlf + 4 if crlf >= 0 else 0) if end]
    return min(ends) if ends else -1


def _make_event(data: bytes) -> Event:
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        text = value.strip()
        if name == b"id" and text.isdigit():
            return Event(data, int(text))
    return Event(data, -1)
