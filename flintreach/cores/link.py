"""One end of the stream between the deciding process and a worker."""

import asyncio
from collections.abc import Callable

from flintreach.cores import messages
from flintreach.cores.frames import Reader, Torn, Writer


class Link(asyncio.Protocol):
    """`take(message)` hears of each whole record; `ended(why)` once, with what was cut off."""

    def __init__(self, decode: Callable, take: Callable, ended: Callable, encode: Callable = messages.encode):
        self.encode, self.decode, self.take, self.ended = encode, decode, take, ended
        self.reader, self.writer, self.transport, self.over = Reader(), Writer(), None, False

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            for body in self.reader.feed(data):
                self.take(self.decode(body))
                if self.over:
                    return
        except (Torn, messages.UNREADABLE) as error:
            self.end(f"torn: {error}")

    def connection_lost(self, error) -> None:
        self.end(f"torn: {self.reader.rest} bytes of a record" if self.reader.rest else "ended")

    def end(self, why: str | None = None) -> None:
        """Nothing more is heard of it; without `why`, its owner knows."""
        if not self.over:
            self.over = True
            if self.transport:
                self.transport.abort()
            if why:
                self.ended(why)

    def tell(self, message) -> int:
        """Bytes that wait to be written, this record included."""
        if self.over or not self.transport:
            return 0
        self.transport.write(self.writer.pack(self.encode(message)))
        return self.transport.get_write_buffer_size()
