"""The simulator's text wire: batches of events in, orders out.  It knows lines, not decisions."""

import base64
import binascii
from collections.abc import Iterator
from decimal import InvalidOperation
from typing import NamedTuple, TextIO

from flintreach.pilot.settings import nanoseconds

NANO = 1_000_000_000


class WireError(ValueError):
    """A line that this wire does not allow."""


class Message(NamedTuple):
    word: str
    values: list
    line: int  # its number in the input


class Batch(NamedTuple):
    now: int
    messages: list[Message]


def seconds(time: int) -> str:
    """The first whole microsecond that is not before `time`, as the wire writes it.

    >>> seconds(8_912_250_000), seconds(1), seconds(12 * NANO)
    ('8.912250', '0.000001', '12.000000')
    """
    micro = -(-time // 1000)
    return f"{micro // 1_000_000}.{micro % 1_000_000:06d}"


def whole(text: str) -> int:
    """
    >>> whole("17")
    17
    """
    if not text.isascii() or not text.isdigit():
        raise ValueError("not a whole number")
    return int(text)


def number(text: str) -> float:
    value = 0.0 if text == "-" else float(text)
    if value != value or value in (float("inf"), float("-inf")):
        raise ValueError("not a number")
    return value


def flag(text: str) -> bool:
    if text not in ("0", "1"):
        raise ValueError("neither 0 nor 1")
    return text == "1"


def row(text: str) -> list[float]:
    return [] if text in ("-", "") else [number(part) for part in text.split(",")]


def octets(text: str) -> bytes:
    return b"" if text == "-" else base64.b64decode(text, validate=True)


def pairs(text: str) -> dict[str, str]:
    """
    >>> pairs("me=0 weights=rough areas=a,b")
    {'me': '0', 'weights': 'rough', 'areas': 'a,b'}
    """
    found = {}
    for part in text.split(" "):
        path, equals, value = part.partition("=")
        if not equals:
            raise ValueError(f"not path=value: {part!r}")
        found[path] = value
    return found


EVENTS = {
    "NEW_INSTANCE": (str, whole, pairs),
    "CRASH_NOW": (str,),
    "CATALOG": (whole, whole),
    "ITEM": (str, whole, whole, whole, str, number, nanoseconds),
    "SYNC": (str, str, whole, str),
    "WAKEUP": (str, whole),
    "ECHO": (str, str, str, nanoseconds, row),
    "NEIGHBOUR_SAYS": (str, whole, octets),
    "JOINED": (str, whole, whole, number, flag),
    "DROPPED_OFF": (str, whole),
    "HEARD": (str, whole, str, whole, whole, nanoseconds, nanoseconds, row),
    "TRAFFIC": (str, whole, whole, whole, whole, nanoseconds),
    "ACTIVITY": (str, whole, nanoseconds, whole, whole, whole),
    "TENURE": (str, whole, flag),
    "HELD": (str, str, number, whole),
    "TOOK_EFFECT": (str, whole, whole, nanoseconds),
}


def parse(line: str, at: int) -> Message:
    """One event line.

    >>> parse("WAKEUP pilot/3 77", 1)
    Message(word='WAKEUP', values=['pilot/3', 77], line=1)
    >>> parse("WAKEUP pilot/3", 9)
    Traceback (most recent call last):
        ...
    flintreach.adapter.wire.WireError: line 9: WAKEUP wants 2 values, not 1: 'WAKEUP pilot/3'
    """
    word, _, rest = line.partition(" ")
    kinds = EVENTS.get(word)
    if kinds is None:
        raise WireError(f"line {at}: unknown event: {line[:200]!r}")
    parts = rest.split(" ", len(kinds) - 1 if kinds[-1] is pairs else -1)
    if len(parts) != len(kinds):
        raise WireError(f"line {at}: {word} wants {len(kinds)} values, not {len(parts)}: {line[:200]!r}")
    values = []
    for kind, part in zip(kinds, parts):
        try:
            values.append(kind(part))
        except (ValueError, InvalidOperation, binascii.Error) as error:
            what = str(error) if not isinstance(error, InvalidOperation) else "not a time"
            raise WireError(f"line {at}: {word}: {what}: {part[:80]!r}") from None
    return Message(word, values, at)


def batches(source: TextIO) -> Iterator[Batch]:
    """The batches of an input, to its end."""
    now, messages, wanted, catalog = None, [], 0, []
    for at, line in enumerate(source, 1):
        line = line.rstrip("\n")
        if now is None:
            word, _, rest = line.partition(" ")
            if word != "TICK":
                raise WireError(f"line {at}: a batch starts with TICK: {line[:200]!r}")
            try:
                now = nanoseconds(rest)
            except (ValueError, InvalidOperation):
                raise WireError(f"line {at}: TICK: not a time: {rest[:80]!r}") from None
            messages = []
        elif wanted:
            item = parse(line, at)
            if item.word != "ITEM":
                raise WireError(f"line {at}: {wanted} more ITEM lines wanted: {line[:200]!r}")
            catalog.append(item.values)
            wanted -= 1
        elif line == "EOF_BATCH":
            yield Batch(now, messages)
            now = None
        else:
            message = parse(line, at)
            if message.word == "ITEM":
                raise WireError(f"line {at}: ITEM outside a CATALOG: {line[:200]!r}")
            if message.word == "CATALOG":
                wanted = message.values[1]
                catalog = []
                message = Message("CATALOG", [message.values[0], catalog], at)
            messages.append(message)
    if now is not None:
        raise WireError("the input ends within a batch")


def real(value: float) -> str:
    """
    >>> real(0.75), real(1), real(1 / 3)
    ('0.75', '1', '0.333333')
    """
    return f"{value:.6f}".rstrip("0").rstrip(".")


def text(value: str) -> str:
    return " ".join(value.split())


def encoded(value: bytes) -> str:
    return base64.b64encode(value).decode() or "-"
