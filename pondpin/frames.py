"""Binds the frames of a stream to its request, attempt and offset."""

import enum
from dataclasses import dataclass, field
from typing import Protocol

PENDING_LIMIT = 32


class AnswerFrame(Protocol):
    """A frame as an engine's adapter gives it."""

    @property
    def request(self) -> str:
        """The request it belongs to."""
        ...

    @property
    def attempt(self) -> int:
        """The attempt it belongs to."""
        ...

    @property
    def offset(self) -> int:
        """The number of its token in the answer, from 0."""
        ...

    @property
    def text(self) -> str:
        """The token's text."""
        ...

    @property
    def end(self) -> str:
        """Why the answer ended; empty but in the last frame."""
        ...


class Drop(enum.Enum):
    """Why a frame is dropped."""

    FOREIGN = "foreign"
    LATE = "late"
    DUPLICATE = "duplicate"
    AFTER_END = "after end"


class GapError(Exception):
    """Frames are missing and did not come."""


@dataclass
class FrameGate:
    """Lets each frame of one attempt through once and in order of offset."""

    request: str
    attempt: int
    next_offset: int = 0
    ended: bool = False
    pending_by_offset: dict[int, AnswerFrame] = field(default_factory=dict)
    dropped_by_cause: dict[Drop, int] = field(default_factory=dict)

    def take(self, frame: AnswerFrame) -> list[AnswerFrame]:
        """The frames that are now in order, perhaps none; raises GapError.

        A frame ahead of its turn is kept until the ones before it come.
        """
        cause = self._find_fault(frame)
        if cause is not None:
            self.dropped_by_cause[cause] = self.dropped_by_cause.get(cause, 0) + 1
            return []
        if frame.offset != self.next_offset:
            self.pending_by_offset[frame.offset] = frame
            if len(self.pending_by_offset) > PENDING_LIMIT:
                raise GapError
            return []
        ready = [frame]
        self._pass(frame)
        while not self.ended and self.next_offset in self.pending_by_offset:
            following = self.pending_by_offset.pop(self.next_offset)
            self._pass(following)
            ready.append(following)
        return ready

    def _pass(self, frame: AnswerFrame) -> None:
        if frame.end:
            self.ended = True
        else:
            self.next_offset += 1

    def _find_fault(self, frame: AnswerFrame) -> Drop | None:
        if frame.request != self.request or frame.attempt != self.attempt:
            return Drop.FOREIGN
        if self.ended:
            return Drop.AFTER_END
        if frame.offset < self.next_offset:
            return Drop.LATE
        return Drop.DUPLICATE if frame.offset in self.pending_by_offset else None
