"""Clients' connections: gevent's WSGI server with a handler of our own.

The library's handler decodes paths, takes two lengths in one request and answers one request after the other;
here requests are read by `request_parser`, and idempotent ones that are pipelined are forwarded side by side
and answered in order (RFC 9112, section 9.3.2).
"""

import sys
import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent import pywsgi, socket
from gevent.event import Event

from flintreach.config.configuration import RequestLimits
from flintreach.proxy.caller import Caller, ClientDisconnected, HangupMonitor
from flintreach.proxy.forwarding import Forwarder
from flintreach.proxy.request import NO_CONTENT, NOT_MODIFIED, ClientResponse, Request, error_response
from flintreach.proxy.request_parser import BadRequest, ByteSource, parse_head, read_body

MS_PER_S = 1000

# Pipelined requests of one connection in hand at once.
MAX_PIPELINED = 8

# For so long a client's bytes are still read behind an answer that closes its connection.
LINGER_S = 0.3

LINGER_READ_SIZE = 65536

# Connections that the kernel keeps for this process until it accepts them.
BACKLOG = 512

END_OF_HEAD = b"\r\n\r\n"
EMPTY_LINE = b"\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def answer_head(answer: ClientResponse, request: Request | None, close: bool) -> bytes:
    """The head of an answer, as it goes to the client.

    Args:
        answer: the answer.
        request: the request that it answers, None where that could not be read.
        close: whether the connection ends with it.
    """
    lines = [f"HTTP/1.1 {answer.status} {answer.reason}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    names = {name.lower() for name, _ in answer.headers}
    request_id = request.headers_by_name.get("x-try-id") if request else None
    if request_id and "x-try-id" not in names:
        lines.append(f"X-Try-Id: {request_id}")
    # To HEAD there is only the length that the endpoint told: none is not nought (RFC 9110, section 8.6).
    has_no_body = answer.status in (NO_CONTENT, NOT_MODIFIED) or is_head(request)
    if "content-length" not in names and not has_no_body:
        lines.append(f"Content-Length: {len(answer.body)}")
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def is_head(request: Request | None) -> bool:
    """Whether it is a HEAD request, whose answer has no body (RFC 9110, section 9.3.2)."""
    return request is not None and request.method == "HEAD"


class ClientHandler(pywsgi.WSGIHandler):
    """One client's connection.

    Attributes:
        source: the bytes that come on it.
        pending: requests that have been read and not yet answered.
        last_answered: set when the last pipelined request so far is answered.
        closing: whether nothing more is read or answered.
        reader: the greenlet that reads requests.
        caller: the client, for all requests of the connection.
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
        self.pending = 0
        self.last_answered: Event | None = None
        self.closing = False
        self.reader: gevent.Greenlet | None = None
        self.caller = Caller()
        self.caller.disconnect_callbacks.append(self.on_client_left)

    def handle(self) -> None:
        """Read and answer requests until the connection ends; the server calls it in its own greenlet."""
        self.reader = gevent.getcurrent()
        self.server.handlers.add(self)
        try:
            self.server.hangups.add(self.socket, self.caller)
            while not self.closing:
                request = self.read_next()
                if request is None or self.closing:
                    break
                self.dispatch(request)
        except BadRequest as error:
            self.refuse(error.status)
        except (OSError, gevent.Timeout):
            pass
        finally:
            self.wait_for_pipelined()
            self.server.handlers.discard(self)
            self.close()

    def wait_for_pipelined(self) -> None:
        """Wait until all pipelined requests so far are answered."""
        if self.last_answered is not None:
            self.last_answered.wait()

    def read_next(self) -> Request | None:
        """The next request of the connection; None at its end.

        Raises:
            BadRequest: it is refused, or has not come in time.
            OSError: the connection broke.
        """
        limits = self.server.limits()
        source = self.source
        if not source.buffer:
            self.socket.settimeout(limits.idle_ms / MS_PER_S)
            if not source.receive():
                return None
            self.socket.settimeout(None)
        try:
            with gevent.Timeout(limits.header_ms / MS_PER_S):
                request = self.read_head(limits)
            if request is None or not self.ask_for_body(request):
                return None
            with gevent.Timeout(limits.idle_ms / MS_PER_S):
                request.body = read_body(source, request, limits.body_bytes)
        except gevent.Timeout:
            raise BadRequest(408) from None
        request.received_at = time.monotonic_ns()
        return request

    def read_head(self, limits: RequestLimits) -> Request | None:
        """The head of the next request; None at the end of the connection.

        Raises:
            BadRequest: it is refused.
        """
        source = self.source
        # Empty lines before a request are passed over (RFC 9112, section 2.2).
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

    def ask_for_body(self, request: Request) -> bool:
        """Ask for a body that waits to be asked for (RFC 9110, section 10.1.1).

        Returns:
            False where the connection ends first.
        """
        if request.headers_by_name.get("expect", "").lower() != "100-continue":
            return True
        # An answer to what came before may be half written: nothing may stand inside it or before it.
        self.wait_for_pipelined()
        if self.closing:
            return False
        self.socket.sendall(CONTINUE)
        return True

    def dispatch(self, request: Request) -> None:
        """Begin to forward a request; return when the next one may be read."""
        close = "close" in request.headers_by_name.get("connection", "").lower()
        if not self.may_run_beside(request, close):
            # One that must not run twice runs only when all before it are answered: they may close.
            self.wait_for_pipelined()
            if not self.closing:
                self.run_alone(request, close)
            return
        previous_answered = self.last_answered
        self.last_answered = Event()
        self.pending += 1
        gevent.spawn(self.run_beside, request, previous_answered, self.last_answered)
        if self.pending >= MAX_PIPELINED:
            self.last_answered.wait()

    def may_run_beside(self, request: Request, close: bool) -> bool:
        """Whether a request may be forwarded while others of the connection are."""
        if request.method not in ("GET", "HEAD") or request.body or close:
            return False
        return self.server.forwarder.may_pipeline(request)

    def run_alone(self, request: Request, close: bool) -> None:
        """Forward and answer a request, with none before it under way."""
        self.pending += 1
        try:
            self.send_answer(request, self.forward(request), close)
        finally:
            self.pending -= 1

    def run_beside(self, request: Request, previous_answered: Event | None, answered: Event) -> None:
        """Forward a pipelined request, and answer it behind the one before it.

        Args:
            request: the request.
            previous_answered: set when the pipelined request before it is answered; None: there is none.
            answered: is set when this one is.
        """
        try:
            # Looked up anew: by a configuration that has just come it may be one that must not run twice.
            if previous_answered is not None and not self.server.forwarder.may_pipeline(request):
                previous_answered.wait()
            answer = None if self.closing else self.forward(request)
            if previous_answered is not None:
                previous_answered.wait()
            if not self.closing:
                self.send_answer(request, answer, False)
        except Exception as error:
            # Without this answer the next would stand in its place.
            self.closing = True
            self.close()
            if not isinstance(error, OSError):
                raise
        finally:
            self.pending -= 1
            answered.set()

    def forward(self, request: Request) -> ClientResponse:
        """The answer to a request, whatever happens: a gap among the answers would be filled by the next one.

        Raises:
            ClientDisconnected: nobody waits for any answer on this connection.
        """
        try:
            return self.server.forwarder.forward(request)
        except ClientDisconnected:
            raise
        except Exception:
            gevent.get_hub().handle_error(self, *sys.exc_info())
            return error_response(502)  # no promise: it may have run

    def refuse(self, status: int) -> None:
        """Refuse what could not be read; that ends the connection, behind the answers to what came before."""
        self.wait_for_pipelined()
        if self.closing:
            return
        try:
            self.send_answer(None, error_response(status), True)
        except OSError:
            pass

    def send_answer(self, request: Request | None, answer: ClientResponse, close: bool) -> None:
        """Send an answer, and end the connection behind it where that is due.

        Args:
            request: the request, None where it could not be read.
            answer: its answer.
            close: whether the connection must end with it.

        Raises:
            OSError: the connection broke.
        """
        close = close or answer.close or self.server.draining
        self.closing = self.closing or close
        head = answer_head(answer, request, close)
        self.socket.sendall(head if is_head(request) else head + answer.body)
        if not close:
            return
        # A close over unread bytes resets, and the reset may overtake the answer (RFC 9112, section 9.6).
        self.socket.shutdown(socket.SHUT_WR)
        if gevent.getcurrent() is self.reader:
            with gevent.Timeout(LINGER_S, False):
                while self.socket.recv(LINGER_READ_SIZE):
                    pass
            self.close()

    def on_client_left(self) -> None:
        """The client has left: nothing else of this connection is read or forwarded."""
        self.closing = True

    def is_idle(self) -> bool:
        """Whether nobody waits for anything here: a request may lie unread in the kernel."""
        if self.pending or self.source.buffer:
            return False
        try:
            return not self.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError:  # nothing there
            return True

    def close(self) -> None:
        """End the connection."""
        try:
            self.server.hangups.remove(self.socket)
            self.socket.close()
        except OSError:
            pass


class ClientListener(pywsgi.WSGIServer):
    """The listener for clients.

    Args:
        address: where it listens.
        forwarder: where requests go.
        limits: tells the limits of the configuration in force.

    Attributes:
        handlers: of all connections.
        draining: whether each connection ends with its next answer.
        hangups: watches the connections for clients that leave.
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
        self.hangups = HangupMonitor()
