"""docs/architecture.md and the code agree: files it names exist, packages import only what it lets them."""

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[1]
SOURCE = ROOT / "flintreach"
PAGE = (ROOT / "docs" / "architecture.md").read_text()
MAIN = "(start)"  # what stands in flintreach itself: the command line's start


def rows(title: str) -> list[list[str]]:
    """Cells of the table whose head begins with a title."""
    lines = PAGE.partition(f"| {title} |")[2].splitlines()[2:]
    found = []
    for line in lines:
        if not line.startswith("|"):
            break
        found.append([cell.strip() for cell in line.strip("|").split("|")])
    return found


def allowed() -> dict[str, set[str]]:
    """Package -> packages that it may import."""
    return {row[0].strip("`"): set(re.findall(r"`([\w()]+)`", row[2])) for row in rows("package | job")}


def package(path: Path) -> str:
    """The package that a file belongs to."""
    parts = path.relative_to(SOURCE).parts
    return parts[0] if len(parts) > 1 else MAIN


def imported(path: Path) -> set[str]:
    """Packages of flintreach that a file imports, also within functions."""
    modules = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module == "flintreach":
            modules |= {f"flintreach.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            modules.add(node.module)
        elif isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
    names = {name.split(".")[1] for name in modules if name.startswith("flintreach.")}
    return {name if (SOURCE / name).is_dir() else MAIN for name in names}


class Architecture(unittest.TestCase):
    def test_each_package_has_a_row(self):
        packages = {path.parent.name for path in SOURCE.glob("*/__init__.py")} | {MAIN}
        self.assertEqual(set(allowed()), packages)

    def test_a_package_imports_only_what_its_row_lets_it(self):
        table, strays = allowed(), []
        for path in sorted(SOURCE.rglob("*.py")):
            here = package(path)
            strays += [
                f"{path.relative_to(ROOT)}: {name}"
                for name in sorted(imported(path) - table[here] - {here, MAIN if here == MAIN else here})
            ]
        self.assertEqual(strays, [])

    def test_no_row_lets_more_than_is_used(self):
        used: dict[str, set[str]] = {}
        for path in SOURCE.rglob("*.py"):
            used.setdefault(package(path), set()).update(imported(path) - {package(path)})
        self.assertEqual({name: names for name, names in allowed().items() if names != used[name]}, {})

    def test_files_that_the_page_names_exist(self):
        names = set(re.findall(r"`((?:flintreach|deploy|tests|docs)/[\w/.-]+)`", PAGE))
        self.assertGreater(len(names), 20)
        self.assertEqual([name for name in sorted(names) if not (ROOT / name).exists()], [])

    def test_short_file_names_that_the_page_gives_exist_once_or_in_the_package_at_hand(self):
        names = set(re.findall(r"`(\w+\.py)`", PAGE))
        known = {path.name for path in SOURCE.rglob("*.py")}
        self.assertEqual(sorted(names - known), [])

    def test_classes_that_the_page_names_exist(self):
        text = "\n".join(path.read_text() for path in SOURCE.rglob("*.py"))
        classes = set(re.findall(r"^class (\w+)", text, re.MULTILINE))
        named = set(re.findall(r"`([A-Z]\w+)(?:\.\w+)?`", PAGE))
        self.assertGreater(len(named), 15)
        self.assertEqual(sorted(named - classes), [])


if __name__ == "__main__":
    unittest.main()
