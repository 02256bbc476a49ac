"""What an upstream takes from all instances together, by its own word, and which word counts.

Times are in seconds of the steady clock, limits in requests a second.
"""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass, replace
from typing import TypeVar

from pondpin.availability import Availability, AvailabilityTable, Rest
from pondpin.notices import DECIMAL

Life = TypeVar("Life", bound=Hashable)

# Moments that a peer tells are dated by when its message is read, a few ms late; one word is proved
# later than another by more than this.
DATING_SECONDS = 0.05
# How no limit is told in logs and to peers.
NO_LIMIT = -1.0
# A limit that no number holds binds nobody; it is told as this one.
LARGEST_TOLD = 1e9


@dataclass(frozen=True, slots=True)
class LimitReport:
    """What an answer said of its upstream's limit; None: it named none, so none holds any more.

    asked_at: when the request that it answers was sent, or a little before; heard_at: when its head
    came.
    """

    limit: float | None
    request_sent_at: float
    received_at: float
    source: str


def parse_limit(values: Sequence[str]) -> tuple[float | None, str]:
    """The limit that an answer names, None when it names none, and a value that is no limit.

    A decimal number of any length, as for a rest; of several, in one header or more, the lowest
    counts, and sound ones count beside odd ones. 0 is a limit. Odd ones alone say nothing: neither
    that there is a limit, nor that one that was named before holds no more.
    """
    limit: float | None = None
    odd = ""
    for part in (part.strip() for value in values for part in value.split(",")):
        if DECIMAL.fullmatch(part):
            limit = float(part) if limit is None else min(limit, float(part))
        else:
            odd = part or "an empty value"
    return limit, odd


def merge_reports(known: LimitReport | None, heard: LimitReport) -> LimitReport:
    """Which of two words counts.

    Heads come out of order: an answer that was asked for before the other word was heard may be the
    earlier one. So only one that was asked for afterwards takes the other's place whatever it says;
    where neither was, the lower limit counts.
    """
    if known is None or heard.request_sent_at > known.received_at + DATING_SECONDS:
        return heard
    if known.limit == heard.limit:
        asked_at = max(known.request_sent_at, heard.request_sent_at)
        return replace(
            known, request_sent_at=asked_at, received_at=max(known.received_at, heard.received_at)
        )
    if known.request_sent_at > heard.received_at + DATING_SECONDS or heard.limit is None:
        return known
    return heard if known.limit is None or heard.limit < known.limit else known


def apply_limit(
    standings: AvailabilityTable[Life], life: Life, word: LimitReport, now: float
) -> bool:
    """Take a word on a life's limit; True when that changes what it takes.

    One that is lifted returns bit by bit, as after a rest: all that kept away would come at once.
    """
    standings.any_limit_reported = standings.any_limit_reported or word.limit is not None
    known = standings.by_life.get(life)
    if word.limit is None and (known is None or known.limit is None):
        return False
    standing = standings.get_or_create(life)
    before = limit_number(standing.limit)
    standing.limit = merge_reports(standing.limit, word)
    standing.is_empty = False
    if limit_number(standing.limit) == before:
        return False
    if standing.limit.limit is None:
        _return_bit_by_bit(standing, now)
    return True


def _return_bit_by_bit(standing: Availability, now: float) -> None:
    """As at the end of a rest, but at once: it takes requests all the while."""
    if standing.rest is None or standing.rest.until <= now:
        standing.rest = Rest(now, now, now)


def limit_number(word: LimitReport | None) -> float:
    """A limit as a number for logs and messages."""
    if word is None or word.limit is None:
        return NO_LIMIT
    return min(LARGEST_TOLD, word.limit)
