"""Log events on rate limits of upstreams and on their unknown headers."""

from pondpin.relay.log_events import LogEvent


class UpstreamLimit(LogEvent, frozen=True, kw_only=True, tag="upstream_limit"):
    """An upstream announced, changed or removed its limit for all instances together.

    limit and before: requests a second, -1 for none. source: "its answer" or the peer that reported
    it. answer: the kind of request that it answered. odd: an invalid value.
    """

    upstream: str
    life: str
    limit: float
    before: float
    source: str
    answer: str = ""
    odd: str = ""


class PermitOwnerChanged(LogEvent, frozen=True, kw_only=True, tag="permits_home"):
    """The instance that issues the permits of a limited upstream changed; "" for none.

    share: the part of the limit that it may issue, by the live and the silent instances of its data
    centre.
    """

    upstream: str
    limit: float
    home: str
    share: float


class UnknownUpstreamHeader(LogEvent, frozen=True, kw_only=True, tag="unknown_word"):
    """An upstream sent an unknown header about itself; logged once for a life and name."""

    upstream: str
    life: str
    name: str
    value: str
