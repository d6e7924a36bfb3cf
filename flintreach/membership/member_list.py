"""The SWIM membership protocol as a state machine without I/O.

Each process probes the other members in turn.  If a probe is not acknowledged, it asks a few members to probe
the target indirectly; if that fails too, it suspects the member, and declares it dead after a timeout.
Membership changes are piggybacked on the probe datagrams.  `FailureDetector` runs the state machine on a UDP
socket.  Times are nanoseconds of the monotonic clock.

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
DIRECT_TIMEOUT_NS = 250 * MS  # without an acknowledgement, before indirect probes are requested
INDIRECT_TIMEOUT_NS = 250 * MS  # for indirect probes, before the member is suspected
SUSPICION_NS = 1200 * MS  # during which a suspected member can refute the suspicion
REMOVE_AFTER_NS = 120_000 * MS  # since a member died or left
PIGGYBACKED_ROWS = 8  # maximum number of changes per datagram
MIN_DISSEMINATIONS = 4  # minimum number of times a change is sent; grows with the logarithm of the group size
INDIRECT_PROBERS = 2  # members that are asked to probe indirectly
MAX_RELAYED_PROBES = 64  # pending probes on behalf of other members
DIGEST_BUCKETS = 32  # hash buckets of member names, by which two processes compare their member lists
DIGEST_BYTES = 8 * DIGEST_BUCKETS

# Message kinds on the wire; fixed for compatibility with earlier releases.
PING = "ping"
ACK = "ack"
INDIRECT_PING = "ask"  # requests an indirect probe of a member
JOIN = "join"  # carries the sender's digest
MEMBERS = "crowd"  # response to a join: rows of the buckets that differ


Address = tuple[str, int]  # IP address and port
Message = list[Any]  # [kind, sequence number, sender's row, piggybacked rows, ...]
Datagrams = list[tuple[Address, Message]]  # destinations and messages


class MemberState(IntEnum):
    """State of a member; within one incarnation, the higher state takes precedence."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2
    LEFT = 3


ALIVE = MemberState.ALIVE
SUSPECTED = MemberState.SUSPECTED
DEAD = MemberState.DEAD
LEFT = MemberState.LEFT


def digest_bucket(name: str) -> int:
    """Return the digest bucket of a member's name."""
    return zlib.crc32(name.encode()) % DIGEST_BUCKETS


@dataclass(slots=True)
class Member:
    """A process of the system, as recorded in the member list of one process.

    The order of the fields is that of a row on the wire (see `row`).

    Attributes:
        name: unique name of the process.
        role: ROLE_CONTROLLER or ROLE_PROXY.
        ip: IP address where it listens for other processes.
        port: port where it listens for other processes.
        zone: failure domain.
        region: region of the zone.
        listen_addresses: its other addresses by purpose, and properties of its machine.
        counted: whether its disk may hold a vote.
        ready: whether it serves requests.
        incarnation: increases with each start; a member increments its own to refute reports about it.
        state: a `MemberState`; a plain integer if it was received over the wire.
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
        """Address where it listens for other processes."""
        return self.ip, self.port

    def row(self) -> list[Any]:
        """Return the wire representation of the member; `Member(*row)` is the inverse."""
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
    """A probe that has not been acknowledged yet.

    Attributes:
        name: name of the probed member.
        sent_ns: time at which it was sent.
        indirect: whether indirect probes have been requested.
    """

    name: str
    sent_ns: int
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """An indirect probe on behalf of another member.

    Attributes:
        requester: address to which the acknowledgement is forwarded.
        number: the requester's sequence number for the probe.
    """

    requester: Address
    number: int


class MemberList:
    """All members known to this process, including itself.

    `receive`, `join` and `tick` return the datagrams to send.

    Attributes:
        local_member: this process.
        members: all members by name.
        version: incremented with each change of the list.
    """

    def __init__(self, local_member: Member, randrange: Callable[[int], int], now: int = 0) -> None:
        """Create a list that contains only this process.

        Args:
            local_member: this process.
            randrange: returns a random integer below its argument.
            now: monotonic clock in nanoseconds.
        """
        self.local_member = local_member
        self.randrange = randrange
        self.members: dict[str, Member] = {local_member.name: local_member}
        self.changed_ns: dict[str, int] = {local_member.name: now}
        self.disseminations: dict[str, int] = {local_member.name: 0}  # times each change was sent
        self.probe_order: list[str] = []  # names left to probe in this round, in reverse order
        self.probes: dict[int, Probe] = {}  # by local sequence number
        self.relayed_probes: dict[int, RelayedProbe] = {}  # by local sequence number
        self.last_number = 0
        self.next_probe_ns = 0
        self.version = 0
        self.digest_version = -1  # `version` for which `cached_digest` was computed
        self.cached_digest = b""

    def alive(self, role: str | None = None) -> list[Member]:
        """Return the members that are neither dead nor left, optionally only those with a given role."""
        return [
            member
            for member in self.members.values()
            if member.state <= SUSPECTED and role in (None, member.role)
        ]

    def count_known(self, role: str) -> int:
        """Count the members of a role, including recently dead ones.

        Shares must still add up while a member is missing.
        """
        return sum(member.role == role and member.state != LEFT for member in self.members.values())

    def update_local(self, now: int, **changes: Any) -> None:
        """Change fields of this process; the incremented incarnation makes other processes accept them.

        Args:
            now: monotonic clock in nanoseconds.
            **changes: new values by field of `Member`.
        """
        for name, value in changes.items():
            setattr(self.local_member, name, value)
        self.local_member.incarnation += 1
        self.record_change(self.local_member.name, now)

    def record_change(self, name: str, now: int) -> None:
        """Record that a member changed now, so that the change is disseminated."""
        self.changed_ns[name] = now
        self.disseminations[name] = 0
        self.version += 1

    def _piggyback(self) -> list[list[Any]]:
        """Return the rows for the next datagram: the changes sent least often, up to a limit per change."""
        limit = MIN_DISSEMINATIONS + len(self.members).bit_length()
        pending = sorted((count, name) for name, count in self.disseminations.items() if count < limit)
        selected = pending[:PIGGYBACKED_ROWS]
        for count, name in selected:
            self.disseminations[name] = count + 1
        return [self.members[name].row() for _, name in selected]

    def merge(self, rows: Iterable[Sequence[Any]], now: int) -> None:
        """Apply reported rows that are newer than the recorded ones.

        Args:
            rows: rows of members as returned by `Member.row`.
            now: monotonic clock in nanoseconds.

        Raises:
            TypeError: a row is malformed.
        """
        for row in rows:
            reported = Member(*row)
            if reported.name == self.local_member.name:
                self._refute(reported, now)
                continue
            known = self.members.get(reported.name)
            if known is None and reported.state >= DEAD:
                continue  # the sender is about to remove it too; accepting it would keep it circulating
            is_newer = known is None or (reported.incarnation, reported.state) > (
                known.incarnation,
                known.state,
            )
            if not is_newer:
                continue
            self.members[reported.name] = reported
            self.record_change(reported.name, now)

    def _refute(self, reported: Member, now: int) -> None:
        """Increment the local incarnation if a report about this process is newer or differs in state.

        A newer incarnation may have been reported by a previous run of this process.
        """
        local = self.local_member
        newer = reported.incarnation > local.incarnation
        differs = reported.incarnation == local.incarnation and reported.state != local.state
        if newer or differs:
            local.incarnation = max(reported.incarnation, local.incarnation) + 1
            self.record_change(local.name, now)

    def message(self, kind: str, number: int, *rest: Any) -> Message:
        """Build a message with this process's row and piggybacked changes, and count those as sent."""
        return [kind, number, self.local_member.row(), self._piggyback(), *rest]

    def digest(self) -> bytes:
        """Return one hash per bucket of names over incarnations and states; DIGEST_BYTES bytes in total.

        Dead members are excluded because each process removes them at a different time.
        """
        if self.digest_version != self.version:
            hashes = array("Q", bytes(DIGEST_BYTES))
            for member in self.members.values():
                if member.state < DEAD:
                    record = f"{member.name} {member.incarnation} {member.state}".encode()
                    record_hash = int.from_bytes(blake2b(record, digest_size=8).digest(), "big")
                    hashes[digest_bucket(member.name)] ^= record_hash
            self.digest_version = self.version
            self.cached_digest = hashes.tobytes()
        return self.cached_digest

    def join(self, addresses: Iterable[Address]) -> Datagrams:
        """Request the members that this process does not know from these addresses."""
        digest = self.digest()
        return [
            (address, self.message(JOIN, 0, digest))
            for address in addresses
            if address != self.local_member.address
        ]

    def differing_rows(self, peer_digest: bytes) -> list[list[Any]]:
        """Return all rows of each bucket that differs from a peer's digest.

        Raises:
            ValueError: the digest is not DIGEST_BYTES long.
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
        """Handle a message from another process, and return the responses.

        Args:
            source: address of the sender.
            message: the decoded datagram; not validated.
            now: monotonic clock in nanoseconds.

        Raises:
            TypeError, ValueError: the message is malformed.
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
        """Respond with the rows that differ, at most PIGGYBACKED_ROWS per datagram."""
        rows = self.differing_rows(peer_digest)
        return [
            (source, [MEMBERS, 0, self.local_member.row(), rows[start : start + PIGGYBACKED_ROWS]])
            for start in range(0, len(rows), PIGGYBACKED_ROWS)
        ]

    def _on_indirect_ping(self, source: Address, number: int, rest: Sequence[Any]) -> Datagrams:
        """Probe a member on behalf of the sender."""
        target = self.members.get(rest[0])
        if target is None:
            return []
        self.last_number += 1
        self.relayed_probes[self.last_number] = RelayedProbe(source, number)
        return [(target.address, self.message(PING, self.last_number))]

    def _on_ack(self, number: int) -> Datagrams:
        """Forward the acknowledgement of an indirect probe, or complete a probe of this process."""
        if number in self.relayed_probes:
            relayed = self.relayed_probes.pop(number)
            return [(relayed.requester, self.message(ACK, relayed.number))]
        self.probes.pop(number, None)
        return []

    def tick(self, now: int) -> Datagrams:
        """Process timeouts of probes and suspicions, and send the next probe if it is due.

        Must be called several times per probe period.

        Args:
            now: monotonic clock in nanoseconds.
        """
        datagrams = self._check_probes(now)
        self._check_members(now)
        if now >= self.next_probe_ns:
            datagrams += self._probe_next(now)
        return datagrams

    def _check_probes(self, now: int) -> Datagrams:
        """Request indirect probes on the direct timeout, and suspect the member on the indirect one."""
        datagrams: Datagrams = []
        for number, probe in [*self.probes.items()]:
            target = self.members.get(probe.name)
            if target is None:
                del self.probes[number]
            elif not probe.indirect and now >= probe.sent_ns + DIRECT_TIMEOUT_NS:
                probe.indirect = True
                datagrams += self._request_indirect_pings(number, probe.name)
            elif now >= probe.sent_ns + DIRECT_TIMEOUT_NS + INDIRECT_TIMEOUT_NS:
                del self.probes[number]
                if target.state == ALIVE:
                    target.state = SUSPECTED
                    self.record_change(target.name, now)
        return datagrams

    def _request_indirect_pings(self, number: int, name: str) -> Datagrams:
        """Ask randomly selected members to probe the member with this name."""
        datagrams: Datagrams = []
        others = [member for member in self.alive() if member.name not in (self.local_member.name, name)]
        for _ in range(min(INDIRECT_PROBERS, len(others))):
            prober = others.pop(self.randrange(len(others)))
            datagrams.append((prober.address, self.message(INDIRECT_PING, number, name)))
        return datagrams

    def _check_members(self, now: int) -> None:
        """Declare members dead when their suspicion expires, and remove those that died or left long ago."""
        for member in [*self.members.values()]:
            unchanged_ns = now - self.changed_ns[member.name]
            if member.state == SUSPECTED and unchanged_ns >= SUSPICION_NS:
                member.state = DEAD
                self.record_change(member.name, now)
            elif member.state >= DEAD and unchanged_ns >= REMOVE_AFTER_NS and member is not self.local_member:
                del self.members[member.name]
                del self.changed_ns[member.name]
                del self.disseminations[member.name]

    def _probe_next(self, now: int) -> Datagrams:
        """Start a probe period by probing the next member."""
        self.next_probe_ns = now + PROBE_PERIOD_NS
        if len(self.relayed_probes) > MAX_RELAYED_PROBES:
            self.relayed_probes.clear()
        target = self._next_target()
        if target is None:
            return []
        self.last_number += 1
        self.probes[self.last_number] = Probe(target.name, now)
        return [(target.address, self.message(PING, self.last_number))]

    def _next_target(self) -> Member | None:
        """Return the next member to probe; dead ones are included so that a healed partition is detected."""
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
            self.probe_order.append(names.pop(self.randrange(len(names))))
        if not self.probe_order:
            return None
        return self.members.get(self.probe_order.pop())
