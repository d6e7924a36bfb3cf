"""Signals while a program starts, and settings that change meanwhile (found by the soak, issue 42)."""

import os
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from flintreach.config import settings

# A program of the system that gets a SIGHUP before it has come to its handlers.
EARLY = """
import os, signal, sys, types
early = types.ModuleType("flintreach.early.program")
early.main = lambda: (os.kill(os.getpid(), signal.SIGHUP), print("runs on"))
sys.modules["flintreach.early"] = types.ModuleType("flintreach.early")
sys.modules["flintreach.early.program"] = early
from flintreach.__main__ import program
program("early")
"""


class Stop(Exception):
    """Ends a loop that has no end."""


class Signals(unittest.TestCase):
    def test_a_hangup_during_the_start_does_not_end_a_program(self):
        told = subprocess.run([sys.executable, "-c", EARLY], capture_output=True, cwd=os.getcwd(), timeout=30)
        self.assertEqual((told.returncode, told.stdout), (0, b"runs on\n"), told.stderr)


class Settings(unittest.TestCase):
    """The file is watched from its first reading on."""

    def looks(self, change: bool) -> int:
        """How often the settings are read anew, with or without a change before the watch begins."""
        with tempfile.TemporaryDirectory() as folder:
            path, reread = os.path.join(folder, "node.yaml"), mock.Mock()
            with open(path, "w", encoding="utf-8") as file:
                file.write("odd: 1\n")
            with mock.patch.dict(os.environ, {settings.VARIABLE: path}):
                with self.assertRaises(settings.SettingsError):
                    settings.load()
                if change:
                    with open(path, "w", encoding="utf-8") as file:
                        file.write("odd: 22\n")
                with self.assertRaises(Stop):
                    settings.watch(reread, mock.Mock(side_effect=[None, Stop]))
            return reread.call_count

    def test_a_change_before_the_watch_begins_is_found(self):
        self.assertEqual(self.looks(change=True), 1)

    def test_what_did_not_change_is_not_read_again(self):
        self.assertEqual(self.looks(change=False), 0)


if __name__ == "__main__":
    unittest.main()
