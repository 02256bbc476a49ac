"""The adapter of the platform's read-only service."""

from dataclasses import dataclass
from typing import Protocol

import msgspec

from pondpin.body_checks import is_unused_or_json
from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError
from pondpin.json_decoding import decode_json_as
from pondpin.platform_protocol import (
    CONFIGURATION_PATH,
    EPOCH_HEADER,
    INSTANCES_PATH,
    REVISION_HEADER,
    InstanceList,
)
from pondpin.positions import epoch_of, position_of, revision_of

OK = 200
NOT_MODIFIED = 304
TOO_MANY = 429
MARGIN_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Published:
    """A value with its position, see `pondpin.positions`."""

    position: int
    document: bytes


class PlatformPort(Protocol):
    """What pondpin reads from the platform; calls raise CallFailedError."""

    async def watch(self, after: int, wait: float) -> Published | None:
        """The value after a position, or None when none came within wait seconds.

        One of another epoch comes at once, whatever its revision.
        """
        ...

    async def instances(self, timeout: float) -> InstanceList:
        """The list of live and leaving instances; it lags."""
        ...


class HttpPlatform:
    """PlatformPort over HTTP."""

    def __init__(self, client: HttpClient, address: str) -> None:
        self._client = client
        self._base = f"http://{address}"

    async def watch(self, after: int, wait: float) -> Published | None:
        """See PlatformPort."""
        known = f"after={revision_of(after)}&epoch={epoch_of(after)}"
        url = f"{self._base}{CONFIGURATION_PATH}?{known}&wait={wait}"
        timeout = wait + MARGIN_SECONDS
        answer = await self._client.call(
            "GET", url, timeout=timeout, close_delimited_if=is_unused_or_json
        )
        if answer.status == NOT_MODIFIED:
            return None
        if answer.status != OK:
            raise CallFailedError(f"status {answer.status}", sent=True)
        try:
            epoch = int(answer.headers.get(EPOCH_HEADER, "0"))
            revision = int(answer.headers.get(REVISION_HEADER, ""))
            return Published(position_of(epoch, revision), answer.body)
        except ValueError as error:
            raise CallFailedError(f"the answer carries no revision: {error}", sent=True) from None

    async def instances(self, timeout: float) -> InstanceList:
        """See PlatformPort."""
        url = f"{self._base}{INSTANCES_PATH}"
        answer = await self._client.call(
            "GET", url, timeout=timeout, close_delimited_if=is_unused_or_json
        )
        if answer.status != OK:
            raise CallFailedError(f"status {answer.status}", sent=True)
        try:
            return decode_json_as(InstanceList, answer.body)
        except msgspec.MsgspecError as error:
            raise CallFailedError(f"list not understood: {error}", sent=True) from None
