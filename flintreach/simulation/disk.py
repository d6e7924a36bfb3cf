"""Simulated disks, and an acceptor's store on one.

`Store` replaces `consensus.store.Store`.  Write delays, and whether a commit in progress survives a loss of
power, are drawn from the simulation's seed.
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
    was_created_later,
)
from flintreach.simulation.process import Process, Waiter
from flintreach.simulation.scheduler import NS_PER_MS, Simulation

MIN_WRITE_MS = 0.3
MAX_WRITE_MS = 4
MAX_SLOW_WRITE_MS = 400
MAX_HUNG_WRITE_MS = 4000


class DiskFault(StrEnum):
    """Injected fault of a disk; traces contain the values."""

    NONE = ""
    FULL = "full"  # rejects writes
    SLOW = "slow"
    HUNG = "hung"


class Disk:
    """Storage that persists across the processes of a machine.

    Attributes:
        fault: the current fault.
        slots: the register's slots, by key.
        facts: facts by name.
        endpoint_rows: encoded endpoint records, by id.
    """

    def __init__(self, sim: Simulation) -> None:
        """Create an empty disk without a fault."""
        self.sim = sim
        self.fault = DiskFault.NONE
        self.slots: dict[str, Slot] = {}
        self.facts: dict[str, str] = {}
        self.endpoint_rows: dict[str, bytes] = {}

    def draw_write_delay(self) -> int:
        """Draw the duration of the next commit in nanoseconds."""
        span_ms = MAX_WRITE_MS
        if self.fault == DiskFault.SLOW:
            span_ms = MAX_SLOW_WRITE_MS
        elif self.fault == DiskFault.HUNG:
            span_ms = MAX_HUNG_WRITE_MS
        return int((MIN_WRITE_MS + span_ms * self.sim.rng.random()) * NS_PER_MS)


class Write(NamedTuple):
    """A pending write; `waiter` is woken with whether it was committed."""

    slots: dict[str, Slot | None]
    facts: dict[str, str]
    endpoint_rows: dict[str, bytes]
    waiter: Waiter


class Store:
    """`consensus.store.Store` on a simulated disk.

    There is a single writer, which writes all pending requests in one atomic commit.  A commit that is in
    progress when the process ends reaches the disk or not, by a random draw.

    Attributes:
        pending: writes that wait for the next commit.
        current_batch: the commit in progress; None if there is none.
        incarnation: identifies this disk, as in `consensus.acceptor.Acceptor`.
        voting: whether the acceptor's answers counted towards a quorum at the start.
        slots: the register's slots at the start.
        facts: facts at the start.
        endpoint_rows: encoded endpoint records at the start, by id.
        created_later: whether the disk was created after the first start.
    """

    def __init__(self, process: Process, disk: Disk, node: str, first_run: bool) -> None:
        """Load the content of the disk; an empty disk is initialized first.

        Args:
            process: the process whose tasks write.
            disk: the disk to write to.
            node: name of the process's node.
            first_run: this is the first start, so an empty disk has not lost any data.
        """
        self.process = process
        self.disk = disk
        self.pending: list[Write] = []
        self.current_batch: list[Write] | None = None
        if not disk.facts:
            self.create_facts(node, first_run)
        self.slots = {key: Slot(slot.promised, slot.accepted, slot.value) for key, slot in disk.slots.items()}
        self.facts = {**disk.facts}
        self.endpoint_rows = {**disk.endpoint_rows}
        self.incarnation = self.facts[INCARNATION_FACT]
        self.voting = self.facts[VOTING_FACT] == YES
        self.created_later = was_created_later(self.facts)

    def create_facts(self, node: str, first_run: bool) -> None:
        """Write the facts of a new disk; only on the first start is it known not to have lost any data."""
        incarnation = f"{self.disk.sim.rng.getrandbits(48):012x}"
        is_complete = YES if first_run else NO
        self.disk.facts = {
            FORMAT_FACT: FORMAT,
            NODE_FACT: node,
            INCARNATION_FACT: incarnation,
            VOTING_FACT: is_complete,
            RECORDS_COMPLETE_FACT: is_complete,
        }

    def persist(
        self,
        slots: dict[str, Slot | None],
        facts: dict[str, str] | None = None,
        endpoint_rows: dict[str, bytes] | None = None,
    ) -> bool:
        """Write to the disk and wait for the sync; see `consensus.store.Store.persist`."""
        waiter = Waiter(self.process)
        # Copied, as the caller may modify the slots after this call.
        copied_slots = {
            key: slot and Slot(slot.promised, slot.accepted, slot.value) for key, slot in slots.items()
        }
        self.pending.append(Write(copied_slots, {**(facts or {})}, {**(endpoint_rows or {})}, waiter))
        if self.current_batch is None:
            self.begin_commit()
        return waiter.wait(None)

    def begin_commit(self) -> None:
        """Start a commit of all pending writes."""
        self.current_batch = self.pending
        self.pending = []
        self.disk.sim.call_after(self.disk.draw_write_delay(), self.end_commit, self.current_batch)

    def end_commit(self, batch: list[Write]) -> None:
        """Finish a commit, start the next one, and wake the callers."""
        if self.current_batch is not batch:
            return  # the process has ended, and `end` has decided the outcome of this commit
        is_committed = self.disk.fault != DiskFault.FULL
        if is_committed:
            self.apply(batch)
        self.current_batch = None
        if self.pending:
            self.begin_commit()
        for write in batch:
            self.process.dispatch(write.waiter.wake, is_committed)

    def apply(self, batch: list[Write]) -> None:
        """Apply a commit to the disk; a slot of None or an empty row deletes the entry."""
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
        """Handle the end of the process: a commit in progress may or may not have reached the disk."""
        may_survive = self.current_batch is not None and self.disk.fault != DiskFault.FULL
        if may_survive and self.disk.sim.rng.random() < 0.5:
            self.apply(self.current_batch)
        self.current_batch = None
        self.pending = []
