"""Load of sharded services by key."""

import unittest

from flintreach.sharding.key_load import KeyLoad


class KeyLoadTest(unittest.TestCase):
    def test_counts_decay_and_summaries_reach_other_controllers(self) -> None:
        collecting = KeyLoad()
        receiving = KeyLoad()
        sums = {"keys": {"s": {5: 40}}, "bytes": {"s": 9}, "load": {"e1": [1.8, 2], "e2": [0.4, 2]}}
        summary = None
        for _ in range(10):
            summary = collecting.add_second(sums) or summary
        receiving.replace(summary)
        load, busy = receiving.load_of("s")
        self.assertEqual(busy, {"e1"})
        self.assertAlmostEqual(receiving.capacity_in_use({"e1": 2.0, "e2": 2.0, "e3": 2.0}), 3.3, 1)
        self.assertGreater(load.share(320, 383), 0.5)
        for _ in range(120):
            collecting.add_second(None)
        self.assertEqual(collecting.keys["s"], {})


if __name__ == "__main__":
    unittest.main()
