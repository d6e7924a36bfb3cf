"""Age of the quorum contact and detection of suspensions, tested as state machines in isolation."""

import unittest

from flintreach.consensus.quorum import Voters
from flintreach.controller.quorum_contact import (
    MAX_PENDING_REPORTS,
    NEVER,
    QuorumContact,
    SuspendDetector,
)
from tests.controller.simulated_peers import OWN_ADDRESS, PEER_ADDRESSES, THREE_VOTERS


def contact_asked_at(*times: float) -> QuorumContact:
    """Return a contact whose peers were queried at these times, in order, and reported no ballots."""
    contact = QuorumContact()
    for address, asked_at in zip([OWN_ADDRESS, *PEER_ADDRESSES], times):
        contact.record_report(address, asked_at, {}, asked_at)
    return contact


class ContactAge(unittest.TestCase):
    def test_without_reports_of_a_majority_there_is_no_contact(self) -> None:
        addresses = [(f"10.0.0.{number}", 7) for number in range(5)]
        voters = Voters(1, tuple((address, "") for address in addresses))
        contact = QuorumContact()
        for number, asked_at, age in ((0, 59.0, NEVER), (1, 50.0, NEVER), (3, 30.0, 30.0), (2, 40.0, 20.0)):
            contact.record_report(addresses[number], asked_at, {}, asked_at)
            self.assertEqual(contact.age(voters, 60.0), age)

    def test_contact_counts_from_the_latest_time_since_which_a_quorum_was_queried(self) -> None:
        cases = (((10, 9, 2), 1.0), ((10, 3, 2), 7.0), ((1, 9, 8), 2.0), ((10,), NEVER), ((), NEVER))
        for times, expected_age in cases:
            self.assertEqual(contact_asked_at(*times).age(THREE_VOTERS, 10.0), expected_age, times)

    def test_in_a_joint_configuration_both_sets_must_have_reported(self) -> None:
        old = tuple((address, "") for address in [OWN_ADDRESS, *PEER_ADDRESSES])
        new = tuple(((f"10.0.1.{number}", 7), "") for number in range(3))
        joint = Voters(2, old, new)
        contact = contact_asked_at(9, 9, 9)
        self.assertEqual(contact.age(joint, 10.0), NEVER)
        for address, _ in new[:2]:
            contact.record_report(address, 6.0, {}, 9.0)
        self.assertEqual((contact.age(joint, 10.0), contact.age(THREE_VOTERS, 10.0)), (4.0, 1.0))

    def test_a_report_counts_from_its_query_once_its_values_are_known(self) -> None:
        contact = contact_asked_at(1, 1, 1)
        for asked_at in (5.0, 6.0):
            for address in PEER_ADDRESSES:
                contact.record_report(address, asked_at, {"timetable": (4, "a")}, asked_at + 0.1)
        self.assertEqual((contact.age(THREE_VOTERS, 7.0), contact.has_unknown("timetable")), (6.0, True))
        contact.record_known("timetable", (3, "z"))
        self.assertEqual(contact.age(THREE_VOTERS, 7.0), 6.0)
        contact.record_known("timetable", (5, "b"))  # a later ballot covers the reported one
        self.assertEqual((contact.age(THREE_VOTERS, 7.0), contact.has_unknown("timetable")), (1.0, False))

    def test_a_key_that_changes_with_each_report_does_not_age_the_contact(self) -> None:
        """Each update arrives shortly after the report that shows its ballot, every time."""
        contact = contact_asked_at(1, 1, 1)
        for turn in range(40):
            asked_at = 2.0 + turn / 4
            ballot = (turn + 1, "a")
            for address in (OWN_ADDRESS, *PEER_ADDRESSES):
                contact.record_report(address, asked_at, {"evac": ballot}, asked_at + 0.1)
            self.assertLessEqual(contact.age(THREE_VOTERS, asked_at + 0.1), 0.36 if turn else 2.0)
            contact.record_known("evac", ballot)
        self.assertLessEqual(len(contact.pending[OWN_ADDRESS]), 1)

    def test_pending_reports_are_bounded(self) -> None:
        contact = contact_asked_at(1, 1, 1)
        for turn in range(100):
            contact.record_report(OWN_ADDRESS, 2.0 + turn, {"evac": (9, "a")}, 2.0 + turn)
        self.assertEqual(len(contact.pending[OWN_ADDRESS]), MAX_PENDING_REPORTS)


class Suspension(unittest.TestCase):
    def test_the_first_check_after_a_suspension_detects_it(self) -> None:
        detector = SuspendDetector(10.0)
        trace = [(10.1, True), (10.45, True), (11.0, False), (11.1, False), (11.26, True), (20.0, False)]
        self.assertEqual([detector.is_current(now) for now, _ in trace], [expected for _, expected in trace])
        self.assertEqual(detector.suspensions, 2)


if __name__ == "__main__":
    unittest.main()
