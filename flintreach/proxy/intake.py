"""Reading requests from a client's connection.

What two readers could take for two things is refused: the target stays raw, and a request has one length.
"""

from flintreach.proxy.request import Request

READ_SIZE = 65536
LINE_MOST, TRAILER_MOST = 256, 8192  # bytes of a chunk's first line, of one trailer
# Headers that may stand once only: two of them could be read in two ways.
SINGLE = {"host", "content-length", "transfer-encoding", "x-try-id", "x-time-left-ms", "x-shard-key"}
TOKEN = frozenset("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


class BadRequest(Exception):
    """A request that is refused before it has a route, with `status`."""

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


class Source:
    """The bytes of a connection, with the two ways of reading that pywsgi's Input wants."""

    def __init__(self, sock):
        self.sock, self.buffer, self.ended = sock, bytearray(), False

    def more(self) -> bool:
        data = b"" if self.ended else self.sock.recv(READ_SIZE)
        self.buffer += data
        self.ended = self.ended or not data
        return bool(data)

    def read(self, size: int) -> bytes:
        while len(self.buffer) < size and self.more():
            pass
        out = bytes(self.buffer[:size])
        del self.buffer[:size]
        return out

    def until(self, mark: bytes, most: int) -> bytes | None:
        """What stands before a mark, which is dropped; None at the end.  Raises BadRequest past `most`."""
        seen = 0
        while (at := self.buffer.find(mark, max(0, seen - len(mark)))) < 0:
            seen = len(self.buffer)
            if seen > most:
                raise BadRequest(431)
            if not self.more():
                return None
        if at > most:
            raise BadRequest(431)
        out = bytes(self.buffer[:at])
        del self.buffer[: at + len(mark)]
        return out


def parse(head: bytes) -> Request:
    """A request's head.  Raises BadRequest on all that two readers could take for two things."""
    try:
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, version = first.split(" ")
    except ValueError:
        raise BadRequest(400) from None
    if version != "HTTP/1.1" or not method or not TOKEN.issuperset(method) or not target.startswith("/"):
        raise BadRequest(400)
    if any(char < "!" or char > "~" for char in target) or "\n" in head.decode("latin-1").replace("\r\n", ""):
        raise BadRequest(400)
    request = Request(method, target, [])
    for line in lines:
        name, colon, value = line.partition(":")
        value = value.strip(" \t")
        if not colon or not name or not TOKEN.issuperset(name) or "\r" in value or "\0" in value:
            raise BadRequest(400)
        low = name.lower()
        if low in request.low and low in SINGLE:
            raise BadRequest(400)
        request.low[low] = f"{request.low[low]},{value}" if low in request.low else value
        request.headers.append((name, value))
    if not request.low.get("host"):
        raise BadRequest(400)
    if "transfer-encoding" in request.low:
        if "content-length" in request.low or request.low["transfer-encoding"].lower() != "chunked":
            raise BadRequest(400)
    elif "content-length" in request.low:
        length = request.low["content-length"]
        if not (length.isascii() and length.isdigit()) or len(length) > 15:
            raise BadRequest(400)
    return request


def read_body(source: Source, request: Request, most: int) -> bytes:
    """The body of a request, `most` bytes.  Raises BadRequest, and OSError where it ends too early."""
    if "transfer-encoding" in request.low:
        return read_chunks(source, most)
    length = int(request.low.get("content-length", 0))
    if length > most:
        raise BadRequest(413)
    data = source.read(length) if length else b""
    if len(data) < length:
        raise OSError
    return data


def read_chunks(source: Source, most: int) -> bytes:
    """A body in chunks (RFC 9112, 7.1), `most` bytes."""
    parts = bytearray()
    while True:
        line = source.until(b"\r\n", LINE_MOST)
        if line is None:
            raise OSError
        size = line.split(b";")[0].strip(b" \t")
        if not size or len(size) > 12 or not all(c in b"0123456789abcdefABCDEF" for c in size):
            raise BadRequest(400)
        size = int(size, 16)
        if not size:
            break
        if len(parts) + size > most:
            raise BadRequest(413)
        data = source.read(size + 2)
        if len(data) < size + 2:
            raise OSError
        if data[-2:] != b"\r\n":
            raise BadRequest(400)
        parts += data[:-2]
    while line := source.until(b"\r\n", TRAILER_MOST):  # trailers are passed over
        pass
    if line is None:
        raise OSError
    return bytes(parts)
