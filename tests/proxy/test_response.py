"""Endpoints' answers, parsed."""

import unittest

from flintreach.proxy.response import HTTPParseError, ResponseParser


class Answers(unittest.TestCase):
    HEAD = b"HTTP/1.1 200 OK\r\nX-Try-Id: %b\r\nContent-Length: %d\r\n\r\n"

    def answer(self, id, body):
        return self.HEAD % (id, len(body)) + body

    def test_a_body_ends_where_its_message_ends(self):
        parser = ResponseParser()
        parser.feed(self.answer(b"1", b"a") + self.answer(b"0", b"old"))
        self.assertEqual([bytes(m.body) for m in parser.complete], [b"a", b"old"])

    def test_what_is_whole_before_garbage_counts_and_the_rest_is_told(self):
        parser = ResponseParser()
        with self.assertRaises(HTTPParseError):
            parser.feed(self.answer(b"1", b"abc") + b"\x00\x01garbage\r\n\r\n")
        self.assertEqual([bytes(m.body) for m in parser.complete], [b"abc"])
        self.assertTrue(parser.parser_failed() or parser.begun)

    def test_cut_bodies_never_look_whole(self):
        whole = self.answer(b"1", b"abcdef")
        for cut in range(len(whole)):
            parser = ResponseParser()
            parser.feed(whole[:cut])
            self.assertEqual(parser.complete, [])

    def test_an_answer_to_head_ends_with_its_head(self):
        parser = ResponseParser(to_head=True)
        parser.feed(self.HEAD % (b"1", 500))
        self.assertEqual([(m.get("content-length"), bytes(m.body)) for m in parser.complete], [("500", b"")])

    def test_interim_answers_are_passed_over_in_any_portions(self):
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + self.answer(b"7", b"xy")
        for size in range(1, len(data)):
            parser = ResponseParser()
            for at in range(0, len(data), size):
                parser.feed(data[at : at + size])
            self.assertEqual(
                [(m.status, m.get("x-try-id"), bytes(m.body)) for m in parser.complete],
                [(200, "7", b"xy")],
                size,
            )


if __name__ == "__main__":
    unittest.main()
