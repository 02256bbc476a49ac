"""Sets memory aside at workers and gives it back."""

import msgspec

from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError
from pondpin.platform.requests import telling
from pondpin.relay.ports import HeadCallback, LeaseResponse

HELD = 200
ORDER_PATH = "/v1/order"


class WireReserve(msgspec.Struct, frozen=True, rename="camel"):
    """Sets memory aside; the same id again renews it."""

    op: str
    id: str
    token_count: int
    hold_ms: int
    wait: bool = False


class WireRelease(msgspec.Struct, frozen=True):
    """Gives memory back."""

    op: str
    id: str


class PlatformLeases:
    """The product's LeasePort over the workers' order call."""

    def __init__(self, http: HttpClient) -> None:
        self._http = http

    async def reserve(
        self,
        host: str,
        port: int,
        lease: str,
        tokens: int,
        hold: float,
        timeout: float,
        hear: HeadCallback,
    ) -> LeaseResponse:
        """Set tokens aside for hold seconds, or renew; raises CallFailedError."""
        order = WireReserve("reserve", lease, tokens, int(hold * 1000))
        answer = await self._order(host, port, order, timeout, hear)
        return LeaseResponse.HELD if answer == HELD else LeaseResponse.REFUSED

    async def release(
        self, host: str, port: int, lease: str, timeout: float, hear: HeadCallback
    ) -> bool:
        """Give memory back; False when the worker refused. Raises CallFailedError."""
        order = WireRelease("release", lease)
        return await self._order(host, port, order, timeout, hear) == HELD

    async def _order(
        self,
        host: str,
        port: int,
        order: WireReserve | WireRelease,
        timeout: float,
        hear: HeadCallback,
    ) -> int:
        url = f"http://{host}:{port}{ORDER_PATH}"
        headers = {"content-type": "application/json"}
        body = msgspec.json.encode(order)
        answer = await self._http.call(
            "POST",
            url,
            headers,
            body,
            timeout,
            on_head=telling(hear),
        )
        if answer.status >= 500:
            raise CallFailedError(f"status {answer.status}", sent=True)
        return answer.status
