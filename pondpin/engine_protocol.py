"""Messages of the engine's HTTP protocol, as the adapter and the stand-in speak it."""

import msgspec


class StreamRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of POST /v1/streams. deadline is in seconds since the epoch.

    start_offset is how many tokens of the answer the caller already has; a higher
    priority goes first; reservations name what a group's members keep for the prompt.
    """

    request: str
    attempt: int
    instance: str
    incarnation: int
    model: str
    prompt: str
    max_tokens: int
    priority: int
    deadline: float
    adapter: str = ""
    start_offset: int = 0
    members: int = 1
    reservation: str = ""


class StreamFrame(msgspec.Struct, frozen=True, rename={"request": "r", "attempt": "a"}):
    """One event of a stream; end is empty but in the last frame.

    cached is how many prompt tokens came from the prefix cache; only the last frame says it.
    """

    request: str
    attempt: int
    offset: int
    text: str
    end: str = ""
    cached: int = 0


class ReservationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of POST /v1/reservations."""

    name: str
    instance: str
    incarnation: int
    blocks: int
    deadline: float


class HeldWork(msgspec.Struct, frozen=True, kw_only=True):
    """A live request or reservation on an engine; request is empty for a reservation."""

    instance: str
    incarnation: int
    deadline: float
    blocks: int
    request: str = ""
    attempt: int = 0
    reservation: str = ""


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of GET /v1/load: state, memory, work and counters since the engine's start.

    made_at is the engine's own time in seconds since its start; incarnation changes
    with each start. order_age is in seconds since the last order was taken.
    """

    incarnation: int
    state: str
    model: str
    role: str
    made_at: float
    blocks: int
    block_tokens: int
    chunk_tokens: int
    blocks_held: int
    queued_prefill_tokens: int
    queued_by_priority: tuple[tuple[int, int], ...]
    running: int
    waiting: int
    steps: int
    busy_seconds: float
    prefill_tokens: int
    decode_tokens: int
    context_tokens: int
    cache_sequence: int
    fence: int = 0
    order_age: float = 1e9
    adapters: tuple[str, ...] = ()
    held: tuple[HeldWork, ...] = ()


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix block stored or removed."""

    sequence: int
    kind: str
    block: int


class CacheEvents(msgspec.Struct, frozen=True):
    """Answer of GET /v1/cache-events?after=N."""

    incarnation: int
    events: tuple[CacheEvent, ...]


class KvBlocks(msgspec.Struct, frozen=True):
    """Body of POST /v1/kv (import) and answer of GET /v1/kv (export): cached prefix blocks."""

    blocks: tuple[int, ...]


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Body of POST /v1/orders: the state that the engine shall take."""

    fence: int
    model: str
    role: str
    adapters: tuple[str, ...] = ()


class OrderAnswer(msgspec.Struct, frozen=True):
    """The engine's last fence, and whether the order was taken."""

    taken: bool
    fence: int


class EngineError(msgspec.Struct, frozen=True):
    """Body of an engine's refusal; ran is False when nothing of the request was run."""

    error: str
    ran: bool = False
