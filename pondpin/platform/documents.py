"""Decodes the platform's documents: configuration and upstream entries."""

from collections import defaultdict
from typing import Annotated, Literal, TypeVar

import msgspec

from pondpin.network import parse_endpoint
from pondpin.relay.model import (
    CallerBounds,
    ClientAccount,
    EngineProfile,
    ListedUpstream,
    RelayConfiguration,
    Route,
    RouteKind,
    Service,
    ServiceShare,
)

# Valid ranges of an entry; other values come from other writers, such as a start in seconds or
# microseconds instead of milliseconds.
MAX_SLOTS = 10_000
MIN_BORN_MS = 1_000_000_000_000
MAX_BORN_MS = 9_999_999_999_999
KIND_BY_TYPE = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
DRAINING = "draining"
MILLISECOND = 0.001
MILLION = 1e6

Wire = TypeVar("Wire")


class WireShare(msgspec.Struct, frozen=True):
    """One service of a split route."""

    service: str
    weight: float


class WireRoute(msgspec.Struct, frozen=True, rename="camel"):
    """A route; with trafficSplit, service is absent. timeoutMs 0 or absent: no timeout."""

    name: str
    host: str
    path_prefix: str
    route_type: str
    timeout_ms: float = 0.0
    target_latency_ms: float = 1000.0
    priority: int = 5
    service: str = ""
    traffic_split: tuple[WireShare, ...] = ()
    max_attempts: int = 1
    public: bool = False
    stream_resume: bool = False
    gap_aim_ms: float = msgspec.field(name="gap_aim_ms", default=0.0)


class WireEngine(msgspec.Struct, frozen=True):
    """The engine profile of a service; times in ms, read_per_s in tokens."""

    slots: int
    memory_tokens: int = msgspec.field(name="kvCapacityTokens")
    step_ms: float
    stride: int = 1
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 1e6
    pairs_per_m: float = 0.0
    chunk: int = 2048
    hop_ms: float = 0.0


class WireService(msgspec.Struct, frozen=True, rename="camel"):
    """A service; maxConns is shared by all callers of one upstream.

    For cold_start_s seconds after its start an upstream takes cold_per_s requests a second.
    """

    name: str
    health_path: str = "/healthz"
    max_conns: int = 64
    engine: WireEngine | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class WireLimits(msgspec.Struct, frozen=True, rename="camel"):
    """Limits on callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class WireTenant(msgspec.Struct, frozen=True, rename="camel"):
    """A tenant: the platform's name for a client account. Keys of other types match nothing."""

    name: str
    api_keys: tuple[object, ...] = ()
    priority: int | None = None


class WireConfiguration(msgspec.Struct, frozen=True):
    """The operator's configuration document; without a list of tenants no keys are required."""

    version: int
    routes: tuple[WireRoute, ...]
    services: tuple[WireService, ...]
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: tuple[WireTenant, ...] | msgspec.UnsetType = msgspec.UNSET


class WireServer(msgspec.Struct, frozen=True, rename="camel"):
    """An upstream's entry; state is draining for some time before a planned shutdown.

    Every field but born is required. version is the software's; born (Unix ms) is sent only by
    upstreams that may restart under the same id.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)]
    sequence: Annotated[int, msgspec.Meta(ge=0)]
    born: Annotated[int, msgspec.Meta(ge=MIN_BORN_MS, le=MAX_BORN_MS)] | msgspec.UnsetType = (
        msgspec.UNSET
    )


_CONFIGURATION = msgspec.json.Decoder(WireConfiguration)
_SERVER = msgspec.json.Decoder(WireServer)


class PlatformDecoder:
    """Implements Decoder for the platform's documents."""

    def configuration(self, value: bytes) -> RelayConfiguration:
        """Decode the configuration; raises ValueError."""
        wire = decode_document(_CONFIGURATION, value)
        routes: dict[str, list[Route]] = defaultdict(list)
        for route in wire.routes:
            routes[route.host].append(_decode_route(route))
        for group in routes.values():
            group.sort(key=lambda route: len(route.prefix), reverse=True)
        return RelayConfiguration(
            version=wire.version,
            routes_by_host={host: tuple(group) for host, group in routes.items()},
            services_by_name={item.name: _decode_service(item) for item in wire.services},
            accounts_by_key=_decode_accounts(wire.tenants or ()),
            keys_required=wire.tenants is not msgspec.UNSET,
            bounds=CallerBounds(
                header_bytes=wire.limits.max_header_bytes,
                body_bytes=wire.limits.max_body_bytes,
                header_seconds=wire.limits.header_timeout_ms * MILLISECOND,
                idle_seconds=wire.limits.idle_timeout_ms * MILLISECOND,
            ),
        )

    def upstream(self, key: str, value: bytes) -> ListedUpstream:
        """Decode an upstream's entry; its key is a prefix and the id. Raises ValueError.

        The list has other writers; entries in other formats are rejected.
        """
        wire = decode_document(_SERVER, value)
        endpoint = parse_endpoint(wire.address)
        _, _, name = key.partition("/")
        if not name or "/" in name or not endpoint.port:
            raise ValueError("no id in key, or no port in address")
        return ListedUpstream(
            id=name,
            service=wire.service,
            host=endpoint.host,
            port=endpoint.port,
            data_center=wire.zone,
            slots=wire.slots,
            leaving=wire.state == DRAINING,
            born=wire.born if wire.born is not msgspec.UNSET else None,
            release=wire.version,
            sequence=wire.sequence,
            cold_seconds=wire.cold_remaining_ms * MILLISECOND,
        )


def decode_document(decoder: "msgspec.json.Decoder[Wire]", value: bytes) -> Wire:
    """Decode a document; raises ValueError."""
    # Loaded with the first document.
    from pondpin.json_decoding import decode_json

    return decode_json(decoder.decode, value)


def _decode_accounts(tenants: tuple[WireTenant, ...]) -> dict[str, ClientAccount]:
    """Accounts by key; a blank key, or one of several tenants, belongs to none."""
    accounts: dict[str, ClientAccount] = {}
    ambiguous: set[str] = set()
    for tenant in tenants:
        account = ClientAccount(tenant.name, tenant.priority)
        for key in tenant.api_keys:
            if not isinstance(key, str) or not key.strip():
                continue
            if accounts.setdefault(key, account) is not account:
                ambiguous.add(key)
    return {key: account for key, account in accounts.items() if key not in ambiguous}


def _decode_route(wire: WireRoute) -> Route:
    kind = KIND_BY_TYPE.get(wire.route_type)
    if kind is None:
        raise ValueError(f"route {wire.name}: unknown routeType {wire.route_type!r}")
    shares = tuple(ServiceShare(share.service, share.weight) for share in wire.traffic_split)
    if not shares and not wire.service:
        raise ValueError(f"route {wire.name}: no service")
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.path_prefix,
        kind=kind,
        timeout=wire.timeout_ms * MILLISECOND,
        latency_target=wire.target_latency_ms * MILLISECOND,
        priority=wire.priority,
        shares=shares or (ServiceShare(wire.service, 1.0),),
        max_attempts=max(1, wire.max_attempts),
        public=wire.public,
        resumable=wire.stream_resume and kind is RouteKind.STREAM,
        gap_target=wire.gap_aim_ms * MILLISECOND,
    )


def _decode_service(wire: WireService) -> Service:
    return Service(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_conns,
        engine=_decode_engine(wire.engine),
        cold_seconds=max(0.0, wire.cold_start_s),
        cold_rate=max(0.0, wire.cold_per_s),
    )


def _decode_engine(wire: WireEngine | None) -> EngineProfile | None:
    if wire is None:
        return None
    return EngineProfile(
        slots=wire.slots,
        memory_tokens=wire.memory_tokens,
        stride=max(1, wire.stride),
        step_seconds=wire.step_ms * MILLISECOND,
        step_per_stream=wire.per_seq_ms * MILLISECOND,
        step_per_context_k=wire.context_per_k * MILLISECOND,
        prefill_rate=wire.read_per_s,
        pair_cost=wire.pairs_per_m * MILLISECOND / MILLION,
        chunk_tokens=wire.chunk,
        hop_seconds=wire.hop_ms * MILLISECOND,
    )
