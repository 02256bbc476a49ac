"""Tests that fail for a known fault: listed at the root, run all the same, and printed."""

from dataclasses import dataclass
from pathlib import Path

LIST_PATH = Path(__file__).parent.parent.parent / "KNOWN-RED.txt"
# More would hide what is red.
MOST_ENTRIES = 3
FIELDS = ("test", "cause", "issue")


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A listed test by its full name, why it fails, and the issue that mends it."""

    test: str
    cause: str
    issue: str


def parse_list(text: str) -> dict[str, KnownRed]:
    """Entries by the name of their test: one line each, three fields between bars.

    Raises ValueError for a line of another form, or for too many lines.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    entries = [_parse_line(line) for line in lines]
    if len(entries) > MOST_ENTRIES:
        raise ValueError(f"{len(entries)} tests are listed as known red, at most {MOST_ENTRIES}")
    return {entry.test: entry for entry in entries}


def read_list(path: Path = LIST_PATH) -> dict[str, KnownRed]:
    """The entries of the file, none without it."""
    return parse_list(path.read_text()) if path.exists() else {}


def _parse_line(line: str) -> KnownRed:
    fields = [field.strip() for field in line.split("|")]
    if len(fields) != len(FIELDS) or not all(fields):
        raise ValueError(f"expected {' | '.join(FIELDS)}, not {line!r}")
    return KnownRed(*fields)
