"""Updates down the tree of relays."""

import unittest

from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.dissemination.versioned_store import VersionedStore


class News(unittest.TestCase):
    def test_what_is_held_never_goes_back(self):
        updates, seen = VersionedStore(), []
        updates.watchers.append(lambda key, version, value: seen.append((key, version)))
        for version, value in ((2, b"new"), (1, b"old"), (2, b"twin"), (3, b"newer")):
            updates.offer("timetable", version, value)
        self.assertEqual((seen, updates.get("timetable")), ([("timetable", 2), ("timetable", 3)], b"newer"))

    def test_a_gap_is_filled_from_what_the_child_tells(self):
        parent, child = VersionedStore(), VersionedStore()
        for number in range(4):
            parent.offer(f"hut/{number}", [number, 0], {"n": number})
        child.offer("hut/1", [1, 0], {"n": 1})
        child.offer("hut/2", [1, 0], None)
        buckets, rows = parent.compare(child.digest())
        rows += parent.missing(child.versions(buckets))[0]
        self.assertEqual(sorted(row[0] for row in rows), ["hut/0", "hut/2", "hut/3"])
        child.take(rows)
        self.assertEqual((child.digest(), child.entries), (parent.digest(), parent.entries))

    def test_sums_of_relays_add_up(self):
        top, low = LoadAggregate(), LoadAggregate()
        low.request("s")
        low.key("k", 7)
        low.answer("k", 900)
        top.key("k", 7, 2)
        low.reported_load("e", 0.5)
        top.request("s")
        top.add(low.take())
        self.assertEqual(
            top.take(),
            {"came": {"s": 2}, "keys": {"k": {7: 3}}, "bytes": {"k": 900}, "load": {"e": [0.5, 1]}},
        )
        self.assertIsNone(top.take())


if __name__ == "__main__":
    unittest.main()
