"""Responses of an endpoint, parsed by geventhttpclient's parser, one message kept apart from the next.

`exchange` feeds it what it reads.  A faulty endpoint may send a second response behind the first, or an old
one in its place.  The library's own reader would put both bodies into one: here each message ends where it
ends, and what comes behind it is noted.
"""

from geventhttpclient._parser import HTTPParseError, HTTPResponseParser

__all__ = ["HTTPParseError", "Response", "ResponseParser", "parse_count"]

# Digits of the longest count that is read: `int` refuses thousands of them.
MAX_COUNT_DIGITS = 15

# From this status on a response is final (RFC 9110, section 15.2).
FIRST_FINAL_STATUS = 200

# Headers that tell where a body ends (RFC 9112, section 6.3).
FRAMING_HEADERS = ("content-length", "transfer-encoding")

# Names whose request a response is for.
REQUEST_ID_HEADER = "x-try-id"


def parse_count(text: str) -> int | None:
    """A count as a header gives it, in decimal digits; None where it is none.

    `str.isdigit` alone takes digits that `int` refuses, and `int` refuses thousands of them: both would
    raise in the middle of a response.
    """
    if not text.isascii() or not text.isdigit() or len(text) > MAX_COUNT_DIGITS:
        return None
    return int(text)


class Response:
    """One response.

    Attributes:
        status: HTTP status.
        reason: its reason phrase.
        headers: [name, value] of each header, as they were sent.
        body: its body, without transfer coding.
        keep_alive: whether the connection may be used again, by HTTP's rules.
    """

    __slots__ = ("status", "reason", "headers", "body", "keep_alive")

    def __init__(self) -> None:
        self.status = 0
        self.reason = ""
        self.headers: list[list[str]] = []
        self.body = bytearray()
        self.keep_alive = False

    def get(self, name: str) -> str | None:
        """The value of a header, its name in lower case; the first where it stands twice."""
        return next((value for key, value in self.headers if key.lower() == name), None)

    def matches_request(self, request_id: str) -> bool:
        """Whether it belongs to the request with this id, "" for none.

        A response that names two requests belongs to neither.
        """
        named = {value for key, value in self.headers if key.lower() == REQUEST_ID_HEADER and value}
        return named == ({request_id} if request_id else set())


class ResponseParser(HTTPResponseParser):
    """Takes the bytes of a connection by `feed`, in any portions.

    Args:
        to_head: the request was a HEAD: its response has no body, whatever its length says (RFC 9112,
            section 6.3).

    Attributes:
        complete: responses that have ended, interim ones left out.
        begun: another one has begun behind them.
        surplus: something that is a message came behind a complete one.
        framed: whether the last one told where its body ends.
    """

    def __init__(self, to_head: bool = False) -> None:
        super().__init__()
        self.to_head = to_head
        self.complete: list[Response] = []
        self.begun = False
        self.surplus = False
        self.framed = False
        self.current = Response()
        # Parser's state: whether a header's name has been seen, its value, and the end of all headers.
        self.in_header = False
        self.in_value = False
        self.in_body = False

    def _on_message_begin(self) -> None:
        self.current = Response()
        self.begun = True
        self.in_header = False
        self.in_value = False
        self.framed = False
        self.surplus = self.surplus or bool(self.complete)
        self.in_body = False

    def _on_status(self, text: str) -> None:
        self.current.reason += text

    def _on_header_field(self, text: str) -> None:
        # Names and values come in portions.
        if self.in_body:  # a trailer (RFC 9110, section 6.5): it must not pass for an id or a stamp
            return
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
        """Returns whether the parser must not expect a body."""
        self.current.status = self.get_code()
        self.in_body = True
        self.framed = any(name.lower() in FRAMING_HEADERS for name, _ in self.current.headers)
        return self.to_head

    def _on_body(self, data: bytes) -> None:
        self.current.body += data

    def _on_message_complete(self) -> None:
        self.begun = False
        if self.current.status >= FIRST_FINAL_STATUS:
            self.current.keep_alive = self.should_keep_alive()
            self.complete.append(self.current)
        self.current = Response()
