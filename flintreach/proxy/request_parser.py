"""Reading requests from a client's connection.

What two readers could take for two things is refused (request smuggling: RFC 9112, section 11.2): the target
stays raw, and a request has one length.
"""

from typing import Protocol

from flintreach.proxy.request import Request

READ_SIZE = 65536

# Bytes of a chunk's first line, and of one trailer.
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_BYTES = 8192

# Digits of the longest body's length, in decimal, and of the longest chunk's, in hexadecimal.
MAX_LENGTH_DIGITS = 15
MAX_CHUNK_SIZE_DIGITS = 12
HEXADECIMAL_DIGITS = b"0123456789abcdefABCDEF"

# Headers that may stand once only: two of them could be read in two ways.
SINGLE = {"host", "content-length", "transfer-encoding", "x-try-id", "x-time-left-ms", "x-shard-key"}

# Characters of a method and of a header's name (RFC 9110, section 5.6.2).
TOKEN = frozenset("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


class BadRequest(Exception):
    """A request that is refused before it has a route.

    Attributes:
        status: HTTP status of the refusal.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Receiver(Protocol):
    """What is used of a socket."""

    def recv(self, size: int, /) -> bytes:
        """Up to `size` bytes; none at the end."""


class ByteSource:
    """The bytes of a connection, as they are read.

    Attributes:
        buffer: bytes that came and have not been taken.
        ended: whether no more will come.
    """

    def __init__(self, sock: Receiver) -> None:
        self.sock = sock
        self.buffer = bytearray()
        self.ended = False

    def receive(self) -> bool:
        """Wait for more bytes; False at the end."""
        if self.ended:
            return False
        data = self.sock.recv(READ_SIZE)
        self.buffer += data
        self.ended = not data
        return bool(data)

    def read(self, size: int) -> bytes:
        """Take `size` bytes; fewer at the end."""
        while len(self.buffer) < size and self.receive():
            pass
        taken = bytes(self.buffer[:size])
        del self.buffer[:size]
        return taken

    def read_until(self, delimiter: bytes, most: int) -> bytes | None:
        """Take what stands before a delimiter, and drop the delimiter; None at the end.

        Raises:
            BadRequest: it is longer than `most` bytes.
        """
        searched = 0
        while (index := self.buffer.find(delimiter, max(0, searched - len(delimiter)))) < 0:
            searched = len(self.buffer)
            if searched > most:
                raise BadRequest(431)
            if not self.receive():
                return None
        if index > most:
            raise BadRequest(431)
        taken = bytes(self.buffer[:index])
        del self.buffer[: index + len(delimiter)]
        return taken


def parse_head(head: bytes) -> Request:
    """A request by its head, without the empty line behind it.

    Raises:
        BadRequest: two readers could take it for two things.
    """
    text = head.decode("latin-1")
    first_line, *header_lines = text.split("\r\n")
    # A bare LF may end a line for another reader (RFC 9112, section 2.2).
    if "\n" in text.replace("\r\n", ""):
        raise BadRequest(400)
    request = parse_request_line(first_line)
    for line in header_lines:
        add_header(request, line)
    # RFC 9112, section 3.2: a request without Host is refused.
    if not request.headers_by_name.get("host"):
        raise BadRequest(400)
    check_framing(request)
    return request


def parse_request_line(line: str) -> Request:
    """A request, without headers yet, by its first line (RFC 9112, section 3).

    Raises:
        BadRequest: it isn't one, or not of HTTP/1.1, or not for a path.
    """
    parts = line.split(" ")
    if len(parts) != 3:
        raise BadRequest(400)
    method, target, version = parts
    if version != "HTTP/1.1" or not method or not TOKEN.issuperset(method) or not target.startswith("/"):
        raise BadRequest(400)
    if any(char < "!" or char > "~" for char in target):
        raise BadRequest(400)
    return Request(method, target, [])


def add_header(request: Request, line: str) -> None:
    """Add a header to a request.

    White space before the colon and folded lines are refused with all other names that are no tokens
    (RFC 9112, sections 5.1 and 5.2).

    Raises:
        BadRequest: it isn't a header, or one that must not stand twice.
    """
    name, colon, value = line.partition(":")
    value = value.strip(" \t")
    if not colon or not name or not TOKEN.issuperset(name) or "\r" in value or "\0" in value:
        raise BadRequest(400)
    lower_name = name.lower()
    earlier_value = request.headers_by_name.get(lower_name)
    if earlier_value is None:
        request.headers_by_name[lower_name] = value
    elif lower_name in SINGLE:
        raise BadRequest(400)
    else:
        request.headers_by_name[lower_name] = f"{earlier_value},{value}"
    request.headers.append((name, value))


def check_framing(request: Request) -> None:
    """Return if a request has one length at most (RFC 9112, sections 6.1 and 6.3).

    Raises:
        BadRequest: two lengths, a length that is none, or a transfer coding other than chunked.
    """
    length = request.headers_by_name.get("content-length")
    coding = request.headers_by_name.get("transfer-encoding")
    if coding is not None:
        if length is not None or coding.lower() != "chunked":
            raise BadRequest(400)
    elif length is not None:
        if not (length.isascii() and length.isdigit()) or len(length) > MAX_LENGTH_DIGITS:
            raise BadRequest(400)


def read_body(source: ByteSource, request: Request, most: int) -> bytes:
    """The body of a request.

    Raises:
        BadRequest: it is longer than `most` bytes, or no body.
        OSError: it ends too early.
    """
    if "transfer-encoding" in request.headers_by_name:
        return read_chunked_body(source, most)
    length = int(request.headers_by_name.get("content-length", 0))
    if length > most:
        raise BadRequest(413)
    if not length:
        return b""
    body = source.read(length)
    if len(body) < length:
        raise OSError
    return body


def read_chunked_body(source: ByteSource, most: int) -> bytes:
    """A body in chunks (RFC 9112, section 7.1).

    Raises:
        BadRequest: it is longer than `most` bytes, or not in chunks.
        OSError: it ends too early.
    """
    body = bytearray()
    while True:
        size = read_chunk_size(source)
        if not size:
            break
        if len(body) + size > most:
            raise BadRequest(413)
        chunk = source.read(size + 2)
        if len(chunk) < size + 2:
            raise OSError
        if chunk[-2:] != b"\r\n":
            raise BadRequest(400)
        body += chunk[:-2]
    skip_trailers(source)
    return bytes(body)


def read_chunk_size(source: ByteSource) -> int:
    """The size of the next chunk, 0 of the last; its extensions are passed over (RFC 9112, section 7.1.1).

    Raises:
        BadRequest: there is no size.
        OSError: the connection ends.
    """
    line = source.read_until(b"\r\n", MAX_CHUNK_LINE_BYTES)
    if line is None:
        raise OSError
    digits = line.split(b";")[0].strip(b" \t")
    if not digits or len(digits) > MAX_CHUNK_SIZE_DIGITS:
        raise BadRequest(400)
    if not all(digit in HEXADECIMAL_DIGITS for digit in digits):
        raise BadRequest(400)
    return int(digits, 16)


def skip_trailers(source: ByteSource) -> None:
    """Pass over the trailers behind a chunked body (RFC 9112, section 7.1.2).

    Raises:
        BadRequest: one of them is too long.
        OSError: the connection ends.
    """
    while True:
        line = source.read_until(b"\r\n", MAX_TRAILER_BYTES)
        if line is None:
            raise OSError
        if not line:
            return
