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


class TunnelRefused(LogEvent, frozen=True, kw_only=True, tag="tunnel_refused"):
    """A peer's request for a tunnel to an upstream was refused, or the upstream failed.

    peer: the address of the sender; detail: its instance, or what was wrong.
    """

    peer: str
    target: str
    code: str
    detail: str


class TunnelFailed(LogEvent, frozen=True, kw_only=True, tag="tunnel_failed"):
    """A peer opened no tunnel to an upstream; code: of its refusal, or NO_ANSWER."""

    peer: str
    upstream: str
    code: str
    detail: str = ""
