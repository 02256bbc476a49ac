"""Reads upstreams' load reports and checks their liveness."""

import msgspec

from pondpin.body_checks import ignore_body, is_unused_or_json
from pondpin.http_client import HttpClient
from pondpin.http_streams import SMALL_BODY_BYTES, CallFailedError
from pondpin.platform.documents import decode_document
from pondpin.platform.headers import head_observer
from pondpin.relay.model import EngineReport, ResponseHead
from pondpin.relay.ports import HeadCallback

OK = 200
REPORT_PATH = "/v1/report"
# Its caller bounds the time.
IDENTIFY_SECONDS = 15.0


class WireReport(msgspec.Struct, frozen=True, rename="camel"):
    """A load report; `active` counts the running requests."""

    active: int
    queued: int
    born: int | None = None


_REPORT = msgspec.json.Decoder(WireReport)


class PlatformReports:
    """Implements ReportPort over the upstreams' report call."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def read_report(
        self, host: str, port: int, timeout: float, on_head: HeadCallback
    ) -> EngineReport:
        """Read a report; raises CallFailedError without a valid response in time."""
        response = await self._http.call(
            "GET",
            f"http://{host}:{port}{REPORT_PATH}",
            timeout=timeout,
            on_head=head_observer(on_head),
            limit=SMALL_BODY_BYTES,
            close_delimited_if=is_unused_or_json,
        )
        if response.status != OK:
            raise CallFailedError(f"status {response.status}", sent=True)
        try:
            report = decode_document(_REPORT, response.body)
        except msgspec.MsgspecError as error:
            raise CallFailedError(f"invalid report: {error}", sent=True) from None
        return EngineReport(report.active, report.queued, report.born)


class PlatformLiveness:
    """Implements LivenessPort over the upstreams' liveness check."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def is_healthy(
        self, host: str, port: int, path: str, timeout: float, on_head: HeadCallback
    ) -> bool:
        """Check an upstream; raises CallFailedError without a response in time."""
        response = await self._http.call(
            "GET",
            f"http://{host}:{port}{path}",
            timeout=timeout,
            on_head=head_observer(on_head),
            limit=SMALL_BODY_BYTES,
            close_delimited_if=ignore_body,
        )
        return response.status == OK

    async def identify(
        self, host: str, port: int, path: str, upstream: str, on_head: HeadCallback
    ) -> str:
        """See LivenessPort; raises CallFailedError without the head of a response."""
        heads: list[ResponseHead] = []
        observe = head_observer(heads.append)
        try:
            await self._http.call(
                "GET",
                f"http://{host}:{port}{path}",
                {"X-Expect-Instance": upstream},
                timeout=IDENTIFY_SECONDS,
                fresh=True,
                on_head=observe,
                limit=SMALL_BODY_BYTES,
                close_delimited_if=ignore_body,
            )
        except CallFailedError:
            if not heads:
                raise
        on_head(heads[0])
        return heads[0].upstream_id
