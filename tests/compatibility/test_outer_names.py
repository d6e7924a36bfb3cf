"""Names that leave the process stand in the code letter for letter.

`tests/data/outer_names.txt` lists the names that clients, endpoints, peers, operators and disks see: fields
and values of messages, keys of stored data and settings, paths, headers, options, environment variables,
figures with their labels, the simulator adapter's words, and labels from which seeds and digests are drawn.
A name that a rename drops fails here.
"""

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[2]
EXPECTED = (ROOT / "tests" / "data" / "outer_names.txt").read_text(encoding="utf-8").splitlines()


def docstrings(tree: ast.AST) -> set[int]:
    """Identities of the nodes that are strings standing alone, such as docstrings."""
    return {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}


def struct_fields(node: ast.ClassDef) -> Iterator[str]:
    """Fields of a `msgspec.Struct`, of which the name is written out unless it is sent as an array."""
    bases = {ast.unparse(base) for base in node.bases}
    if "msgspec.Struct" not in bases:
        return
    if any(keyword.arg == "array_like" for keyword in node.keywords):
        return
    for statement in node.body:
        if isinstance(statement, ast.AnnAssign):
            yield ast.unparse(statement.target)


def dataclass_fields(node: ast.ClassDef) -> Iterator[str]:
    """Fields of a dataclass; those of blocks in the operator's file are keys of that file."""
    if not any("dataclass" in ast.unparse(decorator) for decorator in node.decorator_list):
        return
    for statement in node.body:
        if isinstance(statement, ast.AnnAssign):
            yield ast.unparse(statement.target)


def commands_and_options(node: ast.FunctionDef) -> Iterator[str]:
    """A command of the command line, named for its function, and the options that its parameters make."""
    yield node.name
    arguments = [*node.args.posonlyargs, *node.args.args, *node.args.kwonlyargs]
    yield from (f"--{argument.arg.replace('_', '-')}" for argument in arguments)


def outer_names(tree: ast.AST, has_commands: bool = False) -> Iterator[str]:
    """Strings and written fields of a module; of the command line also its commands and options."""
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
    def test_each_listed_name_stands_in_the_code(self):
        found: set[str] = set()
        for path in sorted((ROOT / "flintreach").rglob("*.py")):
            tree = ast.parse(path.read_text(encoding="utf-8"))
            found.update(outer_names(tree, has_commands=path.parent.name == "cli"))
        self.assertEqual([name for name in EXPECTED if name not in found], [])

    def test_the_list_is_sorted_and_names_each_once(self):
        self.assertGreater(len(EXPECTED), 500)
        self.assertEqual(EXPECTED, sorted(set(EXPECTED)))


if __name__ == "__main__":
    unittest.main()
