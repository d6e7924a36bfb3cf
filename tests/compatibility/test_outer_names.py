"""Externally visible names are present in the code letter for letter.

`tests/data/outer_names.txt` lists the names that clients, endpoints, peers, operators and disks see: fields
and values of messages, keys of stored data and settings, paths, headers, options, environment variables,
metrics with their labels, the simulator adapter's terms, and labels from which seeds and digests are derived.
The test fails if a rename removes one of them.
"""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2]
EXPECTED = (ROOT / "tests" / "data" / "outer_names.txt").read_text(encoding="utf-8").splitlines()


def docstrings(tree: ast.AST) -> set[int]:
    """Object ids of expression-statement values, such as docstrings."""
    return {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}


def struct_fields(node: ast.ClassDef) -> Iterator[str]:
    """Fields of a `msgspec.Struct`; their names are serialized unless the struct is encoded as an array."""
    bases = {ast.unparse(base) for base in node.bases}
    if "msgspec.Struct" not in bases:
        return
    if any(keyword.arg == "array_like" for keyword in node.keywords):
        return
    for statement in node.body:
        if isinstance(statement, ast.AnnAssign):
            yield ast.unparse(statement.target)


def dataclass_fields(node: ast.ClassDef) -> Iterator[str]:
    """Fields of a dataclass; fields of settings sections are keys of the settings file."""
    if not any("dataclass" in ast.unparse(decorator) for decorator in node.decorator_list):
        return
    for statement in node.body:
        if isinstance(statement, ast.AnnAssign):
            yield ast.unparse(statement.target)


def commands_and_options(node: ast.FunctionDef) -> Iterator[str]:
    """A CLI command, named after its function, and the options derived from its parameters."""
    yield node.name
    arguments = [*node.args.posonlyargs, *node.args.args, *node.args.kwonlyargs]
    yield from (f"--{argument.arg.replace('_', '-')}" for argument in arguments)


def outer_names(tree: ast.AST, has_commands: bool = False) -> Iterator[str]:
    """String literals and serialized fields of a module, plus commands and options for CLI modules."""
    skipped = docstrings(tree)
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in skipped:
            if isinstance(node.value, str):
                yield node.value
            elif isinstance(node.value, bytes):
                yield node.value.decode("latin-1")
        elif isinstance(node, ast.ClassDef):
            yield from struct_fields(node)
            yield from dataclass_fields(node)
        elif isinstance(node, ast.FunctionDef) and has_commands:
            yield from commands_and_options(node)


class OuterNames(unittest.TestCase):
    def test_each_listed_name_is_in_the_code(self):
        found: set[str] = set()
        for path in sorted((ROOT / "flintreach").rglob("*.py")):
            tree = ast.parse(path.read_text(encoding="utf-8"))
            found.update(outer_names(tree, has_commands=path.parent.name == "cli"))
        self.assertEqual([name for name in EXPECTED if name not in found], [])

    def test_list_is_sorted_without_duplicates(self):
        self.assertGreater(len(EXPECTED), 500)
        self.assertEqual(EXPECTED, sorted(set(EXPECTED)))


if __name__ == "__main__":
    unittest.main()
