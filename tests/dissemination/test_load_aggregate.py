"""Load figures add up on their way to the controllers."""

import unittest

from flintreach.dissemination.load_aggregate import LoadAggregate


class LoadSums(unittest.TestCase):
    def test_sums_of_relays_add_up(self) -> None:
        parent = LoadAggregate()
        child = LoadAggregate()
        child.request("s")
        child.key("k", 7)
        child.answer("k", 900)
        parent.key("k", 7, 2)
        child.reported_load("e", 0.5)
        parent.request("s")
        parent.add(child.take())
        self.assertEqual(
            parent.take(),
            {"came": {"s": 2}, "keys": {"k": {7: 3}}, "bytes": {"k": 900}, "load": {"e": [0.5, 1]}},
        )
        self.assertIsNone(parent.take())


if __name__ == "__main__":
    unittest.main()
