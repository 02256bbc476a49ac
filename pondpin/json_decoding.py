"""Decoding of JSON documents that others send."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

Document = TypeVar("Document")


def decode_json(decode: Callable[[bytes], Document], data: bytes) -> Document:
    """Decode a document with a decoder's function; raises msgspec.DecodeError, a ValueError."""
    try:
        return decode(data)
    except RecursionError:
        # E.g. a hundred thousand brackets in an unread field.
        raise msgspec.DecodeError("nested too deeply") from None


def decode_json_as(kind: type[Document], data: bytes) -> Document:
    """Decode a document of a type; raises msgspec.DecodeError, a ValueError."""
    return decode_json(lambda document: msgspec.json.decode(document, type=kind), data)
