"""One connection that is played by hand, from either end."""

import json
import socket
import struct


class Peer:
    """One connection, from either end; every wait ends by what comes, or fails after long."""

    def __init__(self, sock):
        self.sock, self.held = sock, b""
        sock.settimeout(30)

    def read_until(self, mark):
        while mark not in self.held:
            data = self.sock.recv(65536)
            if not data:
                raise EOFError(self.held)
            self.held += data
        part, _, self.held = self.held.partition(mark)
        return part

    def request(self):
        head = self.read_until(b"\r\n\r\n").decode()
        self.method, self.path, _ = head.split("\r\n")[0].split(" ")
        size = [int(line[15:]) for line in head.split("\r\n") if line.lower().startswith("content-length:")]
        while size and len(self.held) < size[0]:
            self.held += self.sock.recv(65536)
        body, self.held = (self.held[: size[0]], self.held[size[0] :]) if size else (b"", self.held)
        self.orders = json.loads(body)["changes"] if body else []
        return self

    def send(self, data, chunk_size=None):
        for at in range(0, len(data), chunk_size or len(data)):
            self.sock.sendall(data[at : at + (chunk_size or len(data))])

    def answer(self, body, status="200 OK", chunk_size=None):
        body = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body, chunk_size)

    def start_stream(self):
        self.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

    def send_events(self, *items, chunk_size=None):
        for item in items:
            data = json.dumps({"type": item[0], "object": item[1]} if item else {}).encode() + b"\n"
            self.send(b"%x\r\n%s\r\n" % (len(data), data), chunk_size)

    def wait_closed(self):
        """Whether the other side ends the connection, after what it still had to say."""
        try:
            while self.sock.recv(65536):
                pass
        except ConnectionError:
            pass
        return True

    def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()
