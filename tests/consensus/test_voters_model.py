"""Model checking of voter changes: all orders of messages, disk losses and failures, see `voters_model`."""

import unittest
from typing import Any

from flintreach.consensus.messages import EarlierEpoch, EpochMismatch
from flintreach.consensus.register import Register
from tests.consensus.voters_model import Model

HIGH_BALLOT_WRITER = {"w": 3}  # a writer whose ballots are above those of the change of voters


class AnswersEarlierEpochs(Register):
    """Mutant: a process in a later epoch still processes requests of an earlier one."""

    def check_epoch(self, epoch: int) -> EpochMismatch | None:
        return EarlierEpoch() if epoch > self.voters.epoch else None


class VotesWhenEmpty(Register):
    """Mutant: a wiped disk votes without recovering its promises."""

    def update_voting(self) -> None:
        super().update_voting()
        if self.voters.epoch:
            self.acceptor.voting = self.peer_pool.address in self.voters.members()


class TestAllInterleavings(unittest.TestCase):
    def explore(self, title: str, epoch: int, acknowledged: str, **scenario: Any) -> None:
        """Explore all states of a scenario: none has a fault, and the expected outcome is reached."""
        states, fault, ends = Model(**scenario).explore()
        print(f"{title}: {states} states")
        self.assertEqual(fault, "", title)
        self.assertIn((epoch, acknowledged), ends, "the expected outcome was never reached")

    def test_a_voter_is_added_removed_or_replaced(self) -> None:
        high = HIGH_BALLOT_WRITER
        self.explore("1 to 2", 3, "w", start="a", target="ab", actors="wP")
        self.explore("1 to 2, a high ballot", 3, "w", start="a", target="ab", actors="wP", rounds=high)
        self.explore("2 to 3", 3, "w", start="ab", target="abc", actors="wP")
        self.explore("2 to 3, a high ballot", 3, "w", start="ab", target="abc", actors="wP", rounds=high)
        self.explore("2 to 3, two writers", 3, "mw", start="ab", target="abc", actors="wmP", attempts=1)
        self.explore("3 to 2", 3, "", start="abc", target="ab", actors="wP", attempts=1, rounds=high)
        self.explore("3, one replaced", 3, "w", start="abc", target="abd", actors="wP", attempts=1)

    def test_two_proposers_change_the_voters_concurrently_and_either_may_die(self) -> None:
        self.explore("2 to 3, two proposers", 3, "w", start="ab", target="abc", actors="wPQ", attempts=1)
        self.explore(
            "to 3 and to 1, two proposers",
            5,
            "",
            start="ab",
            target="abc",
            actors="PQ",
            attempts=1,
            goals={"Q": "a"},
        )

    def test_a_disk_is_lost_at_any_time(self) -> None:
        self.explore("3, one wiped", 2, "w", start="abc", target="abc", actors="w0", attempts=1, wipes=1)
        self.explore("2 to 3, one wiped", 3, "w", start="ab", target="abc", actors="wP", attempts=1, wipes=1)
        self.explore("2 to 3, the new one wiped", 4, "", start="ab", target="abc", actors="P2", wipes=1)

    def test_the_model_checker_finds_mutants(self) -> None:
        replacement = {"start": "abc", "target": "abd", "actors": "wP", "attempts": 1}
        wiped = {"start": "abc", "target": "abc", "actors": "w0", "attempts": 1, "wipes": 1}
        unfenced = {"register": AnswersEarlierEpochs, "rounds": HIGH_BALLOT_WRITER}
        for title, scenario in (
            ("keys not read before the new set is decided", replacement | {"rewrite_keys": False}),
            ("epochs not checked", replacement | unfenced),
            ("recovered before its incarnation was recorded", wiped | {"record_incarnation": False}),
            ("votes while wiped", wiped | {"register": VotesWhenEmpty}),
        ):
            states, fault, _ = Model(**scenario).explore()
            print(f"mutant, {title}: found after {states} states: {fault}")
            self.assertIn("is read though", fault, title)


if __name__ == "__main__":
    unittest.main()
