"""One attempt at an upstream."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from pondpin.body_ends import BodyEnd
from pondpin.clocks import Clock
from pondpin.http_client import HttpClient, RawRequest
from pondpin.http_streams import (
    CallFailedError,
    ResponseStream,
    StreamedResponse,
    WithheldError,
)
from pondpin.relay.attempts.events import EventSplitter
from pondpin.relay.call import (
    AttemptEnd,
    BufferedResponse,
    EndKind,
    Progress,
    RelayCall,
)
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.choosing.stall_timeouts import StallTimeouts
from pondpin.relay.model import ResponseHead
from pondpin.relay.ports import Dialect, ForwardMetadata, PartAssignment
from pondpin.relay.response_ends import ResponseEnd, describe_end

OK = 200
# Silence may take this share of the caller's timeout; a retry needs the rest.
MAX_SILENCE_SHARE = 0.85
# Interval of checks during silence, and the stall timeout at a partitioned upstream.
POLL_SECONDS = 0.25
PARTITION_SECONDS = 0.5
FIRST_FAILURE = 300


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
        self._splitter = EventSplitter()
        self._has_events = False
        self.last_data_at = clock()
        self.response_end: ResponseEnd | None = None
        self.ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.stream: ResponseStream | None = None

    def on_data(self, data: bytes) -> None:
        """Handle a chunk of the body."""
        self.last_data_at = self._clock()
        self._observer.on_data(self.last_data_at)
        try:
            events = self._splitter.feed(data)
        except ValueError:
            self._finish(False)
            return
        new = [item for item in events if self._is_new(item.number)]
        if not new:
            return
        if not self._has_events:
            self._has_events = True
            self._observer.on_first_event()
        self._start_reply()
        for item in new:
            self._progress.record_event(item.number, self.last_data_at)
        self._call.reply.write(b"".join(item.data for item in new))

    def _is_new(self, number: int) -> bool:
        return number < 0 or number > self._progress.last_event_number

    def on_end(self, end: BodyEnd) -> None:
        """Handle the end; a partial event at the end means a truncated response."""
        self.response_end = describe_end(
            end, self._clock(), self.last_data_at, self._progress.events
        )
        self._finish(end.may_be_whole and not self._splitter.has_partial)

    def _finish(self, whole: bool) -> None:
        if not self.ended.done():
            self.ended.set_result(whole)


class AttemptRunner:
    """Runs attempts over HTTP."""

    def __init__(self, http: HttpClient, dialect: Dialect, clock: Clock) -> None:
        self._http = http
        self._dialect = dialect
        self._clock = clock

    async def run(
        self,
        call: RelayCall,
        plan: Plan,
        parts: tuple[PartAssignment, ...],
        progress: Progress,
        timeouts: StallTimeouts,
        observer: AttemptObserver,
    ) -> AttemptEnd:
        """Run the attempt. Raises only on cancellation, which drops the connection."""
        began = self._clock()
        exact = self._exact_call(call, plan, parts, progress, began)
        try:
            # A call that must not be repeated gets a new connection: if that fails, nothing was
            # sent. So does a second try, as idle connections may have been reset together.
            fresh = not call.route.idempotent or progress.sends > 0
            start = await self._wait_for_head(call, exact, fresh, timeouts, observer, began)
        except WithheldError as error:
            return AttemptEnd(EndKind.WITHHELD, str(error))
        except CallFailedError as error:
            kind = EndKind.BROKEN if error.sent else EndKind.NOT_SENT
            return AttemptEnd(
                kind,
                str(error),
                connection_refused=error.refused,
                unconfirmed=error.unconfirmed,
                fault=error.fault,
            )
        if start is None:
            return AttemptEnd(EndKind.STALLED, "no answer in time")
        head = self._dialect.read_head(start.status, start.raw_headers)
        observer.on_head(head)
        fault = self._check_head(call, head)
        if fault:
            start.abort()
            return AttemptEnd(EndKind.INVALID, fault)
        if head.is_event_stream and head.status == OK:
            return await self._relay_events(call, start, head, progress, timeouts, observer, began)
        return await self._read_whole(call, start, head, began)

    async def _wait_for_head(
        self,
        call: RelayCall,
        exact: RawRequest,
        fresh: bool,
        timeouts: StallTimeouts,
        observer: AttemptObserver,
        began: float,
    ) -> StreamedResponse | None:
        """Send and wait for the head; None if it stalled or the deadline passed."""
        opening = asyncio.ensure_future(self._http.open_raw(exact, fresh, observer.withhold_reason))
        try:
            while True:
                left = self._stall_time_left(call, timeouts.first_event_seconds, began, observer)
                if left <= 0:
                    return None
                done, _ = await asyncio.wait((opening,), timeout=min(left, POLL_SECONDS))
                if done:
                    return opening.result()
                if await self._is_unresponsive(timeouts, observer, began):
                    return None
        finally:
            opening.cancel()

    def _exact_call(
        self,
        call: RelayCall,
        plan: Plan,
        parts: tuple[PartAssignment, ...],
        progress: Progress,
        now: float,
    ) -> RawRequest:
        listed = plan.lead.listed
        resume = str(progress.last_event_number) if progress.events else ""
        sent = ForwardMetadata(
            upstream=listed.id,
            account=call.account,
            seconds_left=call.deadline - now,
            rank=call.rank,
            resume_after=resume if progress.last_event_number >= 0 else "",
            parts=parts,
        )
        headers = self._dialect.forward_headers(call.incoming.raw_headers, sent)
        return RawRequest(
            host=listed.host,
            port=listed.port,
            method=call.incoming.method.encode("latin-1"),
            target=call.incoming.target,
            headers=tuple(headers),
            body=call.incoming.body,
        )

    async def _is_unresponsive(
        self, timeouts: StallTimeouts, observer: AttemptObserver, since: float
    ) -> bool:
        if timeouts.query_seconds is None or self._clock() - since < timeouts.query_seconds:
            return False
        return not await observer.query_status() and observer.may_retry()

    def _stall_time_left(
        self, call: RelayCall, limit: float | None, since: float, observer: AttemptObserver
    ) -> float:
        """Seconds until an attempt counts as stalled, or to the deadline if it can't be retried.

        By then the key may have been revoked, or the retry budget spent.
        """
        if limit is None:
            return self._time_left(call, None, since)
        timeout = self._stall_timeout(call, since, limit, observer)
        left = self._time_left(call, timeout, since)
        if left <= 0 and not observer.may_retry():
            return self._time_left(call, None, since)
        return left

    def _time_left(self, call: RelayCall, timeout: float | None, since: float) -> float:
        left = max(0.0, call.deadline - self._clock())
        if timeout is None:
            return left
        return min(left, max(0.0, since + timeout - self._clock()))

    def _check_head(self, call: RelayCall, head: ResponseHead) -> str:
        if head.attempt_id and head.attempt_id != call.id:
            return f"an answer to {head.attempt_id}"
        if head.status < FIRST_FAILURE and not head.attempt_id:
            return "a success without the request's id"
        if head.status < FIRST_FAILURE and not head.signed:
            return "a success without a signature"
        return ""

    async def _read_whole(
        self, call: RelayCall, start: StreamedResponse, head: ResponseHead, began: float
    ) -> AttemptEnd:
        try:
            body = await asyncio.wait_for(start.read(), self._time_left(call, None, began))
        except CallFailedError as error:
            return AttemptEnd(EndKind.BROKEN, str(error), fault=error.fault)
        except TimeoutError:
            return AttemptEnd(EndKind.STALLED, "the answer stopped")
        if head.not_executed:
            return AttemptEnd(
                EndKind.NOT_EXECUTED, f"status {head.status}", failed_endpoint=head.failed_endpoint
            )
        response = BufferedResponse(head.status, head.headers, body)
        now = self._clock()
        end = describe_end(start.body_end, now, now) if start.body_end is not None else None
        return AttemptEnd(EndKind.ANSWERED, response=response, response_end=end)

    async def _relay_events(
        self,
        call: RelayCall,
        start: StreamedResponse,
        head: ResponseHead,
        progress: Progress,
        timeouts: StallTimeouts,
        observer: AttemptObserver,
        began: float,
    ) -> AttemptEnd:
        def start_reply() -> None:
            if not progress.head_sent:
                progress.head_sent = True
                call.reply.start_raw(head.status, head.headers)

        sink = EventSink(call, progress, self._clock, start_reply, observer)
        sink.last_data_at = began
        stream = start.deliver(sink)
        sink.stream = stream
        call.reply.attach_source(stream)
        try:
            whole = await self.wait_for_end(call, sink, progress, timeouts, observer)
        finally:
            call.reply.detach_source()
            if not sink.ended.done() or not sink.ended.result():
                stream.abort()
        if whole is None:
            return AttemptEnd(EndKind.STALLED, "no event in time")
        if not whole:
            return AttemptEnd(
                EndKind.BROKEN, "the stream broke off", response_end=sink.response_end
            )
        start_reply()
        return AttemptEnd(EndKind.DONE, response_end=sink.response_end)

    async def wait_for_end(
        self,
        call: RelayCall,
        sink: EventSink,
        progress: Progress,
        timeouts: StallTimeouts,
        observer: AttemptObserver,
    ) -> bool | None:
        """Whether the stream is complete; None if it stalled or the deadline passed."""
        before = progress.events
        while True:
            limit = (
                timeouts.first_event_seconds if progress.events == before else timeouts.gap_seconds
            )
            left = self._stall_time_left(call, limit, sink.last_data_at, observer)
            if left <= 0:
                return None
            done, _ = await asyncio.wait((sink.ended,), timeout=min(left, POLL_SECONDS))
            if done:
                return sink.ended.result()
            if await self._is_unresponsive(timeouts, observer, sink.last_data_at):
                return None

    def _stall_timeout(
        self, call: RelayCall, since: float, limit: float, observer: AttemptObserver
    ) -> float:
        now = self._clock()
        if observer.is_partitioned(now):
            return min(limit, PARTITION_SECONDS)
        busy = observer.busy_until(now) - since
        return max(limit, min(busy, MAX_SILENCE_SHARE * call.caller_timeout))
