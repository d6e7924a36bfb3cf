"""Which endpoints serve each slice."""

import unittest

from flintreach.placement.placer import NS_PER_S, Candidate, Placer


def endpoints(count: int = 8, in_south: int = 4) -> list[Candidate]:
    """Endpoints of unequal capacity, the first of them in region "s", the others in "r"."""
    return [Candidate(f"e{i}", "desk", "s" if i < in_south else "r", 2 if i % 2 else 4) for i in range(count)]


def run_for(
    placer: Placer, counts: dict[str, int], seconds: int, candidates: list[Candidate], start_s: int = 0
) -> None:
    """Report the same demand for some seconds, and search after each."""
    for second in range(start_s, start_s + seconds):
        placer.record_demand(counts, second * NS_PER_S)
        for _ in placer.run(candidates, second * NS_PER_S):
            pass


def placed(placer: Placer) -> dict[str, set[str]]:
    """Slice -> ids of its endpoints."""
    return {name: set(state.endpoints) for name, state in placer.slices.items()}


class PlacementTest(unittest.TestCase):
    def evenly_loaded(self) -> tuple[Placer, list[Candidate], dict[str, int]]:
        """A placer that has run for 25 seconds, its endpoints, and the demand of its twelve slices."""
        placer = Placer(1)
        candidates = endpoints(in_south=0)
        names = [f"s{i} desk" for i in range(12)]
        placer.configure([(name, "desk", ()) for name in names], {})
        demand = dict.fromkeys(names, 5)
        run_for(placer, demand, 25, candidates)
        return placer, candidates, demand

    def test_hot_slices_gain_replicas_within_their_homes_and_quiet_ones_stay_where_they_are(self) -> None:
        placer = Placer(1)
        slices = [("hot desk", "desk", ()), ("home desk", "desk", ("r",)), ("idle desk", "desk", ())]
        placer.configure(slices, {})
        run_for(placer, {"hot desk": 80, "home desk": 20, "idle desk": 1}, 30, endpoints())
        serving = placed(placer)
        self.assertGreaterEqual(len(serving["hot desk"]), 6)
        self.assertEqual(len(serving["idle desk"]), 1)
        self.assertLessEqual(serving["home desk"], {"e4", "e5", "e6", "e7"})

    def test_a_lost_endpoint_is_left_at_once_and_little_else_moves(self) -> None:
        placer, candidates, demand = self.evenly_loaded()
        before = placed(placer)
        lost = next(iter(before["s0 desk"]))
        remaining = [candidate for candidate in candidates if candidate.id != lost]
        run_for(placer, demand, 1, remaining, start_s=25)
        after = placed(placer)
        self.assertTrue(all(lost not in ids for ids in after.values()))
        moved = [name for name in demand if lost not in before[name] and before[name] != after[name]]
        self.assertLessEqual(len(moved), 4)

    def test_an_endpoint_in_its_slow_start_gains_at_most_one_slice_a_run(self) -> None:
        placer, candidates, demand = self.evenly_loaded()
        warming_up = Candidate("new", "desk", "r", 4, warming_up=True)
        served_before = 0
        for second in range(25, 60):
            run_for(placer, demand, 1, [*candidates, warming_up], start_s=second)
            served = sum("new" in ids for ids in placed(placer).values())
            self.assertLessEqual(served, served_before + 1)
            served_before = served


if __name__ == "__main__":
    unittest.main()
