"""One connection between two pilots: messages both ways, questions with answers, and its end.

A message is [number, kind, body]; an answer is [-number, "", body]; number 0 wants no answer.  A link that
stays mute past its limit is closed: a peer behind a cut says nothing, and hangs would pile up.
"""

import struct
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult, Event

HEAD, MOST = struct.Struct(">I"), 16 << 20
PACK, UNPACK = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder()


def braced(sock: socket.socket, mute_ms: int) -> socket.socket:
    """Without these a connection to a machine without power hangs for good."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, mute_ms)
    return sock


class Closed(Exception):
    """The link ended before an answer came; whether the question was acted on is not known."""


class Link:
    """`handlers[kind](link, body)` runs in a greenlet of its own; what it returns is the answer."""

    def __init__(self, sock, handlers: dict[str, Callable], mute_ms: int = 1500):
        self.sock, self.handlers = braced(sock, mute_ms), handlers
        self.waiting: dict[int, AsyncResult] = {}
        self.out, self.some, self.number = [], Event(), 0
        self.closed, self.on_close = False, []
        self.readers = [gevent.spawn(self.read), gevent.spawn(self.write)]

    def send(self, kind: str, body: Any = None, number: int = 0) -> None:
        if not self.closed:
            message = PACK.encode([number, kind, body])
            self.out.append(HEAD.pack(len(message)) + message)
            self.some.set()

    def ask(self, kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        """The peer's answer.  Raises Closed when the link ends or `timeout` seconds are over."""
        if self.closed:
            raise Closed
        self.number += 1
        number, result = self.number, AsyncResult()
        self.waiting[number] = result
        self.send(kind, body, number)
        try:
            return result.get(timeout=timeout)
        except gevent.Timeout:
            raise Closed from None
        finally:
            self.waiting.pop(number, None)

    def write(self) -> None:
        try:
            while not self.closed:
                self.some.wait()
                self.some.clear()
                out, self.out = b"".join(self.out), []
                if out:
                    self.sock.sendall(out)
        except OSError:
            self.close()

    def exactly(self, size: int) -> bytes:
        parts = bytearray()
        while len(parts) < size:
            data = self.sock.recv(min(65536, size - len(parts)))
            if not data:
                raise OSError
            parts += data
        return bytes(parts)

    def read(self) -> None:
        try:
            while not self.closed:
                size, = HEAD.unpack(self.exactly(4))
                if size > MOST:
                    raise OSError
                number, kind, body = UNPACK.decode(self.exactly(size))
                if number < 0:
                    if result := self.waiting.get(-number):
                        result.set(body)
                elif handler := self.handlers.get(kind):
                    if number:
                        gevent.spawn(self.answer, handler, number, body)
                    else:
                        handler(self, body)
        except (OSError, msgspec.DecodeError, ValueError, TypeError):
            pass
        finally:
            self.close()

    def answer(self, handler, number, body) -> None:
        self.send("", handler(self, body), -number)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.some.set()
        self.sock.close()
        for result in [*self.waiting.values()]:
            result.set_exception(Closed())
        for told in self.on_close:
            told(self)


def dial(address: tuple[str, int], handlers: dict[str, Callable], timeout: float = 1.0,
         mute_ms: int = 1500) -> Link:
    """A link to another pilot.  Raises OSError."""
    sock = socket.create_connection(address, timeout=timeout)
    sock.settimeout(None)
    return Link(sock, handlers, mute_ms)
