"""Assignment of key ranges to endpoints."""

import itertools
import random
import unittest

import msgspec

from flintreach.sharding import range_assignment
from flintreach.sharding.range_assignment import (
    KEYS,
    UNIFORM_LOAD,
    Allocation,
    AllocationRow,
    LoadDistribution,
    RangeState,
)


def free_revoked_ranges(allocation: Allocation) -> None:
    """Free the revoked ranges, as if all holders had released them."""
    for key_range in allocation.ranges:
        if key_range.state == RangeState.REVOKING:
            key_range.state = RangeState.FREE
            key_range.holder = ""


def assign_all_keys(weights: dict[str, float], addresses: dict[str, str]) -> Allocation:
    """Allocation of all keys under a uniform load."""
    allocation = Allocation.from_row(None)
    range_assignment.assign_free_ranges(allocation, weights, addresses, UNIFORM_LOAD)
    return allocation


class AssignmentTest(unittest.TestCase):
    def assert_covers_all_keys(self, allocation: Allocation) -> None:
        """Check that the ranges are in order, without gaps or overlaps."""
        next_key = 0
        for key_range in allocation.ranges:
            self.assertEqual(key_range.low, next_key)
            next_key = key_range.high + 1
        self.assertEqual(next_key, KEYS)

    def assert_one_holder_per_fence(self, allocation: Allocation) -> None:
        """Check that no fencing token was issued to two endpoints."""
        held = [
            (key_range.holder, key_range.fence)
            for key_range in allocation.ranges
            if key_range.state == RangeState.HELD
        ]
        for (holder, fence), (other_holder, other_fence) in itertools.combinations(held, 2):
            self.assertFalse(
                fence == other_fence and holder != other_holder, "two holders share a fencing token"
            )

    def test_ranges_cover_all_keys_and_no_fencing_token_has_two_holders(self) -> None:
        draw = random.Random(3)
        allocation = Allocation.from_row(None)
        addresses = {f"e{i}": f"10.0.0.{i}:80" for i in range(9)}
        for _ in range(200):
            weights = dict.fromkeys(draw.sample(sorted(addresses), draw.randint(1, 9)), 1.0)
            before = [(r.low, r.high, r.holder, r.state) for r in allocation.ranges]
            lost_holders = {r.holder for r in allocation.ranges if r.holder not in weights}
            range_assignment.revoke_held_ranges(allocation, lost_holders)
            for key_range in allocation.ranges:
                if key_range.state == RangeState.REVOKING and draw.random() < 0.5:
                    key_range.state = RangeState.FREE
                    key_range.holder = ""
            load = LoadDistribution({draw.randrange(1024): 300.0 for _ in range(3)})
            range_assignment.assign_free_ranges(allocation, weights, addresses, load)
            range_assignment.rebalance(allocation, weights, load, {*weights})
            self.assert_covers_all_keys(allocation)
            for low, high, _, state in before:
                if state == RangeState.REVOKING:
                    for key_range in allocation.ranges:
                        inside = key_range.low >= low and key_range.high <= high
                        if key_range.state == RangeState.HELD and inside:
                            self.assertGreater(key_range.fence, 0)
            self.assert_one_holder_per_fence(allocation)
        self.assertEqual(Allocation.decode(allocation.encode()).encode(), allocation.encode())

    def test_a_hot_range_is_split_until_no_endpoint_is_overloaded(self) -> None:
        weights = {f"e{i}": 1.0 for i in range(8)}
        addresses = {id: f"{id}:80" for id in weights}
        allocation = assign_all_keys(weights, addresses)
        load = LoadDistribution(dict.fromkeys(range(10, 14), 400) | dict.fromkeys(range(1024), 1))
        load_shares = range_assignment.load_by_endpoint(allocation, weights, load)
        hottest = max(load_shares.items(), key=lambda row: row[1])[0]
        self.assertFalse(range_assignment.rebalance(allocation, weights, load, set()), "no endpoint is busy")
        moves = 0
        while range_assignment.rebalance(allocation, weights, load, {hottest}) and moves < 40:
            free_revoked_ranges(allocation)
            range_assignment.assign_free_ranges(allocation, weights, addresses, load)
            moves += 1
        load_shares = range_assignment.load_by_endpoint(allocation, weights, load)
        self.assertLess(max(load_shares.values()), range_assignment.OVERLOADED_FACTOR / 8 + 0.01)
        self.assertLess(moves, 12)

    def test_endpoints_without_weight_receive_no_keys_and_disturb_nobody(self) -> None:
        """Guards against a move to an endpoint with weight 0, which raised or revoked a whole range."""
        holders = ["h0", "h1", "h2"]
        allocation = assign_all_keys(dict.fromkeys(holders, 1.0), {id: f"{id}:80" for id in holders})
        before = allocation.encode()
        for weights in ({"a": 0.0, **dict.fromkeys(holders, 1.0)}, {**dict.fromkeys(holders, 1.0), "z": 0.0}):
            self.assertFalse(range_assignment.rebalance(allocation, weights, UNIFORM_LOAD, {*holders}))
        self.assertFalse(
            range_assignment.rebalance(allocation, {"a": 0.0, "h0": 0.0}, UNIFORM_LOAD, {"a", "h0"})
        )
        self.assertEqual(allocation.encode(), before)

    def test_keys_move_to_a_region_in_bounded_steps_and_stay(self) -> None:
        endpoints = {f"{region}{i}": 1.0 for region in "ns" for i in range(4)}
        addresses = {id: f"{id}:80" for id in endpoints}
        allocation = assign_all_keys(endpoints, addresses)
        weights = {id: float(id[0] == "n") for id in endpoints}
        moves = 0
        while range_assignment.rebalance(allocation, weights, UNIFORM_LOAD, set()):
            free_revoked_ranges(allocation)
            range_assignment.assign_free_ranges(allocation, weights, addresses, UNIFORM_LOAD)
            moves += 1
            self.assertLess(moves, 20)
        keys = range_assignment.load_by_endpoint(allocation, endpoints, UNIFORM_LOAD)
        self.assertAlmostEqual(sum(keys[id] for id in endpoints if id[0] == "n"), 1.0)
        self.assertLess(max(keys.values()), 0.36)


class StoredRowsTest(unittest.TestCase):
    def test_rows_of_earlier_releases_without_a_lease_are_read(self) -> None:
        row = msgspec.convert(["k0", 3, 9, 4, [[0, KEYS - 1, "e", 4, "held", "", "e:80"]]], AllocationRow)
        allocation = Allocation.from_row(row)
        self.assertEqual((allocation.lease_s, allocation.ranges[0].holder), (0.0, "e"))


class LoadDistributionTest(unittest.TestCase):
    def test_shares_sum_to_one_and_keys_for_share_inverts_share(self) -> None:
        load = LoadDistribution({3: 500, 700: 100})
        self.assertAlmostEqual(load.share(0, KEYS - 1), 1.0)
        self.assertAlmostEqual(load.share(0, 999) + load.share(1000, KEYS - 1), 1.0)
        self.assertGreater(load.share(192, 255), 0.5)
        for low, share in ((0, 0.01), (0, 0.3), (192, 0.2), (40000, 0.05)):
            size = load.keys_for_share(low, share)
            self.assertLessEqual(load.share(low, low + size - 1), share + 1e-9)
            self.assertGreater(load.share(low, low + size), share - 1e-9)
        self.assertAlmostEqual(LoadDistribution().share(0, KEYS // 2 - 1), 0.5)


if __name__ == "__main__":
    unittest.main()
