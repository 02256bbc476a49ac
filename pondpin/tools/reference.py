"""Writes the reference pages and schemas that follow from the code; tests hold them equal."""

import json
from collections.abc import Callable
from dataclasses import MISSING, fields, is_dataclass
from pathlib import Path
from typing import Any, get_args, get_type_hints

from pydantic.fields import FieldInfo

from pondpin.codes import INFO_BY_CODE
from pondpin.configuration import Configuration, configuration_schema
from pondpin.interface_metrics import InterfaceMetrics
from pondpin.relay_settings import RelaySettings
from pondpin.runtime import ParsedCommand, run_command
from pondpin.settings import Settings, settings_schema
from pondpin.tools.units import RELAY_UNIT_BY_KEY, UNIT_BY_KEY

DOCS = Path(__file__).parents[2] / "docs"
REQUIRED = "required"


def write_codes() -> str:
    """docs/RESULT-CODES.md."""
    lines = [
        "# Result codes",
        "",
        "Every refusal and failure carries a number. The JSON body of an error has `code`, `name`,",
        "`message`, `ran` (`ran`, `not run` or `outcome unknown`), `retry` and `retry_after` in",
        "seconds; the header `pondpin-ran` repeats the outcome. `retry` says whether a later try",
        "can help. Written by `python -m pondpin.tools.reference`.",
        "",
        "| code | name | HTTP | a retry can help | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for code, info in INFO_BY_CODE.items():
        retry = "yes" if info.retry else "no"
        lines.append(f"| {int(code)} | {code.name} | {info.status} | {retry} | {info.meaning} |")
    return "\n".join(lines) + "\n"


def write_metrics() -> str:
    """docs/METRICS.md."""
    lines = [
        "# InterfaceMetrics",
        "",
        "`GET /metrics` on the operators' address, or on `metrics_port` of a relaying instance,",
        "in the Prometheus text form. Every metric has",
        "the labels `instance` and `data_center`; others are bounded: classes, result codes,",
        "outcomes, upstreams and causes of the configuration. Times are in seconds.",
        "Written by `python -m pondpin.tools.reference`.",
        "",
        "| name | type | meaning |",
        "| --- | --- | --- |",
    ]
    registry = InterfaceMetrics("instance", "center").registry
    for collector in sorted(registry.get_all(), key=lambda item: str(item.name)):
        kind = type(collector).__name__.lower()
        lines.append(f"| `{collector.name}` | {kind} | {collector.doc} |")
    return "\n".join(lines) + "\n"


def write_settings() -> str:
    """docs/SETTINGS.md."""
    lines = [
        "# Settings and configuration",
        "",
        "An instance reads its *settings* once, from the JSON file of `--settings`. All instances",
        "share the *configuration*, which the platform publishes and which is in force everywhere",
        "within seconds. Unknown keys are refused, and all faults of a file are told at once:",
        "`pondpinctl check_settings FILE`, `pondpinctl check FILE`. Addresses are IP numbers.",
        "Schemas: `settings.schema.json`, `configuration.schema.json`.",
        "Written by `python -m pondpin.tools.reference`.",
        "",
        "## Settings of an instance",
        "",
        *_key_table(Settings, UNIT_BY_KEY),
        "",
        "## Configuration",
        "",
        "`*` stands for a name, `[]` for each item of a list.",
        "",
        *_key_table(Configuration, UNIT_BY_KEY),
    ]
    return "\n".join(lines) + "\n"


def write_relay_settings() -> str:
    """docs/RELAY-SETTINGS.md."""
    lines = [
        "# Settings of a relaying instance",
        "",
        "The JSON file of `--settings`; on the users' platform `deploy/settings.json` makes it.",
        "It is checked as a whole: unknown keys are refused, all faults are told at once. SIGHUP",
        "reads it again: limits and known peers change, a faulty file leaves the ones in force",
        "and is logged. Everything else is published by the platform.",
        "Written by `python -m pondpin.tools.reference`.",
        "",
        *_key_table(RelaySettings, RELAY_UNIT_BY_KEY),
    ]
    return "\n".join(lines) + "\n"


def _key_table(root: type, unit_by_key: dict[str, str]) -> list[str]:
    rows = ["| key | default | unit or meaning |", "| --- | --- | --- |"]
    for key, default in _walk(root, ""):
        rows.append(f"| `{key}` | {default} | {unit_by_key[key]} |")
    return rows


def list_keys(root: type) -> list[str]:
    """All keys of a document, by their paths."""
    return [key for key, _ in _walk(root, "")]


def _walk(kind: type, prefix: str) -> list[tuple[str, str]]:
    rows: list[tuple[str, str]] = []
    hints = get_type_hints(kind)
    for item in fields(kind):
        key = f"{prefix}{item.name}"
        inner, suffix = _inner_class(hints[item.name])
        rows.append((key + suffix, _show_default(item.default, item.default_factory)))
        if inner is not None:
            rows += _walk(inner, f"{key}{suffix}.")
    return rows


def _inner_class(hint: Any) -> tuple[type | None, str]:
    """The data class inside a type, and how its place in a path is written."""
    if is_dataclass(hint) and isinstance(hint, type):
        return hint, ""
    for argument in get_args(hint):
        if is_dataclass(argument) and isinstance(argument, type):
            origin: Any = getattr(hint, "__origin__", None)
            return argument, {dict: ".*", tuple: "[]"}.get(origin, "")
    return None, ""


def _show_default(default: Any, factory: Any) -> str:
    if isinstance(default, FieldInfo):
        default, factory = default.default, default.default_factory or MISSING
    if default is not MISSING and not _is_undefined(default):
        text = json.dumps(list(default)) if isinstance(default, tuple) else json.dumps(default)
        return f"`{text}`"
    if factory is not MISSING:
        made = factory()
        return "`{}`" if isinstance(made, dict) or is_dataclass(made) else f"`{made}`"
    return REQUIRED


def _is_undefined(value: Any) -> bool:
    return type(value).__name__ == "PydanticUndefinedType"


def write_schema(make: Callable[[], dict[str, object]]) -> str:
    """A JSON schema as it is committed."""
    return json.dumps(make(), indent=2) + "\n"


PAGES: dict[str, Callable[[], str]] = {
    "RESULT-CODES.md": write_codes,
    "METRICS.md": write_metrics,
    "SETTINGS.md": write_settings,
    "RELAY-SETTINGS.md": write_relay_settings,
    "settings.schema.json": lambda: write_schema(settings_schema),
    "configuration.schema.json": lambda: write_schema(configuration_schema),
}


def reference() -> ParsedCommand:
    """Write all reference pages into docs/."""

    def start() -> int:
        for name, make in PAGES.items():
            (DOCS / name).write_text(make())
        return 0

    return ParsedCommand(start)


if __name__ == "__main__":
    run_command(reference, "reference")
