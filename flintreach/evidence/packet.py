"""Parser for collectd's binary network protocol, including signed and encrypted datagrams.

The format follows collectd's published description of the binary protocol. A part consists of a type, a
length that includes the part header, and the content; it applies until the next part of the same type.
All times are integer nanoseconds. The module performs no I/O.
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
STRING_FIELDS = {
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
PART_HEADER, UINT16, UINT64 = struct.Struct(">HH"), struct.Struct(">H"), struct.Struct(">Q")
MAC_SIZE, IV_SIZE, CHECKSUM_SIZE = 32, 16, 20  # bytes
MAX_STRING_BYTES = 128
MAX_INTERVAL = 24 * 3600 * SECOND  # longer intervals are rejected


class InputRejected(ValueError):
    """A datagram or line that is malformed or not authenticated.

    The message is the name under which the rejection is counted, so it contains no variable data.
    """


@dataclass(slots=True)
class ValueList:
    """One or more values of one series at one time.

    Attributes:
        time: Nanoseconds since 1970 by the sender's clock.
        interval: Nanoseconds until the next value list of the series is due.
        kinds: The type of each value: COUNTER, GAUGE, DERIVE or ABSOLUTE.
        figures: The values; a gauge is NaN where the sender had no reading.
    """

    host: str
    plugin: str
    plugin_instance: str
    type: str
    type_instance: str
    time: int
    interval: int
    kinds: tuple[int, ...]
    figures: tuple[float, ...]


def split_parts(data: bytes) -> Iterator[tuple[int, bytes, int]]:
    """Yield the type, the content and the end offset of each part.

    Raises:
        InputRejected: a part header is incomplete, or its length exceeds the datagram.
    """
    offset = 0
    while offset < len(data):
        if len(data) - offset < PART_HEADER.size:
            raise InputRejected("truncated datagram")
        kind, length = PART_HEADER.unpack_from(data, offset)
        if length < PART_HEADER.size or offset + length > len(data):
            raise InputRejected("truncated datagram")
        content = data[offset + PART_HEADER.size : offset + length]
        offset += length
        yield kind, content, offset


def authenticate(data: bytes, keys: dict[str, str], accept_unsigned: bool) -> tuple[bytes, str | None]:
    """Verify the signature of a datagram, or decrypt it.

    Args:
        data: The datagram as received.
        keys: Passwords by user.
        accept_unsigned: Whether a datagram without signature or encryption is accepted.

    Returns:
        The plain content and the authenticated user, or None for an unsigned datagram.

    Raises:
        InputRejected: the datagram is malformed or not authenticated.
    """
    if not data:
        raise InputRejected("empty datagram")
    kind, content, end = next(split_parts(data))
    if kind == SIGNED:
        if len(content) <= MAC_SIZE:
            raise InputRejected("truncated datagram")
        user = parse_string(content[MAC_SIZE:], terminated=False)
        if user not in keys:
            raise InputRejected("unknown user")
        mac = hmac.new(keys[user].encode(), content[MAC_SIZE:] + data[end:], hashlib.sha256).digest()
        if not hmac.compare_digest(mac, content[:MAC_SIZE]):
            raise InputRejected("signature does not match")
        return data[end:], user
    if kind == ENCRYPTED:
        return decrypt(content, keys)
    if not accept_unsigned:
        raise InputRejected("unsigned datagram")
    return data, None


def decrypt(content: bytes, keys: dict[str, str]) -> tuple[bytes, str]:
    """Decrypt the content of an encrypted part and verify its SHA-1 checksum.

    Returns:
        The plain content and the user whose key decrypted it.

    Raises:
        InputRejected: the part is truncated, its user is unknown or the checksum does not match.
    """
    if len(content) < UINT16.size:
        raise InputRejected("truncated datagram")
    (user_length,) = UINT16.unpack_from(content)
    iv_start = UINT16.size + user_length
    if len(content) < iv_start + IV_SIZE + CHECKSUM_SIZE:
        raise InputRejected("truncated datagram")
    user = parse_string(content[UINT16.size : iv_start], terminated=False)
    if user not in keys:
        raise InputRejected("unknown user")
    ciphertext_start = iv_start + IV_SIZE
    decryptor = cipher(keys[user], content[iv_start:ciphertext_start]).decryptor()
    plain = decryptor.update(content[ciphertext_start:])
    if hashlib.sha1(plain[CHECKSUM_SIZE:]).digest() != plain[:CHECKSUM_SIZE]:
        raise InputRejected("checksum mismatch after decryption")
    return plain[CHECKSUM_SIZE:], user


def cipher(key: str, iv: bytes):
    """Return AES-256 in output feedback mode, keyed by the SHA-256 hash of the user's password."""
    from cryptography.hazmat.decrepit.ciphers.modes import OFB
    from cryptography.hazmat.primitives.ciphers import Cipher, algorithms

    return Cipher(algorithms.AES(hashlib.sha256(key.encode()).digest()), OFB(iv))


def parse_string(content: bytes, terminated: bool = True) -> str:
    """Decode a string field, which ends in a null byte if `terminated`.

    Raises:
        InputRejected: the field is not terminated, too long or not UTF-8.
    """
    if terminated:
        if not content.endswith(b"\0"):
            raise InputRejected("string field is not terminated UTF-8")
        content = content[:-1]
    if len(content) > MAX_STRING_BYTES:
        raise InputRejected("string field too long")
    try:
        return content.decode()
    except UnicodeDecodeError:
        raise InputRejected("string field is not terminated UTF-8") from None


def parse_number(content: bytes) -> int:
    """Decode a numeric field.

    Raises:
        InputRejected: the field is not eight bytes long.
    """
    if len(content) != UINT64.size:
        raise InputRejected("numeric field has the wrong length")
    return UINT64.unpack(content)[0]


def parse_value_part(content: bytes) -> tuple[tuple[int, ...], tuple[float, ...]]:
    """Decode the types and the values of a values part.

    The part holds a count of two bytes, one byte of type for each value, then eight bytes for each value.

    Raises:
        InputRejected: the length does not match the count, or a type is unknown.
    """
    if len(content) < UINT16.size:
        raise InputRejected("truncated datagram")
    (count,) = UINT16.unpack_from(content)
    if not count or len(content) != UINT16.size + 9 * count:
        raise InputRejected("value count does not match the length")
    first_value = UINT16.size + count
    kinds = tuple(content[UINT16.size : first_value])
    if any(kind not in VALUE_FORMATS for kind in kinds):
        raise InputRejected("unknown value type")
    figures = tuple(
        VALUE_FORMATS[kind].unpack_from(content, first_value + 8 * index)[0]
        for index, kind in enumerate(kinds)
    )
    return kinds, figures


def parse_values(data: bytes) -> Iterator[ValueList]:
    """Yield the value lists of a plain datagram in their order.

    Nested signed or encrypted parts and parts of unknown types are skipped.

    Raises:
        InputRejected: the datagram is malformed from here on; the value lists already yielded remain valid.
    """
    strings = dict.fromkeys(STRING_FIELDS.values(), "")
    time = interval = 0
    for kind, content, _ in split_parts(data):
        if kind in STRING_FIELDS:
            strings[STRING_FIELDS[kind]] = parse_string(content)
        elif kind == TIME:
            time = parse_number(content) * SECOND
        elif kind == TIME_HR:
            time = parse_number(content) * SECOND >> 30
        elif kind == INTERVAL:
            interval = parse_number(content) * SECOND
        elif kind == INTERVAL_HR:
            interval = parse_number(content) * SECOND >> 30
        elif kind == VALUES:
            kinds, figures = parse_value_part(content)
            if not strings["host"] or not time:
                raise InputRejected("values without a host or a time")
            if not 0 < interval <= MAX_INTERVAL:
                raise InputRejected("invalid interval")
            yield ValueList(**strings, time=time, interval=interval, kinds=kinds, figures=figures)


def parse_line(content: str) -> tuple[str, list[str], float, int]:
    """Parse a line of collectd's `write_graphite` plugin, sent without a prefix.

    Returns:
        The host, the rest of the path, the value and the time in nanoseconds.

    Raises:
        InputRejected: the line is malformed.

    >>> parse_line("web-1.cpu-0.cpu-idle 98.5 1700000000")
    ('web-1', ['cpu-0', 'cpu-idle'], 98.5, 1700000000000000000)
    """
    fields = content.split()
    if len(fields) != 3:
        raise InputRejected("malformed Graphite line")
    host, *path = fields[0].split(".")
    try:
        value = float(fields[1])
        time = int(float(fields[2]) * 1000) * (SECOND // 1000)
    except (ValueError, OverflowError):
        raise InputRejected("malformed number in a Graphite line") from None
    if not host or len(path) < 2 or len(fields[0]) > 4 * MAX_STRING_BYTES or math.isinf(value) or time <= 0:
        raise InputRejected("malformed Graphite line")
    return host, path, value, time
