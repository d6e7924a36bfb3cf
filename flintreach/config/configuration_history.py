"""What is stored of the operator's configuration: the newest one, and which content each version had.

The version number works as an idempotency key: a configuration that was accepted may be put again and is
acknowledged again, and its number never confirms another content.

Source: IETF draft "The Idempotency-Key HTTP Header Field".
"""

import struct
from bisect import bisect_left
from enum import StrEnum
from hashlib import sha256
from typing import NamedTuple

import msgspec

ENTRY = struct.Struct(">I8s")  # version number, digest of the content
MAX_ENTRIES = 2048
DIGEST_BYTES = 8
HISTORY_MARKER = b"\x92"  # how a MessagePack array of two begins; JSON never does


class PutOutcome(StrEnum):
    """What becomes of a configuration that is put."""

    ACCEPTED = "taken"  # the newest one: it is stored and comes into force
    REPEATED = "again"  # this version with this content was put before
    SUPERSEDED = "overtaken"  # a newer one is in force: only the digest of this one is stored
    CONFLICT = "other content"  # this version was put before with another content
    HISTORY_EXPIRED = "forgotten"  # older than all that is remembered: it may have had any content


class HistoryChange(NamedTuple):
    """What becomes of a configuration, and the history to store from then on; None where nothing changes."""

    outcome: PutOutcome
    history: "ConfigurationHistory | None"


class RegisterChange(NamedTuple):
    """What becomes of a configuration, and the value to store from then on; None where nothing changes."""

    outcome: PutOutcome
    value: bytes | None


def digest(body: bytes) -> bytes:
    """What tells one content from another: eight bytes, against mistakes, not against a forger."""
    return sha256(body).digest()[:DIGEST_BYTES]


class ConfigurationHistory:
    """The value of the register's configuration key.

    The entries are sorted by version.  The highest one is that of `body`; the highest MAX_ENTRIES are kept.

    Attributes:
        body: the newest configuration, as it was put.
        history: the packed entries, each as ENTRY.
    """

    __slots__ = ("body", "history")

    def __init__(self, body: bytes, history: bytes) -> None:
        self.body = body
        self.history = history

    @classmethod
    def decode(cls, value: bytes) -> "ConfigurationHistory":
        """Decode a value of the register; earlier releases stored the body alone, which is JSON."""
        if value[:1] == HISTORY_MARKER:
            return cls(*msgspec.msgpack.decode(value))
        number = int(msgspec.json.decode(value)["edition"], 16)
        return cls(value, ENTRY.pack(number, digest(value)))

    def encode(self) -> bytes:
        """The value to store in the register."""
        return msgspec.msgpack.encode([self.body, self.history])

    def __len__(self) -> int:
        """How many versions are remembered."""
        return len(self.history) // ENTRY.size

    def entry(self, index: int) -> tuple[int, bytes]:
        """Version and digest at an index, counted from the oldest."""
        return ENTRY.unpack_from(self.history, index * ENTRY.size)

    @property
    def number(self) -> int:
        """The newest version."""
        return self.entry(len(self) - 1)[0]

    def put(self, number: int, body: bytes) -> HistoryChange:
        """Decide on a configuration that is put.

        Args:
            number: its version.
            body: its content, as it was put.
        """
        index = bisect_left(range(len(self)), number, key=lambda at: self.entry(at)[0])
        if index < len(self) and self.entry(index)[0] == number:
            same = self.entry(index)[1] == digest(body)
            return HistoryChange(PutOutcome.REPEATED if same else PutOutcome.CONFLICT, None)
        if index == 0 and len(self) == MAX_ENTRIES:
            return HistoryChange(PutOutcome.HISTORY_EXPIRED, None)
        history = self.with_entry(index, ENTRY.pack(number, digest(body)))
        if index == len(self):
            return HistoryChange(PutOutcome.ACCEPTED, ConfigurationHistory(body, history))
        # It changes nothing that is in force, but is acknowledged.  Its digest has to be stored first, or
        # another content under this version might be acknowledged too.
        return HistoryChange(PutOutcome.SUPERSEDED, ConfigurationHistory(self.body, history))

    def with_entry(self, index: int, entry: bytes) -> bytes:
        """The packed entries with one more at an index; the oldest goes where there are too many."""
        offset = index * ENTRY.size
        entries = self.history[:offset] + entry + self.history[offset:]
        return entries[-MAX_ENTRIES * ENTRY.size :]


def put(stored: bytes | None, number: int, body: bytes) -> RegisterChange:
    """Decide on a configuration that is put, as a change of the register.

    Args:
        stored: the value that the register holds, None before the first configuration.
        number: the version of the configuration.
        body: its content, as it was put.

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
