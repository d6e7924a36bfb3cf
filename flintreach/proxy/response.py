"""Parsing of endpoints' responses with geventhttpclient's parser, keeping consecutive messages apart.

`exchange` feeds received bytes to the parser.  A faulty endpoint may send a second response after the first,
or a stale one in its place.  The library's own reader would merge the two bodies; this parser separates
messages at their boundaries and records that another message followed.
"""

from geventhttpclient._parser import HTTPParseError, HTTPResponseParser

from flintreach.common.memory_budget import Reservation

__all__ = ["HTTPParseError", "Response", "ResponseParser", "parse_count"]

# Longest count that is parsed, in digits; `int` raises for thousands of digits.
MAX_COUNT_DIGITS = 15

# Lower statuses are interim responses (RFC 9110, section 15.2).
FIRST_FINAL_STATUS = 200

# Headers that delimit a body (RFC 9112, section 6.3).
FRAMING_HEADERS = ("content-length", "transfer-encoding")

# Identifies the request that a response belongs to.
REQUEST_ID_HEADER = "x-try-id"


def parse_count(text: str) -> int | None:
    """Parse a non-negative decimal count from a header; None if it is malformed.

    `str.isdigit` alone does not suffice, as it accepts digits that `int` rejects, and `int` also raises for
    thousands of digits; either would abort the handling of a response.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_COUNT_DIGITS:
        return None
    return int(text)


class Response:
    """An endpoint's response.

    Attributes:
        status: HTTP status.
        reason: reason phrase.
        headers: [name, value] of each header, as received.
        body: body with the transfer coding removed.
        keep_alive: whether the connection is persistent according to HTTP.
        memory: the memory reserved for its body, if that is long.
    """

    __slots__ = ("status", "reason", "headers", "body", "keep_alive", "memory")

    def __init__(self) -> None:
        self.status = 0
        self.reason = ""
        self.headers: list[list[str]] = []
        self.body = bytearray()
        self.keep_alive = False
        self.memory: Reservation | None = None

    def get(self, name: str) -> str | None:
        """The first value of a header, whose name is given in lower case; None if it is absent."""
        return next((value for key, value in self.headers if key.lower() == name), None)

    def matches_request(self, request_id: str) -> bool:
        """Whether the response belongs to the request with this id, or to one without id if it is "".

        A response that has two different ids belongs to neither request.
        """
        request_ids = {value for key, value in self.headers if key.lower() == REQUEST_ID_HEADER and value}
        return request_ids == ({request_id} if request_id else set())


class ResponseParser(HTTPResponseParser):
    """Incremental parser; `feed` accepts a connection's bytes in pieces of any size.

    Args:
        to_head: whether the request was a HEAD, whose response has no body even if it has a length (RFC 9112,
            section 6.3).

    Attributes:
        complete: complete responses, without interim ones.
        message_in_progress: whether a message has begun and is not yet complete.
        has_extra_message: whether a message began after a complete response.
        has_framing_header: whether the last message has a header that delimits its body.
    """

    def __init__(self, to_head: bool = False) -> None:
        super().__init__()
        self.to_head = to_head
        self.complete: list[Response] = []
        self.message_in_progress = False
        self.has_extra_message = False
        self.has_framing_header = False
        self.current = Response()
        # Parser state: whether a header name, its value, and the end of the headers have been seen.
        self.in_header = False
        self.in_value = False
        self.in_body = False

    def announced_bytes(self) -> int:
        """The length in bytes that the message in progress announces for its body; 0 if it has none yet."""
        if not self.in_body or self.to_head:
            return 0
        return parse_count(self.current.get("content-length") or "") or 0

    def _on_message_begin(self) -> None:
        self.current = Response()
        self.message_in_progress = True
        self.in_header = False
        self.in_value = False
        self.has_framing_header = False
        self.has_extra_message = self.has_extra_message or bool(self.complete)
        self.in_body = False

    def _on_status(self, text: str) -> None:
        self.current.reason += text

    def _on_header_field(self, text: str) -> None:
        # A trailer (RFC 9110, section 6.5) must not be taken for an id or `X-Postmark` header.
        if self.in_body:
            return
        # The parser may deliver names and values in several pieces.
        if self.in_value or not self.in_header:
            self.current.headers.append([text, ""])
        else:
            self.current.headers[-1][0] += text
        self.in_header = True
        self.in_value = False

    def _on_header_value(self, text: str) -> None:
        if self.in_body:
            return
        self.current.headers[-1][1] += text
        self.in_value = True

    def _on_headers_complete(self) -> bool:
        """Return whether the parser must not expect a body."""
        self.current.status = self.get_code()
        self.in_body = True
        self.has_framing_header = any(name.lower() in FRAMING_HEADERS for name, _ in self.current.headers)
        return self.to_head

    def _on_body(self, data: bytes) -> None:
        self.current.body += data

    def _on_message_complete(self) -> None:
        self.message_in_progress = False
        if self.current.status >= FIRST_FINAL_STATUS:
            self.current.keep_alive = self.should_keep_alive()
            self.complete.append(self.current)
        self.current = Response()
