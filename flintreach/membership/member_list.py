"""What one pilot believes of all pilots, as a state machine without input or output.

After A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol": probes in turn, second opinions, suspicion before removal, news riding on probes.
Times are nanoseconds of the steady clock.
"""

import zlib
from array import array
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

MS = 1_000_000
PERIOD, DIRECT, INDIRECT, SUSPECT = 500 * MS, 250 * MS, 250 * MS, 1200 * MS
FORGET = 120_000 * MS
ALIVE, SUSPECTED, DEAD, LEFT = 0, 1, 2, 3
RIDERS, TELLS, HELPERS = 8, 4, 2  # news on a datagram; how often it is told; asked for a second opinion
BUCKETS = 32  # of names, in which two pilots compare what they believe


def bucket(name: str) -> int:
    return zlib.crc32(name.encode()) % BUCKETS


@dataclass(slots=True)
class Member:
    name: str
    role: str
    ip: str
    port: int
    zone: str
    region: str
    posts: dict[str, str] = field(default_factory=dict)
    counted: bool = False
    ready: bool = False
    life: int = 0  # a start has a higher one; a member raises its own to contradict what is said of it
    state: int = ALIVE

    @property
    def address(self) -> tuple[str, int]:
        return self.ip, self.port

    def row(self) -> list:
        return [
            self.name,
            self.role,
            self.ip,
            self.port,
            self.zone,
            self.region,
            self.posts,
            self.counted,
            self.ready,
            self.life,
            self.state,
        ]


@dataclass(slots=True)
class Probe:
    name: str
    at: int
    asked: bool = False  # others for a second opinion


class MemberList:
    """`hear` and `tick` return datagrams to send: (address, message)."""

    def __init__(self, me: Member, draw, now: int = 0):
        self.me, self.draw = me, draw  # draw(n): a number below n
        self.members: dict[str, Member] = {me.name: me}
        self.changed: dict[str, int] = {me.name: now}
        self.told: dict[str, int] = {me.name: 0}  # how often each piece of news was told
        self.turn: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.relayed: dict[int, tuple[tuple, int]] = {}  # our number -> who asked, their number
        self.number, self.next_at, self.version = 0, 0, 0
        self.summed: tuple[int, bytes] = (-1, b"")

    def alive(self, role: str | None = None) -> list[Member]:
        return [m for m in self.members.values() if m.state <= SUSPECTED and role in (None, m.role)]

    def known(self, role: str) -> int:
        """How many there were of late, dead ones too: shares must add up while a pilot is missing."""
        return sum(m.role == role and m.state != LEFT for m in self.members.values())

    def tell_of_me(self, now: int, **changes) -> None:
        """Something about this process changed: others hear of it with a higher life."""
        for name, value in changes.items():
            setattr(self.me, name, value)
        self.me.life += 1
        self.news(self.me.name, now)

    def news(self, name: str, now: int) -> None:
        self.changed[name], self.told[name] = now, 0
        self.version += 1

    def riders(self) -> list[list]:
        least = TELLS + len(self.members).bit_length()
        names = sorted((count, name) for name, count in self.told.items() if count < least)[:RIDERS]
        for count, name in names:
            self.told[name] = count + 1
        return [self.members[name].row() for _, name in names]

    def take(self, rows: list[list], now: int) -> None:
        for told in rows:
            row = Member(*told)
            if row.name == self.me.name:
                # What others say of us, or of a life of ours before this one: contradicted.
                if row.life > self.me.life or (row.life == self.me.life and row.state != self.me.state):
                    self.me.life = max(row.life, self.me.life) + 1
                    self.news(row.name, now)
                continue
            held = self.members.get(row.name)
            if held is None and row.state >= DEAD:
                continue  # another is about to forget it too: told back and forth it would stand for ever
            if held is None or (row.life, row.state) > (held.life, held.state):
                self.members[row.name] = row
                self.news(row.name, now)

    def message(self, kind: str, number: int, *rest: Any) -> list:
        return [kind, number, self.me.row(), self.riders(), *rest]

    def sums(self) -> bytes:
        """What this pilot believes of those that are there, a hash for each bucket of names.

        The dead are left out: each pilot forgets them at a time of its own.
        """
        if self.summed[0] != self.version:
            found = array("Q", bytes(8 * BUCKETS))
            for member in self.members.values():
                if member.state < DEAD:
                    said = f"{member.name} {member.life} {member.state}".encode()
                    found[bucket(member.name)] ^= int.from_bytes(blake2b(said, digest_size=8).digest(), "big")
            self.summed = self.version, found.tobytes()
        return self.summed[1]

    def join(self, addresses: list[tuple[str, int]]) -> list:
        sums = self.sums()
        return [
            (address, self.message("join", 0, sums)) for address in addresses if address != self.me.address
        ]

    def crowd(self, theirs: bytes) -> list[list]:
        """What one who believes `theirs` (see `sums`) is to be told: all of each bucket that differs.  Raises
        ValueError."""
        told, ours = array("Q"), array("Q")
        told.frombytes(theirs)
        ours.frombytes(self.sums())
        if len(told) != BUCKETS:
            raise ValueError(f"sums of {len(theirs)} bytes, expected {8 * BUCKETS}")
        return [m.row() for m in self.members.values() if told[bucket(m.name)] != ours[bucket(m.name)]]

    def hear(self, source: tuple[str, int], message: list, now: int) -> list:
        kind, number, sender, rows, *rest = message
        self.take([sender, *rows], now)
        if kind == "join":
            rows = self.crowd(*rest)
            return [
                (source, ["crowd", 0, self.me.row(), rows[at : at + RIDERS]])
                for at in range(0, len(rows), RIDERS)
            ]
        if kind == "ping":
            return [(source, self.message("ack", number))]
        if kind == "ask":
            target = self.members.get(rest[0])
            if target is None:
                return []
            self.number += 1
            self.relayed[self.number] = (source, number)
            return [(target.address, self.message("ping", self.number))]
        if kind == "ack":
            if number in self.relayed:
                address, theirs = self.relayed.pop(number)
                return [(address, self.message("ack", theirs))]
            self.probes.pop(number, None)
        return []

    def tick(self, now: int) -> list:
        """Probes that are due, second opinions, verdicts.  To be called some times a period."""
        out = []
        for number, probe in [*self.probes.items()]:
            target = self.members.get(probe.name)
            if target is None:
                del self.probes[number]
            elif not probe.asked and now >= probe.at + DIRECT:
                probe.asked = True
                others = [m for m in self.alive() if m.name not in (self.me.name, probe.name)]
                for _ in range(min(HELPERS, len(others))):
                    helper = others.pop(self.draw(len(others)))
                    out.append((helper.address, self.message("ask", number, probe.name)))
            elif now >= probe.at + DIRECT + INDIRECT:
                del self.probes[number]
                if target.state == ALIVE:
                    target.state = SUSPECTED
                    self.news(target.name, now)
        for member in [*self.members.values()]:
            since = now - self.changed[member.name]
            if member.state == SUSPECTED and since >= SUSPECT:
                member.state = DEAD
                self.news(member.name, now)
            elif member.state >= DEAD and since >= FORGET and member is not self.me:
                for table in (self.members, self.changed, self.told):
                    del table[member.name]
        if now >= self.next_at:
            self.next_at = now + PERIOD
            if len(self.relayed) > 64:
                self.relayed.clear()
            if target := self.pick():
                self.number += 1
                self.probes[self.number] = Probe(target.name, now)
                out.append((target.address, self.message("ping", self.number)))
        return out

    def pick(self) -> Member | None:
        """The next in turn; dead ones are asked too, so that what was cut apart finds together again."""
        while self.turn:
            name = self.turn.pop()
            member = self.members.get(name)
            if member and member is not self.me and member.state != LEFT:
                return member
        names = [name for name, m in self.members.items() if m is not self.me and m.state != LEFT]
        while names:
            self.turn.append(names.pop(self.draw(len(names))))
        return self.members.get(self.turn.pop()) if self.turn else None
