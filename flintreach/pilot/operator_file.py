"""The operator's own file, in HCL: blocks with typed fields, one error line for what can't be used.

A subsystem that has settings keeps a module `block` in its package, with a frozen dataclass `Block`: its name
in the file is the package's.  Nothing of this is loaded unless a file is named.
"""

import importlib
import importlib.util
import ipaddress
import math
import os
import pkgutil
import re
from collections.abc import Callable
from dataclasses import MISSING, dataclass, field, fields
from typing import Any

from flintreach.pilot.interface import SECOND

VARIABLE = "FLINTREACH_OPERATOR"
UNITS = {"ns": 1, "us": 1000, "ms": SECOND // 1000, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}
SIZES = {"": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}


class OperatorError(ValueError):
    """A file that nobody can start with; its text names the block, the field and what was expected."""


def told(default: Any, read: Callable[[object], Any], expected: str):
    """A field of a block: `read` gives its value or raises ValueError, `expected` says what it takes."""
    made = {"default_factory": default.copy} if isinstance(default, dict) else {"default": default}
    return field(**made, metadata={"read": read, "expected": expected})


def within(value: float, least: float, most: float) -> float:
    if not least <= value <= most:
        raise ValueError
    return value


def count(default: int, least: int, most: int):
    def read(value: object) -> int:
        if type(value) is not int:
            raise ValueError
        return within(value, least, most)

    return told(default, read, f"a whole number from {least} to {most}")


def share(default: float, least: float = 0.0, most: float = 1.0):
    def read(value: object) -> float:
        if type(value) not in (int, float) or math.isnan(value):
            raise ValueError
        return float(within(value, least, most))

    return told(default, read, f"a number from {least:g} to {most:g}")


def scaled(text: object, units: dict[str, int]) -> int:
    """A figure with its unit, whole in the smallest.

    >>> scaled("250ms", UNITS), scaled("1.5s", UNITS), scaled("4 KiB", SIZES)
    (250000000, 1500000000, 4096)
    >>> scaled("250", UNITS)
    Traceback (most recent call last):
        ...
    ValueError
    """
    found = re.fullmatch(r"(\d{1,12}(?:\.\d{1,9})?) ?([A-Za-z]*)", text) if isinstance(text, str) else None
    if not found or found[2] not in units:
        raise ValueError
    return int(float(found[1]) * units[found[2]])


def duration(default: str, least: str, most: str):
    """A time such as "250ms"; its value is in whole nanoseconds."""
    low, high = scaled(least, UNITS), scaled(most, UNITS)
    return told(
        scaled(default, UNITS),
        lambda text: within(scaled(text, UNITS), low, high),
        f'a time such as "250ms", from {least} to {most}',
    )


def size(default: str, least: str, most: str):
    """A size such as "4MiB"; its value is in bytes."""
    low, high = scaled(least, SIZES), scaled(most, SIZES)
    return told(
        scaled(default, SIZES),
        lambda text: within(scaled(text, SIZES), low, high),
        f'a size such as "4MiB", from {least} to {most}',
    )


def switch(default: bool):
    def read(value: object) -> bool:
        if type(value) is not bool:
            raise ValueError
        return value

    return told(default, read, "true or false")


def text(default: str | None, pattern: str = r".+", expected: str = "a text"):
    def read(value: object) -> str:
        if type(value) is not str or not re.fullmatch(pattern, value):
            raise ValueError
        return value

    return told(default, read, expected)


def table(default: dict):
    """Texts by names, such as { "host-1" = "s1" }."""

    def read(value: object) -> dict[str, str]:
        if not isinstance(value, dict) or not all(
            type(name) is str and type(entry) is str and entry for name, entry in value.items()
        ):
            raise ValueError
        return {name.strip('"'): entry for name, entry in value.items()}

    return told(default, read, 'texts by names, { name = "text" }')


def place(default: str = ""):
    """An address by number and port: names are not looked up."""

    def read(value: object) -> str:
        if type(value) is not str:
            raise ValueError
        host, _, port = value.rpartition(":")
        ipaddress.ip_address(host.strip("[]"))
        within(int(port), 0, 65535)
        return value

    return told(default, read, 'an address by number, such as "127.0.0.1:2003"')


def one_of(default: str, *words: str):
    return text(default, "|".join(map(re.escape, words)), "one of " + ", ".join(words))


def known() -> dict[str, type]:
    """The blocks that the packages bring, by their names."""
    import flintreach

    found = {}
    for module in pkgutil.iter_modules(flintreach.__path__):
        name = f"flintreach.{module.name}"
        if module.ispkg and importlib.util.find_spec(f"{name}.block"):
            found[module.name] = importlib.import_module(f"{name}.block").Block
    return found


@dataclass(frozen=True, slots=True)
class Operator:
    """What the file holds: block by name; a block that it does not name is absent, and its part is off."""

    path: str
    blocks: dict[str, Any]

    def block(self, name: str):
        return self.blocks.get(name)


def fill(path: str, name: str, kind: type, rows: dict) -> Any:
    """One block; each of its fields is read by its own rule."""
    wanted, values = {entry.name: entry for entry in fields(kind)}, {}
    for key, value in rows.items():
        if key not in wanted:
            raise OperatorError(f"{path}: {name}: {key}: not known; expected one of {', '.join(wanted)}")
        try:
            values[key] = wanted[key].metadata["read"](value)
        except (ValueError, OverflowError):
            expected = wanted[key].metadata["expected"]
            raise OperatorError(f"{path}: {name}: {key}: expected {expected}, not {value!r:.60}") from None
    for key, entry in wanted.items():
        if key not in values and entry.default is None and entry.default_factory is MISSING:
            raise OperatorError(f"{path}: {name}: {key}: missing; expected {entry.metadata['expected']}")
    try:
        return kind(**values)
    except ValueError as error:  # fields that do not go together
        raise OperatorError(f"{path}: {name}: {error}") from None


def load(path: str | None = None, variables: dict[str, str] | None = None) -> Operator | None:
    """The file that is named, or none where none is.  Raises OperatorError."""
    path = path or (os.environ if variables is None else variables).get(VARIABLE)
    if not path:
        return None
    try:
        import hcl2
    except ImportError:
        raise OperatorError(f"{path}: python-hcl2 is not installed; see extras/operator.txt") from None
    try:
        with open(path, encoding="utf-8") as file:
            content = file.read()
    except OSError as error:
        raise OperatorError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise OperatorError(f"{path}: not a text in UTF-8") from None
    options = hcl2.SerializationOptions(with_comments=False, strip_string_quotes=True, explicit_blocks=False)
    try:
        rows = hcl2.loads(content, serialization_options=options)
    except Exception as error:  # the parser has a dozen kinds of its own
        where = f"line {error.line}" if getattr(error, "line", -1) > 0 else "its end"
        raise OperatorError(f"{path}: no HCL at {where}") from None
    kinds, blocks = known(), {}
    for name, given in rows.items():
        if name not in kinds:
            raise OperatorError(f"{path}: {name}: no such block; expected one of {', '.join(sorted(kinds))}")
        if not isinstance(given, list) or not all(isinstance(block, dict) for block in given):
            raise OperatorError(f"{path}: {name}: expected a block, {name} {{ ... }}")
        if len(given) > 1:
            raise OperatorError(f"{path}: {name}: stands {len(given)} times; expected once")
        blocks[name] = fill(path, name, kinds[name], given[0])
    return Operator(path, blocks)


def says(operator: Operator) -> list[str]:
    """What the file holds, a line a block."""
    lines = []
    for name, block in operator.blocks.items():
        rows = (f"{entry.name} {spoken(getattr(block, entry.name), entry)}" for entry in fields(block))
        lines.append(f"{name}: {', '.join(rows)}")
    return lines or ["no blocks: every part is off"]


def spoken(value: object, entry) -> str:
    expected = entry.metadata["expected"]
    if expected.startswith("a time"):
        return f"{value / SECOND:g}s"
    if isinstance(value, bool):
        return "on" if value else "off"
    return str(value)
