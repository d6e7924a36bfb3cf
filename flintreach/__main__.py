"""Entry point of the pilot service, the controller, the proxy and the commands.

Each imports only what it uses.  The platform starts programs on a fraction of a core, where importing Typer
would delay the start noticeably.
"""

import importlib
import os
import signal
import sys
from types import FrameType

# Program name in deploy files -> package.
PROGRAMS = {
    "proxy": "proxy",
    "controller": "controller",
    # Names in deploy files of earlier releases.
    "bothy": "proxy",
    "refuge": "controller",
}


# Written without the log, which has not been imported yet.
STOPPED_AT_START = b'{"message_type":"stopped","stage":"start"}\n'
STDOUT_DESCRIPTOR = 1


def stop_at_start(number: int, frame: FrameType | None) -> None:
    """End the process on a SIGTERM before the program handles it: nothing has been promised to anybody."""
    os.write(STDOUT_DESCRIPTOR, STOPPED_AT_START)
    os._exit(0)


def run_program(package: str) -> None:
    """Run the controller or the proxy; they and the pilot service import nothing from each other.

    Args:
        package: a value of PROGRAMS.
    """
    # SIGHUP must not end the program before its handler is installed; `settings.watch` detects changes of the
    # settings file that are made until then.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, stop_at_start)
    importlib.import_module(f"flintreach.{package}.program").main()


def main(arguments: list[str]) -> None:
    """Run the program or command that the command line names.

    Args:
        arguments: command-line arguments without the program name.
    """
    if arguments == ["serve"]:
        from flintreach.cli.pilot_service import serve_pilot

        serve_pilot()
    elif len(arguments) == 1 and arguments[0] in PROGRAMS:
        run_program(PROGRAMS[arguments[0]])
    else:
        from flintreach.cli.app import build_app

        build_app()()


if __name__ == "__main__":
    main(sys.argv[1:])
