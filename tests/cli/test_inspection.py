"""Commands for controllers: exit statuses for invalid arguments."""

import unittest

from typer.testing import CliRunner

from flintreach.cli.app import build_app


class Show(unittest.TestCase):
    def test_an_unknown_view_ends_with_status_2(self) -> None:
        result = CliRunner().invoke(build_app(), ["show", "moon", "--at", "x:1"])
        self.assertEqual(result.exit_code, 2)


if __name__ == "__main__":
    unittest.main()
