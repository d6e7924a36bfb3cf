"""What the reports of controllers show of a first start that may have been interrupted."""

import unittest

from flintreach.consensus.interrupted_start import Evidence, StartReport, examine_reports
from flintreach.consensus.quorum import Address
from flintreach.consensus.voter_selection import FailureTolerance

A, B, C, D = ((f"10.0.0.{number}", 7) for number in range(1, 5))
SEEDS = (A, B, C)
LOCATIONS = {A: ("a", "north"), B: ("b", "south"), C: ("c", "north"), D: ("a", "north")}
ONE_MACHINE_OR_ZONE = FailureTolerance(machines=1, zones=1)


def report(created_later: bool, epoch: int = 0, seeds: tuple[Address, ...] = SEEDS) -> StartReport:
    return StartReport(epoch, seeds, created_later)


class Evidences(unittest.TestCase):
    def examine(self, reports: dict[Address, StartReport], known: tuple[Address, ...] = SEEDS) -> Evidence:
        return examine_reports(reports, SEEDS, known, LOCATIONS, ONE_MACHINE_OR_ZONE)

    def test_more_empty_disks_than_may_be_lost_show_that_there_was_no_decision(self):
        reports = {A: report(True), B: report(True), C: report(False)}
        self.assertEqual(self.examine(reports), Evidence.NO_DECISION)

    def test_as_many_empty_disks_as_may_be_lost_show_only_that_none_was_heard_of(self):
        reports = {A: report(True), B: report(False), C: report(False)}
        self.assertEqual(self.examine(reports), Evidence.NO_DECISION_HEARD_OF)

    def test_empty_disks_of_one_zone_may_have_been_lost_with_it(self):
        reports = {A: report(True), B: report(False), C: report(False), D: report(True)}
        self.assertEqual(self.examine(reports), Evidence.NO_DECISION_HEARD_OF)

    def test_a_known_controller_without_a_report_may_know_of_a_decision(self):
        reports = {A: report(True), B: report(False), C: report(False)}
        self.assertEqual(self.examine(reports, (*SEEDS, D)), Evidence.NONE)

    def test_a_seed_without_a_report_may_know_of_a_decision(self):
        self.assertEqual(self.examine({A: report(True), B: report(True)}), Evidence.NONE)

    def test_one_report_of_a_decision_suffices(self):
        reports = {A: report(True), B: report(True), C: report(True), D: report(False, epoch=1)}
        self.assertEqual(self.examine(reports), Evidence.NONE)

    def test_controllers_with_different_seeds_must_not_decide(self):
        reports = {A: report(True), B: report(True), C: report(True, seeds=(A, B, D))}
        self.assertEqual(self.examine(reports), Evidence.NONE)

    def test_disks_that_may_not_become_voters_are_no_evidence(self):
        reports = {seed: report(True) for seed in SEEDS}
        locations = {A: LOCATIONS[A]}
        found = examine_reports(reports, SEEDS, (A,), locations, ONE_MACHINE_OR_ZONE)
        self.assertEqual(found, Evidence.NO_DECISION_HEARD_OF)


if __name__ == "__main__":
    unittest.main()
