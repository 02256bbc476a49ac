"""Tests that fail for a known fault: listed at the root, run all the same, and printed."""

from dataclasses import dataclass
from pathlib import Path

LIST_PATH = Path(__file__).parent.parent.parent / "KNOWN-RED.txt"
# An entry is one short line; the issue holds the rest.
MOST_CHARACTERS = 500
FIELDS = ("test", "cause", "issue")


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A listed test by its full name, why it fails, and the issue that mends it."""

    test: str
    cause: str
    issue: str


def parse_list(text: str) -> dict[str, KnownRed]:
    """Entries by the name of their test: one line each, three fields between bars.

    Raises ValueError for a line of another form, a long one, one without an issue's number, or a
    test that is listed twice.
    """
    entries: dict[str, KnownRed] = {}
    for line in text.splitlines():
        if not line.strip():
            continue
        entry = _parse_line(line)
        if entry.test in entries:
            raise ValueError(f"{entry.test} is listed twice")
        entries[entry.test] = entry
    return entries


def read_list(path: Path = LIST_PATH) -> dict[str, KnownRed]:
    """The entries of the file, none without it."""
    return parse_list(path.read_text()) if path.exists() else {}


def _parse_line(line: str) -> KnownRed:
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != len(FIELDS) or not all(fields):
        raise ValueError(f"expected {' | '.join(FIELDS)}, not {line!r}")
    if len(line) > MOST_CHARACTERS:
        raise ValueError(f"{fields[0]}: {len(line)} characters, at most {MOST_CHARACTERS}")
    if not any(character.isdecimal() for character in fields[2]):
        raise ValueError(f"{fields[0]}: no number of an issue in {fields[2]!r}")
    return KnownRed(*fields)
