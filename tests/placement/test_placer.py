"""Placement of slices on endpoints."""

import unittest

from flintreach.placement.placer import NS_PER_S, Candidate, Placer


def endpoints(count: int = 8, in_south: int = 4) -> list[Candidate]:
    """Endpoints of unequal capacity, the first `in_south` of them in region "s", the others in "r"."""
    return [Candidate(f"e{i}", "web", "s" if i < in_south else "r", 2 if i % 2 else 4) for i in range(count)]


def run_for(
    placer: Placer, counts: dict[str, int], seconds: int, candidates: list[Candidate], start_s: int = 0
) -> None:
    """Report the same demand every second, and run the placer each time."""
    for second in range(start_s, start_s + seconds):
        placer.record_demand(counts, second * NS_PER_S)
        for _ in placer.run(candidates, second * NS_PER_S):
            pass


def endpoints_by_slice(placer: Placer) -> dict[str, set[str]]:
    """Ids of the endpoints of each slice."""
    return {name: set(state.endpoints) for name, state in placer.slices.items()}


class PlacementTest(unittest.TestCase):
    def uniformly_loaded(self) -> tuple[Placer, list[Candidate], dict[str, int]]:
        """Placer with twelve slices that has run for 25 seconds, its endpoints, and the slices' demand."""
        placer = Placer(1)
        candidates = endpoints(in_south=0)
        names = [f"s{i} web" for i in range(12)]
        placer.configure([(name, "web", ()) for name in names], {})
        demand = dict.fromkeys(names, 5)
        run_for(placer, demand, 25, candidates)
        return placer, candidates, demand

    def test_hot_slices_gain_replicas_within_their_homes_and_idle_ones_do_not(self) -> None:
        placer = Placer(1)
        slices = [("hot web", "web", ()), ("home web", "web", ("r",)), ("idle web", "web", ())]
        placer.configure(slices, {})
        run_for(placer, {"hot web": 80, "home web": 20, "idle web": 1}, 30, endpoints())
        serving = endpoints_by_slice(placer)
        self.assertGreaterEqual(len(serving["hot web"]), 6)
        self.assertEqual(len(serving["idle web"]), 1)
        self.assertLessEqual(serving["home web"], {"e4", "e5", "e6", "e7"})

    def test_slices_of_a_lost_endpoint_move_at_once_and_few_others_do(self) -> None:
        placer, candidates, demand = self.uniformly_loaded()
        before = endpoints_by_slice(placer)
        lost = next(iter(before["s0 web"]))
        remaining = [candidate for candidate in candidates if candidate.id != lost]
        run_for(placer, demand, 1, remaining, start_s=25)
        after = endpoints_by_slice(placer)
        self.assertTrue(all(lost not in ids for ids in after.values()))
        moved = [name for name in demand if lost not in before[name] and before[name] != after[name]]
        self.assertLessEqual(len(moved), 4)

    def test_an_endpoint_in_slow_start_gains_at_most_one_slice_per_run(self) -> None:
        placer, candidates, demand = self.uniformly_loaded()
        warming_up = Candidate("new", "web", "r", 4, warming_up=True)
        served_before = 0
        for second in range(25, 60):
            run_for(placer, demand, 1, [*candidates, warming_up], start_s=second)
            served = sum("new" in ids for ids in endpoints_by_slice(placer).values())
            self.assertLessEqual(served, served_before + 1)
            served_before = served


if __name__ == "__main__":
    unittest.main()
