"""Validating readers for data from outside: lines of JSON and numbers."""

import json
from collections.abc import Iterator

from flintreach.net.buffer import Buffer

# What malformed data may raise where it is read.
DECODE_ERRORS = (ValueError, LookupError, TypeError, AttributeError, ArithmeticError, RecursionError)


def nonnegative_number(value: object, limit: float = float("inf")) -> float:
    """Check that a value from JSON is a number from 0 to below a limit; NaN and infinity are not.

    >>> nonnegative_number(2.5)
    2.5
    >>> nonnegative_number(-1)
    Traceback (most recent call last):
        ...
    ValueError: not a number within its limits: -1

    Raises:
        ValueError: it is not.
    """
    if type(value) not in (int, float) or not 0 <= value < limit:
        raise ValueError(f"not a number within its limits: {value!r:.40}")
    return value


def nonnegative_int(value: object, limit: float = float("inf")) -> int:
    """Check that a value from JSON is an integer from 0 to below a limit.

    >>> nonnegative_int(7)
    7

    Raises:
        ValueError: it is not.
    """
    if type(value) is not int:
        raise ValueError(f"not an integer: {value!r:.40}")
    return nonnegative_number(value, limit)


def json_lines(buffer: Buffer) -> Iterator[object]:
    """Take the complete lines of a buffer, one JSON value each.

    Raises:
        ValueError: a line is not UTF-8 or not JSON.
        Overflow: a line is too long.
        RecursionError: a value is nested too deeply.
    """
    for line in buffer.lines():
        try:
            value = json.loads(str(line, "utf-8"))  # given bytes, it would guess the encoding of each
        except ValueError as error:
            if isinstance(error, (json.JSONDecodeError, UnicodeDecodeError)):
                raise
            value = None  # an integer of thousands of digits: valid JSON, but Python refuses to convert it
        yield value


def json_objects(buffer: Buffer) -> Iterator[dict]:
    """Take the complete lines of a buffer, one JSON object each.

    Raises:
        ValueError: a line holds something else; see also `json_lines`.
    """
    for message in json_lines(buffer):
        if not isinstance(message, dict):
            raise ValueError("not an object")
        yield message
