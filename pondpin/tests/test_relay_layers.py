"""The layers of the relay: no layer imports from a later one."""

import ast
import unittest
from pathlib import Path

import pondpin.relay

FOLDER = Path(pondpin.relay.__file__).parent
# The shared modules come first; the modules of COMPOSITION put the layers together.
SHARED = "shared"
LAYERS = (SHARED, "published", "upstreams", "choosing", "peers", "paths", "attempts", "whole")
COMPOSITION = (
    "entry",
    "lazy_components",
    "publication_handler",
    "housekeeping",
    "operator_api",
    "draining",
)
# `ports` uses the type of published items: the only import of a shared module from a layer.
ALLOWED = {("ports", "published.documents")}
MAX_LINES = 400


def layer_of(module: str) -> str:
    """The layer of a module, named relative to pondpin.relay."""
    first = module.split(".", maxsplit=1)[0]
    if first in COMPOSITION:
        return "whole"
    return first if (FOLDER / first).is_dir() else SHARED


def imports_of(path: Path) -> set[str]:
    """List the relay modules that a module imports, at any position."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("pondpin.relay."):
            found.add((node.module or "").removeprefix("pondpin.relay."))
    return found


def name_of(path: Path) -> str:
    return ".".join(path.relative_to(FOLDER).with_suffix("").parts)


class LayersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.paths = [path for path in FOLDER.rglob("*.py") if path.name != "__init__.py"]

    def test_no_layer_imports_from_a_later_one(self) -> None:
        for path in self.paths:
            name = name_of(path)
            for imported in imports_of(path):
                if (name, imported) in ALLOWED:
                    continue
                importer, target = LAYERS.index(layer_of(name)), LAYERS.index(layer_of(imported))
                self.assertLessEqual(target, importer, f"{name} imports {imported}")

    def test_modules_of_all_layers_are_checked(self) -> None:
        layers = {layer_of(name_of(path)) for path in self.paths}
        self.assertEqual(layers, set(LAYERS))

    def test_file_length_is_bounded(self) -> None:
        for path in self.paths:
            lines = len(path.read_text().splitlines())
            self.assertLessEqual(lines, MAX_LINES, name_of(path))


if __name__ == "__main__":
    unittest.main()
