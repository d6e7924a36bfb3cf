"""Simulated connections under partitions, freezes and ends of processes."""

import unittest

from flintreach.transport.peer_connection import ConnectionClosed
from tests.simulation.common import ProcessPair


class Connections(unittest.TestCase):
    def test_messages_arrive_in_order_after_a_short_partition_and_never_after_a_long_one(self):
        for seconds, expected in ((1.0, list(range(20))), (3.0, [])):
            pair, received = ProcessPair(), []
            pair.b.handlers["n"] = lambda _, body, received=received: received.append(body)
            connection = pair.connect()
            pair.network.cut([("10.0.0.1", "10.0.0.2")])
            for n in range(20):
                connection.send("n", n)
            pair.run(seconds)
            self.assertEqual(received, [])
            self.assertEqual(connection.closed, seconds > 1.5)
            pair.network.heal([("10.0.0.1", "10.0.0.2")])
            pair.run(1)
            self.assertEqual(received, expected)

    def test_a_request_whose_answer_a_partition_blocks_is_executed_and_fails_at_the_sender(self):
        pair, received, results = ProcessPair(), [], []
        pair.b.handlers["n"] = lambda _, body: received.append(body) or True
        connection = pair.connect()
        pair.network.cut([("10.0.0.2", "10.0.0.1")])

        def ask() -> None:
            try:
                results.append(connection.ask("n", 7, 0.5))
            except ConnectionClosed:
                results.append("closed")

        pair.a.runtime.spawn(ask)
        pair.run(1)
        self.assertEqual((received, results), ([7], ["closed"]))

    def test_a_frozen_process_handles_messages_after_its_thaw_and_an_ended_one_never(self):
        for end in (False, True):
            pair, received = ProcessPair(), []
            now = pair.b.runtime.now
            pair.b.handlers["n"] = lambda _, body, received=received, now=now: received.append((body, now()))
            connection = pair.connect()
            started = now()
            pair.b.freeze()
            connection.send("n", 1)
            pair.run(5)
            self.assertEqual((received, connection.closed), ([], False))
            if end:
                pair.b.end(notify_peers=True)
            else:
                pair.b.thaw()
            pair.run(1)
            self.assertEqual([(body, round(at - started)) for body, at in received], [] if end else [(1, 5)])
            self.assertEqual(connection.closed, end)


if __name__ == "__main__":
    unittest.main()
