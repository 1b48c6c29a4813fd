"""Tests of the import graph: it has no cycles, imports under TYPE_CHECKING included, and no module imports the command
line."""

from __future__ import annotations

import ast
import gc
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent / "pepperusher"


def imported_modules(path: Path, names: set[str]) -> set[str]:
    """Returns the modules among `names` that a file imports, at any place in it. A package stands for its __init__."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found |= {
                f"{node.module}.{alias.name}" if f"{node.module}.{alias.name}" in names else node.module
                for alias in node.names
            }
    return found & names


def import_graph() -> dict[str, set[str]]:
    """Returns the imported modules of each module of the project."""
    paths = {
        ".".join(path.relative_to(ROOT.parent).with_suffix("").parts).removesuffix(".__init__"): path
        for path in ROOT.rglob("*.py")
    }
    return {name: imported_modules(path, set(paths)) - {name} for name, path in paths.items()}


class Imports(unittest.TestCase):
    def setUp(self) -> None:
        # CPython 3.11 fails to parse a file where a garbage collection runs finalizers that raise, as those of stream writers
        # of earlier tests do once their event loop is closed.
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def test_no_circle(self) -> None:
        try:
            TopologicalSorter(import_graph()).prepare()
        except CycleError as error:
            self.fail(f"import cycle: {' <- '.join(error.args[1])}")

    def test_nobody_imports_the_command_line(self) -> None:
        self.assertEqual([], [name for name, imports in import_graph().items() if "pepperusher.__main__" in imports])

    def test_a_circle_is_found(self) -> None:
        self.assertRaises(
            CycleError, TopologicalSorter({**import_graph(), "pepperusher.terms": {"pepperusher.policy"}}).prepare
        )
