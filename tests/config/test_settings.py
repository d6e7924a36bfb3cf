"""Settings of a process: read and checked, and watched from the first reading on (issue 42)."""

import os
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from flintreach.config import settings

# A program of the system that gets a SIGHUP before it handles signals.
EARLY_PROGRAM = """
import os, signal, sys, types
early = types.ModuleType("flintreach.early.program")
early.main = lambda: (os.kill(os.getpid(), signal.SIGHUP), print("runs on"))
sys.modules["flintreach.early"] = types.ModuleType("flintreach.early")
sys.modules["flintreach.early.program"] = early
from flintreach.__main__ import run_program
run_program("early")
"""
GOOD_SETTINGS = (
    "sender: {node_name: n, ip: 10.0.0.1, zone: z, region: r}\n"
    "network: {posts: {front: '10.0.0.1:80'}, spare_ports: [7000, 7010], news: 1}\n"
)


class Stop(Exception):
    """Ends a loop that has no end."""


class EarlySignals(unittest.TestCase):
    def test_a_hangup_during_the_start_does_not_end_a_program(self) -> None:
        command = [sys.executable, "-c", EARLY_PROGRAM]
        ended = subprocess.run(command, capture_output=True, cwd=os.getcwd(), timeout=30)
        self.assertEqual((ended.returncode, ended.stdout), (0, b"runs on\n"), ended.stderr)


class Checks(unittest.TestCase):
    def test_settings_name_the_field_that_is_wrong(self) -> None:
        self.assertEqual(settings.parse(GOOD_SETTINGS).peer_address(1), ("10.0.0.1", 7001))
        for text, field in (
            (GOOD_SETTINGS.replace("zone: z, ", ""), "zone"),
            ("a: [", "YAML"),
            (GOOD_SETTINGS.replace("[7000, 7010]", "many"), "spare_ports"),
        ):
            with self.assertRaisesRegex(settings.SettingsError, field):
                settings.parse(text)


class Watch(unittest.TestCase):
    """The file is watched from its first reading on."""

    def rereads(self, change: bool) -> int:
        """How often the settings are read anew, with or without a change before the watch begins."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "node.yaml")
            reread = mock.Mock()
            with open(path, "w", encoding="utf-8") as file:
                file.write("odd: 1\n")
            with mock.patch.dict(os.environ, {settings.PATH_VARIABLE: path}):
                with self.assertRaises(settings.SettingsError):
                    settings.load()
                if change:
                    with open(path, "w", encoding="utf-8") as file:
                        file.write("odd: 22\n")
                with self.assertRaises(Stop):
                    settings.watch(reread, mock.Mock(side_effect=[None, Stop]))
            return reread.call_count

    def test_a_change_before_the_watch_begins_is_found(self) -> None:
        self.assertEqual(self.rereads(change=True), 1)

    def test_what_did_not_change_is_not_read_again(self) -> None:
        self.assertEqual(self.rereads(change=False), 0)


if __name__ == "__main__":
    unittest.main()
