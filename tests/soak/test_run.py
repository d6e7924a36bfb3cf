"""The short form of the soak: seeds of overlapping troubles on real processes, all invariants judged."""

import os
import unittest
from collections import Counter

import gevent

from flintreach.demo.cluster import Machine
from flintreach.proxy.lease import SEND_PART
from flintreach.soak.clients import Client
from flintreach.soak.ledger import LAST_CALL_S, SECOND, Disturbance, Ledger, SentRequest, Verdict
from flintreach.soak.run import Mix, Soak, SoakPlan
from flintreach.standins.endpoint import Run, RunEnd
from tests.demo.test_cluster import free_port


def soak(seed: int, seconds: float, mix: Mix) -> Soak:
    base = f"127.{130 + os.getpid() % 80}.{os.getpid() // 80 % 250}"
    return Soak(seed, SoakPlan(seconds, mix), base, free_port(base))


class Short(unittest.TestCase):
    def test_a_proxy_without_news_sends_nothing_to_one_that_left_and_serves_on(self):
        """It is cut off from all refuges; then a departure is acknowledged there."""
        run = soak(1, 0, Mix.UNPLANNED)
        self.addCleanup(run.stop)
        self.assertTrue(run.start())
        proxy, controllers = run.cluster.of("proxy")[0], run.cluster.of("refuge")
        gevent.spawn(run.troubles.apart, [(proxy.ip, controller.ip) for controller in controllers], 30)
        gevent.sleep(0.3)
        jobs = [gevent.spawn(Client.ask_once_each, run.client(number)) for number in range(12)]
        gevent.sleep(0.3)
        leaving = run.cluster.endpoints[0]
        self.assertTrue(leaving.leave())
        gevent.sleep(LAST_CALL_S + 1.5)
        run.ending = True
        gevent.joinall(jobs)
        run.judge()
        verdict = run.verdict
        self.assertEqual(verdict.broken, {}, verdict.line())
        self.assertLess(verdict.latest_s, LAST_CALL_S * SEND_PART + 0.2)
        there = Counter(request.status for request in run.ledger.sent.values() if request.machine is proxy)
        self.assertGreater(there[200], 9 * (sum(there.values()) - there[200]), there)

    def holds(self, seed: int, mix: Mix) -> Verdict:
        verdict = soak(seed, 12.0, mix).run()
        self.assertEqual(verdict.broken, {}, verdict.line())
        self.assertGreater(verdict.departures, 3, verdict.line())
        self.assertGreater(verdict.statuses[200], 100, verdict.line())
        self.assertGreater(verdict.left, 20, verdict.line())
        return verdict

    def test_one_seed_holds(self):
        """Kills, pauses, cuts and lost answers alone."""
        self.holds(7, Mix.UNPLANNED)

    def test_a_seed_of_planned_work_holds(self):
        """SIGTERM, SIGHUP, configurations and members in series that overlap (issue 42): none is lost."""
        verdict = self.holds(14, Mix.PLANNED)
        self.assertGreater(verdict.kept, 50, verdict.line())

    def test_a_seed_of_planned_work_and_troubles_holds(self):
        """Nothing goes on for clients that leave (issue 45), whatever happens meanwhile."""
        self.holds(31, Mix.BOTH)


class Judgement(unittest.TestCase):
    """The invariants find what breaks them, and only that."""

    def setUp(self):
        self.ledger, self.verdict = Ledger(), Verdict(0)
        self.machine = Machine("proxy-0", "proxy", "127.0.0.1", "z", "")

    def request(self, kind="look", **times) -> SentRequest:
        times = {name: value if name == "status" else int(value * SECOND) for name, value in times.items()}
        return SentRequest("a", self.machine, kind, 0, **times)

    def run_of(self, began, ended, end=RunEnd.ANSWERED) -> Run:
        return Run("a", int(began * SECOND), SECOND, int(ended * SECOND), end)

    def judged(self, request, runs, arrivals=()) -> set[str]:
        self.verdict.broken.clear()
        self.ledger.judge_runs(request, runs, self.verdict)
        self.ledger.judge_loss(request, runs, self.verdict)
        times = [int(at * SECOND) for at in arrivals]
        self.ledger.judge_leaving(request, runs, times, self.verdict)
        return {*self.verdict.broken}

    def test_work_for_a_client_that_left(self):
        left = self.request(left_at=1.0, ended_at=1.0)
        self.assertEqual(self.judged(left, [self.run_of(0.5, 1.4)]), set())
        self.assertEqual(self.judged(left, [self.run_of(0.5, 1.6)]), {"gone"})
        self.assertEqual(self.judged(left, [self.run_of(0.5, 1.6, RunEnd.DROPPED)]), {"gone"})
        self.assertEqual(self.judged(left, [], [1.6]), {"gone"})
        self.assertEqual(self.judged(left, [], [1.4]), set())
        once = self.request("file", left_at=1.0, ended_at=1.0)
        self.assertEqual(self.judged(once, [self.run_of(0.5, 1.6)]), set(), "it must not be broken off")
        self.ledger.disturbances.append(Disturbance(self.machine, int(1.2 * SECOND), 2 * SECOND))
        self.assertEqual(self.judged(left, [self.run_of(0.5, 1.6)]), set())

    def test_answers_that_are_lost(self):
        cut = self.request(ended_at=0.1)
        self.assertEqual(self.judged(cut, []), set(), "it crossed the close")
        self.assertEqual(self.judged(cut, [self.run_of(0.05, 0.1)]), {"lost"})
        self.assertEqual(self.judged(cut, [self.run_of(0.05, 0.1, RunEnd.ANSWER_LOST)]), set())
        self.assertEqual(self.judged(self.request(ended_at=2.0), []), {"lost"})
        self.assertEqual(self.judged(self.request(ended_at=2.0, status=200), []), set())

    def test_what_must_not_be_repeated(self):
        runs = [self.run_of(0.1, 0.2), self.run_of(0.3, 0.4)]
        self.assertEqual(self.judged(self.request("file", status=200, ended_at=1.0), runs), {"twice"})
        self.assertEqual(self.judged(self.request("look", status=200, ended_at=1.0), runs), set())
        self.assertEqual(self.judged(self.request("file", status=503, ended_at=1.0), runs[:1]), {"refused"})


if __name__ == "__main__":
    unittest.main()
