"""Says in words what a new configuration would change."""

from collections.abc import Mapping
from dataclasses import fields
from typing import Any

from pondpin.configuration import Configuration


def tell_differences(old: Configuration, new: Configuration) -> list[str]:
    """One sentence for each change."""
    lines: list[str] = []
    for name in ("models", "accounts", "upstreams"):
        kind = name.removesuffix("s")
        lines += _mapping_lines(kind, getattr(old, name), getattr(new, name))
    lines += _mapping_lines("class", _by_name(old.classes), _by_name(new.classes))
    lines += _mapping_lines("rule", _by_name(old.rules), _by_name(new.rules))
    lines += _mapping_lines("objective", _by_name(old.objectives), _by_name(new.objectives))
    lines += _order_lines(old, new)
    lines += _field_lines("policy", old.policy, new.policy)
    return lines


def _by_name(items: tuple[Any, ...]) -> dict[str, Any]:
    return {item.name: item for item in items}


def _mapping_lines(kind: str, old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    lines = [f"{kind} {name} goes away" for name in old if name not in new]
    lines += [f"{kind} {name} is new" for name in new if name not in old]
    for name in old:
        if name in new:
            lines += _field_lines(f"{kind} {name}", old[name], new[name])
    return lines


def _field_lines(what: str, old: Any, new: Any) -> list[str]:
    lines = []
    for item in fields(old):
        before, after = getattr(old, item.name), getattr(new, item.name)
        if before == after:
            continue
        if item.name == "keys_sha256":
            lines.append(f"{what}: its keys change")
        else:
            lines.append(f"{what}: {item.name} changes from {before!r} to {after!r}")
    return lines


def _order_lines(old: Configuration, new: Configuration) -> list[str]:
    before = [rule.name for rule in old.rules]
    after = [rule.name for rule in new.rules]
    kept_before = [name for name in before if name in after]
    kept_after = [name for name in after if name in before]
    if kept_before == kept_after:
        return []
    return [f"rules are tried in another order: {', '.join(after)}"]
