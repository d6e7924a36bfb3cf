"""Mutation testing: trials detect deliberate defects in the code."""

import unittest

from flintreach.simulation.mutants import MUTANTS, is_applicable
from flintreach.simulation.trial import endpoint_turnover, many, run_trial
from tests.simulation.common import ON

MAX_SEEDS = 100  # within which a mutant must be detected
RARELY_DETECTED = ("no-write-back", "votes-when-empty")  # need more than MAX_SEEDS seeds


class Mutants(unittest.TestCase):
    def test_each_mutant_is_detected(self):
        """Rarely detected mutants are listed in docs/design/simulation.md and run by the command."""
        detected = {}
        for name, mutant in MUTANTS.items():
            on = set(mutant.detected_by) & set(ON)
            if name in RARELY_DETECTED:
                continue
            self.assertTrue(on and is_applicable(name), name)
            if mutant.detected_by == ("forgotten",):
                outcome = run_trial(1, on=on, scenario=endpoint_turnover, mutant=name)
                outcome = outcome if outcome.broken else None
            else:
                outcome = next((o for o in many(range(MAX_SEEDS), on=on, mutant=name) if o.broken), None)
            self.assertIsNotNone(outcome, f"{name}: {mutant.description}")
            detected[name] = outcome.seed
        self.assertEqual(len(detected), len(MUTANTS) - len(RARELY_DETECTED), detected)


if __name__ == "__main__":
    unittest.main()
