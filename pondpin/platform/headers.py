"""Translates headers of requests and responses."""

import math
from collections.abc import Callable, Iterable, Sequence

from pondpin.http_streams import StreamedResponse
from pondpin.network import Endpoint, parse_endpoint
from pondpin.notices import EMPTY_NOTICE, Notice, parse_notice
from pondpin.relay.model import NO_SEGMENTS, Load, PromptSegments, RequestMetadata, ResponseHead
from pondpin.relay.ports import ForwardMetadata, HeadCallback
from pondpin.runtime import wall_now

ATTEMPT_ID = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
TOKEN_USAGE = b"x-token-usage"
RESUME_AFTER = b"last-event-id"
# The segments of the prompt as ID:TOKENS, of which the last belongs to the request alone.
SEGMENTS = b"x-prompt-prefix"
TENANT = b"x-tenant"
EXPECT_INSTANCE = b"x-expect-instance"
PRIORITY = b"priority"
HELPERS = b"helpers"
LOAD = b"x-instance-load"
NOT_EXECUTED = b"x-not-executed"
# Address (not id) of the assigned upstream that failed.
FAILED_ENDPOINT = b"at-server"
SIGNATURE = b"x-instance-signature"
INSTANCE = b"x-instance-id"
# "1" in every response of an upstream that is shutting down.
LEAVING = b"server-leaving"
LEAVING_VALUE = b"1"
# Requests per second that the upstream accepts from all instances together.
LIMIT = b"server-limit"
# How long an upstream is still cold, in answers to liveness checks.
COLD = b"x-cold-ms"
# Prefix of headers about an upstream's state; HTTP's Server header has no hyphen.
NOTICE_PREFIX = b"server-"
KNOWN_NOTICES = frozenset((LEAVING, LIMIT))
RETRY_AFTER = b"retry-after"
DATE = b"date"
BEARER = b"bearer "
MISDIRECTED = 421
MS_PER_SECOND = 1000.0
# Of tokens or requests.
MAX_COUNT = 10**12

# Hop-by-hop headers.
CONNECTION_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
     b"upgrade", b"content-length", b"expect", b"proxy-authorization", b"proxy-authenticate")
)  # fmt: skip
# Caller headers that aren't forwarded: pondpin sets them or withholds the API key.
OWNED_HEADERS = frozenset(
    (b"authorization", DEADLINE, TENANT, EXPECT_INSTANCE, PRIORITY, HELPERS, b"expect-version")
)

RawHeaders = Sequence[tuple[bytes, bytes]]


def _first(headers: RawHeaders, name: bytes) -> bytes:
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""


def _parse_number(text: bytes) -> float | None:
    """Parse a number, which may be infinite; None if absent or invalid."""
    try:
        number = float(text)
    except ValueError:
        return None
    return None if math.isnan(number) else number


def _parse_counts(text: bytes) -> list[int]:
    return [_parse_count(part.strip()) for part in text.split(b",") if part.strip().isdigit()]


def _parse_count(digits: bytes) -> int:
    """Parse a decimal number; one over MAX_COUNT counts as that."""
    significant = digits.lstrip(b"0")
    if len(significant) > len(str(MAX_COUNT)):
        return MAX_COUNT
    return min(MAX_COUNT, int(significant or b"0"))


def _read_segments(header: bytes) -> PromptSegments:
    return PromptSegments(header, _decode_segments) if header else NO_SEGMENTS


def _decode_segments(header: bytes) -> tuple[tuple[bytes, ...], int]:
    # Loaded with the first upstream that ends.
    from pondpin.platform.segments import decode_segments

    return decode_segments(header)


def _connection_options(headers: RawHeaders) -> set[bytes]:
    return {
        part.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for part in value.split(b",")
    }


class PlatformDialect:
    """Implements Dialect for the platform's headers."""

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """Parse a caller's headers; missing or invalid values keep their defaults."""
        bearer = _first(headers, b"authorization")
        key = bearer[len(BEARER) :].strip() if bearer.lower().startswith(BEARER) else b""
        milliseconds = _parse_number(_first(headers, DEADLINE))
        tokens = _parse_counts(_first(headers, TOKEN_USAGE))
        return RequestMetadata(
            attempt_id=_first(headers, ATTEMPT_ID).decode("latin-1"),
            host=_first(headers, b"host").decode("latin-1").partition(":")[0].lower(),
            api_key=key.decode("latin-1"),
            timeout=None if milliseconds is None else milliseconds / MS_PER_SECOND,
            prompt_tokens=tokens[0] if tokens else 0,
            answer_tokens=tokens[1] if len(tokens) > 1 else 0,
            resume_after=_first(headers, RESUME_AFTER).decode("latin-1"),
            segments=_read_segments(_first(headers, SEGMENTS)),
        )

    def forward_headers(
        self, headers: RawHeaders, sent: ForwardMetadata
    ) -> list[tuple[bytes, bytes]]:
        """Build the headers of an upstream request."""
        dropped = CONNECTION_HEADERS | OWNED_HEADERS | _connection_options(headers)
        if sent.resume_after:
            dropped = dropped | {RESUME_AFTER}
        kept = [(key, value) for key, value in headers if key.lower() not in dropped]
        milliseconds = max(1, int(sent.seconds_left * MS_PER_SECOND))
        kept.append((b"X-Deadline-Ms", str(milliseconds).encode()))
        kept.append((b"X-Expect-Instance", sent.upstream.encode()))
        kept.append((b"Priority", str(sent.rank).encode()))
        if sent.account:
            kept.append((b"X-Tenant", sent.account.encode()))
        if sent.resume_after:
            kept.append((b"Last-Event-Id", sent.resume_after.encode()))
        if sent.parts:
            endpoints = (
                f"{part.host}:{part.port}" + (f"/{part.lease}" if part.lease else "")
                for part in sent.parts
            )
            kept.append((b"Helpers", ",".join(endpoints).encode()))
        return kept

    def read_head(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> ResponseHead:
        """Parse a response head, without hop-by-hop headers."""
        raw = tuple(headers)
        kept = tuple(pair for pair in raw if pair[0].lower() not in CONNECTION_HEADERS)
        content = _first(raw, b"content-type")
        return ResponseHead(
            status=status,
            attempt_id=_first(raw, ATTEMPT_ID).decode("latin-1"),
            not_executed=status == MISDIRECTED or bool(_first(raw, NOT_EXECUTED)),
            load=_parse_load(_first(raw, LOAD)),
            is_event_stream=content.lower().startswith(b"text/event-stream"),
            signed=bool(_first(raw, SIGNATURE)),
            failed_endpoint=_parse_endpoint(_first(raw, FAILED_ENDPOINT)),
            upstream_id=_first(raw, INSTANCE).decode("latin-1"),
            notice=response_notice(status, raw),
            headers=kept,
            unknown_headers=_unknown_notices(raw),
            cold_seconds=_parse_cold_seconds(_first(raw, COLD)),
        )


def head_observer(callback: HeadCallback) -> Callable[[StreamedResponse], None]:
    """Make a handler that passes a response's parsed head to callback."""
    read_head = PlatformDialect().read_head
    return lambda response: callback(read_head(response.status, response.raw_headers))


def response_notice(status: int, headers: RawHeaders) -> Notice:
    """Parse the notice in any response of an upstream."""
    names = {key.lower() for key, _ in headers}
    if not names & {LEAVING, LIMIT, RETRY_AFTER}:
        return EMPTY_NOTICE
    retry_after = _all(headers, RETRY_AFTER)
    is_leaving = any(
        key.lower() == LEAVING and value.strip() == LEAVING_VALUE for key, value in headers
    )
    date = _first(headers, DATE).decode("latin-1")
    return parse_notice(status, is_leaving, retry_after, date, wall_now(), _all(headers, LIMIT))


def _all(headers: RawHeaders, name: bytes) -> list[str]:
    return [value.decode("latin-1") for key, value in headers if key.lower() == name]


def _unknown_notices(headers: RawHeaders) -> tuple[tuple[str, str], ...]:
    """Unknown headers about the upstream's state."""
    return tuple(
        (key.lower().decode("latin-1"), value.decode("latin-1"))
        for key, value in headers
        if key.lower().startswith(NOTICE_PREFIX) and key.lower() not in KNOWN_NOTICES
    )


def _parse_endpoint(text: bytes) -> Endpoint | None:
    """Parse an address; None if absent or invalid."""
    try:
        return parse_endpoint(text.decode("latin-1")) if text else None
    except ValueError:
        return None


def _parse_cold_seconds(text: bytes) -> float | None:
    """Seconds from milliseconds; None if absent or not a finite number from 0."""
    milliseconds = _parse_number(text)
    if milliseconds is None or not 0 <= milliseconds < float("inf"):
        return None
    return milliseconds / MS_PER_SECOND


def _parse_load(text: bytes) -> Load | None:
    numbers = _parse_counts(text)
    if len(numbers) < 3:
        return None
    return Load(running=numbers[0], waiting=numbers[1], slots=numbers[2])
