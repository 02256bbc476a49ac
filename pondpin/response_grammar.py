"""The grammar of HTTP/1.1 response heads (RFC 9110, RFC 9112)."""

import re

from pondpin.http_streams import ResponseFault, ResponseFaultError

# Tabs, visible characters and 8-bit bytes: a field-value or reason-phrase (RFC 9110, section 5.5).
_TEXT = rb"[\t \x21-\x7e\x80-\xff]*"
# RFC 9112, section 4. The space after the status code may be missing if no reason follows. A minor
# version above 1 is served as 1 (RFC 9110, section 2.5).
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] ([1-5][0-9]{2})(?: " + _TEXT + rb")?")
# RFC 9112, section 5: a token, no whitespace before the colon, and no folded lines.
_FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + _TEXT)


class HeadChecker:
    """Checks the head of a response line by line, with the interim responses before it."""

    def __init__(self) -> None:
        self._expects_status = True
        self._is_interim = False

    def check_line(self, line: bytes) -> None:
        """Check the next line, with its CR; raises ResponseFaultError."""
        if line[-1:] != b"\r":
            raise ResponseFaultError(ResponseFault.LINE_END)
        line = line[:-1]
        if self._expects_status:
            self._check_status_line(line)
        elif not line:
            self._expects_status = self._is_interim
        elif _FIELD_LINE.fullmatch(line) is None:
            raise ResponseFaultError(ResponseFault.FIELD_LINE)

    def _check_status_line(self, line: bytes) -> None:
        found = _STATUS_LINE.fullmatch(line)
        if found is None:
            raise ResponseFaultError(ResponseFault.STATUS_LINE)
        self._expects_status = False
        self._is_interim = found[1].startswith(b"1")
