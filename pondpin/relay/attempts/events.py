"""Cuts a server-sent event stream into whole events."""

from dataclasses import dataclass

MAX_EVENT_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event with its closing blank line; number is -1 without a whole-number id."""

    data: bytes
    number: int


class EventSplitter:
    """Collects bytes and gives out whole events; what is left over is half an event."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_partial(self) -> bool:
        """Whether part of an event was received."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes; returns the events that they complete. Raises ValueError when too long."""
        self._rest += data
        found: list[Event] = []
        while True:
            end = _find_end(self._rest)
            if end < 0:
                break
            found.append(_make_event(self._rest[:end]))
            self._rest = self._rest[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return found


def _find_end(data: bytes) -> int:
    plain = data.find(b"\n\n")
    full = data.find(b"\r\n\r\n")
    ends = [end for end in (plain + 2 if plain >= 0 else 0, full + 4 if full >= 0 else 0) if end]
    return min(ends) if ends else -1


def _make_event(data: bytes) -> Event:
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        text = value.strip()
        if name == b"id" and text.isdigit():
            return Event(data, int(text))
    return Event(data, -1)
