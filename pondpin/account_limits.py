"""Limits of an account over all instances without a shared counter: pure bucket arithmetic.

Each instance grants a share of the account's limit. The share follows the usage that
instances tell each other; without news it falls back to an equal part.
"""

from dataclasses import dataclass, replace

BURST_SECONDS = 2.0
FLOOR_PART = 0.25


@dataclass(frozen=True, slots=True)
class Bucket:
    """A token bucket; rate is per second, level and burst in units."""

    level: float
    updated: float


def refill(bucket: Bucket, rate: float, now: float) -> Bucket:
    """The bucket as it is now."""
    burst = max(1.0, rate * BURST_SECONDS)
    level = min(burst, bucket.level + max(0.0, now - bucket.updated) * rate)
    return Bucket(level, now)


def take(bucket: Bucket, rate: float, amount: float, now: float) -> tuple[Bucket, float]:
    """Take an amount: the bucket, and 0 or the seconds to wait until it could be taken.

    One amount larger than the burst passes when the bucket is full, and leaves a debt.
    """
    full = refill(bucket, rate, now)
    burst = max(1.0, rate * BURST_SECONDS)
    needed = min(amount, burst)
    # Rounding in the refill must not make a caller wait for a millionth of a unit.
    if full.level + 1e-9 >= needed:
        return replace(full, level=full.level - amount), 0.0
    return full, (needed - full.level) / rate


def share_of_limit(limit: float, own_usage: float, total_usage: float, instances: int) -> float:
    """The part of a limit that an instance may grant.

    By usage, but never under a floor, so that an instance whose callers come suddenly
    can start to serve them. The floors are taken out of the whole, so that the sum of all
    instances' shares is the limit.
    """
    equal = limit / max(1, instances)
    if total_usage <= 0:
        return equal
    floor = equal * FLOOR_PART
    by_usage = own_usage / total_usage
    return floor + (limit - floor * max(1, instances)) * by_usage
