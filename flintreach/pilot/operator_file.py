"""The operator's configuration file, in HCL: blocks with typed fields, and one-line error messages.

A subsystem with settings has a module `block` in its package, with a frozen dataclass `Block`; in the file,
the block has the name of the package.  The functions here define the fields.  None of this is imported unless
a file is named.
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

VARIABLE = "FLINTREACH_OPERATOR"  # environment variable with the path of the file
DURATION_UNITS = {
    "ns": 1,
    "us": 1000,
    "ms": SECOND // 1000,
    "s": SECOND,
    "m": 60 * SECOND,
    "h": 3600 * SECOND,
}
SIZE_UNITS = {"": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
PARSER = "read"  # key of a field's metadata: function that returns its value or raises ValueError
EXPECTED = "expected"  # key of a field's metadata: description of permitted values
EXPECTED_DURATION = "a duration"  # beginning of that description for a duration

Parser = Callable[[object], Any]


class OperatorConfigError(ValueError):
    """An invalid file; the message names the block, the field and what was expected."""


def _block_field(default: Any, parser: Parser, expected: str) -> Any:
    """Define a field of a block.

    Args:
        default: value where the file has none; None: the field is required.
        parser: converts the value in the file, or raises ValueError.
        expected: description of permitted values.
    """
    metadata = {PARSER: parser, EXPECTED: expected}
    if isinstance(default, dict):
        return field(default_factory=default.copy, metadata=metadata)
    return field(default=default, metadata=metadata)


def _within(value: float, least: float, most: float) -> float:
    if not least <= value <= most:
        raise ValueError
    return value


def integer(default: int, least: int, most: int) -> Any:
    """Define a field for an integer."""

    def parse(value: object) -> int:
        if type(value) is not int:
            raise ValueError
        return _within(value, least, most)

    return _block_field(default, parse, f"an integer from {least} to {most}")


def number(default: float, least: float = 0.0, most: float = 1.0) -> Any:
    """Define a field for a number, such as a share."""

    def parse(value: object) -> float:
        if type(value) not in (int, float) or math.isnan(value):
            raise ValueError
        return float(_within(value, least, most))

    return _block_field(default, parse, f"a number from {least:g} to {most:g}")


def scaled(text: object, units: dict[str, int]) -> int:
    """Convert a number with a unit to an integer number of the smallest unit.

    Raises:
        ValueError: not a string, not a number, or an unknown unit.

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
    """Define a field for a duration such as "250ms"; its value is in whole nanoseconds."""
    low = scaled(least, DURATION_UNITS)
    high = scaled(most, DURATION_UNITS)

    def parse(value: object) -> int:
        return _within(scaled(value, DURATION_UNITS), low, high)

    expected = f'{EXPECTED_DURATION} such as "250ms", from {least} to {most}'
    return _block_field(scaled(default, DURATION_UNITS), parse, expected)


def size(default: str, least: str, most: str) -> Any:
    """Define a field for a size such as "4MiB"; its value is in bytes."""
    low = scaled(least, SIZE_UNITS)
    high = scaled(most, SIZE_UNITS)

    def parse(value: object) -> int:
        return _within(scaled(value, SIZE_UNITS), low, high)

    return _block_field(scaled(default, SIZE_UNITS), parse, f'a size such as "4MiB", from {least} to {most}')


def boolean(default: bool) -> Any:
    """Define a field for true or false."""

    def parse(value: object) -> bool:
        if type(value) is not bool:
            raise ValueError
        return value

    return _block_field(default, parse, "true or false")


def string(default: str | None, pattern: str = r".+", expected: str = "a string") -> Any:
    """Define a field for a string that fully matches a pattern; without a default it is required."""

    def parse(value: object) -> str:
        if type(value) is not str or not re.fullmatch(pattern, value):
            raise ValueError
        return value

    return _block_field(default, parse, expected)


def string_map(default: dict[str, str]) -> Any:
    """Define a field for a map of strings, such as { "host-1" = "s1" }."""

    def parse(value: object) -> dict[str, str]:
        if not isinstance(value, dict):
            raise ValueError
        for name, entry in value.items():
            if type(name) is not str or type(entry) is not str or not entry:
                raise ValueError
        return {name.strip('"'): entry for name, entry in value.items()}

    return _block_field(default, parse, 'a map of strings, { name = "value" }')


def address(default: str = "") -> Any:
    """Define a field for a numeric address with a port; host names are not resolved."""

    def parse(value: object) -> str:
        if type(value) is not str:
            raise ValueError
        host, _, port = value.rpartition(":")
        ipaddress.ip_address(host.strip("[]"))
        _within(int(port), 0, 65535)
        return value

    return _block_field(default, parse, 'a numeric address, such as "127.0.0.1:2003"')


def one_of(default: str, *choices: str) -> Any:
    """Define a field for one of several strings."""
    return string(default, "|".join(map(re.escape, choices)), "one of " + ", ".join(choices))


def known_blocks() -> dict[str, type]:
    """Find the block classes of all packages, by name."""
    import flintreach

    blocks = {}
    for module in pkgutil.iter_modules(flintreach.__path__):
        name = f"flintreach.{module.name}"
        if module.ispkg and importlib.util.find_spec(f"{name}.block"):
            blocks[module.name] = importlib.import_module(f"{name}.block").Block
    return blocks


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """The parsed file: blocks by name.  Where a block is absent, its subsystem is off."""

    path: str
    blocks: dict[str, Any]

    def block(self, name: str) -> Any:
        """Get the block of a package, or None if the file has none."""
        return self.blocks.get(name)


def load(path: str | None = None, variables: dict[str, str] | None = None) -> OperatorConfig | None:
    """Load and validate the file.

    Args:
        path: of the file; by default the variable `FLINTREACH_OPERATOR` holds it.
        variables: of the environment; by default those of the process.

    Returns:
        The parsed file, or None if no file is named.

    Raises:
        OperatorConfigError: the file can't be read or is invalid.
    """
    path = path or (os.environ if variables is None else variables).get(VARIABLE)
    if not path:
        return None
    rows = _parse(path)
    block_types = known_blocks()
    blocks = {}
    for name, given in rows.items():
        if name not in block_types:
            raise OperatorConfigError(
                f"{path}: {name}: no such block; expected one of {', '.join(sorted(block_types))}"
            )
        if not isinstance(given, list) or not all(isinstance(block, dict) for block in given):
            raise OperatorConfigError(f"{path}: {name}: expected a block, {name} {{ ... }}")
        if len(given) > 1:
            raise OperatorConfigError(f"{path}: {name}: block given {len(given)} times; expected once")
        blocks[name] = _build_block(path, name, block_types[name], given[0])
    return OperatorConfig(path, blocks)


def _parse(path: str) -> dict[str, Any]:
    """Parse a file into lists of blocks, by name."""
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
        raise OperatorConfigError(f"{path}: not valid UTF-8") from None
    options = hcl2.SerializationOptions(with_comments=False, strip_string_quotes=True, explicit_blocks=False)
    try:
        return hcl2.loads(content, serialization_options=options)
    except Exception as error:  # the parser raises many types of its own
        where = f"line {error.line}" if getattr(error, "line", -1) > 0 else "end of file"
        raise OperatorConfigError(f"{path}: invalid HCL at {where}") from None


def _build_block(path: str, name: str, block_type: type, rows: dict[str, Any]) -> Any:
    """Create one block from its fields, each converted by its own parser."""
    block_fields = {entry.name: entry for entry in fields(block_type)}
    values = {key: _parse_field(f"{path}: {name}", key, value, block_fields) for key, value in rows.items()}
    for key, entry in block_fields.items():
        if key not in values and entry.default is None and entry.default_factory is MISSING:
            raise OperatorConfigError(f"{path}: {name}: {key}: missing; expected {entry.metadata[EXPECTED]}")
    try:
        return block_type(**values)
    except ValueError as error:  # inconsistent fields
        raise OperatorConfigError(f"{path}: {name}: {error}") from None


def _parse_field(where: str, key: str, value: object, block_fields: dict[str, Field]) -> Any:
    if key not in block_fields:
        raise OperatorConfigError(f"{where}: {key}: unknown field; expected one of {', '.join(block_fields)}")
    metadata = block_fields[key].metadata
    try:
        return metadata[PARSER](value)
    except (ValueError, OverflowError):
        expected = metadata[EXPECTED]
        raise OperatorConfigError(f"{where}: {key}: expected {expected}, not {value!r:.60}") from None


def describe(operator: OperatorConfig) -> list[str]:
    """Describe the contents of the file, one line per block."""
    lines = []
    for name, block in operator.blocks.items():
        values = (f"{entry.name} {_value_text(getattr(block, entry.name), entry)}" for entry in fields(block))
        lines.append(f"{name}: {', '.join(values)}")
    return lines or ["no blocks: all optional subsystems are off"]


def _value_text(value: Any, entry: Field) -> str:
    if entry.metadata[EXPECTED].startswith(EXPECTED_DURATION):
        return f"{value / SECOND:g}s"
    if isinstance(value, bool):
        return "on" if value else "off"
    return str(value)
