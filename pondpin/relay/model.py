"""What the relay knows of its deployment: routes, services, accounts and upstreams.

All times are in seconds, all sizes of prompts and memory in tokens.
"""

import enum
import itertools
from collections.abc import Mapping
from dataclasses import dataclass, field

import xxhash

from pondpin.network import Endpoint
from pondpin.notices import Notice


class RouteKind(enum.Enum):
    """What may be done with a request of a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host and path prefix go, and within which bounds."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    latency_target: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    public: bool
    resumable: bool
    gap_target: float

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable


@dataclass(frozen=True, slots=True)
class EngineProfile:
    """How a model engine spends its time; published with its service.

    step: seconds of a token step; per_writer and per_context_k: seconds added to it by each
    writing request and by each thousand tokens of their contexts; read_rate: prompt tokens
    read a second; pair_cost: seconds for each pair of a token and one before it; chunk: most
    tokens read in a step; stride: steps of a pass that has writers; hop: seconds a step takes
    longer while a prompt lies on several engines.
    """

    slots: int
    memory_tokens: int
    stride: int
    step_seconds: float
    step_per_stream: float
    step_per_context_k: float
    prefill_rate: float
    pair_cost: float
    chunk_tokens: int
    hop_seconds: float


@dataclass(frozen=True, slots=True)
class Service:
    """A group of like upstreams; engine is None for a plain service."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account; priority 0 is the highest."""

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """Bounds on what callers send: bytes and seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RelayConfiguration:
    """One published version, decoded; routes of a host are sorted by falling prefix length.

    shortest_gap_by_service: the strictest target of pauses of each service's streams, in seconds.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, Service]
    accounts_by_key: Mapping[str, ClientAccount]
    bounds: CallerBounds = field(default_factory=CallerBounds)
    shortest_gap_by_service: Mapping[str, float] = field(init=False)

    def __post_init__(self) -> None:
        """Work out what placement needs of all routes together."""
        gaps: dict[str, float] = {}
        for route in itertools.chain.from_iterable(self.routes_by_host.values()):
            if route.gap_target > 0:
                for share in route.shares:
                    known = gaps.get(share.service, route.gap_target)
                    gaps[share.service] = min(known, route.gap_target)
        object.__setattr__(self, "shortest_gap_by_service", gaps)


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An upstream as the published list has it.

    Its id and its start stand for one life of it: one that starts again may keep its id. born is
    the start in ms of Unix time, None where the upstream doesn't say it; such a one has a new id in
    each life. release is the version of its software.
    """

    id: str
    service: str
    host: str
    port: int
    data_center: str
    slots: int
    leaving: bool
    born: int | None = None
    release: str = ""
    # How many entries the upstream had written in this life.
    sequence: int = field(default=0, compare=False)
    # The life's number among instances: 9 bytes of a digest, where an id alone takes 11.
    life: int = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Work out what is asked for at every choice."""
        object.__setattr__(self, "life", life_of(self.id, self.born))

    def is_before(self, other: "ListedUpstream") -> bool:
        """Whether this is an earlier life than another entry of the same id."""
        return starts_before(self.born, other.born)


def life_of(upstream: str, born: int | None) -> int:
    """A number for one life of an upstream, the same at every instance."""
    name = upstream if born is None else f"{upstream}@{born}"
    return xxhash.xxh64_intdigest(name.encode())


def starts_before(born: int | None, other: int | None) -> bool:
    """Whether a life starts before another one; one that doesn't say when comes first."""
    if other is None:
        return False
    return born is None or born < other


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller's headers say; deadline is the seconds that it waits, None when not said."""

    attempt_id: str
    host: str
    api_key: str
    timeout: float | None
    prompt_tokens: int
    answer_tokens: int
    resume_after: str


@dataclass(frozen=True, slots=True)
class Load:
    """What an upstream says of itself in an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What a model engine says of itself when it is asked; some hundred ms old.

    born is the start of the life that answers, None where it doesn't say.
    """

    running: int
    waiting: int
    born: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of an upstream's answer; not_executed is its word that nothing ran.

    signed: the upstream vouches for the answer. at_fault is where the upstream is that made it
    fail, when the answer says so; instance is the answering upstream's id where it says it; notice
    is what it says of itself. unknown_words: names and values of what else it says of itself.
    """

    status: int
    attempt_id: str
    not_executed: bool
    load: Load | None
    is_event_stream: bool
    signed: bool
    failed_endpoint: Endpoint | None
    upstream_id: str
    notice: Notice
    headers: tuple[tuple[bytes, bytes], ...]
    unknown_headers: tuple[tuple[str, str], ...] = ()
