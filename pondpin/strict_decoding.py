"""Decoding of JSON into frozen data classes without pydantic; reports all faults at once."""

from collections.abc import Iterable
from dataclasses import MISSING, Field, fields, is_dataclass
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from pondpin.errors import FieldError, raise_faults
from pondpin.network import Checked

T = TypeVar("T")


def decode_strictly(kind: type[T], document: bytes, source: str) -> T:
    """Decode a JSON document; raises InvalidFileError with all faults and their paths."""
    faults: list[FieldError] = []
    decoded: T | None = None
    try:
        value = msgspec.json.decode(document)
    except msgspec.MsgspecError as error:
        faults.append(FieldError("$", str(error)))
    else:
        decoded = _decode_object(kind, value, "", faults)
    raise_faults(source, faults)
    assert decoded is not None, "a document without faults was decoded"
    return decoded


def _decode_object(kind: type[T], value: Any, path: str, faults: list[FieldError]) -> T | None:
    """Decode a JSON object into a data class; on faults append them, return None."""
    if not isinstance(value, dict):
        faults.append(FieldError(path or "$", "not an object"))
        return None
    before = len(faults)
    hints = get_type_hints(kind, include_extras=True)
    known: Iterable[Field[Any]] = fields(kind)  # type: ignore[arg-type]
    decoded = {}
    for item in known:
        item_path = f"{path}.{item.name}".lstrip(".")
        if item.name in value:
            decoded[item.name] = _decode_value(
                hints[item.name], value[item.name], item_path, faults
            )
        elif item.default is MISSING and item.default_factory is MISSING:
            faults.append(FieldError(item_path, "missing"))
    for name in value.keys() - hints.keys():
        faults.append(FieldError(f"{path}.{name}".lstrip("."), "unknown key"))
    return kind(**decoded) if len(faults) == before else None


def _decode_value(hint: Any, value: Any, path: str, faults: list[FieldError]) -> Any:
    if isinstance(hint, type) and is_dataclass(hint):
        return _decode_object(hint, value, path, faults)
    try:
        decoded = msgspec.convert(value, hint)
    except msgspec.ValidationError as error:
        faults.append(FieldError(path, str(error)))
        return None
    _check_strings(hint, decoded, path, faults)
    return decoded


def _check_strings(hint: Any, value: Any, path: str, faults: list[FieldError]) -> None:
    """Run the checks of a type's annotations, on each item of a list."""
    if get_origin(hint) is tuple:
        for number, item in enumerate(value):
            _check_strings(get_args(hint)[0], item, f"{path}[{number}]", faults)
    for annotation in getattr(hint, "__metadata__", ()):
        if not isinstance(annotation, Checked):
            continue
        try:
            annotation.check(value)
        except ValueError as error:
            faults.append(FieldError(path, str(error)))
