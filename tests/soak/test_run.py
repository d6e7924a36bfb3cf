"""Short soaks: overlapping faults on real processes, with all invariants checked."""

import os
import unittest
from collections import Counter

import gevent

from flintreach.demo.cluster import CONTROLLER_ROLE, PROXY_ROLE
from flintreach.proxy.lease import SEND_FRACTION
from flintreach.soak.checker import DEPARTURE_BOUND_S, Verdict
from flintreach.soak.clients import Client
from flintreach.soak.run import Mix, Soak, SoakPlan
from tests.demo.test_cluster import free_port


def new_soak(seed: int, seconds: float, mix: Mix) -> Soak:
    """Create a soak on a loopback network derived from the process id, to separate parallel runs."""
    base = f"127.{130 + os.getpid() % 80}.{os.getpid() // 80 % 250}"
    return Soak(seed, SoakPlan(seconds, mix), base, free_port(base))


class ShortSoak(unittest.TestCase):
    def test_partitioned_proxy_stops_sending_to_a_departed_endpoint(self) -> None:
        """A departure is acknowledged while the proxy is partitioned; the proxy keeps serving."""
        soak = new_soak(1, 0, Mix.UNPLANNED)
        self.addCleanup(soak.stop)
        self.assertTrue(soak.start())
        proxy = soak.cluster.with_role(PROXY_ROLE)[0]
        controllers = soak.cluster.with_role(CONTROLLER_ROLE)
        pairs = [(proxy.ip, controller.ip) for controller in controllers]
        gevent.spawn(soak.faults.partitions.isolate, pairs, 30)
        gevent.sleep(0.3)
        jobs = [gevent.spawn(Client.run_without_keep_alive, soak.client(number)) for number in range(12)]
        gevent.sleep(0.3)
        leaving = soak.cluster.endpoints[0]
        self.assertTrue(leaving.leave())
        gevent.sleep(DEPARTURE_BOUND_S + 1.5)
        soak.stopping = True
        gevent.joinall(jobs)
        soak.check_history()
        verdict = soak.verdict
        self.assertEqual(verdict.broken, {}, verdict.to_json())
        self.assertLess(verdict.latest_arrival_s, DEPARTURE_BOUND_S * SEND_FRACTION + 0.2)
        statuses = Counter(
            request.status for request in soak.history.requests.values() if request.machine is proxy
        )
        self.assertGreater(statuses[200], 9 * (sum(statuses.values()) - statuses[200]), statuses)

    def test_disturbed_first_start(self) -> None:
        """All controllers and some proxies are killed or stopped while they start (issue 64)."""
        soak = new_soak(100, 0, Mix.UNPLANNED)
        self.addCleanup(soak.stop)
        self.assertTrue(soak.start())
        self.assertEqual(soak.verdict.broken, {})

    def assert_seed_passes(self, seed: int, mix: Mix) -> Verdict:
        """Run a seed, and assert that no invariant was broken and that enough events occurred."""
        verdict = new_soak(seed, 12.0, mix).run()
        self.assertEqual(verdict.broken, {}, verdict.to_json())
        self.assertGreater(verdict.departures, 3, verdict.to_json())
        self.assertGreater(verdict.statuses[200], 100, verdict.to_json())
        self.assertGreater(verdict.abandoned, 20, verdict.to_json())
        return verdict

    def test_unplanned_faults(self) -> None:
        """Kills, pauses, partitions and lost answers without planned operations."""
        self.assert_seed_passes(7, Mix.UNPLANNED)

    def test_planned_operations(self) -> None:
        """Overlapping restarts, reloads, configuration and membership changes lose no request (issue 42)."""
        verdict = self.assert_seed_passes(14, Mix.PLANNED)
        self.assertGreater(verdict.persistent_answers, 50, verdict.to_json())

    def test_planned_operations_with_faults(self) -> None:
        """No work continues for disconnected clients (issue 45), also under faults."""
        self.assert_seed_passes(31, Mix.BOTH)


if __name__ == "__main__":
    unittest.main()
