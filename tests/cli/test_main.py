"""Start of programs without the import of Typer, which would delay it on a fraction of a core."""

import os
import subprocess
import sys
import unittest

# Starts a program or the pilot, whose main function prints whether Typer was imported and exits.
START_SCRIPT = """
import sys
from flintreach import __main__
def print_and_exit():
    print("typer" in sys.modules)
    sys.exit()
if sys.argv[1] == "serve":
    from flintreach.net import run
    from flintreach.cli import pilot_service
    run.run = lambda *arguments: print_and_exit()
    pilot_service.read_configuration = lambda path: None
else:
    import importlib
    importlib.import_module(f"flintreach.{__main__.PROGRAMS[sys.argv[1]]}.program").main = print_and_exit
__main__.main(sys.argv[1:])
"""


class Start(unittest.TestCase):
    def test_programs_and_the_pilot_start_without_importing_typer(self) -> None:
        environ = {name: value for name, value in os.environ.items() if name != "FLINTREACH_OPERATOR"}
        for name in ("serve", "proxy", "controller"):
            command = [sys.executable, "-c", START_SCRIPT, name]
            process = subprocess.run(command, capture_output=True, env=environ, timeout=60)
            self.assertEqual((process.returncode, process.stdout), (0, b"False\n"), (name, process.stderr))


if __name__ == "__main__":
    unittest.main()
