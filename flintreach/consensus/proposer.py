"""One proposal for a key, as a state machine without input or output.

`Proposal` is fed with the acceptors' answers and tells which phase is next; `Register.attempt` in
`register.py` sends its requests.

Source: D. Rystsov, "CASPaxos: Replicated State Machines without logs" (2018), section 2.2.
"""

from collections.abc import Callable, Hashable, Iterable
from enum import StrEnum

from flintreach.consensus.acceptor import NO_BALLOT, Ballot

ChangeFunction = Callable[[bytes | None], bytes | None]
Quorum = Callable[[Iterable[Hashable]], bool]


class ProposalState(StrEnum):
    """The phase that a proposal is in."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    DONE = "done"
    LOST = "lost"  # another writer was ahead


class Proposal:
    """One attempt to change a key, at one ballot.

    Attributes:
        state: the phase.
        value: in `ACCEPT` the value to be accepted, in `DONE` the value that stands.
        incarnations: acceptor -> incarnation of the disk that gave its promise.
        acceptances: acceptors that accepted the value.
        highest_round: the highest round seen in a refusal.
    """

    def __init__(self, quorum: Quorum, ballot: Ballot, step: ChangeFunction) -> None:
        """Start in the prepare phase.

        Args:
            quorum: whether some acceptors are a quorum.
            ballot: the proposal number.
            step: the new value for the one that stands, or None to leave that.
        """
        self.quorum = quorum
        self.ballot = ballot
        self.change_function = step
        self.state = ProposalState.PREPARE
        self.incarnations: dict[Hashable, str] = {}
        self.acceptances: set[Hashable] = set()
        self.highest_accepted = NO_BALLOT
        self.value: bytes | None = None
        self.highest_round = 0
        self.accepted_ballots: dict[Hashable, Ballot] = {}

    def record_promise(
        self, acceptor: Hashable, incarnation: str, accepted: Ballot, value: bytes | None
    ) -> None:
        """Take in a promise; with a quorum of them the next phase begins.

        Args:
            acceptor: who promised.
            incarnation: its disk.
            accepted: the ballot of what it had accepted before.
            value: the value that it had accepted before.
        """
        if self.state != ProposalState.PREPARE:
            return
        self.incarnations[acceptor] = incarnation
        self.accepted_ballots[acceptor] = accepted
        if accepted > self.highest_accepted:
            self.highest_accepted = accepted
            self.value = value
        if self.quorum(self.incarnations):
            self.begin_accept()

    def begin_accept(self) -> None:
        """Choose the value to propose, or end where nothing is to be written."""
        new_value = self.change_function(self.value)
        if new_value is not None:
            self.value = new_value
            self.state = ProposalState.ACCEPT
            return
        on_quorum = self.quorum(
            acceptor for acceptor, ballot in self.accepted_ballots.items() if ballot == self.highest_accepted
        )
        if self.highest_accepted == NO_BALLOT or on_quorum:
            self.state = ProposalState.DONE
        else:
            # What stands may be on a minority alone: it is proposed again before it is returned, or it could
            # be lost after a caller has read it.
            self.state = ProposalState.ACCEPT

    def record_acceptance(self, acceptor: Hashable) -> None:
        """Take in an acceptance; with a quorum of them the value stands."""
        self.acceptances.add(acceptor)
        if self.state == ProposalState.ACCEPT and self.quorum(self.acceptances):
            self.state = ProposalState.DONE

    def record_refusal(self, promised: Ballot) -> None:
        """Take in a refusal: one acceptor has promised a higher ballot, so this proposal is lost."""
        self.highest_round = max(self.highest_round, promised[0])
        if self.state in (ProposalState.PREPARE, ProposalState.ACCEPT):
            self.state = ProposalState.LOST
