"""What several groups of commands share: exit statuses, errors, addresses, tables."""

import sys
from enum import IntEnum
from typing import Any, NoReturn

import typer


class ExitStatus(IntEnum):
    """What scripts go by."""

    DONE = 0
    FAILED = 1  # the other side said no, or did not answer
    UNUSABLE = 2  # a file or an argument can't be used


def fail(status: ExitStatus, text: str) -> NoReturn:
    """End the command with one line on standard error.

    Raises:
        typer.Exit: always.
    """
    print(f"flintreach: {text}", file=sys.stderr)
    raise typer.Exit(int(status))


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of an argument.

    Raises:
        typer.Exit: it is no address; the status is UNUSABLE.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        fail(ExitStatus.UNUSABLE, f"{text}: expected an address and a port, such as 10.0.0.1:7700")
    return host, int(port)


def table_lines(rows: list[dict[str, Any]]) -> list[str]:
    """A table with a line for the names and one for each row.

    Args:
        rows: all with the same names, in the same order.

    >>> table_lines([{"id": "a", "n": 1}, {"id": "bcd", "n": 22}])
    ['id   n ', 'a    1 ', 'bcd  22']
    """
    if not rows:
        return ["nothing"]
    names = [*rows[0]]
    cells = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    return ["  ".join(cell.ljust(width) for cell, width in zip(line, widths)) for line in cells]
