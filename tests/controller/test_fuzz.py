"""Fuzzing of a controller's inputs: responses, configurations and membership datagrams."""

import unittest
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from flintreach.common.keys import ROLE_PROXY
from flintreach.config import configuration
from flintreach.membership.member_list import Member, MemberList
from flintreach.proxy.response import HTTPParseError, ResponseParser

REPRODUCIBLE = settings(derandomize=True, deadline=None, max_examples=150)


class FuzzedInputs(unittest.TestCase):
    @REPRODUCIBLE
    @given(st.binary(max_size=200), st.binary(max_size=40), st.integers(1, 60))
    def test_a_response_is_parsed_completely_at_any_chunk_size(
        self, body: bytes, trailing: bytes, chunk_size: int
    ) -> None:
        data = (
            b"HTTP/1.1 200 OK\r\nX-Try-Id: 7\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body) + trailing
        )
        parser = ResponseParser()
        try:
            for offset in range(0, len(data), chunk_size):
                parser.feed(data[offset : offset + chunk_size])
        except HTTPParseError:
            pass
        self.assertEqual(bytes(parser.complete[0].body), body)
        self.assertEqual(parser.complete[0].get("x-try-id"), "7")

    @REPRODUCIBLE
    @given(st.binary(max_size=300))
    def test_a_configuration_is_accepted_or_rejected(self, data: bytes) -> None:
        try:
            configuration.check(data)
        except configuration.ConfigError:
            pass

    @REPRODUCIBLE
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: st.lists(inner, max_size=5),
            max_leaves=12,
        )
    )
    def test_a_datagram_of_any_shape_leaves_the_member_list_intact(self, message: Any) -> None:
        member_list = MemberList(Member("a", ROLE_PROXY, "10.0.0.1", 7, "z", "r", incarnation=5), lambda n: 0)
        try:
            member_list.receive(("10.0.0.2", 7), msgspec.msgpack.decode(msgspec.msgpack.encode(message)), 0)
        except (TypeError, ValueError):  # ignored by the receive loop
            pass
        except OverflowError:  # from integers that msgpack can't encode, so no datagram contains them
            pass
        self.assertIn("a", member_list.members)
        self.assertEqual(member_list.local_member.name, "a")


if __name__ == "__main__":
    unittest.main()
