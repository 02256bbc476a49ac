"""Types of the two clocks: seconds of the steady clock, and seconds since the epoch."""

from collections.abc import Callable

Clock = Callable[[], float]
WallClock = Callable[[], float]
