"""What stands on a refuge's disk after power went at any point of a write; disks that are not ours."""

import shutil
import sqlite3
import tempfile
import unittest
from pathlib import Path

from flintreach.consensus.acceptor import Slot
from flintreach.consensus.store import Store, StoreError


class Disk:
    """A store in a folder, with its threads ended at the end."""

    def __init__(self, folder, node="n1", first_run=True):
        self.store = Store(str(folder), node, first_run)

    def __enter__(self):
        return self.store

    def __exit__(self, *_):
        self.store.writer.kill()
        self.store.pool.apply(self.store.base.close)
        self.store.pool.kill()


def held(folder):
    with Disk(folder, first_run=False) as store:
        return {key: slot.value for key, slot in store.slots.items()}, dict(store.huts), store.voting


class Power(unittest.TestCase):
    def setUp(self):
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def copy(self, name, source="live"):
        shutil.copytree(self.folder / source, self.folder / name)
        return self.folder / name

    def test_power_may_go_at_any_byte_of_a_write(self):
        """What was acknowledged before is read back; what was being written is whole or absent."""
        old, new = {"timetable": Slot((1, "a"), (1, "a"), b"old" * 50)}, {}
        new["timetable"] = Slot((2, "b"), (2, "b"), b"new" * 50)
        with Disk(self.folder / "live") as store:
            self.assertTrue(store.keep(old, None, {"e1": b"ready"}))
            before = (self.folder / "live" / "cairn.db-wal").stat().st_size
            self.assertTrue(store.keep(new, None, {"e1": b"closing"}))
            self.copy("after")
        wal = (self.folder / "after" / "cairn.db-wal").read_bytes()
        self.assertGreater(len(wal), before)
        found = []
        for cut in [*range(before, len(wal), 397), len(wal)]:
            for torn in {b"", b"\xff" * (len(wal) - cut)}:  # the rest is missing, or is not what was written
                place = self.copy(f"cut-{cut}-{len(torn)}", "after")
                (place / "cairn.db-wal").write_bytes(wal[:cut] + torn)
                (place / "cairn.db-shm").unlink(missing_ok=True)
                slots, huts, voting = held(place)
                self.assertTrue(voting)
                pair = slots["timetable"][:3], huts["e1"]
                self.assertIn(pair, ((b"old", b"ready"), (b"new", b"closing")), (cut, bool(torn)))
                found.append(pair)
        self.assertEqual(found[0], (b"old", b"ready"))
        self.assertEqual(found[-1], (b"new", b"closing"))

    def test_only_a_first_start_votes_at_once(self):
        with Disk(self.folder / "a", first_run=True) as store:
            self.assertTrue(store.voting)
            life = store.life
        with Disk(self.folder / "a", first_run=False) as store:
            self.assertEqual((store.voting, store.life), (True, life))
        with Disk(self.folder / "b", first_run=False) as store:
            self.assertFalse(store.voting)
            self.assertNotEqual(store.life, life)

    def test_a_disk_of_another_node_or_format_is_told_and_left_alone(self):
        for name in ("a", "b"):
            with Disk(self.folder / name):
                pass
        with self.assertRaisesRegex(StoreError, "belongs to n1"):
            Store(str(self.folder / "b"), "n2", False)
        base = sqlite3.connect(self.folder / "a" / "cairn.db")
        base.execute("update facts set value = '0' where name = 'format'")
        base.commit()
        base.close()
        with self.assertRaisesRegex(StoreError, "format 0"):
            Store(str(self.folder / "a"), "n1", False)

    def test_a_disk_that_refuses_a_write_says_so_and_takes_the_next(self):
        with Disk(self.folder / "a") as store:
            first = {"k": Slot((1, "a"), (1, "a"), b"1")}
            self.assertTrue(store.keep(first))
            store.pool.apply(store.base.execute, ("pragma max_page_count = 1",))
            big = {"big": Slot((1, "a"), (1, "a"), b"x" * 100_000)}
            self.assertFalse(store.keep(big))
            self.assertTrue(store.keep({"k": Slot((2, "a"), (2, "a"), b"2")}))
        slots, _, _ = held(self.folder / "a")
        self.assertEqual(slots, {"k": b"2"})


if __name__ == "__main__":
    unittest.main()
