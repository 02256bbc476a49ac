"""The HTTP client of the callers' own interface, which tests and experiments can cut off."""

from typing import Any

from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError, StreamedResponse


class PartitionableClient(HttpClient):
    """Makes no more calls once cut, as after the death of the process, and none to blocked places.

    blocked: hosts and ports that are cut off: calls to them fail as on a broken network.
    """

    def __init__(self, reactor: Any, connect_timeout: float) -> None:
        super().__init__(reactor, connect_timeout)
        self._is_cut = False
        self.blocked_endpoints: set[str] = set()

    def partition(self) -> None:
        """Make no more calls."""
        self._is_cut = True

    async def open(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        fresh: bool = False,
    ) -> StreamedResponse:
        """See HttpClient."""
        self._check_cut(url, sent=False)
        start = await super().open(method, url, headers, body, fresh)
        self._check_cut(url, sent=True)
        return start

    def _check_cut(self, url: str, sent: bool) -> None:
        if self._is_cut or (self.blocked_endpoints and url.split("/")[2] in self.blocked_endpoints):
            raise CallFailedError("cut off", sent)
