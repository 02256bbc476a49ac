"""Reads workers' reports, and asks whether they are well."""

import msgspec

from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError
from pondpin.platform.requests import telling
from pondpin.relay.model import EngineReport
from pondpin.relay.ports import HeadCallback

OK = 200
REPORT_PATH = "/v1/report"


class WireReport(msgspec.Struct, frozen=True, rename="camel"):
    """What a worker says of itself; `active` are the requests that it runs."""

    active: int
    queued: int
    born: int | None = None


class PlatformReports:
    """The product's ReportPort over the workers' report."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def read_report(
        self, host: str, port: int, timeout: float, hear: HeadCallback
    ) -> EngineReport:
        """Ask a worker; raises CallFailedError when it gives no sound answer in time."""
        answer = await self._http.call(
            "GET",
            f"http://{host}:{port}{REPORT_PATH}",
            timeout=timeout,
            on_head=telling(hear),
        )
        if answer.status != OK:
            raise CallFailedError(f"status {answer.status}", sent=True)
        try:
            report = msgspec.json.decode(answer.body, type=WireReport)
        except msgspec.MsgspecError as error:
            raise CallFailedError(f"no report: {error}", sent=True) from None
        return EngineReport(report.active, report.queued, report.born)


class PlatformLiveness:
    """The product's LivenessPort over the workers' liveness check."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def is_healthy(
        self, host: str, port: int, path: str, timeout: float, hear: HeadCallback
    ) -> bool:
        """Ask a worker; raises CallFailedError when it doesn't answer in time."""
        answer = await self._http.call(
            "GET",
            f"http://{host}:{port}{path}",
            timeout=timeout,
            on_head=telling(hear),
        )
        return answer.status == OK
