"""Codec of the simulator's text protocol: batches of events in, orders out."""

import base64
import binascii
from collections.abc import Iterator
from decimal import InvalidOperation
from typing import NamedTuple, TextIO

from flintreach.pilot.settings import nanoseconds

NANO = 1_000_000_000


class WireError(ValueError):
    """A line that the protocol does not allow."""


class Message(NamedTuple):
    """One event line, parsed; `line` is its number in the input."""

    word: str
    values: list
    line: int


class Batch(NamedTuple):
    """The events of one instant, given in nanoseconds."""

    now: int
    messages: list[Message]


def format_seconds(time: int) -> str:
    """Format a time in nanoseconds as seconds, rounded up to a whole microsecond.

    >>> format_seconds(8_912_250_000), format_seconds(1), format_seconds(12 * NANO)
    ('8.912250', '0.000001', '12.000000')
    """
    micro = -(-time // 1000)
    return f"{micro // 1_000_000}.{micro % 1_000_000:06d}"


def parse_int(text: str) -> int:
    """Parse a nonnegative integer.

    >>> parse_int("17")
    17

    Raises:
        ValueError: it is none.
    """
    if not text.isascii() or not text.isdigit():
        raise ValueError("not an integer")
    return int(text)


def parse_number(text: str) -> float:
    """Parse a finite number; "-" is 0.

    Raises:
        ValueError: it is none.
    """
    value = 0.0 if text == "-" else float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError("not a number")
    return value


def parse_flag(text: str) -> bool:
    """Parse "0" or "1".

    Raises:
        ValueError: it is neither.
    """
    if text not in ("0", "1"):
        raise ValueError("neither 0 nor 1")
    return text == "1"


def parse_numbers(text: str) -> list[float]:
    """Parse numbers with commas between them; "-" is none.

    Raises:
        ValueError: one is malformed.
    """
    return [] if text in ("-", "") else [parse_number(part) for part in text.split(",")]


def parse_bytes(text: str) -> bytes:
    """Parse Base64; "-" is empty.

    Raises:
        binascii.Error: it is malformed.
    """
    return b"" if text == "-" else base64.b64decode(text, validate=True)


def parse_settings(text: str) -> dict[str, str]:
    """Parse settings, `path=value` with blanks between them.

    >>> parse_settings("me=0 weights=rough areas=a,b")
    {'me': '0', 'weights': 'rough', 'areas': 'a,b'}

    Raises:
        ValueError: one has no value.
    """
    found = {}
    for part in text.split(" "):
        path, equals, value = part.partition("=")
        if not equals:
            raise ValueError(f"not path=value: {part!r}")
        found[path] = value
    return found


# Parsers of the values of each event, by its word.
EVENTS = {
    "NEW_INSTANCE": (str, parse_int, parse_settings),
    "CRASH_NOW": (str,),
    "CATALOG": (parse_int, parse_int),
    "ITEM": (str, parse_int, parse_int, parse_int, str, parse_number, nanoseconds),
    "SYNC": (str, str, parse_int, str),
    "WAKEUP": (str, parse_int),
    "ECHO": (str, str, str, nanoseconds, parse_numbers),
    "NEIGHBOUR_SAYS": (str, parse_int, parse_bytes),
    "JOINED": (str, parse_int, parse_int, parse_number, parse_flag),
    "DROPPED_OFF": (str, parse_int),
    "HEARD": (str, parse_int, str, parse_int, parse_int, nanoseconds, nanoseconds, parse_numbers),
    "TRAFFIC": (str, parse_int, parse_int, parse_int, parse_int, nanoseconds),
    "ACTIVITY": (str, parse_int, nanoseconds, parse_int, parse_int, parse_int),
    "TENURE": (str, parse_int, parse_flag),
    "HELD": (str, str, parse_number, parse_int),
    "TOOK_EFFECT": (str, parse_int, parse_int, nanoseconds),
}


def parse(line: str, at: int) -> Message:
    """Parse one event line.

    >>> parse("WAKEUP pilot/3 77", 1)
    Message(word='WAKEUP', values=['pilot/3', 77], line=1)
    >>> parse("WAKEUP pilot/3", 9)
    Traceback (most recent call last):
        ...
    flintreach.adapter.wire.WireError: line 9: WAKEUP: expected 2 values, got 1: 'WAKEUP pilot/3'

    Args:
        line: without its line end.
        at: its number in the input.

    Raises:
        WireError: the event is unknown, or a value is malformed.
    """
    word, _, rest = line.partition(" ")
    parsers = EVENTS.get(word)
    if parsers is None:
        raise WireError(f"line {at}: unknown event: {line[:200]!r}")
    parts = rest.split(" ", len(parsers) - 1 if parsers[-1] is parse_settings else -1)
    if len(parts) != len(parsers):
        raise WireError(
            f"line {at}: {word}: expected {len(parsers)} values, got {len(parts)}: {line[:200]!r}"
        )
    values = []
    for parser, part in zip(parsers, parts):
        try:
            values.append(parser(part))
        except (ValueError, InvalidOperation, binascii.Error) as error:
            reason = str(error) if not isinstance(error, InvalidOperation) else "not a time"
            raise WireError(f"line {at}: {word}: {reason}: {part[:80]!r}") from None
    return Message(word, values, at)


def batches(source: TextIO) -> Iterator[Batch]:
    """Read the batches of an input, to its end.

    Raises:
        WireError: a line is malformed or out of place, or the input ends within a batch.
    """
    now, messages, missing, catalog = None, [], 0, []
    for at, raw_line in enumerate(source, 1):
        line = raw_line.rstrip("\n")
        if now is None:
            word, _, rest = line.partition(" ")
            if word != "TICK":
                raise WireError(f"line {at}: expected TICK at the start of a batch: {line[:200]!r}")
            try:
                now = nanoseconds(rest)
            except (ValueError, InvalidOperation):
                raise WireError(f"line {at}: TICK: not a time: {rest[:80]!r}") from None
            messages = []
        elif missing:
            item = parse(line, at)
            if item.word != "ITEM":
                raise WireError(f"line {at}: expected {missing} more ITEM lines: {line[:200]!r}")
            catalog.append(item.values)
            missing -= 1
        elif line == "EOF_BATCH":
            yield Batch(now, messages)
            now = None
        else:
            message = parse(line, at)
            if message.word == "ITEM":
                raise WireError(f"line {at}: ITEM outside a CATALOG: {line[:200]!r}")
            if message.word == "CATALOG":
                missing = message.values[1]
                catalog = []
                message = Message("CATALOG", [message.values[0], catalog], at)
            messages.append(message)
    if now is not None:
        raise WireError("input ends within a batch")


def format_number(value: float) -> str:
    """Format a number with six decimals at most.

    >>> format_number(0.75), format_number(1), format_number(1 / 3)
    ('0.75', '1', '0.333333')
    """
    return f"{value:.6f}".rstrip("0").rstrip(".")


def format_text(value: str) -> str:
    """Put a text on one line, with single blanks."""
    return " ".join(value.split())


def format_bytes(value: bytes) -> str:
    """Format bytes as Base64; none as "-"."""
    return base64.b64encode(value).decode() or "-"
