"""This process's acceptor over the network: it answers proposers, and relearns what a lost disk had promised.

A layer of `Register`, on `VotingProcess`.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from flintreach.consensus.acceptor import NO_BALLOT, Ballot, Decision, Slot, Verdict, merged
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

Holder = tuple[Address, dict[str, Slot]]  # a voter, and its slots without their values


class AcceptorService(VotingProcess):
    """Answers of this process's disk.

    Attributes:
        busy: prepares and accepts under way at this disk.
        failed_writes: writes that the disk did not take.
    """

    def __init__(self, peer_pool: PeerPool, voters: Voters, store: Store | None) -> None:
        super().__init__(peer_pool, voters, store)
        self.busy = 0
        self.failed_writes = 0
        self.locks: dict[str, Any] = {}
        peer_pool.handlers |= {
            MessageKind.PREPARE: self.on_prepare,
            MessageKind.ACCEPT: self.on_accept,
            MessageKind.SLOT_BALLOTS: self.on_slot_ballots,
            MessageKind.ACCEPTED_BALLOTS: self.on_accepted_ballots,
            MessageKind.ACCEPTED_VALUE: self.on_accepted_value,
        }

    # Prepare and accept.

    def lock_of(self, key: str) -> Any:
        """The lock under which a key's slot is changed on this disk."""
        return self.locks.setdefault(key, self.runtime.lock())

    def persist(self, key: str, verdict: Verdict, slot: Slot | None) -> Verdict:
        """Write what the acceptor decided; the verdict to answer, `MUTE` where the disk did not take it."""
        if verdict not in (Verdict.PROMISE, Verdict.ACCEPTED):
            return verdict
        if not self.store.persist({key: slot}):
            self.failed_writes += 1
            return Verdict.MUTE
        self.acceptor.slots[key] = slot
        return verdict

    def decide_under(
        self, epoch: int, key: str, decide: Callable[[], Decision]
    ) -> AcceptorAnswer | EpochMismatch:
        """Let the acceptor decide on a key under an epoch, and write the outcome to disk.

        Args:
            epoch: the sender's epoch.
            key: the register's key.
            decide: the acceptor's decision, taken while no other request holds the key.
        """
        mismatch = self.check_epoch(epoch)
        if mismatch is not None:
            return mismatch
        if not self.acceptor:
            return AcceptorAnswer(Verdict.MUTE, None, "")
        self.busy += 1
        try:
            with self.lock_of(key):
                mismatch = self.check_epoch(epoch)  # it may have moved while another request held the key
                if mismatch is not None:
                    return mismatch
                verdict, slot = decide()
                verdict = self.persist(key, verdict, slot)
        finally:
            self.busy -= 1
        # Moved while the disk wrote: who listed the keys of the later epoch may have missed this one.
        return self.check_epoch(epoch) or AcceptorAnswer(verdict, slot, self.acceptor.incarnation)

    def prepare(self, request: PrepareRequest) -> AcceptorAnswer | EpochMismatch:
        """Answer phase 1 of a proposal."""
        return self.decide_under(
            request.epoch, request.key, lambda: self.acceptor.prepare(request.key, request.ballot)
        )

    def accept(self, request: AcceptRequest) -> AcceptorAnswer | EpochMismatch:
        """Answer phase 2 of a proposal."""

        def decide() -> Decision:
            return self.acceptor.accept(request.key, request.ballot, request.value, request.incarnation)

        return self.decide_under(request.epoch, request.key, decide)

    def on_prepare(self, link: Any, body: list[Any]) -> AcceptorAnswer | EpochMismatch:
        """Another process's `PrepareRequest`."""
        return self.prepare(msgspec.convert(body, PrepareRequest))

    def on_accept(self, link: Any, body: list[Any]) -> AcceptorAnswer | EpochMismatch:
        """Another process's `AcceptRequest`."""
        return self.accept(msgspec.convert(body, AcceptRequest))

    # What this disk holds.

    def on_slot_ballots(self, link: Any, epoch: int) -> dict[str, SlotBallots] | EpochMismatch | None:
        """Both ballots of each key, for a disk that came back empty; it asks for values one by one."""
        mismatch = self.check_epoch(epoch)
        if mismatch is not None:
            return mismatch
        if not self.can_vote():
            return None
        return {key: SlotBallots(slot.promised, slot.accepted) for key, slot in self.acceptor.slots.items()}

    def on_accepted_ballots(self, link: Any, epoch: int) -> dict[str, Ballot] | EpochMismatch | None:
        """The accepted ballot of each key; None where this disk doesn't vote."""
        mismatch = self.check_epoch(epoch)
        if mismatch is not None:
            return mismatch
        if not self.can_vote():
            return None
        return {key: slot.accepted for key, slot in self.acceptor.slots.items()}

    def on_accepted_value(self, link: Any, body: list[Any]) -> AcceptedValue | EpochMismatch | None:
        """Another process's `ValueRequest`; None where this disk doesn't vote, or has no such key."""
        request = msgspec.convert(body, ValueRequest)
        mismatch = self.check_epoch(request.epoch)
        if mismatch is not None:
            return mismatch
        slot = self.acceptor.slots.get(request.key) if self.can_vote() else None
        return AcceptedValue(slot.accepted, slot.value) if slot else None

    def fetch_slot(self, address: Address, key: str, ballot: Ballot) -> Slot | None:
        """What another disk has accepted of a key, at this ballot or a later one.

        None where it has accepted nothing there, or does not answer.
        """
        request = ValueRequest(self.voters.epoch, key)
        answer = self.ask(address, MessageKind.ACCEPTED_VALUE, request, FETCH_TIMEOUT_S)
        if not answer:
            return None
        accepted = msgspec.convert(answer, AcceptedValue)
        if accepted.ballot < ballot:
            return None
        return Slot(accepted.ballot, accepted.ballot, accepted.value)

    # A disk that came back empty.

    def recover_promises(self) -> bool:
        """Learn what the lost disk may have promised, from the other voters, before this one votes.

        Only under an epoch that records this disk's incarnation: a change of an earlier epoch may still count
        an acceptance of the lost disk, and find the rest of its quorum after the others have answered here.

        Returns:
            Whether this disk may vote, or need not.
        """
        address = self.peer_pool.address
        voters = self.voters
        if not self.acceptor or self.acceptor.voting or address not in self.voter_addresses:
            return True
        if voters.incarnations(address) != {self.store.incarnation}:
            return False
        holders = self.slots_of_others(voters)
        if holders is None:
            return False
        slots = self.with_values(merged([slots for _, slots in holders]), holders)
        if slots is None or self.voters != voters:
            return False
        # Keys that only the lost disk held are dropped: this one stands for another.
        written = {**dict.fromkeys(self.acceptor.slots), **slots}
        if not self.store.persist(written, {VOTING_FACT: YES}):
            return False
        self.acceptor.slots = slots
        self.promises_known = True
        self.update_voting()
        return self.acceptor.voting

    def slots_of_others(self, voters: Voters) -> list[Holder] | None:
        """Slots without values, of as many other voters as know all that the lost disk may have promised.

        Returns:
            None where too few answered, or a later epoch came: then they are asked again under that.
        """
        local_address = self.peer_pool.address

        def is_covered(answers: Answers) -> bool:
            return voters.covered(local_address, (address for address, _ in answers))

        others = [address for address in voters.members() if address != local_address]
        answers = self.gather(others, MessageKind.SLOT_BALLOTS, voters.epoch, is_covered, RELEARN_TIMEOUT_S)
        if not is_covered(answers) or self.voters != voters:
            return None
        return [(address, slots_without_values(rows)) for address, rows in answers]

    def with_values(self, slots: dict[str, Slot], holders: list[Holder]) -> dict[str, Slot] | None:
        """The same slots with their values, each fetched from a disk that has accepted it; None: not all."""
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
        self.runtime.all(calls, RELEARN_TIMEOUT_S)
        if len(complete) < len(wanted):
            return None
        return {key: complete.get(key, slot) for key, slot in slots.items()}


def slots_without_values(rows: dict[str, Any]) -> dict[str, Slot]:
    """Slots from an answer to `SLOT_BALLOTS`."""
    ballots = msgspec.convert(rows, dict[str, SlotBallots])
    return {key: Slot(row.promised, row.accepted) for key, row in ballots.items()}
