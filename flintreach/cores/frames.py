"""Records between the processes of one pilot: whole, in order and once, or not at all.  Pure.

A worker may be killed at any byte.  Each record has its length, its number and a checksum, so a torn one is
found and dropped, and none can count twice.
"""

import struct
import zlib
from collections.abc import Iterator

HEAD = struct.Struct("<III")  # bytes of the body, the record's number, CRC-32 over number and body
MOST = 8 << 20  # bytes of a body: what claims more is no record of ours


class Torn(ValueError):
    """Bytes that are no record, or not the next one: nothing after them can be trusted."""


def check(number: int, body: bytes) -> int:
    return zlib.crc32(body, zlib.crc32(number.to_bytes(4, "little")))


class Writer:
    """
    >>> writer, reader = Writer(), Reader()
    >>> data = writer.pack(b"one") + writer.pack(b"two")
    >>> list(reader.feed(data[:20])), list(reader.feed(data[20:])), reader.rest
    ([b'one'], [b'two'], 0)
    """

    def __init__(self):
        self.number = 0

    def pack(self, body: bytes) -> bytes:
        self.number = (self.number + 1) & 0xFFFFFFFF
        return HEAD.pack(len(body), self.number, check(self.number, body)) + body


class Reader:
    """Bytes in, bodies out.  Raises Torn; what stands before the torn record has been given."""

    def __init__(self):
        self.held, self.number = bytearray(), 0

    @property
    def rest(self) -> int:
        """Bytes of a record that has not come whole."""
        return len(self.held)

    def feed(self, data: bytes) -> Iterator[bytes]:
        self.held += data
        at = 0
        try:
            while len(self.held) - at >= HEAD.size:
                length, number, sum = HEAD.unpack_from(self.held, at)
                wanted = (self.number + 1) & 0xFFFFFFFF
                if length > MOST or number != wanted:
                    raise Torn(f"record {number} of {length} bytes in place of record {wanted}")
                end = at + HEAD.size + length
                if end > len(self.held):
                    break
                body = bytes(self.held[at + HEAD.size : end])
                if check(number, body) != sum:
                    raise Torn(f"record {number} is spoilt")
                at, self.number = end, wanted
                yield body
        finally:
            del self.held[:at]
