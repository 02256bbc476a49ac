"""Reads the platform's store; each call is one HTTP call."""

import base64

import msgspec

from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError
from pondpin.relay.publication import PublishedItem

CONFIGURATION_KEY = "op/config"
UPSTREAMS_PREFIX = "servers/"


class WireItem(msgspec.Struct, frozen=True):
    """An item; tlsKey is its key and has nothing to do with TLS; value is in base64."""

    key: str = msgspec.field(name="tlsKey")
    value: str = ""
    revision: int = 0


class WireRange(msgspec.Struct, frozen=True):
    """A page of items; more says that another page follows."""

    items: tuple[WireItem, ...]
    more: bool = False


_ITEM = msgspec.json.Decoder(WireItem)
_RANGE = msgspec.json.Decoder(WireRange)


def _decode_item(wire: WireItem) -> PublishedItem:
    return PublishedItem(wire.key, wire.revision, base64.b64decode(wire.value, validate=True))


class PlatformStore:
    """The product's PublishedSource over the platform's store."""

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._base = f"http://{address}/v1"

    async def read_configuration(self, timeout: float) -> PublishedItem | None:
        """The newest configuration, None before the first; raises CallFailedError."""
        url = f"{self._base}/kv-key?tlsKey={CONFIGURATION_KEY}"
        answer = await self._http.call("GET", url, timeout=timeout)
        if answer.status == 404:
            return None
        _check_status(answer.status)
        try:
            return _decode_item(_ITEM.decode(answer.body))
        except ValueError as error:
            raise CallFailedError(f"no item: {error}", sent=True) from None

    async def read_upstreams(self, timeout: float) -> tuple[PublishedItem, ...]:
        """All entries of workers, in the order of their keys; raises CallFailedError."""
        items: list[PublishedItem] = []
        start = ""
        while True:
            url = f"{self._base}/kv-range?pathPrefix={UPSTREAMS_PREFIX}{start}"
            answer = await self._http.call("GET", url, timeout=timeout)
            _check_status(answer.status)
            try:
                page = _RANGE.decode(answer.body)
                items += [_decode_item(item) for item in page.items]
            except ValueError as error:
                raise CallFailedError(f"no range: {error}", sent=True) from None
            if not page.more or not page.items:
                return tuple(items)
            # The next page starts after the last key; the name of the field is the store's.
            start = f"&sinceRevision={page.items[-1].key}"


def _check_status(status: int) -> None:
    if status != 200:
        raise CallFailedError(f"status {status}", sent=True)
