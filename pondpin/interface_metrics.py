"""Metrics of the callers' own interface only: relays neither import nor export them."""

from pondpin.metrics import SECONDS_BUCKETS, Metrics

GAP_BUCKETS = [
    0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.04, 0.05, 0.061, 0.08, 0.1, 0.2, 0.5, 1.0, 5.0,
]  # fmt: skip


class InterfaceMetrics(Metrics):
    """See Metrics."""

    def __init__(self, instance: str, data_center: str) -> None:
        super().__init__(instance, data_center)
        self.frames_dropped = self._counter(
            "pondpin_frames_dropped_total", "Frames dropped: late, duplicate, foreign or gap."
        )
        self.tokens = self._counter(
            "pondpin_answer_tokens_total", "Answer tokens passed on to callers."
        )
        self.call_tokens = self._counter(
            "pondpin_call_tokens_total", "Call tokens, by what became of them."
        )
        self.orphans = self._counter(
            "pondpin_orphans_cancelled_total", "Held work of dead holders that was cancelled."
        )
        self.orders = self._counter("pondpin_orders_total", "Orders sent to engines, by result.")
        self.token_gap = self._histogram(
            "pondpin_token_gap_seconds",
            "Mean time between the tokens of an answer, by class.",
            GAP_BUCKETS,
        )
        self.queue_wait = self._histogram(
            "pondpin_queue_wait_seconds", "Time in the queue, by class.", SECONDS_BUCKETS
        )
        self.queued = self._gauge("pondpin_requests_queued", "Requests waiting in the queue.")
        self.held_blocks = self._gauge(
            "pondpin_engine_blocks_held", "Engine blocks held by this instance's requests."
        )
        self.invariant_breaches = self._gauge(
            "pondpin_invariant_breaches_total", "Breaches of invariants, by name."
        )
        self.in_time = self._counter(
            "pondpin_requests_in_time_total", "Requests that ended, by class and whether in time."
        )
