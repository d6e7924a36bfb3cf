"""CASPaxos proposer for one ballot, as a pure state machine.

`Proposal` consumes the acceptors' answers and determines the next phase; `Register.attempt` in `register.py`
sends the requests.

Source: D. Rystsov, "CASPaxos: Replicated State Machines without logs" (2018), section 2.2.
"""

from collections.abc import Callable, Hashable, Iterable
from enum import StrEnum

from flintreach.consensus.acceptor import NO_BALLOT, Ballot

ChangeFunction = Callable[[bytes | None], bytes | None]
Quorum = Callable[[Iterable[Hashable]], bool]


class ProposalState(StrEnum):
    """Phase or outcome of a proposal."""

    PREPARE = "prepare"
    ACCEPT = "accept"
    DONE = "done"
    PREEMPTED = "preempted"  # an acceptor has promised a higher ballot


class Proposal:
    """One attempt to change a key at one ballot.

    Attributes:
        state: the current phase.
        value: the proposed value in `ACCEPT`, the chosen value in `DONE`.
        incarnations: acceptor -> incarnation of the disk that promised.
        acceptances: acceptors that have accepted the value.
        highest_round: the highest round seen in a refusal.
    """

    def __init__(self, quorum: Quorum, ballot: Ballot, change_function: ChangeFunction) -> None:
        """Start in the prepare phase.

        Args:
            quorum: whether the given acceptors form a quorum.
            ballot: the ballot to propose at.
            change_function: maps the current value to the new one, or to None to leave it unchanged.
        """
        self.quorum = quorum
        self.ballot = ballot
        self.change_function = change_function
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
        """Record a promise; a quorum of promises ends the prepare phase.

        Args:
            acceptor: the acceptor that promised.
            incarnation: the incarnation of its disk.
            accepted: the ballot of the value that it last accepted.
            value: the value that it last accepted.
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
        """Apply the change function, and finish if there is nothing to write."""
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
            # Only a minority may hold the value: write it back before returning it. Otherwise it could still
            # be lost after a caller has read it.
            self.state = ProposalState.ACCEPT

    def record_acceptance(self, acceptor: Hashable) -> None:
        """Record an acceptance; a quorum of acceptances chooses the value."""
        self.acceptances.add(acceptor)
        if self.state == ProposalState.ACCEPT and self.quorum(self.acceptances):
            self.state = ProposalState.DONE

    def record_refusal(self, promised: Ballot) -> None:
        """Record a refusal: an acceptor has promised a higher ballot, which preempts this proposal."""
        self.highest_round = max(self.highest_round, promised[0])
        if self.state in (ProposalState.PREPARE, ProposalState.ACCEPT):
            self.state = ProposalState.PREEMPTED
