"""Commands on configurations: their statuses and what they print."""

import tempfile
import unittest
from pathlib import Path

import msgspec
from typer.testing import CliRunner

from flintreach.cli.app import build_app
from tests.config.sample import CONFIGURATION


class Check(unittest.TestCase):
    def test_the_status_and_the_text_tell_what_is_wrong_with_a_file(self) -> None:
        app = build_app()
        runner = CliRunner()
        with tempfile.TemporaryDirectory() as folder:
            good = Path(folder, "good.json")
            bad = Path(folder, "bad.json")
            good.write_bytes(msgspec.json.encode(CONFIGURATION))
            bad.write_bytes(msgspec.json.encode(CONFIGURATION | {"depots": []}))
            for path, status, text in (
                (str(good), 0, "2 routes"),
                (str(bad), 2, "unknown line"),
                (folder, 2, ""),
            ):
                result = runner.invoke(app, ["check", path])
                self.assertEqual(result.exit_code, status, path)
                self.assertIn(text, result.output)


if __name__ == "__main__":
    unittest.main()
