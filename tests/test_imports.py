"""Imports run one way: no circle among our modules, those for types alone included, and none upwards to the
command line."""

from __future__ import annotations

import ast
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parent.parent / "pepperusher"


def imports(path: Path, names: set[str]) -> set[str]:
    """Which of our modules it imports, anywhere in it. A package alone counts as its __init__."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {one.name for one in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found |= {
                f"{node.module}.{one.name}" if f"{node.module}.{one.name}" in names else node.module
                for one in node.names
            }
    return found & names


def graph() -> dict[str, set[str]]:
    paths = {
        ".".join(path.relative_to(ROOT.parent).with_suffix("").parts).removesuffix(".__init__"): path
        for path in ROOT.rglob("*.py")
    }
    return {name: imports(path, set(paths)) - {name} for name, path in paths.items()}


class Imports(unittest.TestCase):
    def test_no_circle(self) -> None:
        try:
            TopologicalSorter(graph()).prepare()
        except CycleError as error:
            self.fail(f"imports run in a circle: {' <- '.join(error.args[1])}")

    def test_nobody_imports_the_command_line(self) -> None:
        self.assertEqual([], [name for name, those in graph().items() if "pepperusher.__main__" in those])

    def test_a_circle_is_found(self) -> None:
        self.assertRaises(
            CycleError, TopologicalSorter({**graph(), "pepperusher.terms": {"pepperusher.policy"}}).prepare
        )
