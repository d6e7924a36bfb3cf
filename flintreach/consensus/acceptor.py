"""One disk's acceptor, as a state machine without input or output.

Each key is a register of its own. `register.py` carries requests to the acceptor and writes what it returns
to the disk: a promise or an acceptance must be on disk before anybody is told of it.

Source: L. Lamport, "Paxos Made Simple" (2001); D. Rystsov, "CASPaxos: Replicated State Machines without
logs" (2018), for the change of a value in place.
"""

from enum import StrEnum
from typing import NamedTuple

import msgspec


class Ballot(NamedTuple):
    """A proposal number. The writer is part of it, so two writers never make the same one."""

    round: int
    writer: str


NO_BALLOT = Ballot(0, "")  # below every ballot that is proposed


class Slot(msgspec.Struct, array_like=True):
    """What this disk has promised and accepted of one key.

    On the wire an array [promised, accepted, value], each ballot an array [round, writer].
    """

    promised: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: bytes | None = None


class Verdict(StrEnum):
    """What an acceptor makes of a request; the words are on the wire as earlier releases wrote them."""

    PROMISE = "promise"
    ACCEPTED = "accepted"
    REFUSED = "refused"  # a higher ballot was promised
    MUTE = "mute"  # an answer that counts for nothing


class Decision(NamedTuple):
    """An acceptor's verdict with a slot.

    The slot is the one to write to disk for `PROMISE` and `ACCEPTED`, the one that stands for `REFUSED`, and
    None for `MUTE`.
    """

    verdict: Verdict
    slot: Slot | None


MUTE = Decision(Verdict.MUTE, None)


class Acceptor:
    """The slots of one disk, and whether its answers count.

    Attributes:
        incarnation: names the disk. A disk that came back empty is another incarnation, and isn't bound by
            what the lost one promised.
        voting: false while a disk that came back empty doesn't know yet what it had promised: it answers
            nothing that counts.
        slots: key -> slot, as on the disk.
    """

    def __init__(self, incarnation: str, voting: bool, slots: dict[str, Slot] | None = None) -> None:
        self.incarnation = incarnation
        self.voting = voting
        self.slots: dict[str, Slot] = slots or {}

    def prepare(self, key: str, ballot: Ballot) -> Decision:
        """Promise to accept nothing of a key below a ballot, unless a ballot as high was promised."""
        if not self.voting:
            return MUTE
        slot = self.slots.get(key, Slot())
        if ballot <= slot.promised:
            return Decision(Verdict.REFUSED, slot)
        return Decision(Verdict.PROMISE, Slot(ballot, slot.accepted, slot.value))

    def accept(self, key: str, ballot: Ballot, value: bytes | None, incarnation: str) -> Decision:
        """Accept a value of a key, unless a higher ballot was promised.

        Args:
            key: the register's key.
            ballot: the proposal that a quorum has promised.
            value: the proposed value.
            incarnation: the disk that gave the promise for this ballot. A promise by a disk that was lost
                must not count, because its other promises are forgotten.
        """
        if not self.voting or incarnation != self.incarnation:
            return MUTE
        slot = self.slots.get(key, Slot())
        if ballot < slot.promised:
            return Decision(Verdict.REFUSED, slot)
        return Decision(Verdict.ACCEPTED, Slot(ballot, ballot, value))


def merged(answers: list[dict[str, Slot]]) -> dict[str, Slot]:
    """Merge slots of other disks into slots for a disk that came back empty.

    Args:
        answers: the slots of each disk that answered; `Voters.covered` tells whether they are enough.

    Returns:
        For each key the highest promise, and the value that was accepted with the highest ballot.
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
