"""What comes from outside is read with suspicion: its lines, its figures, and the errors that they raise."""

import json
from collections.abc import Iterator

from flintreach.net.buffer import Buffer

UNREADABLE = (ValueError, LookupError, TypeError, AttributeError, ArithmeticError, RecursionError)


def figure(value: object, most: float = float("inf")) -> float:
    """A number from JSON that is finite, not negative and not absurd.

    >>> figure(2.5)
    2.5
    >>> figure(-1)
    Traceback (most recent call last):
        ...
    ValueError: not a figure: -1
    """
    if type(value) not in (int, float) or not 0 <= value < most:
        raise ValueError(f"not a figure: {value!r:.40}")
    return value


def objects(buffer: Buffer) -> Iterator[dict]:
    """The JSON objects that have come whole, one a line."""
    for line in buffer.lines():
        message = json.loads(line)
        if not isinstance(message, dict):
            raise ValueError("not an object")
        yield message
