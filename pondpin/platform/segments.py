"""Decodes the list of a prompt's segments."""

from functools import lru_cache

# Further segments of a prompt are left out.
MAX_SEGMENTS = 64
# A longer ID is invalid.
MAX_ID_BYTES = 64
# Most entries come again and again; one takes 150 bytes here.
KEPT_ENTRIES = 4096
HEX_DIGITS = b"0123456789abcdef"


def decode_segments(header: bytes) -> tuple[tuple[bytes, ...], int]:
    """The IDs of all segments but the last, each once and in lower case, and how many entries were
    invalid or too many.
    """
    entries = header.lower().split(b",")[:-1]
    valid = list(filter(None, map(_parse_id, entries[:MAX_SEGMENTS])))
    return tuple(dict.fromkeys(valid)), len(entries) - len(valid)


@lru_cache(KEPT_ENTRIES)
def _parse_id(entry: bytes) -> bytes:
    """The ID of an entry `ID:TOKENS`, empty if it is invalid."""
    name, colon, tokens = entry.strip().partition(b":")
    is_valid = colon and tokens.isdigit() and not name.strip(HEX_DIGITS)
    return name if is_valid and len(name) <= MAX_ID_BYTES else b""
