"""Tests of `parse_head`."""

import unittest

from flintreach.proxy.request_parser import BadRequest, parse_head


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
