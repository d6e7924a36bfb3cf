"""Tests that responses match their requests whatever the peer sends, and that queues are bounded."""

import unittest
from typing import Any
from unittest import mock

import gevent
from gevent import socket
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from flintreach.standins.scripted_peer import ScriptedPeer, encode_frame
from flintreach.transport.peer_connection import ConnectionClosed, PeerConnection, dial
from tests.transport.peers import PeerTestCase

HYPOTHESIS_SETTINGS = settings(derandomize=True, deadline=None, max_examples=120)

# Ways in which a scripted peer may handle a message.
PEER_ACTS = st.sampled_from(
    [
        "answer",
        "twice",
        "late",
        "unknown",
        "other kinds",
        "huge",
        "garbage",
        "odd shape",
        "half",
        "answer and close",
        "reset",
    ]
)


def response_or_closed(link: PeerConnection, body: Any, timeout: float = 5.0, kind: str = "k") -> Any:
    """Send a request, and return the response, or the class ConnectionClosed if that was raised."""
    try:
        return link.ask(kind, body, timeout)
    except ConnectionClosed:
        return ConnectionClosed


class Responses(PeerTestCase):
    @settings(HYPOTHESIS_SETTINGS, max_examples=60)
    @given(st.lists(PEER_ACTS, max_size=6), st.integers(1, 4))
    def test_a_response_belongs_to_its_request_whatever_the_peer_sends(
        self, script: list[str], concurrency: int
    ) -> None:
        peer = ScriptedPeer(script)
        link = dial(peer.address, {})
        try:
            with gevent.Timeout(10):
                responses = []
                for first in range(0, 8, concurrency):
                    # Only unanswered requests wait for the timeout.  A `late` response is sent after the next
                    # response, so waiting longer would not help.
                    timeout = 0.02 if "late" in script else 5.0
                    jobs = [
                        gevent.spawn(response_or_closed, link, body, timeout)
                        for body in range(first, first + concurrency)
                    ]
                    responses += [(body, job.get()) for body, job in enumerate(jobs, first)]
                for body, response in responses:
                    self.assertIn(response, (body, ConnectionClosed))
                self.assertEqual(link.pending, {})
                numbers = [number for number, _, _ in peer.received]
                self.assertEqual(len(numbers), len({*numbers}))  # each was sent once
        finally:
            link.close()
            peer.stop()

    def test_a_late_response_is_not_attributed_to_a_later_request(self) -> None:
        link = dial(self.scripted_peer("late", "answer").address, {})
        self.assertEqual(
            [response_or_closed(link, "first", 0.02), response_or_closed(link, "second")],
            [ConnectionClosed, "second"],
        )
        self.assertEqual(response_or_closed(link, "third"), "third")
        self.assertEqual(link.meter.kinds["late reply"].received_messages, 1)
        link.close()

    def test_a_response_is_not_affected_by_what_follows_it(self) -> None:
        for act in ("twice", "answer and close"):
            link = dial(self.scripted_peer(act).address, {})
            self.assertEqual(response_or_closed(link, "body"), "body", act)
            link.close()


class Faults(PeerTestCase):
    @settings(HYPOTHESIS_SETTINGS, max_examples=40)
    @given(st.binary(max_size=60), st.integers(0, 80))
    def test_arbitrary_bytes_close_only_their_own_connection(self, data: bytes, number: int) -> None:
        """Covers arbitrary messages with a correct length prefix, and arbitrary bytes without one."""
        peer = self.pools[0] if self.pools else self.pool(good=lambda link, body: 1)
        with mock.patch.object(gevent.get_hub(), "handle_error") as handle_error, gevent.Timeout(5):
            for sent in (
                len(data).to_bytes(4) + data,
                number.to_bytes(4) + data,
                data,
                encode_frame(number - 40, "good", data),
                encode_frame(data, number, None),
                encode_frame(1, "good", number),
            ):
                sock = socket.create_connection(peer.server.address)
                sock.sendall(sent)
                sock.shutdown(socket.SHUT_WR)
                try:
                    while sock.recv(65536):
                        pass
                except ConnectionResetError:  # closed with unread data
                    pass
                sock.close()
            link = dial(peer.server.address, {})
            self.assertEqual(response_or_closed(link, None, kind="good"), 1)
            link.close()
        self.assertEqual(handle_error.call_count, 0)

    def test_a_failed_update_closes_the_connection_and_is_logged(self) -> None:
        """Skipping the update would leave a gap, which only the comparison on a new connection fills."""

        def raises(link: PeerConnection, rows: Any) -> None:
            raise KeyError(rows)

        peer = self.pool(news=raises)
        link = dial(peer.server.address, {})
        with mock.patch.object(gevent.get_hub(), "handle_error") as handle_error, gevent.Timeout(2):
            link.send("news", [])
            gevent.joinall(link.greenlets)
        self.assertEqual((peer.meter.faults, handle_error.call_count), ({"news failed": 1}, 1))


class Bounds(PeerTestCase):
    def test_a_peer_that_does_not_read_cannot_hold_unbounded_memory(self) -> None:
        link = dial(self.scripted_peer("stops reading").address, {})
        with mock.patch("flintreach.transport.peer_connection.MAX_QUEUED_BYTES", 1 << 20), gevent.Timeout(5):
            job = gevent.spawn(response_or_closed, link, "held", 30.0)
            gevent.sleep(0)
            while link.send("news", b"x" * 65536):
                gevent.sleep(0)
            self.assertIs(job.get(), ConnectionClosed)
        self.assertTrue(link.closed and not link.outgoing and not link.pending)
        self.assertEqual(link.meter.faults, {"peer does not read": 1})

    def test_requests_beyond_the_handler_limit_are_rejected(self) -> None:
        gate = Event()
        peer = self.pool(hold=lambda link, body: gate.wait())
        link = dial(peer.server.address, {})
        with mock.patch("flintreach.transport.peer_connection.MAX_RUNNING_HANDLERS", 5), gevent.Timeout(5):
            jobs = [gevent.spawn(response_or_closed, link, body, 30.0, "hold") for body in range(9)]
            gevent.joinall(jobs, count=4)
            self.assertEqual([job.value for job in jobs], [None] * 5 + [ConnectionClosed] * 4)
            gate.set()
            self.assertEqual([job.get() for job in jobs], [True] * 5 + [ConnectionClosed] * 4)
        link.close()

    def test_pending_requests_are_bounded(self) -> None:
        link = dial(self.scripted_peer("stops reading").address, {})
        with mock.patch("flintreach.transport.peer_connection.MAX_PENDING_REQUESTS", 3), gevent.Timeout(5):
            jobs = [gevent.spawn(response_or_closed, link, body, 30.0) for body in range(5)]
            gevent.joinall(jobs, count=2)
            self.assertEqual([job.value for job in jobs], [None] * 3 + [ConnectionClosed] * 2)
            link.close()
            self.assertEqual([job.get() for job in jobs], [ConnectionClosed] * 5)


if __name__ == "__main__":
    unittest.main()
