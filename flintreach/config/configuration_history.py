"""Stored form of the operator's configuration: the newest body, and a digest of each accepted version.

The version number serves as an idempotency key: repeating an accepted put is acknowledged again, and putting
other content under the same number is rejected.

Reference: IETF draft "The Idempotency-Key HTTP Header Field".
"""

import struct
from bisect import bisect_left
from enum import StrEnum
from hashlib import sha256
from typing import NamedTuple

import msgspec

ENTRY = struct.Struct(">I8s")  # version number, digest of the body
MAX_ENTRIES = 2048
DIGEST_BYTES = 8
HISTORY_MARKER = b"\x92"  # first byte of a MessagePack array of two; JSON text never starts with it


class PutOutcome(StrEnum):
    """Result of putting a configuration."""

    ACCEPTED = "taken"  # the newest version: stored, and put into force
    REPEATED = "again"  # same version and same content as an earlier put
    SUPERSEDED = "overtaken"  # a newer version is in force: only the digest is stored
    CONFLICT = "other content"  # same version as an earlier put, but other content
    HISTORY_EXPIRED = "forgotten"  # older than the whole history: its content can't be verified


class HistoryChange(NamedTuple):
    """Result of a put, and the new history to store; None if the history doesn't change."""

    outcome: PutOutcome
    history: "ConfigurationHistory | None"


class RegisterChange(NamedTuple):
    """Result of a put, and the new register value to store; None if the value doesn't change."""

    outcome: PutOutcome
    value: bytes | None


def digest(body: bytes) -> bytes:
    """Return a truncated SHA-256; it detects accidental differences and is too short to resist forgery."""
    return sha256(body).digest()[:DIGEST_BYTES]


class ConfigurationHistory:
    """Value of the register's configuration key.

    Entries are sorted by version.  The highest version is that of `body`; the MAX_ENTRIES highest are kept.

    Attributes:
        body: the newest configuration, as the operator sent it.
        packed_entries: concatenated entries, each packed as ENTRY.
    """

    __slots__ = ("body", "packed_entries")

    def __init__(self, body: bytes, packed_entries: bytes) -> None:
        self.body = body
        self.packed_entries = packed_entries

    @classmethod
    def decode(cls, value: bytes) -> "ConfigurationHistory":
        """Decode a register value; earlier releases stored only the body, as JSON."""
        if value[:1] == HISTORY_MARKER:
            return cls(*msgspec.msgpack.decode(value))
        number = int(msgspec.json.decode(value)["edition"], 16)
        return cls(value, ENTRY.pack(number, digest(value)))

    def encode(self) -> bytes:
        """Return the value to store in the register."""
        return msgspec.msgpack.encode([self.body, self.packed_entries])

    def __len__(self) -> int:
        """Return the number of versions in the history."""
        return len(self.packed_entries) // ENTRY.size

    def entry(self, index: int) -> tuple[int, bytes]:
        """Return the version and the digest at an index; index 0 is the oldest."""
        return ENTRY.unpack_from(self.packed_entries, index * ENTRY.size)

    @property
    def number(self) -> int:
        """The newest version number."""
        return self.entry(len(self) - 1)[0]

    def put(self, number: int, body: bytes) -> HistoryChange:
        """Return the result of putting a configuration; this object is not modified.

        Args:
            number: the version of the configuration.
            body: the configuration, as the operator sent it.
        """
        index = bisect_left(range(len(self)), number, key=lambda i: self.entry(i)[0])
        if index < len(self) and self.entry(index)[0] == number:
            same = self.entry(index)[1] == digest(body)
            return HistoryChange(PutOutcome.REPEATED if same else PutOutcome.CONFLICT, None)
        if index == 0 and len(self) == MAX_ENTRIES:
            return HistoryChange(PutOutcome.HISTORY_EXPIRED, None)
        entries = self.with_entry(index, ENTRY.pack(number, digest(body)))
        if index == len(self):
            return HistoryChange(PutOutcome.ACCEPTED, ConfigurationHistory(body, entries))
        # The put is acknowledged although the configuration in force stays.  The digest has to be stored
        # before that, or a later put of other content under this version could be acknowledged as well.
        return HistoryChange(PutOutcome.SUPERSEDED, ConfigurationHistory(self.body, entries))

    def with_entry(self, index: int, entry: bytes) -> bytes:
        """Return the packed entries with one inserted; beyond MAX_ENTRIES the oldest is dropped."""
        offset = index * ENTRY.size
        entries = self.packed_entries[:offset] + entry + self.packed_entries[offset:]
        return entries[-MAX_ENTRIES * ENTRY.size :]


def put(stored: bytes | None, number: int, body: bytes) -> RegisterChange:
    """Return the result of putting a configuration and the resulting register value.

    Args:
        stored: the current register value; None before the first configuration.
        number: the version of the configuration.
        body: the configuration, as the operator sent it.

    >>> change = put(None, 7, b'{"edition": "00000007"}')
    >>> repeated = put(change.value, 7, b'{"edition": "00000007"}')
    >>> conflicting = put(change.value, 7, b"other")
    >>> superseded = put(change.value, 3, b"")
    >>> [str(each.outcome) for each in (change, repeated, conflicting, superseded)]
    ['taken', 'again', 'other content', 'overtaken']
    >>> repeated.value is None
    True
    """
    current = ConfigurationHistory(b"", b"") if stored is None else ConfigurationHistory.decode(stored)
    change = current.put(number, body)
    if change.history is None:
        return RegisterChange(change.outcome, None)
    return RegisterChange(change.outcome, change.history.encode())
