"""The start of programs: what it keeps from being loaded."""

import os
import subprocess
import sys
import unittest

# A program, or the pilot, that ends as soon as it is started, and tells whether Typer was loaded until then.
START = """
import sys
from flintreach import __main__
def told():
    print("typer" in sys.modules)
    sys.exit()
if sys.argv[1] == "serve":
    from flintreach.net import run
    from flintreach.cli import pilot_service
    run.run = lambda *arguments: told()
    pilot_service.read_configuration = lambda path: None
else:
    import importlib
    importlib.import_module(f"flintreach.{__main__.PROGRAMS[sys.argv[1]]}.program").main = told
__main__.main(sys.argv[1:])
"""


class Start(unittest.TestCase):
    def test_programs_and_the_pilot_start_without_typer(self) -> None:
        environ = {name: value for name, value in os.environ.items() if name != "FLINTREACH_OPERATOR"}
        for name in ("serve", "proxy", "controller"):
            command = [sys.executable, "-c", START, name]
            ended = subprocess.run(command, capture_output=True, env=environ, timeout=60)
            self.assertEqual((ended.returncode, ended.stdout), (0, b"False\n"), (name, ended.stderr))


if __name__ == "__main__":
    unittest.main()
