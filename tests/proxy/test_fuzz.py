"""Property-based tests of the client listener with arbitrary input."""

import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from flintreach.config.configuration import RequestLimits
from flintreach.proxy.caller import Caller
from flintreach.proxy.client_listener import ClientHandler
from flintreach.proxy.message_memory import NO_LIMIT, message_memory
from flintreach.proxy.metrics import Metrics
from flintreach.proxy.request import ClientResponse, Request
from flintreach.proxy.request_parser import BadRequest, ByteSource, parse_head
from flintreach.proxy.response import ResponseParser

EXAMPLES = settings(derandomize=True, deadline=None, max_examples=150)


FRAGMENTS = st.sampled_from(
    [
        b"GET ",
        b"POST ",
        b"/a",
        b" HTTP/1.1",
        b"\r\n",
        b"\n",
        b"Host: a",
        b"Content-Length: 5",
        b"Content-Length: 0x5",
        b"Transfer-Encoding: chunked",
        b"Transfer-Encoding : chunked",
        b"5\r\nhello\r\n0\r\n\r\n",
        b"hello",
        b"\0",
        b" ",
        b"X-Try-Id: 1",
        b": ",
        b"\x80",
        b"\r\n\r\n",
        b"0\r\n\r\n",
        b"Content-Length: 5\r\nContent-Length: 6",
    ]
)


class FakeSocket:
    """Delivers `data` in pieces of at most `max_read_bytes` bytes and records what is sent."""

    def __init__(self, data: bytes, max_read_bytes: int) -> None:
        self.data = data
        self.max_read_bytes = max_read_bytes
        self.sent = b""
        self._sock = self

    def recv(self, size: int, *_: int) -> bytes:
        received = self.data[: self.max_read_bytes]
        self.data = self.data[self.max_read_bytes :]
        return received

    def sendall(self, data: bytes) -> None:
        self.sent += data

    def settimeout(self, _: float | None) -> None:
        pass

    def shutdown(self, _: int) -> None:
        pass

    def close(self) -> None:
        pass


class FakeHangupMonitor:
    """Replaces `HangupMonitor`, as a fake socket has no file descriptor and never disconnects."""

    def add(self, sock: FakeSocket, caller: Caller) -> None:
        pass

    def remove(self, sock: FakeSocket) -> None:
        pass


class FakeServer:
    """Fake `ClientListener` and forwarder that records the requests it receives."""

    draining = False

    def __init__(self) -> None:
        self.handlers: set[ClientHandler] = set()
        self.forwarder = self
        self.memory = message_memory(NO_LIMIT)
        self.metrics = Metrics()
        self.requests: list[Request] = []
        self.hangup_monitor = FakeHangupMonitor()

    def limits(self) -> RequestLimits:
        return RequestLimits(header_bytes=500, body_bytes=1000)

    def may_pipeline(self, request: Request) -> bool:
        return False

    def forward(self, request: Request) -> ClientResponse:
        self.requests.append(request)
        return ClientResponse(200, "OK", [], b"ok")


def serve(data: bytes, max_read_bytes: int) -> tuple[list[Request], bytes]:
    """Handle a connection with the given input; return the forwarded requests and the bytes sent back."""
    server = FakeServer()
    sock = FakeSocket(data, max_read_bytes)
    gevent.spawn(ClientHandler(sock, ("10.0.0.1", 1), server).handle).get(timeout=5)
    return server.requests, sock.sent


class ArbitraryInput(unittest.TestCase):
    @EXAMPLES
    @given(st.lists(FRAGMENTS | st.binary(max_size=6), max_size=30), st.integers(1, 40))
    def test_any_input_gives_valid_responses_or_a_close(
        self, parts: list[bytes], max_read_bytes: int
    ) -> None:
        requests, sent = serve(b"".join(parts), max_read_bytes)
        parser = ResponseParser()
        parser.feed(sent)  # raises if the output is not valid HTTP
        self.assertFalse(parser.message_in_progress)
        self.assertLessEqual(len(requests), len(parser.complete))

    @EXAMPLES
    @given(st.binary(max_size=300), st.integers(1, 200), st.integers(1, 50))
    def test_a_body_is_never_read_as_a_request(self, body: bytes, size: int, max_read_bytes: int) -> None:
        smuggled = b"GET /evil HTTP/1.1\r\nHost: a\r\n\r\n" + body
        plain = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(smuggled) + smuggled
        chunks = b"".join(
            b"%x\r\n%b\r\n" % (len(smuggled[start : start + size]), smuggled[start : start + size])
            for start in range(0, len(smuggled), size)
        )
        chunked = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
        for data in (plain, chunked):
            requests, _ = serve(data + b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n", max_read_bytes)
            self.assertEqual(
                [(request.target, request.body) for request in requests], [("/a", smuggled), ("/next", b"")]
            )

    @EXAMPLES
    @given(st.binary(max_size=200))
    def test_a_head_is_parsed_or_rejected(self, data: bytes) -> None:
        try:
            request = parse_head(data)
        except BadRequest:
            return
        encoded = f"{request.method} {request.target} HTTP/1.1\r\n" + "\r\n".join(
            f"{name}: {value}" for name, value in request.headers
        )
        self.assertEqual(parse_head(encoded.encode("latin-1")).headers, request.headers)

    def test_byte_source_joins_partial_reads(self) -> None:
        source = ByteSource(FakeSocket(b"abc\r\ndef", 1))
        self.assertEqual((source.read_until(b"\r\n", 10), source.read(9)), (b"abc", b"def"))


if __name__ == "__main__":
    unittest.main()
