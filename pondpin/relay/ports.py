"""What the relay needs of the outside, as small protocols; adapters implement them."""

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
    """An engine that reads a part of a prompt, with its memory lease if it has one.

    life is that of the engine when it was chosen.
    """

    upstream: str
    host: str
    port: int
    lease: str = ""
    life: int = 0


@dataclass(frozen=True, slots=True)
class ForwardMetadata:
    """What pondpin itself tells an upstream beside the caller's request."""

    upstream: str
    account: str
    seconds_left: float
    rank: int
    resume_after: str = ""
    parts: tuple[PartAssignment, ...] = ()


# Is called with the head of an answer as soon as that has come.
HeadCallback = Callable[[ResponseHead], None]


class Dialect(Protocol):
    """Reads and writes the headers of callers and upstreams."""

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """What a caller's headers say."""
        ...

    def forward_headers(
        self, headers: RawHeaders, sent: ForwardMetadata
    ) -> list[tuple[bytes, bytes]]:
        """The headers that an upstream gets."""
        ...

    def read_head(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> ResponseHead:
        """The head of an upstream's answer."""
        ...


@dataclass(frozen=True, slots=True)
class SourceHead:
    """What the head of an answer says of the source.

    epoch: under which its revisions count; 0 for a source that names none. odd_epoch: one that
    can't be understood, as it came. unknown: names and values of headers about the source that
    nothing reads.
    """

    epoch: int = 0
    odd_epoch: str = ""
    unknown: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class ListRead:
    """The list of upstreams, the source's revision when it was read (or later), and its epoch."""

    items: tuple[PublishedItem, ...]
    revision: int
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """The configuration as it was read, None before the first."""

    item: PublishedItem | None
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """What became of the configuration up to a revision of the source: its last change, None when
    nothing did. until is None when the source's history doesn't reach back so far.
    """

    item: PublishedItem | None
    through_revision: int | None
    epoch: int = 0


class EpochChangedError(CallFailedError):
    """The source's epoch changed while something was read in parts."""

    def __init__(self, first: int, second: int) -> None:
        super().__init__(f"epoch {first}, then {second}", sent=True)


class PublishedSource(Protocol):
    """Reads of what the operators publish; they raise CallFailedError.

    stall is how many seconds may pass without a byte. A revision counts all changes of the source
    within an epoch.
    """

    async def read_configuration(self, stall: float) -> ConfigurationRead:
        """The newest configuration; linearizable."""
        ...

    async def read_change(self, since: int, stall: float) -> ConfigurationChange:
        """The last change of the configuration after a revision.

        The answer may be old, but it leaves out nothing up to the revision that it names.
        """
        ...

    async def read_upstreams(self, stall: float) -> ListRead:
        """The list of upstreams, of one epoch; linearizable."""
        ...


class ReportPort(Protocol):
    """Reports of model engines; calls raise CallFailedError."""

    async def read_report(
        self, host: str, port: int, timeout: float, hear: HeadCallback
    ) -> EngineReport:
        """Ask an engine what it does."""
        ...


class LeaseResponse(enum.Enum):
    """What an engine says to a wish for memory."""

    HELD = "held"
    REFUSED = "refused"


class LeasePort(Protocol):
    """Memory leases at engines; calls raise CallFailedError."""

    async def reserve(
        self,
        host: str,
        port: int,
        lease: str,
        tokens: int,
        hold: float,
        timeout: float,
        hear: HeadCallback,
    ) -> LeaseResponse:
        """Set memory aside, or renew it."""
        ...

    async def release(
        self, host: str, port: int, lease: str, timeout: float, hear: HeadCallback
    ) -> bool:
        """Give memory back."""
        ...


class LivenessPort(Protocol):
    """Liveness checks; calls raise CallFailedError."""

    async def is_healthy(
        self, host: str, port: int, path: str, timeout: float, hear: HeadCallback
    ) -> bool:
        """Whether an upstream says that it is well."""
        ...
