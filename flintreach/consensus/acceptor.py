"""One disk's part in the register, as a state machine without input or output.

Each key is a register of its own in the manner of single-decree Paxos (L. Lamport, "Paxos Made Simple"),
changed in place as in D. Rystsov, "CASPaxos: Replicated State Machines without logs".  A ballot is
(round, writer), so two writers never make one.  What `prepare` and `accept` return must be on disk before
it is told to anybody.
"""

from dataclasses import dataclass

NOTHING = (0, "")


@dataclass(slots=True)
class Slot:
    """What this disk has promised and accepted of one key."""

    promised: tuple[int, str] = NOTHING
    accepted: tuple[int, str] = NOTHING
    value: bytes | None = None


class Acceptor:
    """`life` names the disk: one that came back empty is another, and what the old one promised binds it not.

    While `voting` is false the disk came back empty and does not know yet what it had promised: it answers
    nothing that counts.
    """

    def __init__(self, life: str, voting: bool, slots: dict[str, Slot] | None = None):
        self.life, self.voting, self.slots = life, voting, slots or {}

    def prepare(self, key: str, ballot: tuple[int, str]) -> tuple[str, Slot | None]:
        """("promise", the slot to keep) or ("refused", the slot as it stands) or ("mute", None)."""
        if not self.voting:
            return "mute", None
        slot = self.slots.get(key, Slot())
        if ballot <= slot.promised:
            return "refused", slot
        return "promise", Slot(ballot, slot.accepted, slot.value)

    def accept(
        self, key: str, ballot: tuple[int, str], value: bytes | None, life: str
    ) -> tuple[str, Slot | None]:
        """("accepted", the slot to keep), ("refused", the slot as it stands) or ("mute", None)."""
        # A promise given by the disk that was lost must not count: its other promises are forgotten.
        if not self.voting or life != self.life:
            return "mute", None
        slot = self.slots.get(key, Slot())
        if ballot < slot.promised:
            return "refused", slot
        return "accepted", Slot(ballot, ballot, value)


def merged(answers: list[dict[str, Slot]]) -> dict[str, Slot]:
    """Slots for a disk that came back empty, from what enough others hold (`Voters.covered`)."""
    found: dict[str, Slot] = {}
    for held in answers:
        for key, slot in held.items():
            mine = found.setdefault(key, Slot())
            mine.promised = max(mine.promised, slot.promised)
            if slot.accepted > mine.accepted:
                mine.accepted, mine.value = slot.accepted, slot.value
    return found
