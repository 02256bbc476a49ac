"""Log events on status queries and memory leases of engines."""

from pondpin.relay.log_events import LogEvent


class UpstreamQueried(LogEvent, frozen=True, kw_only=True, tag="upstream_asked"):
    """A status query was sent to a silent engine."""

    upstream: str
    answers: bool
    reason: str = ""
    running: int = 0
    waiting: int = 0


class LeaseFailed(LogEvent, frozen=True, kw_only=True, tag="leases"):
    """Memory leases of a request were refused, unused or not released."""

    request: str
    outcome: str
    detail: str
