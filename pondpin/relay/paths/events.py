"""Log events on upstreams that this instance can't reach."""

from pondpin.relay.log_events import LogEvent


class UpstreamsUnreachable(LogEvent, frozen=True, kw_only=True, tag="upstreams_unreachable"):
    """The instance began or ceased to fail to connect to every upstream that it tried.

    failing: upstreams that it failed to connect to; of: listed ones. seconds: since the first
    failure. last_failure: of the last attempt to connect. alive_peers: peers that it hears.
    """

    begins: bool
    failing: int
    of: int
    seconds: float
    alive_peers: int
    last_failure: str = ""
