"""Commands for configurations: exit statuses and output."""

import tempfile
import unittest
from pathlib import Path

import msgspec
from typer.testing import CliRunner

from flintreach.cli.app import build_app
from tests.config.sample import CONFIGURATION


class Check(unittest.TestCase):
    def test_exit_status_and_output_for_valid_and_invalid_files(self) -> None:
        app = build_app()
        runner = CliRunner()
        with tempfile.TemporaryDirectory() as folder:
            valid = Path(folder, "valid.json")
            invalid = Path(folder, "invalid.json")
            valid.write_bytes(msgspec.json.encode(CONFIGURATION))
            invalid.write_bytes(msgspec.json.encode(CONFIGURATION | {"depots": []}))
            for path, status, text in (
                (str(valid), 0, "2 routes"),
                (str(invalid), 2, "unknown line"),
                (folder, 2, ""),
            ):
                result = runner.invoke(app, ["check", path])
                self.assertEqual(result.exit_code, status, path)
                self.assertIn(text, result.output)


if __name__ == "__main__":
    unittest.main()
