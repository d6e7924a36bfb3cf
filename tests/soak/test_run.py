"""The short form of the soak: seeds of overlapping faults on real processes, all invariants judged."""

import os
import unittest
from collections import Counter

import gevent

from flintreach.demo.cluster import CONTROLLER_ROLE, PROXY_ROLE
from flintreach.proxy.lease import SEND_FRACTION
from flintreach.soak.checker import LAST_CALL_S, Verdict
from flintreach.soak.clients import Client
from flintreach.soak.run import Mix, Soak, SoakPlan
from tests.demo.test_cluster import free_port


def new_soak(seed: int, seconds: float, mix: Mix) -> Soak:
    """A soak on a network that no other test uses at the same time."""
    base = f"127.{130 + os.getpid() % 80}.{os.getpid() // 80 % 250}"
    return Soak(seed, SoakPlan(seconds, mix), base, free_port(base))


class Short(unittest.TestCase):
    def test_a_proxy_without_news_sends_nothing_to_one_that_left_and_serves_on(self) -> None:
        """It is cut off from all controllers; then a departure is acknowledged there."""
        soak = new_soak(1, 0, Mix.UNPLANNED)
        self.addCleanup(soak.stop)
        self.assertTrue(soak.start())
        proxy = soak.cluster.of(PROXY_ROLE)[0]
        controllers = soak.cluster.of(CONTROLLER_ROLE)
        pairs = [(proxy.ip, controller.ip) for controller in controllers]
        gevent.spawn(soak.faults.partitions.isolate, pairs, 30)
        gevent.sleep(0.3)
        jobs = [gevent.spawn(Client.ask_once_each, soak.client(number)) for number in range(12)]
        gevent.sleep(0.3)
        leaving = soak.cluster.endpoints[0]
        self.assertTrue(leaving.leave())
        gevent.sleep(LAST_CALL_S + 1.5)
        soak.ending = True
        gevent.joinall(jobs)
        soak.judge()
        verdict = soak.verdict
        self.assertEqual(verdict.broken, {}, verdict.line())
        self.assertLess(verdict.latest_arrival_s, LAST_CALL_S * SEND_FRACTION + 0.2)
        statuses = Counter(
            request.status for request in soak.history.sent.values() if request.machine is proxy
        )
        self.assertGreater(statuses[200], 9 * (sum(statuses.values()) - statuses[200]), statuses)

    def holds(self, seed: int, mix: Mix) -> Verdict:
        """Play a seed and assert that it holds, and that enough has happened in it."""
        verdict = new_soak(seed, 12.0, mix).run()
        self.assertEqual(verdict.broken, {}, verdict.line())
        self.assertGreater(verdict.departures, 3, verdict.line())
        self.assertGreater(verdict.statuses[200], 100, verdict.line())
        self.assertGreater(verdict.abandoned, 20, verdict.line())
        return verdict

    def test_one_seed_holds(self) -> None:
        """Kills, pauses, partitions and lost answers alone."""
        self.holds(7, Mix.UNPLANNED)

    def test_a_seed_of_planned_work_holds(self) -> None:
        """SIGTERM, SIGHUP, configurations and members in series that overlap (issue 42): none is lost."""
        verdict = self.holds(14, Mix.PLANNED)
        self.assertGreater(verdict.persistent_answers, 50, verdict.line())

    def test_a_seed_of_planned_work_and_faults_holds(self) -> None:
        """Nothing goes on for clients that leave (issue 45), whatever happens meanwhile."""
        self.holds(31, Mix.BOTH)


if __name__ == "__main__":
    unittest.main()
