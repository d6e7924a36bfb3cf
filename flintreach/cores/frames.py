"""Framing of records between the processes of one pilot.

Each record arrives whole, in order and once, or not at all.  A worker may be killed at any byte: each record
has its length, a sequence number and a checksum, so that an incomplete one is detected and dropped, and none
counts twice.

Does no input or output.
"""

import struct
import zlib
from collections.abc import Iterator

HEADER = struct.Struct("<III")  # length of the body, sequence number, CRC-32 over number and body
MAX_BODY_BYTES = 8 << 20  # a header that gives more is corrupt
NUMBER_MASK = 0xFFFFFFFF  # sequence numbers wrap at 32 bits


class TornRecord(ValueError):
    """The data is not the next valid record; nothing after it can be trusted."""


def checksum(number: int, body: bytes) -> int:
    """Compute the CRC-32 of a sequence number and a body."""
    return zlib.crc32(body, zlib.crc32(number.to_bytes(4, "little")))


class RecordWriter:
    """Encodes bodies as records.

    >>> writer, reader = RecordWriter(), RecordReader()
    >>> data = writer.pack(b"one") + writer.pack(b"two")
    >>> list(reader.feed(data[:20])), list(reader.feed(data[20:])), reader.pending_bytes
    ([b'one'], [b'two'], 0)
    """

    def __init__(self) -> None:
        self.number = 0

    def pack(self, body: bytes) -> bytes:
        """Encode a body as the next record."""
        self.number = (self.number + 1) & NUMBER_MASK
        return HEADER.pack(len(body), self.number, checksum(self.number, body)) + body


class RecordReader:
    """Decodes records from a stream of bytes."""

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.number = 0

    @property
    def pending_bytes(self) -> int:
        """Bytes of a record that has not arrived in full."""
        return len(self.buffer)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Decode data and yield the bodies of all complete records.

        Raises:
            TornRecord: the data is not the next record; those before it have been yielded.
        """
        self.buffer += data
        at = 0
        try:
            while len(self.buffer) - at >= HEADER.size:
                length, number, expected_checksum = HEADER.unpack_from(self.buffer, at)
                expected = (self.number + 1) & NUMBER_MASK
                if length > MAX_BODY_BYTES or number != expected:
                    raise TornRecord(f"expected record {expected}, got record {number} of {length} bytes")
                end = at + HEADER.size + length
                if end > len(self.buffer):
                    break
                body = bytes(self.buffer[at + HEADER.size : end])
                if checksum(number, body) != expected_checksum:
                    raise TornRecord(f"checksum mismatch in record {number}")
                at = end
                self.number = expected
                yield body
        finally:
            del self.buffer[:at]
