"""HTTP/1.1 calls over plain TCP, on httptools: a connection carries one call at a time."""

import asyncio
from collections.abc import Callable

import httptools

from flintreach.net.buffer import Buffer
from flintreach.net.clock import Clock
from flintreach.net.limits import Limits

# State, input, next state, and how the call ended.  A pair that is not here changes nothing.
STATES = {
    ("dialling", "connected"): ("awaiting response", None),
    ("dialling", "lost"): ("closed", "unsent"),
    ("dialling", "late"): ("closed", "unsent"),
    ("awaiting response", "whole"): ("idle", "answered"),
    ("awaiting response", "last"): ("closed", "answered"),
    ("awaiting response", "lost"): ("closed", "broken"),
    ("awaiting response", "late"): ("closed", "silent"),
    ("awaiting response", "garbled"): ("closed", "garbled"),
    ("idle", "call"): ("awaiting response", None),
    ("idle", "lost"): ("closed", None),
    ("idle", "garbled"): ("closed", None),
}


def parse_address(text: str) -> tuple[str, int]:
    """
    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


class Connection(asyncio.Protocol):
    """Dials at once and makes its first call; `on_end(how, status, body)` hears of each call's end once.

    With `on_chunk`, the body is a stream: it is handed on as it comes and no time limit runs once it does.
    """

    def __init__(
        self, clock: Clock, limits: Limits, target: str, on_end: Callable, on_chunk: Callable | None = None
    ):
        self.clock, self.limits = clock, limits
        self.target, self.on_end, self.on_chunk = target, on_end, on_chunk
        self.state, self.transport, self.parser = "dialling", None, None
        self.buffer, self.timer, self.request, self.wait = Buffer(limits.max_body_bytes), None, b"", 0

    def call(self, method: str, path: str, wait: int, body: bytes = b"") -> None:
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.target}\r\n"
        if body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        self.request, self.wait = head.encode() + b"\r\n" + body, wait
        if self.state == "idle":
            self.step("call")
        else:
            self.timer = self.clock.start_timeout(self.limits.dial_timeout, lambda: self.step("late"))
            self.task = self.clock.loop.create_task(self.dial())

    async def dial(self) -> None:
        try:
            await self.clock.loop.create_connection(lambda: self, *parse_address(self.target))
        except OSError:
            self.step("lost")

    def step(self, what: str) -> None:
        state, end = STATES.get((self.state, what), (self.state, None))
        if state == self.state:
            return
        self.state = state
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if state == "awaiting response":
            self.parser, self.whole = httptools.HttpResponseParser(self), None
            self.timer = self.clock.start_timeout(self.wait, lambda: self.step("late"))
            self.transport.write(self.request)
        elif state == "closed":
            self.shut()
        if end:
            status, body = (self.parser.get_status_code() if end == "answered" else 0), self.buffer.take_all()
            self.on_end(end, status, body if status else b"")  # part of a body is no answer

    def close(self) -> None:
        """Nothing more is heard of it."""
        self.state = "closed"
        if self.timer:
            self.timer.cancel()
        self.shut()

    def shut(self) -> None:
        if self.transport:
            self.transport.abort()
        else:
            self.task.cancel()

    def connection_made(self, transport) -> None:
        self.transport = transport
        if self.state == "closed":
            return transport.abort()
        self.step("connected")

    def data_received(self, data: bytes) -> None:
        if self.state != "awaiting response":
            return self.step("garbled")
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return self.step("garbled")
        if self.whole:
            self.step(self.whole)

    def connection_lost(self, error) -> None:
        self.step("lost")

    # What the parser finds.

    def on_headers_complete(self) -> None:
        if self.on_chunk and self.parser.get_status_code() != 200:
            raise ValueError("no stream")  # what it says of itself must not be read as news
        if self.on_chunk and self.timer:
            self.timer.cancel()

    def on_body(self, body: bytes) -> None:
        if self.on_chunk:
            self.on_chunk(body)
        else:
            self.buffer.append(body)
            self.buffer.check_limit()

    def on_message_complete(self) -> None:
        # The owner may call again at once: not from within the parser, which forgets this after the message.
        self.whole = "whole" if self.parser.should_keep_alive() else "last"
