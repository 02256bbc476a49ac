"""The grammar of HTTP/1.1 response heads (RFC 9110, RFC 9112)."""

import re
from collections.abc import Sequence

from pondpin.http_streams import ResponseFault, ResponseFaultError

# Tabs, visible characters and 8-bit bytes: a field-value or reason-phrase (RFC 9110, section 5.5).
_TEXT = rb"[\t \x21-\x7e\x80-\xff]*"
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# RFC 9112, section 4. The space after the status code may be missing if no reason follows. A minor
# version above 1 is served as 1 (RFC 9110, section 2.5).
_STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: " + _TEXT + rb")?")
# RFC 9112, section 5: a token, no whitespace before the colon, and no folded lines.
FIELD_LINE = re.compile(rb"(" + TOKEN + rb"):(" + _TEXT + rb")")
# More digits are no length of a body that can be received.
_LENGTH = re.compile(rb"[ \t]*([0-9]{1,18})[ \t]*")
_WHITESPACE = b" \t"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"
CHUNKED = b"chunked"
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
NO_CONTENT = 204


class HeadChecker:
    """Checks the head of a response line by line, with the interim responses before it."""

    def __init__(self) -> None:
        self._status = 0
        self._minor_version = 0
        self._lengths: list[bytes] = []
        self._codings: list[bytes] = []

    def check_line(self, line: bytes) -> None:
        """Check the next line, with its CR; raises ResponseFaultError."""
        if line[-1:] != b"\r":
            raise ResponseFaultError(ResponseFault.LINE_END)
        line = line[:-1]
        if not self._status:
            self._check_status_line(line)
        elif line:
            self._check_field_line(line)
        else:
            self._check_end()

    def _check_status_line(self, line: bytes) -> None:
        found = _STATUS_LINE.fullmatch(line)
        if found is None:
            raise ResponseFaultError(ResponseFault.STATUS_LINE)
        self._minor_version, self._status = int(found[1]), int(found[2])

    def _check_field_line(self, line: bytes) -> None:
        found = FIELD_LINE.fullmatch(line)
        if found is None:
            raise ResponseFaultError(ResponseFault.FIELD_LINE)
        name = found[1].lower()
        if name == CONTENT_LENGTH:
            self._lengths.append(found[2])
        elif name == TRANSFER_ENCODING:
            self._codings.append(found[2].strip(_WHITESPACE).lower())

    def _check_end(self) -> None:
        if not is_consistent(self._status, self._minor_version, self._lengths, self._codings):
            raise ResponseFaultError(ResponseFault.FRAMING)
        if self._status < FIRST_FINAL_STATUS:
            # Another head follows an interim response.
            self._status = 0
            self._lengths, self._codings = [], []


def is_consistent(
    status: int, minor_version: int, lengths: Sequence[bytes], codings: Sequence[bytes]
) -> bool:
    """Whether the fields of a head delimit its body in one way (RFC 9112, section 6).

    lengths, codings: values of Content-Length, and of Transfer-Encoding in lower case.
    """
    if status == SWITCHING_PROTOCOLS:
        # It is never asked for, and what follows it isn't HTTP.
        return False
    if codings and (lengths or minor_version == 0 or list(codings) != [CHUNKED]):
        return False
    values = [_LENGTH.fullmatch(part) for value in lengths for part in value.split(b",")]
    numbers = {int(found[1]) if found is not None else -1 for found in values}
    if len(numbers) > 1 or -1 in numbers:
        return False
    has_no_body = status < FIRST_FINAL_STATUS or status == NO_CONTENT
    return not has_no_body or (not codings and numbers <= {0})
