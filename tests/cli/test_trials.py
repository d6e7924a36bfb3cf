"""Commands to try out the system: demo, and its earlier name camp."""

import unittest
from unittest import mock

from typer.testing import CliRunner

from flintreach.cli.app import build_app


class Demo(unittest.TestCase):
    def test_both_names_start_the_demo(self) -> None:
        for arguments in (
            ["demo", "--proxies", "2", "--controllers", "4", "--desks", "5", "--stores", "6", "--port", "7"],
            ["camp", "--proxies", "2", "--refuges", "4", "--desks", "5", "--stores", "6", "--port", "7"],
        ):
            with mock.patch("flintreach.demo.program.serve", return_value=1) as serve:
                result = CliRunner().invoke(build_app(), arguments)
            serve.assert_called_once_with(2, 4, 5, 6, 7)
            self.assertEqual(result.exit_code, 1, arguments)

    def test_only_the_current_name_is_listed(self) -> None:
        commands = {command.callback.__name__: command for command in build_app().registered_commands}
        self.assertFalse(commands["demo"].hidden)
        self.assertTrue(commands["camp"].hidden)


if __name__ == "__main__":
    unittest.main()
