"""Decoder of chunked responses that checks extensions and trailers (RFC 9112, section 7.1)."""

import re
from typing import Any

from twisted.web.http import _ChunkedTransferDecoder, _MalformedChunkedDataError

from pondpin.http_streams import ResponseFault, ResponseFaultError
from pondpin.response_grammar import FIELD_LINE, TOKEN

# Without quoted pairs, which Twisted's decoder refuses.
_QUOTED = rb'"[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]*"'
_VALUE = rb"(?:[ \t]*=[ \t]*(?:" + TOKEN + rb"|" + _QUOTED + rb"))?"
_CHUNK_LINE = re.compile(rb"[0-9A-Fa-f]+(?:[ \t]*;[ \t]*" + TOKEN + _VALUE + rb")*")
LINE_END = b"\r\n"


class CheckedChunkDecoder(_ChunkedTransferDecoder):
    """Raises ResponseFaultError for a malformed chunk or trailer."""

    # Twisted's attributes, which have no types.
    _buffer: Any
    _start: Any

    def dataReceived(self, data: bytes) -> None:
        """Decode data."""
        try:
            super().dataReceived(data)
        except _MalformedChunkedDataError as error:
            is_trailer = self.state == "TRAILER"
            fault = ResponseFault.TRAILER if is_trailer else ResponseFault.CHUNK
            raise ResponseFaultError(fault) from error

    def _dataReceived_CHUNK_LENGTH(self) -> bool:
        self._check_line(_CHUNK_LINE, ResponseFault.CHUNK)
        return super()._dataReceived_CHUNK_LENGTH()

    def _dataReceived_TRAILER(self) -> bool:
        if not self._buffer.startswith(LINE_END):
            self._check_line(FIELD_LINE, ResponseFault.TRAILER)
        return super()._dataReceived_TRAILER()

    def _check_line(self, grammar: re.Pattern[bytes], fault: ResponseFault) -> None:
        """Check the line at the start of the buffer if it is complete."""
        end = self._buffer.find(LINE_END, self._start)
        if end >= 0 and grammar.fullmatch(self._buffer, 0, end) is None:
            raise ResponseFaultError(fault)
