"""One attempt at an upstream: sends the request, checks the head, passes whole events on."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from pondpin.clocks import Clock
from pondpin.http_client import ExactCall, HttpClient
from pondpin.http_streams import CallFailedError, OpenStream, StreamStart, WithheldError
from pondpin.relay.attempts.events import EventSplitter
from pondpin.relay.call import AttemptEnd, BufferedResponse, EndKind, Progress, RelayCall
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.choosing.stall_timeouts import StallTimeouts
from pondpin.relay.model import ResponseHead
from pondpin.relay.ports import Dialect, ForwardMetadata, PartAssignment

OK = 200
# A caller gives a stream up after its patience; another upstream needs the rest of it.
LONGEST_SHARE = 0.85
# How often a silent stream is looked at, and how long one is waited for that is cut off.
LOOK_SECONDS = 0.25
CUT_SECONDS = 0.5
FIRST_FAILURE = 300


class AttemptObserver(Protocol):
    """Is told what an attempt hears of its upstream."""

    def on_head(self, head: ResponseHead) -> None:
        """The head of the answer came."""
        ...

    def on_first_event(self) -> None:
        """The first event of this attempt came."""
        ...

    def on_data(self, now: float) -> None:
        """Any byte came."""
        ...

    def busy_until(self, now: float) -> float:
        """Until when the upstream's silence is explained by what it is known to read."""
        ...

    def is_partitioned(self, now: float) -> bool:
        """Whether the upstream is probably out of reach."""
        ...

    async def query_status(self) -> bool:
        """Ask the upstream whether it lives."""
        ...

    def may_retry(self) -> bool:
        """Whether another upstream may still take the request."""
        ...

    def withhold_reason(self) -> str:
        """Why the request must not be sent at this moment, empty when it may."""
        ...


class EventSink:
    """Passes the whole events of an answer on to the caller, in order and none twice."""

    def __init__(
        self,
        call: RelayCall,
        progress: Progress,
        clock: Clock,
        begin: Callable[[], None],
        watcher: AttemptObserver,
    ) -> None:
        self._call = call
        self._progress = progress
        self._clock = clock
        self._begin = begin
        self._watcher = watcher
        self._splitter = EventSplitter()
        self._seen = False
        self.last_data_at = clock()
        self.ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.stream: OpenStream | None = None

    def on_data(self, data: bytes) -> None:
        """Take a piece of the body."""
        self.last_data_at = self._clock()
        self._watcher.on_data(self.last_data_at)
        try:
            events = self._splitter.feed(data)
        except ValueError:
            self._finish(False)
            return
        fresh = [item for item in events if self._is_new(item.number)]
        if not fresh:
            return
        if not self._seen:
            self._seen = True
            self._watcher.on_first_event()
        self._begin()
        for item in fresh:
            self._progress.record_event(item.number, self.last_data_at)
        self._call.reply.write(b"".join(item.data for item in fresh))

    def _is_new(self, number: int) -> bool:
        return number < 0 or number > self._progress.last_event_number

    def on_end(self, whole: bool) -> None:
        """Take the end; half an event at the end means that the answer was cut."""
        self._finish(whole and not self._splitter.has_partial)

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
        patience: StallTimeouts,
        watcher: AttemptObserver,
    ) -> AttemptEnd:
        """Make the attempt. Never raises but for cancellation, which drops the connection."""
        began = self._clock()
        exact = self._exact_call(call, plan, parts, progress, began)
        try:
            start = await self._wait_for_head(call, exact, patience, watcher, began)
        except WithheldError as error:
            return AttemptEnd(EndKind.WITHHELD, str(error))
        except CallFailedError as error:
            kind = EndKind.BROKEN if error.sent else EndKind.NOT_SENT
            return AttemptEnd(kind, str(error), connection_refused=error.refused)
        if start is None:
            return AttemptEnd(EndKind.STALLED, "no answer in time")
        head = self._dialect.read_head(start.status, start.raw_headers)
        watcher.on_head(head)
        fault = self._check_head(call, head)
        if fault:
            start.abort()
            return AttemptEnd(EndKind.INVALID, fault)
        if head.is_event_stream and head.status == OK:
            return await self._pass_events(call, start, head, progress, patience, watcher, began)
        return await self._read_whole(call, start, head, began)

    async def _wait_for_head(
        self,
        call: RelayCall,
        exact: ExactCall,
        patience: StallTimeouts,
        watcher: AttemptObserver,
        began: float,
    ) -> StreamStart | None:
        """Send and wait for the head; None when patience or time is over."""
        # A call that may not be repeated gets a new connection: failing to connect then
        # proves that nothing was sent.
        fresh = not call.route.idempotent
        opening = asyncio.ensure_future(
            self._http.open_exact(exact, fresh, watcher.withhold_reason)
        )
        try:
            while True:
                left = self._time_left(call, patience.first_event_seconds, began, watcher)
                if left <= 0:
                    return None
                done, _ = await asyncio.wait((opening,), timeout=min(left, LOOK_SECONDS))
                if done:
                    return opening.result()
                if await self._is_given_up(patience, watcher, began):
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
    ) -> ExactCall:
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
        return ExactCall(
            host=listed.host,
            port=listed.port,
            method=call.incoming.method.encode("latin-1"),
            target=call.incoming.target,
            headers=tuple(headers),
            body=call.incoming.body,
        )

    async def _is_given_up(
        self, patience: StallTimeouts, watcher: AttemptObserver, heard_at: float
    ) -> bool:
        """Ask an upstream that has been silent for long; True when it does not answer and another
        one may take the request.
        """
        if patience.query_seconds is None or self._clock() - heard_at < patience.query_seconds:
            return False
        return not await watcher.query_status() and watcher.may_retry()

    def _time_left(
        self, call: RelayCall, limit: float | None, heard_at: float, watcher: AttemptObserver
    ) -> float:
        """Seconds until an attempt counts as stalled.

        Silence ends it only when another upstream may take the request at that moment: a key may
        have been taken away, or the budget spent, since it was sent.
        """
        if limit is None:
            return self._limit(call, None, heard_at)
        explained = self._explained_limit(call, heard_at, limit, watcher)
        left = self._limit(call, explained, heard_at)
        if left <= 0 and not watcher.may_retry():
            return self._limit(call, None, heard_at)
        return left

    def _limit(self, call: RelayCall, patience: float | None, began: float) -> float:
        left = max(0.0, call.deadline - self._clock())
        if patience is None:
            return left
        return min(left, max(0.0, began + patience - self._clock()))

    def _check_head(self, call: RelayCall, head: ResponseHead) -> str:
        """Why the answer can't belong to the request, empty when it does."""
        if head.attempt_id and head.attempt_id != call.id:
            return f"an answer to {head.attempt_id}"
        if head.status < FIRST_FAILURE and not head.attempt_id:
            return "a success without the request's id"
        if head.status < FIRST_FAILURE and not head.signed:
            return "a success without a signature"
        return ""

    async def _read_whole(
        self, call: RelayCall, start: StreamStart, head: ResponseHead, began: float
    ) -> AttemptEnd:
        try:
            body = await asyncio.wait_for(start.read(), self._limit(call, None, began))
        except CallFailedError as error:
            return AttemptEnd(EndKind.BROKEN, str(error))
        except TimeoutError:
            return AttemptEnd(EndKind.STALLED, "the answer stopped")
        if head.not_executed:
            return AttemptEnd(
                EndKind.NOT_EXECUTED, f"status {head.status}", failed_endpoint=head.failed_endpoint
            )
        answer = BufferedResponse(head.status, head.headers, body)
        return AttemptEnd(EndKind.ANSWERED, response=answer)

    async def _pass_events(
        self,
        call: RelayCall,
        start: StreamStart,
        head: ResponseHead,
        progress: Progress,
        patience: StallTimeouts,
        watcher: AttemptObserver,
        began: float,
    ) -> AttemptEnd:
        def begin() -> None:
            if not progress.head_sent:
                progress.head_sent = True
                call.reply.start_exact(head.status, head.headers)

        sink = EventSink(call, progress, self._clock, begin, watcher)
        sink.last_data_at = began
        stream = start.deliver(sink)
        sink.stream = stream
        call.reply.follow(stream)
        try:
            whole = await self.wait_for_end(call, sink, progress, patience, watcher)
        finally:
            call.reply.unfollow()
            if not sink.ended.done() or not sink.ended.result():
                stream.abort()
        if whole is None:
            return AttemptEnd(EndKind.STALLED, "no event in time")
        if not whole:
            return AttemptEnd(EndKind.BROKEN, "the stream broke off")
        begin()
        return AttemptEnd(EndKind.DONE)

    async def wait_for_end(
        self,
        call: RelayCall,
        sink: EventSink,
        progress: Progress,
        patience: StallTimeouts,
        watcher: AttemptObserver,
    ) -> bool | None:
        """Whether the stream ended whole; None when it stalled or the deadline passed."""
        before = progress.events
        while True:
            limit = (
                patience.first_event_seconds if progress.events == before else patience.gap_seconds
            )
            left = self._time_left(call, limit, sink.last_data_at, watcher)
            if left <= 0:
                return None
            done, _ = await asyncio.wait((sink.ended,), timeout=min(left, LOOK_SECONDS))
            if done:
                return sink.ended.result()
            if await self._is_given_up(patience, watcher, sink.last_data_at):
                return None

    def _explained_limit(
        self, call: RelayCall, heard_at: float, limit: float, watcher: AttemptObserver
    ) -> float:
        """The patience with a silent upstream, by what is known of it."""
        now = self._clock()
        if watcher.is_partitioned(now):
            return min(limit, CUT_SECONDS)
        explained = watcher.busy_until(now) - heard_at
        return max(limit, min(explained, LONGEST_SHARE * call.caller_timeout))
