"""Lines of the structured log on limits of upstreams, and on words of theirs that nobody reads."""

from pondpin.relay.log_events import LogEvent


class UpstreamLimit(LogEvent, frozen=True, kw_only=True, tag="upstream_limit"):
    """An upstream named a limit for all instances together, another one, or none any more.

    limit and before: requests a second, -1 where there is none. source: "its answer" or the peer
    that told of it; answer: what it answered to. odd: a value that can't be understood.
    """

    upstream: str
    life: str
    limit: float
    before: float
    source: str
    answer: str = ""
    odd: str = ""


class PermitOwnerChanged(LogEvent, frozen=True, kw_only=True, tag="permits_home"):
    """Which instance hands out the permits of a limited upstream, as known here, "" for none.

    share: the part of the limit that it may hand out, by the instances of its data centre that are
    heard and those that fell silent.
    """

    upstream: str
    limit: float
    home: str
    share: float


class UnknownUpstreamHeader(LogEvent, frozen=True, kw_only=True, tag="unknown_word"):
    """An upstream says something of itself that nothing here reads; once for a life and name."""

    upstream: str
    life: str
    name: str
    value: str
