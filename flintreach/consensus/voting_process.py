"""The voter configuration known to a process, and requests bound to its epoch.

The lowest layer of `Register`. A request carries its sender's epoch and is processed only by a receiver in
the same epoch; otherwise the process in the earlier epoch adopts the later configuration. On top of this
layer, `acceptor_service.py` answers for this process's disk and `register.py` proposes changes.
"""

from collections.abc import Callable, Iterable
from typing import Any

from flintreach.consensus.acceptor import Acceptor
from flintreach.consensus.messages import (
    EarlierEpoch,
    EpochMismatch,
    LaterEpoch,
    MessageKind,
    decode_epoch_mismatch,
)
from flintreach.consensus.quorum import Address, Voters, VotersRow
from flintreach.consensus.store import RECORDS_COMPLETE_FACT, RESUMED_FACT, VOTING_FACT, YES, Store
from flintreach.transport.peer_pool import PeerPool

EPOCH_ATTEMPTS = 3  # attempts to send a request to a process that is in a different epoch each time
TELL_TIMEOUT_S = 0.5
MIN_TIMEOUT_S = 0.01

Ask = Callable[[Address, str, Any, float], Any]  # (address, kind, body, timeout in seconds) -> answer or None
Answers = list[tuple[Address, Any]]


class VotingProcess:
    """The voter configuration known to this process, and the voting status of its disk.

    Attributes:
        voters: the latest decided configuration known to this process; epoch 0 if none is known.
        store: this process's disk, None if it has none.
        acceptor: the acceptor on that disk, None if it has none.
        promises_known: whether the disk holds all promises that it ever gave. True for a disk created at the
            first start of the deployment, for a disk that was added as a voter and had not voted before, and
            for a wiped disk that has recovered its promises.
    """

    def __init__(self, peer_pool: PeerPool, voters: Voters, store: Store | None) -> None:
        self.peer_pool = peer_pool
        self.runtime = peer_pool.runtime
        self.voters = voters
        self.store = store
        self.acceptor = Acceptor(store.incarnation, store.voting, store.slots) if store else None
        self.promises_known = bool(store and store.voting)
        self.adopt_lock = self.runtime.lock()
        self.update_voting()
        peer_pool.handlers |= {MessageKind.VOTERS: self.on_voters}

    @property
    def voter_addresses(self) -> list[Address]:
        """Addresses of the current voters; empty until a configuration is known."""
        return self.voters.members() if self.voters.epoch else []

    def can_vote(self) -> bool:
        """Whether this process is a voter and its disk's answers count."""
        return (
            self.acceptor is not None
            and self.acceptor.voting
            and self.peer_pool.address in self.voter_addresses
        )

    # The epoch of a request.

    def check_epoch(self, epoch: int) -> EpochMismatch | None:
        """None if a sender's epoch is the current one; otherwise the answer to give instead."""
        if epoch < self.voters.epoch:
            return LaterEpoch(self.voters.row())
        if epoch > self.voters.epoch:
            return EarlierEpoch()
        return None

    def resolve_mismatch(self, address: Address, answer: Any) -> bool:
        """If the answer reports a different epoch, bring the process in the earlier epoch to the later one.

        Args:
            address: the process that answered.
            answer: its answer.

        Returns:
            Whether the answer was an epoch mismatch, in which case the request has to be sent again.
        """
        mismatch = decode_epoch_mismatch(answer)
        if mismatch is None:
            return False
        if isinstance(mismatch, LaterEpoch):
            self.adopt(Voters.from_row(mismatch.voters))
        else:
            self.peer_pool.ask(address, MessageKind.VOTERS, self.voters.row(), TELL_TIMEOUT_S)
        return True

    # Requests in the current epoch.

    def ask(self, address: Address, kind: str, body: Any, timeout: float, ask_peer: Ask | None = None) -> Any:
        """Send a request that carries the current epoch, and resend it after resolving an epoch mismatch.

        Args:
            address: the receiver.
            kind: the kind of message.
            body: the request.
            timeout: total time in seconds.
            ask_peer: sends the request, in place of `PeerPool.ask`.

        Returns:
            The answer, or None. Also None if this process moved to a later epoch in the meantime, as the
            request belongs to the earlier one.
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
        """Like `PeerPool.gather`, but with `self.ask` by default, and ends when the epoch changes."""
        epoch = self.voters.epoch
        return self.peer_pool.gather(
            addresses,
            kind,
            body,
            lambda answers: self.voters.epoch != epoch or enough(answers),
            timeout,
            ask or self.ask,
        )

    def ask_quorum(
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
            timeout: total time in seconds.
            ask_peer: asks one voter, in place of `PeerPool.ask`.
            local_answer: provides the answer of this process if it is a voter.

        Returns:
            Answers from a quorum, all given in the epoch of the current configuration; None if too few
            voters answered.
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
        """Like `ask_quorum` with [epoch, *body], repeated if the epoch changes in the meantime."""
        deadline = self.runtime.now() + timeout
        while True:
            remaining_s = deadline - self.runtime.now()
            if remaining_s <= 0 or not self.voter_addresses:
                return None
            voters = self.voters
            answers = self.ask_quorum(kind, [voters.epoch, *body], remaining_s, ask_peer, local_answer)
            if answers is not None or self.voters == voters:
                return answers

    # The configuration.

    def adopt(self, voters: Voters) -> bool:
        """Adopt a decided configuration if it is later than the current one.

        It is persisted first: an acceptor that lost an epoch in a restart would serve the earlier one again.

        Returns:
            Whether this process is now in this configuration or a later one.
        """
        with self.adopt_lock:  # concurrent calls could reach the disk in the wrong order
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

    def resume_first_start(self, seeds: Iterable[Address]) -> bool:
        """Let this disk vote on the first voters as if it had been created at the first start.

        Args:
            seeds: the addresses of the disks that decide.

        Returns:
            Whether that is persisted.
        """
        voters = Voters(0, tuple((seed, "") for seed in sorted(seeds)))
        facts = {VOTING_FACT: YES, RECORDS_COMPLETE_FACT: YES, RESUMED_FACT: YES}
        with self.adopt_lock:
            if self.voters.epoch or not self.store or not self.store.persist({}, facts | voters.to_facts()):
                return False
            self.voters = voters
            self.acceptor.voting = True
            self.promises_known = True
            return True

    def is_new_voter(self, voters: Voters) -> bool:
        """Whether a configuration adds this disk as a voter, so that it has not promised anything yet."""
        if self.store is None or not self.voters.epoch:
            return False
        address = self.peer_pool.address
        return not self.voters.incarnations(address) and voters.incarnations(address) == {
            self.store.incarnation
        }

    def on_voters(self, connection: Any, row: list[Any] | None) -> VotersRow | None:
        """Adopt the configuration that another process sends (None: it only asks), and answer with ours."""
        if row is not None:
            self.adopt(Voters.from_row(row))
        return self.voters.row() if self.voters.epoch else None

    def update_voting(self) -> None:
        """Set whether this disk's answers count: its incarnation is recorded and its promises are known.

        The incarnation must match because an old disk that returns to its address does not know what its
        replacement has promised.
        """
        if self.acceptor and self.voters.epoch:
            recorded = self.voters.incarnations(self.peer_pool.address)
            self.acceptor.voting = (
                self.promises_known and bool(recorded) and recorded <= {"", self.store.incarnation}
            )
