"""Checks that each term in docs/glossary.md occurs in the source files listed for it."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "glossary.md"
ROW = re.compile(r"^\| (?P<word>[^|]+) \| (?P<term>[^|]+) \| (?P<place>[^|]+) \|$")


def glossary_rows() -> list[tuple[str, list[str], list[str]]]:
    """Returns (word, names in code, files) for each row."""
    found = []
    for line in PAGE.read_text().splitlines():
        match = ROW.match(line)
        if match and not match["word"].startswith(("-", "word")):
            names = re.findall(r"`([^`]+)`", match["term"])
            files = re.findall(r"`([^`]+)`", match["place"])
            found.append((match["word"].strip(), names, files))
    return found


class Glossary(unittest.TestCase):
    def test_each_word_has_one_row(self):
        words = [word for word, _, _ in glossary_rows()]
        self.assertGreater(len(words), 40)
        self.assertEqual(sorted(words), sorted(set(words)))

    def test_each_term_occurs_in_its_listed_files(self):
        missing = []
        for word, names, files in glossary_rows():
            if not names or not files:
                missing.append(f"{word}: row lists no term or no file")
                continue
            paths = [ROOT / "flintreach" / name for name in files]
            missing += [f"{word}: no file {path.relative_to(ROOT)}" for path in paths if not path.exists()]
            text = "\n".join(path.read_text() for path in paths if path.exists())
            missing += [
                f"{word}: {name} not found in {', '.join(files)}"
                for name in names
                if not re.search(rf"\b{re.escape(name)}\b", text)
            ]
        self.assertEqual(missing, [])


if __name__ == "__main__":
    unittest.main()
