"""Simulated disks, and the store of an acceptor on one.

`Store` stands in for `consensus.store.Store`.  What a write delay, a full disk or a loss of power does to
writes is drawn from the simulation's seed.
"""

from enum import StrEnum
from typing import NamedTuple

from flintreach.consensus.acceptor import Slot
from flintreach.consensus.store import (
    FORMAT,
    FORMAT_FACT,
    INCARNATION_FACT,
    NO,
    NODE_FACT,
    RECORDS_COMPLETE_FACT,
    VOTING_FACT,
    YES,
)
from flintreach.simulation.process import Process, Waiter
from flintreach.simulation.scheduler import NS_PER_MS, Simulation

MIN_WRITE_MS = 0.3
MAX_WRITE_MS = 4
MAX_SLOW_WRITE_MS = 400
MAX_HUNG_WRITE_MS = 4000


class DiskFault(StrEnum):
    """What is wrong with a disk; the words stand in traces."""

    NONE = ""
    FULL = "full"  # refuses writes
    SLOW = "slow"
    HUNG = "hung"


class Disk:
    """What outlasts a process.

    Attributes:
        fault: what is wrong with it now.
        slots: the register, by key.
        facts: facts by name.
        endpoint_rows: encoded endpoint records, by id.
    """

    def __init__(self, sim: Simulation) -> None:
        """Begin empty."""
        self.sim = sim
        self.fault = DiskFault.NONE
        self.slots: dict[str, Slot] = {}
        self.facts: dict[str, str] = {}
        self.endpoint_rows: dict[str, bytes] = {}

    def draw_write_delay(self) -> int:
        """Draw how long the next commit takes, in nanoseconds."""
        span_ms = MAX_WRITE_MS
        if self.fault == DiskFault.SLOW:
            span_ms = MAX_SLOW_WRITE_MS
        elif self.fault == DiskFault.HUNG:
            span_ms = MAX_HUNG_WRITE_MS
        return int((MIN_WRITE_MS + span_ms * self.sim.rng.random()) * NS_PER_MS)


class Write(NamedTuple):
    """What one caller wants on disk; `waiter` is woken with whether it is."""

    slots: dict[str, Slot | None]
    facts: dict[str, str]
    endpoint_rows: dict[str, bytes]
    waiter: Waiter


class Store:
    """`consensus.store.Store` on a simulated disk.

    One writer: what waits goes down in one commit, all of it or nothing.  Whether a commit that is under way
    at a loss of power is on the disk is drawn.

    Attributes:
        pending: writes that wait for the next commit.
        writing: the commit under way; None without one.
        incarnation: names this disk, as in `consensus.acceptor.Acceptor`.
        voting: whether the disk's answers count at the start.
        slots: the register at the start.
        facts: facts at the start.
        endpoint_rows: encoded endpoint records at the start, by id.
    """

    def __init__(self, process: Process, disk: Disk, node: str, first_run: bool) -> None:
        """Read what the disk holds; an empty one gets its facts first.

        Args:
            process: whose tasks write.
            disk: what it writes to.
            node: name of the process's node.
            first_run: an empty disk has lost nothing, as this is the first start.
        """
        self.process = process
        self.disk = disk
        self.pending: list[Write] = []
        self.writing: list[Write] | None = None
        if not disk.facts:
            self.create_facts(node, first_run)
        self.slots = {key: Slot(slot.promised, slot.accepted, slot.value) for key, slot in disk.slots.items()}
        self.facts = {**disk.facts}
        self.endpoint_rows = {**disk.endpoint_rows}
        self.incarnation = self.facts[INCARNATION_FACT]
        self.voting = self.facts[VOTING_FACT] == YES

    def create_facts(self, node: str, first_run: bool) -> None:
        """Write the facts of a new disk.  Only at a first start an empty disk has lost nothing."""
        incarnation = f"{self.disk.sim.rng.getrandbits(48):012x}"
        lost_nothing = YES if first_run else NO
        self.disk.facts = {
            FORMAT_FACT: FORMAT,
            NODE_FACT: node,
            INCARNATION_FACT: incarnation,
            VOTING_FACT: lost_nothing,
            RECORDS_COMPLETE_FACT: lost_nothing,
        }

    def persist(
        self,
        slots: dict[str, Slot | None],
        facts: dict[str, str] | None = None,
        endpoint_rows: dict[str, bytes] | None = None,
    ) -> bool:
        """Write to the disk, and wait until that is synced; see `consensus.store.Store.persist`."""
        waiter = Waiter(self.process)
        # As it stands now: its caller may go on changing what it handed over.
        copied_slots = {
            key: slot and Slot(slot.promised, slot.accepted, slot.value) for key, slot in slots.items()
        }
        self.pending.append(Write(copied_slots, {**(facts or {})}, {**(endpoint_rows or {})}, waiter))
        if self.writing is None:
            self.begin_commit()
        return waiter.wait(None)

    def begin_commit(self) -> None:
        """Begin to write all that waits."""
        self.writing = self.pending
        self.pending = []
        self.disk.sim.call_after(self.disk.draw_write_delay(), self.end_commit, self.writing)

    def end_commit(self, batch: list[Write]) -> None:
        """Finish a commit, begin the next, and tell the callers."""
        if self.writing is not batch:
            return  # the process ended meanwhile: `end` has drawn what became of the commit
        written = self.disk.fault != DiskFault.FULL
        if written:
            self.apply(batch)
        self.writing = None
        if self.pending:
            self.begin_commit()
        for write in batch:
            self.process.dispatch(write.waiter.wake, written)

    def apply(self, batch: list[Write]) -> None:
        """Put a commit on the disk; a slot of None and an empty row remove an entry."""
        disk = self.disk
        for write in batch:
            disk.slots |= write.slots
            for key, slot in write.slots.items():
                if slot is None:
                    del disk.slots[key]
            disk.facts |= write.facts
            disk.endpoint_rows |= write.endpoint_rows
            for endpoint_id, row in write.endpoint_rows.items():
                if not row:
                    del disk.endpoint_rows[endpoint_id]

    def end(self) -> None:
        """The process is gone: a commit under way may have reached the disk."""
        under_way = self.writing is not None and self.disk.fault != DiskFault.FULL
        if under_way and self.disk.sim.rng.random() < 0.5:
            self.apply(self.writing)
        self.writing = None
        self.pending = []
