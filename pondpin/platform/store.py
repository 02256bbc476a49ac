"""Reads the platform's key-value store over HTTP."""

import base64
from collections.abc import Callable, Mapping, Sequence
from urllib.parse import quote

import msgspec

from pondpin.http_client import HttpClient, HttpResponse
from pondpin.http_streams import CallFailedError, StreamedResponse
from pondpin.platform.documents import decode_document
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
# Enough for a value of a megabyte at 1 Mbit/s, the slowest link of a deployment.
MAX_READ_SECONDS = 12.0
NOT_FOUND = 404
# Prefix of headers about the store's own state.
STORE_HEADER_PREFIX = "store-"
# Rises by one with each restore of the store from a backup.
EPOCH_HEADER = "store-era"
MAX_EPOCH = 2**63 - 1
# Epochs rise by one: a longer number is invalid and isn't converted.
MAX_EPOCH_DIGITS = len(str(MAX_EPOCH))
HISTORY_GONE = 410


class WireItem(msgspec.Struct, frozen=True):
    """An item; tlsKey is its key (unrelated to TLS); value is base64."""

    key: str = msgspec.field(name="tlsKey")
    value: str = ""
    revision: int = 0
    # Set by a watch for a deleted item.
    gone: bool = False


class WireRange(msgspec.Struct, frozen=True):
    """A page of items; more: another page follows; at: the store's revision."""

    items: tuple[WireItem, ...]
    at: int
    more: bool = False


class WireRawRange(msgspec.Struct, frozen=True):
    """A page whose items are decoded one by one, as one is invalid."""

    items: tuple[msgspec.Raw, ...]
    at: int
    more: bool = False


class WireEvents(msgspec.Struct, frozen=True):
    """Changes under a prefix, in order, up to revision at."""

    events: tuple[WireItem, ...]
    at: int


ITEM_DECODER = msgspec.json.Decoder(WireItem)
_RANGE = msgspec.json.Decoder(WireRange)
_RAW_RANGE = msgspec.json.Decoder(WireRawRange)
_EVENTS = msgspec.json.Decoder(WireEvents)


def _decode_item(wire: WireItem, epoch: int) -> PublishedItem:
    value = base64.b64decode(wire.value, validate=True)
    return PublishedItem(wire.key, wire.revision, value, epoch)


def _decode_page(body: bytes) -> WireRange:
    """Decode a page; raises ValueError. Invalid items don't hide the others."""
    try:
        return decode_document(_RANGE, body)
    except ValueError:
        raw = decode_document(_RAW_RANGE, body)
    items = []
    for item in raw.items:
        try:
            items.append(ITEM_DECODER.decode(item))
        except ValueError:
            # Without a key, there is no entry to reject.
            continue
    return WireRange(tuple(items), raw.at, raw.more)


def _decode_entry(wire: WireItem, epoch: int) -> PublishedItem:
    """Decode an entry; a value that isn't base64 becomes empty, and is rejected by key."""
    try:
        return _decode_item(wire, epoch)
    except ValueError:
        return PublishedItem(wire.key, wire.revision, b"", epoch)


def change_by(writes: Sequence[WireItem], at: int, epoch: int) -> ConfigurationChange:
    """The change of the configuration by its writes up to a revision; raises ValueError."""
    if any(item.gone for item in writes):
        return ConfigurationChange(None, None, epoch)
    newest = _decode_item(writes[-1], epoch) if writes else None
    return ConfigurationChange(newest, at, epoch)


class PlatformStore:
    """Implements PublishedSource over the platform's store.

    stall is the maximum number of seconds without a byte, not of the whole read.
    """

    def __init__(
        self,
        http: HttpClient,
        address: str,
        on_head: Callable[[SourceHead], None] = lambda head: None,
    ) -> None:
        """on_head: called with the head of each response, whatever its status."""
        self._http = http
        self._on_head = on_head
        self._base = f"http://{address}/v1"

    async def read_configuration(self, stall: float) -> ConfigurationRead:
        """Read the newest configuration; raises CallFailedError."""
        response = await self._get(f"kv-key?tlsKey={CONFIGURATION_KEY}", stall)
        epoch = parse_source_head(response.headers).epoch
        if response.status == NOT_FOUND:
            return ConfigurationRead(None, epoch)
        check_status(response.status)
        try:
            return ConfigurationRead(
                _decode_item(decode_document(ITEM_DECODER, response.body), epoch), epoch
            )
        except ValueError as error:
            raise CallFailedError(f"invalid item: {error}", sent=True) from None

    async def read_change(self, since: int, stall: float) -> ConfigurationChange:
        """Read the last change after a revision; raises CallFailedError."""
        query = f"pathPrefix={CONFIGURATION_KEY}&sinceRevision={since}&waitMs=0"
        response = await self._get(f"kv-watch?{query}", stall)
        epoch = parse_source_head(response.headers).epoch
        if response.status == HISTORY_GONE:
            return ConfigurationChange(None, None, epoch)
        check_status(response.status)
        try:
            changes = decode_document(_EVENTS, response.body)
            writes = [item for item in changes.events if item.key == CONFIGURATION_KEY]
            return change_by(writes, changes.at, epoch)
        except ValueError as error:
            raise CallFailedError(f"invalid events: {error}", sent=True) from None

    async def read_upstreams(self, stall: float) -> ListRead:
        """Read all upstream entries, in key order; raises CallFailedError.

        Raises EpochChangedError if the pages are of different epochs.
        """
        items: list[PublishedItem] = []
        revision: int | None = None
        epoch: int | None = None
        start = ""
        while True:
            response = await self._get(f"kv-range?pathPrefix={UPSTREAMS_PREFIX}{start}", stall)
            check_status(response.status)
            try:
                page = _decode_page(response.body)
            except ValueError as error:
                raise CallFailedError(f"invalid range: {error}", sent=True) from None
            page_epoch = parse_source_head(response.headers).epoch
            epoch = page_epoch if epoch is None else epoch
            if page_epoch != epoch:
                raise EpochChangedError(epoch, page_epoch)
            items += [_decode_entry(item, epoch) for item in page.items]
            # Pages aren't one snapshot: only the first one's revision holds for all.
            revision = page.at if revision is None else revision
            if not page.more or not page.items:
                return ListRead(tuple(items), revision, epoch)
            # The next page starts after the last key; the store names the parameter so.
            start = f"&sinceRevision={quote(page.items[-1].key, safe='/')}"

    async def _get(self, path: str, stall: float) -> HttpResponse:
        from pondpin.body_checks import is_unused_or_json

        url = f"{self._base}/{path}"
        return await self._http.call_with_stall_timeout(
            "GET", url, stall, MAX_READ_SECONDS, self._observe_head, is_unused_or_json
        )

    def _observe_head(self, response: StreamedResponse) -> None:
        self._on_head(parse_source_head(response.headers))


def parse_source_head(headers: Mapping[str, str]) -> SourceHead:
    """Parse what a response of any status reports about the store."""
    text = headers.get(EPOCH_HEADER)
    epoch = 0 if text is None else _parse_epoch(text)
    return SourceHead(
        epoch=epoch or 0,
        invalid_epoch="" if epoch is not None else text or "an empty value",
        unknown_headers=tuple(
            (name, value)
            for name, value in headers.items()
            if name.startswith(STORE_HEADER_PREFIX) and name != EPOCH_HEADER
        ),
    )


def _parse_epoch(text: str) -> int | None:
    """Parse an epoch; None unless it is a decimal number that fits in 63 bits."""
    digits = text.strip()
    if not (digits.isascii() and digits.isdecimal()) or len(digits) > MAX_EPOCH_DIGITS:
        return None
    epoch = int(digits)
    return epoch if epoch <= MAX_EPOCH else None


def check_status(status: int) -> None:
    """Raise CallFailedError unless a call succeeded."""
    if status != 200:
        raise CallFailedError(f"status {status}", sent=True)
