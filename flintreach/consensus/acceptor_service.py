"""Network service of this process's acceptor: answers proposers, and recovers the promises of a wiped disk.

The layer of `Register` on top of `VotingProcess`.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from flintreach.consensus.acceptor import NO_BALLOT, Ballot, Decision, Slot, Verdict, merge_slots
from flintreach.consensus.messages import (
    AcceptedValue,
    AcceptorAnswer,
    AcceptRequest,
    EpochMismatch,
    MessageKind,
    PrepareRequest,
    SlotBallots,
    ValueRequest,
)
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.store import VOTING_FACT, YES, Store
from flintreach.consensus.voting_process import Answers, VotingProcess
from flintreach.transport.peer_pool import PeerPool

FETCH_TIMEOUT_S = 0.8
RELEARN_TIMEOUT_S = 2.0

VoterSlots = tuple[Address, dict[str, Slot]]  # a voter and its slots, without values


class AcceptorService(VotingProcess):
    """Answers requests to the acceptor on this process's disk.

    Attributes:
        requests_in_progress: number of prepare and accept requests being processed.
        failed_writes: number of decisions that could not be written to disk.
    """

    def __init__(self, peer_pool: PeerPool, voters: Voters, store: Store | None) -> None:
        super().__init__(peer_pool, voters, store)
        self.requests_in_progress = 0
        self.failed_writes = 0
        self.key_locks: dict[str, Any] = {}
        peer_pool.handlers |= {
            MessageKind.PREPARE: self.on_prepare,
            MessageKind.ACCEPT: self.on_accept,
            MessageKind.SLOT_BALLOTS: self.on_slot_ballots,
            MessageKind.ACCEPTED_BALLOTS: self.on_accepted_ballots,
            MessageKind.ACCEPTED_VALUE: self.on_accepted_value,
        }

    # Prepare and accept.

    def lock_for(self, key: str) -> Any:
        """The lock that serializes changes of a key's slot on this disk."""
        return self.key_locks.setdefault(key, self.runtime.lock())

    def persist_decision(self, key: str, verdict: Verdict, slot: Slot | None) -> Verdict:
        """Write the acceptor's decision to disk; returns the verdict to answer, `ABSTAIN` if that failed."""
        if verdict not in (Verdict.PROMISE, Verdict.ACCEPTED):
            return verdict
        if not self.store.persist({key: slot}):
            self.failed_writes += 1
            return Verdict.ABSTAIN
        self.acceptor.slots[key] = slot
        return verdict

    def decide_in_epoch(
        self, epoch: int, key: str, decide: Callable[[], Decision]
    ) -> AcceptorAnswer | EpochMismatch:
        """Let the acceptor decide on a request of the current epoch, and persist the decision.

        Args:
            epoch: the sender's epoch.
            key: the register's key.
            decide: takes the acceptor's decision; called with the key locked.
        """
        mismatch = self.check_epoch(epoch)
        if mismatch is not None:
            return mismatch
        if not self.acceptor:
            return AcceptorAnswer(Verdict.ABSTAIN, None, "")
        self.requests_in_progress += 1
        try:
            with self.lock_for(key):
                mismatch = self.check_epoch(epoch)  # it may have changed while waiting for the lock
                if mismatch is not None:
                    return mismatch
                verdict, slot = decide()
                verdict = self.persist_decision(key, verdict, slot)
        finally:
            self.requests_in_progress -= 1
        # If the epoch changed during the write, a process that listed the keys in the later epoch may have
        # missed this one, so the decision must not count.
        return self.check_epoch(epoch) or AcceptorAnswer(verdict, slot, self.acceptor.incarnation)

    def prepare(self, request: PrepareRequest) -> AcceptorAnswer | EpochMismatch:
        """Handle phase 1 of a proposal."""
        return self.decide_in_epoch(
            request.epoch, request.key, lambda: self.acceptor.prepare(request.key, request.ballot)
        )

    def accept(self, request: AcceptRequest) -> AcceptorAnswer | EpochMismatch:
        """Handle phase 2 of a proposal."""

        def decide() -> Decision:
            return self.acceptor.accept(request.key, request.ballot, request.value, request.incarnation)

        return self.decide_in_epoch(request.epoch, request.key, decide)

    def on_prepare(self, connection: Any, body: list[Any]) -> AcceptorAnswer | EpochMismatch:
        """Handle a `PrepareRequest` from another process."""
        return self.prepare(msgspec.convert(body, PrepareRequest))

    def on_accept(self, connection: Any, body: list[Any]) -> AcceptorAnswer | EpochMismatch:
        """Handle an `AcceptRequest` from another process."""
        return self.accept(msgspec.convert(body, AcceptRequest))

    # Reads of this disk's state.

    def on_slot_ballots(self, connection: Any, epoch: int) -> dict[str, SlotBallots] | EpochMismatch | None:
        """Both ballots of each key, None if this disk doesn't vote.

        For the recovery of a wiped disk, which then fetches the values one by one.
        """
        mismatch = self.check_epoch(epoch)
        if mismatch is not None:
            return mismatch
        if not self.can_vote():
            return None
        return {key: SlotBallots(slot.promised, slot.accepted) for key, slot in self.acceptor.slots.items()}

    def on_accepted_ballots(self, connection: Any, epoch: int) -> dict[str, Ballot] | EpochMismatch | None:
        """The accepted ballot of each key, None if this disk doesn't vote."""
        mismatch = self.check_epoch(epoch)
        if mismatch is not None:
            return mismatch
        if not self.can_vote():
            return None
        return {key: slot.accepted for key, slot in self.acceptor.slots.items()}

    def on_accepted_value(self, connection: Any, body: list[Any]) -> AcceptedValue | EpochMismatch | None:
        """Answer a `ValueRequest`; None if this disk doesn't vote or doesn't have the key."""
        request = msgspec.convert(body, ValueRequest)
        mismatch = self.check_epoch(request.epoch)
        if mismatch is not None:
            return mismatch
        slot = self.acceptor.slots.get(request.key) if self.can_vote() else None
        return AcceptedValue(slot.accepted, slot.value) if slot else None

    def fetch_slot(self, address: Address, key: str, ballot: Ballot) -> Slot | None:
        """Fetch the value of a key that another disk has accepted at this ballot or a higher one.

        Returns:
            The accepted slot; None if it has accepted nothing at such a ballot, or does not answer.
        """
        request = ValueRequest(self.voters.epoch, key)
        answer = self.ask(address, MessageKind.ACCEPTED_VALUE, request, FETCH_TIMEOUT_S)
        if not answer:
            return None
        accepted = msgspec.convert(answer, AcceptedValue)
        if accepted.ballot < ballot:
            return None
        return Slot(accepted.ballot, accepted.ballot, accepted.value)

    # Recovery of a wiped disk.

    def recover_promises(self) -> bool:
        """Rebuild what the lost disk may have promised from the other voters, before this disk votes.

        This requires an epoch in which this disk's incarnation is recorded. A change of an earlier epoch may
        still count an acceptance of the lost disk, and could complete its quorum after the other voters have
        answered this recovery.

        Returns:
            Whether this disk votes or need not vote.
        """
        address = self.peer_pool.address
        voters = self.voters
        if not self.acceptor or self.acceptor.voting or address not in self.voter_addresses:
            return True
        if voters.incarnations(address) != {self.store.incarnation}:
            return False
        holders = self.ballots_of_others(voters)
        if holders is None:
            return False
        slots = self.fetch_values(merge_slots([slots for _, slots in holders]), holders)
        if slots is None or self.voters != voters:
            return False
        # Keys that no other voter reported are deleted: this disk replaces the lost one.
        written = {**dict.fromkeys(self.acceptor.slots), **slots}
        if not self.store.persist(written, {VOTING_FACT: YES}):
            return False
        self.acceptor.slots = slots
        self.promises_known = True
        self.update_voting()
        return self.acceptor.voting

    def ballots_of_others(self, voters: Voters) -> list[VoterSlots] | None:
        """Slots, without values, of enough other voters to know all that the lost disk may have promised.

        Returns:
            None if too few voters answered or the epoch changed, in which case recovery has to be retried.
        """
        local_address = self.peer_pool.address

        def is_covered(answers: Answers) -> bool:
            return voters.is_recovery_quorum(local_address, (address for address, _ in answers))

        others = [address for address in voters.members() if address != local_address]
        answers = self.gather(others, MessageKind.SLOT_BALLOTS, voters.epoch, is_covered, RELEARN_TIMEOUT_S)
        if not is_covered(answers) or self.voters != voters:
            return None
        return [(address, slots_without_values(rows)) for address, rows in answers]

    def fetch_values(self, slots: dict[str, Slot], holders: list[VoterSlots]) -> dict[str, Slot] | None:
        """Add the accepted values, each fetched from a voter that holds it; None if any could not be."""
        wanted = [(key, slot) for key, slot in slots.items() if slot.accepted != NO_BALLOT]
        complete: dict[str, Slot] = {}

        def fetch_value(key: str, slot: Slot) -> None:
            holder = next(
                address
                for address, held_slots in holders
                if held_slots.get(key, Slot()).accepted == slot.accepted
            )
            accepted = self.fetch_slot(holder, key, slot.accepted)
            if accepted is not None:
                promised = max(slot.promised, accepted.promised)
                complete[key] = Slot(promised, accepted.accepted, accepted.value)

        calls = [lambda key=key, slot=slot: fetch_value(key, slot) for key, slot in wanted]
        self.runtime.run_all(calls, RELEARN_TIMEOUT_S)
        if len(complete) < len(wanted):
            return None
        return {key: complete.get(key, slot) for key, slot in slots.items()}


def slots_without_values(rows: dict[str, Any]) -> dict[str, Slot]:
    """Decode an answer to `SLOT_BALLOTS`."""
    ballots = msgspec.convert(rows, dict[str, SlotBallots])
    return {key: Slot(row.promised, row.accepted) for key, row in ballots.items()}
