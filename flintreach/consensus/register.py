"""The register: reads and changes of keys, proposed to the acceptors of other processes and of this one.

Without a disk of its own, or outside the group of voters, a process only proposes. `VotingProcess` has the
epochs, `AcceptorService` the answers of this process's disk.

Source: D. Rystsov, "CASPaxos: Replicated State Machines without logs" (2018).
"""

from collections.abc import Iterator
from typing import NamedTuple

from flintreach.consensus.acceptor import Ballot, Verdict
from flintreach.consensus.acceptor_service import AcceptorService
from flintreach.consensus.messages import (
    AcceptorAnswer,
    AcceptRequest,
    MessageKind,
    PrepareRequest,
    acceptor_answer,
)
from flintreach.consensus.proposer import ChangeFunction, Proposal, ProposalState
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.store import Store
from flintreach.consensus.voting_process import Answers
from flintreach.transport.peer_pool import PeerPool

CHANGE_TIMEOUT_S = 2.0
ATTEMPT_TIMEOUT_S = 1.0
MIN_ACCEPT_TIMEOUT_S = 0.05
RETRY_S = 0.05  # pause after an attempt without a quorum
MIN_BACKOFF_S = 0.005  # shortest pause after an attempt that another writer has beaten
MIN_BACKOFF_RANGE_S = 0.05  # the longest such pause is at least this
BACKOFF_PER_ROUND = 1.5  # and so many times what the attempt took


class ChangeResult(NamedTuple):
    """The outcome of a change.

    Attributes:
        done: whether it is known what stands. If not, the change may or may not stand.
        value: what stands, where that is known.
    """

    done: bool
    value: bytes | None


class AnswerFeed:
    """Feeds a proposal with the answers of one phase, each of a growing list once."""

    def __init__(self, proposal: Proposal) -> None:
        self.proposal = proposal
        self.consumed = 0

    def unread(self, answers: Answers) -> Iterator[tuple[Address, AcceptorAnswer]]:
        """Well-formed answers that came since the last call."""
        while len(answers) > self.consumed:
            address, row = answers[self.consumed]
            self.consumed += 1
            answer = acceptor_answer(row)
            if answer is not None:
                yield address, answer

    def prepared(self, answers: Answers) -> bool:
        """Whether the prepare phase is over."""
        for address, answer in self.unread(answers):
            if answer.verdict == Verdict.PROMISE:
                slot = answer.slot
                self.proposal.record_promise(address, answer.incarnation, slot.accepted, slot.value)
            elif answer.verdict == Verdict.REFUSED:
                self.proposal.record_refusal(answer.slot.promised)
        return self.proposal.state != ProposalState.PREPARE

    def accepted(self, answers: Answers) -> bool:
        """Whether the accept phase is over."""
        for address, answer in self.unread(answers):
            if answer.verdict == Verdict.ACCEPTED:
                self.proposal.record_acceptance(address)
            elif answer.verdict == Verdict.REFUSED:
                self.proposal.record_refusal(answer.slot.promised)
        return self.proposal.state != ProposalState.ACCEPT


class Register(AcceptorService):
    """Reads and changes of keys by this process.

    Attributes:
        writer: this process's name in its ballots.
        rounds: key -> the highest round of a ballot that this process knows of.
        incarnations: acceptor -> incarnation of the disk that last promised there.
    """

    def __init__(self, peer_pool: PeerPool, voters: Voters, store: Store | None) -> None:
        """Take part with a disk, or without one.

        Args:
            peer_pool: connections to other processes; the register's handlers are added to its own.
            voters: the configuration that this process knows at its start.
            store: this process's disk, or None.
        """
        super().__init__(peer_pool, voters, store)
        self.writer = f"{peer_pool.address[0]}:{peer_pool.address[1]}"
        self.rounds: dict[str, int] = {}
        self.incarnations: dict[Address, str] = {}

    def change(self, key: str, step: ChangeFunction, timeout: float = CHANGE_TIMEOUT_S) -> ChangeResult:
        """Change a key, or read it, with as many attempts as the time allows.

        Args:
            key: the register's key.
            step: the new value for the one that stands, or None to leave that. It may be called once for
                each attempt.
            timeout: seconds in all.

        Returns:
            The value that stands after `step`, or that it isn't known.
        """
        deadline = self.runtime.now() + timeout
        while True:
            remaining_s = deadline - self.runtime.now()
            if remaining_s <= 0:
                return ChangeResult(False, None)
            self.rounds[key] = self.rounds.get(key, 0) + 1
            voters = self.voters
            proposal = Proposal(voters.is_quorum, Ballot(self.rounds[key], self.writer), step)
            began = self.runtime.now()
            self.attempt(proposal, key, min(remaining_s, ATTEMPT_TIMEOUT_S), voters)
            if proposal.state == ProposalState.DONE:
                return ChangeResult(True, proposal.value)
            self.rounds[key] = max(self.rounds[key], proposal.highest_round)
            if self.voters.epoch == voters.epoch:  # else it was of an earlier epoch: at once again
                self.back_off(proposal, self.runtime.now() - began)

    def back_off(self, proposal: Proposal, attempt_s: float) -> None:
        """Wait before the next attempt.

        The pause follows how long an attempt takes: two writers a long way apart would turn each other down
        for ever.

        Args:
            proposal: the attempt that failed.
            attempt_s: seconds that it took.
        """
        if proposal.state != ProposalState.LOST:
            self.runtime.sleep(RETRY_S)
            return
        longest_s = max(MIN_BACKOFF_RANGE_S, BACKOFF_PER_ROUND * attempt_s)
        self.runtime.sleep(self.runtime.chance.uniform(MIN_BACKOFF_S, longest_s))

    def attempt(self, proposal: Proposal, key: str, timeout: float, voters: Voters) -> None:
        """Put one proposal to the voters.

        Args:
            proposal: fed with the answers; its state tells the outcome.
            key: the register's key.
            timeout: seconds for both phases.
            voters: the configuration that the proposal is of.
        """
        deadline = self.runtime.now() + timeout
        members = voters.members()
        request = PrepareRequest(key, proposal.ballot, voters.epoch)
        self.gather(members, MessageKind.PREPARE, request, AnswerFeed(proposal).prepared, timeout)
        # A process that slept must not tell others to accept what its caller has given up on. Nor may an
        # attempt go on under a later epoch: its promises are not a quorum of that.
        if proposal.state != ProposalState.ACCEPT or self.runtime.now() > deadline:
            return
        if self.voters.epoch != voters.epoch:
            return
        self.incarnations |= proposal.incarnations
        # A copy: another change may meanwhile meet a newer disk there, which this promise does not bind.
        incarnations = {**self.incarnations, **proposal.incarnations}

        def accept_request(address: Address) -> AcceptRequest:
            return AcceptRequest(key, proposal.ballot, proposal.value, incarnations[address], voters.epoch)

        self.gather(
            # Those whose promise came too late are asked as well, lest they lag until anti-entropy finds it.
            [address for address in members if address in incarnations],
            MessageKind.ACCEPT,
            accept_request,
            AnswerFeed(proposal).accepted,
            max(MIN_ACCEPT_TIMEOUT_S, deadline - self.runtime.now()),
        )

    def read(self, key: str, timeout: float = CHANGE_TIMEOUT_S) -> ChangeResult:
        """What stands, by a quorum; disks that lag are repaired on the way.

        Args:
            key: the register's key.
            timeout: seconds in all.
        """

        def leave_as_it_is(value: bytes | None) -> None:
            return None

        return self.change(key, leave_as_it_is, timeout)
