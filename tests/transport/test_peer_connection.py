"""Questions between processes over sockets."""

import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
from gevent import socket
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from flintreach.standins.adversary import Pilot, packed
from flintreach.transport.peer_connection import ConnectionClosed, dial
from flintreach.transport.peer_pool import PeerPool

CALM = settings(derandomize=True, deadline=None, max_examples=120)


class Questions(unittest.TestCase):
    """Links between pilots against a pilot in trouble."""

    def setUp(self):
        self.pilots, self.bundles = [], []

    def tearDown(self):
        for peer_pool in self.bundles:
            for link in peer_pool.links.values():
                link.close()
            peer_pool.server.stop(timeout=0)
        for pilot in self.pilots:
            pilot.stop()

    def pilot(self, *script) -> Pilot:
        self.pilots.append(Pilot(script))
        return self.pilots[-1]

    def peer_pool(self, **handlers) -> PeerPool:
        self.bundles.append(PeerPool(("127.0.0.1", 0)))
        self.bundles[-1].handlers |= handlers
        self.bundles[-1].start()
        return self.bundles[-1]

    def ask(self, link, body, timeout=5.0, kind="k"):
        """The answer, or ConnectionClosed."""
        try:
            return link.ask(kind, body, timeout)
        except ConnectionClosed:
            return ConnectionClosed

    PEERS = st.sampled_from(
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

    @settings(CALM, max_examples=60)
    @given(st.lists(PEERS, max_size=6), st.integers(1, 4))
    def test_an_answer_is_the_one_to_its_question_or_there_is_none(self, script, ahead):
        pilot = Pilot(script)
        link = dial(pilot.address, {})
        try:
            with gevent.Timeout(10):
                found = []
                for at in range(0, 8, ahead):
                    # Only what is never answered waits its time out; `late` comes behind the next answer.
                    slow = 0.02 if "late" in script else 5.0
                    jobs = [gevent.spawn(self.ask, link, n, slow) for n in range(at, at + ahead)]
                    found += [(n, job.get()) for n, job in enumerate(jobs, at)]
                for number, got in found:
                    self.assertIn(got, (number, ConnectionClosed))
                self.assertEqual(link.pending, {})
                numbers = [number for number, _, _ in pilot.asked]
                self.assertEqual(len(numbers), len({*numbers}))  # each went out once
        finally:
            link.close()
            pilot.stop()

    @settings(CALM, max_examples=40)
    @given(st.binary(max_size=60), st.integers(0, 80))
    def test_any_bytes_end_their_link_and_nothing_else(self, data, told):
        """Whole messages that say anything, with a length that is right, and bytes without one."""
        peer = self.bundles[0] if self.bundles else self.peer_pool(good=lambda link, body: 1)
        with mock.patch.object(gevent.get_hub(), "handle_error") as fell, gevent.Timeout(5):
            for said in (
                len(data).to_bytes(4) + data,
                told.to_bytes(4) + data,
                data,
                packed(told - 40, "good", data),
                packed(data, told, None),
                packed(1, "good", told),
            ):
                sock = socket.create_connection(peer.server.address)
                sock.sendall(said)
                sock.shutdown(socket.SHUT_WR)
                try:
                    while sock.recv(65536):
                        pass
                except ConnectionResetError:  # ended over bytes that were not read
                    pass
                sock.close()
            link = dial(peer.server.address, {})
            self.assertEqual(self.ask(link, None, kind="good"), 1)
            link.close()
        self.assertEqual(fell.call_count, 0)

    def test_an_answer_after_its_time_meets_no_later_question(self):
        link = dial(self.pilot("late", "answer").address, {})
        self.assertEqual(
            [self.ask(link, "first", 0.02), self.ask(link, "second")], [ConnectionClosed, "second"]
        )
        self.assertEqual(self.ask(link, "third"), "third")
        self.assertEqual(link.meter.kinds["late reply"].received_messages, 1)
        link.close()

    def test_an_answer_stands_whatever_comes_behind_it(self):
        for act in ("twice", "answer and close"):
            link = dial(self.pilot(act).address, {})
            self.assertEqual(self.ask(link, "mine"), "mine", act)
            link.close()

    def test_a_question_that_can_not_be_answered_is_told_so_at_once(self):
        """A handler that raised, an answer that is too long or can't be told, a kind that nobody knows."""

        def raises(link, body):
            raise KeyError(body)

        peer, mine = (
            self.peer_pool(
                raises=raises,
                odd=lambda link, body: object(),
                good=lambda link, body: 1,
                long=lambda link, body: b"x" * 5000,
            ),
            self.peer_pool(),
        )
        with (
            mock.patch("flintreach.transport.peer_connection.MAX_MESSAGE_BYTES", 4000),
            gevent.Timeout(2),
            mock.patch.object(gevent.get_hub(), "handle_error"),
        ):
            for kind in ("raises", "long", "odd", "no such kind"):
                self.assertIsNone(mine.ask(peer.server.address, kind, None, 30.0), kind)
                self.assertEqual(mine.ask(peer.server.address, "good"), 1)
        self.assertEqual(len(mine.links), 1)
        self.assertEqual(
            peer.meter.faults, {"raises failed": 1, "too long": 1, "odd failed": 1, "unknown question": 1}
        )

    def test_a_message_that_is_too_long_fails_where_it_is_sent(self):
        peer, mine = self.peer_pool(good=lambda link, body: 1), self.peer_pool()
        at = peer.server.address
        with mock.patch("flintreach.transport.peer_connection.MAX_MESSAGE_BYTES", 4000), gevent.Timeout(2):
            self.assertEqual(mine.ask(at, "good"), 1)
            link = mine.links[at]
            self.assertIsNone(mine.ask(at, "good", b"x" * 4000, 30.0))
            self.assertFalse(link.send("good", b"x" * 4000))
            self.assertTrue(link.send("good", b"x" * 3000))
            self.assertEqual(mine.ask(at, "good"), 1)
        self.assertIs(mine.links[at], link)
        self.assertEqual(mine.meter.faults, {"too long": 2})

    def test_news_that_are_not_taken_end_the_link_aloud(self):
        """Passed over they would leave a gap that nothing closes: a new link begins with all that stands."""

        def raises(link, rows):
            raise KeyError(rows)

        peer = self.peer_pool(news=raises)
        link = dial(peer.server.address, {})
        with mock.patch.object(gevent.get_hub(), "handle_error") as told, gevent.Timeout(2):
            link.send("news", [])
            gevent.joinall(link.readers)
        self.assertEqual((peer.meter.faults, told.call_count), ({"news failed": 1}, 1))

    def test_a_peer_that_does_not_read_can_not_hold_memory_without_end(self):
        link, sent = dial(self.pilot("stops reading").address, {}), 0
        with mock.patch("flintreach.transport.peer_connection.MAX_QUEUED_BYTES", 1 << 20), gevent.Timeout(5):
            job = gevent.spawn(self.ask, link, "held", 30.0)
            gevent.sleep(0)
            while link.send("news", b"x" * 65536):
                sent += 1
                gevent.sleep(0)
            self.assertIs(job.get(), ConnectionClosed)
        self.assertTrue(link.closed and not link.outgoing and not link.pending)
        self.assertEqual(link.meter.faults, {"peer does not read": 1})

    def test_a_peer_that_asks_without_end_is_told_no(self):
        gate = Event()
        peer = self.peer_pool(hold=lambda link, body: gate.wait())
        link = dial(peer.server.address, {})
        with mock.patch("flintreach.transport.peer_connection.MAX_RUNNING_HANDLERS", 5), gevent.Timeout(5):
            jobs = [gevent.spawn(self.ask, link, n, 30.0, "hold") for n in range(9)]
            gevent.joinall(jobs, count=4)
            self.assertEqual([job.value for job in jobs], [None] * 5 + [ConnectionClosed] * 4)
            gate.set()
            self.assertEqual([job.get() for job in jobs], [True] * 5 + [ConnectionClosed] * 4)
        link.close()

    def test_questions_without_an_answer_are_bounded(self):
        link = dial(self.pilot("stops reading").address, {})
        with mock.patch("flintreach.transport.peer_connection.MAX_PENDING_QUESTIONS", 3), gevent.Timeout(5):
            jobs = [gevent.spawn(self.ask, link, n, 30.0) for n in range(5)]
            gevent.joinall(jobs, count=2)
            self.assertEqual([job.value for job in jobs], [None] * 3 + [ConnectionClosed] * 2)
            link.close()
            self.assertEqual([job.get() for job in jobs], [ConnectionClosed] * 5)

    def test_a_time_limit_of_the_caller_passes_through(self):
        mine, at = self.peer_pool(), self.pilot("stops reading").address
        with self.assertRaises(gevent.Timeout):
            with gevent.Timeout(0.02):
                mine.ask(at, "k", None, 30.0)
        self.assertEqual(mine.links[at].pending, {})

    def test_one_time_limit_holds_for_the_link_and_the_answer(self):
        mine, now = self.peer_pool(), [100.0]

        def link(address, timeout):
            now[0] += 0.7
            return SimpleNamespace(ask=lambda kind, body, timeout: timeout)

        with mock.patch.object(mine, "link", link), mock.patch.object(mine.runtime, "now", lambda: now[0]):
            self.assertAlmostEqual(mine.ask(("10.0.0.1", 7), "k", None, 1.0), 0.3)
            self.assertIsNone(mine.ask(("10.0.0.1", 7), "k", None, 0.5))

    def test_messages_and_bytes_are_counted_by_kind(self):
        peer, mine = self.peer_pool(echo=lambda link, body: body), self.peer_pool()
        for _ in range(3):
            mine.ask(peer.server.address, "echo", b"x" * 1000)
        mine.links[peer.server.address].send("stray", 1)
        mine.ask(peer.server.address, "echo")
        ours, theirs = ({row["kind"]: row for row in peer_pool.traffic()} for peer_pool in (mine, peer))
        self.assertEqual(
            [
                (
                    ours["echo"]["out"],
                    theirs["echo"]["in"],
                    theirs["unknown"]["in"],
                    theirs["echo reply"]["out"],
                    ours["echo reply"]["in"],
                )
            ],
            [(4, 4, 1, 4, 4)],
        )
        for kind, way, back in (("echo", "out", "in"), ("echo reply", "in", "out")):
            self.assertGreater(ours[kind][f"{way}_bytes"], 3000)
            self.assertEqual(ours[kind][f"{way}_bytes"], theirs[kind][f"{back}_bytes"])


if __name__ == "__main__":
    unittest.main()
