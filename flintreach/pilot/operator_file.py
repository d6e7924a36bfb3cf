"""The operator's own file, in HCL: blocks with typed fields, one error line for what can't be used.

A subsystem that has settings keeps a module `block` in its package, with a frozen dataclass `Block`; its name
in the file is the package's.  The functions here make its fields.  Nothing of this is loaded unless a file is
named.
"""

import importlib
import importlib.util
import ipaddress
import math
import os
import pkgutil
import re
from collections.abc import Callable
from dataclasses import MISSING, Field, dataclass, field, fields
from typing import Any

from flintreach.pilot.interface import SECOND

VARIABLE = "FLINTREACH_OPERATOR"  # of the environment: the file's path
DURATION_UNITS = {
    "ns": 1,
    "us": 1000,
    "ms": SECOND // 1000,
    "s": SECOND,
    "m": 60 * SECOND,
    "h": 3600 * SECOND,
}
SIZE_UNITS = {"": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
READER = "read"  # metadata of a field: what gives its value, or raises ValueError
EXPECTED = "expected"  # metadata of a field: what it takes, in words
EXPECTED_DURATION = "a time"  # how those words begin for a time

Reader = Callable[[object], Any]


class OperatorConfigError(ValueError):
    """A file that nobody can start with; its text names the block, the field and what was expected."""


def _block_field(default: Any, reader: Reader, expected: str) -> Any:
    """Make a field of a block.

    Args:
        default: its value where the file names none; None: the file must name one.
        reader: gives its value from the file's, or raises ValueError.
        expected: what it takes, in words.
    """
    metadata = {READER: reader, EXPECTED: expected}
    if isinstance(default, dict):
        return field(default_factory=default.copy, metadata=metadata)
    return field(default=default, metadata=metadata)


def _within(value: float, least: float, most: float) -> float:
    if not least <= value <= most:
        raise ValueError
    return value


def integer(default: int, least: int, most: int) -> Any:
    """Make a field for a whole number."""

    def read(value: object) -> int:
        if type(value) is not int:
            raise ValueError
        return _within(value, least, most)

    return _block_field(default, read, f"a whole number from {least} to {most}")


def number(default: float, least: float = 0.0, most: float = 1.0) -> Any:
    """Make a field for a number, such as a part of 1."""

    def read(value: object) -> float:
        if type(value) not in (int, float) or math.isnan(value):
            raise ValueError
        return float(_within(value, least, most))

    return _block_field(default, read, f"a number from {least:g} to {most:g}")


def scaled(text: object, units: dict[str, int]) -> int:
    """Read a figure with its unit, as a whole number of the smallest unit.

    Raises:
        ValueError: it is no text, no figure, or of another unit.

    >>> scaled("250ms", DURATION_UNITS), scaled("1.5s", DURATION_UNITS), scaled("4 KiB", SIZE_UNITS)
    (250000000, 1500000000, 4096)
    >>> scaled("250", DURATION_UNITS)
    Traceback (most recent call last):
        ...
    ValueError
    """
    if not isinstance(text, str):
        raise ValueError
    match = re.fullmatch(r"(\d{1,12}(?:\.\d{1,9})?) ?([A-Za-z]*)", text)
    if not match or match[2] not in units:
        raise ValueError
    return int(float(match[1]) * units[match[2]])


def duration(default: str, least: str, most: str) -> Any:
    """Make a field for a time such as "250ms"; its value is in whole nanoseconds."""
    low = scaled(least, DURATION_UNITS)
    high = scaled(most, DURATION_UNITS)

    def read(value: object) -> int:
        return _within(scaled(value, DURATION_UNITS), low, high)

    expected = f'{EXPECTED_DURATION} such as "250ms", from {least} to {most}'
    return _block_field(scaled(default, DURATION_UNITS), read, expected)


def size(default: str, least: str, most: str) -> Any:
    """Make a field for a size such as "4MiB"; its value is in bytes."""
    low = scaled(least, SIZE_UNITS)
    high = scaled(most, SIZE_UNITS)

    def read(value: object) -> int:
        return _within(scaled(value, SIZE_UNITS), low, high)

    return _block_field(scaled(default, SIZE_UNITS), read, f'a size such as "4MiB", from {least} to {most}')


def boolean(default: bool) -> Any:
    """Make a field for true or false."""

    def read(value: object) -> bool:
        if type(value) is not bool:
            raise ValueError
        return value

    return _block_field(default, read, "true or false")


def string(default: str | None, pattern: str = r".+", expected: str = "a text") -> Any:
    """Make a field for a text that matches a pattern as a whole; without a default it must be named."""

    def read(value: object) -> str:
        if type(value) is not str or not re.fullmatch(pattern, value):
            raise ValueError
        return value

    return _block_field(default, read, expected)


def string_map(default: dict[str, str]) -> Any:
    """Make a field for texts by names, such as { "host-1" = "s1" }."""

    def read(value: object) -> dict[str, str]:
        if not isinstance(value, dict):
            raise ValueError
        for name, entry in value.items():
            if type(name) is not str or type(entry) is not str or not entry:
                raise ValueError
        return {name.strip('"'): entry for name, entry in value.items()}

    return _block_field(default, read, 'texts by names, { name = "text" }')


def address(default: str = "") -> Any:
    """Make a field for an address by number and port: names are not looked up."""

    def read(value: object) -> str:
        if type(value) is not str:
            raise ValueError
        host, _, port = value.rpartition(":")
        ipaddress.ip_address(host.strip("[]"))
        _within(int(port), 0, 65535)
        return value

    return _block_field(default, read, 'an address by number, such as "127.0.0.1:2003"')


def one_of(default: str, *choices: str) -> Any:
    """Make a field for one of some texts."""
    return string(default, "|".join(map(re.escape, choices)), "one of " + ", ".join(choices))


def known_blocks() -> dict[str, type]:
    """Find the blocks that the packages bring, by their names."""
    import flintreach

    blocks = {}
    for module in pkgutil.iter_modules(flintreach.__path__):
        name = f"flintreach.{module.name}"
        if module.ispkg and importlib.util.find_spec(f"{name}.block"):
            blocks[module.name] = importlib.import_module(f"{name}.block").Block
    return blocks


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """What the file holds: block by name; a block that it does not name is absent, and its part is off."""

    path: str
    blocks: dict[str, Any]

    def block(self, name: str) -> Any:
        """Give the block of a package, or None where the file names none."""
        return self.blocks.get(name)


def load(path: str | None = None, variables: dict[str, str] | None = None) -> OperatorConfig | None:
    """Read the file that is named.

    Args:
        path: of the file; else the variable `FLINTREACH_OPERATOR` names it.
        variables: of the environment, where they are not the process's own.

    Returns:
        What the file holds; None where no file is named.

    Raises:
        OperatorConfigError: the file can't be read, or holds what can't be used.
    """
    path = path or (os.environ if variables is None else variables).get(VARIABLE)
    if not path:
        return None
    rows = _parse(path)
    kinds = known_blocks()
    blocks = {}
    for name, given in rows.items():
        if name not in kinds:
            raise OperatorConfigError(
                f"{path}: {name}: no such block; expected one of {', '.join(sorted(kinds))}"
            )
        if not isinstance(given, list) or not all(isinstance(block, dict) for block in given):
            raise OperatorConfigError(f"{path}: {name}: expected a block, {name} {{ ... }}")
        if len(given) > 1:
            raise OperatorConfigError(f"{path}: {name}: stands {len(given)} times; expected once")
        blocks[name] = _fill(path, name, kinds[name], given[0])
    return OperatorConfig(path, blocks)


def _parse(path: str) -> dict[str, Any]:
    """Read a file's blocks as the parser gives them: a list by name."""
    try:
        import hcl2
    except ImportError:
        raise OperatorConfigError(f"{path}: python-hcl2 is not installed; see extras/operator.txt") from None
    try:
        with open(path, encoding="utf-8") as file:
            content = file.read()
    except OSError as error:
        raise OperatorConfigError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise OperatorConfigError(f"{path}: not a text in UTF-8") from None
    options = hcl2.SerializationOptions(with_comments=False, strip_string_quotes=True, explicit_blocks=False)
    try:
        return hcl2.loads(content, serialization_options=options)
    except Exception as error:  # the parser has a dozen kinds of its own
        where = f"line {error.line}" if getattr(error, "line", -1) > 0 else "its end"
        raise OperatorConfigError(f"{path}: no HCL at {where}") from None


def _fill(path: str, name: str, kind: type, rows: dict[str, Any]) -> Any:
    """Make one block; each of its fields is read by its own rule."""
    block_fields = {entry.name: entry for entry in fields(kind)}
    values = {key: _read_field(f"{path}: {name}", key, value, block_fields) for key, value in rows.items()}
    for key, entry in block_fields.items():
        if key not in values and entry.default is None and entry.default_factory is MISSING:
            raise OperatorConfigError(f"{path}: {name}: {key}: missing; expected {entry.metadata[EXPECTED]}")
    try:
        return kind(**values)
    except ValueError as error:  # fields that do not go together
        raise OperatorConfigError(f"{path}: {name}: {error}") from None


def _read_field(where: str, key: str, value: object, block_fields: dict[str, Field]) -> Any:
    if key not in block_fields:
        raise OperatorConfigError(f"{where}: {key}: not known; expected one of {', '.join(block_fields)}")
    metadata = block_fields[key].metadata
    try:
        return metadata[READER](value)
    except (ValueError, OverflowError):
        expected = metadata[EXPECTED]
        raise OperatorConfigError(f"{where}: {key}: expected {expected}, not {value!r:.60}") from None


def describe(operator: OperatorConfig) -> list[str]:
    """Tell what the file holds, a line a block."""
    lines = []
    for name, block in operator.blocks.items():
        values = (f"{entry.name} {_value_text(getattr(block, entry.name), entry)}" for entry in fields(block))
        lines.append(f"{name}: {', '.join(values)}")
    return lines or ["no blocks: every part is off"]


def _value_text(value: Any, entry: Field) -> str:
    if entry.metadata[EXPECTED].startswith(EXPECTED_DURATION):
        return f"{value / SECOND:g}s"
    if isinstance(value, bool):
        return "on" if value else "off"
    return str(value)
