"""Forwards the events of a stream to its caller."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from pondpin.body_ends import BodyEnd
from pondpin.clocks import Clock
from pondpin.http_streams import ResponseStream
from pondpin.relay.attempts.event_order import EventOrder, OrderFault
from pondpin.relay.attempts.events import Event, EventSplitter
from pondpin.relay.attempts.reading_gaps import ReadingGaps
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.model import ResponseHead
from pondpin.relay.response_ends import ResponseEnd, describe_end


class AttemptObserver(Protocol):
    """Receives what an attempt observes of its upstream, and decides on retries."""

    def on_head(self, head: ResponseHead) -> None:
        """Handle the head of the response."""
        ...

    def on_first_event(self) -> None:
        """Handle the first event."""
        ...

    def on_data(self, now: float) -> None:
        """Handle received data."""
        ...

    def busy_until(self, now: float) -> float:
        """Until when known prefills explain the upstream's silence."""
        ...

    def is_partitioned(self, now: float) -> bool:
        """Whether the upstream is probably unreachable."""
        ...

    async def query_status(self) -> bool:
        """Whether the upstream answers a status query."""
        ...

    def may_retry(self) -> bool:
        """Whether another upstream may still get the request."""
        ...

    def withhold_reason(self, connection: Any) -> str:
        """Why the request must not be sent on a connection now; empty if it may."""
        ...


class EventSink:
    """Forwards complete events to the caller, in order and without duplicates."""

    def __init__(
        self,
        call: RelayCall,
        progress: Progress,
        clock: Clock,
        start_reply: Callable[[], None],
        observer: AttemptObserver,
    ) -> None:
        self._call = call
        self._progress = progress
        self._clock = clock
        self._start_reply = start_reply
        self._observer = observer
        self._splitter = EventSplitter(progress.head_sent)
        self._order = EventOrder(progress)
        self._has_events = False
        self.last_data_at = clock()
        self.fault: OrderFault | None = None
        self.response_end: ResponseEnd | None = None
        self.ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.stream: ResponseStream | None = None
        self.gaps = ReadingGaps(self.last_data_at)

    def pause(self) -> None:
        """Pause reading."""
        self.gaps.pause()
        if self.stream is not None:
            self.stream.pause()

    def resume(self) -> None:
        """Resume reading."""
        self.gaps.resume(self._clock())
        if self.stream is not None:
            self.stream.resume()

    def on_data(self, data: bytes) -> None:
        """Handle a chunk of the body."""
        if self.ended.done():
            return
        self.last_data_at = self._clock()
        self.gaps.poll(self.last_data_at)
        self._observer.on_data(self.last_data_at)
        try:
            events = self._splitter.feed(data)
        except ValueError:
            self._break_off(OrderFault.EVENT_BYTES)
            return
        new, fault = self._order.accept(events, self.last_data_at)
        if new:
            self._pass_on(new)
        if fault is not None:
            self._break_off(fault)

    def _pass_on(self, events: list[Event]) -> None:
        if not self._has_events:
            self._has_events = True
            self._observer.on_first_event()
        self._start_reply()
        self._call.reply.write(b"".join(item.data for item in events))

    def on_end(self, end: BodyEnd) -> None:
        """Handle the end; a partial event at the end means a truncated response."""
        passed = self._progress.passed
        events = passed.numbered if passed is not None else 0
        now = self._clock()
        self.response_end = describe_end(end, now, self.last_data_at, events)
        self.response_end.gap_ended_at = self.gaps.last_end(now)
        if self.ended.done():
            return
        whole = end.may_be_whole and not self._splitter.has_partial
        fault = self._order.find_end_fault() if whole else None
        if fault is not None:
            self._break_off(fault)
            return
        if whole and self._progress.head_sent and self._splitter.rest:
            self._call.reply.write(self._splitter.rest)
        self._finish(whole)

    def _break_off(self, fault: OrderFault) -> None:
        self.fault = fault
        self._finish(False)

    @property
    def rest(self) -> bytes:
        """Empty lines after the last event."""
        return self._splitter.rest

    def _finish(self, whole: bool) -> None:
        if not self.ended.done():
            self.ended.set_result(whole)
