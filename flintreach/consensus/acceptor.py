"""CASPaxos acceptor of one disk, as a pure state machine.

Each key is an independent register. `acceptor_service.py` passes requests to the acceptor and persists the
returned slot: a promise or an acceptance must be on disk before it is sent.

Source: L. Lamport, "Paxos Made Simple" (2001); D. Rystsov, "CASPaxos: Replicated State Machines without
logs" (2018), for changing a value in place.
"""

from enum import StrEnum
from typing import NamedTuple

import msgspec


class Ballot(NamedTuple):
    """A ballot number. It includes the writer, so that ballots of different writers are never equal."""

    round: int
    writer: str


NO_BALLOT = Ballot(0, "")  # lower than any proposed ballot


class Slot(msgspec.Struct, array_like=True):
    """Acceptor state of one key.

    Encoded as an array [promised, accepted, value], with each ballot as an array [round, writer].
    """

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes | None = None


class Verdict(StrEnum):
    """Outcome of a request at an acceptor. The values are sent to other releases and must not change."""

    PROMISE = "promise"
    ACCEPTED = "accepted"
    REFUSED = "refused"  # a higher ballot has been promised
    ABSTAIN = "mute"  # the acceptor does not vote; the answer counts towards no quorum


class Decision(NamedTuple):
    """An acceptor's verdict and the slot that goes with it.

    For `PROMISE` and `ACCEPTED` the slot to persist, for `REFUSED` the current slot, for `ABSTAIN` None.
    """

    verdict: Verdict
    slot: Slot | None


ABSTAIN = Decision(Verdict.ABSTAIN, None)


class Acceptor:
    """Acceptor state of one disk.

    Attributes:
        incarnation: identifies the disk's contents. A disk that was replaced or wiped gets a new incarnation
            and is not bound by the promises of the old one.
        voting: whether answers count towards quorums. False while a wiped disk has not yet recovered its
            promises from the other voters.
        slots: key -> slot, as persisted.
    """

    def __init__(self, incarnation: str, voting: bool, slots: dict[str, Slot] | None = None) -> None:
        self.incarnation = incarnation
        self.voting = voting
        self.slots: dict[str, Slot] = slots or {}

    def prepare(self, key: str, ballot: Ballot) -> Decision:
        """Phase 1: promise to accept nothing below `ballot`, unless an equal or higher one was promised."""
        if not self.voting:
            return ABSTAIN
        slot = self.slots.get(key, Slot())
        if ballot <= slot.promised:
            return Decision(Verdict.REFUSED, slot)
        return Decision(Verdict.PROMISE, Slot(ballot, slot.accepted, slot.value))

    def accept(self, key: str, ballot: Ballot, value: bytes | None, incarnation: str) -> Decision:
        """Phase 2: accept a value, unless a higher ballot has been promised.

        Args:
            key: the register's key.
            ballot: the ballot that a quorum has promised.
            value: the proposed value.
            incarnation: the incarnation that promised this ballot. The promise of a lost disk must not
                count, because the disk's other promises are lost with it.
        """
        if not self.voting or incarnation != self.incarnation:
            return ABSTAIN
        slot = self.slots.get(key, Slot())
        if ballot < slot.promised:
            return Decision(Verdict.REFUSED, slot)
        return Decision(Verdict.ACCEPTED, Slot(ballot, ballot, value))


def merge_slots(answers: list[dict[str, Slot]]) -> dict[str, Slot]:
    """Rebuild the slots of a wiped disk from those of other voters.

    Args:
        answers: slots of each voter that answered; see `Voters.is_recovery_quorum` for how many are needed.

    Returns:
        For each key the highest promised ballot, and the value accepted at the highest ballot.
    """
    result: dict[str, Slot] = {}
    for slots in answers:
        for key, slot in slots.items():
            merged_slot = result.setdefault(key, Slot())
            merged_slot.promised = max(merged_slot.promised, slot.promised)
            if slot.accepted > merged_slot.accepted:
                merged_slot.accepted = slot.accepted
                merged_slot.value = slot.value
    return result
