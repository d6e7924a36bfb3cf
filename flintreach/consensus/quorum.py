"""Which disks vote, as a value with an epoch: a configuration of the register's acceptors.  Pure.

Changed by joint configurations, as in D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus
Algorithm" (section 6): a change goes from one set to both at once, and from both to the new one.  While two
sets stand, a quorum is a majority of each.  An epoch is decided in the register, under the epoch before it;
each prepare, accept and word on endpoints carries the epoch of its sender, and one who knows a later epoch
refuses it and tells the later one.
"""

from dataclasses import dataclass
from typing import Any

import msgspec

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode
Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Voters:
    """`old` and `new`: address -> the life of its disk when it was taken in ("" in epoch 0, where the seeds'
    disks decide on the first voters); `new` is empty while one set stands alone."""

    epoch: int = 0
    old: tuple[tuple[Address, str], ...] = ()
    new: tuple[tuple[Address, str], ...] = ()

    @classmethod
    def of(cls, row: list) -> "Voters":
        epoch, *sets = row
        return cls(epoch, *(tuple(((ip, port), life) for ip, port, life in one) for one in sets))

    def row(self) -> list[Any]:
        return [self.epoch, *([[*address, life] for address, life in one] for one in (self.old, self.new))]

    @classmethod
    def kept(cls, facts: dict[str, str]) -> "Voters":
        """What a disk holds: its latest configuration, or the list that earlier texts kept, as epoch 1."""
        if "voters" in facts:
            return cls.of(UNPACK(bytes.fromhex(facts["voters"])))
        if circle := facts.get("circle"):
            rows = [place.rpartition(":") for place in circle.split(",")]
            return cls(1, tuple(sorted(((ip, int(port)), "") for ip, _, port in rows)))
        return cls()

    def fact(self) -> dict[str, str]:
        """As `kept` reads it from the disk."""
        return {"voters": PACK(self.row()).hex()}

    @property
    def sets(self) -> list[set[Address]]:
        """One set of addresses, or two while they change."""
        return [{address for address, _ in one} for one in (self.old, self.new) if one]

    @property
    def joint(self) -> bool:
        return bool(self.new)

    def members(self) -> list[Address]:
        """All that vote, in either set."""
        return sorted(set().union(*self.sets))

    def lives(self, address: Address) -> set[str]:
        """Lives recorded for an address: none where it doesn't vote."""
        return {life for one in (self.old, self.new) for who, life in one if who == address}

    def renewed(self, address: Address, life: str) -> "Voters":
        """The next configuration with the same voters, one of whose disks is another."""
        sets = (
            tuple((who, life if who == address else held) for who, held in one)
            for one in (self.old, self.new)
        )
        return Voters(self.epoch + 1, *sets)

    def met(self, heard) -> bool:
        """Whether these addresses are a quorum: a majority of each set.  Nobody is one of an empty set.

        >>> Voters(1, ((("a", 1), ""), (("b", 1), ""), (("c", 1), ""))).met({("a", 1), ("c", 1)})
        True
        """
        heard = set(heard)
        return bool(self.sets) and all(len(heard & one) > len(one) // 2 for one in self.sets)

    def covered(self, address: Address, heard) -> bool:
        """Whether these others know all that a lost disk of `address` may have promised: in each set that it
        is in, any `size - majority + 1` others have a member of every majority that it was part of."""
        heard = set(heard) - {address}
        return all(
            len(heard & one) >= min(len(one) - 1, len(one) - len(one) // 2)
            for one in self.sets
            if address in one
        )
