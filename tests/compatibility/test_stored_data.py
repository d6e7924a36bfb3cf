"""Stored data compatibility: reads and updates a controller database written by release 8a5daae.

`tests/data/disk` holds register slots (configuration, evacuation, map, voters, key ranges, and one slot
that is promised but not accepted), endpoint rows with and without a rank, and a tombstone.  The newest
commits are only in the write-ahead log.
"""

import json
import shutil
import sqlite3
import tempfile
import unittest
from pathlib import Path

import msgspec

from flintreach.cli.register_values import describe
from flintreach.config import configuration, configuration_history
from flintreach.config.configuration_history import ConfigurationHistory
from flintreach.consensus.acceptor import Slot
from flintreach.consensus.inspection import read_tables
from flintreach.consensus.quorum import Voters
from flintreach.consensus.recovery import force_single_voter
from flintreach.consensus.store import Store
from flintreach.endpoints.registry import EndpointRecord, EndpointRow
from flintreach.sharding.range_assignment import Allocation

DISK = Path(__file__).parents[1] / "data" / "disk"
NODE = "sorting-north-a-1"
MS, SECOND = 1_000_000, 1_000_000_000
PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode


def tables(folder: Path) -> dict[str, list[tuple]]:
    """Maps each table of the database to its rows."""
    connection = sqlite3.connect(folder / "cairn.db")
    try:
        names = [
            name for (name,) in connection.execute("select name from sqlite_master where type = 'table'")
        ]
        return {
            name: connection.execute(f"select * from {name} order by 1").fetchall() for name in sorted(names)
        }
    finally:
        connection.close()


class StoredData(unittest.TestCase):
    def setUp(self):
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        for name in ("cairn.db", "cairn.db-wal"):
            shutil.copyfile(DISK / name, self.folder / name)

    def open_store(self) -> Store:
        store = Store(str(self.folder), NODE, False)

        def close():
            store.writer.kill()
            store.pool.apply(store.connection.close)
            store.pool.kill()

        self.close_store = close
        return store

    def test_state_command_output_is_unchanged(self):
        self.assertEqual(
            read_tables(str(self.folder), describe), json.loads((DISK / "state.json").read_text())
        )

    def test_store_identity_is_read(self):
        store = self.open_store()
        self.addCleanup(self.close_store)
        self.assertEqual((store.incarnation, store.voting), ("0c0ffee0c0ff", True))
        self.assertEqual(store.facts["forced"], "epoch 2 given up")

    def test_register_ballots_are_read(self):
        store = self.open_store()
        self.addCleanup(self.close_store)
        me, other = "10.1.0.13:7720", "10.2.0.43:7720"
        ballots = {key: (slot.promised, slot.accepted) for key, slot in store.slots.items()}
        self.assertEqual(
            ballots,
            {
                "timetable": ((5, me), (5, me)),
                "evac": ((3, other), (3, other)),
                "map": ((21, me), (20, other)),
                "voters": ((7, me), (7, me)),
                "bunks/lot": ((90, me), (90, me)),
                "promised-only": ((4, me), (0, "")),
            },
        )
        self.assertIsNone(store.slots["promised-only"].value)

    def test_register_values_are_decoded(self):
        store = self.open_store()
        self.addCleanup(self.close_store)
        values = {key: slot.value for key, slot in store.slots.items()}
        history = ConfigurationHistory.decode(values["timetable"])
        self.assertEqual((history.number, len(history)), (9, 3))
        table = configuration.check(history.body)
        self.assertEqual(
            (table.number, len(table.virtual_hosts[0].route_rules), len(table.service_configs)), (9, 2, 2)
        )
        # The history confirms each acknowledged configuration, even if never in effect, and no other.
        for number, body, outcome in ((9, history.body, "again"), (9, b"{}", "other content")):
            self.assertEqual(configuration_history.put(values["timetable"], number, body)[0], outcome)
        self.assertEqual(UNPACK(values["evac"]), [2, {"north-a": True, "south-b": False}])
        endpoint_map = {"look desk": ["desk-1", "desk-2"], "book desk": ["desk-2"]}
        self.assertEqual(UNPACK(values["map"]), [20, endpoint_map])
        allocation = Allocation.decode(values["bunks/lot"])
        self.assertEqual(allocation.encode(), values["bunks/lot"])
        self.assertEqual([key_range.state for key_range in allocation.ranges], ["held", "leaving", "free"])

    def test_configuration_without_history_is_read(self):
        body = b'{"edition": "00000009"}'
        self.assertEqual(ConfigurationHistory.decode(body).number, 9)
        self.assertEqual(configuration_history.put(body, 9, body)[0], "again")
        self.assertEqual(configuration_history.put(body, 9, b"other")[0], "other content")

    def test_voters_round_trip(self):
        store = self.open_store()
        self.addCleanup(self.close_store)
        voters = Voters.from_facts(store.facts)
        self.assertEqual((voters.epoch, len(voters.members())), (7, 4))
        self.assertEqual(PACK(voters.row()), store.slots["voters"].value)
        self.assertEqual(voters.to_facts()["voters"], store.facts["voters"])

    def test_voters_of_earlier_releases_are_read(self):
        voters = Voters.from_facts({"circle": "10.1.0.13:7720,10.2.0.43:7720"})
        self.assertEqual(voters.epoch, 1)
        self.assertEqual(voters.members(), [("10.1.0.13", 7720), ("10.2.0.43", 7720)])

    def test_endpoint_rows_are_read_with_and_without_a_rank(self):
        store = self.open_store()
        self.addCleanup(self.close_store)
        now = 400 * SECOND
        records = {
            id: EndpointRecord.from_row(UNPACK(row, type=EndpointRow), now)
            for id, row in store.endpoint_rows.items()
        }
        states = {id: (record.state, record.rank, record.sequence) for id, record in records.items()}
        self.assertEqual(
            states,
            {
                "desk-1": ("ready", 0, 412),
                "desk-2": ("closing", 1, 17),
                "desk-3": ("closing", 1, 99),
                "desk-4": ("gone", 2, 3),
                "desk-5": ("gone", 2, 55),
                "lot-1": ("gone", 0, 7),
            },
        )
        self.assertEqual(records["desk-1"].warming_up_until_ns, now + 2 * SECOND)
        self.assertEqual(records["desk-5"].gone_at_ns, now - 30 * SECOND)

    def test_endpoint_rows_round_trip(self):
        store = self.open_store()
        self.addCleanup(self.close_store)
        now = 400 * SECOND
        for id in ("desk-5", "lot-1"):
            self.assertEqual(
                PACK(
                    EndpointRecord.from_row(UNPACK(store.endpoint_rows[id], type=EndpointRow), now).row(now)
                ),
                store.endpoint_rows[id],
            )

    def test_new_writes_preserve_existing_rows(self):
        shutil.copytree(self.folder, self.folder / "before")
        before = tables(self.folder / "before")
        store = self.open_store()
        fresh = Slot((9, "a:1"), (9, "a:1"), b"new")
        self.assertTrue(store.persist({"another": fresh, "evac": None}, {"more": "1"}, {"desk-4": b""}))
        self.close_store()
        after = tables(self.folder)
        self.assertEqual(sorted(after), ["facts", "huts", "slots"])
        self.assertEqual(set(after["facts"]), {*before["facts"], ("more", "1")})
        self.assertEqual(after["huts"], [row for row in before["huts"] if row[0] != "desk-4"])
        slots = [row for row in before["slots"] if row[0] != "evac"]
        self.assertEqual(after["slots"], sorted([*slots, ("another", 9, "a:1", 9, "a:1", b"new")]))

    def test_forced_single_voter_recovery_accepts_an_older_store(self):
        with self.assertRaisesRegex(Exception, "holds epoch 7, not 6"):
            force_single_voter(str(self.folder), 6, ("10.1.0.13", 7720))
        after = force_single_voter(str(self.folder), 7, ("10.1.0.13", 7720))
        self.assertEqual((after.epoch, after.members()), (1007, [("10.1.0.13", 7720)]))


if __name__ == "__main__":
    unittest.main()
