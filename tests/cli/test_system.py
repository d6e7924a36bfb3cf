"""Commands of operators."""

import unittest

import msgspec

CONFIG = {
    "edition": "0000000a",
    "wickets": [
        {
            "destination": "a.example",
            "regulations": [
                {
                    "name": "r",
                    "kind": "safe",
                    "sorting": {"postcode": "/x/"},
                    "dispatch": {"line": "desk", "deadline_ms": 2000, "tries": 2},
                },
                {
                    "name": "deep",
                    "kind": "unsafe",
                    "sorting": {"postcode": "/x/y/"},
                    "dispatch": {
                        "apportion": [{"line": "desk", "weight": 1}, {"line": "old", "weight": 0}],
                        "deadline_ms": 2000,
                        "tries": 1,
                        "home_regions": ["r"],
                    },
                },
            ],
        }
    ],
    "depots": [{"name": "desk"}, {"name": "old"}],
}


class Desk(unittest.TestCase):
    def test_statuses_tell_what_went_wrong(self):
        import tempfile
        from pathlib import Path

        from typer.testing import CliRunner

        from flintreach.__main__ import commands

        app, run = commands(), CliRunner()
        with tempfile.TemporaryDirectory() as folder:
            good, bad = Path(folder, "good.json"), Path(folder, "bad.json")
            good.write_bytes(msgspec.json.encode(CONFIG))
            bad.write_bytes(msgspec.json.encode(CONFIG | {"depots": []}))
            for words, status, said in (
                (["check", good], 0, "2 routes"),
                (["check", bad], 2, "unknown line"),
                (["check", folder], 2, ""),
                (["show", "moon", "--at", "x:1"], 2, ""),
            ):
                found = run.invoke(app, [str(word) for word in words])
                self.assertEqual(found.exit_code, status, words)
                self.assertIn(said, found.output)


if __name__ == "__main__":
    unittest.main()
