"""The invariants find what breaks them, and only that."""

import unittest
from collections.abc import Iterable

from flintreach.demo.cluster import PROXY_ROLE, Machine
from flintreach.soak.checker import Checker, Invariant, Verdict
from flintreach.soak.history import NS_PER_S, Disturbance, History, RequestKind, SentRequest
from flintreach.standins.endpoint import Run, RunEnd


def ns(seconds: float) -> int:
    """Seconds as whole nanoseconds."""
    return int(seconds * NS_PER_S)


class Judgement(unittest.TestCase):
    """One request of a client and what endpoints recorded of it; all was sent at 0 s."""

    def setUp(self) -> None:
        self.history = History()
        self.verdict = Verdict(0)
        self.checker = Checker(self.history, self.verdict)
        self.machine = Machine("proxy-0", PROXY_ROLE, "127.0.0.1", "z", "")

    def request(
        self, kind: RequestKind = RequestKind.LOOK, status: int | None = None, **times_s: float
    ) -> SentRequest:
        """A request; `times_s`: its times by their names without `_ns`, in seconds."""
        times_ns = {f"{name}_ns": ns(at_s) for name, at_s in times_s.items()}
        return SentRequest("a", self.machine, kind, 0, status=status, **times_ns)

    def run_of(self, began_s: float, ended_s: float, end: RunEnd = RunEnd.ANSWERED) -> Run:
        """Work on the request."""
        return Run("a", ns(began_s), NS_PER_S, ns(ended_s), end)

    def broken(
        self, request: SentRequest, runs: list[Run], arrivals_s: Iterable[float] = ()
    ) -> set[Invariant]:
        """The invariants that a request breaks."""
        self.verdict.broken.clear()
        self.checker.check_executions(request, runs)
        self.checker.check_loss(request, runs)
        self.checker.check_abandonment(request, runs, [ns(at_s) for at_s in arrivals_s])
        return {*self.verdict.broken}

    def test_work_for_a_client_that_left(self) -> None:
        left = self.request(left_at=1.0, ended_at=1.0)
        self.assertEqual(self.broken(left, [self.run_of(0.5, 1.4)]), set())
        self.assertEqual(self.broken(left, [self.run_of(0.5, 1.6)]), {Invariant.GONE})
        self.assertEqual(self.broken(left, [self.run_of(0.5, 1.6, RunEnd.DROPPED)]), {Invariant.GONE})
        self.assertEqual(self.broken(left, [], [1.6]), {Invariant.GONE})
        self.assertEqual(self.broken(left, [], [1.4]), set())
        write = self.request(RequestKind.FILE, left_at=1.0, ended_at=1.0)
        self.assertEqual(self.broken(write, [self.run_of(0.5, 1.6)]), set(), "it must not be cancelled")
        self.history.disturbances.append(Disturbance(self.machine, ns(1.2), ns(2.0)))
        self.assertEqual(self.broken(left, [self.run_of(0.5, 1.6)]), set())

    def test_answers_that_are_lost(self) -> None:
        cut = self.request(ended_at=0.1)
        self.assertEqual(self.broken(cut, []), set(), "it crossed the close")
        self.assertEqual(self.broken(cut, [self.run_of(0.05, 0.1)]), {Invariant.LOST})
        self.assertEqual(self.broken(cut, [self.run_of(0.05, 0.1, RunEnd.ANSWER_LOST)]), set())
        self.assertEqual(self.broken(self.request(ended_at=2.0), []), {Invariant.LOST})
        self.assertEqual(self.broken(self.request(ended_at=2.0, status=200), []), set())

    def test_what_must_not_be_repeated(self) -> None:
        runs = [self.run_of(0.1, 0.2), self.run_of(0.3, 0.4)]
        write = self.request(RequestKind.FILE, status=200, ended_at=1.0)
        self.assertEqual(self.broken(write, runs), {Invariant.TWICE})
        read = self.request(RequestKind.LOOK, status=200, ended_at=1.0)
        self.assertEqual(self.broken(read, runs), set())
        refused = self.request(RequestKind.FILE, status=503, ended_at=1.0)
        self.assertEqual(self.broken(refused, runs[:1]), {Invariant.REFUSED})


if __name__ == "__main__":
    unittest.main()
