"""Protocols that adapters to the platform implement, and their data types."""

import enum
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from pondpin.http_streams import CallFailedError
from pondpin.relay.model import EngineReport, RequestMetadata, ResponseHead
from pondpin.relay.published.documents import PublishedItem

RawHeaders = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class PartAssignment:
    """An engine that prefills a part of a prompt; life: its life when it was chosen.

    lease: its memory lease, "" for none.
    """

    upstream: str
    host: str
    port: int
    lease: str = ""
    life: int = 0


@dataclass(frozen=True, slots=True)
class ForwardMetadata:
    """Metadata that pondpin adds to a request to an upstream."""

    upstream: str
    account: str
    seconds_left: float
    rank: int
    resume_after: str = ""
    parts: tuple[PartAssignment, ...] = ()


# Called with the head of a response as soon as it arrives.
HeadCallback = Callable[[ResponseHead], None]


class Dialect(Protocol):
    """Decodes and encodes the headers of callers and upstreams."""

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """Decode a caller's headers."""

    def forward_headers(
        self, headers: RawHeaders, metadata: ForwardMetadata
    ) -> list[tuple[bytes, bytes]]:
        """Build the headers of a request to an upstream."""

    def read_head(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> ResponseHead:
        """Decode the head of an upstream's response."""


@dataclass(frozen=True, slots=True)
class SourceHead:
    """The headers about the source in a response.

    epoch: of its revisions; 0 for none. invalid_epoch: an invalid value, as received.
    unknown_headers: their names and values.
    """

    epoch: int = 0
    invalid_epoch: str = ""
    unknown_headers: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class ListRead:
    """The list of upstreams; revision: the source's when the list was read, or a later one."""

    items: tuple[PublishedItem, ...]
    revision: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """The configuration; item is None before the first is published."""

    item: PublishedItem | None
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """The last change of the configuration up to a revision of the source.

    item: None for no change. through_revision: None when the source's history doesn't reach back
    to the requested revision.
    """

    item: PublishedItem | None
    through_revision: int | None
    epoch: int = 0


class EpochChangedError(CallFailedError):
    """The source's epoch changed during a read in several parts."""

    def __init__(self, first: int, second: int) -> None:
        super().__init__(f"epoch {first}, then {second}", sent=True)


class PublishedSource(Protocol):
    """The source of published values; its reads raise CallFailedError.

    stall_timeout: the most seconds without a byte. A revision counts all changes of the source
    within an epoch.
    """

    async def read_configuration(self, stall_timeout: float) -> ConfigurationRead:
        """Read the newest configuration; linearizable."""

    async def read_change(self, since: int, stall_timeout: float) -> ConfigurationChange:
        """Read the last change of the configuration after a revision.

        The response may be stale, but is complete up to its `through_revision`.
        """

    async def read_upstreams(self, stall_timeout: float) -> ListRead:
        """Read the list of upstreams, of one epoch; linearizable."""


class ReportPort(Protocol):
    """Status queries to model engines; calls raise CallFailedError."""

    async def read_report(
        self, host: str, port: int, timeout: float, on_head: HeadCallback
    ) -> EngineReport:
        """Query an engine's status."""


class LeaseResponse(enum.Enum):
    """An engine's response to a request for a memory lease."""

    HELD = "held"
    REFUSED = "refused"


class LeasePort(Protocol):
    """Memory leases of engines; calls raise CallFailedError."""

    async def reserve(
        self,
        host: str,
        port: int,
        lease: str,
        tokens: int,
        hold: float,
        timeout: float,
        on_head: HeadCallback,
    ) -> LeaseResponse:
        """Acquire or renew a lease; tokens: its size; hold: its duration."""

    async def release(
        self,
        host: str,
        port: int,
        upstream: str,
        lease: str,
        timeout: float,
        on_head: HeadCallback,
    ) -> bool:
        """Release a lease; False if another upstream answers."""


class LivenessPort(Protocol):
    """Liveness checks; calls raise CallFailedError."""

    async def is_healthy(
        self, host: str, port: int, path: str, timeout: float, on_head: HeadCallback
    ) -> bool:
        """Whether an upstream reports that it is healthy."""

    async def identify(
        self, host: str, port: int, path: str, upstream: str, on_head: HeadCallback
    ) -> str:
        """The id of the upstream that answers a liveness check on a new connection, well or not.

        "" if it names none. upstream: the expected one.
        """
