"""The short form of the soak: one seed of overlapping troubles on real processes, all invariants judged."""

import os
import unittest

from flintreach.standins.soak import Soak
from tests.test_system_camp import free_port


class Short(unittest.TestCase):
    def test_one_seed_holds(self):
        base = f"127.{130 + os.getpid() % 80}.{os.getpid() // 80 % 250}"
        verdict = Soak(7, 10.0, base, free_port(base)).run()
        self.assertEqual(verdict.broken, {}, verdict.line())
        self.assertGreater(verdict.departures, 3, verdict.line())
        self.assertGreater(verdict.statuses[200], 100, verdict.line())


if __name__ == "__main__":
    unittest.main()
