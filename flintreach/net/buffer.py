"""The receive buffer of a connection, which grows on demand and is compacted in place."""

from collections.abc import Iterator


class Overflow(Exception):
    """A line or a body is longer than is allowed."""


class Buffer:
    r"""Bytes that have come and are not yet read.

    >>> buffer = Buffer(8)
    >>> buffer.append(b"one\ntw"); list(buffer.lines())
    [b'one']
    >>> buffer.append(b"o\n"); list(buffer.lines()), len(buffer)
    ([b'two'], 0)
    >>> buffer.append(b"far too long"); list(buffer.lines())
    Traceback (most recent call last):
        ...
    flintreach.net.buffer.Overflow: 12 bytes, 8 allowed

    Args:
        max_bytes: longest line or body.

    Attributes:
        start: where the unread bytes begin in the store.
        end: where they end.
        scanned: up to where no line end was found.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.store = bytearray()
        self.start = 0
        self.end = 0
        self.scanned = 0

    def __len__(self) -> int:
        return self.end - self.start

    @property
    def capacity(self) -> int:
        """The memory that it takes, also while it is empty."""
        return len(self.store)

    def append(self, data: bytes) -> None:
        """Add bytes at the end."""
        unread = len(self)
        if self.end + len(data) > len(self.store):
            self.store[:unread] = self.store[self.start : self.end]
            self.scanned -= self.start
            self.start = 0
            self.end = unread
            missing = unread + len(data) - len(self.store)
            if missing > 0:
                self.store.extend(bytes(max(missing, len(self.store))))
        self.store[self.end : self.end + len(data)] = data
        self.end += len(data)

    def check_limit(self) -> None:
        """Check the length of what is unread.

        Raises:
            Overflow: it is longer than allowed.
        """
        if len(self) > self.max_bytes:
            raise Overflow(f"{len(self)} bytes, {self.max_bytes} allowed")

    def lines(self) -> Iterator[bytes]:
        """Take the complete lines, without their line ends.

        Raises:
            Overflow: a line, or the incomplete one at the end, is longer than allowed.
        """
        while (at := self.store.find(b"\n", self.scanned, self.end)) >= 0:
            line = bytes(self.store[self.start : at])
            self.start = self.scanned = at + 1
            if len(line) > self.max_bytes:
                raise Overflow(f"{len(line)} bytes, {self.max_bytes} allowed")
            yield line
        self.scanned = self.end  # bytes of a long line are scanned once, not again with each part
        self.check_limit()
        if self.start == self.end:
            self.start = self.end = self.scanned = 0
            if self.capacity > self.max_bytes // 16:  # a long line must not keep its memory for ever
                self.store = bytearray()

    def take_all(self) -> bytes:
        """Take everything that is unread."""
        data = bytes(self.store[self.start : self.end])
        self.start = self.end = self.scanned = 0
        return data
