"""Settings of a process: parsing, validation, and watching for changes.

A SIGHUP during the start of a program must not end it, and a change of the file then must not be missed
(issue 42).
"""

import os
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from flintreach.config import settings

# Runs a program that receives SIGHUP before it has installed a signal handler.
EARLY_HANGUP_SCRIPT = """
import os, signal, sys, types
early = types.ModuleType("flintreach.early.program")
early.main = lambda: (os.kill(os.getpid(), signal.SIGHUP), print("still running"))
sys.modules["flintreach.early"] = types.ModuleType("flintreach.early")
sys.modules["flintreach.early.program"] = early
from flintreach.__main__ import run_program
run_program("early")
"""
VALID_SETTINGS = (
    "sender: {node_name: n, ip: 10.0.0.1, zone: z, region: r}\n"
    "network: {posts: {front: '10.0.0.1:80'}, spare_ports: [7000, 7010], news: 1}\n"
)


class StopWatching(Exception):
    """Raised by the fake sleep to leave the endless loop of `watch`."""


class SignalsDuringStart(unittest.TestCase):
    def test_sighup_during_start_does_not_end_the_program(self) -> None:
        command = [sys.executable, "-c", EARLY_HANGUP_SCRIPT]
        process = subprocess.run(command, capture_output=True, cwd=os.getcwd(), timeout=30)
        self.assertEqual((process.returncode, process.stdout), (0, b"still running\n"), process.stderr)


class Validation(unittest.TestCase):
    def test_errors_name_the_invalid_field(self) -> None:
        self.assertEqual(settings.parse(VALID_SETTINGS).peer_address(1), ("10.0.0.1", 7001))
        for text, field in (
            (VALID_SETTINGS.replace("zone: z, ", ""), "zone"),
            ("a: [", "YAML"),
            (VALID_SETTINGS.replace("[7000, 7010]", "many"), "spare_ports"),
        ):
            with self.assertRaisesRegex(settings.SettingsError, field):
                settings.parse(text)


class Start(unittest.TestCase):
    def test_settings_that_are_being_replaced_are_waited_for(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "node.yaml")
            with open(path, "w", encoding="utf-8"):
                pass

            def replace(seconds: float) -> None:
                with open(path, "w", encoding="utf-8") as file:
                    file.write(VALID_SETTINGS)

            with mock.patch.dict(os.environ, {settings.PATH_VARIABLE: path}):
                self.assertEqual(settings.load_at_start(replace).identity.node_name, "n")

    def test_settings_that_stay_unusable_are_an_error(self) -> None:
        with mock.patch.dict(os.environ, {settings.PATH_VARIABLE: "/nowhere/node.yaml"}):
            with self.assertRaisesRegex(settings.SettingsError, "/nowhere/node.yaml"):
                settings.load_at_start(mock.Mock(), timeout_s=0.0)


class Watch(unittest.TestCase):
    def count_reloads(self, change: bool) -> int:
        """Load settings, change the file if `change` is set, and return how often `watch` calls back."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "node.yaml")
            on_change = mock.Mock()
            with open(path, "w", encoding="utf-8") as file:
                file.write("odd: 1\n")
            with mock.patch.dict(os.environ, {settings.PATH_VARIABLE: path}):
                with self.assertRaises(settings.SettingsError):
                    settings.load()
                if change:
                    with open(path, "w", encoding="utf-8") as file:
                        file.write("odd: 22\n")
                with self.assertRaises(StopWatching):
                    settings.watch(on_change, mock.Mock(side_effect=[None, StopWatching]))
            return on_change.call_count

    def test_a_change_between_load_and_watch_is_detected(self) -> None:
        self.assertEqual(self.count_reloads(change=True), 1)

    def test_an_unchanged_file_is_not_reloaded(self) -> None:
        self.assertEqual(self.count_reloads(change=False), 0)


if __name__ == "__main__":
    unittest.main()
