"""Tests that a store keeps the highest version of each key, and that anti-entropy makes two stores equal."""

import unittest
from typing import Any

from flintreach.dissemination.versioned_store import VersionedStore


class Versions(unittest.TestCase):
    def test_the_version_of_a_key_never_decreases(self) -> None:
        updates = VersionedStore()
        seen: list[tuple[str, Any]] = []
        updates.watchers.append(lambda key, version, value: seen.append((key, version)))
        for version, value in ((2, b"new"), (1, b"old"), (2, b"duplicate"), (3, b"newer")):
            updates.offer("timetable", version, value)
        self.assertEqual((seen, updates.get("timetable")), ([("timetable", 2), ("timetable", 3)], b"newer"))


class AntiEntropy(unittest.TestCase):
    def test_missing_updates_are_found_by_digest_and_versions(self) -> None:
        parent = VersionedStore()
        child = VersionedStore()
        for number in range(4):
            parent.offer(f"hut/{number}", [number, 0], {"n": number})
        child.offer("hut/1", [1, 0], {"n": 1})
        child.offer("hut/2", [1, 0], None)
        buckets, rows = parent.compare(child.digest())
        rows += parent.missing(child.versions(buckets))[0]
        self.assertEqual(sorted(row[0] for row in rows), ["hut/0", "hut/2", "hut/3"])
        child.apply_rows(rows)
        self.assertEqual((child.digest(), child.entries), (parent.digest(), parent.entries))


if __name__ == "__main__":
    unittest.main()
