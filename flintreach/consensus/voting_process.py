"""A process that knows which disks vote, and its own disk among them.

This layer of `Register` agrees with other processes on the epoch: a request carries its sender's epoch, and
is answered only by a receiver in the same one. Above it `acceptor_service.py` answers for this disk, and
`register.py` proposes changes.
"""

from collections.abc import Callable
from typing import Any

from flintreach.consensus.acceptor import Acceptor
from flintreach.consensus.messages import (
    EarlierEpoch,
    EpochMismatch,
    LaterEpoch,
    MessageKind,
    epoch_mismatch,
)
from flintreach.consensus.quorum import Address, Voters, VotersRow
from flintreach.consensus.store import VOTING_FACT, YES, Store
from flintreach.transport.peer_pool import PeerPool

EPOCH_ATTEMPTS = 3  # how often a request is sent to a process that is in another epoch each time
TELL_TIMEOUT_S = 0.5
MIN_TIMEOUT_S = 0.01

Ask = Callable[[Address, str, Any, float], Any]  # (address, kind, body, timeout in seconds) -> answer or None
Answers = list[tuple[Address, Any]]


class VotingProcess:
    """The configuration that this process knows, and whether its disk counts in it.

    Attributes:
        voters: the latest configuration that this process knows to be decided; epoch 0 until one is.
        store: this process's disk, None where it has none.
        acceptor: the acceptor on that disk, None where it has none.
        promises_known: the disk knows all that it has promised: it is of a first start, was taken in as a
            voter that had not voted, or has relearned what a lost disk had promised.
    """

    def __init__(self, peer_pool: PeerPool, voters: Voters, store: Store | None) -> None:
        self.peer_pool = peer_pool
        self.runtime = peer_pool.runtime
        self.voters = voters
        self.store = store
        self.acceptor = Acceptor(store.incarnation, store.voting, store.slots) if store else None
        self.promises_known = bool(store and store.voting)
        self.adopting = self.runtime.lock()
        self.update_voting()
        peer_pool.handlers |= {MessageKind.VOTERS: self.on_voters}

    @property
    def voter_addresses(self) -> list[Address]:
        """Addresses of the processes whose disks vote; empty until it is known."""
        return self.voters.members() if self.voters.epoch else []

    def can_vote(self) -> bool:
        """Whether this process's disk is one of those that vote, and knows enough to."""
        return (
            self.acceptor is not None
            and self.acceptor.voting
            and self.peer_pool.address in self.voter_addresses
        )

    # The epoch of a request.

    def check_epoch(self, epoch: int) -> EpochMismatch | None:
        """None where a sender's epoch is ours; else what to answer instead of acting."""
        if epoch < self.voters.epoch:
            return LaterEpoch(self.voters.row())
        if epoch > self.voters.epoch:
            return EarlierEpoch()
        return None

    def resolve_mismatch(self, address: Address, answer: Any) -> bool:
        """Bring the process that is in the earlier epoch to the later one.

        Args:
            address: who answered.
            answer: its answer.

        Returns:
            Whether the answer told of another epoch: then the request is to be sent again.
        """
        mismatch = epoch_mismatch(answer)
        if mismatch is None:
            return False
        if isinstance(mismatch, LaterEpoch):
            self.adopt(Voters.from_row(mismatch.voters))
        else:
            self.peer_pool.ask(address, MessageKind.VOTERS, self.voters.row(), TELL_TIMEOUT_S)
        return True

    # Requests under our epoch.

    def ask(self, address: Address, kind: str, body: Any, timeout: float, ask_peer: Ask | None = None) -> Any:
        """Send a request that carries our epoch, again after a receiver in another epoch is brought to it.

        Args:
            address: the receiver.
            kind: the kind of message.
            body: the request.
            timeout: seconds in all.
            ask_peer: sends it, in place of `PeerPool.ask`.

        Returns:
            The answer, or None. None too where our own epoch moved meanwhile: the request was of the earlier
            one.
        """
        deadline = self.runtime.now() + timeout
        epoch = self.voters.epoch
        send = ask_peer or self.peer_pool.ask
        for _ in range(EPOCH_ATTEMPTS):
            answer = send(address, kind, body, max(MIN_TIMEOUT_S, deadline - self.runtime.now()))
            if not self.resolve_mismatch(address, answer):
                return answer
            if self.voters.epoch != epoch or self.runtime.now() >= deadline:
                return None
        return None

    def gather(
        self,
        addresses: list[Address],
        kind: str,
        body: Any,
        enough: Callable[[Answers], bool],
        timeout: float,
        ask: Ask | None = None,
    ) -> Answers:
        """As `PeerPool.gather`, by `self.ask` unless `ask` is given; it ends too when our epoch moves."""
        epoch = self.voters.epoch
        return self.peer_pool.gather(
            addresses,
            kind,
            body,
            lambda answers: self.voters.epoch != epoch or enough(answers),
            timeout,
            ask or self.ask,
        )

    def quorum(
        self,
        kind: str,
        body: Any,
        timeout: float,
        ask_peer: Ask | None = None,
        local_answer: Callable[[], Any] | None = None,
    ) -> dict[Address, Any] | None:
        """Ask the voters until a quorum has answered.

        Args:
            kind: the kind of message.
            body: the request.
            timeout: seconds in all.
            ask_peer: asks one voter, in place of `PeerPool.ask`.
            local_answer: gives the answer of this process, where it votes.

        Returns:
            Answers of a quorum of the configuration that stands, all given under its epoch; None: too few.
        """
        voters = self.voters
        local_address = self.peer_pool.address

        def ask(address: Address, kind: str, body: Any, remaining_s: float) -> Any:
            if local_answer is not None and address == local_address:
                return local_answer() if self.can_vote() else None
            return self.ask(address, kind, body, remaining_s, ask_peer)

        def is_quorum(answers: Answers) -> bool:
            return voters.is_quorum(address for address, _ in answers)

        answers = self.gather(voters.members(), kind, body, is_quorum, timeout, ask)
        if not is_quorum(answers) or self.voters != voters:
            return None
        return dict(answers)

    def ask_quorum_of_each_epoch(
        self,
        kind: str,
        body: list[Any],
        timeout: float,
        ask_peer: Ask | None = None,
        local_answer: Callable[[], Any] | None = None,
    ) -> dict[Address, Any] | None:
        """As `quorum`, with [the epoch, *body], and again under each later epoch that comes meanwhile."""
        deadline = self.runtime.now() + timeout
        while True:
            remaining_s = deadline - self.runtime.now()
            if remaining_s <= 0 or not self.voter_addresses:
                return None
            voters = self.voters
            answers = self.quorum(kind, [voters.epoch, *body], remaining_s, ask_peer, local_answer)
            if answers is not None or self.voters == voters:
                return answers

    # The configuration.

    def adopt(self, voters: Voters) -> bool:
        """Take a later configuration, one that was decided.

        It is written to disk first: an acceptor that forgot an epoch would serve the earlier one again.

        Returns:
            Whether this process now has this configuration or a later one.
        """
        with self.adopting:  # two at once could reach the disk in the wrong order
            if voters.epoch <= self.voters.epoch:
                return True
            newly_voting = self.is_new_voter(voters)
            facts = voters.to_facts()
            if newly_voting:
                facts[VOTING_FACT] = YES
            if self.store and not self.store.persist({}, facts):
                return False
            self.voters = voters
            self.promises_known = self.promises_known or newly_voting
            self.update_voting()
            return True

    def is_new_voter(self, voters: Voters) -> bool:
        """Whether a configuration takes in this disk, which has not voted: it promised nothing."""
        if self.store is None or not self.voters.epoch:
            return False
        address = self.peer_pool.address
        return not self.voters.incarnations(address) and voters.incarnations(address) == {
            self.store.incarnation
        }

    def on_voters(self, link: Any, row: list[Any] | None) -> VotersRow | None:
        """Another process tells its configuration, or only asks (None); ours is the answer."""
        if row is not None:
            self.adopt(Voters.from_row(row))
        return self.voters.row() if self.voters.epoch else None

    def update_voting(self) -> None:
        """Decide whether this disk's answers count: its incarnation is recorded, and it is trusted.

        An older disk that comes back to its address doesn't know what a later one promised there.
        """
        if self.acceptor and self.voters.epoch:
            recorded = self.voters.incarnations(self.peer_pool.address)
            self.acceptor.voting = (
                self.promises_known and bool(recorded) and recorded <= {"", self.store.incarnation}
            )
