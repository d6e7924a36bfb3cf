"""Clients' connections: gevent's WSGI endpoint with a handler of our own.

The library's handler decodes paths, takes two lengths in one request and answers one request after the other;
here requests are read by `intake`, and repeatable ones sent behind one another are carried side by side and
answered in order.
"""

import sys
import time

import gevent
from gevent import pywsgi, socket
from gevent.event import Event

from flintreach.proxy.caller import Caller, ClientLeft, HangupMonitor
from flintreach.proxy.carry import Carrier
from flintreach.proxy.intake import BadRequest, Source, parse, read_body
from flintreach.proxy.request import Answer, Request, own

AHEAD = 8  # requests of one connection in hand at once
LINGER_S = 0.3  # for what a client still sends behind an answer that closes


class FrontHandler(pywsgi.WSGIHandler):
    """One client's connection."""

    def __init__(self, sock, address, server, rfile=None):
        self.socket, self.client_address, self.server = sock, address, server
        self.source, self.pending, self.last = Source(sock), 0, None
        self.closing, self.reader, self.caller = False, None, Caller()
        self.caller.wakers.append(self.hang_up)

    def handle(self) -> None:
        server, self.reader = self.server, gevent.getcurrent()
        server.handlers.add(self)
        try:
            server.hangups.add(self.socket, self.caller)
            while not self.closing:
                request = self.read()
                if request is None or self.closing:
                    break
                self.dispatch(request)
        except BadRequest as error:
            self.refuse(error.status)
        except (OSError, gevent.Timeout):
            pass
        finally:
            if self.last is not None:
                self.last.wait()
            server.handlers.discard(self)
            self.end()

    def read(self) -> Request | None:
        limits, source = self.server.limits(), self.source
        if not source.buffer:
            self.socket.settimeout(limits.idle_ms / 1000)
            while not source.more():
                return None
            self.socket.settimeout(None)
        try:
            with gevent.Timeout(limits.header_ms / 1000):
                while source.buffer.startswith(b"\r\n"):
                    del source.buffer[:2]
                    if not source.buffer and not source.more():
                        return None
                head = source.until(b"\r\n\r\n", limits.header_bytes)
                if head is None:
                    return None
                request = parse(head)
                request.caller = self.caller
            if not self.go_on(request):
                return None
            with gevent.Timeout(limits.idle_ms / 1000):
                request.body = read_body(source, request, limits.body_bytes)
        except gevent.Timeout:
            raise BadRequest(408) from None
        request.came = time.monotonic_ns()
        return request

    def go_on(self, request: Request) -> bool:
        """Ask for a body that waits to be asked for.  False where the connection ends first."""
        if request.low.get("expect", "").lower() == "100-continue":
            # An answer to what came before may be half written: nothing may stand inside it or before it.
            if self.last is not None:
                self.last.wait()
            if self.closing:
                return False
            self.socket.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        return True

    def dispatch(self, request: Request) -> None:
        carrier = self.server.carrier
        close = "close" in request.low.get("connection", "").lower()
        side = request.method in ("GET", "HEAD") and not request.body and not close and carrier.alike(request)
        if not side:
            # One that must not run twice runs only when all before it are answered: they may close.
            if self.last is not None:
                self.last.wait()
            if not self.closing:
                self.pending += 1
                try:
                    self.answer(request, self.carried(request), close)
                finally:
                    self.pending -= 1
            return
        before, self.last = self.last, Event()
        self.pending += 1
        gevent.spawn(self.beside, request, before, self.last)
        if self.pending >= AHEAD:
            self.last.wait()

    def beside(self, request: Request, before: Event | None, done: Event) -> None:
        try:
            # Looked up anew: by a configuration that has just come it may be one that must not run twice.
            if before is not None and not self.server.carrier.alike(request):
                before.wait()
            answer = None if self.closing else self.carried(request)
            if before is not None:
                before.wait()
            if not self.closing:
                self.answer(request, answer, False)
        except Exception as error:
            # Without this answer the next would stand in its place.
            self.closing = True
            self.end()
            if not isinstance(error, OSError):
                raise
        finally:
            self.pending -= 1
            done.set()

    def carried(self, request: Request) -> Answer:
        """Its answer, whatever happens: a gap among the answers would be filled by the next one.

        Raises ClientLeft where nobody waits for any answer on this connection.
        """
        try:
            return self.server.carrier.carry(request)
        except ClientLeft:
            raise
        except Exception:
            gevent.get_hub().handle_error(self, *sys.exc_info())
            return own(502)  # no promise: it may have run

    def refuse(self, status: int) -> None:
        """What could not be read ends its connection, behind the answers to what came before it."""
        if self.last is not None:
            self.last.wait()
        if not self.closing:
            try:
                self.answer(None, own(status), True)
            except OSError:
                pass

    def answer(self, request: Request | None, answer: Answer, close: bool) -> None:
        close = close or answer.close or self.server.draining
        self.closing = self.closing or close
        lines = [f"HTTP/1.1 {answer.status} {answer.reason}"]
        lines += [f"{name}: {value}" for name, value in answer.headers]
        names = {name.lower() for name, _ in answer.headers}
        id = request.low.get("x-try-id") if request else None
        if id and "x-try-id" not in names:
            lines.append(f"X-Try-Id: {id}")
        # To HEAD there is only the length that the endpoint told: none is not nought.
        bare = request is not None and request.method == "HEAD"
        if "content-length" not in names and answer.status not in (204, 304) and not bare:
            lines.append(f"Content-Length: {len(answer.body)}")
        if close:
            lines.append("Connection: close")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self.socket.sendall(head if bare else head + answer.body)
        if close:
            # A close over unread bytes resets, and the reset may overtake the answer.
            self.socket.shutdown(socket.SHUT_WR)
            if gevent.getcurrent() is self.reader:
                with gevent.Timeout(LINGER_S, False):
                    while self.socket.recv(65536):
                        pass
                self.end()

    def hang_up(self) -> None:
        """The client has left: nothing else of this connection is read or carried."""
        self.closing = True

    def idle(self) -> bool:
        """Whether nobody waits for anything here: a request may lie unread in the kernel."""
        if self.pending or self.source.buffer:
            return False
        try:
            return not self.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except OSError:  # nothing there
            return True

    def end(self) -> None:
        try:
            self.server.hangups.remove(self.socket)
            self.socket.close()
        except OSError:
            pass


class Front(pywsgi.WSGIServer):
    """The listener for clients.  `limits()`: those of the configuration in force."""

    handler_class = FrontHandler

    def __init__(self, address: tuple[str, int], carrier: Carrier, limits):
        super().__init__(address, application=None, log=None, backlog=512)
        self.carrier, self.limits, self.handlers, self.draining = carrier, limits, set(), False
        self.hangups = HangupMonitor()
