"""HTTP client of the callers' own interface, which tests and experiments can partition."""

from typing import Any

from pondpin.http_client import HttpClient
from pondpin.http_streams import CallFailedError, StreamedResponse


class PartitionableClient(HttpClient):
    """Makes no calls after partition, like a dead process.

    blocked_endpoints: hosts and ports to which calls fail as on a broken network.
    """

    def __init__(self, reactor: Any, connect_timeout: float) -> None:
        super().__init__(reactor, connect_timeout)
        self._is_partitioned = False
        self.blocked_endpoints: set[str] = set()

    def partition(self) -> None:
        """Fail all further calls."""
        self._is_partitioned = True

    async def open(
        self,
        method: str,
        url: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        fresh: bool = False,
    ) -> StreamedResponse:
        """See HttpClient."""
        self._check_partition(url, sent=False)
        response = await super().open(method, url, headers, body, fresh)
        self._check_partition(url, sent=True)
        return response

    def _check_partition(self, url: str, sent: bool) -> None:
        if self._is_partitioned or (
            self.blocked_endpoints and url.split("/")[2] in self.blocked_endpoints
        ):
            raise CallFailedError("cut off", sent)
