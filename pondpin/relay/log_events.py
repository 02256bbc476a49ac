"""The events of the structured log: decisions and state changes.

Times are in seconds unless a name says ms. No event holds an API key, a body or a prompt.
"""

import msgspec


class LogEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag_field="event"):
    """Base of all events."""


class Started(LogEvent, frozen=True, kw_only=True, tag="started"):
    """The process started."""

    data_center: str
    boot: int
    version: str


class Stopping(LogEvent, frozen=True, kw_only=True, tag="stopping"):
    """A graceful stop began."""

    open_requests: int
    grace: float


class RequestsRefused(LogEvent, frozen=True, kw_only=True, tag="waiting_refused"):
    """Waiting requests were refused that can't be answered before the drain ends, by what for.

    left_ms: until its end.
    """

    left_ms: int
    places: dict[str, int]


class Stopped(LogEvent, frozen=True, kw_only=True, tag="stopped"):
    """The process is ending.

    open_requests: ended before their upstreams had answered. unanswered: requests without a reply.
    unread: connections whose callers did not read their replies in time.
    """

    open_requests: int
    unanswered: int = 0
    unread: int = 0


class Reloaded(LogEvent, frozen=True, kw_only=True, tag="reloaded"):
    """The settings file was read again."""

    outcome: str
    reason: str = ""


class SourceChanged(LogEvent, frozen=True, kw_only=True, tag="source"):
    """The published source stopped answering, or answers again."""

    answers: bool
    reason: str
    failures: int


class PeersChanged(LogEvent, frozen=True, kw_only=True, tag="peers"):
    """Peers became live or were lost since the last such event."""

    heard: tuple[str, ...]
    lost: tuple[str, ...]
    alive_peers: int


class DataCenterChanged(LogEvent, frozen=True, kw_only=True, tag="data_center"):
    """All peers of a data centre became silent, or one became live again."""

    data_center: str
    silent: bool


class FetchFailed(LogEvent, frozen=True, kw_only=True, tag="fetch_failed"):
    """A call to a peer failed."""

    peer: str
    reason: str
    after_ms: int = 0


class Fetched(LogEvent, frozen=True, kw_only=True, tag="fetched"):
    """A document was fetched from a peer; bytes: its size on the network."""

    peer: str
    document: str
    revision: int
    epoch: int
    bytes: int
    after_ms: int


class ConfigurationBehind(LogEvent, frozen=True, kw_only=True, tag="behind"):
    """A peer announced a newer configuration than the one in force here."""

    peer: str
    version: int
    epoch: int
    revision: int
    in_force: int


class SourceRead(LogEvent, frozen=True, kw_only=True, tag="source_read"):
    """A read of the published values found something new, or was slow; bytes: their size.

    revision: the configuration's, if it was read; source_revision: the list's.
    """

    revision: int
    source_revision: int
    epoch: int
    bytes: int
    after_ms: int


class ConfigurationApplied(LogEvent, frozen=True, kw_only=True, tag="configuration"):
    """A configuration came into force.

    behind_ms: the time since a peer announced a newer one, if any did. alone: no peer was seen that
    could have a newer one.
    """

    version: int
    epoch: int
    revision: int
    routes: int
    accounts: int
    behind_ms: int = 0
    alone: bool = False


class PublishedRejected(LogEvent, frozen=True, kw_only=True, tag="published_refused"):
    """A published value is invalid; the last valid one stays in force."""

    key: str
    reason: str


class UpstreamLeaving(LogEvent, frozen=True, kw_only=True, tag="upstream_leaving"):
    """An upstream gets no new requests."""

    upstream: str
    source: str


class UpstreamNotice(LogEvent, frozen=True, kw_only=True, tag="upstream_notice"):
    """An upstream announced its shutdown, for the first time, or asked for a rest.

    answer: the kind of request that it answered. list_says, list_age: its state in the list of
    upstreams, and the list's age, -1 if it was never read. rest: seconds asked for; until: its end
    by the monotonic clock; odd: an invalid value.
    """

    upstream: str
    life: str
    answer: str
    status: int
    list_says: str
    list_age: float
    leaves: bool = False
    rest: float = 0.0
    until: float = 0.0
    odd: str = ""


class UpstreamRestarted(LogEvent, frozen=True, kw_only=True, tag="upstream_restarted"):
    """A later life of an upstream is listed; the state of the earlier one was discarded."""

    upstream: str
    born: int | None


class UpstreamEjected(LogEvent, frozen=True, kw_only=True, tag="upstream_ejected"):
    """An upstream failed too often and was ejected."""

    upstream: str
    reason: str
    seconds: float


class UpstreamRestored(LogEvent, frozen=True, kw_only=True, tag="upstream_back"):
    """An ejected upstream passed its liveness check."""

    upstream: str


class FreshnessChanged(LogEvent, frozen=True, kw_only=True, tag="freshness"):
    """The version in force became proved recently enough to accept API keys, or too old."""

    fresh: bool
    age: float
    revision: int


class Placed(LogEvent, frozen=True, kw_only=True, tag="placed"):
    """An attempt was placed on an upstream."""

    request: str
    attempt: int
    route: str
    version: int
    proof_age_ms: int
    upstream: str
    in_flight: int
    reading_ms: int
    candidates: int
    rank: int = 0
    prompt_tokens: int = 0
    target_ms: int = 0
    waited_ms: int = 0
    part_ms: int = 0
    first_event_ms: int = 0
    loss: float = 0.0
    pool: int = 0
    helpers: tuple[str, ...] = ()
    leases: int = 0
    resume_after: str = ""
    identity: str = ""
    # Why the upstream should get no requests; set only when a send check failed to stop the send.
    bar: str = ""
    # The upstream's last limit for all instances, in requests a second; -1 for none.
    limit: float = -1.0


class AttemptEnded(LogEvent, frozen=True, kw_only=True, tag="attempt_ended"):
    """An attempt failed."""

    request: str
    attempt: int
    upstream: str
    result: str
    detail: str
    after_ms: int
    events: int
    next: str
    reason: str = ""
    # The peer through which it was sent, empty for a direct connection.
    path: str = ""
    # See `pondpin.relay.response_ends`.
    response_end: msgspec.Struct | None = None


class Refused(LogEvent, frozen=True, kw_only=True, tag="refused"):
    """A request was refused or failed; its caller got an error of pondpin."""

    request: str
    code: str
    detail: str
    after_ms: int
    route: str = ""
    prompt_tokens: int = 0
    target_ms: int = 0
    version: int = 0
    proof_age_ms: int = -1
    retry_after: float = 0.0


class Ended(LogEvent, frozen=True, kw_only=True, tag="ended"):
    """A request got its final response."""

    request: str
    route: str
    status: int
    upstream: str
    attempts: int
    first_ms: int
    total_ms: int
    events: int
    longest_gap_ms: int = 0
    prompt_tokens: int = 0
    target_ms: int = 0
    gap_target_ms: int = 0
    detail: str = ""
    path: str = ""
    # See `pondpin.relay.response_ends`.
    response_end: msgspec.Struct | None = None


class CallerDisconnected(LogEvent, frozen=True, kw_only=True, tag="caller_gone"):
    """The caller closed its connection before the response ended."""

    request: str
    route: str
    after_ms: int
    events: int
    prompt_tokens: int = 0
    target_ms: int = 0


class LinesDropped(LogEvent, frozen=True, kw_only=True, tag="lines_dropped"):
    """Lines dropped in the last second, by the rate limit or a full queue."""

    routine: int
    important: int


ROUTINE_EVENTS = (Placed, Ended, CallerDisconnected)
