"""Voter configurations of the register, each identified by its epoch; no I/O.

Voters change by joint consensus: from the old set to a joint configuration of the old and the new set, and
from there to the new set. In a joint configuration a quorum is a majority of each set. Each epoch is decided
in the register under the epoch before it. Prepare, accept and endpoint messages carry the sender's epoch; a
receiver in a later epoch rejects them and answers with its configuration.

Source: D. Ongaro, J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014), section 6.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

Address = tuple[str, int]
Member = tuple[Address, str]  # a voter's address and the incarnation of its disk

VOTERS_FACT = "voters"
LEGACY_VOTERS_FACT = "circle"  # list of voters without an epoch, as earlier releases stored it

encode = msgspec.msgpack.encode
decode = msgspec.msgpack.decode


class MemberRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Encoded voter, an array [ip, port, incarnation]."""

    ip: str
    port: int
    incarnation: str


class VotersRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Encoded configuration, an array [epoch, old set, new set]."""

    epoch: int
    old: list[MemberRow] = []
    new: list[MemberRow] = []


def member_rows(members: tuple[Member, ...]) -> list[MemberRow]:
    """Encode one set of voters."""
    return [MemberRow(ip, port, incarnation) for (ip, port), incarnation in members]


def members_from_rows(rows: list[MemberRow]) -> tuple[Member, ...]:
    """Decode one set of voters."""
    return tuple(((row.ip, row.port), row.incarnation) for row in rows)


@dataclass(frozen=True, slots=True)
class Voters:
    """A voter configuration.

    Attributes:
        epoch: number of the configuration; 0 until the first one is decided.
        old: the current voters, each with the incarnation of its disk at the time it was added. The
            incarnation is "" in epoch 0, in which the seeds' disks decide on the first voters.
        new: the next set of voters in a joint configuration, otherwise empty.
    """

    epoch: int = 0
    old: tuple[Member, ...] = ()
    new: tuple[Member, ...] = ()

    @classmethod
    def from_row(cls, row: VotersRow | list[Any]) -> "Voters":
        """Create a configuration from its row, given as a struct or as a plain list."""
        if not isinstance(row, VotersRow):
            row = msgspec.convert(row, VotersRow)
        return cls(row.epoch, members_from_rows(row.old), members_from_rows(row.new))

    def row(self) -> VotersRow:
        """The row that encodes this configuration."""
        return VotersRow(self.epoch, member_rows(self.old), member_rows(self.new))

    @classmethod
    def from_facts(cls, facts: dict[str, str]) -> "Voters":
        """Read the configuration stored on a disk; a list stored by an earlier release becomes epoch 1."""
        if VOTERS_FACT in facts:
            return cls.from_row(decode(bytes.fromhex(facts[VOTERS_FACT])))
        legacy_list = facts.get(LEGACY_VOTERS_FACT)
        if not legacy_list:
            return cls()
        endpoints = [text.rpartition(":") for text in legacy_list.split(",")]
        return cls(1, tuple(sorted(((ip, int(port)), "") for ip, _, port in endpoints)))

    def to_facts(self) -> dict[str, str]:
        """The fact to store on a disk, in the format that `from_facts` reads."""
        return {VOTERS_FACT: encode(self.row()).hex()}

    @property
    def sets(self) -> list[set[Address]]:
        """Addresses of each set of voters: two sets in a joint configuration, otherwise one."""
        return [{address for address, _ in members} for members in (self.old, self.new) if members]

    @property
    def joint(self) -> bool:
        """Whether this is a joint configuration."""
        return bool(self.new)

    def members(self) -> list[Address]:
        """Sorted addresses of the voters of all sets."""
        return sorted(set().union(*self.sets))

    def incarnations(self, address: Address) -> set[str]:
        """Disk incarnations recorded for an address; empty if it is not a voter."""
        return {
            incarnation
            for members in (self.old, self.new)
            for member, incarnation in members
            if member == address
        }

    def with_incarnation(self, address: Address, incarnation: str) -> "Voters":
        """The next configuration, with the same voters and a new disk incarnation for one of them."""
        sets = (
            tuple((member, incarnation if member == address else recorded) for member, recorded in members)
            for members in (self.old, self.new)
        )
        return Voters(self.epoch + 1, *sets)

    def is_quorum(self, addresses: Iterable[Address]) -> bool:
        """Whether the addresses contain a majority of each set. Without voters there is no quorum.

        >>> Voters(1, ((("a", 1), ""), (("b", 1), ""), (("c", 1), ""))).is_quorum({("a", 1), ("c", 1)})
        True
        """
        present = set(addresses)
        return bool(self.sets) and all(len(present & members) > len(members) // 2 for members in self.sets)

    def is_recovery_quorum(self, address: Address, addresses: Iterable[Address]) -> bool:
        """Whether these voters together know everything that a lost disk may have promised or accepted.

        In each set with the lost disk, any `size - majority + 1` other voters intersect every majority that
        the lost disk was part of.

        Args:
            address: the voter whose disk was lost.
            addresses: the voters that have reported their slots.
        """
        others = set(addresses) - {address}
        return all(
            len(others & members) >= min(len(members) - 1, len(members) - len(members) // 2)
            for members in self.sets
            if address in members
        )
