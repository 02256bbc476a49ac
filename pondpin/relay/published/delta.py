"""Differences between two versions of a published value, byte for byte.

A value is cut after each closing brace, so that a route, a service or an account of a JSON document
is a piece or a few. What both versions have is told by its place in the old one. Nothing is parsed:
a value of another form is one piece and travels whole.
"""

from collections.abc import Sequence

import msgspec

END = b"}"


class Kept(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """A run of pieces of the old value."""

    start: int
    count: int


class Added(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Bytes that the old value doesn't have in this place."""

    data: bytes


DeltaStep = Kept | Added


def split_segments(value: bytes) -> list[bytes]:
    """The pieces of a value; joined they are the value."""
    parts = value.split(END)
    pieces = [part + END for part in parts[:-1]]
    return [*pieces, parts[-1]] if parts[-1] else pieces


def encode_delta(old: bytes, new: bytes) -> tuple[DeltaStep, ...]:
    """How to make the new value from the old one."""
    old_pieces = split_segments(old)
    new_pieces = split_segments(new)
    place_by_piece: dict[bytes, int] = {}
    for place, piece in enumerate(old_pieces):
        place_by_piece.setdefault(piece, place)
    steps: list[DeltaStep] = []
    added: list[bytes] = []
    index = 0
    while index < len(new_pieces):
        start = place_by_piece.get(new_pieces[index])
        if start is None:
            added.append(new_pieces[index])
            index += 1
            continue
        count = _common(old_pieces, start, new_pieces, index)
        if added:
            steps.append(Added(b"".join(added)))
            added = []
        steps.append(Kept(start, count))
        index += count
    if added:
        steps.append(Added(b"".join(added)))
    return tuple(steps)


def _common(old: Sequence[bytes], start: int, new: Sequence[bytes], index: int) -> int:
    """How many pieces are alike from these places on; at least one."""
    most = min(len(old) - start, len(new) - index)
    count = 1
    while count < most and old[start + count] == new[index + count]:
        count += 1
    return count


def apply_delta(old: bytes, steps: Sequence[DeltaStep]) -> bytes:
    """The new value; raises ValueError for steps that don't fit the old one."""
    pieces = split_segments(old)
    made: list[bytes] = []
    for step in steps:
        if isinstance(step, Added):
            made.append(step.data)
        elif step.start >= 0 and 0 <= step.count <= len(pieces) - step.start:
            made += pieces[step.start : step.start + step.count]
        else:
            raise ValueError(
                f"no pieces {step.start} to {step.start + step.count} in the old value"
            )
    return b"".join(made)
