"""The checker of invariants finds what must not happen."""

import unittest

from flintreach.simulation.invariants import InvariantChecker, Put, encode_configuration, version_of
from flintreach.simulation.scheduler import Simulation


class AnswersToCallers(unittest.TestCase):
    """Each rule finds the answer that breaks it, and lets pass what is allowed."""

    def setUp(self):
        self.sim = Simulation(1)
        self.checker = InvariantChecker(self.sim, ())
        self.checker.check_durable = lambda put, who: None

    def put(self, number, salt) -> Put:
        return self.checker.record_put(number, encode_configuration(number, salt, False))

    def test_a_second_content_under_one_number(self):
        first, second = self.put(7, 1), self.put(7, 2)
        self.checker.check_put_answer(first, 200, "a")
        self.checker.check_put_answer(first, 200, "b")
        self.checker.check_put_answer(second, 409, "a")
        self.assertEqual(self.checker.first_violations, {})
        self.checker.check_put_answer(second, 200, "b")
        self.assertEqual(set(self.checker.first_violations), {"single", "refused"})

    def test_what_was_acknowledged_is_not_refused_and_nothing_is_refused_for_no_reason(self):
        self.checker.check_put_answer(self.put(7, 1), 200, "a")
        self.checker.check_put_answer(self.put(7, 1), 409, "b")
        self.assertEqual(set(self.checker.first_violations), {"refused"})
        self.checker.check_put_answer(self.put(8, 1), 400, "b")
        self.assertEqual(set(self.checker.first_violations), {"refused", "answered"})

    def test_a_get_shows_what_was_acknowledged_or_later(self):
        old, new = self.put(7, 1), self.put(9, 2)
        self.checker.check_put_answer(old, 200, "a")
        self.checker.check_get(7, 200, new.body, "a")
        self.assertEqual(
            (self.checker.first_violations, self.checker.highest_shown, version_of(new.body)), ({}, 9, 9)
        )
        self.checker.check_get(9, 200, old.body, "b")
        self.assertEqual(set(self.checker.first_violations), {"kept"})

    def test_what_was_refused_is_never_in_force(self):
        put = self.put(7, 1)
        self.put(7, 2)
        self.checker.check_put_answer(put, 409, "a")
        self.checker.record_update(None, "hut/x", [1, 0], {})
        self.assertEqual(self.checker.first_violations, {})
        self.checker.check_get(-1, 200, put.body, "b")
        self.assertEqual(set(self.checker.first_violations), {"refused"})


if __name__ == "__main__":
    unittest.main()
