"""One connection between two pilots: messages both ways, questions with answers, and its end.

A message is [number, kind, body]; an answer is [-number, "", body], or [-number, "error", None] where there
will be none; number 0 wants no answer.  Numbers are the correlation ids of one link and are never used again,
so an answer that comes late meets nobody.  A question goes out once at the most: what is to be asked again is
asked by its caller, who knows whether that may be.  A link that stays mute past its limit is closed: a peer
behind a cut says nothing, and hangs would pile up.
"""

import struct
import sys
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult, Event

from flintreach.transport.traffic_meter import TrafficMeter

RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: a close drops what still waits to be sent
HEAD, MOST = struct.Struct(">I"), 16 << 20
QUEUED = 2 * MOST  # bytes that may wait for a peer that does not read; beyond that the link ends
WAITING, HANDLED = 4096, 1024  # questions of ours without an answer yet; the peer's that are worked on
PACK, UNPACK = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder()


def braced(sock: socket.socket, mute_ms: int) -> socket.socket:
    """Without these a connection to a machine without power hangs for good."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, mute_ms)
    return sock


class ConnectionClosed(Exception):
    """No answer: the link ended, time is up, or the peer could not. Whether it was acted on is not known."""


class PeerConnection:
    """`handlers[kind](link, body)` runs in a greenlet of its own; what it returns is the answer."""

    def __init__(
        self, sock, handlers: dict[str, Callable], mute_ms: int = 1500, meter: TrafficMeter | None = None
    ):
        self.sock, self.handlers, self.meter = braced(sock, mute_ms), handlers, meter or TrafficMeter()
        self.waiting: dict[int, tuple[str, AsyncResult]] = {}
        self.out, self.some, self.number = [], Event(), 0
        self.queued, self.handled = 0, 0  # bytes not yet taken by the kernel; questions worked on
        self.closed, self.on_close = False, []
        self.readers = [gevent.spawn(self.read), gevent.spawn(self.write)]

    def send(self, kind: str, body: Any = None, number: int = 0) -> bool:
        """False where it does not go out: the link has ended, or the message is too long for the peer."""
        return self.put(kind, kind, body, number)

    def put(self, label: str, kind: str, body: Any, number: int) -> bool:
        if self.closed:
            return False
        message = PACK.encode([number, kind, body])
        if len(message) > MOST:  # the peer would end the link over it
            self.meter.fault("too long")
            return False
        if self.queued + len(message) > QUEUED:
            self.meter.fault("peer does not read")
            self.close()
            return False
        self.queued += len(message)
        self.out.append(HEAD.pack(len(message)) + message)
        self.some.set()
        self.meter.went(label, len(message))
        return True

    def ask(self, kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        """The peer's answer.  Raises Closed when the link ends, the peer has none, or `timeout` seconds are
        over."""
        if self.closed or len(self.waiting) >= WAITING:
            raise ConnectionClosed
        self.number += 1
        number, result = self.number, AsyncResult()
        self.waiting[number] = kind, result
        try:
            if not self.send(kind, body, number):
                raise ConnectionClosed
            result.wait(timeout)  # a timeout of the caller's own passes through
            if not result.ready():
                raise ConnectionClosed
            return result.get()
        finally:
            self.waiting.pop(number, None)

    def write(self) -> None:
        try:
            while not self.closed:
                self.some.wait()
                self.some.clear()
                size, out, self.out = self.queued, b"".join(self.out), []
                if out:
                    self.sock.sendall(out)
                    self.queued -= size
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
                (size,) = HEAD.unpack(self.exactly(4))
                if size > MOST:
                    raise ValueError
                number, kind, body = UNPACK.decode(self.exactly(size))
                if type(number) is not int or type(kind) is not str:
                    raise ValueError
                self.take(number, kind, body, size)
        except OSError:
            pass
        except (msgspec.DecodeError, ValueError, TypeError, RecursionError):
            self.meter.fault("no message")
        finally:
            self.close()

    def take(self, number: int, kind: str, body: Any, size: int) -> None:
        if number < 0:
            # Taken out at once: a surplus answer finds nobody, and an end of the link takes nothing back.
            asked, result = self.waiting.pop(-number, ("late", None))
            self.meter.came(f"{asked} reply", size)
            if result is not None and kind == "error":
                result.set_exception(ConnectionClosed())
            elif result is not None:
                result.set(body)
            return
        handler = self.handlers.get(kind)
        self.meter.came(kind if handler else "unknown", size)  # a peer's words must not grow the table
        if not number:
            # News that were not taken leave a gap: only a new link, which begins with all, closes it.
            if handler and not self.handle(handler, kind, body)[0]:
                self.close()
        elif handler is None or self.handled >= HANDLED:
            self.meter.fault("too many questions" if handler else "unknown question")
            self.put("error", "error", None, -number)
        else:
            self.handled += 1
            gevent.spawn(self.answer, handler, kind, number, body)

    def handle(self, handler, kind: str, body: Any) -> tuple[bool, Any]:
        """Whether the handler came to its end, and what it returned; a fault of its own is counted."""
        try:
            return True, handler(self, body)
        except (Exception, gevent.Timeout):
            self.meter.fault(f"{kind} failed")
            gevent.get_hub().handle_error(self, *sys.exc_info())
            return False, None

    def answer(self, handler, kind: str, number: int, body: Any) -> None:
        try:
            good, found = self.handle(handler, kind, body)
            good = good and self.put(f"{kind} reply", "", found, -number)
        except (TypeError, ValueError, OverflowError):  # what msgpack can't tell
            self.meter.fault(f"{kind} failed")
            good = False
        finally:
            self.handled -= 1
        if not good:
            self.put("error", "error", None, -number)

    def close(self) -> None:
        if self.closed:
            return
        self.closed, self.out = True, []
        self.some.set()
        self.sock.close()
        while self.waiting:
            self.waiting.popitem()[1][1].set_exception(ConnectionClosed())
        for told in self.on_close:
            told(self)


def dial(
    address: tuple[str, int],
    handlers: dict[str, Callable],
    timeout: float = 1.0,
    mute_ms: int = 1500,
    meter: TrafficMeter | None = None,
) -> PeerConnection:
    """A link to another pilot.  Raises OSError."""
    sock = socket.create_connection(address, timeout=timeout)
    sock.settimeout(None)
    return PeerConnection(sock, handlers, mute_ms, meter)
