"""Serves relayed requests."""

import asyncio
import enum
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

from pondpin.clocks import Clock
from pondpin.codes import Code
from pondpin.errors import PondpinError
from pondpin.http_reply import IncomingRequest, Reply
from pondpin.http_server import STOPPING_RETRY_SECONDS
from pondpin.metrics import Metrics
from pondpin.relay.attempts.admission import AdmissionState, Admitted, admit, check_not_behind
from pondpin.relay.attempts.attempt_ends import (
    FIRST_SERVER_ERROR,
    correct_ran,
    helper_at_fault,
    send_refusal,
)
from pondpin.relay.attempts.crash_guard import CrashGuard
from pondpin.relay.attempts.observer import RequestObserver
from pondpin.relay.attempts.placer import Placer
from pondpin.relay.attempts.send_checks import SendChecks
from pondpin.relay.call import AttemptEnd, EndKind, Progress, RelayCall, is_failure
from pondpin.relay.choosing.planner import Plan, Planner, RelayPolicy
from pondpin.relay.choosing.retry_window import RetryBounds, RetryWindow
from pondpin.relay.choosing.routing import pick_service
from pondpin.relay.choosing.stall_timeouts import stall_timeouts_for
from pondpin.relay.log import EventLog
from pondpin.relay.model import RequestMetadata, ResponseHead, Route, RouteKind
from pondpin.relay.paths.connector import UpstreamConnector
from pondpin.relay.ports import Dialect
from pondpin.relay.upstreams.notice_handler import NoticeHandler
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.request_identity import identify

if TYPE_CHECKING:
    from pondpin.relay.attempts.attempt import AttemptRunner
    from pondpin.relay.attempts.passive_health import LoadRecorder, PassiveHealth
    from pondpin.relay.attempts.request_log import RequestLog
    from pondpin.relay.attempts.retries import Retries
    from pondpin.relay.upstreams.leases import LeaseGroup, LeaseManager
    from pondpin.relay.upstreams.reports import ReportClient

# Including attempts that sent nothing.
MAX_ATTEMPTS = 5


class CancelReason(enum.StrEnum):
    """Why an open request is cancelled."""

    CALLER_LEFT = "caller left"
    STOPPING = "instance stops"


@dataclass(eq=False, slots=True)
class ServedRequest:
    """An admitted request and the task that serves it."""

    call: RelayCall
    progress: Progress
    task: "asyncio.Task[None]"
    cancel_reason: CancelReason | None = None

    def cancel(self, reason: CancelReason) -> None:
        """Cancel the task; the first reason counts."""
        self.cancel_reason = self.cancel_reason or reason
        self.task.cancel()


@dataclass
class RelayHandler:
    """Relays the requests of callers."""

    dialect: Dialect
    make_runner: Callable[[], "AttemptRunner"]
    planner: Planner
    placer: Placer
    table: UpstreamTable
    leases: Callable[[], "LeaseManager"]
    reports: Callable[[], "ReportClient"]
    notice_handler: NoticeHandler
    send_checks: SendChecks
    crash_guard: CrashGuard
    policy: RelayPolicy
    admission_state: Callable[[], AdmissionState]
    instance_count: Callable[[], int]
    retry_bounds: Callable[[], RetryBounds]
    log: EventLog
    metrics: Metrics
    clock: Clock
    rng: random.Random
    connector: UpstreamConnector
    refuses_new: Callable[[float], bool] = lambda now: False
    record_load: "LoadRecorder | None" = None

    def __post_init__(self) -> None:
        self.open_requests = 0
        self.served: set[ServedRequest] = set()
        self._windows: dict[str, RetryWindow] = {}

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Serve one request."""
        arrived = self.clock()
        metadata = self.dialect.read_request(incoming.raw_headers)
        route: Route | None = None
        self.open_requests += 1
        try:
            admitted = self._admit(metadata, incoming.path, arrived)
            route = admitted.route
            call = self._make_call(incoming, reply, metadata, admitted, arrived)
            self.window(call.service).record_request(arrived)
            await self._serve_until_disconnect(call)
        except PondpinError as error:
            self.request_log.refused(metadata, route, error, arrived, self.admission_state())
            send_refusal(reply, metadata.attempt_id, error)
        finally:
            self.open_requests -= 1

    def check_head(self, target: bytes, headers: tuple[tuple[bytes, bytes], ...]) -> None:
        """Raise PondpinError for a request that is refused whatever its body is."""
        now, metadata = self.clock(), self.dialect.read_request(headers)
        try:
            self._admit(metadata, target.partition(b"?")[0].decode("latin-1"), now)
        except PondpinError as error:
            self.request_log.refused(metadata, None, error, now, self.admission_state())
            raise

    def _admit(self, metadata: RequestMetadata, path: str, now: float) -> Admitted:
        if self.refuses_new(now):
            raise PondpinError(Code.DRAINING, retry_after=STOPPING_RETRY_SECONDS)
        state = self.admission_state()
        check_not_behind(state)
        return admit(state, metadata, path, now)

    def _make_call(
        self,
        incoming: IncomingRequest,
        reply: Reply,
        metadata: RequestMetadata,
        admitted: Admitted,
        arrived: float,
    ) -> RelayCall:
        return RelayCall(
            incoming=incoming,
            reply=reply,
            metadata=metadata,
            route=admitted.route,
            service=pick_service(admitted.route.shares, self.rng.random()),
            account=admitted.account,
            rank=admitted.rank,
            configuration=admitted.configuration,
            arrived_at=arrived,
            deadline=arrived + admitted.timeout,
            identity=identify(
                self.crash_guard.identity_key,
                admitted.account,
                metadata.host,
                incoming.target,
                incoming.body,
            ),
        )

    async def _serve_until_disconnect(self, call: RelayCall) -> None:
        """Serve a request; cancel it if its caller disconnects, unless it must not be repeated.

        A request may be read long after its caller disconnected: yielding once reads the close that
        follows it, before the request is sent on an idle connection.
        """
        await asyncio.sleep(0)
        if call.reply.is_closed:
            self.request_log.caller_disconnected(call)
            return
        progress = Progress(last_event_number=call.resume_event_number)
        task = asyncio.get_running_loop().create_task(self._serve(call, progress))
        served = ServedRequest(call, progress, task)
        self.served.add(served)
        if call.route.kind is not RouteKind.UNSAFE:
            call.reply.on_disconnect = lambda: served.cancel(CancelReason.CALLER_LEFT)
        try:
            await task
        except asyncio.CancelledError:
            if served.cancel_reason is None:
                task.cancel()
                raise
            if served.cancel_reason is CancelReason.CALLER_LEFT:
                self.request_log.caller_disconnected(call)
                return
            from pondpin.relay.attempts.shutdown import stop_error

            if call.reply.started:
                call.reply.truncate()
            raise stop_error(call, progress, self.clock()) from None
        finally:
            self.served.discard(served)

    async def _serve(self, call: RelayCall, progress: Progress) -> None:
        try:
            await self._serve_by_attempts(call, progress)
        finally:
            self.placer.release_permit(progress)
            self.placer.end_slot(call, progress)

    async def _serve_by_attempts(self, call: RelayCall, progress: Progress) -> None:
        while True:
            try:
                end = await self._attempt(call, progress)
            except PondpinError as error:
                raise correct_ran(error, progress) from None
            self.placer.release_permit(progress)
            progress.may_have_run = progress.may_have_run or end.may_have_run
            progress.is_sent = False
            progress.sends += end.was_sent
            if end.kind is EndKind.DONE:
                self._finish_stream(call, progress, end)
                return
            reason = self.retries.final_reason(call, progress, end)
            self.request_log.attempt_ended(call, progress, end, reason)
            if not reason:
                continue
            if end.response is not None and not progress.head_sent:
                self._send_whole(call, progress, end)
                return
            raise self.retries.final_error(call, progress, end, reason)

    async def _attempt(self, call: RelayCall, progress: Progress) -> AttemptEnd:
        plan, group = await self.placer.place(call, progress)
        key = self.planner.begin_attempt(call, progress, plan)
        renewal = self._keep_leases(group, plan, progress)
        progress.last_upstream, progress.last_life = plan.lead.id, plan.lead.life
        began = self.clock()
        run = self.crash_guard.begin(call, progress, plan)
        is_plain = call.metadata.prompt_tokens <= 0
        plain_run = self.placer.run_times.begin(call.route.name, began) if is_plain else None
        end: AttemptEnd | None = None
        try:
            self.send_checks.check_key(call)
            progress.attempts += 1
            self.request_log.placed(call, progress, plan, group, self.admission_state())
            end = await self.runner.run(
                call,
                plan,
                group.places if group is not None else plan.helper_endpoints,
                progress,
                stall_timeouts_for(call, plan, self.policy, self.may_retry(call, progress)),
                RequestObserver(self, call, progress, plan, key, run),
            )
        except BaseException:
            self.crash_guard.abandon(run)
            raise
        finally:
            self.planner.end_attempt(plan, key)
            answered = end is not None and end.kind is EndKind.ANSWERED
            self.placer.end_slot(call, progress, self.clock() - began if answered else None)
            if plain_run is not None:
                self.placer.run_times.end(plain_run, answered, self.clock())
            if renewal is not None and group is not None:
                renewal.cancel()
                self.leases().release(group)
        if group is not None and end.response_end is not None:
            end.response_end.record_leases(group)
        try:
            end = await self.crash_guard.finish(call, plan, end, run)
            self.request_log.response_ended(progress, end)
        finally:
            # The check shows whether the own link broke.
            blames_upstream = not is_failure(end) or self.retries.blames_upstream(
                plan, end, progress
            )
            self._health.observe_end(plan, end, began, blames_upstream)
        helper = helper_at_fault(plan, end)
        if helper is not None:
            progress.tried_lives |= {helper.life}
        await self.crash_guard.wait_for_exoneration(call, progress, end)
        return end

    def _keep_leases(
        self, group: "LeaseGroup | None", plan: Plan, progress: Progress
    ) -> "asyncio.Future[None] | None":
        if group is None or plan.choice is None:
            return None
        before = progress.events
        first_event = plan.choice.first_event_seconds
        keeping = self.leases().keep_alive(group, first_event, lambda: progress.events > before)
        return asyncio.ensure_future(keeping)

    def may_retry(self, call: RelayCall, progress: Progress) -> bool:
        """Whether another attempt could follow this one now."""
        if progress.sends + 1 >= call.route.max_attempts or progress.attempts >= MAX_ATTEMPTS:
            return False
        if progress.suspected:
            # It may still be running, and a suspect runs at one upstream at a time.
            return False
        try:
            self.send_checks.check_key(call)
        except PondpinError:
            # The reason is logged when the request ends.
            return False
        return self.window(call.service).has_budget(self.clock(), self.instance_count())

    def on_head(self, plan: Plan, head: ResponseHead, sent_at: float) -> None:
        """Handle the head of a response."""
        self._health.observe_head(plan, head, sent_at)

    def _send_whole(self, call: RelayCall, progress: Progress, end: AttemptEnd) -> None:
        response = end.response
        assert response is not None, "only answered attempts are sent whole"
        progress.first_event_at = self.clock()
        call.reply.send_raw(response.status, response.headers, response.body)
        code = Code.OK if response.status < FIRST_SERVER_ERROR else Code.UPSTREAM_REFUSED
        self.request_log.ended(call, progress, response.status, code, end.response_end)

    def _finish_stream(self, call: RelayCall, progress: Progress, end: AttemptEnd) -> None:
        call.reply.finish()
        self.request_log.ended(call, progress, 200, Code.OK, end.response_end)

    @cached_property
    def request_log(self) -> "RequestLog":
        """Imported with the first request."""
        from pondpin.relay.attempts.request_log import RequestLog

        return RequestLog(self.log, self.metrics, self.clock)

    @cached_property
    def runner(self) -> "AttemptRunner":
        """Loaded with the first attempt."""
        return self.make_runner()

    @cached_property
    def _health(self) -> "PassiveHealth":
        """Imported with the first response."""
        from pondpin.relay.attempts.passive_health import PassiveHealth

        return PassiveHealth(
            self.table,
            self.notice_handler,
            self.metrics,
            self.log,
            self.clock,
            self.record_load,
        )

    @cached_property
    def retries(self) -> "Retries":
        """Imported with the first plain response or failed attempt."""
        from pondpin.relay.attempts.retries import Retries

        return Retries(self)

    def expire(self) -> None:
        """Drop records that are too old to matter."""
        self.planner.expire()
        self.placer.run_times.expire(self.clock())

    def window(self, service: str) -> RetryWindow:
        """The retry budget of a service."""
        window = self._windows.get(service)
        if window is None:
            window = RetryWindow(self.retry_bounds())
            self._windows[service] = window
        return window
