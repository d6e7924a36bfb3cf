"""Lease owners and key load follow the sharded services of the configuration."""

import unittest
from unittest import mock

from flintreach.controller.key_ranges import KeyRanges
from flintreach.dissemination.versioned_store import VersionedStore


class RemovedServices(unittest.TestCase):
    def test_no_state_is_kept_for_services_that_are_no_longer_sharded(self) -> None:
        updates = VersionedStore()
        updates.offer("bunks/old", [3, 9], [[0, 9, "e", "held"]])
        updates.offer("bunks/new", [3, 9], [[0, 9, "e", "held"]])
        key_ranges = KeyRanges(mock.Mock(updates=updates, peer_pool=mock.Mock(handlers={})))
        key_ranges.lease_owners = dict.fromkeys(("old", "new"))
        key_ranges.region_biases = dict.fromkeys(("old", "new"))
        key_ranges.key_load.keys = {"old": {}}
        key_ranges.key_load.bytes = {"old": 1.0, "new": 2.0}
        key_ranges.remove_services({"new"})
        self.assertEqual([*key_ranges.lease_owners], ["new"])
        self.assertEqual([*key_ranges.region_biases], ["new"])
        self.assertEqual([*key_ranges.key_load.keys], [])
        self.assertEqual([*key_ranges.key_load.bytes], ["new"])
        self.assertEqual([*updates.with_prefix("bunks/")], ["new"])
        self.assertTrue(updates.offer("bunks/old", [3, 10], []), "an update of the next owner is rejected")


if __name__ == "__main__":
    unittest.main()
