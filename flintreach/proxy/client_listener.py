"""Clients' connections, on gevent's WSGI server with a custom connection handler.

The library's handler decodes paths, accepts two lengths in one request, and processes the requests of a
connection one at a time.  Here `request_parser` reads the requests, and pipelined idempotent requests are
forwarded in parallel and answered in order (RFC 9112, section 9.3.2).
"""

import errno
import sys
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent import pywsgi, socket
from gevent.event import Event

from flintreach.config.configuration import RequestLimits
from flintreach.proxy.caller import Caller, ClientDisconnected, HangupMonitor
from flintreach.proxy.exchange import MAX_JOINED_BODY_BYTES
from flintreach.proxy.forwarding import Forwarder
from flintreach.proxy.message_memory import RequestMemory
from flintreach.proxy.metrics import NO_MEMORY
from flintreach.proxy.request import (
    NO_CONTENT,
    NOT_MODIFIED,
    RETRY_AFTER_S,
    ClientResponse,
    Request,
    error_response,
)
from flintreach.proxy.request_parser import BadRequest, ByteSource, Reserve, parse_head, read_body
from flintreach.proxy.response import parse_count

MS_PER_S = 1000

# Maximum number of pipelined requests of one connection that are processed at once.
MAX_PIPELINED = 8

# How long a client's data is still read and discarded after a response that closes its connection.
LINGER_S = 0.3

# Likewise after a response to a request whose body was not read: its client may read no response before it
# has sent the whole body.
UNREAD_BODY_LINGER_S = 5.0
SERVICE_UNAVAILABLE = 503
UNREAD_BODY_STATUSES = (413, SERVICE_UNAVAILABLE)

# How long a request waits for memory: in seconds, and as a part of the time that its client has left.
MAX_MEMORY_WAIT_S = 2.0
MEMORY_WAIT_FRACTION = 0.5

LINGER_READ_SIZE = 65536

# Length of the kernel's queue of connections that are not accepted yet.
BACKLOG = 512

END_OF_HEAD = b"\r\n\r\n"
EMPTY_LINE = b"\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def response_head(response: ClientResponse, request: Request | None, close: bool) -> bytes:
    """The head of a response as it is sent to the client.

    Args:
        response: the response.
        request: the request that it belongs to; None if that could not be parsed.
        close: whether the connection is closed after it.
    """
    lines = [f"HTTP/1.1 {response.status} {response.reason}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    names = {name.lower() for name, _ in response.headers}
    request_id = request.headers_by_name.get("x-try-id") if request else None
    if request_id and "x-try-id" not in names:
        lines.append(f"X-Try-Id: {request_id}")
    # The response to a HEAD has only the endpoint's length, if any: no length does not mean 0 (RFC 9110,
    # section 8.6).
    has_no_body = response.status in (NO_CONTENT, NOT_MODIFIED) or is_head(request)
    if "content-length" not in names and not has_no_body:
        lines.append(f"Content-Length: {len(response.body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def is_head(request: Request | None) -> bool:
    """Whether it is a HEAD request, whose response has no body (RFC 9110, section 9.3.2)."""
    return request is not None and request.method == "HEAD"


class ClientHandler(pywsgi.WSGIHandler):
    """Handler of one client's connection.

    Attributes:
        source: buffered reader of the connection.
        reading: whether a request is being read, or waits for memory before its body is read.
        pending: number of requests that have been read but not yet answered.
        waiting: number of these that are not forwarded before the previous one is answered.
        last_answered: set when the most recent pipelined request has been answered.
        closing: whether no further requests are read or answered.
        lingering: whether data is discarded that the client sends after the last response.
        linger_s: how long.
        caller: the client, shared by all requests of the connection.
    """

    def __init__(
        self,
        sock: socket.socket,
        address: tuple[str, int],
        server: "ClientListener",
        rfile: Any = None,
    ) -> None:
        self.socket = sock
        self.client_address = address
        self.server = server
        self.source = ByteSource(sock)
        self.reading = False
        self.pending = 0
        self.waiting = 0
        self.last_answered: Event | None = None
        self.closing = False
        self.lingering = False
        self.linger_s = LINGER_S
        self.caller = Caller()
        self.caller.disconnect_callbacks.append(self.on_client_disconnected)

    def handle(self) -> None:
        """Serve requests until the connection ends; the server calls this in a greenlet per connection."""
        self.server.handlers.add(self)
        try:
            self.server.hangup_monitor.add(self.socket, self.caller)
            while not self.closing and self.serve_next_request():
                pass
        except BadRequest as error:
            self.reject(error.status)
        except (OSError, gevent.Timeout):
            pass
        finally:
            self.wait_for_pipelined()
            self.linger()
            self.server.handlers.discard(self)
            self.close()

    def serve_next_request(self) -> bool:
        """Read the next request and start forwarding it; False if there is none.

        No reference to it is left, so its memory is free while the connection waits for the next one.
        """
        request = self.read_request()
        self.reading = False
        if request is None or self.closing:
            return False
        self.dispatch(request)
        return True

    def wait_for_pipelined(self) -> None:
        """Wait until all pipelined requests read so far have been answered."""
        if self.last_answered is not None:
            self.last_answered.wait()

    def read_request(self) -> Request | None:
        """Read the next request of the connection; None at its end.

        Raises:
            BadRequest: the request is rejected, or was not received in time.
            OSError: the connection failed.
        """
        limits = self.server.limits()
        source = self.source
        if not source.buffer:
            self.socket.settimeout(limits.idle_ms / MS_PER_S)
            if not source.receive():
                return None
            self.socket.settimeout(None)
        self.reading = True
        try:
            with gevent.Timeout(limits.header_ms / MS_PER_S):
                request = self.read_head(limits)
            if request is None:
                return None
            reserve = self.reserve_memory(request)
            reserve(0)
            if not self.send_continue_if_expected(request):
                return None
            with gevent.Timeout(limits.idle_ms / MS_PER_S):
                request.body = read_body(source, request, limits.body_bytes, reserve)
        except gevent.Timeout:
            raise BadRequest(408) from None
        request.received_at = time.monotonic_ns()
        return request

    def read_head(self, limits: RequestLimits) -> Request | None:
        """Read the head of the next request; None at the end of the connection.

        Raises:
            BadRequest: the request is rejected.
        """
        source = self.source
        # Empty lines before a request are ignored (RFC 9112, section 2.2).
        while source.buffer.startswith(EMPTY_LINE):
            del source.buffer[: len(EMPTY_LINE)]
            if not source.buffer and not source.receive():
                return None
        head = source.read_until(END_OF_HEAD, limits.header_bytes)
        if head is None:
            return None
        request = parse_head(head)
        request.caller = self.caller
        return request

    def reserve_memory(self, request: Request) -> Reserve:
        """Return a function that reserves memory for the request with a body of the given length in bytes.

        It waits for memory for a part of the time that the client waits, and then raises `BadRequest`.
        """
        forwarder = self.server.forwarder
        request.memory = RequestMemory(forwarder.memory)
        wait_s = MAX_MEMORY_WAIT_S
        time_left_ms = parse_count(request.headers_by_name.get("x-time-left-ms", ""))
        if time_left_ms is not None:
            wait_s = min(wait_s, MEMORY_WAIT_FRACTION * time_left_ms / MS_PER_S)
        give_up_at = time.monotonic() + wait_s

        def reserve(size: int) -> None:
            remaining_s = max(0.0, give_up_at - time.monotonic())
            if not request.memory.grow_to(size, remaining_s):
                forwarder.metrics.count(NO_MEMORY)
                raise BadRequest(SERVICE_UNAVAILABLE)

        return reserve

    def send_continue_if_expected(self, request: Request) -> bool:
        """Send 100 Continue if the request expects it (RFC 9110, section 10.1.1).

        Returns:
            False if the connection is closed before that.
        """
        if request.headers_by_name.get("expect", "").lower() != "100-continue":
            return True
        # Responses to earlier requests come first, and one of them may be partly written.
        self.wait_for_pipelined()
        if self.closing:
            return False
        self.socket.sendall(CONTINUE)
        return True

    def dispatch(self, request: Request) -> None:
        """Start forwarding a request; return when the next one may be read."""
        close = "close" in request.headers_by_name.get("connection", "").lower()
        if not self.may_forward_in_parallel(request, close):
            # A request that must not run twice waits for the responses before it: one of them may close the
            # connection, and the client would then send the request again.
            self.wait_for_pipelined()
            if not self.closing:
                self.forward_sequentially(request, close)
            request.memory.release()
            return
        previous_answered = self.last_answered
        self.last_answered = Event()
        self.pending += 1
        gevent.spawn(self.forward_pipelined, request, previous_answered, self.last_answered)
        if self.pending >= MAX_PIPELINED:
            self.last_answered.wait()

    def may_forward_in_parallel(self, request: Request, close: bool) -> bool:
        """Whether a request may be forwarded in parallel with others of the connection."""
        if request.method not in ("GET", "HEAD") or request.body or close:
            return False
        if self.server.draining:
            return False  # its client sends it again if the response before it closes the connection
        return self.server.forwarder.may_pipeline(request)

    def forward_sequentially(self, request: Request, close: bool) -> None:
        """Forward and answer a request when all earlier ones have been answered."""
        self.pending += 1
        try:
            self.send_response(request, self.forward(request), close)
        finally:
            self.pending -= 1

    def forward_pipelined(self, request: Request, previous_answered: Event | None, answered: Event) -> None:
        """Forward a pipelined request, and answer it after the previous one.

        Args:
            request: the request.
            previous_answered: set when the previous pipelined request has been answered; None for the first.
            answered: set when this request has been answered.
        """
        try:
            # Checked again, as a new configuration may have made the route non-idempotent since it was read.
            if previous_answered is not None and not self.server.forwarder.may_pipeline(request):
                self.waiting += 1
                previous_answered.wait()
                self.waiting -= 1
            response = None if self.closing else self.forward(request)
            if previous_answered is not None:
                previous_answered.wait()
            if not self.closing:
                self.send_response(request, response, False)
        except Exception as error:
            # The client would take the next response for the one that is missing.
            self.closing = True
            self.close()
            if not isinstance(error, OSError):
                raise
        finally:
            self.pending -= 1
            request.memory.release()
            answered.set()

    def forward(self, request: Request) -> ClientResponse:
        """Forward a request; an unexpected exception gives a 502 response.

        Without a response, the client would take the response to the next request for this one's.

        Raises:
            ClientDisconnected: the client has disconnected.
        """
        try:
            return self.server.forwarder.forward(request)
        except ClientDisconnected:
            raise
        except Exception:
            gevent.get_hub().handle_error(self, *sys.exc_info())
            return error_response(502)  # not 503: the request may have run

    def reject(self, status: int) -> None:
        """Reject a request that could not be read, after the earlier responses, and close the connection."""
        self.wait_for_pipelined()
        if self.closing:
            return
        self.linger_s = UNREAD_BODY_LINGER_S if status in UNREAD_BODY_STATUSES else LINGER_S
        retry_after_s = RETRY_AFTER_S if status == SERVICE_UNAVAILABLE else None
        try:
            self.send_response(None, error_response(status, retry_after_s), True)
        except OSError:
            pass

    def send_response(self, request: Request | None, response: ClientResponse, close: bool) -> None:
        """Send a response, and end the connection's sending side after it if required.

        A draining proxy closes a connection after the last response to the requests that it has forwarded.

        Args:
            request: the request; None if it could not be parsed.
            response: the response.
            close: whether the connection must be closed after the response.

        Raises:
            OSError: the connection failed.
        """
        is_last_forwarded = self.pending - self.waiting <= 1
        close = close or response.close or (self.server.draining and is_last_forwarded)
        self.closing = self.closing or close
        head = response_head(response, request, close)
        try:
            self.send_message(head, b"" if is_head(request) else response.body)
        finally:
            response.release_memory()
        if close:
            self.socket.shutdown(socket.SHUT_WR)

    def send_message(self, head: bytes, body: bytes | bytearray) -> None:
        """Send a response's head and body; a client must accept data within the idle limit.

        Raises:
            OSError: the connection failed, or the client accepts no data.
        """
        if len(body) <= MAX_JOINED_BODY_BYTES:
            self.socket.sendall(head + body)
            return
        idle_s = self.server.limits().idle_ms / MS_PER_S
        try:
            for part in (memoryview(head), memoryview(body)):
                sent_bytes = 0
                while sent_bytes < len(part):
                    with gevent.Timeout(idle_s):
                        sent_bytes += self.socket.send(part[sent_bytes:])
        except gevent.Timeout:
            raise OSError(errno.ETIMEDOUT, "the client accepts no data") from None

    def linger(self) -> None:
        """After a response that closes the connection, discard what the client still sends for a while.

        Closing a socket with unread data sends a reset, and the client may lose the response to it (RFC 9112,
        section 9.6).
        """
        if not self.closing:
            return
        self.lingering = True
        try:
            with gevent.Timeout(self.linger_s, False):
                while self.socket.recv(LINGER_READ_SIZE):
                    pass
        except OSError:
            pass

    def on_client_disconnected(self) -> None:
        """Stop reading and forwarding requests when the client disconnects."""
        self.closing = True

    def is_idle(self) -> bool:
        """Whether no request is being read or pending, including data that is still unread in the socket."""
        if self.reading or self.pending or self.lingering or self.source.buffer:
            return False
        try:
            return not self.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError:  # no data
            return True

    def close(self) -> None:
        """Stop watching the connection for hangups and close it."""
        try:
            self.server.hangup_monitor.remove(self.socket)
            self.socket.close()
        except OSError:
            pass


class ClientListener(pywsgi.WSGIServer):
    """The server for clients' connections.

    Args:
        address: address to listen on.
        forwarder: forwards the requests.
        limits: returns the request limits of the current configuration.

    Attributes:
        handlers: handlers of all open connections.
        draining: whether each connection is closed after its next response.
        hangup_monitor: detects clients that disconnect.
    """

    handler_class = ClientHandler

    def __init__(
        self, address: tuple[str, int], forwarder: Forwarder, limits: Callable[[], RequestLimits]
    ) -> None:
        super().__init__(address, application=None, log=None, backlog=BACKLOG)
        self.forwarder = forwarder
        self.limits = limits
        self.handlers: set[ClientHandler] = set()
        self.draining = False
        self.hangup_monitor = HangupMonitor()

    def close_idle(self) -> int:
        """Close the connections on which no request is pending; return their number."""
        idle = [handler for handler in self.handlers if handler.is_idle()]
        for handler in idle:
            handler.close()
        return len(idle)

    def pending_requests(self) -> int:
        """Number of requests that have been read but not yet answered, on all connections."""
        return sum(handler.pending for handler in self.handlers)
