"""A faulty endpoint that responds according to a script and records the requests it received.

Implemented from the protocol documentation.  Each request consumes the next act of the script, or gets a
valid response once the script is exhausted.  Acts do not depend on timers: a delayed response is sent when
the next request arrives on the connection.
"""

import struct
import zlib
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: close sends a TCP reset
HEALTH_PATH = "/health"  # health checks do not consume acts of the script
READ_BYTES = 65536
MAX_WRITE_BYTES = 1 << 20
HEAD_END = b"\r\n\r\n"
OK = "200 OK"
NO_CONTENT = "204 No Content"
UNHEALTHY = "503 Service Unavailable"
REFUSALS = {
    "400": "400 Bad Request",
    "408": "408 Request Timeout",
    "421": "421 Misdirected Request",
    "429": "429 Too Many Requests",
    "503": "503 Service Unavailable",
}


@dataclass(slots=True)
class ReceivedRequest:
    """A request as received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def id(self) -> str:
        """Attempt id, or "" if the request has none."""
        return self.headers.get("x-try-id", "")


@dataclass(slots=True, eq=False)
class ServedConnection:
    """One connection accepted from a proxy.

    Attributes:
        sock: the accepted socket.
        pending: bytes to send before the next response.
        pending_id: id of the request that `pending` responds to.
        buffer: received bytes that are not yet parsed.
    """

    sock: socket.socket
    pending: bytes = b""
    pending_id: str = ""
    buffer: bytearray = field(default_factory=bytearray)

    def read(self) -> ReceivedRequest | None:
        """Read the next request; None if the connection ends first."""
        if not self.fill_until(lambda: HEAD_END in self.buffer):
            return None
        head_bytes = self.buffer.find(HEAD_END)
        request_line, *header_lines = bytes(self.buffer[:head_bytes]).decode("latin-1").split("\r\n")
        method, target, _ = request_line.split(" ")
        pairs = [line.partition(":") for line in header_lines]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        body_at = head_bytes + len(HEAD_END)
        size = body_at + int(headers.get("content-length", 0))
        if not self.fill_until(lambda: len(self.buffer) >= size):
            return None
        body = bytes(self.buffer[body_at:size])
        del self.buffer[:size]
        return ReceivedRequest(method, target, headers, body)

    def fill_until(self, enough: Callable[[], bool]) -> bool:
        """Receive into the buffer until `enough` returns true; False if the connection ends first."""
        while not enough():
            data = self.sock.recv(READ_BYTES)
            if not data:
                return False
            self.buffer += data
        return True


def answer_body(request: ReceivedRequest, endpoint_id: str) -> bytes:
    """Body of the valid response to a request; it differs between requests, so that a mix-up is detected."""
    checksum = zlib.crc32(request.body)
    line = f"{endpoint_id} {request.id} {request.method} {request.target} {checksum:08x}\n"
    return 3 * line.encode("latin-1")


class Outcome(NamedTuple):
    """Bytes that an act sends, and whether the connection is kept open afterwards."""

    data: bytes
    keep_open: bool = True


class Adversary:
    """An endpoint that handles each request by the next act of its script.

    Attributes:
        id: endpoint id on the wire.
        connections: open connections.
        connections_opened: number of connections accepted so far.
        script: names of acts (`ACTS`, `DELAYED_ACTS`) for the next requests, in order.
        run_counts: attempt id -> number of times this endpoint ran it.
        requests: all received requests except health checks.
        write_bytes: maximum number of bytes per write.
        first_answer: response to the first request that it ran.
        healthy: whether health checks succeed.
        cancelled: ids of requests whose connection ended before the response was written.
        released: event that "held" responses and delayed health checks wait for.
        delays_health: whether health checks wait for `released`.
    """

    def __init__(self, id: str = "e0", address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self.id = id
        self.connections: set[ServedConnection] = set()
        self.connections_opened = 0
        self.clear()
        self.server = StreamServer(address, self.serve)
        self.server.start()

    @property
    def addr(self) -> str:
        """Listen address as host:port, the form used on the wire."""
        return f"{self.server.address[0]}:{self.server.address[1]}"

    def stop(self) -> None:
        """Close all connections and stop listening."""
        self.clear()
        self.server.stop(timeout=0)

    def clear(self) -> None:
        """Close all connections, and reset the script and the records."""
        for connection in [*self.connections]:
            connection.sock.close()
        self.script: deque[str] = deque()
        self.run_counts: Counter[str] = Counter()
        self.requests: list[ReceivedRequest] = []
        self.write_bytes = MAX_WRITE_BYTES
        self.first_answer = b""
        self.healthy = True
        self.cancelled: list[str] = []
        self.released = Event()
        self.delays_health = False

    def serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection until it ends."""
        connection = ServedConnection(sock)
        self.connections.add(connection)
        self.connections_opened += 1
        try:
            while (request := connection.read()) is not None:
                if not self.respond(connection, request):
                    break
        except OSError:
            pass  # the proxy closed the connection
        finally:
            if connection.pending:
                self.cancelled.append(connection.pending_id)
            self.connections.discard(connection)

    def respond(self, connection: ServedConnection, request: ReceivedRequest) -> bool:
        """Respond to one request; return whether to keep the connection open."""
        if request.target == HEALTH_PATH and not request.id:
            if self.delays_health:
                self.released.wait()
            self.write(connection, self.health(request))
            return True
        self.requests.append(request)
        act = self.script.popleft() if self.script else "answer"
        pending = connection.pending
        connection.pending = b""
        # An endpoint at a reused address must refuse requests for its predecessor, so no act applies to them.
        if request.headers.get("x-expect-endpoint", self.id) == self.id:
            outcome = (ACTS | DELAYED_ACTS)[act](self, request, connection)
        else:
            outcome = Outcome(self.refusal(request, "421"))
        self.write(connection, pending + outcome.data)
        return outcome.keep_open

    def write(self, connection: ServedConnection, data: bytes) -> None:
        """Send data in writes of at most `write_bytes`."""
        for at in range(0, len(data), self.write_bytes):
            connection.sock.sendall(data[at : at + self.write_bytes])
            gevent.sleep(0)

    # Responses.

    def reply(
        self,
        request: ReceivedRequest,
        status: str = OK,
        *more_headers: str,
        named: bool = True,
        other_id: str = "",
        body: bytes | None = None,
        stamped: bool = True,
        framed: bool = True,
    ) -> bytes:
        """Encode a response.

        Args:
            request: the request to respond to.
            status: status code and reason phrase.
            more_headers: header lines that precede the standard ones.
            named: whether to include the request id (`X-Try-Id`).
            other_id: id to include instead of that of the request.
            body: body to send instead of `answer_body`.
            stamped: whether to include `X-Postmark`, which marks the response to a request that was run.
            framed: whether to include `Content-Length`.
        """
        if body is None:
            body = answer_body(request, self.id)
        lines = [f"HTTP/1.1 {status}", *more_headers]
        if named:
            lines.append(f"X-Try-Id: {other_id or request.id}")
        if stamped:
            lines.append(f"X-Postmark: {self.id}.{request.id}")
        if framed:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        return head if request.method == "HEAD" else head + body

    def run(self, request: ReceivedRequest, *status_and_headers: str, **options: Any) -> bytes:
        """Record a run of the request and return its response; for arguments see `reply`."""
        self.run_counts[request.id] += 1
        data = self.reply(request, *status_and_headers, **options)
        self.first_answer = self.first_answer or data
        return data

    def health(self, request: ReceivedRequest) -> bytes:
        """The response to a health check."""
        status = OK if self.healthy else UNHEALTHY
        own_id = f"X-Endpoint-Id: {self.id}"
        return self.reply(request, status, own_id, named=False, body=b"", stamped=False)

    def refusal(self, request: ReceivedRequest, status: str) -> bytes:
        """A response with a status of `REFUSALS` and the header that states that the request has not run."""
        return self.reply(request, REFUSALS[status], "X-Not-Delivered: 1", body=b"no", stamped=False)


Act = Callable[[Adversary, ReceivedRequest, ServedConnection], Outcome]


# Factories of acts.


def answers(*status_and_headers: str, **options: Any) -> Act:
    """Run the request, send the response that `Adversary.reply` builds, and keep the connection open."""

    def act(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
        return Outcome(endpoint.run(request, *status_and_headers, **options))

    return act


def refuses(status: str) -> Act:
    """Refuse the request and keep the connection open."""

    def act(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
        return Outcome(endpoint.refusal(request, status))

    return act


def runs_and_sends(data: bytes) -> Act:
    """Run the request, send `data` instead of a response, and close."""

    def act(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
        endpoint.run(request)
        return Outcome(data, keep_open=False)

    return act


def answers_in_chunks(trailer: str = "", coding: str = "chunked", **options: Any) -> Act:
    """Run the request and respond in one chunk, optionally with a trailer or a further transfer coding."""

    def act(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
        data = endpoint.run(request, OK, f"Transfer-Encoding: {coding}", framed=False, **options)
        head, _, body = data.partition(HEAD_END)
        if request.method == "HEAD":
            return Outcome(head + HEAD_END)
        if coding != "chunked":
            body = zlib.compress(body)
        chunks = b"%x\r\n%b\r\n0\r\n%b\r\n" % (len(body), body, trailer.encode())
        return Outcome(head + HEAD_END + chunks)

    return act


def send_later(connection: ServedConnection, data: bytes, later: bytes) -> Outcome:
    """Send `data` now, and `later` before the next response."""
    connection.pending = later
    return Outcome(data)


# Acts.


def announces_close(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Respond with `Connection: close`, and close."""
    return Outcome(endpoint.run(request, OK, "Connection: close"), keep_open=False)


def sends_interim(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Send interim responses (RFC 9110, section 15.2) before the final one."""
    early_hints = f"HTTP/1.1 103 Early Hints\r\nX-Try-Id: {request.id}\r\n\r\n"
    interim = f"{early_hints}HTTP/1.1 100 Continue\r\n\r\n"
    return Outcome(interim.encode("latin-1") + endpoint.run(request))


def sends_empty_with_length(
    endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection
) -> Outcome:
    """Send a nonzero `Content-Length` in a 204 response, which has no body."""
    data = endpoint.run(request, NO_CONTENT, body=b"")
    return Outcome(data.replace(b"Content-Length: 0", b"Content-Length: 7"))


def omits_length(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Delimit the body by closing the connection."""
    return Outcome(endpoint.run(request, framed=False), keep_open=request.method == "HEAD")


def answers_head_with_body(
    endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection
) -> Outcome:
    """Send a body even in response to HEAD."""
    data = endpoint.run(request)
    if request.method == "HEAD":
        data += answer_body(request, endpoint.id)
    return Outcome(data)


def refuses_twice(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Refuse the request, and repeat the refusal before the next response."""
    data = endpoint.refusal(request, "503")
    return send_later(connection, data, data)


def answers_late(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Run the request, and send its response only when another request arrives on the connection."""
    data = endpoint.run(request)
    connection.pending_id = request.id
    return send_later(connection, b"", data)


def gives_no_answer(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Neither run the request nor respond to it."""
    connection.pending_id = request.id
    return send_later(connection, b"", b"")


def resets(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Run the request and reset the connection."""
    endpoint.run(request)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    return Outcome(b"", keep_open=False)


def truncates(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Send two thirds of the response and close."""
    data = endpoint.run(request)
    return Outcome(data[: len(data) * 2 // 3], keep_open=False)


def sends_incomplete_body(
    endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection
) -> Outcome:
    """Send a `Content-Length` larger than the body, and keep the connection open."""
    data = endpoint.run(request)
    if request.method != "HEAD":
        data = data.replace(b"Content-Length: ", b"Content-Length: 9")
    return Outcome(data)


def answers_twice(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Send the response twice."""
    data = endpoint.run(request)
    return Outcome(data + data)


def answers_again_later(
    endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection
) -> Outcome:
    """Send the response, and repeat it before the next one."""
    data = endpoint.run(request)
    return send_later(connection, data, data)


def repeats_first_answer(
    endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection
) -> Outcome:
    """Send the first response of this endpoint; send that of the request before the next response."""
    first_answer = endpoint.first_answer
    return send_later(connection, first_answer, endpoint.run(request))


def prepends_first_answer(
    endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection
) -> Outcome:
    """Send the first response of this endpoint, followed by that of the request."""
    first_answer = endpoint.first_answer
    return Outcome(first_answer + endpoint.run(request))


def answers_another_request(
    endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection
) -> Outcome:
    """Send twelve responses with the id of another request."""
    return Outcome(12 * endpoint.run(request, other_id="another"))


def sends_two_ids(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Send a response with two request ids."""
    data = endpoint.run(request)
    return Outcome(data.replace(b"X-Postmark", b"X-Try-Id: another\r\nX-Postmark"))


def sends_id_in_trailer(
    endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection
) -> Outcome:
    """Send the request id in the trailer only."""
    trailer = f"X-Try-Id: {request.id}\r\nX-Postmark: t\r\n"
    return answers_in_chunks(trailer, named=False)(endpoint, request, connection)


def sends_trailing_garbage(
    endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection
) -> Outcome:
    """Send the response, followed by bytes that are not HTTP."""
    return Outcome(endpoint.run(request) + b"\x00\x01\r\n\r\n")


def waits_for_release(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Run the request, and respond when `released` is set."""
    data = endpoint.run(request)
    endpoint.released.wait()
    return Outcome(data)


ACTS: dict[str, Act] = {
    "answer": answers(),
    "fails": answers("500 Internal Server Error", stamped=False, body=b"failed"),
    "connection close": announces_close,
    "chunked": answers_in_chunks(),
    "interim": sends_interim,
    "empty": answers(NO_CONTENT, body=b"", framed=False),
    "empty with a length": sends_empty_with_length,
    "no length": omits_length,
    "odd load": answers(OK, "X-Endpoint-Load: \xb2,0,1", "Keep-Alive: timeout=\xb2"),
    "long numbers": answers(OK, f"X-Endpoint-Load: 1,2,{'9' * 5000}", f"Keep-Alive: timeout={'9' * 5000}"),
    "hop-by-hop headers": answers(OK, "Connection: X-Postmark, X-Try-Id, keep-alive"),
    "head with body": answers_head_with_body,
    "503": refuses("503"),
    "429": refuses("429"),
    "421": refuses("421"),
    "400": refuses("400"),
    "refused twice": refuses_twice,
    "bare 503": answers("503 Service Unavailable", body=b"busy", stamped=False),
    "bare 429": answers("429 Too Many Requests", body=b"busy", stamped=False),
    "bare 408": answers("408 Request Timeout", body=b"busy", stamped=False),
    "false not-delivered": answers(OK, "X-Not-Delivered: 1"),
    "late": answers_late,
    "no answer": gives_no_answer,
    "reset": resets,
    "close": runs_and_sends(b""),
    "truncated": truncates,
    "incomplete body": sends_incomplete_body,
    "answered twice": answers_twice,
    "answered again later": answers_again_later,
    "first answer again": repeats_first_answer,
    "first answer ahead": prepends_first_answer,
    "other id": answers(other_id="another"),
    "many others": answers_another_request,
    "no id": answers(named=False),
    "two ids": sends_two_ids,
    "id in the trailer": sends_id_in_trailer,
    "no stamp": answers(stamped=False),
    "encoded": answers(OK, "Content-Encoding: gzip"),
    "compressed transfer coding": answers_in_chunks(coding="deflate, chunked"),
    "garbage": runs_and_sends(b"\x00\x01 no answer \r\n\r\n"),
    "trailing garbage": sends_trailing_garbage,
    "switching": runs_and_sends(
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
    ),
    "odd status": answers("999 Odd", stamped=False),
}

# Acts that wait for `released`.  Kept out of `ACTS`, as tests that try every act would block on them.
DELAYED_ACTS: dict[str, Act] = {"held": waits_for_release}
