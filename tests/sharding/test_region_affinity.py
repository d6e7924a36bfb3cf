"""Region affinity of a service's keys."""

import unittest
from types import SimpleNamespace

from flintreach.sharding.region_affinity import RegionBias, home_regions, links_can_carry, target_region


def route(service: str, homes: tuple[str, ...] = ()) -> SimpleNamespace:
    """Route with one service."""
    return SimpleNamespace(home_regions=homes, services=[(service, 1.0)])


class HomeRegionsTest(unittest.TestCase):
    def test_routes_bound_to_keys_or_home_regions_allow_one_region(self) -> None:
        keyed = route("k")
        unbound = route("d")
        with_home = route("d", ("n",))
        for routes, expected in (
            ([keyed], set()),
            ([keyed, with_home], {"n"}),
            ([with_home], {"n"}),
            ([keyed, unbound], None),
            ([], None),
            ([with_home, route("d", ("s",))], None),
        ):
            self.assertEqual(home_regions(routes, {"k"}), expected)


class TargetRegionTest(unittest.TestCase):
    def test_keys_stay_in_their_region_unless_homes_exclude_it(self) -> None:
        capacities = {"n": 8.0, "s": 8.0}
        self.assertEqual(target_region(set(), {"n": 0.4, "s": 0.6}, capacities), "s")
        self.assertEqual(target_region({"n"}, {"n": 0.4, "s": 0.6}, capacities), "n")
        self.assertIsNone(target_region(None, {}, capacities))
        self.assertIsNone(target_region({"x"}, {}, capacities))


class LinkBandwidthTest(unittest.TestCase):
    def test_responses_must_fit_the_links_of_one_region(self) -> None:
        self.assertTrue(links_can_carry(1.3e6, [1000.0] * 6))
        self.assertFalse(links_can_carry(6.2e6, [2.6] * 33))
        self.assertFalse(links_can_carry(None, [1000.0]), "the response rate is not known yet")
        self.assertFalse(links_can_carry(1.0, []))
        self.assertTrue(links_can_carry(1e9, [0.0, 0.0]), "no bandwidth is configured")


class RegionBiasTest(unittest.TestCase):
    def test_the_share_of_a_region_is_bounded_by_its_capacity(self) -> None:
        capacities = {"n": 8.0, "s": 8.0}
        bias = RegionBias()
        self.assertEqual(bias.weight_factors("n", capacities, None), {"n": 1.0, "s": 1.0})
        for in_use, max_share, min_share in (
            (1.8, 1.0, 1.0),
            (4.8, 0.8, 0.7),
            (16.0, 0.56, 0.44),
            (1.0, 1.0, 1.0),
        ):
            for _ in range(60):
                factors = bias.weight_factors("n", capacities, in_use)
            share = 8 * factors["n"] / (8 * factors["n"] + 8 * factors["s"])
            self.assertTrue(min_share <= share <= max_share, (in_use, share))
        self.assertEqual(bias.weight_factors(None, capacities, 1.0), {"n": 1.0, "s": 1.0})
        self.assertEqual(bias.weight_factors("n", {"s": 8.0}, 1.0), {"s": 1.0})


if __name__ == "__main__":
    unittest.main()
