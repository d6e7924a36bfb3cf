"""Proposals to several acceptors: all interleavings of two writers, and lost disks."""

import itertools
import unittest
from collections.abc import Callable, Hashable, Iterable

from flintreach.consensus.acceptor import Acceptor, Ballot, Verdict, merge_slots
from flintreach.consensus.proposer import Proposal, ProposalState
from flintreach.consensus.quorum import Voters

KEY = "k"


def majority(size: int) -> Callable[[Iterable[Hashable]], bool]:
    """A majority quorum over `size` acceptors."""
    return lambda names: len({*names}) > size // 2


def append_x(value: bytes | None) -> bytes:
    """A change function that shows how often it was applied."""
    return (value or b"") + b"x"


def leave_unchanged(value: bytes | None) -> None:
    """A change function that only reads."""


def proposal(round: int, writer: str, step: Callable[[bytes | None], bytes | None] = append_x) -> Proposal:
    """A proposal to three acceptors."""
    return Proposal(majority(3), Ballot(round, writer), step)


class Acceptors:
    """Acceptors by name, which receive only the requests that a test delivers."""

    def __init__(self, size: int) -> None:
        self.by_name = {f"d{i}": Acceptor(f"life{i}", True) for i in range(size)}

    def prepare(self, proposal: Proposal, name: str) -> None:
        """Deliver a prepare request to one acceptor, and its answer to the proposal."""
        acceptor = self.by_name[name]
        verdict, slot = acceptor.prepare(KEY, proposal.ballot)
        if verdict == Verdict.PROMISE:
            acceptor.slots[KEY] = slot
            proposal.record_promise(name, acceptor.incarnation, slot.accepted, slot.value)
        elif verdict == Verdict.REFUSED:
            proposal.record_refusal(slot.promised)

    def accept(self, proposal: Proposal, name: str) -> None:
        """Deliver an accept request to one acceptor, and its answer to the proposal."""
        acceptor = self.by_name[name]
        incarnation = proposal.incarnations.get(name, "")
        verdict, slot = acceptor.accept(KEY, proposal.ballot, proposal.value, incarnation)
        if verdict == Verdict.ACCEPTED:
            acceptor.slots[KEY] = slot
            proposal.record_acceptance(name)
        elif verdict == Verdict.REFUSED:
            proposal.record_refusal(slot.promised)

    def wipe(self, name: str, others: list[str]) -> bool:
        """Wipe a disk and recover its promises from the others; whether those were enough."""
        fresh = Acceptor(f"again-{name}", False)
        self.by_name[name] = fresh
        slots = {(other, 0): self.by_name[other].slots for other in others if self.by_name[other].voting}
        voters = Voters(1, tuple(((other, 0), "") for other in self.by_name))
        enough = voters.is_recovery_quorum((name, 0), slots)
        if enough:
            fresh.slots = merge_slots([*slots.values()])
            fresh.voting = True
        return enough


class TestProposal(unittest.TestCase):
    def test_no_interleaving_of_two_writers_loses_a_change(self) -> None:
        """In all interleavings of two writers over three disks, a later change includes completed ones."""
        interleavings = set(itertools.permutations("aaaabbbb"))
        count = 0
        for order in interleavings:
            for reached_by_b in (("d0", "d1"), ("d1", "d2"), ("d0", "d2")):
                self.check_order(order, {"a": ("d0", "d1"), "b": reached_by_b})
                count += 1
        self.assertEqual(count, len(interleavings) * 3)

    def check_order(self, order: tuple[str, ...], reached: dict[str, tuple[str, str]]) -> None:
        """Deliver two writers' requests in an order; `reached`: the two disks that each writer reaches."""
        acceptors = Acceptors(3)
        proposals = {"a": proposal(1, "a"), "b": proposal(2, "b")}
        requests_sent = {"a": 0, "b": 0}
        for writer in order:
            change = proposals[writer]
            number = requests_sent[writer]
            requests_sent[writer] += 1
            if number < 2:
                acceptors.prepare(change, reached[writer][number])
            elif change.state in (ProposalState.ACCEPT, ProposalState.DONE):
                acceptors.accept(change, reached[writer][number - 2])
        done = [change for change in proposals.values() if change.state == ProposalState.DONE]
        longest = max((len(change.value) for change in done), default=0)
        self.assertGreaterEqual(longest, len(done), order)  # an incomplete change may count too
        reader = proposal(9, "r", leave_unchanged)
        for name in acceptors.by_name:
            acceptors.prepare(reader, name)
        self.assertGreaterEqual(len(reader.value or b""), longest)

    def test_a_promise_of_a_lost_disk_does_not_count(self) -> None:
        """Guards against a lost update: d0 promises, is wiped, recovers, and then gets the accept request."""
        acceptors = Acceptors(3)
        first = proposal(5, "a")
        acceptors.prepare(first, "d0")
        self.assertTrue(acceptors.wipe("d0", ["d1", "d2"]))
        acceptors.prepare(first, "d1")
        second = proposal(4, "b")
        acceptors.prepare(second, "d0")
        acceptors.prepare(second, "d2")
        acceptors.accept(second, "d0")
        acceptors.accept(second, "d2")
        self.assertEqual(second.state, ProposalState.DONE)
        acceptors.accept(first, "d0")  # carries the incarnation of the lost disk
        acceptors.accept(first, "d1")
        self.assertNotEqual(first.state, ProposalState.DONE)

    def test_a_wiped_disk_abstains_until_it_has_recovered(self) -> None:
        acceptors = Acceptors(3)
        change = proposal(1, "a")
        for name in ("d0", "d1"):
            acceptors.prepare(change, name)
        for name in ("d0", "d1"):
            acceptors.accept(change, name)
        self.assertFalse(acceptors.wipe("d1", ["d2"]), "a single voter may have missed an acknowledged write")
        self.assertEqual(acceptors.by_name["d1"].prepare(KEY, Ballot(9, "z")), ("mute", None))
        self.assertTrue(acceptors.wipe("d1", ["d0", "d2"]))
        self.assertEqual(acceptors.by_name["d1"].slots[KEY].value, b"x")

    def test_a_read_writes_back_a_value_that_only_a_minority_holds(self) -> None:
        acceptors = Acceptors(3)
        change = proposal(1, "a")
        acceptors.prepare(change, "d0")
        acceptors.prepare(change, "d1")
        acceptors.accept(change, "d0")  # the writer dies before it reaches d1
        reader = proposal(2, "r", leave_unchanged)
        acceptors.prepare(reader, "d0")
        acceptors.prepare(reader, "d2")
        self.assertEqual(reader.state, ProposalState.ACCEPT)


if __name__ == "__main__":
    unittest.main()
