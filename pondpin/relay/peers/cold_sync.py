"""Cold lives in digests; loaded once a service has a cold rate."""

from collections.abc import Iterable

from pondpin.relay.peers.digests import MILLISECONDS, ColdDigest
from pondpin.relay.upstreams.cold_starts import (
    PEER_DELAY_SECONDS,
    ColdStarts,
    ColdStatement,
)

# A cold life takes about 18 bytes of a digest. When a data centre starts, all its lives are cold,
# and each instance learns that from the list; the others are sent in turns.
MAX_DIGEST_COLD = 8
ROTATION_SECONDS = 0.5
PEER = "peer "


def cold_digests(cold_starts: ColdStarts, now: float) -> tuple[ColdDigest, ...]:
    """The cold lives for the next digest, the latest first, and those that ended early.

    Statements of unknown age, from the first list, are left out: peers have read the list too.
    """
    lives = [
        life
        for life in (*cold_starts.cold_lives, *cold_starts.ended_at_by_life)
        if cold_starts.statement_by_life[life].earliest > float("-inf")
    ]
    lives.sort(key=lambda life: cold_starts.statement_by_life[life].latest, reverse=True)
    return tuple(_digest(cold_starts, life, now) for life in _rotate(lives, now))


def _rotate(lives: list[int], now: float) -> list[int]:
    if len(lives) <= MAX_DIGEST_COLD:
        return lives
    fixed, others = lives[: MAX_DIGEST_COLD // 2], lives[MAX_DIGEST_COLD // 2 :]
    count = MAX_DIGEST_COLD - len(fixed)
    start = int(now / ROTATION_SECONDS) * count % len(others)
    return fixed + (others + others)[start : start + count]


def _digest(cold_starts: ColdStarts, life: int, now: float) -> ColdDigest:
    statement = cold_starts.statement_by_life[life]
    remaining = max(0.0, statement.until - now)
    # The time that leaves the receiver cold if it can't tell which of two statements is later.
    stated_at = statement.latest if remaining > 0 else statement.earliest
    return ColdDigest(
        life, round(remaining * MILLISECONDS), round((now - stated_at) * MILLISECONDS)
    )


def apply_cold_digests(
    cold_starts: ColdStarts, digests: Iterable[ColdDigest], instance: str, now: float
) -> None:
    """Apply the cold lives of a peer's digest that was received just now."""
    for item in digests:
        if item.remaining_ms < 0 or item.age_ms < 0:
            continue
        stated_at = now - item.age_ms / MILLISECONDS
        until = now + item.remaining_ms / MILLISECONDS
        statement = ColdStatement(
            until, stated_at - PEER_DELAY_SECONDS, stated_at, f"{PEER}{instance}"
        )
        cold_starts.apply(item.life, statement, now)
