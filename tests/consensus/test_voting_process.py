"""Epochs on the disk and during a request."""

import unittest

from flintreach.consensus.messages import LaterEpoch
from flintreach.consensus.quorum import Voters
from tests.consensus.cluster_model import Cluster, address_of, voters_of


class TestEpochs(unittest.TestCase):
    def test_an_acceptance_during_a_change_of_epoch_does_not_count(self) -> None:
        """A process that lists the keys in the later epoch may have missed it."""
        register = Cluster("abc", "abc").registers["a"]
        register.store.during_next_write = lambda: register.adopt(voters_of(2, "abc", "ab"))
        answer = register.on_accept(None, ["k", [1, "x"], b"1", "a0", 1])
        self.assertEqual(answer, LaterEpoch(voters_of(2, "abc", "ab").row()))

    def test_the_epoch_on_the_disk_never_decreases(self) -> None:
        register = Cluster("abc", "abc").registers["a"]
        self.assertTrue(register.adopt(voters_of(5, "abc")))
        self.assertTrue(register.adopt(voters_of(4, "ab")))
        self.assertEqual(Voters.from_facts(register.store.facts), voters_of(5, "abc"))
        self.assertEqual(register.check_epoch(4), LaterEpoch(voters_of(5, "abc").row()))
        register.store.persist = lambda *_: False
        self.assertFalse(register.adopt(voters_of(6, "abc")))
        self.assertEqual(register.voters.epoch, 5)

    def test_the_voters_list_of_earlier_releases_becomes_epoch_one(self) -> None:
        legacy = Voters(1, ((address_of("a"), ""), (address_of("b"), "")))
        self.assertEqual(Voters.from_facts({"circle": "10.0.0.2:7,10.0.0.1:7"}), legacy)
        self.assertEqual(Voters.from_facts({}), Voters())
        register = Cluster("ab", "ab").registers["a"]
        register.voters = legacy
        register.update_voting()
        self.assertTrue(register.can_vote())


if __name__ == "__main__":
    unittest.main()
