"""Log lines and metrics of each request."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from pondpin.clocks import Clock
from pondpin.codes import Code, Ran
from pondpin.errors import PondpinError
from pondpin.metrics import Metrics
from pondpin.relay.attempts.admission import AdmissionState
from pondpin.relay.call import AttemptEnd, EndKind, Progress, RelayCall
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import (
    AttemptEnded,
    CallerDisconnected,
    Ended,
    Placed,
    Refused,
)
from pondpin.relay.model import RequestMetadata, Route
from pondpin.request_identity import format_identity

if TYPE_CHECKING:
    from pondpin.relay.response_ends import ResponseEnd
    from pondpin.relay.upstreams.leases import LeaseGroup

MILLISECONDS = 1000
UNKNOWN_AGE_SECONDS = 1e6


@dataclass(frozen=True, slots=True)
class RequestLog:
    """Logs and counts requests."""

    log: EventLog
    metrics: Metrics
    clock: Clock

    def ended(
        self,
        call: RelayCall,
        progress: Progress,
        status: int,
        code: Code,
        end: "ResponseEnd | None" = None,
    ) -> None:
        """Record a complete response; end: the upstream's."""
        now = self.clock()
        first = progress.first_event_at if progress.first_event_at is not None else now
        self.log.write(
            Ended(
                request=call.id,
                route=call.route.name,
                status=status,
                upstream=progress.last_upstream,
                attempts=progress.attempts,
                first_ms=round((first - call.arrived_at) * MILLISECONDS),
                total_ms=round((now - call.arrived_at) * MILLISECONDS),
                events=progress.events,
                longest_gap_ms=round(progress.longest_gap * MILLISECONDS),
                prompt_tokens=call.metadata.prompt_tokens,
                target_ms=round(call.route.latency_target * MILLISECONDS),
                gap_target_ms=round(call.route.gap_target * MILLISECONDS),
                path=progress.path,
                response_end=log_fields(end),
            )
        )
        self.metrics.ttft.observe({"class": call.route.kind.value}, first - call.arrived_at)
        self._count(call, code, Ran.RAN)

    def _count(self, call: RelayCall, code: Code, ran: Ran) -> None:
        labels = {"class": call.route.kind.value}
        self.metrics.requests.inc(labels | {"code": str(int(code)), "ran": ran.value})
        self.metrics.duration.observe(labels, self.clock() - call.arrived_at)

    def refused(
        self,
        metadata: RequestMetadata,
        route: Route | None,
        error: PondpinError,
        arrived: float,
        admission: AdmissionState,
    ) -> None:
        """Record a refusal or failure; route is None if none was found."""
        now = self.clock()
        age = admission.proof_age(now)
        self.log.write(
            Refused(
                request=metadata.attempt_id,
                route=route.name if route is not None else "",
                prompt_tokens=metadata.prompt_tokens,
                target_ms=round(route.latency_target * MILLISECONDS) if route is not None else 0,
                code=error.code.name,
                detail=error.detail,
                after_ms=round((now - arrived) * MILLISECONDS),
                proof_age_ms=-1 if age == float("inf") else round(age * MILLISECONDS),
                retry_after=error.retry_after or 0.0,
            )
        )
        labels = {"class": "refused", "code": str(int(error.code)), "ran": error.ran.value}
        self.metrics.requests.inc(labels)

    def caller_disconnected(self, call: RelayCall) -> None:
        """Record that the caller disconnected."""
        after = round((self.clock() - call.arrived_at) * MILLISECONDS)
        line = CallerDisconnected(
            request=call.id,
            route=call.route.name,
            after_ms=after,
            events=0,
            prompt_tokens=call.metadata.prompt_tokens,
            target_ms=round(call.route.latency_target * MILLISECONDS),
        )
        self.log.write(line)
        self._count(call, Code.CALLER_GONE, Ran.UNKNOWN)

    def placed(
        self,
        call: RelayCall,
        progress: Progress,
        plan: Plan,
        group: "LeaseGroup | None",
        admission: AdmissionState,
    ) -> None:
        """Record an attempt about to be sent."""
        now = self.clock()
        load = plan.lead.load(now)
        choice = plan.choice
        self.log.write(
            Placed(
                request=call.id,
                attempt=progress.attempts,
                route=call.route.name,
                version=call.configuration.version,
                proof_age_ms=round(
                    min(admission.proof_age(now), UNKNOWN_AGE_SECONDS) * MILLISECONDS
                ),
                upstream=plan.lead.id,
                in_flight=load.in_flight,
                reading_ms=round(load.prefill_seconds * MILLISECONDS),
                rank=call.rank,
                prompt_tokens=call.metadata.prompt_tokens,
                target_ms=round(call.route.latency_target * MILLISECONDS),
                waited_ms=round((now - call.arrived_at) * MILLISECONDS),
                part_ms=round(choice.part_seconds * MILLISECONDS) if choice is not None else 0,
                candidates=plan.candidate_count,
                first_event_ms=round(choice.first_event_seconds * MILLISECONDS)
                if choice is not None
                else 0,
                loss=round(choice.loss, 3) if choice is not None else 0.0,
                pool=choice.pool_size if choice is not None else 0,
                helpers=tuple(state.id for state in plan.helpers),
                leases=len(group.places) if group is not None else 0,
                resume_after=str(progress.last_event_number) if progress.events else "",
                identity=format_identity(call.identity),
                bar=plan.lead.availability.block_reason(now).value,
                limit=plan.lead.limit,
            )
        )

    def attempt_ended(
        self, call: RelayCall, progress: Progress, end: AttemptEnd, reason: str
    ) -> None:
        """Record a failed attempt; reason: why no other follows, if none does."""
        if end.kind is EndKind.ANSWERED and reason:
            return
        self.log.write(
            AttemptEnded(
                request=call.id,
                attempt=progress.attempts,
                upstream=progress.last_upstream,
                result=end.kind.value,
                detail=end.detail,
                after_ms=round((self.clock() - call.arrived_at) * MILLISECONDS),
                events=progress.events,
                next="final answer" if reason else "elsewhere",
                reason=reason,
                path=progress.path if end.was_sent else "",
                response_end=end.response_end.log_fields()
                if end.response_end is not None
                else None,
            )
        )

    def response_ended(self, progress: Progress, end: AttemptEnd) -> None:
        """Count the end of an upstream's response."""
        if end.response_end is not None:
            path = "peer" if progress.path else "direct"
            self.metrics.response_ends.inc(end.response_end.labels | {"path": path})


def log_fields(end: "ResponseEnd | None") -> msgspec.Struct | None:
    """The log fields of a response's end."""
    return end.log_fields() if end is not None else None
