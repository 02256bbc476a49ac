"""The adapter of model engines: only this module knows their URLs and field names."""

from dataclasses import dataclass
from typing import Protocol, TypeVar

import msgspec

from pondpin.body_checks import ignore_body, is_json_document
from pondpin.engine_protocol import (
    CacheEvents,
    LoadReport,
    Order,
    OrderAnswer,
    ReservationRequest,
    StreamFrame,
    StreamRequest,
)
from pondpin.http_client import HttpClient, HttpResponse
from pondpin.http_streams import BodyCheck, CallFailedError, StreamedResponse
from pondpin.json_decoding import decode_json, decode_json_as
from pondpin.notice_headers import AddressNoticeHandler, ignore_notice, response_notice

STREAMS_PATH = "/v1/streams"
EVENT_START = b"data: "
EVENT_END = b"\n\n"
EVENT_LIMIT = 1 << 20
OK = 200
JSON_HEADERS = {"content-type": "application/json"}


@dataclass(frozen=True, slots=True)
class StreamRef:
    """Names a stream on an engine."""

    address: str
    request: str
    attempt: int


class EnginePort(Protocol):
    """What pondpin asks of model engines; all calls raise CallFailedError."""

    async def submit(self, address: str, request: StreamRequest) -> StreamedResponse:
        """Start a stream."""
        ...

    async def resume(self, ref: StreamRef, offset: int) -> StreamedResponse:
        """Go on with a stream from an offset."""
        ...

    async def cancel(self, ref: StreamRef, timeout: float) -> bool:
        """End a stream and return its memory; False when it was not live."""
        ...

    async def reserve(self, address: str, wanted: ReservationRequest, timeout: float) -> bool:
        """Keep memory for a group's prompt."""
        ...

    async def release(self, address: str, name: str, timeout: float) -> None:
        """Return memory that was kept."""
        ...

    async def load(self, address: str, timeout: float) -> LoadReport:
        """Read the load report."""
        ...

    async def cache_events(self, address: str, after: int, timeout: float) -> CacheEvents:
        """Read cache events above a number."""
        ...

    async def order(self, address: str, order: Order, timeout: float) -> OrderAnswer:
        """Order a model and role."""
        ...

    async def last_order(self, address: str, timeout: float) -> OrderAnswer:
        """Read the last fence."""
        ...


class HttpEngines:
    """EnginePort over HTTP."""

    def __init__(self, client: HttpClient, hear: AddressNoticeHandler = ignore_notice) -> None:
        self._client = client
        self._hear = hear

    async def _call(
        self,
        address: str,
        method: str,
        path: str,
        message: msgspec.Struct | None = None,
        timeout: float = 5.0,
        close_delimited_if: BodyCheck = is_json_document,
    ) -> HttpResponse:
        """Make a call; what its answer says of the engine is heard first."""
        headers = None if message is None else JSON_HEADERS
        body = b"" if message is None else msgspec.json.encode(message)
        url = f"http://{address}{path}"
        return await self._client.call(
            method,
            url,
            headers,
            body,
            timeout,
            on_head=lambda start: self._note(address, start),
            close_delimited_if=close_delimited_if,
        )

    def _note(self, address: str, start: StreamedResponse) -> None:
        self._hear(address, response_notice(start))

    async def submit(self, address: str, request: StreamRequest) -> StreamedResponse:
        """See EnginePort."""
        url = f"http://{address}{STREAMS_PATH}"
        start = await self._client.open("POST", url, JSON_HEADERS, msgspec.json.encode(request))
        self._note(address, start)
        return start

    async def resume(self, ref: StreamRef, offset: int) -> StreamedResponse:
        """See EnginePort."""
        url = f"http://{ref.address}{_stream_path(ref)}?offset={offset}"
        start = await self._client.open("GET", url)
        self._note(ref.address, start)
        return start

    async def cancel(self, ref: StreamRef, timeout: float) -> bool:
        """See EnginePort."""
        path = _stream_path(ref)
        answer = await self._call(ref.address, "DELETE", path, None, timeout, ignore_body)
        return answer.status == OK

    async def reserve(self, address: str, wanted: ReservationRequest, timeout: float) -> bool:
        """See EnginePort."""
        answer = await self._call(address, "POST", "/v1/reservations", wanted, timeout, ignore_body)
        return answer.status == OK

    async def release(self, address: str, name: str, timeout: float) -> None:
        """See EnginePort."""
        await self._call(address, "DELETE", f"/v1/reservations/{name}", None, timeout, ignore_body)

    async def load(self, address: str, timeout: float) -> LoadReport:
        """See EnginePort."""
        answer = await self._call(address, "GET", "/v1/load", timeout=timeout)
        return _decode(answer.body, LoadReport)

    async def cache_events(self, address: str, after: int, timeout: float) -> CacheEvents:
        """See EnginePort."""
        path = f"/v1/cache-events?after={after}"
        answer = await self._call(address, "GET", path, timeout=timeout)
        return _decode(answer.body, CacheEvents)

    async def order(self, address: str, order: Order, timeout: float) -> OrderAnswer:
        """See EnginePort."""
        answer = await self._call(address, "POST", "/v1/orders", order, timeout)
        return _decode(answer.body, OrderAnswer)

    async def last_order(self, address: str, timeout: float) -> OrderAnswer:
        """See EnginePort."""
        answer = await self._call(address, "GET", "/v1/orders", timeout=timeout)
        return _decode(answer.body, OrderAnswer)


def _stream_path(ref: StreamRef) -> str:
    return f"{STREAMS_PATH}/{ref.request}/{ref.attempt}"


M = TypeVar("M", bound=msgspec.Struct)


def _decode(body: bytes, kind: type[M]) -> M:
    try:
        return decode_json_as(kind, body)
    except msgspec.MsgspecError as error:
        raise CallFailedError(f"answer not understood: {error}", sent=True) from None


class FrameReader:
    """Cuts the bytes of an event stream into frames."""

    def __init__(self) -> None:
        self._rest = b""
        self._decoder = msgspec.json.Decoder(StreamFrame)

    def feed(self, data: bytes) -> list[StreamFrame]:
        """The frames that are whole now; raises CallFailedError on what is not a frame."""
        parts = (self._rest + data).split(EVENT_END)
        self._rest = parts.pop()
        if len(self._rest) > EVENT_LIMIT:
            raise CallFailedError("an event is too long", sent=True)
        return [self._decode_event(part) for part in parts]

    def _decode_event(self, event: bytes) -> StreamFrame:
        if not event.startswith(EVENT_START):
            raise CallFailedError("not an event of a stream", sent=True)
        try:
            return decode_json(self._decoder.decode, event[len(EVENT_START) :])
        except msgspec.MsgspecError as error:
            raise CallFailedError(f"frame not understood: {error}", sent=True) from None
