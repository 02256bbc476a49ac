"""Ends of upstream lives as instances tell each other of them."""

from collections.abc import Iterable, Sequence

import msgspec

from pondpin.quarantine import LifeEnd, NamedEnd

MILLISECONDS = 1000.0


class EndReport(msgspec.Struct, frozen=True, array_like=True):
    """An end; age is in ms. See LifeEnd."""

    identity: int
    life: int
    age: int
    release: int
    unlikely: bool
    void: bool
    settled: bool


_DECODER = msgspec.msgpack.Decoder(tuple[EndReport, ...])
_ENCODER = msgspec.msgpack.Encoder()


def build_report(item: NamedEnd, now: float) -> EndReport:
    """An end as it is told; its age is never told too small."""
    end = item.end
    age = int(max(0.0, now - end.at) * MILLISECONDS) + 1
    return EndReport(item.identity, end.life, age, end.release, end.unlikely, end.void, end.settled)


def parse_report(told: EndReport, source: str, now: float) -> NamedEnd:
    """An end as it was told a moment ago."""
    end = LifeEnd(
        told.life,
        now - told.age / MILLISECONDS,
        told.release,
        told.unlikely,
        told.void,
        told.settled,
        source,
    )
    return NamedEnd(told.identity, end)


def encode_ends(ends: Iterable[NamedEnd], now: float) -> bytes:
    """Ends as bytes, empty for none."""
    told = tuple(build_report(item, now) for item in ends)
    return _ENCODER.encode(told) if told else b""


def decode_ends(data: bytes, source: str, now: float) -> Sequence[NamedEnd]:
    """Ends of bytes; none for anything else."""
    if not data:
        return ()
    try:
        told = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return ()
    return tuple(parse_report(item, source, now) for item in told)
