"""Metrics in the Prometheus exposition format."""

import unittest

from flintreach.proxy.metrics import BUCKETS_S, VIEW_AGE, Metrics

NS_PER_S = 1_000_000_000


class Exposition(unittest.TestCase):
    def test_buckets_are_cumulative_and_end_with_the_count(self) -> None:
        metrics = Metrics()
        for seconds in (0.01, 0.2, 0.25, 60):
            metrics.observe(VIEW_AGE, int(seconds * NS_PER_S))
        metrics.count("no turn")
        lines = metrics.text().splitlines()
        cumulative = [int(line.rpartition(" ")[2]) for line in lines if f"{VIEW_AGE}_bucket" in line]
        self.assertEqual(cumulative, [1, 1, 3] + [3] * (len(BUCKETS_S) - 3) + [4])
        self.assertIn(f"flintreach_proxy_{VIEW_AGE}_count 4", lines)
        self.assertIn("flintreach_proxy_no_turn_total 1", lines)
        self.assertEqual(metrics.max_values()[VIEW_AGE], 60)


if __name__ == "__main__":
    unittest.main()
