"""Applies published updates to the instance and logs them."""

from collections.abc import Callable
from dataclasses import dataclass

from pondpin.clocks import Clock
from pondpin.http_client import HttpClient
from pondpin.http_server import WebServer
from pondpin.metrics import Metrics
from pondpin.relay.attempts.admission import AdmissionState
from pondpin.relay.caller_limits import caller_limits
from pondpin.relay.log import EventLog
from pondpin.relay.log_events import (
    ConfigurationApplied,
    FreshnessChanged,
    PublishedRejected,
    UpstreamLeaving,
)
from pondpin.relay.model import RelayConfiguration
from pondpin.relay.published.documents import DocumentKind
from pondpin.relay.published.publication import ListChange, Publication
from pondpin.relay.published.reports import Report
from pondpin.relay.upstreams.table import Restart, UpstreamTable

MILLISECONDS = 1000.0


@dataclass
class PublicationHandler:
    """Handles a new configuration, a new list, and a proof that becomes too old."""

    table: UpstreamTable
    publication: Publication
    caller_server: WebServer
    http: HttpClient
    metrics: Metrics
    log: EventLog
    clock: Clock
    memory_mebibytes: Callable[[], int]
    update_cold_starts: Callable[[RelayConfiguration], None]
    fresh: bool | None = None

    def apply_configuration(self, configuration: RelayConfiguration) -> None:
        """Apply a new configuration's limits and log it."""
        self.caller_server.limits = caller_limits(self.memory_mebibytes(), configuration)
        self.caller_server.set_idle_timeout(self.caller_server.limits.idle_seconds)
        rates = [item.cold_rate for item in configuration.services_by_name.values()]
        if self.table.cold_starts is not None or any(rates):
            self.update_cold_starts(configuration)
        self.metrics.revision.set({}, configuration.version)
        seen_at = self.publication.newer_seen_at
        behind = 0.0 if seen_at is None else self.clock() - seen_at
        self.log.write(
            ConfigurationApplied(
                version=configuration.version,
                epoch=self.publication.in_force.epoch,
                revision=self.publication.revision,
                routes=sum(len(found) for found in configuration.routes_by_host.values()),
                accounts=len(set(configuration.accounts_by_key.values())),
                behind_ms=int(behind * MILLISECONDS),
                alone=not self.publication.peers_seen,
            )
        )

    def apply_list(self, change: ListChange) -> None:
        """Apply a changed list of upstreams."""
        now, cold_starts = self.clock(), self.table.cold_starts
        changes = self.table.apply_list(change.listed, change.removed_ids, now)
        if cold_starts is not None:
            cold_starts.observe_list(change.listed, self.publication.previous_list_at, now)
        for name in changes.leaving:
            self.metrics.leavings.inc({"source": "list"})
            self.log.write(UpstreamLeaving(upstream=name, source="list"))
        for restart in changes.restarted:
            self._record_restart(restart)

    def _record_restart(self, restart: Restart) -> None:
        from pondpin.relay.upstreams.restarts import handle_restart

        handle_restart(restart, self.table, self.http, self.log, self.clock())

    def log_report(self, report: Report) -> None:
        """Log a report of the publication; the code is loaded at the first one."""
        from pondpin.relay.published.source_events import log_report

        log_report(report, self.publication.in_force, self.metrics, self.log)

    def log_rejected(self, kind: DocumentKind, key: str, reason: str) -> None:
        """Log an invalid published value."""
        if kind is DocumentKind.CONFIGURATION:
            self.metrics.configurations.inc({"source": "platform", "result": "refused"})
        else:
            self.metrics.entries_refused.inc({})
        self.log.write(PublishedRejected(key=key, reason=reason))

    def log_freshness(self, state: AdmissionState) -> None:
        """Log when API keys begin or cease to be accepted."""
        now = self.clock()
        age, fresh = state.proof_age(now), state.accepts_keys(now)
        if fresh != self.fresh:
            self.fresh = fresh
            age_seconds = -1.0 if age == float("inf") else round(age, 3)
            revision = self.publication.revision
            self.log.write(FreshnessChanged(fresh=fresh, age=age_seconds, revision=revision))
