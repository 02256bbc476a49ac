"""Work of an instance on an upstream, how it is told to peers, and when its reading ends."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

# A reading of this length keeps other long ones from its engine: shorter ones cost less than
# waiting for them would.
LONG_PREFILL_SECONDS = 0.08
# One that should be over and is not may end at any time, up to this multiple of its length and
# some more; after that its request is probably gone.
OVERDUE_SECONDS = 0.05
OVERDUE_FACTOR = 2.0
OVERDUE_SLACK_SECONDS = 0.5
# Peers are told again when a reading is overdue by this.
OVERDUE_NEWS_MS = 300
MS_PER_SECOND = 1000.0
WEIGHT_SCALE = 100.0
# A prompt that is read for so long makes light streams behind it late: every instance hears of it.
LONG_PREFILL_SECONDS = 0.3


class DecodeStreamsDigest(msgspec.Struct, frozen=True, array_like=True):
    """Writers with the same pause target (ms); worth is in hundredths."""

    gap_target: int
    count: int
    weight: int


class PrefillDigest(msgspec.Struct, frozen=True, array_like=True):
    """A prompt, or a part of one, that is being read: its age and its whole length in ms.

    target is that of its first event in ms, worth is in hundredths. All parts of a prompt have
    the same group, and parts is how many there are.
    """

    age: int
    duration: int
    target: int
    weight: int
    group: int
    parts: int

    @property
    def is_overdue(self) -> bool:
        """Whether it is silent for longer than its reading and a pass explain."""
        return self.age > self.duration + OVERDUE_NEWS_MS


class WorkDigest(msgspec.Struct, frozen=True, array_like=True):
    """One instance's work on one life of an upstream."""

    life: int
    in_flight: int
    light: int
    tokens: int
    prefills: tuple[PrefillDigest, ...]
    decode_streams: tuple[DecodeStreamsDigest, ...]


@dataclass(slots=True)
class Work:
    """A request, or a part of a prompt, of this instance on an upstream.

    reading: seconds of reading at its start; writes is False for a part read for another engine.
    """

    prefill_seconds: float
    since: float
    tokens: int
    target: float
    gap_target: float
    weight: float
    light: bool
    decodes: bool
    group: int = 0
    parts: int = 1
    has_first_event: bool = False

    @property
    def awaits_first_event(self) -> bool:
        """Whether it is a whole prompt, of which nothing has come yet."""
        return self.decodes and self.parts == 1 and not self.has_first_event

    @property
    def prefill(self) -> "Prefill":
        """Its reading."""
        return Prefill(
            self.since, self.prefill_seconds, self.target, self.weight, self.group, self.parts
        )


@dataclass(frozen=True, slots=True)
class Prefill:
    """Reading of length seconds that could begin at since, by this process's clock.

    target and worth are those of the request whose prompt it is.
    """

    since: float
    duration: float
    target: float
    weight: float
    group: int
    parts: int


def prefills_end(reads: Iterable[Prefill]) -> float:
    """When an engine that reads one after the other is through."""
    end = 0.0
    for read in sorted(reads, key=lambda item: item.since):
        end = max(end, read.since) + read.duration
    return end


def long_prefills_end(reads: Iterable[Prefill], end: float, now: float) -> float:
    """When no long reading is left on an engine that is through at end; now when there is none."""
    limit = now
    for read in reads:
        if read.duration >= LONG_PREFILL_SECONDS:
            latest = read.since + OVERDUE_FACTOR * read.duration + OVERDUE_SLACK_SECONDS
            limit = max(limit, min(latest, max(end, now + OVERDUE_SECONDS)))
    return limit


@dataclass(frozen=True, slots=True)
class PeerWork:
    """A peer's digest of its work on an upstream; made at at, it counts until until."""

    work: WorkDigest
    made_at: float
    expires_at: float


def add_decode_streams(
    sums: dict[int, tuple[int, float]], gap: int, count: int, worth: float
) -> None:
    """Add writers to the sums by their pause target in ms."""
    known_count, known_worth = sums.get(gap, (0, 0.0))
    sums[gap] = (known_count + count, known_worth + worth)
