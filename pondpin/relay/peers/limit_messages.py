"""Limits that upstreams named, as instances tell each other of them."""

from collections.abc import Iterable

import msgspec

from pondpin.relay.peers.digests import LimitDigest
from pondpin.relay.upstreams.table import UpstreamTable
from pondpin.upstream_limits import LimitReport, limit_number

# The first number of a message; digests, long reads and the quarantine's ends have theirs there.
LIMITS_FORMAT = 1003
# A limit takes some 25 bytes of a digest; of more than these others are told at each turn, so that
# an instance that starts hears of 32 in 2 s.
LIMITS_TOLD = 8
TURN_SECONDS = 0.5
# That a limit holds no more is told for so long: it reaches all within a few digests.
LIFTED_TOLD_SECONDS = 10.0
MILLISECONDS = 1000.0


class LimitsMessage(msgspec.Struct, frozen=True, array_like=True):
    """Limits that their sender has just heard in answers."""

    format: int
    instance: str
    boot: int
    limits: tuple[LimitDigest, ...]


_DECODER = msgspec.msgpack.Decoder(LimitsMessage)
_ENCODER = msgspec.msgpack.Encoder()


def encode_limits(news: LimitsMessage) -> bytes:
    """A message as a datagram."""
    return _ENCODER.encode(news)


def decode_limits(data: bytes) -> LimitsMessage | None:
    """A message from a datagram; None for anything else."""
    try:
        found = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
    return found if found.format == LIMITS_FORMAT else None


def limit_digests(
    table: UpstreamTable, lives: Iterable[int], now: float
) -> tuple[LimitDigest, ...]:
    """The words on some lives as they are told."""
    words = [(life, table.standings.get_or_create(life).limit) for life in lives]
    return tuple(
        LimitDigest(
            life,
            limit_number(word),
            round((now - word.request_sent_at) * MILLISECONDS),
            round((now - word.received_at) * MILLISECONDS),
        )
        for life, word in words
        if word is not None
    )


def to_limit_word(told: LimitDigest, source: str, now: float) -> LimitReport | None:
    """What was told a moment ago; None for what is no limit."""
    if not (told.limit >= 0 or told.limit == -1) or told.asked_age < told.heard_age:
        return None
    return LimitReport(
        None if told.limit < 0 else told.limit,
        now - told.asked_age / MILLISECONDS,
        now - told.heard_age / MILLISECONDS,
        source,
    )


def lives_to_send(table: UpstreamTable, now: float) -> list[int]:
    """Listed lives whose limits a digest tells, by turns where there are many."""
    lives = [
        state.life
        for state in table.by_id.values()
        if state.standing.limit is not None
        and (state.is_limited or now - state.standing.limit.received_at < LIFTED_TOLD_SECONDS)
    ]
    if len(lives) <= LIMITS_TOLD:
        return lives
    start = int(now / TURN_SECONDS) * LIMITS_TOLD % len(lives)
    return (lives + lives)[start : start + LIMITS_TOLD]
