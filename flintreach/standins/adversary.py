"""A faulty endpoint: it answers by script and records what came.

Written from the wire's page.  Each request that comes takes the next act of the script, a plain answer where
the script is over.  Acts never wait for time: what comes late comes when the next request arrives.
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

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close that resets
HEALTH_PATH = "/health"  # of health checks, which no script answers
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
    """One request as it came; `headers` by name in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def id(self) -> str:
        """The attempt's id, "" for none."""
        return self.headers.get("x-try-id", "")


@dataclass(slots=True, eq=False)
class ServedConnection:
    """One connection of a proxy.

    Attributes:
        sock: its socket.
        pending: what is sent ahead of the next answer.
        pending_id: id of the request that `pending` answers.
        buffer: bytes that came and are not yet read as a request.
    """

    sock: socket.socket
    pending: bytes = b""
    pending_id: str = ""
    buffer: bytearray = field(default_factory=bytearray)

    def read(self) -> ReceivedRequest | None:
        """Read the next request; None at the connection's end."""
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
        """Receive into the buffer until there is enough; False where the connection ends before."""
        while not enough():
            data = self.sock.recv(READ_BYTES)
            if not data:
                return False
            self.buffer += data
        return True


def answer_body(request: ReceivedRequest, endpoint_id: str) -> bytes:
    """What an endpoint answers to a request: no two requests have the same."""
    checksum = zlib.crc32(request.body)
    line = f"{endpoint_id} {request.id} {request.method} {request.target} {checksum:08x}\n"
    return 3 * line.encode("latin-1")


class Outcome(NamedTuple):
    """What an act sends, and whether the connection stays open behind it."""

    data: bytes
    stays: bool = True


class Adversary:
    """An endpoint that does with each request what its script says.

    Attributes:
        id: its name on the wire.
        connections: those that are open.
        connections_opened: how many there were.
        script: names of acts (`ACTS`, `DELAYED_ACTS`) for the requests that come.
        run_counts: id of an attempt -> how often it was run here.
        requests: all that came, but for health checks.
        write_bytes: so many are written at once.
        first_answer: the first answer to a request that it has run.
        healthy: what it says to health checks.
        cancelled: ids whose connection ended before their answer was written.
        released: what "held" answers and delayed health checks wait for.
        delays_health: whether health checks are delayed.
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
        """Where it listens, as the wire has it."""
        return f"{self.server.address[0]}:{self.server.address[1]}"

    def stop(self) -> None:
        """End all connections and listen no more."""
        self.clear()
        self.server.stop(timeout=0)

    def clear(self) -> None:
        """End all connections, and forget the script and what came."""
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
            pass  # the proxy has ended it
        finally:
            if connection.pending:
                self.cancelled.append(connection.pending_id)
            self.connections.discard(connection)

    def respond(self, connection: ServedConnection, request: ReceivedRequest) -> bool:
        """Answer one request; whether the connection stays open."""
        if request.target == HEALTH_PATH and not request.id:
            if self.delays_health:
                self.released.wait()
            self.write(connection, self.health(request))
            return True
        self.requests.append(request)
        act = self.script.popleft() if self.script else "answer"
        pending = connection.pending
        connection.pending = b""
        # The right owner of a reused address knows that it is not meant, whatever its fault.
        if request.headers.get("x-expect-endpoint", self.id) == self.id:
            outcome = (ACTS | DELAYED_ACTS)[act](self, request, connection)
        else:
            outcome = Outcome(self.refusal(request, "421"))
        self.write(connection, pending + outcome.data)
        return outcome.stays

    def write(self, connection: ServedConnection, data: bytes) -> None:
        """Send data, `write_bytes` at once."""
        for at in range(0, len(data), self.write_bytes):
            connection.sock.sendall(data[at : at + self.write_bytes])
            gevent.sleep(0)

    # Answers.

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
        """The bytes of an answer.

        Args:
            request: which it answers.
            status: code and phrase.
            more_headers: lines ahead of the usual ones.
            named: whether it names the request.
            other_id: named in place of the request's own.
            body: in place of `answer_body`.
            stamped: whether it has the stamp (`X-Postmark`) of a request that was run.
            framed: whether it has a length.
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
        """Run a request; its answer, see `reply`."""
        self.run_counts[request.id] += 1
        data = self.reply(request, *status_and_headers, **options)
        self.first_answer = self.first_answer or data
        return data

    def health(self, request: ReceivedRequest) -> bytes:
        """The answer to a health check."""
        status = OK if self.healthy else UNHEALTHY
        own_id = f"X-Endpoint-Id: {self.id}"
        return self.reply(request, status, own_id, named=False, body=b"", stamped=False)

    def refusal(self, request: ReceivedRequest, status: str) -> bytes:
        """A refusal (`REFUSALS`) that promises that the request has not run."""
        return self.reply(request, REFUSALS[status], "X-Not-Delivered: 1", body=b"no", stamped=False)


Act = Callable[[Adversary, ReceivedRequest, ServedConnection], Outcome]


# Makers of acts.


def answers(*status_and_headers: str, **options: Any) -> Act:
    """Run it and answer so, see `Adversary.reply`, and stay."""

    def act(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
        return Outcome(endpoint.run(request, *status_and_headers, **options))

    return act


def refuses(status: str) -> Act:
    """Refuse it, and stay."""

    def act(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
        return Outcome(endpoint.refusal(request, status))

    return act


def runs_and_sends(data: bytes) -> Act:
    """Run it, send `data` in place of an answer, and close."""

    def act(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
        endpoint.run(request)
        return Outcome(data, stays=False)

    return act


def answers_in_chunks(trailer: str = "", coding: str = "chunked", **options: Any) -> Act:
    """Run it and answer in one chunk, with a trailer or a further transfer coding."""

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
    """Send `data` now, and `later` ahead of the next answer."""
    connection.pending = later
    return Outcome(data)


# Acts; each is named for what it does with a request.


def announces_close(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Answer with `Connection: close`, and close."""
    return Outcome(endpoint.run(request, OK, "Connection: close"), stays=False)


def sends_interim(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Send interim responses (RFC 9110, section 15.2) ahead of the answer."""
    early_hints = f"HTTP/1.1 103 Early Hints\r\nX-Try-Id: {request.id}\r\n\r\n"
    interim = f"{early_hints}HTTP/1.1 100 Continue\r\n\r\n"
    return Outcome(interim.encode("latin-1") + endpoint.run(request))


def empty_with_length(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Say a length in an answer that has no body."""
    data = endpoint.run(request, NO_CONTENT, body=b"")
    return Outcome(data.replace(b"Content-Length: 0", b"Content-Length: 7"))


def without_length(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Frame the body by the connection's end."""
    return Outcome(endpoint.run(request, framed=False), stays=request.method == "HEAD")


def head_with_body(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Send the body though the request was HEAD."""
    data = endpoint.run(request)
    if request.method == "HEAD":
        data += answer_body(request, endpoint.id)
    return Outcome(data)


def refuses_twice(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Refuse it, and once more ahead of the next answer."""
    data = endpoint.refusal(request, "503")
    return send_later(connection, data, data)


def answers_late(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Run it and send nothing until something else comes on the connection."""
    data = endpoint.run(request)
    connection.pending_id = request.id
    return send_later(connection, b"", data)


def mute(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Neither run nor answer it."""
    connection.pending_id = request.id
    return send_later(connection, b"", b"")


def resets(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Run it and reset the connection."""
    endpoint.run(request)
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    return Outcome(b"", stays=False)


def truncates(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Send two thirds of the answer and close."""
    data = endpoint.run(request)
    return Outcome(data[: len(data) * 2 // 3], stays=False)


def never_complete(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Say a length that the body never reaches."""
    data = endpoint.run(request)
    if request.method != "HEAD":
        data = data.replace(b"Content-Length: ", b"Content-Length: 9")
    return Outcome(data)


def answers_twice(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Send the answer twice."""
    data = endpoint.run(request)
    return Outcome(data + data)


def answers_again_later(
    endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection
) -> Outcome:
    """Send the answer, and once more ahead of the next one."""
    data = endpoint.run(request)
    return send_later(connection, data, data)


def first_answer_again(
    endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection
) -> Outcome:
    """Send the first answer that this endpoint gave; the request's own comes ahead of the next one."""
    first_answer = endpoint.first_answer
    return send_later(connection, first_answer, endpoint.run(request))


def first_answer_ahead(
    endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection
) -> Outcome:
    """Send the first answer that this endpoint gave, and the request's own behind it."""
    first_answer = endpoint.first_answer
    return Outcome(first_answer + endpoint.run(request))


def many_others(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Send a dozen answers to another request."""
    return Outcome(12 * endpoint.run(request, other_id="another"))


def two_ids(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Name two requests in one answer."""
    data = endpoint.run(request)
    return Outcome(data.replace(b"X-Postmark", b"X-Try-Id: another\r\nX-Postmark"))


def id_in_trailer(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Name the request in the trailer alone."""
    trailer = f"X-Try-Id: {request.id}\r\nX-Postmark: t\r\n"
    return answers_in_chunks(trailer, named=False)(endpoint, request, connection)


def garbage_behind(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Send bytes that are no answer behind the answer."""
    return Outcome(endpoint.run(request) + b"\x00\x01\r\n\r\n")


def waits_for_release(endpoint: Adversary, request: ReceivedRequest, connection: ServedConnection) -> Outcome:
    """Run it, and answer when `released` is set."""
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
    "empty with a length": empty_with_length,
    "no length": without_length,
    "odd load": answers(OK, "X-Endpoint-Load: \xb2,0,1", "Keep-Alive: timeout=\xb2"),
    "long numbers": answers(OK, f"X-Endpoint-Load: 1,2,{'9' * 5000}", f"Keep-Alive: timeout={'9' * 5000}"),
    "hop-by-hop headers": answers(OK, "Connection: X-Postmark, X-Try-Id, keep-alive"),
    "head with body": head_with_body,
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
    "no answer": mute,
    "reset": resets,
    "close": runs_and_sends(b""),
    "truncated": truncates,
    "incomplete body": never_complete,
    "answered twice": answers_twice,
    "answered again later": answers_again_later,
    "first answer again": first_answer_again,
    "first answer ahead": first_answer_ahead,
    "other id": answers(other_id="another"),
    "many others": many_others,
    "no id": answers(named=False),
    "two ids": two_ids,
    "id in the trailer": id_in_trailer,
    "no stamp": answers(stamped=False),
    "encoded": answers(OK, "Content-Encoding: gzip"),
    "compressed transfer coding": answers_in_chunks(coding="deflate, chunked"),
    "garbage": runs_and_sends(b"\x00\x01 no answer \r\n\r\n"),
    "trailing garbage": garbage_behind,
    "switching": runs_and_sends(
        b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
    ),
    "odd status": answers("999 Odd", stamped=False),
}

# Acts that wait to be released: for tests that name them.
DELAYED_ACTS: dict[str, Act] = {"held": waits_for_release}
