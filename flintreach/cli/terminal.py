"""Shared by the commands: exit statuses, errors, addresses, tables."""

import sys
from enum import IntEnum
from typing import Any, NoReturn

import typer


class ExitStatus(IntEnum):
    """Exit status of a command; scripts rely on the values."""

    DONE = 0
    FAILED = 1  # the request was refused, or there was no response
    UNUSABLE = 2  # a file can't be read, or a file or an argument is invalid


def fail(status: ExitStatus, text: str) -> NoReturn:
    """Exit with one line on standard error.

    Raises:
        typer.Exit: always.
    """
    print(f"flintreach: {text}", file=sys.stderr)
    raise typer.Exit(int(status))


def parse_address(text: str) -> tuple[str, int]:
    """Split an argument of the form HOST:PORT.

    Raises:
        typer.Exit: the argument is not an address; the status is UNUSABLE.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        fail(ExitStatus.UNUSABLE, f"{text}: expected HOST:PORT, such as 10.0.0.1:7700")
    return host, int(port)


def table_lines(rows: list[dict[str, Any]]) -> list[str]:
    """Format rows as a table with a header line.

    Args:
        rows: all with the same keys, in the same order.

    >>> table_lines([{"id": "a", "n": 1}, {"id": "bcd", "n": 22}])
    ['id   n ', 'a    1 ', 'bcd  22']
    """
    if not rows:
        return ["nothing"]
    names = [*rows[0]]
    cells = [names, *([str(row[name]) for name in names] for row in rows)]
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    return ["  ".join(cell.ljust(width) for cell, width in zip(line, widths)) for line in cells]
