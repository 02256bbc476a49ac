"""Decodes JSON documents into frozen data classes and reports every fault at once."""

from typing import TypeVar

from pydantic import ConfigDict, TypeAdapter, ValidationError

from pondpin.errors import FieldError, InvalidFileError

STRICT = ConfigDict(extra="forbid")

T = TypeVar("T")


def describe_path(location: tuple[int | str, ...]) -> str:
    """The place of a fault as 'rules[2].match'; the document itself is '$'."""
    path = ""
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path.lstrip(".") or "$"


def decode_document(adapter: TypeAdapter[T], document: bytes | str, source: str) -> T:
    """Decode a JSON document; raises InvalidFileError with all faults and their paths."""
    try:
        return adapter.validate_json(document)
    except ValidationError as error:
        faults = [
            FieldError(describe_path(fault["loc"]), fault["msg"])
            for fault in error.errors(include_url=False, include_input=False, include_context=False)
        ]
        raise InvalidFileError(f"{source} has {len(faults)} fault(s)", faults) from None
