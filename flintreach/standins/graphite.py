"""A stand-in Graphite receiver that can stop reading, or reset connections after a number of bytes."""

import pickle
import socket
import struct
import threading


class Receiver:
    """A Graphite receiver on a loopback port, which serves each connection in a thread of its own.

    Attributes:
        protocol: "plaintext" or "pickle".
        changed: guards the attributes below, and is notified when they change.
        lines: path, value and time of each metric that was received whole.
        parts: incomplete data that was left when a connection ended.
        stalled: whether nothing is read.
        reset_after: number of received bytes after which a connection is reset; None for no limit.
        connections: number of connections accepted so far.
        sockets: their sockets.
        port: the listening port.
    """

    def __init__(self, protocol: str = "plaintext"):
        self.protocol = protocol
        self.changed = threading.Condition()
        self.lines: list[tuple[str, float, int]] = []
        self.parts: list[bytes] = []
        self.stalled = False
        self.reset_after = None
        self.connections = 0
        self.sockets = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Serve connections until the listener is closed."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            with self.changed:
                self.connections += 1
                self.sockets.append(sock)
                self.changed.notify_all()
            threading.Thread(target=self.read, args=(sock,), daemon=True).start()

    def read(self, sock: socket.socket) -> None:
        """Read one connection until it ends or is reset."""
        buffer = b""
        received = 0
        try:
            while True:
                with self.changed:
                    self.changed.wait_for(lambda: not self.stalled)
                data = sock.recv(min(65536, self.reset_after - received) if self.reset_after else 65536)
                if not data:
                    break
                buffer += data
                received += len(data)
                buffer = self.parse(buffer)
                if self.reset_after and received >= self.reset_after:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    break
        except OSError:
            pass
        with self.changed:
            if buffer:
                self.parts.append(buffer)
        sock.close()

    def parse(self, buffer: bytes) -> bytes:
        """Add the complete metrics in a buffer to `lines`, and return the rest of it."""
        metrics = []
        if self.protocol == "pickle":
            while len(buffer) >= 4 and len(buffer) >= 4 + (size := struct.unpack("!L", buffer[:4])[0]):
                metrics += [(name, value, when) for name, (when, value) in pickle.loads(buffer[4 : 4 + size])]
                buffer = buffer[4 + size :]
        else:
            *whole, buffer = buffer.split(b"\n")
            for line in whole:
                name, value, when = line.decode().split(" ")
                metrics.append((name, float(value), int(when)))
        with self.changed:
            self.lines += metrics
            self.changed.notify_all()
        return buffer

    def script(self, stalled: bool = False, reset_after: int | None = None) -> None:
        """Set how the receiver behaves from now on; without arguments it reads everything."""
        with self.changed:
            self.stalled = stalled
            self.reset_after = reset_after
            self.changed.notify_all()

    def wait(self, true, seconds: float = 30.0):
        """Wait until `true()` holds.

        Raises:
            AssertionError: it did not hold in time.
        """
        with self.changed:
            assert self.changed.wait_for(true, seconds), (
                f"condition not met within {seconds} s, after {len(self.lines)} metrics"
            )

    def close(self) -> None:
        """Close the listener and all connections."""
        self.listener.close()
        for sock in self.sockets:
            sock.close()
