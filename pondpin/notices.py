"""What an upstream says of itself in an answer: that it leaves, wants rest, or takes only so much.

The adapters read it once, each with its own headers; what it means is decided here, for all ways to
an upstream. Times are in seconds, limits in requests a second.
"""

import email.utils
import re
from collections.abc import Sequence
from dataclasses import dataclass

# The status whose Retry-After is a wish of the upstream itself. A 429 speaks to the account that
# asked too often, a 3xx of where the answer is: neither keeps other accounts' requests away.
REST_STATUS = 503
DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


@dataclass(frozen=True, slots=True)
class Notice:
    """What the head of one answer says of the upstream that gave it.

    rest: for how many seconds it wants nothing, 0 when it asks for none. odd: a wish for rest that
    can't be understood, as it came; empty when there is none. limit: what it takes from all
    instances together, None when it names no limit; odd_limit: one that can't be understood.
    """

    is_leaving: bool = False
    rest: float = 0.0
    invalid_rest: str = ""
    limit: float | None = None
    invalid_limit: str = ""


EMPTY_NOTICE = Notice()


def parse_notice(
    status: int,
    leaves: bool,
    retry_after: Sequence[str],
    date: str,
    wall_now: float,
    limits: Sequence[str] = (),
) -> Notice:
    """What an answer says; retry_after and limits are all values of those headers, date is when it
    was made.
    """
    limit, odd_limit = _read_limit(limits) if limits else (None, "")
    if status != REST_STATUS or not retry_after:
        is_silent = not leaves and limit is None and not odd_limit
        return EMPTY_NOTICE if is_silent else Notice(leaves, limit=limit, invalid_limit=odd_limit)
    rest, odd = 0.0, ""
    for value in _split(retry_after):
        seconds = read_rest(value, date, wall_now)
        if seconds is None:
            odd = value
        else:
            # Of two that are asked the later end counts.
            rest = max(rest, seconds)
    return Notice(leaves, rest, odd, limit, odd_limit)


def _read_limit(values: Sequence[str]) -> tuple[float | None, str]:
    # Few upstreams ever name one.
    from pondpin.upstream_limits import parse_limit

    return parse_limit(values)


def read_rest(value: str, date: str, wall_now: float) -> float | None:
    """The seconds that a value asks for, None when it asks for nothing that can be understood.

    Seconds may have fractions and be as many as they like: what is asked is never shortened. Below
    zero, with an exponent or without a digit it is no number. A moment counts from when the answer
    was made, by the clock that made it, where the answer says so; one that is past asks for none.
    """
    if DECIMAL.fullmatch(value):
        return float(value)
    until = _read_moment(value)
    if until is None:
        return None
    made_at = _read_moment(date)
    return max(0.0, until - (wall_now if made_at is None else made_at))


def _split(values: Sequence[str]) -> list[str]:
    """Single values, also seconds that were joined by commas on their way; moments hold one."""
    found: list[str] = []
    for value in values:
        parts = [part.strip() for part in value.split(",")]
        found += parts if any(map(DECIMAL.fullmatch, parts)) else [value.strip()]
    return found


def _read_moment(text: str) -> float | None:
    """Seconds since the epoch of an HTTP date."""
    if ":" not in text:
        return None
    try:
        return email.utils.parsedate_to_datetime(text).timestamp()
    except (ValueError, OverflowError, TypeError):
        return None
