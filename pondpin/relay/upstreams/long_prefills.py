"""Messages that announce long prefills to every instance of a large fleet at once.

Digests go to the neighbours of an instance and have a bounded size. A long prompt may occupy
engines of every data centre for seconds. An instance that doesn't know of it would place light
streams on them, or another long prompt, whose parts would run before those of the first.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from pondpin.relay.upstreams.work import (
    LONG_PREFILL_SECONDS,
    MS_PER_SECOND,
    OVERDUE_FACTOR,
    OVERDUE_SLACK_SECONDS,
    WEIGHT_SCALE,
    Prefill,
    Work,
)

# First number of a message, distinct from other formats.
LONG_PREFILLS_FORMAT = 1001


class LongPrefill(msgspec.Struct, frozen=True, array_like=True):
    """An unfinished prefill of its sender, see PrefillDigest; tokens is the size of each part."""

    lives: tuple[int, ...]
    age: int
    duration: int
    target: int
    weight: int
    group: int
    tokens: int


class LongPrefills(msgspec.Struct, frozen=True, array_like=True):
    """All unfinished long prefills of an instance; sequence increases within a boot."""

    format: int
    instance: str
    boot: int
    sequence: int
    prefills: tuple[LongPrefill, ...]


_DECODER = msgspec.msgpack.Decoder(LongPrefills)
_ENCODER = msgspec.msgpack.Encoder()


def encode_long_prefills(message: LongPrefills) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_long_prefills(data: bytes) -> LongPrefills | None:
    """Decode a datagram; None if it is no such message."""
    try:
        message = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
    return message if message.format == LONG_PREFILLS_FORMAT else None


@dataclass(frozen=True, slots=True)
class ReceivedPrefill:
    """A part on one engine that a peer announced, by the local clock."""

    prefill: Prefill
    tokens: int

    @property
    def expires_at(self) -> float:
        """When its request is probably gone even if no message has reported its end."""
        return self.prefill.since + OVERDUE_FACTOR * self.prefill.duration + OVERDUE_SLACK_SECONDS


def received_prefill(announced: LongPrefill, now: float) -> ReceivedPrefill:
    """Convert a prefill from a message that was just received."""
    prefill = Prefill(
        since=now - announced.age / MS_PER_SECOND,
        duration=announced.duration / MS_PER_SECOND,
        target=announced.target / MS_PER_SECOND,
        weight=announced.weight / WEIGHT_SCALE,
        group=announced.group,
        parts=len(announced.lives),
    )
    return ReceivedPrefill(prefill, announced.tokens)


def collect_long_prefills(
    works_by_life: Iterable[tuple[int, Work]], now: float
) -> tuple[LongPrefill, ...]:
    """Collect the unfinished long prefills of some work, one for each prompt."""
    parts_by_group: dict[int, list[tuple[int, Work]]] = {}
    for life, work in works_by_life:
        if not work.has_first_event and work.prefill_seconds >= LONG_PREFILL_SECONDS:
            parts_by_group.setdefault(work.group, []).append((life, work))
    return tuple(_combine(parts, now) for parts in parts_by_group.values())


def _combine(parts: list[tuple[int, Work]], now: float) -> LongPrefill:
    work = parts[0][1]
    return LongPrefill(
        lives=tuple(life for life, _ in parts),
        age=round((now - work.since) * MS_PER_SECOND),
        duration=round(work.prefill_seconds * MS_PER_SECOND),
        target=round(work.target * MS_PER_SECOND),
        weight=round(work.weight * WEIGHT_SCALE),
        group=work.group,
        tokens=max(part.tokens for _, part in parts),
    )
