"""Framing of what a peer passes on from an upstream: chunked transfer coding (RFC 9112, 7.1).

The last chunk's trailer tells how the upstream ended its connection. Without it that isn't known:
the kernel of a peer closes its connections in order when its process ends.
"""

import enum
from collections.abc import Callable

from twisted.web.http import _ChunkedTransferDecoder, _MalformedChunkedDataError, toChunk

from pondpin.relay.paths.tunnel_messages import HEAD_END

END_TRAILER = "pondpin-upstream-end"
_LINE_END = b"\r\n"


class UpstreamEnding(enum.StrEnum):
    """How an upstream ended its connection. RESET: in any way but in order."""

    CLOSED = "closed"
    RESET = "reset"


class FramingError(Exception):
    """Data that is not in the framing."""


def encode_data(data: bytes) -> tuple[bytes, ...]:
    """A chunk of data, which must not be empty."""
    return toChunk(data)


def encode_end(ending: UpstreamEnding) -> bytes:
    """The last chunk."""
    return b"0\r\n" + f"{END_TRAILER}: {ending.value}".encode() + HEAD_END


class FramingDecoder:
    """Decodes chunks.

    on_data: called with data as it comes, also with parts of chunks. on_end: called once, with the
    last chunk.
    """

    def __init__(
        self, on_data: Callable[[bytes], None], on_end: Callable[[UpstreamEnding], None]
    ) -> None:
        self._on_end = on_end
        self._chunks = _ChunkedTransferDecoder(on_data, self._finish)

    def decode(self, data: bytes) -> None:
        """Decode received data; raises FramingError."""
        try:
            self._chunks.dataReceived(data)
        except _MalformedChunkedDataError as error:
            raise FramingError(str(error)) from None

    def _finish(self, rest: bytes) -> None:
        if rest:
            raise FramingError("data after the last chunk")
        trailers = [bytes(line) for line in self._chunks._trailerHeaders]
        for ending in UpstreamEnding:
            if trailers == [encode_end(ending).split(_LINE_END)[1]]:
                self._on_end(ending)
                return
        raise FramingError(f"unknown end: {trailers!r:.80}")
