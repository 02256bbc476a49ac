"""The order of the relay's rooms: none looks into one that comes after it."""

import ast
import unittest
from pathlib import Path

import pondpin.relay

FOLDER = Path(pondpin.relay.__file__).parent
# What all may use comes first; those of `WHOLE` put all together.
SHARED = "shared"
ORDER = (SHARED, "published", "upstreams", "choosing", "peers", "attempts", "whole")
WHOLE = ("entry", "lazy_components", "publication_handler", "housekeeping", "operator_api")
# `ports` names the items of the published list, the one word that the shared modules take from a
# room.
ALLOWED = {("ports", "published.documents")}
MOST_LINES = 400


def room_of(module: str) -> str:
    """The room of a module that is named from the relay's folder on."""
    first = module.split(".", maxsplit=1)[0]
    if first in WHOLE:
        return "whole"
    return first if (FOLDER / first).is_dir() else SHARED


def imports_of(path: Path) -> set[str]:
    """The relay's modules that a module imports, in whatever place."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("pondpin.relay."):
            found.add((node.module or "").removeprefix("pondpin.relay."))
    return found


def name_of(path: Path) -> str:
    return ".".join(path.relative_to(FOLDER).with_suffix("").parts)


class RoomsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paths = [path for path in FOLDER.rglob("*.py") if path.name != "__init__.py"]

    def test_no_room_looks_into_a_later_one(self) -> None:
        for path in self.paths:
            name = name_of(path)
            for other in imports_of(path):
                if (name, other) in ALLOWED:
                    continue
                here, there = ORDER.index(room_of(name)), ORDER.index(room_of(other))
                self.assertLessEqual(there, here, f"{name} imports {other}")

    def test_every_module_is_looked_at(self) -> None:
        rooms = {room_of(name_of(path)) for path in self.paths}
        self.assertEqual(rooms, set(ORDER))

    def test_no_file_is_long(self) -> None:
        for path in self.paths:
            lines = len(path.read_text().splitlines())
            self.assertLessEqual(lines, MOST_LINES, name_of(path))


if __name__ == "__main__":
    unittest.main()
