"""The short form of the soak: one seed of overlapping troubles on real processes, all invariants judged."""

import os
import unittest
from collections import Counter

import gevent

from flintreach.proxy.lease import SEND_PART
from flintreach.standins.soak import LAST_CALL_S, Soak
from tests.test_system_camp import free_port


class Short(unittest.TestCase):
    def test_a_proxy_without_news_sends_nothing_to_one_that_left_and_serves_on(self):
        """It is cut off from all refuges; then a departure is acknowledged there."""
        base = f"127.{130 + os.getpid() % 80}.{os.getpid() // 80 % 250}"
        soak = Soak(1, 0, base, free_port(base))
        self.addCleanup(soak.stop)
        self.assertTrue(soak.start())
        proxy, refuges = soak.camp.of("proxy")[0], soak.camp.of("refuge")
        gevent.spawn(soak.apart, [(proxy.ip, refuge.ip) for refuge in refuges], 30)
        gevent.sleep(0.3)
        jobs = [gevent.spawn(soak.client, number) for number in range(12)]
        gevent.sleep(0.3)
        leaving = soak.camp.endpoints[0]
        self.assertTrue(leaving.leave())
        gevent.sleep(LAST_CALL_S + 1.5)
        soak.ending = True
        gevent.joinall(jobs)
        soak.judge()
        self.assertEqual(soak.verdict.broken, {}, soak.verdict.line())
        self.assertLess(soak.verdict.latest_s, LAST_CALL_S * SEND_PART + 0.2)
        there = Counter(soak.answers[id] for id, (machine, _) in soak.sent.items() if machine is proxy)
        self.assertGreater(there[200], 9 * (sum(there.values()) - there[200]), there)

    def test_one_seed_holds(self):
        base = f"127.{130 + os.getpid() % 80}.{os.getpid() // 80 % 250}"
        verdict = Soak(7, 10.0, base, free_port(base)).run()
        self.assertEqual(verdict.broken, {}, verdict.line())
        self.assertGreater(verdict.departures, 3, verdict.line())
        self.assertGreater(verdict.statuses[200], 100, verdict.line())


if __name__ == "__main__":
    unittest.main()
