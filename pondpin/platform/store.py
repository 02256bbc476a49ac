"""Reads the platform's store; each call is one HTTP call."""

import base64
from collections.abc import Callable, Mapping
from urllib.parse import quote

import msgspec

from pondpin.http_client import HttpClient, HttpResponse
from pondpin.http_streams import CallFailedError, StreamedResponse
from pondpin.relay.ports import (
    ConfigurationChange,
    ConfigurationRead,
    EpochChangedError,
    ListRead,
    SourceHead,
)
from pondpin.relay.published.documents import PublishedItem

CONFIGURATION_KEY = "op/config"
UPSTREAMS_PREFIX = "servers/"
# A value of a megabyte over 1 Mbit/s; no link of a deployment is slower.
MAX_READ_SECONDS = 12.0
NOT_FOUND = 404
# Headers by which the store says something of itself begin with this.
STORE_HEADER_PREFIX = "store-"
# Rises by one with each restore of the store from an older copy.
EPOCH_HEADER = "store-era"
MOST_EPOCH = 2**63 - 1
# Epochs rise by one: more digits are none, however many there are.
MOST_EPOCH_DIGITS = len(str(MOST_EPOCH))
HISTORY_GONE = 410


class WireItem(msgspec.Struct, frozen=True):
    """An item; tlsKey is its key and has nothing to do with TLS; value is in base64."""

    key: str = msgspec.field(name="tlsKey")
    value: str = ""
    revision: int = 0
    # Told by a watch of an item that was taken away.
    gone: bool = False


class WireRange(msgspec.Struct, frozen=True):
    """A page of items; more says that another page follows; at is the store's revision."""

    items: tuple[WireItem, ...]
    at: int
    more: bool = False


class WireRawRange(msgspec.Struct, frozen=True):
    """A page whose items are looked at one by one, since one of them is odd."""

    items: tuple[msgspec.Raw, ...]
    at: int
    more: bool = False


class WireEvents(msgspec.Struct, frozen=True):
    """What changed under a prefix, in order, up to the store's revision at."""

    events: tuple[WireItem, ...]
    at: int


_ITEM = msgspec.json.Decoder(WireItem)
_RANGE = msgspec.json.Decoder(WireRange)
_RAW_RANGE = msgspec.json.Decoder(WireRawRange)
_EVENTS = msgspec.json.Decoder(WireEvents)


def _decode_item(wire: WireItem, epoch: int) -> PublishedItem:
    value = base64.b64decode(wire.value, validate=True)
    return PublishedItem(wire.key, wire.revision, value, epoch)


def _decode_page(body: bytes) -> WireRange:
    """A page of entries; raises ValueError for what is no page.

    One item that can't be read doesn't hide the others.
    """
    try:
        return _RANGE.decode(body)
    except ValueError:
        raw = _RAW_RANGE.decode(body)
    items = []
    for item in raw.items:
        try:
            items.append(_ITEM.decode(item))
        except ValueError:
            # It names no key to refuse a value of.
            continue
    return WireRange(tuple(items), raw.at, raw.more)


def _decode_entry(wire: WireItem, epoch: int) -> PublishedItem:
    """An entry; a value that isn't base64 is passed on as none, which is refused by its key."""
    try:
        return _decode_item(wire, epoch)
    except ValueError:
        return PublishedItem(wire.key, wire.revision, b"", epoch)


class PlatformStore:
    """The product's PublishedSource over the platform's store.

    stall is how many seconds may pass without a byte; a large value may take longer as a whole.
    """

    def __init__(
        self,
        http: HttpClient,
        address: str,
        on_head: Callable[[SourceHead], None] = lambda head: None,
    ) -> None:
        """on_head: receives what the head of each answer says, whatever its status."""
        self._http = http
        self._on_head = on_head
        self._base = f"http://{address}/v1"

    async def read_configuration(self, stall: float) -> ConfigurationRead:
        """The newest configuration; raises CallFailedError."""
        answer = await self._get(f"kv-key?tlsKey={CONFIGURATION_KEY}", stall)
        epoch = parse_source_head(answer.headers).epoch
        if answer.status == NOT_FOUND:
            return ConfigurationRead(None, epoch)
        _check_status(answer.status)
        try:
            return ConfigurationRead(_decode_item(_ITEM.decode(answer.body), epoch), epoch)
        except ValueError as error:
            raise CallFailedError(f"no item: {error}", sent=True) from None

    async def read_change(self, since: int, stall: float) -> ConfigurationChange:
        """What became of the configuration after a revision; raises CallFailedError."""
        query = f"pathPrefix={CONFIGURATION_KEY}&sinceRevision={since}&waitMs=0"
        answer = await self._get(f"kv-watch?{query}", stall)
        epoch = parse_source_head(answer.headers).epoch
        if answer.status == HISTORY_GONE:
            return ConfigurationChange(None, None, epoch)
        _check_status(answer.status)
        try:
            found = _EVENTS.decode(answer.body)
            written = [item for item in found.events if item.key == CONFIGURATION_KEY]
            if any(item.gone for item in written):
                return ConfigurationChange(None, None, epoch)
            newest = _decode_item(written[-1], epoch) if written else None
        except ValueError as error:
            raise CallFailedError(f"no events: {error}", sent=True) from None
        return ConfigurationChange(newest, found.at, epoch)

    async def read_upstreams(self, stall: float) -> ListRead:
        """All entries of workers, in the order of their keys; raises CallFailedError.

        Pages of two epochs are no list: raises EpochChangedError.
        """
        items: list[PublishedItem] = []
        at: int | None = None
        epoch: int | None = None
        start = ""
        while True:
            answer = await self._get(f"kv-range?pathPrefix={UPSTREAMS_PREFIX}{start}", stall)
            _check_status(answer.status)
            try:
                page = _decode_page(answer.body)
            except ValueError as error:
                raise CallFailedError(f"no range: {error}", sent=True) from None
            page_epoch = parse_source_head(answer.headers).epoch
            epoch = page_epoch if epoch is None else epoch
            if page_epoch != epoch:
                raise EpochChangedError(epoch, page_epoch)
            items += [_decode_entry(item, epoch) for item in page.items]
            # Pages are no snapshot: what the first one says holds for all.
            at = page.at if at is None else at
            if not page.more or not page.items:
                return ListRead(tuple(items), at, epoch)
            # The next page starts after the last key; the name of the field is the store's.
            start = f"&sinceRevision={quote(page.items[-1].key, safe='/')}"

    async def _get(self, call: str, stall: float) -> HttpResponse:
        url = f"{self._base}/{call}"
        return await self._http.call_with_stall_timeout(
            "GET", url, stall, MAX_READ_SECONDS, self._receive_head
        )

    def _receive_head(self, start: StreamedResponse) -> None:
        self._on_head(parse_source_head(start.headers))


def parse_source_head(headers: Mapping[str, str]) -> SourceHead:
    """What an answer of any status says of the store."""
    told = headers.get(EPOCH_HEADER)
    epoch = 0 if told is None else _read_epoch(told)
    return SourceHead(
        epoch=epoch or 0,
        odd_epoch="" if epoch is not None else told or "an empty value",
        unknown=tuple(
            (name, value)
            for name, value in headers.items()
            if name.startswith(STORE_HEADER_PREFIX) and name != EPOCH_HEADER
        ),
    )


def _read_epoch(text: str) -> int | None:
    """An epoch; None for anything but the digits of a number that a machine word holds."""
    digits = text.strip()
    if not (digits.isascii() and digits.isdecimal()) or len(digits) > MOST_EPOCH_DIGITS:
        return None
    epoch = int(digits)
    return epoch if epoch <= MOST_EPOCH else None


def _check_status(status: int) -> None:
    if status != 200:
        raise CallFailedError(f"status {status}", sent=True)
