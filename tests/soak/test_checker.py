"""Tests that the checker reports violations of the invariants and nothing else."""

import unittest
from collections.abc import Iterable

from flintreach.demo.cluster import PROXY_ROLE, Machine
from flintreach.soak.checker import Checker, Verdict, Violation
from flintreach.soak.history import NS_PER_S, Disturbance, History, RequestKind, SentRequest
from flintreach.standins.endpoint import Run, RunEnd


def ns(seconds: float) -> int:
    """Convert seconds to nanoseconds."""
    return int(seconds * NS_PER_S)


class RequestChecks(unittest.TestCase):
    """Checks of a single request, sent at 0 s, against its runs on endpoints."""

    def setUp(self) -> None:
        self.history = History()
        self.verdict = Verdict(0)
        self.checker = Checker(self.history, self.verdict)
        self.machine = Machine("proxy-0", PROXY_ROLE, "127.0.0.1", "z", "")

    def request(
        self, kind: RequestKind = RequestKind.READ, status: int | None = None, **times_s: float
    ) -> SentRequest:
        """Build a request; `times_s` are its times in seconds, under their names without `_ns`."""
        times_ns = {f"{name}_ns": ns(at_s) for name, at_s in times_s.items()}
        return SentRequest("a", self.machine, kind, 0, status=status, **times_ns)

    def run_of(self, began_s: float, ended_s: float, end: RunEnd = RunEnd.ANSWERED) -> Run:
        """Build a run of the request."""
        return Run("a", ns(began_s), NS_PER_S, ns(ended_s), end)

    def violations(
        self, request: SentRequest, runs: list[Run], arrivals_s: Iterable[float] = ()
    ) -> set[Violation]:
        """Return the kinds of violations of a request."""
        self.verdict.broken.clear()
        self.checker.check_executions(request, runs)
        self.checker.check_loss(request, runs)
        self.checker.check_abandonment(request, runs, [ns(at_s) for at_s in arrivals_s])
        return {*self.verdict.broken}

    def test_work_after_client_disconnect(self) -> None:
        disconnected = self.request(disconnected_at=1.0, ended_at=1.0)
        self.assertEqual(self.violations(disconnected, [self.run_of(0.5, 1.4)]), set())
        self.assertEqual(
            self.violations(disconnected, [self.run_of(0.5, 1.6)]), {Violation.WORK_AFTER_DISCONNECT}
        )
        self.assertEqual(
            self.violations(disconnected, [self.run_of(0.5, 1.6, RunEnd.DROPPED)]),
            {Violation.WORK_AFTER_DISCONNECT},
        )
        self.assertEqual(self.violations(disconnected, [], [1.6]), {Violation.WORK_AFTER_DISCONNECT})
        self.assertEqual(self.violations(disconnected, [], [1.4]), set())
        write = self.request(RequestKind.WRITE, disconnected_at=1.0, ended_at=1.0)
        self.assertEqual(
            self.violations(write, [self.run_of(0.5, 1.6)]), set(), "a write must not be cancelled"
        )
        self.history.disturbances.append(Disturbance(self.machine, ns(1.2), ns(2.0)))
        self.assertEqual(self.violations(disconnected, [self.run_of(0.5, 1.6)]), set())

    def test_lost_answers(self) -> None:
        cut = self.request(ended_at=0.1)
        self.assertEqual(self.violations(cut, []), set(), "sent while the proxy was closing the connection")
        self.assertEqual(self.violations(cut, [self.run_of(0.05, 0.1)]), {Violation.LOST_ANSWER})
        self.assertEqual(self.violations(cut, [self.run_of(0.05, 0.1, RunEnd.ANSWER_LOST)]), set())
        self.assertEqual(self.violations(self.request(ended_at=2.0), []), {Violation.LOST_ANSWER})
        self.assertEqual(self.violations(self.request(ended_at=2.0, status=200), []), set())

    def test_non_repeatable_requests(self) -> None:
        runs = [self.run_of(0.1, 0.2), self.run_of(0.3, 0.4)]
        write = self.request(RequestKind.WRITE, status=200, ended_at=1.0)
        self.assertEqual(self.violations(write, runs), {Violation.DUPLICATE_RUN})
        read = self.request(RequestKind.READ, status=200, ended_at=1.0)
        self.assertEqual(self.violations(read, runs), set())
        refused = self.request(RequestKind.WRITE, status=503, ended_at=1.0)
        self.assertEqual(self.violations(refused, runs[:1]), {Violation.RUN_AFTER_REJECTION})


if __name__ == "__main__":
    unittest.main()
