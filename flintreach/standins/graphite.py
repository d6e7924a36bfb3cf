"""A Graphite receiver that is played by script: it reads, reads nothing, or resets after so many bytes."""

import pickle
import socket
import struct
import threading


class Receiver:
    """`lines` holds what came whole; `parts` what stood torn at a connection's end."""

    def __init__(self, protocol: str = "plaintext"):
        self.protocol, self.changed = protocol, threading.Condition()
        self.lines: list[tuple[str, float, int]] = []
        self.parts: list[bytes] = []
        self.stalled, self.reset_after = False, None  # reads nothing; bytes after which a connection is reset
        self.connections, self.ends = 0, []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                end, _ = self.listener.accept()
            except OSError:
                return
            with self.changed:
                self.connections += 1
                self.ends.append(end)
                self.changed.notify_all()
            threading.Thread(target=self.read, args=(end,), daemon=True).start()

    def read(self, end: socket.socket) -> None:
        held, taken = b"", 0
        try:
            while True:
                with self.changed:
                    self.changed.wait_for(lambda: not self.stalled)
                data = end.recv(min(65536, self.reset_after - taken) if self.reset_after else 65536)
                if not data:
                    break
                held, taken = held + data, taken + len(data)
                held = self.take(held)
                if self.reset_after and taken >= self.reset_after:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    break
        except OSError:
            pass
        with self.changed:
            if held:
                self.parts.append(held)
        end.close()

    def take(self, held: bytes) -> bytes:
        found = []
        if self.protocol == "pickle":
            while len(held) >= 4 and len(held) >= 4 + (size := struct.unpack("!L", held[:4])[0]):
                found += [(name, value, when) for name, (when, value) in pickle.loads(held[4 : 4 + size])]
                held = held[4 + size :]
        else:
            *whole, held = held.split(b"\n")
            for line in whole:
                name, value, when = line.decode().split(" ")
                found.append((name, float(value), int(when)))
        with self.changed:
            self.lines += found
            self.changed.notify_all()
        return held

    def script(self, stalled: bool = False, reset_after: int | None = None) -> None:
        with self.changed:
            self.stalled, self.reset_after = stalled, reset_after
            self.changed.notify_all()

    def wait(self, true, seconds: float = 30.0):
        with self.changed:
            assert self.changed.wait_for(true, seconds), f"{len(self.lines)} lines"

    def close(self) -> None:
        self.listener.close()
        for end in self.ends:
            end.close()
