"""Stand-ins for an endpoint and for a pilot in trouble: they answer by script and keep a ledger.

Written from the wire's page.  Each request that comes takes the next act of the script, a plain answer where
the script is over.  Acts never wait for time: what comes late comes when the next request arrives.
"""

import struct
import zlib
from collections import Counter, deque
from dataclasses import dataclass, field

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close that resets
HEALTH = "/health"  # the path of health questions, which no script answers
REFUSALS = {
    "400": "400 Bad Request",
    "408": "408 Request Timeout",
    "421": "421 Misdirected Request",
    "429": "429 Too Many Requests",
    "503": "503 Service Unavailable",
}


@dataclass(slots=True)
class Asked:
    """One request as it came."""

    method: str
    target: str
    low: dict[str, str]
    body: bytes = b""

    @property
    def id(self) -> str:
        return self.low.get("x-try-id", "")


@dataclass(slots=True, eq=False)
class Line:
    """One connection; `owed`: what is sent ahead of the next answer."""

    sock: socket.socket
    owed: bytes = b""
    owes: str = ""  # the id of the request that it is the answer to
    buffer: bytearray = field(default_factory=bytearray)

    def read(self) -> Asked | None:
        """The next request; None at the end."""
        while (at := self.buffer.find(b"\r\n\r\n")) < 0:
            if not self.more():
                return None
        first, *rows = bytes(self.buffer[:at]).decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        pairs = [row.partition(":") for row in rows]
        asked = Asked(method, target, {name.lower(): value.strip() for name, _, value in pairs})
        size = at + 4 + int(asked.low.get("content-length", 0))
        while len(self.buffer) < size:
            if not self.more():
                return None
        asked.body = bytes(self.buffer[at + 4 : size])
        del self.buffer[:size]
        return asked

    def more(self) -> bool:
        data = self.sock.recv(65536)
        self.buffer += data
        return bool(data)


def text(asked: Asked, endpoint: str) -> bytes:
    """What an endpoint answers to a request: no two requests have the same."""
    line = f"{endpoint} {asked.id} {asked.method} {asked.target} {zlib.crc32(asked.body):08x}\n"
    return 3 * line.encode("latin-1")


class Adversary:
    """`ran`: id of a try -> how often it was run here; `portion`: bytes that are written at once; `well`:
    what it says to health questions; `broken_off`: ids whose connection ended before their answer was
    written; `let_go`: what "held" answers and held health answers wait for."""

    def __init__(self, id: str = "e0", address: tuple[str, int] = ("127.0.0.1", 0)):
        self.id, self.lines, self.opened = id, set(), 0
        self.forget()
        self.server = StreamServer(address, self.serve)
        self.server.start()

    @property
    def addr(self) -> str:
        return f"{self.server.address[0]}:{self.server.address[1]}"

    def stop(self) -> None:
        self.forget()
        self.server.stop(timeout=0)

    def forget(self) -> None:
        """End all connections and begin anew."""
        for line in [*self.lines]:
            line.sock.close()
        self.script, self.ran, self.came = deque(), Counter(), []
        self.portion, self.last, self.well = 1 << 20, b"", True
        self.broken_off, self.let_go, self.holds_health = [], Event(), False

    def serve(self, sock, address) -> None:
        line = Line(sock)
        self.lines.add(line)
        self.opened += 1
        try:
            while (asked := line.read()) is not None:
                if asked.target == HEALTH and not asked.id:
                    if self.holds_health:
                        self.let_go.wait()
                    self.write(line, self.health(asked))
                    continue
                self.came.append(asked)
                act = self.script.popleft() if self.script else "answer"
                owed, line.owed = line.owed, b""
                # The right owner of a reused address knows that it is not meant, whatever its trouble.
                mine = asked.low.get("x-expect-endpoint", self.id) == self.id
                data, stays = (
                    (ACTS | HELD_ACTS)[act](self, asked, line) if mine else (self.refusal(asked, "421"), True)
                )
                self.write(line, owed + data)
                if not stays:
                    break
        except OSError:
            pass
        finally:
            if line.owed:
                self.broken_off.append(line.owes)
            self.lines.discard(line)

    def write(self, line: Line, data: bytes) -> None:
        for at in range(0, len(data), self.portion):
            line.sock.sendall(data[at : at + self.portion])
            gevent.sleep(0)

    # What is said.

    def reply(
        self,
        asked: Asked,
        status: str = "200 OK",
        *more: str,
        id: str | None = "",
        body: bytes | None = None,
        stamp: bool = True,
        framed: bool = True,
    ) -> bytes:
        """An answer; `id` None: without one."""
        body = text(asked, self.id) if body is None else body
        rows = [f"HTTP/1.1 {status}", *more]
        rows += [f"X-Try-Id: {id or asked.id}"] if id is not None else []
        rows += [f"X-Postmark: {self.id}.{asked.id}"] if stamp else []
        rows += [f"Content-Length: {len(body)}"] if framed else []
        return "\r\n".join([*rows, "", ""]).encode("latin-1") + (b"" if asked.method == "HEAD" else body)

    def runs(self, asked: Asked, *more, **words) -> bytes:
        """Work on a request, and its answer."""
        self.ran[asked.id] += 1
        data = self.reply(asked, *more, **words)
        self.last = self.last or data
        return data

    def health(self, asked: Asked) -> bytes:
        status = "200 OK" if self.well else "503 Service Unavailable"
        told = f"X-Endpoint-Id: {self.id}"
        return self.reply(asked, status, told, id=None, body=b"", stamp=False)

    def refusal(self, asked: Asked, status: str) -> bytes:
        return self.reply(asked, REFUSALS[status], "X-Not-Delivered: 1", body=b"no", stamp=False)


def reset(it: Adversary, asked: Asked, line: Line) -> tuple[bytes, bool]:
    it.runs(asked)
    line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    return b"", False


def later(line: Line, now: bytes, then: bytes) -> tuple[bytes, bool]:
    line.owed = then
    return now, True


def answers(*more, **words):
    """An act: run it and answer so, and stay."""
    return lambda it, asked, line: (it.runs(asked, *more, **words), True)


def refuses(status: str):
    return lambda it, asked, line: (it.refusal(asked, status), True)


def chunked(it: Adversary, asked: Asked, line: Line, trailer: str = "", coding: str = "chunked", **words):
    data = it.runs(asked, "200 OK", f"Transfer-Encoding: {coding}", framed=False, **words)
    head, _, body = data.partition(b"\r\n\r\n")
    body = body if coding == "chunked" else zlib.compress(body)
    rest = b"" if asked.method == "HEAD" else b"%x\r\n%b\r\n0\r\n%b\r\n" % (len(body), body, trailer.encode())
    return head + b"\r\n\r\n" + rest, True


def cut(it: Adversary, asked: Asked, line: Line):
    data = it.runs(asked)
    return data[: len(data) * 2 // 3], False


def silent(it: Adversary, asked: Asked, line: Line, runs: bool = True):
    """Runs it and says nothing until something else comes on the connection."""
    data = it.runs(asked) if runs else b""
    line.owes = asked.id
    return later(line, b"", data)


def held(it: Adversary, asked: Asked, line: Line):
    """Runs it and answers when it is let go."""
    data = it.runs(asked)
    it.let_go.wait()
    return data, True


def surplus(it: Adversary, asked: Asked, line: Line):
    data = it.runs(asked)
    return data + data, True


def surplus_later(it: Adversary, asked: Asked, line: Line):
    data = it.runs(asked)
    return later(line, data, data)


def refused_twice(it: Adversary, asked: Asked, line: Line):
    data = it.refusal(asked, "503")
    return later(line, data, data)


def interim(it: Adversary, asked: Asked, line: Line):
    first = f"HTTP/1.1 103 Early Hints\r\nX-Try-Id: {asked.id}\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
    return first.encode("latin-1") + it.runs(asked), True


def run_and(data: bytes, stays: bool = False):
    """Run it and say `data` in place of an answer."""

    def act(it, asked, line):
        it.runs(asked)
        return data, stays

    return act


def with_body(it: Adversary, asked: Asked, line: Line):
    """An answer with its body though the request was HEAD."""
    data = it.runs(asked)
    return data + (text(asked, it.id) if asked.method == "HEAD" else b""), True


ACTS = {
    "answer": answers(),
    "fails": answers("500 Internal Server Error", stamp=False, body=b"failed"),
    "close told": lambda it, asked, line: (it.runs(asked, "200 OK", "Connection: close"), False),
    "chunked": chunked,
    "interim": interim,
    "empty": answers("204 No Content", body=b"", framed=False),
    "empty with a length": lambda it, asked, line: (
        it.runs(asked, "204 No Content", body=b"").replace(b"Content-Length: 0", b"Content-Length: 7"),
        True,
    ),
    "no length": lambda it, asked, line: (it.runs(asked, framed=False), asked.method == "HEAD"),
    "odd load": answers("200 OK", "X-Endpoint-Load: \xb2,0,1", "Keep-Alive: timeout=\xb2"),
    "long numbers": answers(
        "200 OK", f"X-Endpoint-Load: 1,2,{'9' * 5000}", f"Keep-Alive: timeout={'9' * 5000}"
    ),
    "hop": answers("200 OK", "Connection: X-Postmark, X-Try-Id, keep-alive"),
    "head with body": with_body,
    "503": refuses("503"),
    "429": refuses("429"),
    "421": refuses("421"),
    "400": refuses("400"),
    "refused twice": refused_twice,
    "bare 503": answers("503 Service Unavailable", body=b"busy", stamp=False),
    "bare 429": answers("429 Too Many Requests", body=b"busy", stamp=False),
    "bare 408": answers("408 Request Timeout", body=b"busy", stamp=False),
    "lying": answers("200 OK", "X-Not-Delivered: 1"),
    "late": silent,
    "mute": lambda it, asked, line: silent(it, asked, line, False),
    "reset": reset,
    "close": run_and(b""),
    "cut": cut,
    "never whole": lambda it, asked, line: (
        it.runs(asked).replace(b"Content-Length: ", b"Content-Length: 9")
        if asked.method != "HEAD"
        else it.runs(asked),
        True,
    ),
    "surplus": surplus,
    "surplus later": surplus_later,
    "earlier": lambda it, asked, line: later(line, it.last, it.runs(asked)),
    "earlier, then ours": lambda it, asked, line: (it.last + it.runs(asked), True),
    "other id": answers(id="another"),
    "many others": lambda it, asked, line: (12 * it.runs(asked, id="another"), True),
    "no id": answers(id=None),
    "two ids": lambda it, asked, line: (
        it.runs(asked).replace(b"X-Postmark", b"X-Try-Id: another\r\nX-Postmark"),
        True,
    ),
    "id in the trailer": lambda it, asked, line: chunked(
        it, asked, line, f"X-Try-Id: {asked.id}\r\nX-Postmark: t\r\n", id=None
    ),
    "no stamp": answers(stamp=False),
    "encoded": answers("200 OK", "Content-Encoding: gzip"),
    "encoded on its way": lambda it, asked, line: chunked(it, asked, line, coding="deflate, chunked"),
    "garbage": run_and(b"\x00\x01 no answer \r\n\r\n"),
    "garbage behind": lambda it, asked, line: (it.runs(asked) + b"\x00\x01\r\n\r\n", True),
    "switching": run_and(b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"),
    "odd status": answers("999 Odd", stamp=False),
}

# Acts that wait to be let go: for tests that name them.
HELD_ACTS = {"held": held}


class Pilot:
    """A pilot in trouble, a peer for links.  `script`: acts for the messages that come, then "answer"."""

    def __init__(self, script=(), address: tuple[str, int] = ("127.0.0.1", 0)):
        self.script, self.asked, self.socks, self.gone = deque(script), [], [], Event()
        self.held: list[bytes] = []  # answers that were held back
        self.server = StreamServer(address, self.serve)
        self.server.start()

    @property
    def address(self) -> tuple[str, int]:
        return self.server.address[:2]

    def stop(self) -> None:
        self.gone.set()
        for sock in self.socks:
            sock.close()
        self.server.stop(timeout=0)

    def serve(self, sock, address) -> None:
        self.socks.append(sock)
        stream = sock.makefile("rb")
        try:
            while len(head := stream.read(4)) == 4:
                number, kind, body = msgspec.msgpack.decode(stream.read(int.from_bytes(head)))
                self.asked.append((number, kind, body))
                if not self.act(sock, number, body):
                    break
        except (OSError, ValueError, TypeError, msgspec.DecodeError):
            pass

    def act(self, sock, number: int, body) -> bool:
        mine, held, self.held = packed(-number, "", body), self.held, []
        match self.script.popleft() if self.script else "answer":
            case "answer":
                sock.sendall(mine + b"".join(held))
            case "twice":
                sock.sendall(mine + packed(-number, "", "surplus"))
            case "late":  # with the next message, behind its answer
                self.held = [*held, mine]
            case "unknown":
                sock.sendall(packed(-number - 7, "", "nobody's") + packed(0, "", "") + mine)
            case "other kinds":
                sock.sendall(packed(-number, "error", None))
            case "huge":
                sock.sendall(b"\xff\xff\xff\xff" + mine)
            case "garbage":
                sock.sendall(b"\x00\x00\x00\x03\xc1\xc1\xc1" + mine)
            case "odd shape":
                sock.sendall(packed("x", [], {}) + mine)
            case "half":
                sock.shutdown(socket.SHUT_WR)
            case "answer and close":
                sock.sendall(mine)
                sock.shutdown(socket.SHUT_RDWR)
                return False
            case "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.close()
                return False
            case "stops reading":
                self.gone.wait()
                return False
        return True


def packed(*parts) -> bytes:
    """One message as links send them."""
    data = msgspec.msgpack.encode(parts)
    return len(data).to_bytes(4) + data
