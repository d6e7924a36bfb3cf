"""One end of the stream between the pilot process and a child process."""

import asyncio
from collections.abc import Callable
from typing import Any

from flintreach.cores import messages
from flintreach.cores.frames import RecordReader, RecordWriter, TornRecord

ENDED = "ended"  # the other end closed the stream between two records
TORN = "torn"  # prefix of the reason where the stream ended within a record, or a record is corrupt


class Link(asyncio.Protocol):
    """Sends and receives messages as records on a stream socket.

    Attributes:
        closed: whether no more messages are sent or received.
    """

    def __init__(
        self,
        decode: Callable[[bytes], Any],
        on_message: Callable[[Any], None],
        on_end: Callable[[str], None],
        encode: Callable[[Any], bytes] = messages.encode,
    ) -> None:
        """Create a link; it works from the time that a transport is connected.

        Args:
            decode: converts the body of a record into a message.
            on_message: called with each message.
            on_end: called once with the reason, if the stream ends otherwise than by `close` without one.
            encode: converts a message into the body of a record.
        """
        self.decode = decode
        self.on_message = on_message
        self.on_end = on_end
        self.encode = encode
        self.reader = RecordReader()
        self.writer = RecordWriter()
        self.transport: Any = None
        self.closed = False

    def connection_made(self, transport: Any) -> None:
        """Keep the transport of the new connection."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass on each complete message; end the link at a corrupt one."""
        try:
            for body in self.reader.feed(data):
                self.on_message(self.decode(body))
                if self.closed:
                    return
        except (TornRecord, messages.DECODE_ERROR) as error:
            self.close(f"{TORN}: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        """End the link; data of an incomplete record is dropped."""
        pending = self.reader.pending_bytes
        self.close(f"{TORN}: stream ended {pending} bytes into a record" if pending else ENDED)

    def close(self, reason: str | None = None) -> None:
        """Close the stream; with a reason, the owner is told."""
        if self.closed:
            return
        self.closed = True
        if self.transport:
            self.transport.abort()
        if reason:
            self.on_end(reason)

    def send(self, message: Any) -> int:
        """Send a message and return the number of bytes that wait to be written, with this record's."""
        if self.closed or not self.transport:
            return 0
        self.transport.write(self.writer.pack(self.encode(message)))
        return self.transport.get_write_buffer_size()
