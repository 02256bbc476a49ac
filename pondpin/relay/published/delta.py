"""Byte-exact deltas between two versions of a published value.

A value is split after each closing brace, so that a route, a service or an account of a JSON
document is one or a few segments. Segments that both versions contain are referred to by their
index in the old one. Nothing is parsed: a value without braces is one segment and is sent whole.
"""

from collections.abc import Sequence

import msgspec

SEGMENT_END = b"}"


class Kept(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A run of segments copied from the old value."""

    start: int
    count: int


class Added(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Inserted bytes."""

    data: bytes


DeltaStep = Kept | Added


def split_segments(value: bytes) -> list[bytes]:
    """Split a value into segments; joined they are the value."""
    parts = value.split(SEGMENT_END)
    segments = [part + SEGMENT_END for part in parts[:-1]]
    return [*segments, parts[-1]] if parts[-1] else segments


def encode_delta(old: bytes, new: bytes) -> tuple[DeltaStep, ...]:
    """Compute the steps that make the new value from the old one."""
    old_segments = split_segments(old)
    new_segments = split_segments(new)
    start_by_segment: dict[bytes, int] = {}
    for position, segment in enumerate(old_segments):
        start_by_segment.setdefault(segment, position)
    steps: list[DeltaStep] = []
    added: list[bytes] = []
    index = 0
    while index < len(new_segments):
        start = start_by_segment.get(new_segments[index])
        if start is None:
            added.append(new_segments[index])
            index += 1
            continue
        count = _common_length(old_segments, start, new_segments, index)
        if added:
            steps.append(Added(b"".join(added)))
            added = []
        steps.append(Kept(start, count))
        index += count
    if added:
        steps.append(Added(b"".join(added)))
    return tuple(steps)


def _common_length(old: Sequence[bytes], start: int, new: Sequence[bytes], index: int) -> int:
    """The number of equal segments from old[start] and new[index] on; at least 1."""
    limit = min(len(old) - start, len(new) - index)
    count = 1
    while count < limit and old[start + count] == new[index + count]:
        count += 1
    return count


def apply_delta(old: bytes, steps: Sequence[DeltaStep]) -> bytes:
    """Make the new value; raises ValueError for steps that don't fit the old one."""
    segments = split_segments(old)
    result: list[bytes] = []
    for step in steps:
        if isinstance(step, Added):
            result.append(step.data)
        elif step.start >= 0 and 0 <= step.count <= len(segments) - step.start:
            result += segments[step.start : step.start + step.count]
        else:
            raise ValueError(
                f"segments {step.start} to {step.start + step.count} are not in the old value, "
                f"which has {len(segments)}"
            )
    return b"".join(result)
