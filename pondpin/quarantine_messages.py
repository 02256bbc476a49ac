"""Encoding of upstreams' ends for messages between instances."""

from collections.abc import Iterable, Sequence

import msgspec

from pondpin.quarantine import FeatureKind, LifeEnd, NamedEnd

MILLISECONDS = 1000.0


class EndReport(msgspec.Struct, frozen=True, array_like=True):
    """A LifeEnd; age is in ms. Earlier builds end with settled."""

    identity: int
    life: int
    age: int
    release: int
    unlikely: bool
    void: bool
    settled: bool
    kind: FeatureKind = FeatureKind.REQUEST
    trial: bool = False


_DECODER = msgspec.msgpack.Decoder(tuple[EndReport, ...])
_ENCODER = msgspec.msgpack.Encoder()


def build_report(item: NamedEnd, now: float) -> EndReport:
    """The report of an end; its age is rounded up."""
    end = item.end
    age = int(max(0.0, now - end.at) * MILLISECONDS) + 1
    return EndReport(
        item.identity,
        end.life,
        age,
        end.release,
        end.unlikely,
        end.void,
        end.settled,
        end.kind,
        end.trial,
    )


def parse_report(report: EndReport, source: str, now: float) -> NamedEnd:
    """The end of a report that was just received."""
    end = LifeEnd(
        report.life,
        now - report.age / MILLISECONDS,
        report.release,
        report.unlikely,
        report.void,
        report.settled,
        source,
        report.kind,
        report.trial,
    )
    return NamedEnd(report.identity, end)


def encode_ends(ends: Iterable[NamedEnd], now: float) -> bytes:
    """Encode ends; empty for none."""
    reports = tuple(build_report(item, now) for item in ends)
    return _ENCODER.encode(reports) if reports else b""


def decode_ends(data: bytes, source: str, now: float) -> Sequence[NamedEnd]:
    """Decode ends; none when the data is empty or invalid."""
    if not data:
        return ()
    try:
        reports = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return ()
    return tuple(parse_report(item, source, now) for item in reports)
