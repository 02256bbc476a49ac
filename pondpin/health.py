"""Ejection of failing upstreams, on frozen records; a pool is never emptied."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

FAILURES_TO_EJECT = 3
FIRST_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0
MAX_EJECTED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Health:
    """Consecutive failures, ejections, and end of the last one in seconds."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0

    def is_ejected(self, now: float) -> bool:
        """Whether no new requests should be sent there."""
        return now < self.ejected_until


def record_success(health: Health, now: float) -> Health:
    """A call or poll succeeded: reset the failures, and halve the count of ejections."""
    if health.failures == 0 and health.ejections == 0:
        return health
    if health.is_ejected(now):
        return replace(health, failures=0)
    return Health(0, health.ejections // 2, 0.0)


def record_failure(health: Health, now: float, certain: bool = False) -> Health:
    """A call or poll failed; certain: the upstream refused the connection."""
    failures = health.failures + (FAILURES_TO_EJECT if certain else 1)
    if failures < FAILURES_TO_EJECT or health.is_ejected(now):
        return replace(health, failures=failures)
    seconds = min(MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2**health.ejections)
    return Health(0, health.ejections + 1, now + seconds)


def usable_names(names: Sequence[str], health_by_name: dict[str, Health], now: float) -> list[str]:
    """The names that may get requests; ejection is ignored when over half are ejected.

    So many concurrent failures point to the network or to this instance, not to the upstreams.
    """
    allowed = [name for name in names if not health_by_name.get(name, Health()).is_ejected(now)]
    ejected = len(names) - len(allowed)
    if allowed and ejected <= MAX_EJECTED_SHARE * len(names):
        return allowed
    return allowed or list(names)
