"""Single-threaded model of a cluster of registers: messages are calls, and sleeping advances the clock."""

import contextlib
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec

from flintreach.consensus.acceptor import Slot
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.reconfiguration import Reconfiguration
from flintreach.consensus.register import Register
from flintreach.consensus.voter_selection import VoterCandidate, joint_configuration

encode = msgspec.msgpack.encode
decode = msgspec.msgpack.decode

MAX_TIME_S = 100.0


def address_of(name: str) -> Address:
    """The address of a process, given its one-letter name."""
    return f"10.0.0.{ord(name) - 96}", 7


def voters_of(epoch: int, old: str, new: str = "") -> Voters:
    """A configuration in which each process has its first disk."""
    return Voters(epoch, *(tuple((address_of(name), f"{name}0") for name in names) for names in (old, new)))


def disks_of(text: str) -> list[VoterCandidate]:
    """Parse disks such as "a:x b:y- c:z+ d:x~": name and zone; "-" dead, "~" leaving, "+" caught up."""
    disks = []
    for word in text.split():
        name, rest = word.split(":")
        zone = rest[0]
        disks.append(
            VoterCandidate(
                address_of(name), zone, zone, f"{name}0", "-" not in rest, "~" in rest, "+" in rest
            )
        )
    return disks


class ProcessDied(Exception):
    """The process that sends the request has died."""


class FakeRuntime:
    """Runtime without concurrency, whose clock advances only by sleeping."""

    def __init__(self) -> None:
        self.time_s = 0.0
        self.rng = SimpleNamespace(uniform=lambda low, high: low)

    def now(self) -> float:
        return self.time_s

    def sleep(self, seconds: float) -> None:
        self.time_s += seconds
        assert self.time_s < MAX_TIME_S, f"still waiting after {MAX_TIME_S} s of simulated time"

    def lock(self) -> contextlib.AbstractContextManager:
        return contextlib.nullcontext()

    def run_all(self, calls: list[Callable[[], Any]], timeout: float) -> None:
        for call in calls:
            call()


class FakePeerPool:
    """Delivers the requests of one process to the others of a cluster."""

    def __init__(self, cluster: "Cluster", address: Address) -> None:
        self.cluster = cluster
        self.address = address
        self.runtime = cluster.runtime
        self.handlers: dict[str, Callable] = {}

    def ask(self, address: Address, kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        cluster = self.cluster
        if self.address == cluster.dying:
            if not cluster.requests_before_death:
                raise ProcessDied
            cluster.requests_before_death -= 1
        if {address, self.address} & cluster.down or address not in cluster.peer_pools:
            return None
        handler = cluster.peer_pools[address].handlers.get(kind)
        answer = handler(None, decode(encode(body))) if handler else None
        return decode(encode(answer))

    def gather(
        self,
        addresses: list[Address],
        kind: str,
        body: Any,
        enough: Callable[[list], bool],
        timeout: float = 1.0,
        ask: Callable | None = None,
    ) -> list[tuple[Address, Any]]:
        answers: list[tuple[Address, Any]] = []
        for address in addresses:
            request = body(address) if callable(body) else body
            answer = (ask or self.ask)(address, kind, request, timeout)
            if answer is not None:
                answers.append((address, answer))
            if enough(answers):
                break
        return answers


class InMemoryStore:
    """In-memory stand-in for `Store`; `during_next_write` is called once, during the next write."""

    def __init__(self, incarnation: str, voting: bool = True) -> None:
        self.incarnation = incarnation
        self.voting = voting
        self.slots: dict[str, Slot] = {}
        self.facts: dict[str, str] = {}
        self.during_next_write: Callable[[], Any] | None = None

    def persist(
        self,
        slots: dict[str, Slot | None],
        facts: dict[str, str] | None = None,
        endpoint_rows: dict[str, bytes] | None = None,
    ) -> bool:
        if self.during_next_write:
            during_write = self.during_next_write
            self.during_next_write = None
            during_write()
        self.facts.update(facts or {})
        return True


class Cluster:
    """A cluster of processes, each with a register and its reconfiguration, by name.

    Attributes:
        down: addresses of processes that neither send nor receive.
        dying: address of the process that dies after `requests_before_death` more requests.
        collected: names of the processes that collected endpoint records, in order.
    """

    def __init__(self, names: str, start: str) -> None:
        self.runtime = FakeRuntime()
        self.peer_pools: dict[Address, FakePeerPool] = {}
        self.down: set[Address] = set()
        self.dying: Address | None = None
        self.requests_before_death = 0
        self.registers: dict[str, Register] = {}
        self.reconfigurations: dict[str, Reconfiguration] = {}
        self.collected: list[str] = []
        for name in names:
            self.join(name, voters_of(1, start), name in start)

    def join(self, name: str, voters: Voters, voting: bool, disk_number: int = 0) -> Register:
        """Start a process with an empty disk."""
        peer_pool = FakePeerPool(self, address_of(name))
        self.peer_pools[address_of(name)] = peer_pool
        register = Register(peer_pool, voters, InMemoryStore(f"{name}{disk_number}", voting))
        self.registers[name] = register
        self.reconfigurations[name] = Reconfiguration(register, lambda: self.collect(name))
        return register

    def collect(self, name: str) -> bool:
        """Record that a process collected endpoint records, which always succeeds."""
        self.collected.append(name)
        return True

    def replace_voter(self, by: str, out: str, into: str) -> bool:
        """Replace one voter by another, proposed by process `by`; whether that completed."""
        register = self.registers[by]
        reconfiguration = self.reconfigurations[by]
        spare = VoterCandidate(address_of(into), "z", "r", self.registers[into].store.incarnation)
        proposed = joint_configuration(register.voters, address_of(out), spare)
        return reconfiguration.propose(proposed) and reconfiguration.leave_joint()

    def put(self, by: str, key: str, value: bytes) -> bool:
        """Write a key from process `by`; whether the write is known to have succeeded."""
        return self.registers[by].change(key, lambda old: value, 0.5).done
