"""Checks that the events of all runs of a request are one series."""

import enum
from collections.abc import Iterable

from pondpin.relay.attempts.events import Event
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.passed_events import PassedEvents


class OrderFault(enum.StrEnum):
    """Why a run's events can't be passed on.

    EVENT_BYTES: one is too long. NOT_RISING: an id isn't higher than the one before it.
    After a resumption: LATE: events are missing between those passed on and the first new one.
    OTHER_SERIES: the run has no event with the last id that was passed on. EARLY_END: it ended
    before that event. UNNUMBERED: its first event has no id, so it may be an old one.
    """

    EVENT_BYTES = "event_bytes"
    NOT_RISING = "not_rising"
    LATE = "late"
    OTHER_SERIES = "other_series"
    EARLY_END = "early_end"
    UNNUMBERED = "unnumbered"


class EventOrder:
    """The events of one run, and which of them are new to the caller.

    The run may continue after the last event that the caller has, or start again before it. An
    upstream isn't at fault for a Last-Event-Id that the caller chose, so old events are dropped
    then without further checks.
    """

    def __init__(self, progress: Progress) -> None:
        if progress.passed is None:
            progress.passed = PassedEvents()
        self._progress = progress
        self._passed = progress.passed
        self._after = progress.last_event_number
        self._is_resumed = self._passed.numbered > 0
        self._position = -1
        self._has_new = False

    def accept(self, events: Iterable[Event], now: float) -> tuple[list[Event], OrderFault | None]:
        """Record events; returns those to pass on, up to the first fault."""
        new: list[Event] = []
        for event in events:
            fault = self._find_fault(event)
            if fault is not None:
                return new, fault
            if event.number >= 0:
                self._position = event.number
            if self._is_new(event):
                self._record(event, now)
                new.append(event)
        return new, None

    def find_end_fault(self) -> OrderFault | None:
        """The fault of a run that ends as complete now."""
        is_early = self._is_resumed and 0 <= self._position < self._after
        return OrderFault.EARLY_END if is_early else None

    def _find_fault(self, event: Event) -> OrderFault | None:
        is_first = self._position < 0
        if event.number < 0:
            is_ambiguous = event.has_data and self._is_resumed and is_first
            return OrderFault.UNNUMBERED if is_ambiguous else None
        if event.number <= self._position:
            return OrderFault.NOT_RISING
        if not self._is_resumed or self._has_new or event.number <= self._after:
            return None
        if is_first:
            is_late = self._passed.is_consecutive and event.number != self._after + 1
            return OrderFault.LATE if is_late else None
        return OrderFault.OTHER_SERIES if self._position != self._after else None

    def _is_new(self, event: Event) -> bool:
        if event.number >= 0:
            return event.number > self._after
        return self._position < 0 or self._position >= self._after

    def _record(self, event: Event, now: float) -> None:
        progress = self._progress
        if event.number >= 0 or event.has_data:
            self._passed.record(event.number, progress.last_event_number)
        if event.number >= 0:
            self._has_new = True
            progress.last_event_number = event.number
        if progress.first_event_at is None:
            progress.first_event_at = now
        else:
            progress.longest_gap = max(progress.longest_gap, now - progress.last_event_at)
        progress.last_event_at = now
        progress.events += 1


def can_resume(call: RelayCall, progress: Progress) -> bool:
    """Whether another run could continue a stream without repeating what was passed on."""
    passed = progress.passed
    return call.route.resumable and not (passed is not None and passed.ends_unnumbered)
