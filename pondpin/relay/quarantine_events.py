"""Log events on requests that may crash upstreams."""

from pondpin.relay.log_events import LogEvent


class UpstreamEnded(LogEvent, frozen=True, kw_only=True, tag="upstream_ended"):
    """An upstream was checked by connecting, as a request broke off or was abandoned.

    answer: the result. ran: identities of this instance's requests there, each with the ms since it
    was sent, whether it may have just started, and the digests of its first segments.
    """

    upstream: str
    answer: str
    after_ms: int
    ran: tuple[str, ...] = ()


class VerdictChanged(LogEvent, frozen=True, kw_only=True, tag="verdict"):
    """A request, or a segment of prompts, became suspected, quarantined or free.

    ends: the ended lives that count against it. seconds: the rest of its quarantine. exonerated:
    how many of its ends don't count any more.
    """

    identity: str
    verdict: str
    kind: str = "request"
    ends: tuple[str, ...] = ()
    seconds: float = 0.0
    exonerated: int = 0
