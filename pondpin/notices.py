"""What an upstream reports of itself in a response: leaving, a rest, or a request limit.

Adapters read the values from their own headers; their meaning is decided here. Times are in
seconds, limits in requests a second.
"""

import email.utils
import re
from collections.abc import Sequence
from dataclasses import dataclass

# The status whose Retry-After asks for a rest of the upstream itself. With a 429 it concerns the
# account that sent too much, with a 3xx the redirect: neither blocks other accounts' requests.
REST_STATUS = 503
DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


@dataclass(frozen=True, slots=True)
class Notice:
    """What the head of one response reports of its upstream.

    rest: seconds without requests that it asks for, 0 for none. limit: of requests of all instances
    together, None when not reported. invalid_rest, invalid_limit: a value that can't be parsed, as
    received, or empty.
    """

    is_leaving: bool = False
    rest: float = 0.0
    invalid_rest: str = ""
    limit: float | None = None
    invalid_limit: str = ""


EMPTY_NOTICE = Notice()


def parse_notice(
    status: int,
    is_leaving: bool,
    retry_after: Sequence[str],
    date: str,
    wall_now: float,
    limits: Sequence[str] = (),
) -> Notice:
    """The notice of a response; retry_after and limits: all values of these headers."""
    limit, invalid_limit = _parse_limit(limits) if limits else (None, "")
    if status != REST_STATUS or not retry_after:
        is_empty = not is_leaving and limit is None and not invalid_limit
        return (
            EMPTY_NOTICE
            if is_empty
            else Notice(is_leaving, limit=limit, invalid_limit=invalid_limit)
        )
    rest, invalid_rest = 0.0, ""
    for value in _split(retry_after):
        seconds = parse_rest(value, date, wall_now)
        if seconds is None:
            invalid_rest = value
        else:
            # The latest end applies.
            rest = max(rest, seconds)
    return Notice(is_leaving, rest, invalid_rest, limit, invalid_limit)


def _parse_limit(values: Sequence[str]) -> tuple[float | None, str]:
    # Few upstreams report a limit.
    from pondpin.upstream_limits import parse_limit

    return parse_limit(values)


def parse_rest(value: str, date: str, wall_now: float) -> float | None:
    """The seconds that a Retry-After value asks for; None when it is invalid.

    Seconds may have a fraction and have no upper bound: a rest is never shortened. Negative values,
    exponents and values without digits are invalid. An HTTP date counts from the response's Date,
    of the same clock, if there is one; a past date asks for no rest.
    """
    if DECIMAL.fullmatch(value):
        return float(value)
    until = _parse_http_date(value)
    if until is None:
        return None
    made_at = _parse_http_date(date)
    return max(0.0, until - (wall_now if made_at is None else made_at))


def _split(values: Sequence[str]) -> list[str]:
    """Single values; numbers joined by commas are split, an HTTP date with its comma is not."""
    found: list[str] = []
    for value in values:
        parts = [part.strip() for part in value.split(",")]
        found += parts if any(map(DECIMAL.fullmatch, parts)) else [value.strip()]
    return found


def _parse_http_date(text: str) -> float | None:
    """Seconds since the epoch of an HTTP date; None when it is invalid."""
    if ":" not in text:
        return None
    try:
        return email.utils.parsedate_to_datetime(text).timestamp()
    except (ValueError, OverflowError, TypeError):
        return None
