"""docs/glossary.md: each term that it gives stands in the code where it says."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "glossary.md"
ROW = re.compile(r"^\| (?P<word>[^|]+) \| (?P<term>[^|]+) \| (?P<place>[^|]+) \|$")


def rows() -> list[tuple[str, list[str], list[str]]]:
    """(word, names in code, files) of each row."""
    found = []
    for line in PAGE.read_text().splitlines():
        match = ROW.match(line)
        if match and not match["word"].startswith(("-", "word")):
            names = re.findall(r"`([^`]+)`", match["term"])
            files = re.findall(r"`([^`]+)`", match["place"])
            found.append((match["word"].strip(), names, files))
    return found


class Glossary(unittest.TestCase):
    def test_there_is_one_row_a_word(self):
        words = [word for word, _, _ in rows()]
        self.assertGreater(len(words), 40)
        self.assertEqual(sorted(words), sorted(set(words)))

    def test_each_term_stands_in_the_code_where_the_row_says(self):
        missing = []
        for word, names, files in rows():
            if not names or not files:
                missing.append(f"{word}: names no term or no file")
                continue
            paths = [ROOT / "flintreach" / name for name in files]
            missing += [f"{word}: no file {path.relative_to(ROOT)}" for path in paths if not path.exists()]
            text = "\n".join(path.read_text() for path in paths if path.exists())
            missing += [
                f"{word}: {name} does not stand in {', '.join(files)}"
                for name in names
                if not re.search(rf"\b{re.escape(name)}\b", text)
            ]
        self.assertEqual(missing, [])


if __name__ == "__main__":
    unittest.main()
