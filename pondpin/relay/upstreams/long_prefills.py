"""Long prompts being read, told to every instance of a large fleet at once.

A digest tells the neighbours of an instance, as far as its budget of bytes goes. A long prompt may
take engines of every data centre for seconds: whoever doesn't hear of it places light streams on
them, or a long prompt whose parts go before the first one's.
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

# The first number of a message; digests have their format there.
LONG_PREFILLS_FORMAT = 1001


class LongPrefill(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that its sender's engines read; see ReadDigest. tokens is what each part holds."""

    lives: tuple[int, ...]
    age: int
    duration: int
    target: int
    weight: int
    group: int
    tokens: int


class LongPrefills(msgspec.Struct, frozen=True, array_like=True):
    """All long prompts that an instance has read at the moment; sequence rises within a boot."""

    format: int
    instance: str
    boot: int
    sequence: int
    prefills: tuple[LongPrefill, ...]


_DECODER = msgspec.msgpack.Decoder(LongPrefills)
_ENCODER = msgspec.msgpack.Encoder()


def encode_long_prefills(reads: LongPrefills) -> bytes:
    """A message as a datagram."""
    return _ENCODER.encode(reads)


def decode_long_prefills(data: bytes) -> LongPrefills | None:
    """A message from a datagram; None for anything else."""
    try:
        found = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
    return found if found.format == LONG_PREFILLS_FORMAT else None


@dataclass(frozen=True, slots=True)
class ReceivedPrefill:
    """A part on one engine that another instance told of; by this process's clock."""

    prefill: Prefill
    tokens: int

    @property
    def expires_at(self) -> float:
        """After this its request is probably gone, if its end was not heard."""
        return self.prefill.since + OVERDUE_FACTOR * self.prefill.duration + OVERDUE_SLACK_SECONDS


def received_prefill(told: LongPrefill, now: float) -> ReceivedPrefill:
    """What was told a moment ago."""
    read = Prefill(
        since=now - told.age / MS_PER_SECOND,
        duration=told.duration / MS_PER_SECOND,
        target=told.target / MS_PER_SECOND,
        weight=told.weight / WEIGHT_SCALE,
        group=told.group,
        parts=len(told.lives),
    )
    return ReceivedPrefill(read, told.tokens)


def collect_long_prefills(
    works_by_life: Iterable[tuple[int, Work]], now: float
) -> tuple[LongPrefill, ...]:
    """The long prompts among some works, by the prompt whose parts they are."""
    parts_by_group: dict[int, list[tuple[int, Work]]] = {}
    for life, work in works_by_life:
        if not work.has_first_event and work.prefill_seconds >= LONG_PREFILL_SECONDS:
            parts_by_group.setdefault(work.group, []).append((life, work))
    return tuple(_tell(parts, now) for parts in parts_by_group.values())


def _tell(parts: list[tuple[int, Work]], now: float) -> LongPrefill:
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
