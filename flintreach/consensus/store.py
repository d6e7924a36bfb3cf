"""The disk under an acceptor: an sqlite database with one writer thread.

What waits is written in one commit, and a commit returns when it is synced. After an error the file is opened
again, and what it holds is the truth.
"""

import os
import sqlite3
import uuid
from typing import NamedTuple

import gevent
from gevent.event import AsyncResult, Event
from gevent.threadpool import ThreadPool

from flintreach.consensus.acceptor import Ballot, Slot

FORMAT = "1"
FILE_NAME = "cairn.db"  # as earlier releases named it
LOG_BYTES = 4 << 20

# Names of facts, as earlier releases wrote them.
FORMAT_FACT = "format"
NODE_FACT = "node"
INCARNATION_FACT = "life"
VOTING_FACT = "voting"
RECORDS_COMPLETE_FACT = "books"  # whether the endpoint records on this disk are complete
FORCED_FACT = "forced"  # a configuration was forced by an operator, as `recovery.py` does it
YES = "1"
NO = "0"

# Table `huts` holds the endpoint records, under the name that earlier releases gave it.
SCHEMA = """
create table if not exists slots (key text primary key, promised_n int, promised_by text, accepted_n int,
    accepted_by text, value blob) without rowid;
create table if not exists huts (id text primary key, row blob) without rowid;
create table if not exists facts (name text primary key, value text) without rowid;
"""
SELECT_FACTS = "select name, value from facts"
SELECT_SLOTS = "select key, promised_n, promised_by, accepted_n, accepted_by, value from slots"
SELECT_ENDPOINTS = "select id, row from huts"
PUT_FACT = "insert or replace into facts values (?, ?)"
PUT_SLOT = "insert or replace into slots values (?, ?, ?, ?, ?, ?)"
DELETE_SLOT = "delete from slots where key = ?"
PUT_ENDPOINT = "insert or replace into huts values (?, ?)"
DELETE_ENDPOINT = "delete from huts where id = ?"


class StoreError(Exception):
    """What the disk holds can't be used; its text says why."""


def check_format(path: str, facts: dict[str, str]) -> None:
    """Refuse a database of another format.

    Raises:
        StoreError: the database at `path` is of another format.
    """
    if facts.get(FORMAT_FACT) != FORMAT:
        raise StoreError(f"{path}: written in format {facts.get(FORMAT_FACT)}, expected {FORMAT}")


class Write(NamedTuple):
    """What one caller wants on disk; `result` is set to whether it is."""

    slots: dict[str, Slot | None]
    facts: dict[str, str]
    endpoint_rows: dict[str, bytes]
    result: AsyncResult


class Store:
    """The database of one process.

    Attributes:
        incarnation: names this disk, as in `Acceptor`.
        voting: whether the disk's answers count, as in `Acceptor`, at the start.
        slots: the register at the start.
        facts: facts at the start.
        endpoint_rows: encoded endpoint records at the start, by id.
    """

    def __init__(self, folder: str, node: str, first_run: bool) -> None:
        """Open or create the database.

        Args:
            folder: where the database is; created if need be.
            node: name of the process that the disk belongs to.
            first_run: the site starts for the first time, so an empty disk has lost nothing.

        Raises:
            StoreError: the disk is of another format, or of another node.
        """
        os.makedirs(folder, exist_ok=True)
        self.path = os.path.join(folder, FILE_NAME)
        self.node = node
        self.pool = ThreadPool(1)
        self.pending: list[Write] = []
        self.work_waits = Event()
        self.broken = False
        self.connection: sqlite3.Connection = self.pool.apply(self.open, (first_run,))
        self.slots = self.read_slots()
        self.facts: dict[str, str] = dict(self.query(SELECT_FACTS))
        self.endpoint_rows: dict[str, bytes] = dict(self.query(SELECT_ENDPOINTS))
        self.incarnation = self.facts[INCARNATION_FACT]
        self.voting = self.facts[VOTING_FACT] == YES
        self.writer = gevent.spawn(self.run)

    def connect(self) -> sqlite3.Connection:
        """Open the file with its settings."""
        base = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        for pragma in (
            # The lock is ours alone, so that the index of the log stays in memory, not in a mapped file.
            "locking_mode=EXCLUSIVE",
            "journal_mode=WAL",
            "synchronous=FULL",
            "cache_size=-1024",
            # The log is folded in every so many pages, and cut down to this size when it was longer.
            "wal_autocheckpoint=500",
            f"journal_size_limit={LOG_BYTES}",
        ):
            base.execute(f"pragma {pragma}")
        return base

    def open(self, first_run: bool) -> sqlite3.Connection:
        """Open the database, create it where there is none, and check whose it is.

        Raises:
            StoreError: the disk is of another format, or of another node.
        """
        base = self.connect()
        base.executescript(SCHEMA)
        facts = dict(base.execute(SELECT_FACTS))
        if not facts:
            self.create_facts(base, first_run)
            return base
        check_format(self.path, facts)
        if facts.get(NODE_FACT) != self.node:
            raise StoreError(f"{self.path}: belongs to {facts.get(NODE_FACT)}, this is {self.node}")
        return base

    def create_facts(self, base: sqlite3.Connection, first_run: bool) -> None:
        """Write the facts of a new disk, and sync the folder that names the file."""
        # Only a first start on an empty disk may vote at once: any other empty disk has lost something.
        lost_nothing = YES if first_run else NO
        facts = {
            FORMAT_FACT: FORMAT,
            NODE_FACT: self.node,
            INCARNATION_FACT: uuid.uuid4().hex[:12],
            VOTING_FACT: lost_nothing,
            RECORDS_COMPLETE_FACT: lost_nothing,
        }
        base.execute("begin immediate")
        base.executemany("insert into facts values (?, ?)", facts.items())
        base.execute("commit")
        folder = os.open(os.path.dirname(self.path), os.O_RDONLY)
        os.fsync(folder)
        os.close(folder)

    def query(self, statement: str) -> list[tuple]:
        """All rows of a select, by way of the writer thread."""
        return self.pool.apply(lambda: self.connection.execute(statement).fetchall())

    def read_slots(self) -> dict[str, Slot]:
        """The register as it is on disk."""
        slots = {}
        for key, promised_n, promised_by, accepted_n, accepted_by, value in self.query(SELECT_SLOTS):
            slots[key] = Slot(Ballot(promised_n, promised_by), Ballot(accepted_n, accepted_by), value)
        return slots

    def persist(
        self,
        slots: dict[str, Slot | None],
        facts: dict[str, str] | None = None,
        endpoint_rows: dict[str, bytes] | None = None,
    ) -> bool:
        """Write to the disk, and wait until that is synced.

        Args:
            slots: slots by key; None removes one.
            facts: facts by name.
            endpoint_rows: encoded endpoint records by id; b"" removes one.

        Returns:
            Whether it is on disk; False when the disk refused it.
        """
        write = Write(slots, facts or {}, endpoint_rows or {}, AsyncResult())
        self.pending.append(write)
        self.work_waits.set()
        return write.result.get()

    def run(self) -> None:
        """Write what waits, for ever, all that waits in one commit."""
        while True:
            self.work_waits.wait()
            self.work_waits.clear()
            batch = self.pending
            self.pending = []
            if not batch:
                continue
            synced = self.pool.apply(self.write, (batch,))
            for write in batch:
                write.result.set(synced)

    def write(self, batch: list[Write]) -> bool:
        """Write a batch in one commit; whether the disk took it. Runs in the writer thread."""
        try:
            if self.broken:
                self.connection.close()
                self.connection = self.connect()
                self.broken = False
            self.connection.execute("begin immediate")
            for write in batch:
                self.execute(write)
            self.connection.execute("commit")
            return True
        except sqlite3.Error:
            self.broken = True
            return False

    def execute(self, write: Write) -> None:
        """Put one caller's rows into the transaction that is open."""
        slot_rows = [
            (key, *slot.promised, *slot.accepted, slot.value) for key, slot in write.slots.items() if slot
        ]
        removed_slots = [(key,) for key, slot in write.slots.items() if not slot]
        removed_endpoints = [(id,) for id, row in write.endpoint_rows.items() if not row]
        self.connection.executemany(PUT_SLOT, slot_rows)
        self.connection.executemany(DELETE_SLOT, removed_slots)
        self.connection.executemany(PUT_FACT, write.facts.items())
        self.connection.executemany(PUT_ENDPOINT, write.endpoint_rows.items())
        self.connection.executemany(DELETE_ENDPOINT, removed_endpoints)
