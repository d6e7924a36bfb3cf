"""A scripted, faulty peer for the transport between processes."""

from collections import deque
from collections.abc import Iterable
from typing import Any

import msgspec
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from flintreach.standins.adversary import RESET

LENGTH_BYTES = 4  # big-endian length before each frame
ERROR_KIND = "error"
GARBAGE = b"\x00\x00\x00\x03\xc1\xc1\xc1"  # a frame of three bytes 0xc1, which MessagePack never uses
HUGE_LENGTH = b"\xff\xff\xff\xff"


def encode_frame(*parts: Any) -> bytes:
    """Return one message as the transport sends it."""
    data = msgspec.msgpack.encode(parts)
    return len(data).to_bytes(LENGTH_BYTES) + data


class ScriptedPeer:
    """A server that handles each message by the next action of its script, and answers normally after that.

    `respond` and `frames` define the actions.

    Attributes:
        script: actions for the next messages, one each.
        received: number, kind and body of each message received.
        sockets: the sockets of all connections.
        stopped: set when the peer is stopped.
        late_answers: answers that are held until the next answer has been sent.
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
        """The address on which the peer listens."""
        return self.server.address[:2]

    def stop(self) -> None:
        """Close all connections, and stop the server."""
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
            pass  # the other side closed the connection, or sent something that is no message

    def respond(self, sock: socket.socket, number: int, body: Any) -> bool:
        """Perform the next action of the script, and return whether the connection is served on."""
        answer = encode_frame(-number, "", body)
        late_answers = self.late_answers
        self.late_answers = []
        action = self.script.popleft() if self.script else "answer"
        match action:
            case "late":  # the answer is sent after the answer to the next message
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
                sock.sendall(self.frames(action, number, answer, late_answers))
        return True

    def frames(self, action: str, number: int, answer: bytes, late_answers: list[bytes]) -> bytes:
        """Return what is sent for an action that only sends.

        Args:
            action: name of the action.
            number: number of the message.
            answer: the correct answer to it.
            late_answers: answers to earlier messages that are due.

        Raises:
            KeyError: there is no such action.
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
        return frames[action]
