"""All orders of messages, losses and deaths at the smallest sizes: see `voters_model`."""

import unittest
from typing import Any

from flintreach.consensus.messages import EarlierEpoch, EpochMismatch
from flintreach.consensus.register import Register
from tests.consensus.voters_model import Model

LATE_WRITER = {"w": 3}  # a writer whose ballots are above those of the change of voters


class AnswersEarlierEpochs(Register):
    """Mutant: who knows a later epoch takes the earlier one all the same."""

    def check_epoch(self, epoch: int) -> EpochMismatch | None:
        return EarlierEpoch() if epoch > self.voters.epoch else None


class VotesWhenEmpty(Register):
    """Mutant: a disk that came back empty votes at once."""

    def update_voting(self) -> None:
        super().update_voting()
        if self.voters.epoch:
            self.acceptor.voting = self.peer_pool.address in self.voters.members()


class TestEveryOrder(unittest.TestCase):
    def walk(self, title: str, epoch: int, acknowledged: str, **setting: Any) -> None:
        """Walk all states from a setting: none is faulty, and one is the end that is expected."""
        states, fault, ends = Model(**setting).explore()
        print(f"{title}: {states} states")
        self.assertEqual(fault, "", title)
        self.assertIn((epoch, acknowledged), ends, "the walk never came to its end")

    def test_one_is_taken_in_left_out_or_exchanged(self) -> None:
        late = LATE_WRITER
        self.walk("1 to 2", 3, "w", start="a", target="ab", actors="wP")
        self.walk("1 to 2, a late ballot", 3, "w", start="a", target="ab", actors="wP", rounds=late)
        self.walk("2 to 3", 3, "w", start="ab", target="abc", actors="wP")
        self.walk("2 to 3, a late ballot", 3, "w", start="ab", target="abc", actors="wP", rounds=late)
        self.walk("2 to 3, two writers", 3, "mw", start="ab", target="abc", actors="wmP", retries=1)
        self.walk("3 to 2", 3, "", start="abc", target="ab", actors="wP", retries=1, rounds=late)
        self.walk("3 with one exchanged", 3, "w", start="abc", target="abd", actors="wP", retries=1)

    def test_two_change_the_voters_at_once_and_either_may_die(self) -> None:
        self.walk("2 to 3 by two", 3, "w", start="ab", target="abc", actors="wPQ", retries=1)
        self.walk("to 3 and to 1", 5, "", start="ab", target="abc", actors="PQ", retries=1, goals={"Q": "a"})

    def test_a_disk_is_lost_at_any_moment(self) -> None:
        self.walk("3, one wiped", 2, "w", start="abc", target="abc", actors="w0", retries=1, wipes=1)
        self.walk("2 to 3, one wiped", 3, "w", start="ab", target="abc", actors="wP", retries=1, wipes=1)
        self.walk("2 to 3, the new one wiped", 4, "", start="ab", target="abc", actors="P2", wipes=1)

    def test_the_walk_finds_mutants(self) -> None:
        exchange = {"start": "abc", "target": "abd", "actors": "wP", "retries": 1}
        wiped = {"start": "abc", "target": "abc", "actors": "w0", "retries": 1, "wipes": 1}
        unfenced = {"register": AnswersEarlierEpochs, "rounds": LATE_WRITER}
        for title, setting in (
            ("no key read before the new set is alone", exchange | {"rewrite": False}),
            ("no epochs", exchange | unfenced),
            ("relearned before its incarnation was recorded", wiped | {"renew": False}),
            ("votes while it is empty", wiped | {"register": VotesWhenEmpty}),
        ):
            states, fault, _ = Model(**setting).explore()
            print(f"mutant, {title}: found after {states} states: {fault}")
            self.assertIn("is read though", fault, title)


if __name__ == "__main__":
    unittest.main()
