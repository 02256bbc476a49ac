"""What a caller was sent of its stream."""

from dataclasses import dataclass

# Fewer ids say nothing of the steps between them.
MIN_CONSECUTIVE_IDS = 2


@dataclass(slots=True)
class PassedEvents:
    """The events that a caller was sent, over all runs of its request.

    numbered: how many had an integer id. jumps: how often an id was not the next integer.
    ends_unnumbered: whether an event without one came last, which a resumption would repeat.
    """

    numbered: int = 0
    jumps: int = 0
    ends_unnumbered: bool = False

    @property
    def is_consecutive(self) -> bool:
        """Whether all ids were consecutive, so that the next one is known."""
        return self.numbered >= MIN_CONSECUTIVE_IDS and not self.jumps

    def record(self, number: int, last: int) -> None:
        """Record an event by its number, -1 without an id; last: the highest number before it."""
        self.ends_unnumbered = number < 0
        if number >= 0:
            self.jumps += self.numbered > 0 and number != last + 1
            self.numbered += 1
