"""Reserves and releases memory leases at upstreams."""

import msgspec

from pondpin.body_checks import ignore_body
from pondpin.http_client import HttpClient
from pondpin.http_streams import SMALL_BODY_BYTES, CallFailedError
from pondpin.platform.headers import MISDIRECTED, head_observer
from pondpin.relay.ports import HeadCallback, LeaseResponse

HELD_STATUS = 200
ORDER_PATH = "/v1/order"


class WireReserve(msgspec.Struct, frozen=True, rename="camel"):
    """Reserves memory; repeating the same id renews the lease."""

    op: str
    id: str
    token_count: int
    hold_ms: int
    wait: bool = False


class WireRelease(msgspec.Struct, frozen=True):
    """Releases a lease."""

    op: str
    id: str


class PlatformLeases:
    """Implements LeasePort over the upstreams' order call."""

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
        on_head: HeadCallback,
    ) -> LeaseResponse:
        """Reserve tokens for hold seconds, or renew the lease; raises CallFailedError."""
        order = WireReserve("reserve", lease, tokens, int(hold * 1000))
        status = await self._order(host, port, order, timeout, on_head)
        return LeaseResponse.HELD if status == HELD_STATUS else LeaseResponse.REFUSED

    async def release(
        self,
        host: str,
        port: int,
        upstream: str,
        lease: str,
        timeout: float,
        on_head: HeadCallback,
    ) -> bool:
        """Release a lease; False if another upstream answers. Raises CallFailedError."""
        order = WireRelease("release", lease)
        expected = {"x-expect-instance": upstream}
        return await self._order(host, port, order, timeout, on_head, expected) != MISDIRECTED

    async def _order(
        self,
        host: str,
        port: int,
        order: WireReserve | WireRelease,
        timeout: float,
        on_head: HeadCallback,
        expected: dict[str, str] | None = None,
    ) -> int:
        url = f"http://{host}:{port}{ORDER_PATH}"
        headers = {"content-type": "application/json"} | (expected or {})
        body = msgspec.json.encode(order)
        response = await self._http.call(
            "POST",
            url,
            headers,
            body,
            timeout,
            on_head=head_observer(on_head),
            limit=SMALL_BODY_BYTES,
            close_delimited_if=ignore_body,
        )
        if response.status >= 500:
            raise CallFailedError(f"status {response.status}", sent=True)
        return response.status
