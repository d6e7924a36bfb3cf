"""collectd's binary network protocol: one datagram, its parts, its signature or its encryption.  Pure.

Source: collectd's published description of the binary protocol.  A part is a type, a length over all of it,
and its content; what a part says holds until another of its type.  Times are whole nanoseconds.
"""

import hashlib
import hmac
import math
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from flintreach.pilot.interface import SECOND

HOST, TIME, PLUGIN, PLUGIN_INSTANCE, TYPE, TYPE_INSTANCE, VALUES, INTERVAL = range(8)
TIME_HR, INTERVAL_HR = 0x0008, 0x0009
MESSAGE, SEVERITY, SIGNED, ENCRYPTED = 0x0100, 0x0101, 0x0200, 0x0210
NAMES = {
    HOST: "host",
    PLUGIN: "plugin",
    PLUGIN_INSTANCE: "plugin_instance",
    TYPE: "type",
    TYPE_INSTANCE: "type_instance",
}
COUNTER, GAUGE, DERIVE, ABSOLUTE = range(4)
VALUE_FORMATS = {
    COUNTER: struct.Struct(">Q"),
    GAUGE: struct.Struct("<d"),
    DERIVE: struct.Struct(">q"),
    ABSOLUTE: struct.Struct(">Q"),
}
PART_HEADER, WORD, LONG = struct.Struct(">HH"), struct.Struct(">H"), struct.Struct(">Q")
MAC, IV_SIZE, SUM = 32, 16, 20  # bytes
NAME = 128  # bytes of a name, at the most
LONGEST = 24 * 3600 * SECOND  # an interval beyond this is none


class Bad(ValueError):
    """A datagram that can't be read, or that nobody vouches for; its text is what is counted."""


@dataclass(slots=True)
class ValueList:
    """One value list: one figure or more of one series, at one time."""

    host: str
    plugin: str
    plugin_instance: str
    type: str
    type_instance: str
    time: int  # nanoseconds since 1970, by the sender's clock
    interval: int
    kinds: tuple[int, ...]
    figures: tuple[float, ...]  # gauges may be NaN: no figure was had


def parts(data: bytes) -> Iterator[tuple[int, bytes, int]]:
    """Type, content, and where the part ends."""
    at = 0
    while at < len(data):
        if len(data) - at < PART_HEADER.size:
            raise Bad("truncated")
        kind, length = PART_HEADER.unpack_from(data, at)
        if length < PART_HEADER.size or at + length > len(data):
            raise Bad("truncated")
        at += length
        yield kind, data[at - length + PART_HEADER.size : at], at


def authenticate(data: bytes, keys: dict[str, str], open_to_all: bool) -> tuple[bytes, str | None]:
    """The datagram's open content and the user who vouches for it.  Raises Bad."""
    if not data:
        raise Bad("empty")
    kind, content, end = next(parts(data))
    if kind == SIGNED:
        if len(content) <= MAC:
            raise Bad("truncated")
        user = text(content[MAC:], terminated=False)
        if user not in keys:
            raise Bad("unknown user")
        mac = hmac.new(keys[user].encode(), content[MAC:] + data[end:], hashlib.sha256).digest()
        if not hmac.compare_digest(mac, content[:MAC]):
            raise Bad("signature does not match")
        return data[end:], user
    if kind == ENCRYPTED:
        return decrypted(content, keys)
    if not open_to_all:
        raise Bad("unsigned")
    return data, None


def decrypted(content: bytes, keys: dict[str, str]) -> tuple[bytes, str]:
    if len(content) < WORD.size:
        raise Bad("truncated")
    (length,) = WORD.unpack_from(content)
    at = WORD.size + length
    if len(content) < at + IV_SIZE + SUM:
        raise Bad("truncated")
    user = text(content[WORD.size : at], terminated=False)
    if user not in keys:
        raise Bad("unknown user")
    plain = cipher(keys[user], content[at : at + IV_SIZE]).decryptor().update(content[at + IV_SIZE :])
    if hashlib.sha1(plain[SUM:]).digest() != plain[:SUM]:
        raise Bad("does not decrypt")
    return plain[SUM:], user


def cipher(key: str, iv: bytes):
    """AES-256 in output feedback mode, by the hash of the user's key."""
    from cryptography.hazmat.decrepit.ciphers.modes import OFB
    from cryptography.hazmat.primitives.ciphers import Cipher, algorithms

    return Cipher(algorithms.AES(hashlib.sha256(key.encode()).digest()), OFB(iv))


def text(content: bytes, terminated: bool = True) -> str:
    if terminated:
        if not content.endswith(b"\0"):
            raise Bad("a name is no text")
        content = content[:-1]
    if len(content) > NAME:
        raise Bad("a name is too long")
    try:
        return content.decode()
    except UnicodeDecodeError:
        raise Bad("a name is no text") from None


def number(content: bytes) -> int:
    if len(content) != LONG.size:
        raise Bad("a number is cut off")
    return LONG.unpack(content)[0]


def figures(content: bytes) -> tuple[tuple[int, ...], tuple[float, ...]]:
    if len(content) < WORD.size:
        raise Bad("truncated")
    (count,) = WORD.unpack_from(content)
    if not count or len(content) != WORD.size + 9 * count:
        raise Bad("values and their number differ")
    kinds = tuple(content[WORD.size : WORD.size + count])
    if any(kind not in VALUE_FORMATS for kind in kinds):
        raise Bad("a value of no known type")
    rows = enumerate(kinds, 1)
    return kinds, tuple(
        VALUE_FORMATS[kind].unpack_from(content, count + 8 * row - 6)[0] for row, kind in rows
    )


def parse_values(data: bytes) -> Iterator[ValueList]:
    """The value lists of an open datagram, in their order.  Raises Bad where it can't be read on: what came
    before stands.  Signed or encrypted parts within are passed over, as are kinds of later versions."""
    names = dict.fromkeys(NAMES.values(), "")
    time = interval = 0
    for kind, content, _ in parts(data):
        if kind in NAMES:
            names[NAMES[kind]] = text(content)
        elif kind == TIME:
            time = number(content) * SECOND
        elif kind == TIME_HR:
            time = number(content) * SECOND >> 30
        elif kind == INTERVAL:
            interval = number(content) * SECOND
        elif kind == INTERVAL_HR:
            interval = number(content) * SECOND >> 30
        elif kind == VALUES:
            kinds, found = figures(content)
            if not names["host"] or not time:
                raise Bad("values without a host or a time")
            if not 0 < interval <= LONGEST:
                raise Bad("an absurd interval")
            yield ValueList(**names, time=time, interval=interval, kinds=kinds, figures=found)


def line(content: str) -> tuple[str, list[str], float, int]:
    """A line as collectd's write_graphite sends it: prefix-free path, figure, time.

    >>> line("web-1.cpu-0.cpu-idle 98.5 1700000000")
    ('web-1', ['cpu-0', 'cpu-idle'], 98.5, 1700000000000000000)
    """
    found = content.split()
    if len(found) != 3:
        raise Bad("no line of Graphite")
    host, *path = found[0].split(".")
    try:
        figure, time = float(found[1]), int(float(found[2]) * 1000) * (SECOND // 1000)
    except (ValueError, OverflowError):
        raise Bad("no figure") from None
    if not host or len(path) < 2 or len(found[0]) > 4 * NAME or math.isinf(figure) or time <= 0:
        raise Bad("no line of Graphite")
    return host, path, figure, time
