"""Work of an instance on an upstream, its digest for peers, and when its prefills end."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

# An overdue prefill may end at any time, until this multiple of its duration plus the slack; then
# its request is probably gone.
OVERDUE_SECONDS = 0.05
OVERDUE_FACTOR = 2.0
OVERDUE_SLACK_SECONDS = 0.5
# A prefill overdue by this causes a new digest.
OVERDUE_DIGEST_MS = 300
MS_PER_SECOND = 1000.0
WEIGHT_SCALE = 100.0
# A prefill of this duration keeps other long ones off its engine, since queueing behind a shorter
# one costs less than waiting for its end. It makes light streams behind it late, so it is sent to
# all instances.
LONG_PREFILL_SECONDS = 0.3


class DecodeStreamsDigest(msgspec.Struct, frozen=True, array_like=True):
    """Streams with the same gap target (ms); weight is their sum in hundredths."""

    gap_target: int
    count: int
    weight: int


class PrefillDigest(msgspec.Struct, frozen=True, array_like=True):
    """An unfinished prefill of a prompt or a part of one; times are in ms.

    target is for the first event, weight is in hundredths. All parts of a prompt have the same
    group; parts is their number.
    """

    age: int
    duration: int
    target: int
    weight: int
    group: int
    parts: int

    @property
    def is_overdue(self) -> bool:
        """Whether it is silent for longer than its prefill and a pass explain."""
        return self.age > self.duration + OVERDUE_DIGEST_MS


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

    prefill_seconds: forecast at its start; decodes: False for a helper's part of a prompt.
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
        """Whether it is an undivided prompt without a first event."""
        return self.decodes and self.parts == 1 and not self.has_first_event

    @property
    def prefill(self) -> "Prefill":
        """Its prefill."""
        return Prefill(
            self.since, self.prefill_seconds, self.target, self.weight, self.group, self.parts
        )


@dataclass(frozen=True, slots=True)
class Prefill:
    """A prefill that can start at since, by the local clock.

    target and weight are those of its request.
    """

    since: float
    duration: float
    target: float
    weight: float
    group: int
    parts: int


def prefills_end(prefills: Iterable[Prefill]) -> float:
    """When an engine has done all prefills, one after the other."""
    end = 0.0
    for prefill in sorted(prefills, key=lambda item: item.since):
        end = max(end, prefill.since) + prefill.duration
    return end


def long_prefills_end(prefills: Iterable[Prefill], end: float, now: float) -> float:
    """When the last long prefill ends, now without any; end: when all prefills do."""
    limit = now
    for prefill in prefills:
        if prefill.duration >= LONG_PREFILL_SECONDS:
            latest = prefill.since + OVERDUE_FACTOR * prefill.duration + OVERDUE_SLACK_SECONDS
            limit = max(limit, min(latest, max(end, now + OVERDUE_SECONDS)))
    return limit


@dataclass(frozen=True, slots=True)
class PeerWork:
    """A peer's digest of its work on an upstream."""

    work: WorkDigest
    made_at: float
    expires_at: float


def add_decode_streams(
    sums: dict[int, tuple[int, float]], gap: int, count: int, weight: float
) -> None:
    """Add streams to the counts and weights by gap target in ms."""
    known_count, known_weight = sums.get(gap, (0, 0.0))
    sums[gap] = (known_count + count, known_weight + weight)
