"""The log of a program of the system: eliot messages, one JSON object a line, on standard output.

What happens often is counted (see `proxy/metrics.py`); a line is for a change of state.
"""

import sys
from typing import Any

from eliot import log_message, to_file

to_file(sys.stdout)


def write(what: str, fields: dict[str, Any]) -> None:
    """Write one line.

    Args:
        what: the type of the message.
        fields: its fields, of types that JSON has.
    """
    log_message(message_type=what, **fields)


sink = write  # a simulation puts its trace here


def log_event(event_type: str, /, **fields: Any) -> None:
    """Log a change of state, with what caused it, as `write` does."""
    sink(event_type, fields)
