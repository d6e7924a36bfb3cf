"""The one buffer of a connection: it grows as it needs and is compacted in place."""

from collections.abc import Iterator


class Overflow(Exception):
    """A line or a body is longer than is allowed."""


class Buffer:
    """
    >>> buffer = Buffer(8)
    >>> buffer.append(b"one\\ntw"); list(buffer.lines())
    [b'one']
    >>> buffer.append(b"o\\n"); list(buffer.lines()), len(buffer)
    ([b'two'], 0)
    >>> buffer.append(b"far too long"); list(buffer.lines())
    Traceback (most recent call last):
        ...
    flintreach.net.buffer.Overflow: 12 bytes, 8 allowed
    """

    def __init__(self, most: int):
        self.most, self.store, self.start, self.end, self.seen = most, bytearray(), 0, 0, 0

    def __len__(self) -> int:
        return self.end - self.start

    @property
    def capacity(self) -> int:
        """The memory that it takes, also where it is empty."""
        return len(self.store)

    def append(self, data: bytes) -> None:
        held = len(self)
        if self.end + len(data) > len(self.store):
            self.store[:held] = self.store[self.start : self.end]
            self.start, self.end, self.seen = 0, held, self.seen - self.start
            missing = held + len(data) - len(self.store)
            if missing > 0:
                self.store.extend(bytes(max(missing, len(self.store))))
        self.store[self.end : self.end + len(data)] = data
        self.end += len(data)

    def check_limit(self) -> None:
        if len(self) > self.most:
            raise Overflow(f"{len(self)} bytes, {self.most} allowed")

    def lines(self) -> Iterator[bytes]:
        while (at := self.store.find(b"\n", self.seen, self.end)) >= 0:
            line = bytes(self.store[self.start : at])
            self.start = self.seen = at + 1
            if len(line) > self.most:
                raise Overflow(f"{len(line)} bytes, {self.most} allowed")
            yield line
        self.seen = self.end  # a long line's bytes are looked at once, not with each piece
        self.check_limit()
        if self.start == self.end:
            self.start = self.end = self.seen = 0
            if self.capacity > self.most // 16:  # a long line must not keep its memory for ever
                self.store = bytearray()

    def take_all(self) -> bytes:
        """All that is held."""
        data = bytes(self.store[self.start : self.end])
        self.start = self.end = self.seen = 0
        return data
