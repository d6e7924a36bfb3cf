"""The replicated register: reads and changes of keys, proposed to the acceptors of all voters.

A process that has no disk or is not a voter only proposes. `VotingProcess` tracks epochs, `AcceptorService`
answers for this process's disk.

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
    decode_acceptor_answer,
)
from flintreach.consensus.proposer import ChangeFunction, Proposal, ProposalState
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.store import Store
from flintreach.consensus.voting_process import Answers
from flintreach.transport.peer_pool import PeerPool

CHANGE_TIMEOUT_S = 2.0
ATTEMPT_TIMEOUT_S = 1.0
MIN_ACCEPT_TIMEOUT_S = 0.05
RETRY_DELAY_S = 0.05  # delay after an attempt that did not reach a quorum
MIN_BACKOFF_S = 0.005  # minimum delay after an attempt that another writer preempted
MIN_BACKOFF_RANGE_S = 0.05  # lower bound of the maximum delay after such an attempt
BACKOFF_PER_ATTEMPT = 1.5  # maximum delay as a multiple of the attempt's duration


class ChangeResult(NamedTuple):
    """The outcome of a change.

    Attributes:
        done: whether the outcome is known. If not, the change may or may not have been applied.
        value: the current value if the outcome is known.
    """

    done: bool
    value: bytes | None


class AnswerFeed:
    """Passes the answers of one phase to a proposal, each exactly once, from a list that grows."""

    def __init__(self, proposal: Proposal) -> None:
        self.proposal = proposal
        self.consumed = 0

    def unread(self, answers: Answers) -> Iterator[tuple[Address, AcceptorAnswer]]:
        """Well-formed answers that arrived since the last call."""
        while len(answers) > self.consumed:
            address, row = answers[self.consumed]
            self.consumed += 1
            answer = decode_acceptor_answer(row)
            if answer is not None:
                yield address, answer

    def prepared(self, answers: Answers) -> bool:
        """Pass on new answers to prepare; whether the prepare phase is over."""
        for address, answer in self.unread(answers):
            if answer.verdict == Verdict.PROMISE:
                slot = answer.slot
                self.proposal.record_promise(address, answer.incarnation, slot.accepted, slot.value)
            elif answer.verdict == Verdict.REFUSED:
                self.proposal.record_refusal(answer.slot.promised)
        return self.proposal.state != ProposalState.PREPARE

    def accepted(self, answers: Answers) -> bool:
        """Pass on new answers to accept; whether the accept phase is over."""
        for address, answer in self.unread(answers):
            if answer.verdict == Verdict.ACCEPTED:
                self.proposal.record_acceptance(address)
            elif answer.verdict == Verdict.REFUSED:
                self.proposal.record_refusal(answer.slot.promised)
        return self.proposal.state != ProposalState.ACCEPT


class Register(AcceptorService):
    """Reads and changes keys on behalf of this process.

    Attributes:
        writer: identifies this process in its ballots.
        rounds: key -> the highest ballot round known to this process.
        incarnations: acceptor -> incarnation of the disk that last promised.
    """

    def __init__(self, peer_pool: PeerPool, voters: Voters, store: Store | None) -> None:
        """Create the register and add its message handlers to the peer pool.

        Args:
            peer_pool: connections to other processes.
            voters: the configuration known at start-up.
            store: this process's disk, None if it has none.
        """
        super().__init__(peer_pool, voters, store)
        self.writer = f"{peer_pool.address[0]}:{peer_pool.address[1]}"
        self.rounds: dict[str, int] = {}
        self.incarnations: dict[Address, str] = {}

    def change(
        self, key: str, change_function: ChangeFunction, timeout: float = CHANGE_TIMEOUT_S
    ) -> ChangeResult:
        """Change or read a key, retrying until the timeout.

        Args:
            key: the register's key.
            change_function: maps the current value to the new one, or to None to leave it unchanged. It may
                be called once per attempt.
            timeout: total time in seconds.

        Returns:
            The value after the change, or that the outcome is unknown.
        """
        deadline = self.runtime.now() + timeout
        while True:
            remaining_s = deadline - self.runtime.now()
            if remaining_s <= 0:
                return ChangeResult(False, None)
            self.rounds[key] = self.rounds.get(key, 0) + 1
            voters = self.voters
            proposal = Proposal(voters.is_quorum, Ballot(self.rounds[key], self.writer), change_function)
            began = self.runtime.now()
            self.attempt(proposal, key, min(remaining_s, ATTEMPT_TIMEOUT_S), voters)
            if proposal.state == ProposalState.DONE:
                return ChangeResult(True, proposal.value)
            self.rounds[key] = max(self.rounds[key], proposal.highest_round)
            if self.voters.epoch == voters.epoch:  # after a change of epoch, retry without a delay
                self.back_off(proposal, self.runtime.now() - began)

    def back_off(self, proposal: Proposal, attempt_s: float) -> None:
        """Wait before the next attempt.

        The delay scales with the duration of an attempt. With a fixed delay, two writers with a high latency
        could preempt each other indefinitely.

        Args:
            proposal: the attempt that failed.
            attempt_s: its duration in seconds.
        """
        if proposal.state != ProposalState.PREEMPTED:
            self.runtime.sleep(RETRY_DELAY_S)
            return
        longest_s = max(MIN_BACKOFF_RANGE_S, BACKOFF_PER_ATTEMPT * attempt_s)
        self.runtime.sleep(self.runtime.rng.uniform(MIN_BACKOFF_S, longest_s))

    def attempt(self, proposal: Proposal, key: str, timeout: float, voters: Voters) -> None:
        """Run both phases of one proposal.

        Args:
            proposal: receives the answers; its state gives the outcome.
            key: the register's key.
            timeout: seconds for both phases.
            voters: the configuration under which the proposal is made.
        """
        deadline = self.runtime.now() + timeout
        members = voters.members()
        request = PrepareRequest(key, proposal.ballot, voters.epoch)
        self.gather(members, MessageKind.PREPARE, request, AnswerFeed(proposal).prepared, timeout)
        # A process that was suspended must not send accept requests for a change that its caller has given
        # up on. Nor may an attempt continue in a later epoch, in which its promises are not a quorum.
        if proposal.state != ProposalState.ACCEPT or self.runtime.now() > deadline:
            return
        if self.voters.epoch != voters.epoch:
            return
        self.incarnations |= proposal.incarnations
        # Copied, because a concurrent change may record a newer disk, which is not bound by this promise.
        incarnations = {**self.incarnations, **proposal.incarnations}

        def accept_request(address: Address) -> AcceptRequest:
            return AcceptRequest(key, proposal.ballot, proposal.value, incarnations[address], voters.epoch)

        self.gather(
            # Includes acceptors whose promise came late: otherwise they lag until anti-entropy finds it.
            [address for address in members if address in incarnations],
            MessageKind.ACCEPT,
            accept_request,
            AnswerFeed(proposal).accepted,
            max(MIN_ACCEPT_TIMEOUT_S, deadline - self.runtime.now()),
        )

    def read(self, key: str, timeout: float = CHANGE_TIMEOUT_S) -> ChangeResult:
        """Read a key from a quorum, writing the value back to voters that lag.

        Args:
            key: the register's key.
            timeout: total time in seconds.
        """

        def leave_unchanged(value: bytes | None) -> None:
            return None

        return self.change(key, leave_unchanged, timeout)
