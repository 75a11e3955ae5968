"""Each package still writes each of its outer names: on wires, in files, settings, logs and commands."""

from __future__ import annotations

import ast
import re
import unittest
from collections.abc import Iterator
from pathlib import Path

from tests.golden_files import FOLDER

PACKAGE = Path(__file__).parent.parent / "landingshift"
NESTED_PACKAGES = ("net", "testbed")
LOG_CALL = re.compile(r"(^|\.|_)log$|\.(info|warning|error)$")


def area_of(path: Path) -> str:
    """The part of the package to which the golden file assigns names: a package, or a module at the top."""
    parts = path.relative_to(PACKAGE).parts
    return "/".join(parts[:2]) if parts[0] in NESTED_PACKAGES else parts[0]


def names_in(tree: ast.Module) -> Iterator[str]:
    """String and bytes constants, fields of structs, names of commands and the fields of log lines."""
    docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    for node in ast.walk(tree):
        match node:
            case ast.Constant(value=str(text)) if id(node) not in docstrings:
                yield text
            case ast.Constant(value=bytes(data)) if id(node) not in docstrings:
                yield data.decode("latin-1")
            case ast.AnnAssign(target=ast.Name(id=name)):
                yield name
            case ast.FunctionDef(name=name, decorator_list=[_, *_]):
                yield name
            case ast.Call() if LOG_CALL.search(ast.unparse(node.func)):
                yield from (keyword.arg for keyword in node.keywords if keyword.arg)


class OuterNames(unittest.TestCase):
    def test_each_name_is_still_there(self) -> None:
        found: dict[str, set[str]] = {}
        for path in PACKAGE.rglob("*.py"):
            found.setdefault(area_of(path), set()).update(names_in(ast.parse(path.read_text())))
        rows = (FOLDER / "outer_names.txt").read_text().splitlines()
        self.assertGreater(len(rows), 1000)
        missing = [row for row in rows if row.split()[1] not in found.get(row.split()[0], ())]
        self.assertEqual(missing, [])
