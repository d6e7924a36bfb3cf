"""Datagrams as collectd's network plugin writes them: plain, signed or encrypted."""

import hashlib
import hmac
import os
import struct

from flintreach.evidence import packet
from flintreach.pilot.interface import SECOND


def part(kind: int, content: bytes) -> bytes:
    return packet.PART_HEADER.pack(kind, packet.PART_HEADER.size + len(content)) + content


def name(kind: int, text: str) -> bytes:
    return part(kind, text.encode() + b"\0")


def number(kind: int, value: int) -> bytes:
    return part(kind, struct.pack(">Q", value))


def values(*rows: tuple[int, float]) -> bytes:
    """Rows of a type and a figure."""
    body = struct.pack(">H", len(rows)) + bytes(kind for kind, _ in rows)
    return part(
        packet.VALUES, body + b"".join(packet.VALUE_FORMATS[kind].pack(value) for kind, value in rows)
    )


def cpu(
    host: str, time: int, idle: float, interval: int = 10 * SECOND, processors: int = 1, high: bool = True
) -> bytes:
    """One round of the plugin cpu in percent; `idle` of all processors, `time` in nanoseconds."""
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
    """One value list of any plugin."""
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
    mac = hmac.new(key.encode(), user.encode() + content, hashlib.sha256).digest()
    return part(packet.SIGNED, mac + user.encode()) + content


def encrypted(content: bytes, user: str, key: str, iv: bytes | None = None) -> bytes:
    iv = iv or os.urandom(packet.IV_SIZE)
    body = packet.cipher(key, iv).encryptor().update(hashlib.sha1(content).digest() + content)
    return part(packet.ENCRYPTED, struct.pack(">H", len(user)) + user.encode() + iv + body)
