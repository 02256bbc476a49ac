"""Checks of close-delimited bodies, whose end can't be told from an interruption.

Each is what a reader does about that, see StreamedResponse.read.
"""

import msgspec

OK = 200
JSON_WHITESPACE = b" \t\r\n"
OPENING_BRACKETS = (b"{", b"[")


def is_json_document(status: int, body: bytes) -> bool:
    """Whether the body is a JSON object or array: no shorter part of one is valid JSON.

    A number is no proof: it may be the begin of a longer one.
    """
    if not body.lstrip(JSON_WHITESPACE).startswith(OPENING_BRACKETS):
        return False
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except (ValueError, RecursionError):
        return False
    return True


def is_unused_or_json(status: int, body: bytes) -> bool:
    """For a reader that uses the body only with status 200, and then as a JSON document."""
    return status != OK or is_json_document(status, body)


def ignore_body(status: int, body: bytes) -> bool:
    """For a reader that uses status and headers only."""
    return True


def accept_unverified(status: int, body: bytes) -> bool:
    """For a reader that looks for evidence elsewhere before it takes the body for complete."""
    return True
