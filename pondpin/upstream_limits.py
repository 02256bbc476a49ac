"""The request limit that an upstream reports for all instances, and which report applies.

Times are in seconds of the steady clock, limits in requests a second.
"""

from collections.abc import Hashable, Sequence
from dataclasses import dataclass, replace
from typing import TypeVar

from pondpin.availability import Availability, AvailabilityTable, Rest
from pondpin.notices import DECIMAL

Life = TypeVar("Life", bound=Hashable)

# Times from peers are dated when their message is read, a few ms late: one report is later than
# another only by more than this.
TOLERANCE_SECONDS = 0.05
# Stands for no limit in logs and peer messages.
NO_LIMIT = -1.0
# Larger limits, also infinite ones, have no effect and are sent as this.
MAX_LIMIT_NUMBER = 1e9


@dataclass(frozen=True, slots=True)
class LimitReport:
    """The limit that a response reported for its upstream; None: no limit applies any more.

    request_sent_at: when the request was sent, or slightly earlier. received_at: when the response
    head was received.
    """

    limit: float | None
    request_sent_at: float
    received_at: float
    source: str


def parse_limit(values: Sequence[str]) -> tuple[float | None, str]:
    """The limit in a response's headers, None for none, and an invalid value, or empty.

    A decimal number of any length, as for a rest. The lowest of several valid values applies; 0 is
    a limit. Invalid values alone neither set nor lift a limit.
    """
    limit: float | None = None
    invalid = ""
    for part in (part.strip() for value in values for part in value.split(",")):
        if DECIMAL.fullmatch(part):
            limit = float(part) if limit is None else min(limit, float(part))
        else:
            invalid = part or "an empty value"
    return limit, invalid


def merge_reports(known: LimitReport | None, new: LimitReport) -> LimitReport:
    """Which of two reports applies.

    Response heads arrive out of order: only a report whose request was sent after the other report
    was received is surely the newer one and replaces it. Otherwise the lower limit applies.
    """
    if known is None or new.request_sent_at > known.received_at + TOLERANCE_SECONDS:
        return new
    if known.limit == new.limit:
        request_sent_at = max(known.request_sent_at, new.request_sent_at)
        return replace(
            known,
            request_sent_at=request_sent_at,
            received_at=max(known.received_at, new.received_at),
        )
    if known.request_sent_at > new.received_at + TOLERANCE_SECONDS or new.limit is None:
        return known
    return new if known.limit is None or new.limit < known.limit else known


def apply_limit(
    table: AvailabilityTable[Life], life: Life, report: LimitReport, now: float
) -> bool:
    """Apply a report of a life's limit; True when the limit in force changes.

    A lifted limit begins a slow start: all requests that were held back would arrive at once.
    """
    table.any_limit_reported = table.any_limit_reported or report.limit is not None
    known = table.by_life.get(life)
    if report.limit is None and (known is None or known.limit is None):
        return False
    availability = table.get_or_create(life)
    before = limit_number(availability.limit)
    availability.limit = merge_reports(availability.limit, report)
    availability.is_empty = False
    if limit_number(availability.limit) == before:
        return False
    if availability.limit.limit is None:
        _begin_slow_start(availability, now)
    return True


def _begin_slow_start(availability: Availability, now: float) -> None:
    """Begin a slow start without a rest: the upstream still accepts requests."""
    if availability.rest is None or availability.rest.until <= now:
        availability.rest = Rest(now, now, now)


def limit_number(report: LimitReport | None) -> float:
    """A limit as a number for logs and messages."""
    if report is None or report.limit is None:
        return NO_LIMIT
    return min(MAX_LIMIT_NUMBER, report.limit)
