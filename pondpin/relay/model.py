"""Data model of the relay: routes, services, accounts, upstreams, requests and responses.

Times are in seconds, sizes of prompts and memory in tokens.
"""

import enum
import itertools
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import xxhash

from pondpin.network import Endpoint
from pondpin.notices import Notice


class RouteKind(enum.Enum):
    """The kind of a route's requests: safe to repeat, unsafe to repeat, or a stream."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services and limits of the requests to a host and path prefix."""

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
    """The performance of a model engine, as published with its service.

    step_seconds: of a decode step; step_per_stream and step_per_context_k: seconds added to it by
    each decode stream and by each 1000 tokens of their contexts; prefill_rate: prompt tokens a
    second; pair_cost: seconds for each pair of a token and an earlier one; chunk_tokens: most that
    a step prefills; stride: steps of a pass that has decode streams; hop_seconds: added to a step
    while a prompt is split over several engines.
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
    """A group of equivalent upstreams; engine is None for a service without model engines.

    An upstream that has just started is cold for cold_seconds: it takes cold_rate requests a
    second. 0: there is no such rate.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineProfile | None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account; priority 0 is the highest."""

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """Limits on callers' requests and connections."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class RelayConfiguration:
    """A decoded version of the configuration; a host's routes have the longest prefix first.

    keys_required: whether routes that aren't public need an API key, also while no key is valid.
    shortest_gap_by_service: the strictest gap target of each service's streams, computed once as
    placement needs it.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services_by_name: Mapping[str, Service]
    accounts_by_key: Mapping[str, ClientAccount]
    bounds: CallerBounds = field(default_factory=CallerBounds)
    keys_required: bool = True
    shortest_gap_by_service: Mapping[str, float] = field(init=False)

    def __post_init__(self) -> None:
        gaps: dict[str, float] = {}
        for route in itertools.chain.from_iterable(self.routes_by_host.values()):
            if route.gap_target > 0:
                for share in route.shares:
                    strictest = gaps.get(share.service, route.gap_target)
                    gaps[share.service] = min(strictest, route.gap_target)
        object.__setattr__(self, "shortest_gap_by_service", gaps)


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """An entry of the published list of upstreams.

    The id and the start time identify one life of an upstream, which may keep its id over a
    restart. born: the start in ms of Unix time, None for an upstream that doesn't report it and has
    a new id in each life. release: the version of its software.
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
    # Number of entries that the upstream has written in this life.
    sequence: int = field(default=0, compare=False)
    # How long it was still cold when the entry was written.
    cold_seconds: float = field(default=0.0, compare=False)
    # Identifies the life among instances: 9 bytes in a digest, where the id alone takes 11.
    # Computed once, as every placement needs it.
    life: int = field(init=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "life", life_of(self.id, self.born))

    def is_before(self, other: "ListedUpstream") -> bool:
        """Whether this life is earlier than that of another entry with the same id."""
        return starts_before(self.born, other.born)


def life_of(upstream: str, born: int | None) -> int:
    """The number of an upstream's life, the same at every instance."""
    name = upstream if born is None else f"{upstream}@{born}"
    return xxhash.xxh64_intdigest(name.encode())


def starts_before(born: int | None, other: int | None) -> bool:
    """Whether a life starts before another; one without a start time comes first."""
    if other is None:
        return False
    return born is None or born < other


class PromptSegments:
    """IDs of the segments that a prompt shares with others, in order; empty if it lists none.

    They are decoded at first use, since few requests run beside an upstream that ends.
    """

    __slots__ = ("_decode", "_decoded", "_header", "digests")

    def __init__(
        self,
        header: bytes = b"",
        decode: Callable[[bytes], tuple[tuple[bytes, ...], int]] = lambda header: ((), 0),
    ) -> None:
        self._header = header
        self._decode = decode
        self._decoded: tuple[tuple[bytes, ...], int] | None = None
        # The keyed digests of the IDs, None until they are computed.
        self.digests: tuple[int, ...] | None = None

    def __bool__(self) -> bool:
        return bool(self._header)

    def _read(self) -> tuple[tuple[bytes, ...], int]:
        if self._decoded is None:
            self._decoded = self._decode(self._header)
        return self._decoded

    @property
    def ids(self) -> tuple[bytes, ...]:
        """The segments' IDs, each once."""
        return self._read()[0]

    @property
    def left_out(self) -> int:
        """Entries of the list that are invalid, or beyond the most that are used."""
        return self._read()[1]


NO_SEGMENTS = PromptSegments()


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """A caller's headers; timeout is in seconds, None if not given."""

    attempt_id: str
    host: str
    api_key: str
    timeout: float | None
    prompt_tokens: int
    answer_tokens: int
    resume_after: str
    segments: PromptSegments = NO_SEGMENTS


@dataclass(frozen=True, slots=True)
class Load:
    """The load that an upstream reports in a response."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class EngineReport:
    """A model engine's response to a status query; a few hundred ms old.

    born: the start of the life that answered, None if not reported.
    """

    running: int
    waiting: int
    born: int | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of an upstream's response; not_executed: it states that nothing ran.

    signed: it carries the upstream's signature. failed_endpoint: the upstream that it names as the
    cause of a failure. upstream_id: the responding upstream, if stated. notice: what it announces
    of itself; unknown_headers: names and values of its other headers about itself. cold_seconds:
    how long the upstream is still cold, None if not stated.
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
    cold_seconds: float | None = None
