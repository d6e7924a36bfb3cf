"""Logs of the system: eliot messages as JSON lines on standard output.  Counters first, lines for changes."""

import sys

from eliot import log_message, to_file

to_file(sys.stdout)


def write(what: str, fields: dict) -> None:
    log_message(message_type=what, **fields)


teller = write  # a simulation puts its trace here


def say(what: str, **fields) -> None:
    """One line for a change of state, with what caused it."""
    teller(what, fields)
