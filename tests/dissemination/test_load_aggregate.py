"""Tests that load reports are summed correctly on their way to the controllers."""

import unittest

from flintreach.dissemination.load_aggregate import LoadAggregate


class LoadAggregation(unittest.TestCase):
    def test_a_parent_adds_reports_of_its_children(self) -> None:
        parent = LoadAggregate()
        child = LoadAggregate()
        child.count_request("s")
        child.count_key_request("k", 7)
        child.count_response_bytes("k", 900)
        parent.count_key_request("k", 7, 2)
        child.add_endpoint_load("e", 0.5)
        parent.count_request("s")
        parent.add_report(child.flush())
        self.assertEqual(
            parent.flush(),
            {"came": {"s": 2}, "keys": {"k": {7: 3}}, "bytes": {"k": 900}, "load": {"e": [0.5, 1]}},
        )
        self.assertIsNone(parent.flush())


if __name__ == "__main__":
    unittest.main()
