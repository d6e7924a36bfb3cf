"""Forced recovery with a single voter: which disks qualify, and that surviving old voters are fenced off."""

import sqlite3

from flintreach.consensus.acceptor import Slot
from flintreach.consensus.quorum import Voters
from flintreach.consensus.recovery import FORCED_EPOCH_STEP, force_single_voter
from flintreach.consensus.store import FILE_NAME, StoreError
from tests.consensus.cluster_model import Cluster, address_of
from tests.consensus.test_store import StoreInFolder, opened_store


class TestForceSingleVoter(StoreInFolder):
    def test_forced_recovery_is_explicit_fenced_and_recorded(self) -> None:
        with opened_store(self.folder) as store:
            incarnation = store.incarnation
            voters = Voters(
                7, ((address_of("a"), incarnation), (address_of("b"), "b0"), (address_of("c"), "c0"))
            )
            store.persist({}, voters.to_facts())
            with self.assertRaisesRegex(StoreError, "locked"):
                force_single_voter(str(self.folder), 7, address_of("a"))
        for epoch, name, reason in (
            (6, "a", "epoch 7, not 6"),
            (7, "d", "not a voter"),
            (7, "b", "came back empty"),
        ):
            with self.assertRaisesRegex(StoreError, reason):
                force_single_voter(str(self.folder), epoch, address_of(name))
        forced = force_single_voter(str(self.folder), 7, address_of("a"))
        self.assertEqual(forced, Voters(7 + FORCED_EPOCH_STEP, ((address_of("a"), incarnation),)))
        with opened_store(self.folder) as store:
            self.assertEqual(Voters.from_facts(store.facts), forced)
            self.assertIn("epoch 1007 by hand over 7", store.facts["forced"])

    def test_surviving_old_voters_follow_the_forced_epoch(self) -> None:
        cluster = Cluster("abc", "abc")
        cluster.registers["a"].adopt(Voters(1001, ((address_of("a"), "a0"),)))
        self.assertTrue(cluster.put("b", "k", b"later"))
        self.assertEqual(cluster.registers["b"].voters.epoch, 1001)
        values = {
            name: register.acceptor.slots.get("k", Slot()).value
            for name, register in cluster.registers.items()
        }
        self.assertEqual(values, {"a": b"later", "b": None, "c": None})

    def test_a_wiped_disk_or_another_format_is_rejected(self) -> None:
        with opened_store(self.folder) as store:
            voters = Voters(7, ((address_of("a"), store.incarnation),))
            store.persist({}, voters.to_facts() | {"voting": "0"})
        with self.assertRaisesRegex(StoreError, "came back empty"):
            force_single_voter(str(self.folder), 7, address_of("a"))
        base = sqlite3.connect(self.folder / FILE_NAME)
        base.execute("update facts set value = '9' where name = 'format'")
        base.commit()
        base.close()
        with self.assertRaisesRegex(StoreError, "format 9"):
            force_single_voter(str(self.folder), 7, address_of("a"))
