"""Which endpoint holds which keys."""

import itertools
import random
import unittest

from flintreach.sharding import range_assignment
from flintreach.sharding.range_assignment import FREE, HELD, KEYS, LEAVING, Allocation, LoadDistribution


class Keys(unittest.TestCase):
    def whole(self, allocation):
        at = 0
        for r in allocation.ranges:
            self.assertEqual(r.low, at)
            at = r.high + 1
        self.assertEqual(at, KEYS)

    def test_all_keys_have_one_holder_and_leave_only_through_free(self):
        draw, allocation = random.Random(3), Allocation.of(None)
        addrs = {f"e{i}": f"10.0.0.{i}:80" for i in range(9)}
        for turn in range(200):
            able = dict.fromkeys(draw.sample(sorted(addrs), draw.randint(1, 9)), 1.0)
            before = [(r.low, r.high, r.holder, r.state) for r in allocation.ranges]
            range_assignment.evict(allocation, {r.holder for r in allocation.ranges if r.holder not in able})
            for r in allocation.ranges:
                if r.state == LEAVING and draw.random() < 0.5:
                    r.state, r.holder = FREE, ""
            heat = LoadDistribution({draw.randrange(1024): 300.0 for _ in range(3)})
            range_assignment.fill(allocation, able, addrs, heat)
            range_assignment.spread(allocation, able, heat, {*able})
            self.whole(allocation)
            for low, high, holder, state in before:
                if state == LEAVING:
                    for r in allocation.ranges:
                        if r.state == HELD and r.low >= low and r.high <= high:
                            self.assertGreater(r.fence, 0)
            fences = [(r.holder, r.fence) for r in allocation.ranges if r.state == HELD]
            for (holder, fence), (other, same) in itertools.combinations(fences, 2):
                self.assertFalse(fence == same and holder != other, "one fence, two holders")
        self.assertEqual(Allocation.of(allocation.rows()).rows(), allocation.rows())


if __name__ == "__main__":
    unittest.main()
