"""The lines of the structured log: one type for each decision or change of belief.

Ages are in seconds unless a name says ms. No event carries a key, a body or a prompt.
"""

import msgspec


class LogEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag_field="event"):
    """Base of all lines."""


class Started(LogEvent, frozen=True, kw_only=True, tag="started"):
    """The process is up; as on each line, `instance` names it."""

    data_center: str
    boot: int
    version: str


class Stopping(LogEvent, frozen=True, kw_only=True, tag="stopping"):
    """A planned stop began."""

    open_requests: int
    grace: float


class Stopped(LogEvent, frozen=True, kw_only=True, tag="stopped"):
    """The process ends."""

    open_requests: int


class Reloaded(LogEvent, frozen=True, kw_only=True, tag="reloaded"):
    """Settings were read again."""

    outcome: str
    reason: str = ""


class SourceChanged(LogEvent, frozen=True, kw_only=True, tag="source"):
    """The published source answers again, or stopped answering."""

    answers: bool
    reason: str
    failures: int


class PeersChanged(LogEvent, frozen=True, kw_only=True, tag="peers"):
    """Peers that are heard since the last such line, and peers that were lost."""

    heard: tuple[str, ...]
    lost: tuple[str, ...]
    alive_peers: int


class DataCenterChanged(LogEvent, frozen=True, kw_only=True, tag="data_center"):
    """All peers of a data centre fell silent, or one is heard again."""

    data_center: str
    silent: bool


class FetchFailed(LogEvent, frozen=True, kw_only=True, tag="fetch_failed"):
    """A peer could not be told or asked something."""

    peer: str
    reason: str
    after_ms: int = 0


class Fetched(LogEvent, frozen=True, kw_only=True, tag="fetched"):
    """A document came from a peer; bytes as they crossed the network."""

    peer: str
    document: str
    revision: int
    epoch: int
    bytes: int
    after_ms: int


class ConfigurationBehind(LogEvent, frozen=True, kw_only=True, tag="behind"):
    """A peer told of a newer configuration than the one in force here."""

    peer: str
    version: int
    epoch: int
    revision: int
    in_force: int


class SourceRead(LogEvent, frozen=True, kw_only=True, tag="source_read"):
    """A read of the published values brought something new, or was slow; bytes of the values.

    revision: of a configuration that was read; source_revision: of the list.
    """

    revision: int
    source_revision: int
    epoch: int
    bytes: int
    after_ms: int


class ConfigurationApplied(LogEvent, frozen=True, kw_only=True, tag="configuration"):
    """A version is in force; behind_ms: since when a peer had told of a newer one, if one had.

    alone: no peer was heard that could have a newer one.
    """

    version: int
    epoch: int
    revision: int
    routes: int
    accounts: int
    behind_ms: int = 0
    alone: bool = False


class PublishedRejected(LogEvent, frozen=True, kw_only=True, tag="published_refused"):
    """A published value is unsound; the last good one stays in force."""

    key: str
    reason: str


class UpstreamLeaving(LogEvent, frozen=True, kw_only=True, tag="upstream_leaving"):
    """An upstream gets no new work."""

    upstream: str
    source: str


class UpstreamNotice(LogEvent, frozen=True, kw_only=True, tag="upstream_notice"):
    """An answer said that its upstream leaves, for the first time, or that it wants rest.

    answer: what it answered to. life: its number among instances. list_says: what the list of
    upstreams said of it then, and list_age how old that was, -1 where it was never read. rest:
    seconds asked, and until when by the steady clock; odd: a wish that can't be understood.
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
    """A later life of an upstream is listed; nothing known of the earlier one counts for it."""

    upstream: str
    born: int | None


class UpstreamEjected(LogEvent, frozen=True, kw_only=True, tag="upstream_ejected"):
    """An upstream failed too often and is left alone for a while."""

    upstream: str
    reason: str
    seconds: float


class UpstreamRestored(LogEvent, frozen=True, kw_only=True, tag="upstream_back"):
    """An ejected upstream answered its liveness check."""

    upstream: str


class FreshnessChanged(LogEvent, frozen=True, kw_only=True, tag="freshness"):
    """Whether the version in force is proved young enough to accept keys."""

    fresh: bool
    age: float
    revision: int


class Placed(LogEvent, frozen=True, kw_only=True, tag="placed"):
    """An attempt goes to an upstream."""

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
    # Why nothing should go there; never seen but where a guard of the send fails.
    bar: str = ""
    # Requests a second that it takes from all instances, by its last word; -1 where it named none.
    limit: float = -1.0


class AttemptEnded(LogEvent, frozen=True, kw_only=True, tag="attempt_ended"):
    """An attempt did not bring the whole answer."""

    request: str
    attempt: int
    upstream: str
    result: str
    detail: str
    after_ms: int
    events: int
    next: str
    reason: str = ""


class Refused(LogEvent, frozen=True, kw_only=True, tag="refused"):
    """A request was refused before it went to any upstream, or after all said no."""

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
    """A request got its final answer."""

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


class CallerDisconnected(LogEvent, frozen=True, kw_only=True, tag="caller_gone"):
    """The caller closed its connection before the end."""

    request: str
    route: str
    after_ms: int
    events: int
    prompt_tokens: int = 0
    target_ms: int = 0


class UpstreamEnded(LogEvent, frozen=True, kw_only=True, tag="upstream_ended"):
    """A request broke off at an upstream or left it, and what a connection there then met.

    ran: identities of this instance's requests that were there, each with ms since it was sent and
    whether it may have just begun to run.
    """

    upstream: str
    answer: str
    after_ms: int
    ran: tuple[str, ...] = ()


class VerdictChanged(LogEvent, frozen=True, kw_only=True, tag="verdict"):
    """A request is suspected, quarantined or free; with the ended lives that speak against it.

    seconds: until its quarantine is over.
    """

    identity: str
    verdict: str
    ends: tuple[str, ...] = ()
    seconds: float = 0.0


class UpstreamQueried(LogEvent, frozen=True, kw_only=True, tag="upstream_asked"):
    """A silent engine was asked for its report."""

    upstream: str
    answers: bool
    reason: str = ""
    running: int = 0
    waiting: int = 0


class LeaseFailed(LogEvent, frozen=True, kw_only=True, tag="leases"):
    """Memory leases of a request were refused or could not be given back."""

    request: str
    outcome: str
    detail: str


class LinesDropped(LogEvent, frozen=True, kw_only=True, tag="lines_dropped"):
    """Lines that were left out in the last second, by the bound or a full pipe."""

    routine: int
    important: int


ROUTINE_EVENTS = (Placed, Ended, CallerDisconnected)
