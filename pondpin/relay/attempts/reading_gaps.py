"""Times at which a response was not read, so that a silence of its upstream may be hidden."""

# Longer than the time between two polls, with some delay of the event loop.
STALL_SECONDS = 0.5


class ReadingGaps:
    """Pauses by a slow caller, and standstills of the instance, during one response."""

    def __init__(self, now: float) -> None:
        self._polled_at = now
        self._is_paused = False
        self._ended_at: float | None = None

    def pause(self) -> None:
        """Reading is paused."""
        self._is_paused = True

    def resume(self, now: float) -> None:
        """Reading goes on."""
        self._is_paused = False
        self._ended_at = now

    def poll(self, now: float) -> None:
        """Record that the event loop runs; called regularly."""
        if now - self._polled_at >= STALL_SECONDS:
            self._ended_at = now
        self._polled_at = now

    def last_end(self, now: float) -> float | None:
        """When the last gap ended, now if it has not; None without one."""
        self.poll(now)
        return now if self._is_paused else self._ended_at
