"""Bytes of any shape at the listener for clients."""

import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from flintreach.config.configuration import RequestLimits
from flintreach.proxy.front import FrontHandler
from flintreach.proxy.intake import BadRequest, Source, parse
from flintreach.proxy.reply import Replies

CALM = settings(derandomize=True, deadline=None, max_examples=150)


WORDS = st.sampled_from(
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


class Peer:
    """A socket that gives bytes in portions and takes whatever is sent."""

    def __init__(self, data, portion):
        self.data, self.portion, self.out, self._sock = data, portion, b"", self

    def recv(self, size, *_):
        got, self.data = self.data[: self.portion], self.data[self.portion :]
        return got

    def sendall(self, data):
        self.out += data

    def settimeout(self, _):
        pass

    shutdown = settimeout

    def close(self):
        pass


class NoHangups:
    """In place of the monitor: a peer made of bytes has no descriptor, and stays."""

    def add(self, sock, caller):
        pass

    def remove(self, sock):
        pass


class Server:
    """Counts what reaches the carrying path."""

    draining = False

    def __init__(self):
        self.handlers, self.carrier, self.came, self.hangups = set(), self, [], NoHangups()

    def limits(self):
        return RequestLimits(header_bytes=500, body_bytes=1000)

    def alike(self, request):
        return False

    def carry(self, request):
        from flintreach.proxy.request import Answer

        self.came.append(request)
        return Answer(200, "OK", [], b"ok")


def served(data, portion):
    server, peer = Server(), Peer(data, portion)
    gevent.spawn(FrontHandler(peer, ("10.0.0.1", 1), server).handle).get(timeout=5)
    return server.came, peer.out


class Fronts(unittest.TestCase):
    @CALM
    @given(st.lists(WORDS | st.binary(max_size=6), max_size=30), st.integers(1, 40))
    def test_any_bytes_end_in_answers_or_a_close(self, parts, portion):
        came, out = served(b"".join(parts), portion)
        replies = Replies()
        replies.feed(out)  # what the client gets is HTTP to the last byte
        self.assertFalse(replies.begun)
        self.assertLessEqual(len(came), len(replies.whole))

    @CALM
    @given(st.binary(max_size=300), st.integers(1, 200), st.integers(1, 50))
    def test_a_body_is_never_read_as_a_request(self, body, size, portion):
        smuggled = b"GET /evil HTTP/1.1\r\nHost: a\r\n\r\n" + body
        plain = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(smuggled) + smuggled
        chunks = b"".join(
            b"%x\r\n%b\r\n" % (len(smuggled[at : at + size]), smuggled[at : at + size])
            for at in range(0, len(smuggled), size)
        )
        chunked = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
        for data in (plain, chunked):
            came, _ = served(data + b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n", portion)
            self.assertEqual([(r.target, r.body) for r in came], [("/a", smuggled), ("/next", b"")])

    @CALM
    @given(st.binary(max_size=200))
    def test_a_head_is_read_or_refused(self, data):
        try:
            request = parse(data)
        except BadRequest:
            return
        again = f"{request.method} {request.target} HTTP/1.1\r\n" + "\r\n".join(
            f"{name}: {value}" for name, value in request.headers
        )
        self.assertEqual(parse(again.encode("latin-1")).headers, request.headers)

    def test_portions_of_a_source_add_up(self):
        source = Source(Peer(b"abc\r\ndef", 1))
        self.assertEqual((source.until(b"\r\n", 10), source.read(9)), (b"abc", b"def"))


if __name__ == "__main__":
    unittest.main()
