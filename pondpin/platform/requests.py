"""Translates requests to workers and answers of workers, header by header."""

from collections.abc import Callable, Iterable, Sequence

from pondpin.http_streams import StreamStart
from pondpin.network import Endpoint, parse_endpoint
from pondpin.notices import NOTHING, Notice, read_notice
from pondpin.relay.model import Load, RequestMetadata, ResponseHead
from pondpin.relay.ports import ForwardMetadata, HeadCallback
from pondpin.runtime import wall_now

ATTEMPT_ID = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
TOKENS = b"x-token-usage"
RESUME_AFTER = b"last-event-id"
TENANT = b"x-tenant"
EXPECT_INSTANCE = b"x-expect-instance"
PRIORITY = b"priority"
HELPERS = b"helpers"
LOAD = b"x-instance-load"
NOT_EXECUTED = b"x-not-executed"
# Not a name: the address of the worker, of those that a request was given, that failed it.
AT_FAULT = b"at-server"
SIGNATURE = b"x-instance-signature"
INSTANCE = b"x-instance-id"
# "1" in every answer of a worker that leaves; "Server" is no word of the product.
LEAVING = b"server-leaving"
LEAVES = b"1"
# The requests a second that the worker takes from all machines together, not its sender's share.
LIMIT = b"server-limit"
# Workers' words of themselves begin so; the header of plain HTTP without a hyphen is none.
WORDS = b"server-"
KNOWN_WORDS = frozenset((LEAVING, LIMIT))
RETRY_AFTER = b"retry-after"
DATE = b"date"
BEARER = b"bearer "
MISDIRECTED = 421
MILLISECONDS = 1000.0

# Headers that concern one connection only.
CONNECTION_HEADERS = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding",
     b"upgrade", b"content-length", b"expect", b"proxy-authorization", b"proxy-authenticate")
)  # fmt: skip
# Headers of a caller that never reach a worker: pondpin sets them itself, or keeps the key.
OWNED_HEADERS = frozenset(
    (b"authorization", DEADLINE, TENANT, EXPECT_INSTANCE, PRIORITY, HELPERS, b"expect-version")
)

RawHeaders = Sequence[tuple[bytes, bytes]]


def _first(headers: RawHeaders, name: bytes) -> bytes:
    for key, value in headers:
        if key.lower() == name:
            return value
    return b""


def _number(text: bytes) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _numbers(text: bytes) -> list[int]:
    return [int(part) for part in text.split(b",") if part.strip().isdigit()]


def _named_by_connection(headers: RawHeaders) -> set[bytes]:
    return {
        part.strip().lower()
        for key, value in headers
        if key.lower() == b"connection"
        for part in value.split(b",")
    }


class PlatformDialect:
    """The product's Dialect for the platform's headers."""

    def read_request(self, headers: RawHeaders) -> RequestMetadata:
        """What a caller's headers say; what is missing or no number is left at its default."""
        bearer = _first(headers, b"authorization")
        key = bearer[len(BEARER) :].strip() if bearer.lower().startswith(BEARER) else b""
        milliseconds = _number(_first(headers, DEADLINE))
        tokens = _numbers(_first(headers, TOKENS))
        return RequestMetadata(
            attempt_id=_first(headers, ATTEMPT_ID).decode("latin-1"),
            host=_first(headers, b"host").decode("latin-1").partition(":")[0].lower(),
            api_key=key.decode("latin-1"),
            timeout=None if milliseconds is None else milliseconds / MILLISECONDS,
            prompt_tokens=tokens[0] if tokens else 0,
            answer_tokens=tokens[1] if len(tokens) > 1 else 0,
            resume_after=_first(headers, RESUME_AFTER).decode("latin-1"),
        )

    def forward_headers(
        self, headers: RawHeaders, sent: ForwardMetadata
    ) -> list[tuple[bytes, bytes]]:
        """The headers that a worker gets."""
        dropped = CONNECTION_HEADERS | OWNED_HEADERS | _named_by_connection(headers)
        if sent.resume_after:
            dropped = dropped | {RESUME_AFTER}
        passed = [(key, value) for key, value in headers if key.lower() not in dropped]
        milliseconds = max(1, int(sent.seconds_left * MILLISECONDS))
        passed.append((b"X-Deadline-Ms", str(milliseconds).encode()))
        passed.append((b"X-Expect-Instance", sent.upstream.encode()))
        passed.append((b"Priority", str(sent.rank).encode()))
        if sent.account:
            passed.append((b"X-Tenant", sent.account.encode()))
        if sent.resume_after:
            passed.append((b"Last-Event-Id", sent.resume_after.encode()))
        if sent.parts:
            places = (
                f"{part.host}:{part.port}" + (f"/{part.lease}" if part.lease else "")
                for part in sent.parts
            )
            passed.append((b"Helpers", ",".join(places).encode()))
        return passed

    def read_head(self, status: int, headers: Iterable[tuple[bytes, bytes]]) -> ResponseHead:
        """The head of a worker's answer, without what concerns its connection only."""
        raw = tuple(headers)
        passed = tuple(pair for pair in raw if pair[0].lower() not in CONNECTION_HEADERS)
        content = _first(raw, b"content-type")
        return ResponseHead(
            status=status,
            attempt_id=_first(raw, ATTEMPT_ID).decode("latin-1"),
            not_executed=status == MISDIRECTED or bool(_first(raw, NOT_EXECUTED)),
            load=_read_load(_first(raw, LOAD)),
            is_event_stream=content.lower().startswith(b"text/event-stream"),
            signed=bool(_first(raw, SIGNATURE)),
            failed_endpoint=_read_endpoint(_first(raw, AT_FAULT)),
            upstream_id=_first(raw, INSTANCE).decode("latin-1"),
            notice=notice_of(status, raw),
            headers=passed,
            unknown_headers=_unknown_words(raw),
        )


def telling(hear: HeadCallback) -> Callable[[StreamStart], None]:
    """Tells what an answer to a check, a report or an order says of its worker."""
    read_head = PlatformDialect().read_head
    return lambda start: hear(read_head(start.status, start.raw_headers))


def notice_of(status: int, headers: RawHeaders) -> Notice:
    """What any answer of a worker says of it, whatever was asked."""
    names = {key.lower() for key, _ in headers}
    if not names & {LEAVING, LIMIT, RETRY_AFTER}:
        return NOTHING
    asked = _all(headers, RETRY_AFTER)
    leaves = any(key.lower() == LEAVING and value.strip() == LEAVES for key, value in headers)
    date = _first(headers, DATE).decode("latin-1")
    return read_notice(status, leaves, asked, date, wall_now(), _all(headers, LIMIT))


def _all(headers: RawHeaders, name: bytes) -> list[str]:
    return [value.decode("latin-1") for key, value in headers if key.lower() == name]


def _unknown_words(headers: RawHeaders) -> tuple[tuple[str, str], ...]:
    """What a worker says of itself that nobody here has a use for."""
    return tuple(
        (key.lower().decode("latin-1"), value.decode("latin-1"))
        for key, value in headers
        if key.lower().startswith(WORDS) and key.lower() not in KNOWN_WORDS
    )


def _read_endpoint(text: bytes) -> Endpoint | None:
    """An address, None when there is none or it can't be read."""
    try:
        return parse_endpoint(text.decode("latin-1")) if text else None
    except ValueError:
        return None


def _read_load(text: bytes) -> Load | None:
    numbers = _numbers(text)
    if len(numbers) < 3:
        return None
    return Load(running=numbers[0], waiting=numbers[1], slots=numbers[2])
