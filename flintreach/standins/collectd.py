"""Datagrams in the format of collectd's network plugin: plain, signed or encrypted."""

import hashlib
import hmac
import os
import struct

from flintreach.evidence import packet
from flintreach.pilot.interface import SECOND


def part(kind: int, content: bytes) -> bytes:
    """Return a part of a datagram: its type, its length and its content."""
    return packet.PART_HEADER.pack(kind, packet.PART_HEADER.size + len(content)) + content


def name(kind: int, text: str) -> bytes:
    """Return a string part, which ends in a zero byte."""
    return part(kind, text.encode() + b"\0")


def number(kind: int, value: int) -> bytes:
    """Return a numeric part of 64 bits."""
    return part(kind, struct.pack(">Q", value))


def values(*rows: tuple[int, float]) -> bytes:
    """Return a values part; each row is a data source type and a value."""
    body = struct.pack(">H", len(rows)) + bytes(kind for kind, _ in rows)
    return part(
        packet.VALUES, body + b"".join(packet.VALUE_FORMATS[kind].pack(value) for kind, value in rows)
    )


def cpu(
    host: str, time: int, idle: float, interval: int = 10 * SECOND, processors: int = 1, high: bool = True
) -> bytes:
    """Return the values of one interval of the plugin cpu, in percent.

    Args:
        host: name of the host.
        time: time of the values, nanoseconds.
        idle: idle share of each processor, percent.
        interval: time between values, nanoseconds.
        processors: number of processors.
        high: whether times are in units of 2^-30 s, rather than in seconds.
    """
    head = name(packet.HOST, host)
    if high:
        head += number(packet.TIME_HR, (time << 30) // SECOND + 1)
        head += number(packet.INTERVAL_HR, (interval << 30) // SECOND)
    else:
        head += number(packet.TIME, time // SECOND) + number(packet.INTERVAL, interval // SECOND)
    head += name(packet.PLUGIN, "cpu") + name(packet.TYPE, "percent")
    for place in range(processors):
        head += name(packet.PLUGIN_INSTANCE, str(place))
        head += name(packet.TYPE_INSTANCE, "user") + values((packet.GAUGE, 100 - idle))
        head += name(packet.TYPE_INSTANCE, "idle") + values((packet.GAUGE, idle))
    return head


def series(
    host: str,
    time: int,
    plugin: str,
    kind: str,
    *rows: tuple[int, float],
    instance: str = "",
    interval: int = 10 * SECOND,
) -> bytes:
    """Return one value list of any plugin.

    Args:
        host: name of the host.
        time: time of the values, nanoseconds.
        plugin: name of the plugin.
        kind: name of the data set type.
        rows: a data source type and a value each.
        instance: type instance.
        interval: time between values, nanoseconds.
    """
    return (
        name(packet.HOST, host)
        + number(packet.TIME_HR, (time << 30) // SECOND + 1)
        + number(packet.INTERVAL_HR, (interval << 30) // SECOND)
        + name(packet.PLUGIN, plugin)
        + name(packet.TYPE, kind)
        + name(packet.TYPE_INSTANCE, instance)
        + values(*rows)
    )


def signed(content: bytes, user: str, key: str) -> bytes:
    """Return content behind a signature part: HMAC-SHA-256 over the user name and the content."""
    mac = hmac.new(key.encode(), user.encode() + content, hashlib.sha256).digest()
    return part(packet.SIGNED, mac + user.encode()) + content


def encrypted(content: bytes, user: str, key: str, iv: bytes | None = None) -> bytes:
    """Return an encryption part: user name, IV, and the SHA-1 digest and the content, both encrypted.

    Args:
        content: the parts to encrypt.
        user: name of the user.
        key: the user's password.
        iv: initialization vector; a random one if it is not given.
    """
    iv = iv or os.urandom(packet.IV_SIZE)
    body = packet.cipher(key, iv).encryptor().update(hashlib.sha1(content).digest() + content)
    return part(packet.ENCRYPTED, struct.pack(">H", len(user)) + user.encode() + iv + body)
