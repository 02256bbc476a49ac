"""Where an upstream's life stands by its own word: whether it leaves, rests, and what it takes.

Kept apart from all else that is known of an upstream, which is built anew when its entry lapses and
comes back: health may be forgotten, and a look at it dropped when few upstreams are left; these may
not. Times are in seconds of the steady clock.
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

# Lives that are remembered beside those in use: ten times the upstreams of the largest fleet, 2 MB.
MAX_LIVES = 10_000
# All that an upstream turned away at one moment would come back at one moment: each instance stays
# away for up to this share of the rest longer, and this many seconds, by a draw of its own.
JITTER_SHARE = 0.1
MAX_JITTER_SECONDS = 0.5
# An instance sends one request to an upstream that has rested, one more with each answer and after
# each such time, all after the last. In time in surges (`measure_rests`): 0.771 0.768 by that,
# 0.726 0.758 when all that waits comes back at once.
SLOW_START_STEP_SECONDS = 0.25
SLOW_START_SECONDS = 2.0


class BlockReason(enum.StrEnum):
    """Why nothing may be sent to an upstream now; empty when something may."""

    NONE = ""
    LEAVING = "leaves"
    RESTING = "rests"
    SLOW_START = "comes back bit by bit"


@dataclass(frozen=True, slots=True)
class Leaving:
    """Who first said that a life leaves, and when that was heard."""

    source: str
    at: float


@dataclass(frozen=True, slots=True)
class Rest:
    """What a life asked for last that is still to be kept.

    until: the end that was asked; back_at: when this instance sends again; answers: requests that
    it took since.
    """

    received_at: float
    until: float
    resume_at: float
    accepted: int = 0


@dataclass(slots=True)
class Availability:
    """One life; that it leaves is final. is_blank: nothing was ever heard of it."""

    leaving: Leaving | None = None
    rest: Rest | None = None
    limit: "LimitReport | None" = None
    is_empty: bool = True

    def record_leaving(self, source: str, now: float) -> bool:
        """Somebody says that it leaves; True when that is news."""
        if self.leaving is not None:
            return False
        self.is_empty = False
        self.leaving = Leaving(source, now)
        return True

    def apply_notice(self, notice: Notice, source: str, now: float, draw: float) -> bool:
        """Take an answer's word; True when it says anything new. draw: 0 to 1, for the return."""
        says_leaving = notice.is_leaving and self.record_leaving(source, now)
        if notice.rest > 0:
            self._note_rest(notice.rest, now, draw)
        return says_leaving or notice.rest > 0 or bool(notice.invalid_rest)

    def _note_rest(self, seconds: float, now: float, draw: float) -> None:
        """The later end counts of two that were asked."""
        until = now + seconds
        if self.rest is not None and until <= self.rest.until:
            return
        self.is_empty = False
        spread = min(MAX_JITTER_SECONDS, JITTER_SHARE * seconds)
        self.rest = Rest(now, until, until + draw * spread)

    def inherit_rest(self, earlier: "Availability", since: float) -> None:
        """Keep a rest that was asked for under the earlier life's name after this life began."""
        if earlier.rest is not None and earlier.rest.received_at >= since:
            self.is_empty = False
            self.rest = earlier.rest

    def record_accepted(self, now: float) -> None:
        """It took a request: after a rest it may have one more. In a rest that changes nothing."""
        rest = self.rest
        if rest is not None and now >= rest.resume_at:
            self.rest = replace(rest, accepted=rest.accepted + 1)

    def block_reason(self, now: float, own_in_flight: int = 0) -> BlockReason:
        """Why nothing may be sent there; open_here: this instance's requests there."""
        if self.leaving is not None:
            return BlockReason.LEAVING
        rest = self.rest
        if rest is None:
            return BlockReason.NONE
        if now < rest.resume_at:
            return BlockReason.RESTING
        returning = now - rest.resume_at
        most = 1 + rest.accepted + int(min(returning, SLOW_START_SECONDS) / SLOW_START_STEP_SECONDS)
        return (
            BlockReason.SLOW_START
            if returning < SLOW_START_SECONDS and own_in_flight >= most
            else BlockReason.NONE
        )


@dataclass
class AvailabilityTable(Generic[Life]):
    """The standing of each life; is_kept says of a life that it is in use."""

    is_in_use: Callable[[Life], bool] = lambda life: False
    rng: random.Random = field(default_factory=random.Random)
    by_life: OrderedDict[Life, Availability] = field(default_factory=OrderedDict)
    # Whether any life has ever named a limit.
    any_limit_reported: bool = False

    def get_or_create(self, life: Life) -> Availability:
        """A life's standing, the same one for as long as it is remembered."""
        found = self.by_life.get(life)
        if found is None:
            found = self.by_life[life] = Availability()
            self._forget()
        return found

    def apply_notice(self, life: Life, notice: Notice, source: str, now: float) -> bool:
        """Take an answer's word; True when it says anything new."""
        return self.get_or_create(life).apply_notice(notice, source, now, self.rng.random())

    def _forget(self) -> None:
        """Drop the oldest lives beyond the bound, those in use aside."""
        for life in list(self.by_life)[: max(0, len(self.by_life) - MAX_LIVES)]:
            if not self.is_in_use(life):
                del self.by_life[life]


@dataclass(frozen=True, slots=True)
class Unavailability:
    """Why none of some upstreams takes a request: all leave, or some rest until a moment."""

    reason: BlockReason
    resume_at: float


def find_unavailability(standings: Iterable[Availability], now: float) -> Unavailability | None:
    """Why nobody takes a request, None when somebody does, or nobody is there at all."""
    known = list(standings)
    bars = [standing.block_reason(now) for standing in known]
    if not bars or BlockReason.NONE in bars:
        return None
    rests = [item.rest for item in known if item.leaving is None and item.rest is not None]
    if not rests:
        return Unavailability(BlockReason.LEAVING, now)
    return Unavailability(BlockReason.RESTING, min(rest.resume_at for rest in rests))
