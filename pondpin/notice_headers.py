"""Response headers with the notices of upstreams of the callers' own interface."""

from collections.abc import Callable

from pondpin.http_streams import StreamedResponse
from pondpin.notices import Notice, parse_notice
from pondpin.runtime import wall_now

STATE_HEADER = "pondpin-upstream-state"
LIMIT_HEADER = b"pondpin-upstream-limit"
LEAVING = "leaving"
RETRY_AFTER = b"retry-after"

# Handles the notice of a response from an address.
AddressNoticeHandler = Callable[[str, Notice], None]


def ignore_notice(address: str, notice: Notice) -> None:
    """Handler for clients that only measure."""


def response_notice(response: StreamedResponse) -> Notice:
    """The notice of a response."""
    return parse_notice(
        response.status,
        announces_leaving(response),
        _values(response, RETRY_AFTER),
        response.headers.get("date", ""),
        wall_now(),
        _values(response, LIMIT_HEADER),
    )


def _values(response: StreamedResponse, name: bytes) -> list[str]:
    return [value.decode("latin-1") for key, value in response.raw_headers if key.lower() == name]


def announces_leaving(response: StreamedResponse) -> bool:
    """Whether a response's header reports that the upstream is leaving."""
    return response.headers.get(STATE_HEADER) == LEAVING
