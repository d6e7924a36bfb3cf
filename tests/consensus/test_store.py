"""Content of a controller's disk after a power failure at any point of a write, and disks of other nodes."""

import shutil
import sqlite3
import tempfile
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from unittest import mock

import gevent

from flintreach.consensus.acceptor import Ballot, Slot
from flintreach.consensus.store import FILE_NAME, MAX_WAL_BYTES, Store, StoreError

WAL_NAME = f"{FILE_NAME}-wal"
SHARED_MEMORY_NAME = f"{FILE_NAME}-shm"
FIRST_BALLOT = Ballot(1, "a")
SECOND_BALLOT = Ballot(2, "b")


@contextmanager
def opened_store(folder: Path, node: str = "n1", first_run: bool = True) -> Iterator[Store]:
    """Open a store in a folder, and stop its threads afterwards."""
    store = Store(str(folder), node, first_run)
    try:
        yield store
    finally:
        store.writer.kill()
        store.pool.apply(store.connection.close)
        store.pool.kill()


def stored(folder: Path) -> tuple[dict[str, bytes | None], dict[str, bytes], bool]:
    """Values by key, endpoint rows by id, and whether the disk votes, as a restart reads them."""
    with opened_store(folder, first_run=False) as store:
        values = {key: slot.value for key, slot in store.slots.items()}
        return values, dict(store.endpoint_rows), store.voting


class StoreInFolder(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)


class TestPowerFailure(StoreInFolder):
    def copy(self, name: str, source: str = "live") -> Path:
        shutil.copytree(self.folder / source, self.folder / name)
        return self.folder / name

    def test_power_may_fail_at_any_byte_of_a_write(self) -> None:
        """Acknowledged writes are read back; an unfinished write is either complete or absent."""
        old_slots = {"timetable": Slot(FIRST_BALLOT, FIRST_BALLOT, b"old" * 50)}
        new_slots = {"timetable": Slot(SECOND_BALLOT, SECOND_BALLOT, b"new" * 50)}
        with opened_store(self.folder / "live") as store:
            self.assertTrue(store.persist(old_slots, None, {"e1": b"ready"}))
            size_before = (self.folder / "live" / WAL_NAME).stat().st_size
            self.assertTrue(store.persist(new_slots, None, {"e1": b"closing"}))
            self.copy("after")
        log = (self.folder / "after" / WAL_NAME).read_bytes()
        self.assertGreater(len(log), size_before)
        outcomes = []
        for cut in [*range(size_before, len(log), 397), len(log)]:
            for torn in {b"", b"\xff" * (len(log) - cut)}:  # the rest is missing or garbage
                copy = self.copy(f"cut-{cut}-{len(torn)}", "after")
                (copy / WAL_NAME).write_bytes(log[:cut] + torn)
                (copy / SHARED_MEMORY_NAME).unlink(missing_ok=True)
                values, endpoint_rows, voting = stored(copy)
                self.assertTrue(voting)
                outcome = values["timetable"][:3], endpoint_rows["e1"]
                self.assertIn(outcome, ((b"old", b"ready"), (b"new", b"closing")), (cut, bool(torn)))
                outcomes.append(outcome)
        self.assertEqual(outcomes[0], (b"old", b"ready"))
        self.assertEqual(outcomes[-1], (b"new", b"closing"))


class TestOpening(StoreInFolder):
    def test_only_a_disk_created_at_the_first_start_votes_at_once(self) -> None:
        with opened_store(self.folder / "a", first_run=True) as store:
            self.assertTrue(store.voting)
            incarnation = store.incarnation
        with opened_store(self.folder / "a", first_run=False) as store:
            self.assertEqual((store.voting, store.incarnation), (True, incarnation))
        with opened_store(self.folder / "b", first_run=False) as store:
            self.assertFalse(store.voting)
            self.assertNotEqual(store.incarnation, incarnation)

    def test_a_disk_of_another_node_or_format_is_rejected(self) -> None:
        for name in ("a", "b"):
            with opened_store(self.folder / name):
                pass
        with self.assertRaisesRegex(StoreError, "belongs to n1"):
            Store(str(self.folder / "b"), "n2", False)
        base = sqlite3.connect(self.folder / "a" / FILE_NAME)
        base.execute("update facts set value = '0' where name = 'format'")
        base.commit()
        base.close()
        with self.assertRaisesRegex(StoreError, "format 0"):
            Store(str(self.folder / "a"), "n1", False)

    def test_a_folder_that_can_not_be_used_yet_is_waited_for(self) -> None:
        path = self.folder / "a"
        path.write_bytes(b"")
        gevent.spawn_later(0.1, path.unlink)
        with opened_store(path, first_run=True) as store:
            self.assertTrue(store.voting)

    def test_a_file_that_is_no_database_is_rejected(self) -> None:
        (self.folder / FILE_NAME).write_bytes(b"x" * 9000)
        with self.assertRaisesRegex(StoreError, "not a database"):
            Store(str(self.folder), "n1", True)


class TestWriting(StoreInFolder):
    def test_a_value_that_sqlite_can_not_store_fails_and_later_writes_succeed(self) -> None:
        """Guards against a writer that ended, so that its controller waited forever; changes are logged."""
        beyond_64_bits = Ballot(1 << 70, "a")
        lines: list[bool] = []

        def log(_: str, succeed: bool, error: str) -> None:
            lines.append(succeed)

        with (
            gevent.Timeout(5),
            opened_store(self.folder) as store,
            mock.patch("flintreach.consensus.store.log_event", log),
        ):
            for _ in range(2):
                self.assertFalse(store.persist({"k": Slot(beyond_64_bits, beyond_64_bits, b"1")}))
            for _ in range(2):
                self.assertTrue(store.persist({"k": Slot(FIRST_BALLOT, FIRST_BALLOT, b"1")}))
        self.assertEqual(lines, [False, True])

    def test_a_failed_write_is_reported_and_the_next_one_succeeds(self) -> None:
        with opened_store(self.folder / "a") as store:
            first = {"k": Slot(FIRST_BALLOT, FIRST_BALLOT, b"1")}
            self.assertTrue(store.persist(first))
            store.pool.apply(store.connection.execute, ("pragma max_page_count = 1",))
            big = {"big": Slot(FIRST_BALLOT, FIRST_BALLOT, b"x" * 100_000)}
            self.assertFalse(store.persist(big))
            self.assertTrue(store.persist({"k": Slot(Ballot(2, "a"), Ballot(2, "a"), b"2")}))
        values, _, _ = stored(self.folder / "a")
        self.assertEqual(values, {"k": b"2"})

    def test_database_and_write_ahead_log_stay_bounded(self) -> None:
        with opened_store(self.folder) as store:
            for number in range(3000):
                value = bytes([number % 251]) * 4000
                ballot = Ballot(number, "a")
                self.assertTrue(store.persist({f"k{number % 7}": Slot(ballot, ballot, value)}))
            sizes = [(self.folder / name).stat().st_size for name in (FILE_NAME, WAL_NAME)]
        self.assertLess(sizes[0], 400_000)
        self.assertLessEqual(sizes[1], MAX_WAL_BYTES)

    def test_a_deleted_slot_is_gone_from_the_disk(self) -> None:
        slot = Slot(FIRST_BALLOT, FIRST_BALLOT, b"1")
        with opened_store(self.folder) as store:
            store.persist({"k": slot, "m": slot})
            self.assertTrue(store.persist({"k": None}))
        with opened_store(self.folder) as store:
            self.assertEqual([*store.slots], ["m"])


if __name__ == "__main__":
    unittest.main()
