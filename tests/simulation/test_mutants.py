"""Mutants: a fault that is put into the code is found by the trials."""

import unittest

from flintreach.simulation.mutants import MUTANTS, applies
from flintreach.simulation.trial import endpoint_turnover, many, run_trial
from tests.simulation.common import ON

MAX_SEEDS = 100  # in which a mutant must be found
RARE = ("no-write-back", "votes-when-empty")  # take more seeds


class Mutants(unittest.TestCase):
    def test_a_fault_that_is_put_into_the_text_is_found(self):
        """Those that take more seeds are listed in docs/design/simulation.md, and played by the command."""
        found = {}
        for name, mutant in MUTANTS.items():
            on = set(mutant.found_by) & set(ON)
            if name in RARE:
                continue
            self.assertTrue(on and applies(name), name)
            if mutant.found_by == ("forgotten",):
                outcome = run_trial(1, on=on, course=endpoint_turnover, mutant=name)
                outcome = outcome if outcome.broken else None
            else:
                outcome = next((o for o in many(range(MAX_SEEDS), on=on, mutant=name) if o.broken), None)
            self.assertIsNotNone(outcome, f"{name}: {mutant.why}")
            found[name] = outcome.seed
        self.assertEqual(len(found), len(MUTANTS) - len(RARE), found)


if __name__ == "__main__":
    unittest.main()
