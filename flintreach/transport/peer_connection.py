"""A connection between two processes: requests, responses and one-way messages in both directions.

Each message is [number, kind, body] in MessagePack, preceded by its length in four bytes.  A response is
[-number, "", body], or [-number, "error", None] if the request failed; messages with number 0 have no
response.  Numbers are the correlation IDs of one connection and are never reused, so a late response is not
attributed to another request.  A request is sent at most once: retries are left to the caller, who knows
whether they are safe.  A connection whose data stays unacknowledged for too long is closed, because a
partitioned peer sends nothing, and pending requests would accumulate.
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

RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: close discards unsent data and resets the connection
LENGTH = struct.Struct(">I")  # length prefix of each message
MAX_MESSAGE_BYTES = 16 << 20
MAX_QUEUED_BYTES = 2 * MAX_MESSAGE_BYTES  # beyond this, the peer does not read, and the connection is closed
MAX_PENDING_REQUESTS = 4096  # requests of this process without a response
MAX_RUNNING_HANDLERS = 1024  # requests of the peer in progress
RECEIVE_BYTES = 65536
USER_TIMEOUT_MS = 1500  # TCP_USER_TIMEOUT: maximum time for which data may stay unacknowledged

# Kinds of responses on the wire; fixed for compatibility with earlier releases.
ANSWER_KIND = ""
ERROR_KIND = "error"

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder()

Address = tuple[str, int]  # IP address and port
MessageHandler = Callable[["PeerConnection", Any], Any]  # called with the connection and the body
MessageHandlers = dict[str, MessageHandler]  # by kind of message


def configure_socket(sock: socket.socket, user_timeout_ms: int) -> socket.socket:
    """Set the options of a connection between processes, and return the socket.

    Without TCP_USER_TIMEOUT, a connection to a machine that lost power would hang indefinitely.

    Args:
        sock: a TCP socket.
        user_timeout_ms: milliseconds for which sent data may stay unacknowledged before the kernel closes the
            connection.

    Source: RFC 5482 (TCP_USER_TIMEOUT).
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)
    return sock


class ConnectionClosed(Exception):
    """No response: the connection was closed, the request timed out, or the peer failed to handle it.

    It is not known whether the peer acted on the request.
    """


class HandlerFailed(Exception):
    """A handler raised an exception, which was counted and logged."""


class PeerConnection:
    """A connection to a peer, served by a reader and a writer greenlet.

    `handlers[kind](connection, body)` handles received messages.  For a request, it runs in a separate
    greenlet, and its return value is the response.  For a one-way message it runs in the reader greenlet,
    which preserves the order of these messages.

    Attributes:
        closed: whether the connection is closed.
        on_close: called with the connection when it is closed.
        meter: counts traffic and faults.
        greenlets: the reader and the writer.
    """

    def __init__(
        self,
        sock: socket.socket,
        handlers: MessageHandlers,
        user_timeout_ms: int = USER_TIMEOUT_MS,
        meter: TrafficMeter | None = None,
    ) -> None:
        """Serve a connected socket.

        Args:
            sock: the socket; closed with the connection.
            handlers: handlers by kind of message; kinds may be added later.
            user_timeout_ms: see `configure_socket`.
            meter: counts traffic and faults; by default a separate meter.
        """
        self.sock = configure_socket(sock, user_timeout_ms)
        self.handlers = handlers
        self.meter = meter or TrafficMeter()
        self.pending: dict[int, tuple[str, AsyncResult]] = {}  # request number -> kind and result
        self.last_number = 0
        self.outgoing: list[bytes] = []
        self.outgoing_added = Event()
        self.queued_bytes = 0  # not yet accepted by the kernel
        self.running_handlers = 0  # requests of the peer in progress
        self.closed = False
        self.on_close: list[Callable[[PeerConnection], None]] = []
        self.greenlets = [gevent.spawn(self.read), gevent.spawn(self.write)]

    def send(self, kind: str, body: Any = None, number: int = 0) -> bool:
        """Queue a message.

        Args:
            kind: selects the handler of the peer.
            body: any object that msgpack can encode.
            number: correlation ID; 0 for a one-way message.

        Returns:
            False if the message is not sent, because the connection is closed or the message exceeds the
            size limit of the peer.
        """
        return self._enqueue(kind, kind, body, number)

    def _enqueue(self, label: str, kind: str, body: Any, number: int) -> bool:
        """Queue a message, and count it under `label`; see `send`."""
        if self.closed:
            return False
        message = ENCODER.encode([number, kind, body])
        size = len(message)
        if size > MAX_MESSAGE_BYTES:  # the peer would close the connection
            self.meter.count_fault("too long")
            return False
        if self.queued_bytes + size > MAX_QUEUED_BYTES:
            self.meter.count_fault("peer does not read")
            self.close()
            return False
        self.queued_bytes += size
        self.outgoing.append(LENGTH.pack(size) + message)
        self.outgoing_added.set()
        self.meter.count_sent(label, size)
        return True

    def ask(self, kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        """Send a request, and wait for its response.

        Args:
            kind: selects the handler of the peer.
            body: any object that msgpack can encode.
            timeout: seconds to wait.

        Raises:
            ConnectionClosed: the connection was closed, the peer failed to handle the request, the request
                timed out, or too many requests are pending.
        """
        if self.closed or len(self.pending) >= MAX_PENDING_REQUESTS:
            raise ConnectionClosed
        self.last_number += 1
        number = self.last_number
        result = AsyncResult()
        self.pending[number] = (kind, result)
        try:
            if not self.send(kind, body, number):
                raise ConnectionClosed
            result.wait(timeout)  # a gevent.Timeout of the caller propagates
            if not result.ready():
                raise ConnectionClosed
            return result.get()
        finally:
            self.pending.pop(number, None)

    def write(self) -> None:
        """Send queued messages, joined into one write, until the connection is closed."""
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
        """Receive `size` bytes.

        Raises:
            OSError: the connection was closed or failed first.
        """
        data = bytearray()
        while len(data) < size:
            chunk = self.sock.recv(min(RECEIVE_BYTES, size - len(data)))
            if not chunk:
                raise OSError
            data += chunk
        return bytes(data)

    def read(self) -> None:
        """Receive messages until the connection is closed; a malformed message closes it."""
        try:
            while not self.closed:
                (size,) = LENGTH.unpack(self._receive_exactly(LENGTH.size))
                if size > MAX_MESSAGE_BYTES:
                    raise ValueError
                number, kind, body = DECODER.decode(self._receive_exactly(size))
                if type(number) is not int or type(kind) is not str:
                    raise ValueError
                self._handle_message(number, kind, body, size)
        except OSError:
            pass
        except (msgspec.DecodeError, ValueError, TypeError, RecursionError):
            self.meter.count_fault("no message")
        finally:
            self.close()

    def _handle_message(self, number: int, kind: str, body: Any, size: int) -> None:
        """Handle a received message of `size` bytes."""
        if number < 0:
            self._handle_response(-number, kind, body, size)
            return
        handler = self.handlers.get(kind)
        self.meter.count_received(kind if handler else "unknown", size)  # a peer must not add rows
        if not number:
            self._handle_notification(handler, kind, body)
        elif handler is None or self.running_handlers >= MAX_RUNNING_HANDLERS:
            self.meter.count_fault("too many questions" if handler else "unknown question")
            self._enqueue(ERROR_KIND, ERROR_KIND, None, -number)
        else:
            self.running_handlers += 1
            gevent.spawn(self._respond, handler, kind, number, body)

    def _handle_response(self, number: int, kind: str, body: Any, size: int) -> None:
        # Remove the entry now, so that neither a duplicate response nor a close can change the result.
        request_kind, result = self.pending.pop(number, ("late", None))
        self.meter.count_received(f"{request_kind}{REPLY_SUFFIX}", size)
        if result is None:
            return
        if kind == ERROR_KIND:
            result.set_exception(ConnectionClosed())
        else:
            result.set(body)

    def _handle_notification(self, handler: MessageHandler | None, kind: str, body: Any) -> None:
        """Handle a one-way message."""
        if handler is None:
            return
        try:
            self._call(handler, kind, body)
        except HandlerFailed:
            # A failed update leaves a gap in the peer's updates, which only the full comparison at the start
            # of a new connection fills.
            self.close()

    def _call(self, handler: MessageHandler, kind: str, body: Any) -> Any:
        """Call a handler, and return its result.

        Raises:
            HandlerFailed: the handler raised; the fault was counted and passed to gevent's error handler.
        """
        try:
            return handler(self, body)
        except (Exception, gevent.Timeout) as error:
            self.meter.count_fault(f"{kind} failed")
            gevent.get_hub().handle_error(self, *sys.exc_info())
            raise HandlerFailed from error

    def _respond(self, handler: MessageHandler, kind: str, number: int, body: Any) -> None:
        """Handle a request of the peer, and send a response or an error."""
        responded = False
        try:
            response = self._call(handler, kind, body)
            responded = self._enqueue(f"{kind}{REPLY_SUFFIX}", ANSWER_KIND, response, -number)
        except HandlerFailed:
            pass
        except (TypeError, ValueError, OverflowError):  # the response cannot be encoded
            self.meter.count_fault(f"{kind} failed")
        finally:
            self.running_handlers -= 1
        if not responded:
            self._enqueue(ERROR_KIND, ERROR_KIND, None, -number)

    def close(self) -> None:
        """Close the connection: fail pending requests, and call `on_close`; further calls have no effect."""
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
    user_timeout_ms: int = USER_TIMEOUT_MS,
    meter: TrafficMeter | None = None,
) -> PeerConnection:
    """Connect to another process.

    Args:
        address: address of its listening socket.
        handlers: handlers for messages received on this connection, by kind.
        timeout: maximum number of seconds to establish the connection.
        user_timeout_ms: see `configure_socket`.
        meter: counts traffic and faults.

    Raises:
        OSError: the connection could not be established.
    """
    sock = socket.create_connection(address, timeout=timeout)
    sock.settimeout(None)
    return PeerConnection(sock, handlers, user_timeout_ms, meter)
