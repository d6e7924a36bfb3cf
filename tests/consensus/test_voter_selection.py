"""Selection of the disks that vote."""

import unittest

from flintreach.consensus.quorum import Address
from flintreach.consensus.voter_selection import (
    GROWTH_STABLE_S,
    MAX_VOTERS,
    FailureTolerance,
    VoterCandidate,
    choose_initial_voters,
    choose_next_voters,
    joint_configuration,
    plan_operator_change,
    tolerates,
)
from tests.consensus.cluster_model import address_of, disks_of, voters_of


def grid_of_disks(zones: int, each: int) -> list[VoterCandidate]:
    """`each` disks in each of `zones` zones."""
    return [
        VoterCandidate((f"10.0.{zone}.{number}", 7), f"z{zone}", "r")
        for zone in range(zones)
        for number in range(each)
    ]


def first_members(
    disks: list[VoterCandidate], tolerance: FailureTolerance, stable_s: float
) -> list[Address] | None:
    """Addresses of the initial voters, None while more disks are waited for."""
    voters = choose_initial_voters(disks, tolerance, stable_s)
    return None if voters is None else voters.members()


class TestFailureTolerance(unittest.TestCase):
    def test_which_voters_tolerate_which_failures(self) -> None:
        """(zones of the voters, machines and zones that may fail, whether that is tolerated)"""
        for places, tolerance, expected in (
            ("a", (0, 0), True),
            ("a", (1, 0), False),
            ("ab", (1, 0), False),
            ("abc", (1, 1), True),
            ("abcd", (1, 1), True),
            ("aabb", (0, 1), False),
            ("aabbc", (1, 1), True),
            ("abcc", (1, 1), False),
            ("abcd", (2, 1), False),
            ("abcde", (2, 1), True),
            ("aabbc", (2, 1), True),
            ("aaabb", (2, 1), False),
            ("abcdef", (2, 1), True),
            ("aaa", (0, 1), False),
        ):
            self.assertEqual(
                tolerates([(zone, "r") for zone in places], FailureTolerance(*tolerance)),
                expected,
                (places, tolerance),
            )
        regions = [("a", "r"), ("b", "r"), ("c", "s")]
        self.assertTrue(tolerates(regions, FailureTolerance(1, 1, 0)))
        self.assertFalse(tolerates(regions, FailureTolerance(1, 1, 1)))


class TestFirstStart(unittest.TestCase):
    def test_voters_are_spread_over_zones_and_their_number_is_bounded(self) -> None:
        disks = grid_of_disks(3, 5)
        tolerance = FailureTolerance(1, 1)
        members = first_members(disks, tolerance, 1.0)
        self.assertEqual(len(members), MAX_VOTERS)
        self.assertEqual({ip.split(".")[2] for ip, _ in members}, {"0", "1", "2"})
        self.assertEqual(first_members(disks[::-1], tolerance, 1.0), members)
        self.assertEqual(first_members(disks[:1], FailureTolerance(), 1.0), [("10.0.0.0", 7)])

    def test_a_first_start_waits_for_more_disks_but_not_forever(self) -> None:
        """(disks, failures, seconds without a new disk, number of voters: 0 while waiting for more disks)"""
        one_machine = FailureTolerance(1, 1)
        two_machines = FailureTolerance(2, 1)
        for count, tolerance, stable_s, voter_count in (
            (0, one_machine, 9.0, 0),
            (3, one_machine, 0.5, 0),
            (3, one_machine, 0.6, 3),
            (2, one_machine, 2.5, 0),
            (2, one_machine, 6.0, 2),
            (3, two_machines, 2.5, 0),
            (4, two_machines, 5.9, 0),
            (4, two_machines, 6.0, 4),
            (5, two_machines, 0.6, 5),
        ):
            members = first_members(grid_of_disks(count, 1), tolerance, stable_s)
            self.assertEqual(len(members or ()), voter_count, (count, tolerance, stable_s))

    def test_too_few_voters_to_tolerate_the_failures_are_not_chosen_while_more_disks_may_appear(self) -> None:
        """Guards against permanently choosing the two of five disks known 0.6 s after a first start."""
        five = disks_of("a:v b:w c:x d:y e:z")
        tolerance = FailureTolerance(2, 1)
        for known in range(1, 5):
            self.assertIsNone(choose_initial_voters(five[:known], tolerance, 2.5), known)
        self.assertEqual(first_members(five, tolerance, 0.6), [address_of(name) for name in "abcde"])
        self.assertEqual(first_members(five[:3], tolerance, 6.0), [address_of(name) for name in "abc"])
        self.assertEqual(choose_initial_voters(five[:1], FailureTolerance(), 0.6), voters_of(1, "a"))
        # With two voters in one zone, the loss of that zone would be fatal, so the second is not chosen.
        four = disks_of("a:x b:y c:z d:z")
        self.assertEqual(choose_initial_voters(four, FailureTolerance(1, 1), 0.6), voters_of(1, "abc"))


class TestNextVoters(unittest.TestCase):
    def test_which_voters_follow(self) -> None:
        """(voters, disks, machines and zones that may fail, seconds without a change, next voters or "")"""
        stable_s = GROWTH_STABLE_S
        for old, known, tolerance, unchanged_s, expected in (
            ("abc", "a:x b:y c:z", (1, 1), 99, ""),
            ("abc", "a:x b:y c:z-", (1, 1), 99, ""),  # dead, and no spare
            ("abc", "a:x b:y c:z- d:z+", (1, 1), 0, "abd"),  # a replacement does not wait
            ("abc", "a:x b:y c:z- d:z", (1, 1), 99, ""),  # not caught up
            ("abc", "a:x b:y c:z- d:z+-", (1, 1), 99, ""),
            ("abc", "a:x b:y c:z d:z+", (1, 1), 99, ""),  # two of four in one zone
            ("abc", "a:x b:y c:z~ d:z+", (1, 1), 0, "abd"),
            ("abc", "a:x b:y c:z- d:y+ e:z+", (1, 1), 0, "abe"),  # prefers the same zone
            ("abc", "a:x b:y c:z- d:y+", (1, 1), 0, "abd"),  # tolerates a machine again, but no zone
            ("abd", "a:x b:y d:y c:z+", (1, 1), stable_s, "acd"),  # tolerates zones again
            ("abc", "a:x b:y c:z d:w+", (1, 1), 0, ""),
            ("abc", "a:x b:y c:z d:w+", (1, 1), stable_s, "abcd"),
            ("abcd", "a:x b:y c:z d:w-", (1, 1), 0, "abc"),  # with an even number, costs no tolerance
            ("abcde", "a:v b:w c:x d:y e:z-", (1, 1), 99, ""),  # with an odd number, gains nothing
            ("abcde", "a:v b:w c:x d:y- e:z-", (1, 1), 99, ""),  # may be a partition
            ("abcde", "a:v b:w c:x d:y~ e:z~", (1, 1), 0, "abce"),
            ("abcdef", "a:u b:v c:w d:x e:y f:z~", (2, 1), 0, "abcde"),
            ("abcde", "a:v b:w c:x d:y e:z~", (2, 1), 0, ""),  # may only be restarting
            ("ab", "a:x b:y c:z+", (1, 1), stable_s, "abc"),
            ("a", "a:x b:x+", (1, 1), stable_s, "ab"),
            ("abcdefghi", "a:a b:b c:c d:d e:e f:f g:g h:h i:i j:j+", (2, 1), 99, ""),
        ):
            successor = choose_next_voters(
                voters_of(4, old), disks_of(known), FailureTolerance(*tolerance), unchanged_s
            )
            members = () if successor is None else successor.new
            names = "".join(chr(96 + int(address[0].split(".")[3])) for address, _ in members)
            self.assertEqual(names, expected, (old, known))
            if successor:
                self.assertEqual((successor.epoch, successor.old), (5, voters_of(4, old).old))
                self.assertLessEqual(len({*successor.old} ^ {*successor.new}), 2)
        self.assertEqual(MAX_VOTERS, 9)

    def test_no_change_starts_while_another_is_in_progress_or_the_voters_are_unknown(self) -> None:
        self.assertIsNone(
            choose_next_voters(
                voters_of(4, "ab", "ac"), disks_of("a:x b:y- c:z d:y+"), FailureTolerance(1, 1), 99
            )
        )
        self.assertIsNone(
            choose_next_voters(voters_of(0, "ab"), disks_of("a:x b:y- c:z+"), FailureTolerance(1, 1), 99)
        )

    def test_unknown_voters_count_as_one_location(self) -> None:
        voters = voters_of(4, "abc")
        successor = choose_next_voters(voters, disks_of("a:x b:y c:?- d:z+"), FailureTolerance(1, 1), 0)
        self.assertEqual(successor, joint_configuration(voters, address_of("c"), disks_of("d:z")[0]))


class TestOperatorChange(unittest.TestCase):
    def test_which_changes_an_operator_may_make(self) -> None:
        known = disks_of("a:x b:y c:z d:z+ e:z")
        for out, into, reason in (
            ("c", "d", ""),
            ("c", "e", "not a spare disk"),
            (None, "d", "would not tolerate the failures"),
            ("c", None, "would not tolerate the failures"),
            ("d", None, "does not vote"),
            (None, None, "neither a voter"),
        ):
            out_address = out and address_of(out)
            into_address = into and address_of(into)
            voters, answer = plan_operator_change(
                voters_of(4, "abc"), known, FailureTolerance(1, 1), out_address, into_address
            )
            self.assertEqual((voters is not None, reason in answer), (not reason, True), (out, into, answer))
        _, answer = plan_operator_change(
            voters_of(4, "ab", "ac"), known, FailureTolerance(), address_of("a"), None
        )
        self.assertIn("are changing", answer)


if __name__ == "__main__":
    unittest.main()
