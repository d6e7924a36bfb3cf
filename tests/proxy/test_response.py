"""Tests of `ResponseParser`."""

import unittest

from flintreach.proxy.response import HTTPParseError, ResponseParser


class Responses(unittest.TestCase):
    HEAD = b"HTTP/1.1 200 OK\r\nX-Try-Id: %b\r\nContent-Length: %d\r\n\r\n"

    def response(self, request_id: bytes, body: bytes) -> bytes:
        """An encoded response with a Content-Length header."""
        return self.HEAD % (request_id, len(body)) + body

    def test_bodies_of_consecutive_responses_are_kept_apart(self) -> None:
        parser = ResponseParser()
        parser.feed(self.response(b"1", b"a") + self.response(b"0", b"old"))
        self.assertEqual([bytes(response.body) for response in parser.complete], [b"a", b"old"])

    def test_a_complete_response_before_malformed_data_is_kept(self) -> None:
        parser = ResponseParser()
        with self.assertRaises(HTTPParseError):
            parser.feed(self.response(b"1", b"abc") + b"\x00\x01garbage\r\n\r\n")
        self.assertEqual([bytes(response.body) for response in parser.complete], [b"abc"])
        self.assertTrue(parser.parser_failed() or parser.message_in_progress)

    def test_truncated_responses_are_never_complete(self) -> None:
        encoded = self.response(b"1", b"abcdef")
        for cut in range(len(encoded)):
            parser = ResponseParser()
            parser.feed(encoded[:cut])
            self.assertEqual(parser.complete, [])

    def test_a_response_to_head_ends_with_its_head(self) -> None:
        parser = ResponseParser(to_head=True)
        parser.feed(self.HEAD % (b"1", 500))
        self.assertEqual(
            [(response.get("content-length"), bytes(response.body)) for response in parser.complete],
            [("500", b"")],
        )

    def test_interim_responses_are_ignored_for_any_split_of_the_data(self) -> None:
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + self.response(b"7", b"xy")
        for size in range(1, len(data)):
            parser = ResponseParser()
            for start in range(0, len(data), size):
                parser.feed(data[start : start + size])
            self.assertEqual(
                [
                    (response.status, response.get("x-try-id"), bytes(response.body))
                    for response in parser.complete
                ],
                [(200, "7", b"xy")],
                size,
            )


if __name__ == "__main__":
    unittest.main()
