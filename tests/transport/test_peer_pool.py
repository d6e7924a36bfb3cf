"""A pool asks by address, within one time limit, and counts its traffic."""

import unittest
from types import SimpleNamespace
from typing import Any
from unittest import mock

import gevent

from flintreach.transport.peer_connection import Address, PeerConnection
from tests.transport.peers import WithPeers


class Questions(WithPeers):
    def test_a_question_that_can_not_be_answered_fails_at_once(self) -> None:
        """A handler that raised, an answer that is too long or can't be encoded, an unknown kind."""

        def raises(link: PeerConnection, body: Any) -> None:
            raise KeyError(body)

        peer = self.pool(
            raises=raises,
            odd=lambda link, body: object(),
            good=lambda link, body: 1,
            long=lambda link, body: b"x" * 5000,
        )
        asker = self.pool()
        with (
            mock.patch("flintreach.transport.peer_connection.MAX_MESSAGE_BYTES", 4000),
            gevent.Timeout(2),
            mock.patch.object(gevent.get_hub(), "handle_error"),
        ):
            for kind in ("raises", "long", "odd", "no such kind"):
                self.assertIsNone(asker.ask(peer.server.address, kind, None, 30.0), kind)
                self.assertEqual(asker.ask(peer.server.address, "good"), 1)
        self.assertEqual(len(asker.connections), 1)
        self.assertEqual(
            peer.meter.faults, {"raises failed": 1, "too long": 1, "odd failed": 1, "unknown question": 1}
        )

    def test_a_message_that_is_too_long_fails_where_it_is_sent(self) -> None:
        peer = self.pool(good=lambda link, body: 1)
        asker = self.pool()
        address = peer.server.address
        with mock.patch("flintreach.transport.peer_connection.MAX_MESSAGE_BYTES", 4000), gevent.Timeout(2):
            self.assertEqual(asker.ask(address, "good"), 1)
            link = asker.connections[address]
            self.assertIsNone(asker.ask(address, "good", b"x" * 4000, 30.0))
            self.assertFalse(link.send("good", b"x" * 4000))
            self.assertTrue(link.send("good", b"x" * 3000))
            self.assertEqual(asker.ask(address, "good"), 1)
        self.assertIs(asker.connections[address], link)
        self.assertEqual(asker.meter.faults, {"too long": 2})


class TimeLimits(WithPeers):
    def test_a_time_limit_of_the_caller_passes_through(self) -> None:
        asker = self.pool()
        address = self.scripted_peer("stops reading").address
        with self.assertRaises(gevent.Timeout):
            with gevent.Timeout(0.02):
                asker.ask(address, "k", None, 30.0)
        self.assertEqual(asker.connections[address].pending, {})

    def test_one_time_limit_holds_for_the_connection_and_the_answer(self) -> None:
        asker = self.pool()
        now = [100.0]

        def connect(address: Address, timeout: float) -> SimpleNamespace:
            now[0] += 0.7
            return SimpleNamespace(ask=lambda kind, body, timeout: timeout)

        with (
            mock.patch.object(asker, "connect", connect),
            mock.patch.object(asker.runtime, "now", lambda: now[0]),
        ):
            self.assertAlmostEqual(asker.ask(("10.0.0.1", 7), "k", None, 1.0), 0.3)
            self.assertIsNone(asker.ask(("10.0.0.1", 7), "k", None, 0.5))


class Traffic(WithPeers):
    def test_messages_and_bytes_are_counted_by_kind(self) -> None:
        peer = self.pool(echo=lambda link, body: body)
        asker = self.pool()
        for _ in range(3):
            asker.ask(peer.server.address, "echo", b"x" * 1000)
        asker.connections[peer.server.address].send("stray", 1)
        asker.ask(peer.server.address, "echo")
        asker_rows = {row["kind"]: row for row in asker.traffic()}
        peer_rows = {row["kind"]: row for row in peer.traffic()}
        self.assertEqual(
            [
                (
                    asker_rows["echo"]["out"],
                    peer_rows["echo"]["in"],
                    peer_rows["unknown"]["in"],
                    peer_rows["echo reply"]["out"],
                    asker_rows["echo reply"]["in"],
                )
            ],
            [(4, 4, 1, 4, 4)],
        )
        for kind, way, back in (("echo", "out", "in"), ("echo reply", "in", "out")):
            self.assertGreater(asker_rows[kind][f"{way}_bytes"], 3000)
            self.assertEqual(asker_rows[kind][f"{way}_bytes"], peer_rows[kind][f"{back}_bytes"])


if __name__ == "__main__":
    unittest.main()
