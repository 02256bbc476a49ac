"""The adapter of plain services: sends a call once, and says what became of it."""

from dataclasses import dataclass
from typing import Protocol

import msgspec

from pondpin.body_checks import is_json_document
from pondpin.calls import WholeAnswer
from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError, StreamedResponse
from pondpin.json_decoding import decode_json_as
from pondpin.notice_headers import AddressNoticeHandler, ignore_notice, response_notice

IDEMPOTENCY_HEADER = "idempotency-key"
PASSED_HEADERS = ("content-type", "accept", IDEMPOTENCY_HEADER)
JSON = "application/json"


class ServiceReport(msgspec.Struct, frozen=True):
    """A service's load: its incarnation, state and open calls."""

    incarnation: int
    state: str
    running: int


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call as it goes to a service; key is empty, or what the service repeats safely by."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    key: str


class ServicePort(Protocol):
    """What pondpin asks of plain services."""

    async def send(
        self, address: str, call: ServiceCall, timeout: float, fresh: bool
    ) -> WholeAnswer:
        """Send a call once; raises CallFailedError that says whether it can have been sent."""
        ...

    async def load(self, address: str, timeout: float) -> ServiceReport:
        """Read the load; raises CallFailedError."""
        ...


class HttpServices:
    """ServicePort over HTTP."""

    def __init__(self, client: HttpClient, hear: AddressNoticeHandler = ignore_notice) -> None:
        self._client = client
        self._hear = hear

    def _note(self, address: str, start: StreamedResponse) -> None:
        self._hear(address, response_notice(start))

    async def send(
        self, address: str, call: ServiceCall, timeout: float, fresh: bool
    ) -> WholeAnswer:
        """See ServicePort."""
        headers = {name: value for name, value in call.headers.items() if name in PASSED_HEADERS}
        if call.key:
            headers[IDEMPOTENCY_HEADER] = call.key
        url = f"http://{address}{call.path}"
        answer = await self._client.call(
            call.method,
            url,
            headers,
            call.body,
            timeout,
            fresh,
            on_head=lambda start: self._note(address, start),
            close_delimited_if=is_json_document,
        )
        return WholeAnswer(answer.status, answer.headers.get("content-type", JSON), answer.body)

    async def load(self, address: str, timeout: float) -> ServiceReport:
        """See ServicePort."""
        answer = await self._client.call(
            "GET",
            f"http://{address}/v1/load",
            timeout=timeout,
            on_head=lambda start: self._note(address, start),
            close_delimited_if=is_json_document,
        )
        try:
            return decode_json_as(ServiceReport, answer.body)
        except msgspec.MsgspecError as error:
            raise CallFailedError(f"answer not understood: {error}", sent=True) from None
