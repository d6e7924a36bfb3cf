"""Simulated connections, under partitions, freezes and ends of processes."""

import unittest

from flintreach.transport.peer_connection import ConnectionClosed
from tests.simulation.common import World


class Connections(unittest.TestCase):
    def test_what_a_cut_holds_up_comes_in_order_after_a_short_one_and_never_after_a_long_one(self):
        for seconds, expected in ((1.0, list(range(20))), (3.0, [])):
            world, came = World(), []
            world.b.handlers["n"] = lambda link, body, came=came: came.append(body)
            link = world.linked()
            world.network.cut([("10.0.0.1", "10.0.0.2")])
            for n in range(20):
                link.send("n", n)
            world.run(seconds)
            self.assertEqual(came, [])
            self.assertEqual(link.closed, seconds > 1.5)
            world.network.heal([("10.0.0.1", "10.0.0.2")])
            world.run(1)
            self.assertEqual(came, expected)

    def test_an_answer_that_a_cut_keeps_back_leaves_the_question_acted_on_and_unknown(self):
        world, came, told = World(), [], []
        world.b.handlers["n"] = lambda link, body: came.append(body) or True
        link = world.linked()
        world.network.cut([("10.0.0.2", "10.0.0.1")])

        def ask() -> None:
            try:
                told.append(link.ask("n", 7, 0.5))
            except ConnectionClosed:
                told.append("closed")

        world.a.runtime.spawn(ask)
        world.run(1)
        self.assertEqual((came, told), ([7], ["closed"]))

    def test_a_frozen_process_reads_what_came_after_its_thaw_and_a_dead_one_never(self):
        for end in (False, True):
            world, came = World(), []
            now = world.b.runtime.now
            world.b.handlers["n"] = lambda link, body, came=came, now=now: came.append((body, now()))
            link = world.linked()
            began = now()
            world.b.freeze()
            link.send("n", 1)
            world.run(5)
            self.assertEqual((came, link.closed), ([], False))
            if end:
                world.b.end(notify_peers=True)
            else:
                world.b.thaw()
            world.run(1)
            self.assertEqual([(body, round(at - began)) for body, at in came], [] if end else [(1, 5)])
            self.assertEqual(link.closed, end)


if __name__ == "__main__":
    unittest.main()
