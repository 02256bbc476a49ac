"""The structured log on standard output: bounded in lines, and never waited for."""

import os
from collections import deque

import msgspec

from pondpin.clocks import Clock, WallClock
from pondpin.relay.log_events import ROUTINE_EVENTS, LinesDropped, LogEvent

# Lines kept for one second; refusals, errors and beliefs may use the reserve too.
ROUTINE_PER_SECOND = 300
RESERVE_PER_SECOND = 200
QUEUE_LINES = 2000
# Bytes kept for a reader that is slow.
REST_BYTES = 1 << 20


class EventLog:
    """Encodes lines at once and writes them in batches to a descriptor that does not block."""

    def __init__(self, instance: str, clock: Clock, wall_clock: WallClock, fd: int) -> None:
        self._instance = instance
        self._clock = clock
        self._wall_clock = wall_clock
        self._fd = fd
        self._queue: deque[bytes] = deque()
        self._rest = b""
        self._second = 0
        self._lines = 0
        self._dropped_routine = 0
        self._dropped_important = 0
        self.dropped = 0

    def open(self) -> None:
        """Make sure that writing never waits."""
        os.set_blocking(self._fd, False)

    def write(self, event: LogEvent) -> None:
        """Add a line, unless this second has had enough of its kind."""
        routine = isinstance(event, ROUTINE_EVENTS)
        self._turn_second()
        limit = ROUTINE_PER_SECOND if routine else ROUTINE_PER_SECOND + RESERVE_PER_SECOND
        if self._lines >= limit or self._is_full():
            self._count_dropped(routine)
            return
        self._lines += 1
        self._queue.append(self._encode(event))

    def _is_full(self) -> bool:
        return len(self._queue) >= QUEUE_LINES or len(self._rest) >= REST_BYTES

    def _count_dropped(self, routine: bool) -> None:
        self.dropped += 1
        if routine:
            self._dropped_routine += 1
        else:
            self._dropped_important += 1

    def _encode(self, event: LogEvent) -> bytes:
        head = {"time": round(self._wall_clock(), 3), "steady": round(self._clock(), 3)}
        start = msgspec.json.encode(head | {"instance": self._instance})
        return start[:-1] + b"," + msgspec.json.encode(event)[1:] + b"\n"

    def _turn_second(self) -> None:
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
        """Write what fits; the rest waits for the next call, up to the bound of the queue."""
        data = self._rest + b"".join(self._queue)
        self._queue.clear()
        if not data:
            return
        try:
            written = os.write(self._fd, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more; serving goes on without it.
            self.dropped += data.count(b"\n")
            written = len(data)
        self._rest = data[written:]
