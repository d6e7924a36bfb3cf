"""Which disks vote."""

import unittest

from flintreach.consensus import voter_selection as wishes


class Circle(unittest.TestCase):
    def disks(self, zones, each):
        return [wishes.Disk((f"10.0.{z}.{i}", 7), f"z{z}", "r") for z in range(zones) for i in range(each)]

    def first(self, disks, losses, calm):
        found = wishes.first(disks, losses, calm)
        return found and found.members()

    def test_zones_take_turns_and_the_number_is_bounded(self):
        disks, losses = self.disks(3, 5), wishes.Losses(1, 1)
        found = self.first(disks, losses, 1.0)
        self.assertEqual(len(found), wishes.MOST)
        self.assertEqual({ip.split(".")[2] for ip, _ in found}, {"0", "1", "2"})
        self.assertEqual(self.first(disks[::-1], losses, 1.0), found)
        self.assertEqual(self.first(disks[:1], wishes.Losses(), 1.0), [("10.0.0.0", 7)])

    def test_a_first_start_waits_for_disks_that_come_but_not_for_ever(self):
        """(disks, losses, seconds without a new one, how many are to vote: 0 while more are waited for)"""
        one, two = wishes.Losses(1, 1), wishes.Losses(2, 1)
        for count, losses, calm, votes in (
            (0, one, 9.0, 0),
            (3, one, 0.5, 0),
            (3, one, 0.6, 3),
            (2, one, 2.5, 0),
            (2, one, 6.0, 2),
            (3, two, 2.5, 0),
            (4, two, 5.9, 0),
            (4, two, 6.0, 4),
            (5, two, 0.6, 5),
        ):
            found = self.first(self.disks(count, 1), losses, calm)
            self.assertEqual(len(found or ()), votes, (count, losses, calm))


if __name__ == "__main__":
    unittest.main()
