"""Which endpoints serve each slice."""

import unittest

from flintreach.placement.placer import Candidate, Placer
from flintreach.proxy.balancing import NS_PER_S as SECOND


class Placement(unittest.TestCase):
    def places(self, count=8, far=4):
        return [Candidate(f"e{i}", "desk", "s" if i < far else "r", 2 if i % 2 else 4) for i in range(count)]

    def run_for(self, placer, counts, seconds, places, start=0):
        for second in range(start, start + seconds):
            placer.heard(counts, second * SECOND)
            for _ in placer.run(places, second * SECOND):
                pass

    def test_hot_slices_gain_copies_within_their_homes_and_quiet_ones_stay_where_they_are(self):
        placer, places = Placer(1), self.places()
        placer.slices(
            [("hot desk", "desk", ()), ("home desk", "desk", ("r",)), ("idle desk", "desk", ())], {}
        )
        self.run_for(placer, {"hot desk": 80, "home desk": 20, "idle desk": 1}, 30, places)
        want = {name: unit.want for name, unit in placer.units.items()}
        self.assertGreaterEqual(len(want["hot desk"]), 6)
        self.assertEqual(len(want["idle desk"]), 1)
        self.assertLessEqual(want["home desk"], {"e4", "e5", "e6", "e7"})

    def test_a_lost_endpoint_is_left_at_once_and_little_else_moves(self):
        placer, places = Placer(1), self.places(far=0)
        names = [f"s{i} desk" for i in range(12)]
        placer.slices([(name, "desk", ()) for name in names], {})
        self.run_for(placer, dict.fromkeys(names, 5), 25, places)
        before = {name: set(unit.want) for name, unit in placer.units.items()}
        lost = next(iter(before[names[0]]))
        self.run_for(placer, dict.fromkeys(names, 5), 1, [p for p in places if p.id != lost], start=25)
        after = {name: set(unit.want) for name, unit in placer.units.items()}
        self.assertTrue(all(lost not in ids for ids in after.values()))
        moved = [name for name in names if lost not in before[name] and before[name] != after[name]]
        self.assertLessEqual(len(moved), 4)

    def test_a_cold_endpoint_gains_at_most_one_slice_a_run(self):
        placer, places = Placer(1), self.places(far=0)
        names = [f"s{i} desk" for i in range(12)]
        placer.slices([(name, "desk", ()) for name in names], {})
        self.run_for(placer, dict.fromkeys(names, 5), 25, places)
        fresh = Candidate("new", "desk", "r", 4, cold=True)
        held = 0
        for second in range(25, 60):
            self.run_for(placer, dict.fromkeys(names, 5), 1, [*places, fresh], start=second)
            now = sum("new" in unit.want for unit in placer.units.values())
            self.assertLessEqual(now, held + 1)
            held = now


if __name__ == "__main__":
    unittest.main()
