"""Checks docs/architecture.md against the code: named files exist, and package imports match its table."""

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[1]
SOURCE = ROOT / "flintreach"
PAGE = (ROOT / "docs" / "architecture.md").read_text()
MAIN = "(start)"  # modules directly in flintreach: the command-line entry point


def table_rows(title: str) -> list[list[str]]:
    """Cells of the table whose header starts with the given title."""
    lines = PAGE.partition(f"| {title} |")[2].splitlines()[2:]
    found = []
    for line in lines:
        if not line.startswith("|"):
            break
        found.append([cell.strip() for cell in line.strip("|").split("|")])
    return found


def allowed_imports() -> dict[str, set[str]]:
    """Maps each package to the packages that it may import."""
    return {row[0].strip("`"): set(re.findall(r"`([\w()]+)`", row[2])) for row in table_rows("package | job")}


def package_of(path: Path) -> str:
    parts = path.relative_to(SOURCE).parts
    return parts[0] if len(parts) > 1 else MAIN


def imported_packages(path: Path) -> set[str]:
    """Packages of flintreach that a file imports, including imports inside functions."""
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
        self.assertEqual(set(allowed_imports()), packages)

    def test_packages_import_only_allowed_packages(self):
        table, violations = allowed_imports(), []
        for path in sorted(SOURCE.rglob("*.py")):
            importer = package_of(path)
            violations += [
                f"{path.relative_to(ROOT)}: {name}"
                for name in sorted(
                    imported_packages(path)
                    - table[importer]
                    - {importer, MAIN if importer == MAIN else importer}
                )
            ]
        self.assertEqual(violations, [])

    def test_allowed_imports_are_all_used(self):
        used: dict[str, set[str]] = {}
        for path in SOURCE.rglob("*.py"):
            used.setdefault(package_of(path), set()).update(imported_packages(path) - {package_of(path)})
        self.assertEqual(
            {name: names for name, names in allowed_imports().items() if names != used[name]}, {}
        )

    def test_named_files_exist(self):
        names = set(re.findall(r"`((?:flintreach|deploy|tests|docs)/[\w/.-]+)`", PAGE))
        self.assertGreater(len(names), 20)
        self.assertEqual([name for name in sorted(names) if not (ROOT / name).exists()], [])

    def test_file_names_without_a_path_exist(self):
        names = set(re.findall(r"`(\w+\.py)`", PAGE))
        known = {path.name for path in SOURCE.rglob("*.py")}
        self.assertEqual(sorted(names - known), [])

    def test_named_classes_exist(self):
        text = "\n".join(path.read_text() for path in SOURCE.rglob("*.py"))
        classes = set(re.findall(r"^class (\w+)", text, re.MULTILINE))
        named = set(re.findall(r"`([A-Z]\w+)(?:\.\w+)?`", PAGE))
        self.assertGreater(len(named), 15)
        self.assertEqual(sorted(named - classes), [])


if __name__ == "__main__":
    unittest.main()
