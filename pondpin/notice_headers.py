"""The headers in which upstreams of the callers' own interface say of themselves that they leave,
and what they take from all instances together.
"""

from collections.abc import Callable

from pondpin.http_streams import StreamedResponse
from pondpin.notices import Notice, parse_notice
from pondpin.runtime import wall_now

STATE_HEADER = "pondpin-upstream-state"
LIMIT_HEADER = b"pondpin-upstream-limit"
LEAVING = "leaving"
RETRY_AFTER = b"retry-after"

# Takes what an answer from an address says of the upstream there.
AddressNoticeHandler = Callable[[str, Notice], None]


def ignore_notice(address: str, notice: Notice) -> None:
    """For clients that only measure."""


def response_notice(start: StreamedResponse) -> Notice:
    """What any answer says of its upstream."""
    return parse_notice(
        start.status,
        announces_leaving(start),
        _all(start, RETRY_AFTER),
        start.headers.get("date", ""),
        wall_now(),
        _all(start, LIMIT_HEADER),
    )


def _all(start: StreamedResponse, name: bytes) -> list[str]:
    return [value.decode("latin-1") for key, value in start.raw_headers if key.lower() == name]


def announces_leaving(start: StreamedResponse) -> bool:
    """Whether an answer's header says that the upstream leaves."""
    return start.headers.get(STATE_HEADER) == LEAVING
