"""The start of every program: the pilot in service, the programs of the system, and the commands.

Each loads only what it uses.  The platform starts programs with a share of a core: loading Typer there would
keep them away for longer.
"""

import importlib
import signal
import sys

# How a deploy file calls a program -> the package that holds it.
PROGRAMS = {
    "proxy": "proxy",
    "controller": "controller",
    # As in deploy files of earlier releases.
    "bothy": "proxy",
    "refuge": "controller",
}


def run_program(package: str) -> None:
    """Run a program of the whole system; neither it nor the pilot in service loads anything of the other.

    Args:
        package: one of the values of PROGRAMS.
    """
    # Until the program handles the signal, it must not end it: `settings.watch` finds what changed meanwhile.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module(f"flintreach.{package}.program").main()


def main(arguments: list[str]) -> None:
    """Run what the command line asks for.

    Args:
        arguments: those after the name of the program.
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
