"""Parsing of requests from a client's connection.

Against request smuggling (RFC 9112, section 11.2), requests that another parser could read differently are
rejected: the target is not decoded, and a request has at most one length.
"""

from collections.abc import Callable, Iterator
from typing import Protocol

import gevent

from flintreach.proxy.request import Request

READ_SIZE = 65536

# Other tasks run after so many reads from the buffer: receiving gives way only if no data has arrived.
READS_BETWEEN_YIELDS = 64

END_OF_LINE = b"\r\n"

# Memory that is reserved at a time for a body of unknown length; at least `READ_SIZE`.
RESERVE_STEP_BYTES = 256 << 10

# Maximum length of a chunk-size line and of one trailer, in bytes.
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_BYTES = 8192

# Maximum digits of a body's length (decimal) and of a chunk's size (hexadecimal).
MAX_LENGTH_DIGITS = 15
MAX_CHUNK_SIZE_DIGITS = 12
HEXADECIMAL_DIGITS = b"0123456789abcdefABCDEF"

# Headers that may occur only once, as parsers may differ in which of several values they use.
SINGLETON_HEADERS = {
    "host",
    "content-length",
    "transfer-encoding",
    "x-try-id",
    "x-time-left-ms",
    "x-shard-key",
}

# Characters allowed in a method and in a header name (RFC 9110, section 5.6.2).
TOKEN_CHARACTERS = frozenset("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


# Reserves memory for a message; see the parameter `reserve` of `read_body`.
Reserve = Callable[[int], None]


class BadRequest(Exception):
    """A request that is rejected before it is routed.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class ReceivingSocket(Protocol):
    """The part of the socket interface that `ByteSource` uses."""

    def recv(self, size: int, /) -> bytes:
        """Receive up to `size` bytes; empty at the end of the stream."""


class ByteSource:
    """Buffered reader of a connection.

    Attributes:
        buffer: bytes that were received but not yet consumed.
        ended: whether the end of the stream was reached.
        reads: number of reads from the buffer.
    """

    def __init__(self, sock: ReceivingSocket) -> None:
        self.sock = sock
        self.buffer = bytearray()
        self.ended = False
        self.reads = 0

    def count_read(self) -> None:
        """Count a read from the buffer, and let other tasks run after some of them."""
        self.reads += 1
        if self.reads % READS_BETWEEN_YIELDS == 0:
            gevent.sleep(0)

    def receive(self) -> bool:
        """Receive more bytes into the buffer; False at the end of the stream."""
        if self.ended:
            return False
        data = self.sock.recv(READ_SIZE)
        self.buffer += data
        self.ended = not data
        return bool(data)

    def read(self, size: int) -> bytes:
        """Consume `size` bytes; fewer if the stream ends first."""
        return b"".join(self.read_pieces(size))

    def read_pieces(self, size: int) -> Iterator[bytes]:
        """Consume `size` bytes as they arrive; fewer if the stream ends first.

        Yields:
            Pieces of at most `READ_SIZE` bytes, so that no second copy of a long body is made.
        """
        while size > 0 and (self.buffer or self.receive()):
            piece = bytes(self.buffer[: min(size, READ_SIZE)])
            del self.buffer[: len(piece)]
            size -= len(piece)
            self.count_read()
            yield piece

    def read_until(self, delimiter: bytes, max_bytes: int) -> bytes | None:
        """Consume the bytes up to a delimiter and the delimiter; return them without it, or None at the end.

        Raises:
            BadRequest: the bytes before the delimiter exceed `max_bytes`.
        """
        searched_bytes = 0
        while (index := self.buffer.find(delimiter, max(0, searched_bytes - len(delimiter)))) < 0:
            searched_bytes = len(self.buffer)
            if searched_bytes > max_bytes:
                raise BadRequest(431)
            if not self.receive():
                return None
        if index > max_bytes:
            raise BadRequest(431)
        taken = bytes(self.buffer[:index])
        del self.buffer[: index + len(delimiter)]
        self.count_read()
        return taken


def parse_head(head: bytes) -> Request:
    """Parse the head of a request, given without the final empty line.

    Raises:
        BadRequest: the head is malformed or ambiguous.
    """
    text = head.decode("latin-1")
    first_line, *header_lines = text.split("\r\n")
    # Another parser may accept a bare LF as the end of a line (RFC 9112, section 2.2).
    if "\n" in text.replace("\r\n", ""):
        raise BadRequest(400)
    request = parse_request_line(first_line)
    for line in header_lines:
        add_header(request, line)
    # RFC 9112, section 3.2: a request without Host is rejected.
    if not request.headers_by_name.get("host"):
        raise BadRequest(400)
    check_framing(request)
    return request


def parse_request_line(line: str) -> Request:
    """Parse a request line (RFC 9112, section 3) into a request without headers.

    Raises:
        BadRequest: the line is malformed, the version is not HTTP/1.1, or the target is not a path.
    """
    parts = line.split(" ")
    if len(parts) != 3:
        raise BadRequest(400)
    method, target, version = parts
    if (
        version != "HTTP/1.1"
        or not method
        or not TOKEN_CHARACTERS.issuperset(method)
        or not target.startswith("/")
    ):
        raise BadRequest(400)
    if any(char < "!" or char > "~" for char in target):
        raise BadRequest(400)
    return Request(method, target, [])


def add_header(request: Request, line: str) -> None:
    """Parse a header line and add it to a request.

    Header names must be tokens, so white space before the colon and folded lines are rejected (RFC 9112,
    sections 5.1 and 5.2).

    Raises:
        BadRequest: the line is malformed, or repeats a header that may occur only once.
    """
    name, colon, value = line.partition(":")
    value = value.strip(" \t")
    if not colon or not name or not TOKEN_CHARACTERS.issuperset(name) or "\r" in value or "\0" in value:
        raise BadRequest(400)
    lower_name = name.lower()
    earlier_value = request.headers_by_name.get(lower_name)
    if earlier_value is None:
        request.headers_by_name[lower_name] = value
    elif lower_name in SINGLETON_HEADERS:
        raise BadRequest(400)
    else:
        request.headers_by_name[lower_name] = f"{earlier_value},{value}"
    request.headers.append((name, value))


def check_framing(request: Request) -> None:
    """Check that the length of a request's body is unambiguous (RFC 9112, sections 6.1 and 6.3).

    Raises:
        BadRequest: there are two lengths, a malformed one, or a transfer coding other than chunked.
    """
    length = request.headers_by_name.get("content-length")
    coding = request.headers_by_name.get("transfer-encoding")
    if coding is not None:
        if length is not None or coding.lower() != "chunked":
            raise BadRequest(400)
    elif length is not None:
        if not (length.isascii() and length.isdigit()) or len(length) > MAX_LENGTH_DIGITS:
            raise BadRequest(400)


def reserve_nothing(size: int) -> None:
    """Default for the parameter `reserve` of `read_body`: memory is not limited."""


def read_body(
    source: ByteSource, request: Request, max_bytes: int, reserve: Reserve = reserve_nothing
) -> bytes | bytearray:
    """Read the body of a request.

    Args:
        source: the connection, at the beginning of the body.
        request: the request.
        max_bytes: maximum length of a body.
        reserve: called with the memory in bytes that the body takes, before it is read; for a body of
            unknown length repeatedly, with the memory in all.

    Raises:
        BadRequest: the body exceeds `max_bytes` or is malformed.
        OSError: the connection ends before the body is complete.
        Exception: whatever `reserve` raises.
    """
    if "transfer-encoding" in request.headers_by_name:
        return read_chunked_body(source, max_bytes, reserve)
    length = int(request.headers_by_name.get("content-length", 0))
    if length > max_bytes:
        raise BadRequest(413)
    if not length:
        return b""
    reserve(length)
    body = bytearray(length)
    position = 0
    for piece in source.read_pieces(length):
        body[position : position + len(piece)] = piece
        position += len(piece)
    if position < length:
        raise OSError
    return body


def read_chunked_body(source: ByteSource, max_bytes: int, reserve: Reserve = reserve_nothing) -> bytearray:
    """Read a chunked body (RFC 9112, section 7.1); see `read_body` for the parameters.

    Raises:
        BadRequest: the body exceeds `max_bytes` or is malformed.
        OSError: the connection ends before the body is complete.
        Exception: whatever `reserve` raises.
    """
    body = bytearray()
    reserved_bytes = 0
    while True:
        size = read_chunk_size(source)
        if not size:
            break
        if len(body) + size > max_bytes:
            raise BadRequest(413)
        end = len(body) + size
        for piece in source.read_pieces(size):
            if len(body) + len(piece) > reserved_bytes:
                reserved_bytes = len(body) + RESERVE_STEP_BYTES
                reserve(reserved_bytes)
            body += piece
        line_end = source.read(len(END_OF_LINE))
        if len(body) < end or len(line_end) < len(END_OF_LINE):
            raise OSError
        if line_end != END_OF_LINE:
            raise BadRequest(400)
    skip_trailers(source)
    return body


def read_chunk_size(source: ByteSource) -> int:
    """Read the size of the next chunk, ignoring its extensions (RFC 9112, section 7.1.1); 0 for the last one.

    Raises:
        BadRequest: the size is malformed.
        OSError: the connection ends first.
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
    """Discard the trailers after a chunked body (RFC 9112, section 7.1.2).

    Raises:
        BadRequest: a trailer is too long.
        OSError: the connection ends first.
    """
    while True:
        line = source.read_until(b"\r\n", MAX_TRAILER_BYTES)
        if line is None:
            raise OSError
        if not line:
            return
