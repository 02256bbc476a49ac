"""Availability that an upstream's life reported: leaving, resting, request limit.

Also whether its data centre is evacuated, so that one check covers all reasons.

Kept apart from an upstream's other state, which is rebuilt when its list entry lapses and returns:
health may be lost then, and is ignored when few upstreams are left; these reports are not. Times
are in seconds of the steady clock.
"""

import enum
import random
from collections import OrderedDict
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Generic, TypeVar

from pondpin.notices import Notice

if TYPE_CHECKING:
    from pondpin.upstream_limits import LimitReport

Life = TypeVar("Life", bound=Hashable)

# Above this, lives not in use are evicted: ten times the largest fleet, 2 MB.
MAX_LIVES = 10_000
# Random extra wait of each instance after a rest, as a share of it and at most this long. Without
# it all instances would return to the upstream at the same time.
JITTER_SHARE = 0.1
MAX_JITTER_SECONDS = 0.5
# Slow start after a rest: one request in flight per instance, one more for each accepted request
# and for each step, no bound after the last step. Requests in time under surges (`measure_rests`):
# 0.771 0.768 with it, 0.726 0.758 when all queued requests return at once.
SLOW_START_STEP_SECONDS = 0.25
SLOW_START_SECONDS = 2.0


class BlockReason(enum.StrEnum):
    """Why no request may be sent to an upstream now; empty when one may."""

    NONE = ""
    LEAVING = "leaves"
    RESTING = "rests"
    SLOW_START = "comes back bit by bit"
    EVACUATED = "is evacuated"


RETURNING = (BlockReason.RESTING, BlockReason.SLOW_START)


@dataclass(frozen=True, slots=True)
class Leaving:
    """The first source that reported a life as leaving, and when."""

    source: str
    at: float


@dataclass(frozen=True, slots=True)
class Rest:
    """The rest in force, or the last one, of a life.

    until: the end asked for. resume_at: the same with jitter. accepted: requests accepted since.
    """

    received_at: float
    until: float
    resume_at: float
    accepted: int = 0


@dataclass(slots=True)
class Availability:
    """Availability of one life; leaving is final. is_empty: nothing restricts its requests.

    evacuated: an operator has ordered to evacuate its data centre. cold_rate: while it is cold
    after a start, the requests a second from all instances.
    """

    leaving: Leaving | None = None
    rest: Rest | None = None
    limit: "LimitReport | None" = None
    is_empty: bool = True
    evacuated: bool = False
    cold_rate: float | None = None

    def set_cold_rate(self, rate: float | None) -> None:
        """Begin, change or end (None) the coldness."""
        self.cold_rate = rate
        reported = (self.leaving, self.rest, self.limit, rate)
        self.is_empty = not self.evacuated and all(item is None for item in reported)

    def record_leaving(self, source: str, now: float) -> bool:
        """Record that the life is leaving; True when this was not known."""
        if self.leaving is not None:
            return False
        self.is_empty = False
        self.leaving = Leaving(source, now)
        return True

    def apply_notice(self, notice: Notice, source: str, now: float, draw: float) -> bool:
        """Apply a notice; True when it reports something. draw: 0 to 1, for jitter."""
        is_newly_leaving = notice.is_leaving and self.record_leaving(source, now)
        if notice.rest > 0:
            self._extend_rest(notice.rest, now, draw)
        return is_newly_leaving or notice.rest > 0 or bool(notice.invalid_rest)

    def _extend_rest(self, seconds: float, now: float, draw: float) -> None:
        """Set the rest unless one in force ends later."""
        until = now + seconds
        if self.rest is not None and until <= self.rest.until:
            return
        self.is_empty = False
        max_jitter = min(MAX_JITTER_SECONDS, JITTER_SHARE * seconds)
        self.rest = Rest(now, until, until + draw * max_jitter)

    def set_evacuated(self, evacuated: bool, now: float) -> None:
        """Begin an evacuation, or end one with a slow start as after a rest."""
        if evacuated:
            self.is_empty = False
        elif self.evacuated and (self.rest is None or self.rest.resume_at < now):
            self.rest = Rest(now, now, now)
        self.evacuated = evacuated

    def inherit_rest(self, earlier: "Availability", since: float) -> None:
        """Keep a rest that was recorded for the earlier life after this life began."""
        if earlier.rest is not None and earlier.rest.received_at >= since:
            self.is_empty = False
            self.rest = earlier.rest

    def record_accepted(self, now: float) -> None:
        """Count an accepted request for the slow start; no effect while resting."""
        rest = self.rest
        if rest is not None and now >= rest.resume_at:
            self.rest = replace(rest, accepted=rest.accepted + 1)

    def block_reason(self, now: float, own_in_flight: int = 0) -> BlockReason:
        """Why no request may be sent; own_in_flight: this instance's open requests there."""
        if self.leaving is not None:
            return BlockReason.LEAVING
        if self.evacuated:
            return BlockReason.EVACUATED
        rest = self.rest
        if rest is None:
            return BlockReason.NONE
        if now < rest.resume_at:
            return BlockReason.RESTING
        elapsed = now - rest.resume_at
        allowed = (
            1 + rest.accepted + int(min(elapsed, SLOW_START_SECONDS) / SLOW_START_STEP_SECONDS)
        )
        return (
            BlockReason.SLOW_START
            if elapsed < SLOW_START_SECONDS and own_in_flight >= allowed
            else BlockReason.NONE
        )


@dataclass
class AvailabilityTable(Generic[Life]):
    """Availability by life; lives for which is_in_use holds are not evicted."""

    is_in_use: Callable[[Life], bool] = lambda life: False
    rng: random.Random = field(default_factory=random.Random)
    by_life: OrderedDict[Life, Availability] = field(default_factory=OrderedDict)
    # Whether any life has ever reported a limit, or was cold.
    any_limit_reported: bool = False

    def get_or_create(self, life: Life) -> Availability:
        """A life's availability, the same until it is evicted."""
        found = self.by_life.get(life)
        if found is None:
            found = self.by_life[life] = Availability()
            self._evict()
        return found

    def apply_notice(self, life: Life, notice: Notice, source: str, now: float) -> bool:
        """Apply a notice; True when it reports something."""
        return self.get_or_create(life).apply_notice(notice, source, now, self.rng.random())

    def _evict(self) -> None:
        for life in list(self.by_life)[: max(0, len(self.by_life) - MAX_LIVES)]:
            if not self.is_in_use(life):
                del self.by_life[life]


@dataclass(frozen=True, slots=True)
class Unavailability:
    """Why no upstream of a set accepts requests.

    Some rest until resume_at; else some are evacuated; else all leave.
    """

    reason: BlockReason
    resume_at: float


def find_unavailability(items: Iterable[Availability], now: float) -> Unavailability | None:
    """Why no upstream accepts a request; None when one does, or when there are none."""
    known = list(items)
    reasons = [availability.block_reason(now) for availability in known]
    if not reasons or BlockReason.NONE in reasons:
        return None
    resting = [item for item, reason in zip(known, reasons, strict=True) if reason in RETURNING]
    rests = [item.rest for item in resting if item.rest is not None]
    if not rests:
        is_evacuated = BlockReason.EVACUATED in reasons
        return Unavailability(BlockReason.EVACUATED if is_evacuated else BlockReason.LEAVING, now)
    return Unavailability(BlockReason.RESTING, min(rest.resume_at for rest in rests))
