"""Messages with limits that upstreams report, and the selection of limits for digests."""

from collections.abc import Iterable

import msgspec

from pondpin.relay.peers.digests import LimitDigest
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.upstream_limits import LimitReport, limit_number

# First number of a message, distinct from other formats.
LIMITS_FORMAT = 1003
# A limit takes about 25 bytes of a digest. With more limits than this, digests rotate through them
# every ROTATION_SECONDS, so that an instance that starts receives 32 limits in 2 s.
MAX_DIGEST_LIMITS = 8
ROTATION_SECONDS = 0.5
# A lifted limit is sent for this long, which covers the few digests until all instances have it.
LIFTED_SEND_SECONDS = 10.0
MILLISECONDS = 1000.0


class LimitsMessage(msgspec.Struct, frozen=True, array_like=True):
    """Limits that answers to the sender have just reported."""

    format: int
    instance: str
    boot: int
    limits: tuple[LimitDigest, ...]


_DECODER = msgspec.msgpack.Decoder(LimitsMessage)
_ENCODER = msgspec.msgpack.Encoder()


def encode_limits(message: LimitsMessage) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_limits(data: bytes) -> LimitsMessage | None:
    """Decode a limits message; None for any other datagram."""
    try:
        message = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
    return message if message.format == LIMITS_FORMAT else None


def limit_digests(
    table: UpstreamTable, lives: Iterable[int], now: float
) -> tuple[LimitDigest, ...]:
    """The digests of the limits of some lives, without lives that never had one."""
    limit_reports = [(life, table.availability_table.get_or_create(life).limit) for life in lives]
    return tuple(
        LimitDigest(
            life,
            limit_number(limit_report),
            round((now - limit_report.request_sent_at) * MILLISECONDS),
            round((now - limit_report.received_at) * MILLISECONDS),
        )
        for life, limit_report in limit_reports
        if limit_report is not None
    )


def to_limit_report(digest: LimitDigest, source: str, now: float) -> LimitReport | None:
    """Convert a digest that was received just now; None for an invalid one."""
    if not (digest.limit >= 0 or digest.limit == -1) or digest.request_age < digest.answer_age:
        return None
    return LimitReport(
        None if digest.limit < 0 else digest.limit,
        now - digest.request_age / MILLISECONDS,
        now - digest.answer_age / MILLISECONDS,
        source,
    )


def lives_to_send(table: UpstreamTable, now: float) -> list[int]:
    """Listed lives whose limits go into the next digest; many lives are rotated."""
    lives = [
        state.life
        for state in table.by_id.values()
        if state.availability.limit is not None
        and (state.is_limited or now - state.availability.limit.received_at < LIFTED_SEND_SECONDS)
    ]
    if len(lives) <= MAX_DIGEST_LIMITS:
        return lives
    start = int(now / ROTATION_SECONDS) * MAX_DIGEST_LIMITS % len(lives)
    return (lives + lives)[start : start + MAX_DIGEST_LIMITS]
