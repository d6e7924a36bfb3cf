"""One connection between two processes: messages both ways, questions with answers, and its end.

Over TCP, each message is msgpack behind four bytes of length: [number, kind, body].  An answer is
[-number, "", body], or [-number, "error", None] where there will be none; number 0 wants no answer.  Numbers
are the correlation ids of one connection and are never used again, so an answer that comes late meets nobody.
A question goes out once at the most: retries are the caller's, who knows whether they may be.  A connection
that stays mute past its limit is closed: a peer behind a partition says nothing, and calls that hang would
pile up.
"""

import struct
import sys
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent import socket
from gevent.event import AsyncResult, Event

from flintreach.transport.traffic_meter import REPLY_SUFFIX, TrafficMeter

RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: a close drops what still waits to be sent
LENGTH = struct.Struct(">I")  # before each message
MAX_MESSAGE_BYTES = 16 << 20
MAX_QUEUED_BYTES = 2 * MAX_MESSAGE_BYTES  # for a peer that does not read; beyond that the connection ends
MAX_PENDING_QUESTIONS = 4096  # of ours without an answer yet
MAX_RUNNING_HANDLERS = 1024  # the peer's questions that are worked on
RECEIVE_BYTES = 65536
USER_TIMEOUT_MS = 1500  # for which data may stay unacknowledged

# Kinds of answers, as earlier releases sent them.
ANSWER_KIND = ""
ERROR_KIND = "error"

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder()

Address = tuple[str, int]  # IP address and port
MessageHandler = Callable[["PeerConnection", Any], Any]  # called with the connection and the body
MessageHandlers = dict[str, MessageHandler]  # by kind


def configure_socket(sock: socket.socket, mute_ms: int) -> socket.socket:
    """Set what a connection between processes needs, and give the socket back.

    Without it a connection to a machine that lost its power hangs for good.

    Args:
        sock: a TCP socket.
        mute_ms: for how many milliseconds sent data may stay unacknowledged before the kernel ends the
            connection.

    Source: RFC 5482 (TCP_USER_TIMEOUT).
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, mute_ms)
    return sock


class ConnectionClosed(Exception):
    """No answer: the connection ended, time is up, or the peer could not.

    Whether the peer acted on the question is not known.
    """


class HandlerFailed(Exception):
    """A handler raised, which was counted and logged."""


class PeerConnection:
    """One connection to a peer, served by two greenlets of its own.

    `handlers[kind](connection, body)` runs in a greenlet of its own for a question, where what it returns is
    the answer; for a message that wants no answer it runs in the reader, so these keep their order.

    Attributes:
        closed: whether the connection has ended.
        on_close: called with the connection when it ends.
        meter: counts traffic and faults.
        readers: the two greenlets.
    """

    def __init__(
        self,
        sock: socket.socket,
        handlers: MessageHandlers,
        mute_ms: int = USER_TIMEOUT_MS,
        meter: TrafficMeter | None = None,
    ) -> None:
        """Serve a socket that is connected.

        Args:
            sock: the socket; closed with the connection.
            handlers: by kind of message; kinds may be added later.
            mute_ms: see `configure_socket`.
            meter: where to count; by default a meter of its own.
        """
        self.sock = configure_socket(sock, mute_ms)
        self.handlers = handlers
        self.meter = meter or TrafficMeter()
        self.pending: dict[int, tuple[str, AsyncResult]] = {}  # number -> kind and result of a question
        self.last_number = 0
        self.outgoing: list[bytes] = []
        self.outgoing_added = Event()
        self.queued_bytes = 0  # not yet taken by the kernel
        self.running_handlers = 0  # questions of the peer that are worked on
        self.closed = False
        self.on_close: list[Callable[[PeerConnection], None]] = []
        self.readers = [gevent.spawn(self.read), gevent.spawn(self.write)]

    def send(self, kind: str, body: Any = None, number: int = 0) -> bool:
        """Queue a message.

        Args:
            kind: which handler of the peer takes it.
            body: what msgpack can encode.
            number: correlation id; 0 wants no answer.

        Returns:
            False where it does not go out: the connection has ended, or the message is too long for the peer.
        """
        return self._enqueue(kind, kind, body, number)

    def _enqueue(self, label: str, kind: str, body: Any, number: int) -> bool:
        """Queue a message, counted under `label`; see `send`."""
        if self.closed:
            return False
        message = ENCODER.encode([number, kind, body])
        size = len(message)
        if size > MAX_MESSAGE_BYTES:  # the peer would end the connection over it
            self.meter.fault("too long")
            return False
        if self.queued_bytes + size > MAX_QUEUED_BYTES:
            self.meter.fault("peer does not read")
            self.close()
            return False
        self.queued_bytes += size
        self.outgoing.append(LENGTH.pack(size) + message)
        self.outgoing_added.set()
        self.meter.sent(label, size)
        return True

    def ask(self, kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        """Send a question, and wait for its answer.

        Args:
            kind: which handler of the peer takes it.
            body: what msgpack can encode.
            timeout: seconds to wait.

        Raises:
            ConnectionClosed: the connection ended, the peer has no answer, `timeout` is over, or too many
                questions wait already.
        """
        if self.closed or len(self.pending) >= MAX_PENDING_QUESTIONS:
            raise ConnectionClosed
        self.last_number += 1
        number = self.last_number
        result = AsyncResult()
        self.pending[number] = (kind, result)
        try:
            if not self.send(kind, body, number):
                raise ConnectionClosed
            result.wait(timeout)  # a gevent.Timeout of the caller's own passes through
            if not result.ready():
                raise ConnectionClosed
            return result.get()
        finally:
            self.pending.pop(number, None)

    def write(self) -> None:
        """Send what is queued until the connection ends; all that waits goes out in one piece."""
        try:
            while not self.closed:
                self.outgoing_added.wait()
                self.outgoing_added.clear()
                size = self.queued_bytes
                data = b"".join(self.outgoing)
                self.outgoing = []
                if data:
                    self.sock.sendall(data)
                    self.queued_bytes -= size
        except OSError:
            self.close()

    def _receive_exactly(self, size: int) -> bytes:
        """Receive `size` bytes.  Raises OSError where the connection ends before."""
        data = bytearray()
        while len(data) < size:
            part = self.sock.recv(min(RECEIVE_BYTES, size - len(data)))
            if not part:
                raise OSError
            data += part
        return bytes(data)

    def read(self) -> None:
        """Receive messages until the connection ends, which bytes that are no message bring about."""
        try:
            while not self.closed:
                (size,) = LENGTH.unpack(self._receive_exactly(LENGTH.size))
                if size > MAX_MESSAGE_BYTES:
                    raise ValueError
                number, kind, body = DECODER.decode(self._receive_exactly(size))
                if type(number) is not int or type(kind) is not str:
                    raise ValueError
                self._take(number, kind, body, size)
        except OSError:
            pass
        except (msgspec.DecodeError, ValueError, TypeError, RecursionError):
            self.meter.fault("no message")
        finally:
            self.close()

    def _take(self, number: int, kind: str, body: Any, size: int) -> None:
        """Handle one message that came, of `size` bytes."""
        if number < 0:
            self._take_answer(-number, kind, body, size)
            return
        handler = self.handlers.get(kind)
        self.meter.received(kind if handler else "unknown", size)  # a peer's kinds must not grow the table
        if not number:
            self._take_notice(handler, kind, body)
        elif handler is None or self.running_handlers >= MAX_RUNNING_HANDLERS:
            self.meter.fault("too many questions" if handler else "unknown question")
            self._enqueue(ERROR_KIND, ERROR_KIND, None, -number)
        else:
            self.running_handlers += 1
            gevent.spawn(self._answer, handler, kind, number, body)

    def _take_answer(self, number: int, kind: str, body: Any, size: int) -> None:
        # Taken out at once: a surplus answer finds nobody, and an end of the connection takes nothing back.
        asked_kind, result = self.pending.pop(number, ("late", None))
        self.meter.received(f"{asked_kind}{REPLY_SUFFIX}", size)
        if result is None:
            return
        if kind == ERROR_KIND:
            result.set_exception(ConnectionClosed())
        else:
            result.set(body)

    def _take_notice(self, handler: MessageHandler | None, kind: str, body: Any) -> None:
        """Handle a message that wants no answer."""
        if handler is None:
            return
        try:
            self._call(handler, kind, body)
        except HandlerFailed:
            # An update that was not taken leaves a gap: only a new connection, which begins with all,
            # closes it.
            self.close()

    def _call(self, handler: MessageHandler, kind: str, body: Any) -> Any:
        """Call a handler, and give what it returned.

        Raises:
            HandlerFailed: it raised; the fault was counted and handed to gevent's error log.
        """
        try:
            return handler(self, body)
        except (Exception, gevent.Timeout) as error:
            self.meter.fault(f"{kind} failed")
            gevent.get_hub().handle_error(self, *sys.exc_info())
            raise HandlerFailed from error

    def _answer(self, handler: MessageHandler, kind: str, number: int, body: Any) -> None:
        """Work on a question of the peer, and answer it, if only by an error."""
        answered = False
        try:
            answer = self._call(handler, kind, body)
            answered = self._enqueue(f"{kind}{REPLY_SUFFIX}", ANSWER_KIND, answer, -number)
        except HandlerFailed:
            pass
        except (TypeError, ValueError, OverflowError):  # what msgpack can't encode
            self.meter.fault(f"{kind} failed")
        finally:
            self.running_handlers -= 1
        if not answered:
            self._enqueue(ERROR_KIND, ERROR_KIND, None, -number)

    def close(self) -> None:
        """End the connection: questions fail, and `on_close` is called.  A second call does nothing."""
        if self.closed:
            return
        self.closed = True
        self.outgoing = []
        self.outgoing_added.set()
        self.sock.close()
        while self.pending:
            _, (_, result) = self.pending.popitem()
            result.set_exception(ConnectionClosed())
        for watcher in self.on_close:
            watcher(self)


def dial(
    address: Address,
    handlers: MessageHandlers,
    timeout: float = 1.0,
    mute_ms: int = USER_TIMEOUT_MS,
    meter: TrafficMeter | None = None,
) -> PeerConnection:
    """Connect to another process.

    Args:
        address: of its listening socket.
        handlers: for what it sends on this connection.
        timeout: seconds in which the connection must come up.
        mute_ms: see `configure_socket`.
        meter: where to count traffic.

    Raises:
        OSError: no connection came up.
    """
    sock = socket.create_connection(address, timeout=timeout)
    sock.settimeout(None)
    return PeerConnection(sock, handlers, mute_ms, meter)
