"""An admitted request, the results of its attempts and its progress."""

import enum
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from pondpin.http_reply import IncomingRequest, Reply
from pondpin.http_streams import ResponseFault
from pondpin.network import Endpoint
from pondpin.relay.model import RelayConfiguration, RequestMetadata, Route

if TYPE_CHECKING:
    from pondpin.pacer import Permit
    from pondpin.relay.passed_events import PassedEvents
    from pondpin.relay.response_ends import ResponseEnd
    from pondpin.relay.slot_results import SlotGrant

# The longest of these seconds, latency targets and gap targets counts, also before the first event.
MIN_CALLER_TIMEOUT_SECONDS = 2.0
CALLER_TIMEOUT_TARGETS = 4.0
CALLER_TIMEOUT_GAPS = 8.0
MAX_ID_DIGITS = 18


@dataclass(frozen=True, slots=True)
class RelayCall:
    """An admitted request; arrived_at and deadline are monotonic times.

    rank: 0 is the most urgent. identity: see `pondpin.request_identity`.
    """

    incoming: IncomingRequest
    reply: Reply
    metadata: RequestMetadata
    route: Route
    service: str
    account: str
    rank: int
    configuration: RelayConfiguration
    arrived_at: float
    deadline: float
    identity: int = 0

    @property
    def id(self) -> str:
        """The attempt id that the caller sent."""
        return self.metadata.attempt_id

    @property
    def resume_event_number(self) -> int:
        """The number of the last event that the caller received, -1 for a new stream."""
        text = self.metadata.resume_after if self.route.resumable else ""
        return int(text) if text.isdecimal() and len(text) <= MAX_ID_DIGITS else -1

    @property
    def caller_timeout(self) -> float:
        """Seconds of silence after which the caller abandons a stream."""
        route = self.route
        longest = max(
            CALLER_TIMEOUT_TARGETS * route.latency_target, CALLER_TIMEOUT_GAPS * route.gap_target
        )
        return max(MIN_CALLER_TIMEOUT_SECONDS, longest)


class EndKind(enum.Enum):
    """How an attempt ended."""

    DONE = "done"
    ANSWERED = "answered"
    NOT_EXECUTED = "not executed"
    NOT_SENT = "not sent"
    WITHHELD = "withheld"
    BROKEN = "broken"
    STALLED = "stalled"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class BufferedResponse:
    """An upstream's complete response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The result of an attempt.

    failed_endpoint: the upstream that caused the failure. A withheld attempt was not sent, because
    a send check failed once its connection was open. unconfirmed: no path to the upstream.
    response_end: how the response ended, None without one. fault: of the response.
    """

    kind: EndKind
    detail: str = ""
    response: BufferedResponse | None = None
    failed_endpoint: Endpoint | None = None
    connection_refused: bool = False
    unconfirmed: bool = False
    response_end: "ResponseEnd | None" = None
    fault: ResponseFault | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether the upstream may have run the request."""
        return self.kind is not EndKind.NOT_EXECUTED and self.was_sent

    @property
    def was_sent(self) -> bool:
        """Whether any byte may have reached the upstream."""
        return self.kind not in (EndKind.NOT_SENT, EndKind.WITHHELD)


def is_failure(end: AttemptEnd) -> bool:
    """Whether an upstream, or the path to it, failed."""
    return end.kind in (EndKind.NOT_SENT, EndKind.BROKEN, EndKind.STALLED)


class WaitPlace(enum.Enum):
    """What a request waits for before it is sent."""

    PLACEMENT = "placement"
    PREFILL_QUEUE = "prefill queue"
    SLOT = "slot"
    PERMIT = "permit"
    REST = "rest"


@dataclass(frozen=True, slots=True)
class Wait:
    """A wait; forecast: seconds until it ends, at a given time.

    first_seconds: then until the first event, or a plain answer; None if no upstream is chosen yet.
    """

    place: WaitPlace
    forecast: Callable[[float], float] = lambda now: 0.0
    first_seconds: float | None = None


@dataclass(slots=True)
class Progress:
    """The state of a request over its attempts."""

    attempts: int = 0
    sends: int = 0
    may_have_run: bool = False
    # Whether the present attempt was sent.
    is_sent: bool = False
    # Before each attempt is sent.
    wait: Wait | None = None
    # Lives that later attempts avoid: those tried, and helpers at fault.
    tried_lives: frozenset[int] = frozenset()
    last_upstream: str = ""
    last_life: int = 0
    # The peer through which the last attempt was sent, empty for a direct connection.
    path: str = ""
    events: int = 0
    last_event_number: int = -1
    # None before the first run of a stream.
    passed: "PassedEvents | None" = None
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap: float = 0.0
    head_sent: bool = False
    # A request suspected of crashing upstreams runs on a single one, with the fewest other requests
    # and a software release that it hasn't crashed.
    suspected: bool = False
    suspected_features: tuple[int, ...] = ()
    failed_releases: frozenset[int] = frozenset()
    # The unused permit for the next send to a rate-limited upstream.
    permit: "Permit | None" = None
    # Cold upstreams that it was planned at without getting a permit.
    cold_refusals: int = 0
    # The granted slot of a contended upstream, until the attempt ends.
    slot: "SlotGrant | None" = None
