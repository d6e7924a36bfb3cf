"""HTTP/1.1 client over plain TCP, on httptools: a connection carries one call at a time."""

import asyncio
from collections.abc import Callable

import httptools

from flintreach.net.buffer import Buffer
from flintreach.net.clock import Clock
from flintreach.net.limits import Limits

# (state, input) -> (next state, outcome of the call).  A pair that is not listed changes nothing.
STATES = {
    ("dialling", "connected"): ("awaiting response", None),
    ("dialling", "lost"): ("closed", "unsent"),
    ("dialling", "timeout"): ("closed", "unsent"),
    ("awaiting response", "complete"): ("idle", "answered"),
    ("awaiting response", "complete, not reusable"): ("closed", "answered"),
    ("awaiting response", "lost"): ("closed", "broken"),
    ("awaiting response", "timeout"): ("closed", "silent"),
    ("awaiting response", "garbled"): ("closed", "garbled"),
    ("idle", "call"): ("awaiting response", None),
    ("idle", "lost"): ("closed", None),
    ("idle", "garbled"): ("closed", None),
}


def parse_address(text: str) -> tuple[str, int]:
    """Split `host:port`; an IPv6 host stands in brackets.

    >>> parse_address("127.0.0.1:80")
    ('127.0.0.1', 80)

    Raises:
        ValueError: it is no such text.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host.strip("[]"), int(port)


class Connection(asyncio.Protocol):
    """One client connection, which dials with its first call.

    Args:
        clock: for its timeouts.
        limits: sizes and times that apply to it.
        target: address to dial, as `host:port`.
        on_end: called as `on_end(outcome, status, body)` once for each call.  The outcome is "answered",
            "unsent", "broken", "silent" or "garbled"; status and body are empty without an answer.
        on_chunk: makes the body a stream: called with each part as it comes; once the headers of a stream
            have come, no timeout runs.
    """

    def __init__(
        self, clock: Clock, limits: Limits, target: str, on_end: Callable, on_chunk: Callable | None = None
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.target = target
        self.on_end = on_end
        self.on_chunk = on_chunk
        self.state = "dialling"
        self.transport: asyncio.Transport | None = None
        self.parser: httptools.HttpResponseParser | None = None
        self.buffer = Buffer(limits.max_body_bytes)
        self.timer = None
        self.request = b""
        self.timeout = 0

    def call(self, method: str, path: str, timeout: int, body: bytes = b"") -> None:
        """Send a request; only after the last call has ended.

        Args:
            method: of HTTP.
            path: with its query.
            timeout: nanoseconds within which the answer must come.
            body: JSON, or nothing.
        """
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.target}\r\n"
        if body:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        self.request = head.encode() + b"\r\n" + body
        self.timeout = timeout
        if self.state == "idle":
            self.transition("call")
        else:
            self.timer = self.clock.start_timeout(
                self.limits.dial_timeout, lambda: self.transition("timeout")
            )
            self.task = self.clock.loop.create_task(self.dial())

    async def dial(self) -> None:
        """Connect to the target."""
        try:
            await self.clock.loop.create_connection(lambda: self, *parse_address(self.target))
        except OSError:
            self.transition("lost")

    def transition(self, trigger: str) -> None:
        """Feed one input to the state machine and act on the new state."""
        state, outcome = STATES.get((self.state, trigger), (self.state, None))
        if state == self.state:
            return
        self.state = state
        if self.timer:
            self.timer.cancel()
            self.timer = None
        if state == "awaiting response":
            self.parser = httptools.HttpResponseParser(self)
            self.completion = None
            self.timer = self.clock.start_timeout(self.timeout, lambda: self.transition("timeout"))
            self.transport.write(self.request)
        elif state == "closed":
            self.abort()
        if outcome:
            status = self.parser.get_status_code() if outcome == "answered" else 0
            body = self.buffer.take_all()
            self.on_end(outcome, status, body if status else b"")  # part of a body is no answer

    def close(self) -> None:
        """Close the connection without calling `on_end`."""
        self.state = "closed"
        if self.timer:
            self.timer.cancel()
        self.abort()

    def abort(self) -> None:
        """Drop the transport, or give up dialling."""
        if self.transport:
            self.transport.abort()
        else:
            self.task.cancel()

    def connection_made(self, transport) -> None:
        """Send the first request, unless the connection was closed meanwhile."""
        self.transport = transport
        if self.state == "closed":
            transport.abort()
            return
        self.transition("connected")

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; data that nothing was asked for ends the connection."""
        if self.state != "awaiting response":
            self.transition("garbled")
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.transition("garbled")
            return
        if self.completion:
            self.transition(self.completion)

    def connection_lost(self, error: Exception | None) -> None:
        """End the call that is under way."""
        self.transition("lost")

    # Callbacks of the parser.

    def on_headers_complete(self) -> None:
        """Refuse an error status in place of a stream; stop the timeout of a stream that starts."""
        if self.on_chunk and self.parser.get_status_code() != 200:
            raise ValueError("no stream")  # the body of an error must not be read as feed messages
        if self.on_chunk and self.timer:
            self.timer.cancel()

    def on_body(self, body: bytes) -> None:
        """Pass a part of a stream on, or keep it within the limit of a body."""
        if self.on_chunk:
            self.on_chunk(body)
        else:
            self.buffer.append(body)
            self.buffer.check_limit()

    def on_message_complete(self) -> None:
        """Note the end of the response.

        `on_end` may make the next call at once, which must not happen within the parser: it resets its state
        after the message.
        """
        self.completion = "complete" if self.parser.should_keep_alive() else "complete, not reusable"
