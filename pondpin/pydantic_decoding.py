"""Decoding of JSON into frozen data classes with pydantic; reports all faults at once."""

from typing import TypeVar

from pydantic import ConfigDict, TypeAdapter, ValidationError

from pondpin.errors import FieldError, InvalidFileError

STRICT = ConfigDict(extra="forbid")

T = TypeVar("T")


def format_path(location: tuple[int | str, ...]) -> str:
    """The path of a fault, such as 'rules[2].match'; '$' for the document itself."""
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
            FieldError(format_path(fault["loc"]), fault["msg"])
            for fault in error.errors(include_url=False, include_input=False, include_context=False)
        ]
        raise InvalidFileError(f"{source} has {len(faults)} fault(s)", faults) from None
