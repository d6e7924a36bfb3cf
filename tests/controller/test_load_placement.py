"""Selection of the placement leader."""

import unittest

from flintreach.controller.load_placement import placement_leader
from flintreach.membership.member_list import Member


class PlacementLeader(unittest.TestCase):
    def test_a_controller_that_is_still_starting_is_not_the_leader(self) -> None:
        ready_by_name = {"a": False, "b": True, "c": True}
        members = [
            Member(name, "refuge", "10.0.0.1", 7, "z", "r", ready=ready)
            for name, ready in ready_by_name.items()
        ]
        self.assertEqual(placement_leader(members).name, "b")
        self.assertIsNone(placement_leader(members[:1]))


if __name__ == "__main__":
    unittest.main()
