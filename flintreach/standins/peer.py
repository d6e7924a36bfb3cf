"""One blocking connection, which a test drives from the client's or the server's end."""

import json
import socket
import struct


class Peer:
    """One end of a connection; a read that gets nothing for 30 s fails.

    Attributes:
        sock: the socket.
        buffer: bytes that were received and not yet consumed.
        method: HTTP method of the last request.
        path: path of the last request.
        orders: the orders in the last request; empty if it had no body.
    """

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""
        sock.settimeout(30)

    def read_until(self, mark):
        """Return what comes before the next delimiter, and consume both.

        Raises:
            EOFError: the other side closed the connection before the delimiter.
        """
        while mark not in self.buffer:
            data = self.sock.recv(65536)
            if not data:
                raise EOFError(self.buffer)
            self.buffer += data
        part, _, self.buffer = self.buffer.partition(mark)
        return part

    def request(self):
        """Read one HTTP request into `method`, `path` and `orders`, and return this connection."""
        head = self.read_until(b"\r\n\r\n").decode()
        self.method, self.path, _ = head.split("\r\n")[0].split(" ")
        size = [int(line[15:]) for line in head.split("\r\n") if line.lower().startswith("content-length:")]
        while size and len(self.buffer) < size[0]:
            self.buffer += self.sock.recv(65536)
        body = b""
        if size:
            body = self.buffer[: size[0]]
            self.buffer = self.buffer[size[0] :]
        self.orders = json.loads(body)["changes"] if body else []
        return self

    def send(self, data, chunk_size=None):
        """Send bytes, at most `chunk_size` in each write."""
        step = chunk_size or len(data)
        for at in range(0, len(data), step):
            self.sock.sendall(data[at : at + step])

    def answer(self, body, status="200 OK", chunk_size=None):
        """Send a complete HTTP response; a body that is not bytes is sent as JSON."""
        body = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body, chunk_size)

    def start_stream(self):
        """Send the head of a chunked HTTP response."""
        self.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send_events(self, *items, chunk_size=None):
        """Send events on a chunked response, a chunk each; an empty item is a heartbeat."""
        for item in items:
            data = json.dumps({"type": item[0], "object": item[1]} if item else {}).encode() + b"\n"
            self.send(b"%x\r\n%s\r\n" % (len(data), data), chunk_size)

    def wait_closed(self):
        """Discard what still arrives until the other side closes or resets the connection, and return True.

        Raises:
            TimeoutError: nothing arrived for 30 s and the connection stayed open.
        """
        try:
            while self.sock.recv(65536):
                pass
        except ConnectionError:
            pass
        return True

    def reset(self):
        """Close the connection with a TCP reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()
