"""Tests of `parse_head` and `read_body`."""

import unittest

import gevent

from flintreach.proxy.request import Request
from flintreach.proxy.request_parser import BadRequest, ByteSource, parse_head, read_body

TURN_BYTES = 8 << 20  # upper bound on what may be read before another task runs


class FastSender:
    """A socket whose next bytes have always arrived."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def recv(self, size: int) -> bytes:
        piece = self.data[self.position : self.position + size]
        self.position += len(piece)
        return piece


class Bodies(unittest.TestCase):
    def test_a_body_that_arrives_as_fast_as_it_is_read_lets_other_tasks_run(self) -> None:
        """Guards against a proxy that answered nobody else for seconds while it read small chunks."""
        chunked = {"transfer-encoding": "chunked"}
        plain = {"content-length": str(4 * TURN_BYTES)}
        cases = (
            (chunked, b"20\r\n" + bytes(32) + b"\r\n", TURN_BYTES // 32, b"0\r\n\r\n"),
            (plain, bytes(65536), 4 * TURN_BYTES // 65536, b""),
        )
        for headers, piece, count, end in cases:
            sender = FastSender(piece * count + end)
            positions = [0]

            def run_beside(sender: FastSender = sender, positions: list[int] = positions) -> None:
                while sender.position < len(sender.data):
                    positions.append(sender.position)
                    gevent.sleep(0)

            other_task = gevent.spawn(run_beside)
            request = Request("POST", "/", [], headers_by_name=headers)
            read_body(ByteSource(sender), request, len(sender.data))
            other_task.join()
            turns = [later - earlier for earlier, later in zip(positions, positions[1:], strict=False)]
            self.assertLess(max(turns, default=len(sender.data)), TURN_BYTES, headers)


class Heads(unittest.TestCase):
    def test_malformed_and_ambiguous_heads_are_rejected(self) -> None:
        valid_head = b"POST /a%2Fb?q=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3"
        self.assertEqual(parse_head(valid_head).target, "/a%2Fb?q=1")
        rejected_heads = [
            valid_head + b"\r\nContent-Length: 3",
            valid_head + b"\r\nTransfer-Encoding: chunked",
            valid_head + b"\r\n folded: 1",
            b"GET / HTTP/1.1",
            b"GET / HTTP/1.1\r\nHost: a\nX: 1",
            b"GET  / HTTP/1.1\r\nHost: a",
            b"GET /a b HTTP/1.1\r\nHost: a",
            b"GET / HTTP/1.1\r\nHost : a",
            valid_head.replace(b" 3", b" +3"),
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked",
            b"GET / HTTP/1.1\r\nHost: a\r\nHost: b",
        ]
        for head in rejected_heads:
            with self.assertRaises(BadRequest, msg=head):
                parse_head(head)


if __name__ == "__main__":
    unittest.main()
