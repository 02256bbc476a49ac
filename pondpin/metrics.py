"""The metrics of an entry instance: names and units after Prometheus conventions."""

from collections.abc import Sequence
from typing import Any

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

SECONDS_BUCKETS = [
    0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8,
    1.0, 1.5, 2.0, 3.0, 5.0, 8.0, 15.0, 30.0, 60.0, 120.0, 300.0,
]  # fmt: skip
GAP_BUCKETS = [
    0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.04, 0.05, 0.061, 0.08, 0.1, 0.2, 0.5, 1.0, 5.0,
]  # fmt: skip


class Metrics:
    """One registry; every metric is named in docs/METRICS.md."""

    def __init__(self, instance: str, data_center: str) -> None:
        self.registry = Registry()
        self._common = {"instance": instance, "data_center": data_center}
        self.requests = self._counter(
            "pondpin_requests_total", "Requests that ended, by class, code and outcome."
        )
        self.attempts = self._counter(
            "pondpin_upstream_attempts_total", "Attempts at upstreams, by upstream and result."
        )
        self.frames_dropped = self._counter(
            "pondpin_frames_dropped_total", "Frames dropped: late, duplicate, foreign or gap."
        )
        self.tokens = self._counter(
            "pondpin_answer_tokens_total", "Answer tokens passed on to callers."
        )
        self.refused_early = self._counter(
            "pondpin_requests_refused_early_total", "Requests refused before they were whole."
        )
        self.configurations = self._counter(
            "pondpin_configuration_offers_total", "Configurations offered, by source and result."
        )
        self.entries_refused = self._counter(
            "pondpin_upstream_entries_refused_total",
            "Revisions of entries in the published list that name no upstream to use.",
        )
        self.suspected = self._counter(
            "pondpin_suspected_runs_total",
            "Runs of requests that an upstream had ended under before, by service.",
        )
        self.quarantined = self._counter(
            "pondpin_quarantined_requests_total",
            "Requests refused since upstreams ended each time they ran them, by service.",
        )
        self.call_tokens = self._counter(
            "pondpin_call_tokens_total", "Call tokens, by what became of them."
        )
        self.orphans = self._counter(
            "pondpin_orphans_cancelled_total", "Held work of dead holders that was cancelled."
        )
        self.orders = self._counter("pondpin_orders_total", "Orders sent to engines, by result.")
        self.peer_bytes = self._counter(
            "pondpin_peer_message_bytes_total", "Bytes of peer messages, by direction."
        )
        self.ttft = self._histogram(
            "pondpin_time_to_first_token_seconds",
            "Time from a request's arrival to its first token, by class.",
            SECONDS_BUCKETS,
        )
        self.gap = self._histogram(
            "pondpin_token_gap_seconds",
            "Mean time between the tokens of an answer, by class.",
            GAP_BUCKETS,
        )
        self.queue_wait = self._histogram(
            "pondpin_queue_wait_seconds", "Time in the queue, by class.", SECONDS_BUCKETS
        )
        self.duration = self._histogram(
            "pondpin_request_seconds", "Time from arrival to end, by class.", SECONDS_BUCKETS
        )
        self.started = self._gauge(
            "pondpin_start_time_seconds", "When the instance started, since the epoch."
        )
        self.revision = self._gauge("pondpin_configuration_revision", "Revision in force.")
        self.open_requests = self._gauge("pondpin_requests_open", "Requests being served.")
        self.queued = self._gauge("pondpin_requests_queued", "Requests waiting in the queue.")
        self.held_blocks = self._gauge(
            "pondpin_engine_blocks_held", "Engine blocks held by this instance's requests."
        )
        self.breaches = self._gauge(
            "pondpin_invariant_breaches_total", "Breaches of invariants, by name."
        )
        self.peers_alive = self._gauge("pondpin_peers_alive", "Peers heard from lately.")
        self.in_time = self._counter(
            "pondpin_requests_in_time_total", "Requests that ended, by class and whether in time."
        )

    def _counter(self, name: str, doc: str) -> Any:
        metric = Counter(name, doc, const_labels=self._common, registry=self.registry)
        return metric

    def _gauge(self, name: str, doc: str) -> Any:
        return Gauge(name, doc, const_labels=self._common, registry=self.registry)

    def _histogram(self, name: str, doc: str, buckets: Sequence[float]) -> Any:
        return Histogram(
            name, doc, const_labels=self._common, buckets=list(buckets), registry=self.registry
        )

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """The metrics in the text form, with its headers."""
        content, headers = render(self.registry, [accept] if accept else [])
        return content, {name.lower(): value for name, value in headers.items()}
