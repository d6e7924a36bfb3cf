"""Which disks vote: a configuration of the register's acceptors, a value with an epoch. No input or output.

A change of voters goes by joint configurations: from one set to both at once, and from both to the new one.
While two sets stand, a quorum is a majority of each. An epoch is decided in the register, under the epoch
before it. Each prepare, accept and message on endpoints carries its sender's epoch; a receiver that knows a
later epoch refuses it and answers with the later one.

Source: D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), section 6.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

Address = tuple[str, int]
Member = tuple[Address, str]  # a voter's address and its disk's incarnation

VOTERS_FACT = "voters"
LEGACY_VOTERS_FACT = "circle"  # the list of voters, without epochs, that earlier releases wrote

encode = msgspec.msgpack.encode
decode = msgspec.msgpack.decode


class MemberRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A voter on the wire and on disk: an array [ip, port, incarnation]."""

    ip: str
    port: int
    incarnation: str


class VotersRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A configuration on the wire and on disk: an array [epoch, old set, new set]."""

    epoch: int
    old: list[MemberRow] = []
    new: list[MemberRow] = []


def member_rows(members: tuple[Member, ...]) -> list[MemberRow]:
    """The wire form of one set of voters."""
    return [MemberRow(ip, port, incarnation) for (ip, port), incarnation in members]


def members_of(rows: list[MemberRow]) -> tuple[Member, ...]:
    """One set of voters from its wire form."""
    return tuple(((row.ip, row.port), row.incarnation) for row in rows)


@dataclass(frozen=True, slots=True)
class Voters:
    """A configuration of voters.

    Attributes:
        epoch: number of the configuration; 0 before the first is decided.
        old: voters, each with the incarnation of its disk when it was taken in. The incarnation is "" in
            epoch 0, where the disks of the seeds decide on the first voters.
        new: the set that follows; empty while one set stands alone.
    """

    epoch: int = 0
    old: tuple[Member, ...] = ()
    new: tuple[Member, ...] = ()

    @classmethod
    def from_row(cls, row: VotersRow | list[Any]) -> "Voters":
        """A configuration from its wire form, decoded or still a plain list."""
        if not isinstance(row, VotersRow):
            row = msgspec.convert(row, VotersRow)
        return cls(row.epoch, members_of(row.old), members_of(row.new))

    def row(self) -> VotersRow:
        """The wire form."""
        return VotersRow(self.epoch, member_rows(self.old), member_rows(self.new))

    @classmethod
    def from_facts(cls, facts: dict[str, str]) -> "Voters":
        """The latest configuration on a disk, or the list that earlier releases wrote, as epoch 1."""
        if VOTERS_FACT in facts:
            return cls.from_row(decode(bytes.fromhex(facts[VOTERS_FACT])))
        legacy_list = facts.get(LEGACY_VOTERS_FACT)
        if not legacy_list:
            return cls()
        endpoints = [text.rpartition(":") for text in legacy_list.split(",")]
        return cls(1, tuple(sorted(((ip, int(port)), "") for ip, _, port in endpoints)))

    def to_facts(self) -> dict[str, str]:
        """The fact to write to a disk, as `from_facts` reads it."""
        return {VOTERS_FACT: encode(self.row()).hex()}

    @property
    def sets(self) -> list[set[Address]]:
        """One set of addresses, or two while they change."""
        return [{address for address, _ in members} for members in (self.old, self.new) if members]

    @property
    def joint(self) -> bool:
        """Whether two sets stand."""
        return bool(self.new)

    def members(self) -> list[Address]:
        """All that vote, in either set, sorted."""
        return sorted(set().union(*self.sets))

    def incarnations(self, address: Address) -> set[str]:
        """Disk incarnations recorded for an address: none where it doesn't vote."""
        return {
            incarnation
            for members in (self.old, self.new)
            for member, incarnation in members
            if member == address
        }

    def renewed(self, address: Address, incarnation: str) -> "Voters":
        """The next configuration with the same voters, one of which has another disk."""
        sets = (
            tuple((member, incarnation if member == address else recorded) for member, recorded in members)
            for members in (self.old, self.new)
        )
        return Voters(self.epoch + 1, *sets)

    def is_quorum(self, addresses: Iterable[Address]) -> bool:
        """Whether these addresses are a quorum: a majority of each set. An empty set has no quorum.

        >>> Voters(1, ((("a", 1), ""), (("b", 1), ""), (("c", 1), ""))).is_quorum({("a", 1), ("c", 1)})
        True
        """
        present = set(addresses)
        return bool(self.sets) and all(len(present & members) > len(members) // 2 for members in self.sets)

    def covered(self, address: Address, addresses: Iterable[Address]) -> bool:
        """Whether some voters know all that the lost disk of another may have promised.

        In each set that the lost disk is in, any `size - majority + 1` others have a member of every majority
        that it was part of.

        Args:
            address: the voter whose disk was lost.
            addresses: the voters that have told what they hold.
        """
        others = set(addresses) - {address}
        return all(
            len(others & members) >= min(len(members) - 1, len(members) - len(members) // 2)
            for members in self.sets
            if address in members
        )
