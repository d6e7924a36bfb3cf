"""What one process believes of all processes, as a state machine without I/O.

SWIM: each process probes the others in turn, asks a few others for a second opinion where no answer comes,
suspects before it declares dead, and piggybacks what changed on the probes' datagrams.  `FailureDetector`
runs it on a socket.  Times are nanoseconds of the steady clock.

Source: A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol" (2002).
"""

import zlib
from array import array
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum
from hashlib import blake2b
from typing import Any

MS = 1_000_000  # nanoseconds
PROBE_PERIOD_NS = 500 * MS
DIRECT_TIMEOUT_NS = 250 * MS  # for an answer to a probe, before second opinions are asked for
INDIRECT_TIMEOUT_NS = 250 * MS  # for these, before the member is suspected
SUSPICION_NS = 1200 * MS  # in which a suspected member can contradict
FORGET_AFTER_NS = 120_000 * MS  # since a member died or left
PIGGYBACKED_ROWS = 8  # changes on a datagram
MIN_DISSEMINATIONS = 4  # how often a change is sent at least; more in larger groups
INDIRECT_PROBERS = 2  # members that are asked for a second opinion
MAX_RELAYED_PROBES = 64  # other members' probes that are remembered
DIGEST_BUCKETS = 32  # of names, in which two processes compare what they believe
DIGEST_BYTES = 8 * DIGEST_BUCKETS

# Message kinds, as earlier releases sent them.
PING = "ping"
ACK = "ack"
INDIRECT_PING = "ask"  # asks for a second opinion of a member
JOIN = "join"  # carries the sender's digest
MEMBERS = "crowd"  # answers a join: rows of the buckets that differ


Address = tuple[str, int]  # IP address and port
Message = list[Any]  # [kind, number, sender's row, piggybacked rows, ...]
Datagrams = list[tuple[Address, Message]]  # what to send, and where to


class MemberState(IntEnum):
    """What is believed of a member; among beliefs in one incarnation, the higher one wins."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


ALIVE = MemberState.ALIVE
SUSPECTED = MemberState.SUSPECTED
DEAD = MemberState.DEAD
LEFT = MemberState.LEFT


def digest_bucket(name: str) -> int:
    """Give the bucket of a member's name in digests."""
    return zlib.crc32(name.encode()) % DIGEST_BUCKETS


@dataclass(slots=True)
class Member:
    """A process of the system, as one process believes it to be.

    The order of the fields is that of a row on the wire (see `row`).

    Attributes:
        name: of the process, unique.
        role: ROLE_CONTROLLER or ROLE_PROXY.
        ip: where it listens for other processes.
        port: as `ip`.
        zone: failure domain.
        region: of the zone.
        listen_addresses: its other addresses by purpose, and figures of its machine.
        counted: whether it counts as a voter's machine.
        ready: whether it serves.
        incarnation: higher with each start; a member raises its own to contradict what is said of it.
        state: a `MemberState`; a plain integer where it came over the wire.
    """

    name: str
    role: str
    ip: str
    port: int
    zone: str
    region: str
    listen_addresses: dict[str, str] = field(default_factory=dict)
    counted: bool = False
    ready: bool = False
    incarnation: int = 0
    state: int = MemberState.ALIVE

    @property
    def address(self) -> Address:
        """Where it listens for other processes."""
        return self.ip, self.port

    def row(self) -> list[Any]:
        """Give the member as it goes over the wire; `Member(*row)` is the way back."""
        return [
            self.name,
            self.role,
            self.ip,
            self.port,
            self.zone,
            self.region,
            self.listen_addresses,
            self.counted,
            self.ready,
            self.incarnation,
            self.state,
        ]


@dataclass(slots=True)
class Probe:
    """A probe that was not answered yet.

    Attributes:
        name: of the member.
        sent_ns: when it went out.
        indirect: whether others were asked for a second opinion.
    """

    name: str
    sent_ns: int
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe made for another member, who waits for the answer.

    Attributes:
        requester: where the answer goes.
        number: the requester's number of the probe.
    """

    requester: Address
    number: int


class MemberList:
    """All members that this process knows, itself among them.

    `receive`, `join` and `tick` return the datagrams to send.

    Attributes:
        local_member: this process.
        members: by name.
        version: rises with each change of what is believed.
    """

    def __init__(self, local_member: Member, draw: Callable[[int], int], now: int = 0) -> None:
        """Know no one but the process itself.

        Args:
            local_member: this process.
            draw: gives a random number below its argument.
            now: steady clock in nanoseconds.
        """
        self.local_member = local_member
        self.draw = draw
        self.members: dict[str, Member] = {local_member.name: local_member}
        self.changed_ns: dict[str, int] = {local_member.name: now}
        self.disseminations: dict[str, int] = {local_member.name: 0}  # how often a member's change was sent
        self.probe_order: list[str] = []  # names that are still to be probed in this turn, from the end
        self.probes: dict[int, Probe] = {}  # by our number
        self.relayed: dict[int, RelayedProbe] = {}  # by our number
        self.last_number = 0
        self.next_probe_ns = 0
        self.version = 0
        self.digest_version = -1  # of the list when `cached_digest` was made
        self.cached_digest = b""

    def alive(self, role: str | None = None) -> list[Member]:
        """Give the members, with this role if one is named, that are not believed dead or gone."""
        return [
            member
            for member in self.members.values()
            if member.state <= SUSPECTED and role in (None, member.role)
        ]

    def known(self, role: str) -> int:
        """Count the members of a role, dead ones of late too: shares must add up while one is missing."""
        return sum(member.role == role and member.state != LEFT for member in self.members.values())

    def update_local(self, now: int, **changes: Any) -> None:
        """Change fields of this process; others believe it by its higher incarnation.

        Args:
            now: steady clock in nanoseconds.
            **changes: new values by field of `Member`.
        """
        for name, value in changes.items():
            setattr(self.local_member, name, value)
        self.local_member.incarnation += 1
        self.note_change(self.local_member.name, now)

    def note_change(self, name: str, now: int) -> None:
        """Note that the belief about a member changed now, so that it is sent on."""
        self.changed_ns[name] = now
        self.disseminations[name] = 0
        self.version += 1

    def _piggyback(self) -> list[list[Any]]:
        """Give the rows for the next datagram: the changes that were sent least, and not often enough."""
        enough = MIN_DISSEMINATIONS + len(self.members).bit_length()
        pending = sorted((count, name) for name, count in self.disseminations.items() if count < enough)
        chosen = pending[:PIGGYBACKED_ROWS]
        for count, name in chosen:
            self.disseminations[name] = count + 1
        return [self.members[name].row() for _, name in chosen]

    def merge(self, rows: Iterable[Sequence[Any]], now: int) -> None:
        """Believe what others say where it is newer.

        Args:
            rows: of members, as `Member.row` gives them.
            now: steady clock in nanoseconds.

        Raises:
            TypeError: a row doesn't have the shape of a member.
        """
        for row in rows:
            reported = Member(*row)
            if reported.name == self.local_member.name:
                self._contradict(reported, now)
                continue
            known = self.members.get(reported.name)
            if known is None and reported.state >= DEAD:
                continue  # another is about to forget it too: sent back and forth it would stand for ever
            is_newer = known is None or (reported.incarnation, reported.state) > (
                known.incarnation,
                known.state,
            )
            if not is_newer:
                continue
            self.members[reported.name] = reported
            self.note_change(reported.name, now)

    def _contradict(self, reported: Member, now: int) -> None:
        """Raise our incarnation where others say something else of us, or of an incarnation before this."""
        local = self.local_member
        newer = reported.incarnation > local.incarnation
        differs = reported.incarnation == local.incarnation and reported.state != local.state
        if newer or differs:
            local.incarnation = max(reported.incarnation, local.incarnation) + 1
            self.note_change(local.name, now)

    def message(self, kind: str, number: int, *rest: Any) -> Message:
        """Make a message with this process's row and piggybacked changes, which count as sent."""
        return [kind, number, self.local_member.row(), self._piggyback(), *rest]

    def digest(self) -> bytes:
        """Give a hash for each bucket of names of what is believed: DIGEST_BYTES bytes.

        The dead are left out: each process forgets them at a time of its own.
        """
        if self.digest_version != self.version:
            hashes = array("Q", bytes(DIGEST_BYTES))
            for member in self.members.values():
                if member.state < DEAD:
                    belief = f"{member.name} {member.incarnation} {member.state}".encode()
                    belief_hash = int.from_bytes(blake2b(belief, digest_size=8).digest(), "big")
                    hashes[digest_bucket(member.name)] ^= belief_hash
            self.digest_version = self.version
            self.cached_digest = hashes.tobytes()
        return self.cached_digest

    def join(self, addresses: Iterable[Address]) -> Datagrams:
        """Ask these addresses for the members that this process doesn't know."""
        digest = self.digest()
        return [
            (address, self.message(JOIN, 0, digest))
            for address in addresses
            if address != self.local_member.address
        ]

    def differing_rows(self, peer_digest: bytes) -> list[list[Any]]:
        """Give all rows of each bucket that differs from a peer's digest.

        Raises:
            ValueError: the digest has another length than DIGEST_BYTES.
        """
        peer_hashes = array("Q")
        peer_hashes.frombytes(peer_digest)
        own_hashes = array("Q")
        own_hashes.frombytes(self.digest())
        if len(peer_hashes) != DIGEST_BUCKETS:
            raise ValueError(f"digest of {len(peer_digest)} bytes, expected {DIGEST_BYTES}")
        differing = {bucket for bucket in range(DIGEST_BUCKETS) if peer_hashes[bucket] != own_hashes[bucket]}
        return [member.row() for member in self.members.values() if digest_bucket(member.name) in differing]

    def receive(self, source: Address, message: Sequence[Any], now: int) -> Datagrams:
        """Take a message of another process, and give the answers.

        Args:
            source: who sent it.
            message: what was decoded from the datagram; it may be anything.
            now: steady clock in nanoseconds.

        Raises:
            TypeError, ValueError: it doesn't have the shape of a message.
        """
        kind, number, sender, rows, *rest = message
        self.merge([sender, *rows], now)
        if kind == JOIN:
            return self._on_join(source, *rest)
        if kind == PING:
            return [(source, self.message(ACK, number))]
        if kind == INDIRECT_PING:
            return self._on_indirect_ping(source, number, rest)
        if kind == ACK:
            return self._on_ack(number)
        return []

    def _on_join(self, source: Address, peer_digest: bytes) -> Datagrams:
        """Answer with the rows that differ, some to a datagram."""
        rows = self.differing_rows(peer_digest)
        return [
            (source, [MEMBERS, 0, self.local_member.row(), rows[start : start + PIGGYBACKED_ROWS]])
            for start in range(0, len(rows), PIGGYBACKED_ROWS)
        ]

    def _on_indirect_ping(self, source: Address, number: int, rest: Sequence[Any]) -> Datagrams:
        """Probe a member for another, whose second opinion this is."""
        target = self.members.get(rest[0])
        if target is None:
            return []
        self.last_number += 1
        self.relayed[self.last_number] = RelayedProbe(source, number)
        return [(target.address, self.message(PING, self.last_number))]

    def _on_ack(self, number: int) -> Datagrams:
        """Pass on the answer to another's probe, or note that to one of ours."""
        if number in self.relayed:
            relayed = self.relayed.pop(number)
            return [(relayed.requester, self.message(ACK, relayed.number))]
        self.probes.pop(number, None)
        return []

    def tick(self, now: int) -> Datagrams:
        """Do what is due: second opinions, suspicions, verdicts and the next probe.

        To be called some times a period.

        Args:
            now: steady clock in nanoseconds.
        """
        datagrams = self._check_probes(now)
        self._check_members(now)
        if now >= self.next_probe_ns:
            datagrams += self._probe_next(now)
        return datagrams

    def _check_probes(self, now: int) -> Datagrams:
        """Ask for second opinions where no answer came, and suspect where those brought none."""
        datagrams: Datagrams = []
        for number, probe in [*self.probes.items()]:
            target = self.members.get(probe.name)
            if target is None:
                del self.probes[number]
            elif not probe.indirect and now >= probe.sent_ns + DIRECT_TIMEOUT_NS:
                probe.indirect = True
                datagrams += self._ask_others(number, probe.name)
            elif now >= probe.sent_ns + DIRECT_TIMEOUT_NS + INDIRECT_TIMEOUT_NS:
                del self.probes[number]
                if target.state == ALIVE:
                    target.state = SUSPECTED
                    self.note_change(target.name, now)
        return datagrams

    def _ask_others(self, number: int, name: str) -> Datagrams:
        """Ask some members, drawn by chance, for a second opinion of the one with this name."""
        datagrams: Datagrams = []
        others = [member for member in self.alive() if member.name not in (self.local_member.name, name)]
        for _ in range(min(INDIRECT_PROBERS, len(others))):
            prober = others.pop(self.draw(len(others)))
            datagrams.append((prober.address, self.message(INDIRECT_PING, number, name)))
        return datagrams

    def _check_members(self, now: int) -> None:
        """Declare dead who was suspected for long enough, and forget who was dead or gone for long."""
        for member in [*self.members.values()]:
            unchanged_ns = now - self.changed_ns[member.name]
            if member.state == SUSPECTED and unchanged_ns >= SUSPICION_NS:
                member.state = DEAD
                self.note_change(member.name, now)
            elif member.state >= DEAD and unchanged_ns >= FORGET_AFTER_NS and member is not self.local_member:
                del self.members[member.name]
                del self.changed_ns[member.name]
                del self.disseminations[member.name]

    def _probe_next(self, now: int) -> Datagrams:
        """Begin a period: probe the next member in turn."""
        self.next_probe_ns = now + PROBE_PERIOD_NS
        if len(self.relayed) > MAX_RELAYED_PROBES:
            self.relayed.clear()
        target = self._next_target()
        if target is None:
            return []
        self.last_number += 1
        self.probes[self.last_number] = Probe(target.name, now)
        return [(target.address, self.message(PING, self.last_number))]

    def _next_target(self) -> Member | None:
        """Give the next in turn; dead ones are probed too, so that the sides of a partition meet again."""
        while self.probe_order:
            name = self.probe_order.pop()
            member = self.members.get(name)
            if member and member is not self.local_member and member.state != LEFT:
                return member
        names = [
            name
            for name, member in self.members.items()
            if member is not self.local_member and member.state != LEFT
        ]
        while names:
            self.probe_order.append(names.pop(self.draw(len(names))))
        if not self.probe_order:
            return None
        return self.members.get(self.probe_order.pop())
