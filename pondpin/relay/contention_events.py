"""Log events on upstreams whose slots are contended."""

from pondpin.relay.log_events import LogEvent


class ContentionChanged(LogEvent, frozen=True, kw_only=True, tag="contended"):
    """Requests for an upstream began or ceased to need a slot from its owner.

    evidence: what showed first that it was contended, or last, at the end.
    """

    upstream: str
    life: str
    begins: bool
    evidence: str
