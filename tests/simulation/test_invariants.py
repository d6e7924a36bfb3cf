"""The invariant checker reports violations of the rules for answers to callers."""

import unittest

from flintreach.simulation.invariants import InvariantChecker, Put, encode_configuration, version_of
from flintreach.simulation.scheduler import Simulation


class AnswerChecks(unittest.TestCase):
    """Each check reports an answer that violates its invariant, and accepts allowed answers."""

    def setUp(self):
        self.sim = Simulation(1)
        self.checker = InvariantChecker(self.sim, ())
        self.checker.check_durable = lambda put, process_name: None

    def put(self, version, content_id) -> Put:
        return self.checker.record_put(version, encode_configuration(version, content_id, False))

    def test_second_content_acknowledged_under_one_version(self):
        first, second = self.put(7, 1), self.put(7, 2)
        self.checker.check_put_answer(first, 200, "a")
        self.checker.check_put_answer(first, 200, "b")
        self.checker.check_put_answer(second, 409, "a")
        self.assertEqual(self.checker.first_violations, {})
        self.checker.check_put_answer(second, 200, "b")
        self.assertEqual(set(self.checker.first_violations), {"single", "refused"})

    def test_refusal_after_acknowledgement_or_without_a_conflict(self):
        self.checker.check_put_answer(self.put(7, 1), 200, "a")
        self.checker.check_put_answer(self.put(7, 1), 409, "b")
        self.assertEqual(set(self.checker.first_violations), {"refused"})
        self.checker.check_put_answer(self.put(8, 1), 400, "b")
        self.assertEqual(set(self.checker.first_violations), {"refused", "answered"})

    def test_get_returns_the_acknowledged_configuration_or_a_later_one(self):
        old, new = self.put(7, 1), self.put(9, 2)
        self.checker.check_put_answer(old, 200, "a")
        self.checker.check_get(7, 200, new.body, "a")
        self.assertEqual(
            (self.checker.first_violations, self.checker.highest_shown, version_of(new.body)), ({}, 9, 9)
        )
        self.checker.check_get(9, 200, old.body, "b")
        self.assertEqual(set(self.checker.first_violations), {"kept"})

    def test_refused_configuration_is_never_in_force(self):
        put = self.put(7, 1)
        self.put(7, 2)
        self.checker.check_put_answer(put, 409, "a")
        self.checker.record_update(None, "hut/x", [1, 0], {})
        self.assertEqual(self.checker.first_violations, {})
        self.checker.check_get(-1, 200, put.body, "b")
        self.assertEqual(set(self.checker.first_violations), {"refused"})


if __name__ == "__main__":
    unittest.main()
