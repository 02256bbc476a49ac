"""Passes what an attempt observes of its upstream to its handler."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pondpin.relay.attempts.run_tracker import Run
from pondpin.relay.call import Progress, RelayCall
from pondpin.relay.choosing.planner import Plan
from pondpin.relay.model import ResponseHead

if TYPE_CHECKING:
    from pondpin.relay.attempts.handler import RelayHandler

# Forecasts of prefills err by a few hundred milliseconds.
PREFILL_SLACK_SECONDS = 0.4


@dataclass(slots=True)
class RequestObserver:
    """See AttemptObserver."""

    handler: "RelayHandler"
    call: RelayCall
    progress: Progress
    plan: Plan
    key: int
    run: Run
    connection: Any = None

    def on_head(self, head: ResponseHead) -> None:
        """See AttemptObserver."""
        self.handler.on_head(self.plan, head, self.run.began)

    def on_first_event(self) -> None:
        """See AttemptObserver."""
        self.run.answered_at = self.handler.clock()
        self.handler.planner.record_first_event(self.plan, self.key)

    def on_data(self, now: float) -> None:
        """See AttemptObserver."""
        self.plan.lead.last_seen_at = self.run.last_data_at = now

    def busy_until(self, now: float) -> float:
        """See AttemptObserver."""
        return self.plan.lead.prefill_end(now) + PREFILL_SLACK_SECONDS

    async def query_status(self) -> bool:
        """See AttemptObserver."""
        return await self.handler.reports().query_status(self.plan.lead)

    def may_retry(self) -> bool:
        """See AttemptObserver."""
        return self.handler.may_retry(self.call, self.progress)

    def withhold_reason(self, connection: Any) -> str:
        """See AttemptObserver."""
        self.connection = connection
        self.progress.path = connection.path
        reason = self.handler.send_checks.withhold_reason(
            self.call, self.progress, self.plan, is_begun=True
        )
        self.run.is_sent = self.progress.is_sent = not reason
        self.run.sent_at = self.handler.clock()
        return reason

    def is_partitioned(self, now: float) -> bool:
        """See AttemptObserver."""
        lead = self.plan.lead
        if lead.ended or lead.needs_probe or self.handler.table.is_partitioned(lead, now):
            return True
        if self.connection is None:
            return False
        return self.handler.connector.is_lost(lead.endpoint, self.connection)
