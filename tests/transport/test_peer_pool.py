"""Tests of requests by address, their time limits, and traffic counters."""

import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

import gevent

from flintreach.transport.peer_connection import Address, PeerConnection
from tests.transport.peers import PeerTestCase


class Requests(PeerTestCase):
    def test_a_request_that_cannot_be_answered_fails_immediately(self) -> None:
        """Covers failed handlers, responses that are too long or cannot be encoded, and unknown kinds."""

        def raises(link: PeerConnection, body: Any) -> None:
            raise KeyError(body)

        peer = self.pool(
            raises=raises,
            odd=lambda link, body: object(),
            good=lambda link, body: 1,
            long=lambda link, body: b"x" * 5000,
        )
        requester = self.pool()
        with (
            mock.patch("flintreach.transport.peer_connection.MAX_MESSAGE_BYTES", 4000),
            gevent.Timeout(2),
            mock.patch.object(gevent.get_hub(), "handle_error"),
        ):
            for kind in ("raises", "long", "odd", "no such kind"):
                self.assertIsNone(requester.ask(peer.server.address, kind, None, 30.0), kind)
                self.assertEqual(requester.ask(peer.server.address, "good"), 1)
        self.assertEqual(len(requester.connections), 1)
        self.assertEqual(
            peer.meter.faults, {"raises failed": 1, "too long": 1, "odd failed": 1, "unknown question": 1}
        )

    def test_a_message_that_is_too_long_fails_at_the_sender(self) -> None:
        peer = self.pool(good=lambda link, body: 1)
        requester = self.pool()
        address = peer.server.address
        with mock.patch("flintreach.transport.peer_connection.MAX_MESSAGE_BYTES", 4000), gevent.Timeout(2):
            self.assertEqual(requester.ask(address, "good"), 1)
            link = requester.connections[address]
            self.assertIsNone(requester.ask(address, "good", b"x" * 4000, 30.0))
            self.assertFalse(link.send("good", b"x" * 4000))
            self.assertTrue(link.send("good", b"x" * 3000))
            self.assertEqual(requester.ask(address, "good"), 1)
        self.assertIs(requester.connections[address], link)
        self.assertEqual(requester.meter.faults, {"too long": 2})


class Timeouts(PeerTestCase):
    def test_a_timeout_of_the_caller_propagates(self) -> None:
        requester = self.pool()
        address = self.scripted_peer("stops reading").address
        with self.assertRaises(gevent.Timeout):
            with gevent.Timeout(0.02):
                requester.ask(address, "k", None, 30.0)
        self.assertEqual(requester.connections[address].pending, {})

    def test_one_timeout_covers_the_connection_and_the_response(self) -> None:
        requester = self.pool()
        now = [100.0]

        def connect(address: Address, timeout: float) -> SimpleNamespace:
            now[0] += 0.7
            return SimpleNamespace(ask=lambda kind, body, timeout: timeout)

        with (
            mock.patch.object(requester, "connect", connect),
            mock.patch.object(requester.runtime, "now", lambda: now[0]),
        ):
            self.assertAlmostEqual(requester.ask(("10.0.0.1", 7), "k", None, 1.0), 0.3)
            self.assertIsNone(requester.ask(("10.0.0.1", 7), "k", None, 0.5))


class Traffic(PeerTestCase):
    def test_messages_and_bytes_are_counted_by_kind(self) -> None:
        peer = self.pool(echo=lambda link, body: body)
        requester = self.pool()
        for _ in range(3):
            requester.ask(peer.server.address, "echo", b"x" * 1000)
        requester.connections[peer.server.address].send("stray", 1)
        requester.ask(peer.server.address, "echo")
        requester_rows = {row["kind"]: row for row in requester.traffic()}
        peer_rows = {row["kind"]: row for row in peer.traffic()}
        self.assertEqual(
            [
                (
                    requester_rows["echo"]["out"],
                    peer_rows["echo"]["in"],
                    peer_rows["unknown"]["in"],
                    peer_rows["echo reply"]["out"],
                    requester_rows["echo reply"]["in"],
                )
            ],
            [(4, 4, 1, 4, 4)],
        )
        for kind, requester_side, peer_side in (("echo", "out", "in"), ("echo reply", "in", "out")):
            self.assertGreater(requester_rows[kind][f"{requester_side}_bytes"], 3000)
            self.assertEqual(
                requester_rows[kind][f"{requester_side}_bytes"], peer_rows[kind][f"{peer_side}_bytes"]
            )


if __name__ == "__main__":
    unittest.main()
