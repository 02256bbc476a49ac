"""Metrics of an entry instance; names and units follow Prometheus conventions."""

from collections.abc import Sequence
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

SECONDS_BUCKETS = [
    0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8,
    1.0, 1.5, 2.0, 3.0, 5.0, 8.0, 15.0, 30.0, 60.0, 120.0, 300.0,
]  # fmt: skip


class Metrics:
    """One registry; docs/METRICS.md lists every metric."""

    def __init__(self, instance: str, data_center: str) -> None:
        self.registry = Registry()
        self._common = {"instance": instance, "data_center": data_center}
        self.requests = self._counter(
            "pondpin_requests_total", "Requests that ended, by class, code and outcome."
        )
        self.attempts = self._counter(
            "pondpin_upstream_attempts_total", "Attempts at upstreams, by upstream and result."
        )
        self.responses_over_limit = self._counter(
            "pondpin_responses_over_limit_total",
            "Responses of upstreams that were ended as they exceeded a bound, by bound.",
        )
        self.malformed_responses = self._counter(
            "pondpin_malformed_responses_total",
            "Responses of upstreams that were ended as malformed, by part.",
        )
        self.response_ends = self._counter(
            "pondpin_response_ends_total",
            "Ends of upstreams' responses, by framing, connection, path, evidence and doubt.",
        )
        self.configurations = self._counter(
            "pondpin_configuration_offers_total", "Configurations offered, by source and result."
        )
        self.entries_refused = self._counter(
            "pondpin_upstream_entries_refused_total",
            "Revisions of entries in the published list that name no upstream to use.",
        )
        self.suspected_runs = self._counter(
            "pondpin_suspected_runs_total",
            "Runs of requests that an upstream had ended under before, by service.",
        )
        self.quarantined_requests = self._counter(
            "pondpin_quarantined_requests_total",
            "Requests refused since upstreams ended each time they ran them or a segment of their "
            "prompts, by service and kind of what is held back.",
        )
        self.held_features = self._gauge(
            "pondpin_held_features",
            "Requests and segments of prompts that are suspected or quarantined, by kind.",
        )
        self.segments_left_out = self._counter(
            "pondpin_prompt_segments_left_out_total",
            "Entries of prompts' lists of segments that are invalid or too many.",
        )
        self.rests_requested = self._counter(
            "pondpin_upstream_rests_asked_total",
            "Answers in which upstreams asked this instance for rest.",
        )
        self.leavings = self._counter(
            "pondpin_upstream_leavings_total", "Lives of upstreams found to leave, by source."
        )
        self.retries = self._counter(
            "pondpin_retries_spent_total",
            "Retries taken of the shared budget, by service and by the end before them.",
        )
        self.withheld_attempts = self._counter(
            "pondpin_attempts_withheld_total",
            "Attempts that were planned and not sent, by what held once connected.",
        )
        self.permits = self._counter(
            "pondpin_permits_total",
            "Permits for limited upstreams asked for by requests without another place, by result.",
        )
        self.upstreams_limited = self._gauge(
            "pondpin_upstreams_limited", "Listed upstreams that named a limit for all instances."
        )
        self.upstream_limit = self._gauge(
            "pondpin_upstream_limit",
            "Requests a second that a limited upstream takes from all instances, by upstream.",
        )
        self.upstream_permits = self._gauge(
            "pondpin_upstream_permits",
            "Permits a second of it that this instance hands out, by upstream; 0 elsewhere.",
        )
        self.slot_grants = self._counter(
            "pondpin_slot_grants_total",
            "Slots of contended upstreams that this instance asked for, by result.",
        )
        self.upstreams_contended = self._gauge(
            "pondpin_upstreams_contended", "Listed upstreams whose slots are granted by an owner."
        )
        self.upstreams_cold = self._gauge(
            "pondpin_upstreams_cold",
            "Listed upstreams that have just started and bear few requests.",
        )
        self.data_centers_evacuated = self._gauge(
            "pondpin_data_centers_evacuated", "Data centres that operators have evacuated."
        )
        self.upstreams_leaving = self._gauge(
            "pondpin_upstreams_leaving", "Listed upstreams that are known to leave."
        )
        self.upstreams_resting = self._gauge(
            "pondpin_upstreams_resting", "Listed upstreams that asked this instance for rest."
        )
        self.upstreams_unreachable = self._gauge(
            "pondpin_upstreams_unreachable",
            "Upstreams that this instance failed to connect to within the last seconds.",
        )
        self.tunnels_requested = self._counter(
            "pondpin_tunnels_requested_total",
            "Tunnels to upstreams that this instance requested of peers, by result.",
        )
        self.tunnels_served = self._counter(
            "pondpin_tunnels_served_total",
            "Tunnels to upstreams that peers requested of this instance, by result.",
        )
        self.tunnels_open = self._gauge(
            "pondpin_tunnels_open", "Open tunnels, by the end that this instance is."
        )
        self.peer_bytes = self._counter(
            "pondpin_peer_message_bytes_total", "Bytes of peer messages, by direction."
        )
        self.ttft = self._histogram(
            "pondpin_time_to_first_token_seconds",
            "Time from a request's arrival to its first token, by class.",
            SECONDS_BUCKETS,
        )
        self.duration = self._histogram(
            "pondpin_request_seconds", "Time from arrival to end, by class.", SECONDS_BUCKETS
        )
        self.started = self._gauge(
            "pondpin_start_time_seconds", "When the instance started, since the epoch."
        )
        self.revision = self._gauge("pondpin_configuration_revision", "Revision in force.")
        self.source_epoch = self._gauge(
            "pondpin_source_epoch", "Highest epoch of the published source that was heard of."
        )
        self.open_requests = self._gauge("pondpin_requests_open", "Requests being served.")
        self.peers_alive = self._gauge("pondpin_peers_alive", "Peers heard from lately.")

    def _counter(self, name: str, doc: str) -> Any:
        metric = Counter(name, doc, const_labels=self._common, registry=self.registry)
        return metric

    def _gauge(self, name: str, doc: str) -> Any:
        return Gauge(name, doc, const_labels=self._common, registry=self.registry)

    def _histogram(self, name: str, doc: str, buckets: Sequence[float]) -> Any:
        return Histogram(
            name,
            doc,
            const_labels=self._common,
            buckets=list(buckets),
            registry=self.registry,
        )

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Render the metrics in the text format, with its headers."""
        content, headers = render(self.registry, [accept] if accept else [])
        return content, {name.lower(): value for name, value in headers.items()}
