"""Structured log of the programs: eliot messages as JSON lines on standard output.

Only changes of state are logged; frequent events are counted instead (see `proxy/metrics.py`).
"""

import sys
from typing import Any

from eliot import log_message, to_file

to_file(sys.stdout)


def write(event_type: str, fields: dict[str, Any]) -> None:
    """Write one event to standard output.

    Args:
        event_type: the type of the eliot message.
        fields: the fields of the event; values must be serializable as JSON.
    """
    log_message(message_type=event_type, **fields)


sink = write  # the simulation replaces it to record events in its trace


def log_event(event_type: str, /, **fields: Any) -> None:
    """Log a change of state and its cause; see `write` for the arguments."""
    sink(event_type, fields)
