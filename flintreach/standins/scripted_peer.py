"""A faulty peer of the transport between processes: it answers messages by script."""

from collections import deque
from collections.abc import Iterable
from typing import Any

import msgspec
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from flintreach.standins.adversary import RESET

LENGTH_BYTES = 4  # ahead of each frame, big-endian
ERROR_KIND = "error"
GARBAGE = b"\x00\x00\x00\x03\xc1\xc1\xc1"  # a frame that is no MessagePack
HUGE_LENGTH = b"\xff\xff\xff\xff"


def encode_frame(*parts: Any) -> bytes:
    """One message as the transport sends it."""
    data = msgspec.msgpack.encode(parts)
    return len(data).to_bytes(LENGTH_BYTES) + data


class ScriptedPeer:
    """A listener that does with each message what its script says, and answers plainly once that is over.

    Acts: see `respond` and `frames`.

    Attributes:
        script: acts for the messages that come.
        received: number, kind and body of each message that came.
        stopped: set when the peer is stopped.
        late_answers: those that are sent behind the next answer.
    """

    def __init__(self, script: Iterable[str] = (), address: tuple[str, int] = ("127.0.0.1", 0)) -> None:
        self.script = deque(script)
        self.received: list[tuple[int, str, Any]] = []
        self.sockets: list[socket.socket] = []
        self.stopped = Event()
        self.late_answers: list[bytes] = []
        self.server = StreamServer(address, self.serve)
        self.server.start()

    @property
    def address(self) -> tuple[str, int]:
        """At which it listens."""
        return self.server.address[:2]

    def stop(self) -> None:
        """End all connections."""
        self.stopped.set()
        for sock in self.sockets:
            sock.close()
        self.server.stop(timeout=0)

    def serve(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection until it ends."""
        self.sockets.append(sock)
        stream = sock.makefile("rb")
        try:
            while len(head := stream.read(LENGTH_BYTES)) == LENGTH_BYTES:
                number, kind, body = msgspec.msgpack.decode(stream.read(int.from_bytes(head)))
                self.received.append((number, kind, body))
                if not self.respond(sock, number, body):
                    break
        except (OSError, ValueError, TypeError, msgspec.DecodeError):
            pass  # the other side has ended it, or does not speak the transport's language

    def respond(self, sock: socket.socket, number: int, body: Any) -> bool:
        """Do the next act of the script; whether the connection is served on."""
        answer = encode_frame(-number, "", body)
        late_answers = self.late_answers
        self.late_answers = []
        act = self.script.popleft() if self.script else "answer"
        match act:
            case "late":  # it comes with the next message, behind its answer
                self.late_answers = [*late_answers, answer]
            case "half":
                sock.shutdown(socket.SHUT_WR)
            case "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.close()
                return False
            case "stops reading":
                self.stopped.wait()
                return False
            case "answer and close":
                sock.sendall(answer)
                sock.shutdown(socket.SHUT_RDWR)
                return False
            case _:
                sock.sendall(self.frames(act, number, answer, late_answers))
        return True

    def frames(self, act: str, number: int, answer: bytes, late_answers: list[bytes]) -> bytes:
        """What is sent for an act that only sends.

        Args:
            act: its name.
            number: of the message.
            answer: the right answer to it.
            late_answers: those to earlier messages that are due.

        Raises:
            KeyError: there is no such act.
        """
        frames = {
            "answer": answer + b"".join(late_answers),
            "twice": answer + encode_frame(-number, "", "surplus"),
            "unknown": encode_frame(-number - 7, "", "nobody's") + encode_frame(0, "", "") + answer,
            "other kinds": encode_frame(-number, ERROR_KIND, None),
            "huge": HUGE_LENGTH + answer,
            "garbage": GARBAGE + answer,
            "odd shape": encode_frame("x", [], {}) + answer,
        }
        return frames[act]
