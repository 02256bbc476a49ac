"""One attempt at an upstream."""

import asyncio

from pondpin.body_checks import accept_unverified
from pondpin.clocks import Clock
from pondpin.http_client import HttpClient, RawRequest
from pondpin.http_streams import (
    CallFailedError,
    StreamedResponse,
    WithheldError,
)
from pondpin.relay.attempts.event_order import can_resume
from pondpin.relay.attempts.event_sink import AttemptObserver, EventSink
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
from pondpin.relay.response_ends import describe_end

OK = 200
# Silence may take this share of the caller's timeout; a retry needs the rest.
MAX_SILENCE_SHARE = 0.85
# Interval of checks during silence, and the stall timeout at a partitioned upstream.
POLL_SECONDS = 0.25
PARTITION_SECONDS = 0.5
FIRST_FAILURE = 300
NO_TIMEOUTS = StallTimeouts(None, None)


def abort_if_opened(opening: "asyncio.Future[StreamedResponse]") -> None:
    """Reset the connection of a response that is of no use any more."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result().abort()


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
        is_returned = False
        try:
            while True:
                left = self._stall_time_left(call, timeouts.first_event_seconds, began, observer)
                if left <= 0:
                    return None
                done, _ = await asyncio.wait((opening,), timeout=min(left, POLL_SECONDS))
                if done:
                    is_returned = True
                    return opening.result()
                if await self._is_unresponsive(timeouts, observer, began):
                    return None
        finally:
            if not opening.cancel() and not is_returned:
                # The head arrived as the request was given up: its upstream still works on it.
                abort_if_opened(opening)

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
        not_executed = AttemptEnd(
            EndKind.NOT_EXECUTED, f"status {head.status}", failed_endpoint=head.failed_endpoint
        )
        try:
            body = await asyncio.wait_for(
                start.read(close_delimited_if=accept_unverified),
                self._time_left(call, None, began),
            )
        except CallFailedError as error:
            if head.not_executed and error.fault is None:
                return not_executed
            return AttemptEnd(EndKind.BROKEN, str(error), fault=error.fault)
        except TimeoutError:
            return AttemptEnd(EndKind.STALLED, "the answer stopped")
        if head.not_executed:
            return not_executed
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
        call.reply.attach_source(sink)
        try:
            whole = await self.wait_for_end(call, sink, progress, timeouts, observer)
        finally:
            call.reply.detach_source()
            if not sink.ended.done() or not sink.ended.result():
                stream.abort()
        if whole is None:
            return AttemptEnd(EndKind.STALLED, "no event in time")
        if sink.fault is not None:
            return AttemptEnd(EndKind.INVALID, sink.fault, response_end=sink.response_end)
        if not whole:
            fault = sink.response_end.body.fault if sink.response_end is not None else None
            detail = "the stream broke off" if fault is None else fault.description
            return AttemptEnd(EndKind.BROKEN, detail, response_end=sink.response_end, fault=fault)
        if not progress.head_sent:
            # Nothing was sent, so this may still turn out to be incomplete and be retried.
            response = BufferedResponse(head.status, head.headers, sink.rest)
            return AttemptEnd(EndKind.ANSWERED, response=response, response_end=sink.response_end)
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
            is_last = progress.head_sent and not can_resume(call, progress)
            used = NO_TIMEOUTS if is_last else timeouts
            limit = used.first_event_seconds if progress.events == before else used.gap_seconds
            left = self._stall_time_left(call, limit, sink.last_data_at, observer)
            if left <= 0:
                return None
            done, _ = await asyncio.wait((sink.ended,), timeout=min(left, POLL_SECONDS))
            if done:
                return sink.ended.result()
            sink.gaps.poll(self._clock())
            if await self._is_unresponsive(used, observer, sink.last_data_at):
                return None

    def _stall_timeout(
        self, call: RelayCall, since: float, limit: float, observer: AttemptObserver
    ) -> float:
        now = self._clock()
        if observer.is_partitioned(now):
            return min(limit, PARTITION_SECONDS)
        busy = observer.busy_until(now) - since
        return max(limit, min(busy, MAX_SILENCE_SHARE * call.caller_timeout))
