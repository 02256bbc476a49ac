"""The structured log on standard output: bounded and non-blocking."""

import os
from collections import deque

import msgspec

from pondpin.clocks import Clock, WallClock
from pondpin.relay.log_events import ROUTINE_EVENTS, LinesDropped, LogEvent

# Lines a second. The reserve is for all events that aren't routine, such as refusals and errors.
ROUTINE_PER_SECOND = 300
RESERVE_PER_SECOND = 200
MAX_QUEUED_LINES = 2000
# Bytes kept when the reader of the pipe is slow.
MAX_UNWRITTEN_BYTES = 1 << 20


class EventLog:
    """Encodes events at once and writes them in batches to a non-blocking descriptor."""

    def __init__(self, instance: str, clock: Clock, wall_clock: WallClock, fd: int) -> None:
        self._instance = instance
        self._clock = clock
        self._wall_clock = wall_clock
        self._fd = fd
        self._queue: deque[bytes] = deque()
        self._unwritten = b""
        self._second = 0
        self._lines = 0
        self._dropped_routine = 0
        self._dropped_important = 0
        self.dropped = 0

    def open(self) -> None:
        """Make the descriptor non-blocking."""
        os.set_blocking(self._fd, False)

    def write(self, event: LogEvent) -> None:
        """Queue an event, or drop it when the rate limit of its kind or the queue is exhausted."""
        routine = isinstance(event, ROUTINE_EVENTS)
        self._start_second()
        limit = ROUTINE_PER_SECOND if routine else ROUTINE_PER_SECOND + RESERVE_PER_SECOND
        if self._lines >= limit or self._is_full():
            self._count_dropped(routine)
            return
        self._lines += 1
        self._queue.append(self._encode(event))

    def _is_full(self) -> bool:
        return len(self._queue) >= MAX_QUEUED_LINES or len(self._unwritten) >= MAX_UNWRITTEN_BYTES

    def _count_dropped(self, routine: bool) -> None:
        self.dropped += 1
        if routine:
            self._dropped_routine += 1
        else:
            self._dropped_important += 1

    def _encode(self, event: LogEvent) -> bytes:
        times = {"time": round(self._wall_clock(), 3), "steady": round(self._clock(), 3)}
        head = msgspec.json.encode(times | {"instance": self._instance})
        return head[:-1] + b"," + msgspec.json.encode(event)[1:] + b"\n"

    def _start_second(self) -> None:
        second = int(self._clock())
        if second == self._second:
            return
        self._second = second
        self._lines = 0
        if self._dropped_routine or self._dropped_important:
            line = LinesDropped(routine=self._dropped_routine, important=self._dropped_important)
            self._dropped_routine = self._dropped_important = 0
            self._queue.append(self._encode(line))

    def flush(self) -> None:
        """Write what fits and keep the rest for the next call."""
        data = self._unwritten + b"".join(self._queue)
        self._queue.clear()
        if not data:
            return
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader closed the pipe; the instance serves on without a log.
            self.dropped += data.count(b"\n")
            written = len(data)
        self._unwritten = data[written:]
