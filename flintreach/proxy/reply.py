"""Answers of an endpoint, parsed by geventhttpclient's parser, one message kept apart from the next.

An endpoint in trouble may send a second answer behind the first, or an old one in its place.  The
library's own reader would put both bodies into one: here each message ends where it ends, and what comes
behind it is told.
"""

from geventhttpclient._parser import HTTPParseError, HTTPResponseParser

__all__ = ["HTTPParseError", "Message", "Replies", "number"]


def number(text: str) -> int | None:
    """A count as a header gives it, in decimal digits; None where it is none.  `str.isdigit` alone takes
    digits that `int` refuses, and `int` refuses thousands of them: both would raise amid an answer."""
    return int(text) if text.isascii() and text.isdigit() and len(text) <= 15 else None


class Message:
    __slots__ = ("status", "reason", "headers", "body", "keep")

    def __init__(self):
        self.status, self.reason, self.headers, self.body, self.keep = 0, "", [], bytearray(), False

    def get(self, name: str) -> str | None:
        """The value of a header, its name in lower case; the first where it stands twice."""
        return next((value for key, value in self.headers if key.lower() == name), None)

    def answers(self, id: str) -> bool:
        """Whether it belongs to the request with this id: one that names two belongs to neither."""
        named = {value for key, value in self.headers if key.lower() == "x-try-id" and value}
        return named == ({id} if id else set())


class Replies(HTTPResponseParser):
    """`whole`: messages that have ended, interim ones left out.  `begun`: another has begun behind them;
    `surplus`: something that is a message came behind a whole one."""

    def __init__(self, bare: bool = False):
        super().__init__()
        self.bare = bare  # answers to HEAD have no body, whatever their length says
        self.whole: list[Message] = []
        self.now, self.begun, self.field, self.is_value, self.framed = Message(), False, None, False, False
        self.surplus, self.in_body = False, False

    def _on_message_begin(self):
        self.now, self.begun, self.field, self.is_value, self.framed = Message(), True, None, False, False
        self.surplus, self.in_body = self.surplus or bool(self.whole), False

    def _on_status(self, text):
        self.now.reason += text

    def _on_header_field(self, text):
        if self.in_body:  # a trailer: it must not pass for an id or a stamp
            return
        if self.is_value or self.field is None:
            self.now.headers.append([text, ""])
        else:
            self.now.headers[-1][0] += text
        self.field, self.is_value = text, False

    def _on_header_value(self, text):
        if self.in_body:
            return
        self.now.headers[-1][1] += text
        self.is_value = True

    def _on_headers_complete(self):
        self.now.status, self.in_body = self.get_code(), True
        self.framed = any(
            name.lower() in ("content-length", "transfer-encoding") for name, _ in self.now.headers
        )
        return self.bare

    def _on_body(self, data):
        self.now.body += data

    def _on_message_complete(self):
        self.begun = False
        if self.now.status >= 200:
            self.now.keep = self.should_keep_alive()
            self.whole.append(self.now)
        self.now = Message()
