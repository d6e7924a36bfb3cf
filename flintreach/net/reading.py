"""What comes from outside is read with suspicion: its lines, its figures, and the errors that they raise."""

import json
from collections.abc import Iterator

from flintreach.net.buffer import Buffer

DECODE_ERRORS = (ValueError, LookupError, TypeError, AttributeError, ArithmeticError, RecursionError)


def nonnegative_number(value: object, most: float = float("inf")) -> float:
    """A number from JSON that is finite, not negative and not absurd.

    >>> nonnegative_number(2.5)
    2.5
    >>> nonnegative_number(-1)
    Traceback (most recent call last):
        ...
    ValueError: not a figure: -1
    """
    if type(value) not in (int, float) or not 0 <= value < most:
        raise ValueError(f"not a figure: {value!r:.40}")
    return value


def nonnegative_int(value: object, most: float = float("inf")) -> int:
    """
    >>> nonnegative_int(7)
    7
    """
    if type(value) is not int:
        raise ValueError(f"not a whole number: {value!r:.40}")
    return nonnegative_number(value, most)


def json_lines(buffer: Buffer) -> Iterator[object]:
    """What has come whole, one JSON value a line."""
    for line in buffer.lines():
        try:
            value = json.loads(str(line, "utf-8"))  # of bytes it would guess at the encoding of each
        except ValueError as error:
            if isinstance(error, (json.JSONDecodeError, UnicodeDecodeError)):
                raise
            value = None  # a number of thousands of digits: readable, but no figure of ours
        yield value


def json_objects(buffer: Buffer) -> Iterator[dict]:
    for message in json_lines(buffer):
        if not isinstance(message, dict):
            raise ValueError("not an object")
        yield message
