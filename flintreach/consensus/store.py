"""Persistent storage of an acceptor: an SQLite database with a single writer thread.

Pending writes are batched into one commit, which returns after it is synced to disk. After an error the
database is reopened, and its content is authoritative.
"""

import os
import sqlite3
import uuid
from typing import NamedTuple

import gevent
from gevent.event import AsyncResult, Event
from gevent.threadpool import ThreadPool

from flintreach.common.lifecycle import StartLog, StartStage
from flintreach.common.log import log_event
from flintreach.consensus.acceptor import Ballot, Slot

FORMAT = "1"
FILE_NAME = "cairn.db"  # named by earlier releases
MAX_WAL_BYTES = 4 << 20
LOAD_RETRY_INTERVAL_S = 0.25

# Names of facts; they are stored data and must stay compatible with earlier releases.
FORMAT_FACT = "format"
NODE_FACT = "node"
INCARNATION_FACT = "life"
VOTING_FACT = "voting"
RECORDS_COMPLETE_FACT = "books"  # whether the endpoint records on this disk are complete
RESUMED_FACT = "resumed"  # the disk was created after the first start, and resumed that one
FORCED_FACT = "forced"  # an operator forced a configuration, see `recovery.py`
YES = "1"
NO = "0"

# Table `huts` holds the endpoint records; earlier releases named it.
SCHEMA = """
create table if not exists slots (key text primary key, promised_n int, promised_by text, accepted_n int,
    accepted_by text, value blob) without rowid;
create table if not exists huts (id text primary key, row blob) without rowid;
create table if not exists facts (name text primary key, value text) without rowid;
"""
SELECT_FACTS = "select name, value from facts"
SELECT_SLOTS = "select key, promised_n, promised_by, accepted_n, accepted_by, value from slots"
SELECT_ENDPOINTS = "select id, row from huts"
UPSERT_FACT = "insert or replace into facts values (?, ?)"
UPSERT_SLOT = "insert or replace into slots values (?, ?, ?, ?, ?, ?)"
DELETE_SLOT = "delete from slots where key = ?"
UPSERT_ENDPOINT = "insert or replace into huts values (?, ?)"
DELETE_ENDPOINT = "delete from huts where id = ?"


class StoreError(Exception):
    """The content of the disk can't be used; the message gives the reason."""


def check_format(path: str, facts: dict[str, str]) -> None:
    """Check the format version of a database.

    Raises:
        StoreError: the database at `path` has another format.
    """
    if facts.get(FORMAT_FACT) != FORMAT:
        raise StoreError(f"{path}: written in format {facts.get(FORMAT_FACT)}, expected {FORMAT}")


def was_created_later(facts: dict[str, str]) -> bool:
    """Whether a disk was created after the first start, so that it may replace one that was lost."""
    return facts[VOTING_FACT] != YES or RESUMED_FACT in facts


class Write(NamedTuple):
    """A pending write; `result` is set to whether it was committed."""

    slots: dict[str, Slot | None]
    facts: dict[str, str]
    endpoint_rows: dict[str, bytes]
    result: AsyncResult


class Content(NamedTuple):
    """An open database and what it holds; see `Store` for the fields."""

    connection: sqlite3.Connection
    slots: dict[str, Slot]
    facts: dict[str, str]
    endpoint_rows: dict[str, bytes]


def read_content(connection: sqlite3.Connection) -> Content:
    """Read a whole database.

    Raises:
        sqlite3.Error: the database can't be read.
    """
    slots = {}
    for key, promised_n, promised_by, accepted_n, accepted_by, value in connection.execute(SELECT_SLOTS):
        slots[key] = Slot(Ballot(promised_n, promised_by), Ballot(accepted_n, accepted_by), value)
    facts = dict(connection.execute(SELECT_FACTS))
    endpoint_rows = dict(connection.execute(SELECT_ENDPOINTS))
    return Content(connection, slots, facts, endpoint_rows)


class Store:
    """The database of one process.

    Attributes:
        incarnation: identifies the disk's contents, see `Acceptor`.
        voting: whether the disk's answers counted at start-up, see `Acceptor`.
        slots: the register's slots at start-up, by key.
        facts: facts at start-up, by name.
        endpoint_rows: encoded endpoint records at start-up, by id.
        created_later: whether the disk was created after the first start, see `interrupted_start`.
    """

    def __init__(self, folder: str, node: str, first_run: bool) -> None:
        """Open or create the database; waits while the disk can't be used.

        Args:
            folder: folder of the database; created if it doesn't exist.
            node: name of the node that the disk belongs to.
            first_run: whether the deployment starts for the first time, so that an empty disk has lost no
                data.

        Raises:
            StoreError: the disk has another format, belongs to another node, or its content can't be read.
        """
        self.path = os.path.join(folder, FILE_NAME)
        self.node = node
        self.pool = ThreadPool(1)
        self.pending: list[Write] = []
        self.write_requested = Event()
        self.broken = False
        self.writes_succeed = True
        self.last_error = ""
        content = self.load_when_usable(first_run)
        self.connection: sqlite3.Connection = content.connection
        self.slots = content.slots
        self.facts = content.facts
        self.endpoint_rows = content.endpoint_rows
        self.incarnation = self.facts[INCARNATION_FACT]
        self.voting = self.facts[VOTING_FACT] == YES
        self.created_later = was_created_later(self.facts)
        self.writer = gevent.spawn(self.run)

    def load_when_usable(self, first_run: bool) -> "Content":
        """Load the database, and wait while the disk can't be used.

        Raises:
            StoreError: see `open`.
        """
        log = StartLog()
        while True:
            content = self.pool.apply(self.try_to_load, (first_run,))
            if isinstance(content, Content):
                return content
            if isinstance(content, StoreError):
                raise content
            log.enter(StartStage.WAITING_FOR_STORE, path=self.path, error=str(content))
            gevent.sleep(LOAD_RETRY_INTERVAL_S)

    def try_to_load(self, first_run: bool) -> "Content | Exception":
        """Load the database, or return the error. Runs on the writer thread.

        `sqlite3.OperationalError` is a disk that is full, busy or fails; other errors of the library concern
        the content.
        """
        connection: sqlite3.Connection | None = None
        try:
            os.makedirs(os.path.dirname(self.path), exist_ok=True)
            connection = self.connect()
            self.initialize(connection, first_run)
            return read_content(connection)
        except (OSError, sqlite3.OperationalError, StoreError) as error:
            failure: Exception = error
        except sqlite3.DatabaseError as error:
            failure = StoreError(f"{self.path}: {error}")
        if connection is not None:
            connection.close()
        return failure

    def connect(self) -> sqlite3.Connection:
        """Open the database file and apply the pragmas."""
        connection = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        for pragma in (
            # With an exclusive lock the WAL index is kept in heap memory instead of a shared-memory file.
            "locking_mode=EXCLUSIVE",
            "journal_mode=WAL",
            "synchronous=FULL",
            "cache_size=-1024",
            # A checkpoint runs every 500 pages; afterwards a larger WAL is truncated to MAX_WAL_BYTES.
            "wal_autocheckpoint=500",
            f"journal_size_limit={MAX_WAL_BYTES}",
        ):
            connection.execute(f"pragma {pragma}")
        return connection

    def initialize(self, connection: sqlite3.Connection, first_run: bool) -> None:
        """Initialize the database if it is empty, and check its format and owner.

        Raises:
            StoreError: the disk has another format or belongs to another node.
        """
        connection.executescript(SCHEMA)
        facts = dict(connection.execute(SELECT_FACTS))
        if not facts:
            self.create_facts(connection, first_run)
        else:
            check_format(self.path, facts)
            if facts.get(NODE_FACT) != self.node:
                raise StoreError(f"{self.path}: belongs to {facts.get(NODE_FACT)}, this is {self.node}")
        # The file's entry has to be durable; an earlier start may have ended before this.
        folder = os.open(os.path.dirname(self.path), os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def create_facts(self, connection: sqlite3.Connection, first_run: bool) -> None:
        """Write the facts of a new disk."""
        # An empty disk may vote at once only at the first start; later, an empty disk has lost its data.
        lost_nothing = YES if first_run else NO
        facts = {
            FORMAT_FACT: FORMAT,
            NODE_FACT: self.node,
            INCARNATION_FACT: uuid.uuid4().hex[:12],
            VOTING_FACT: lost_nothing,
            RECORDS_COMPLETE_FACT: lost_nothing,
        }
        connection.execute("begin immediate")
        connection.executemany("insert into facts values (?, ?)", facts.items())
        connection.execute("commit")

    def persist(
        self,
        slots: dict[str, Slot | None],
        facts: dict[str, str] | None = None,
        endpoint_rows: dict[str, bytes] | None = None,
    ) -> bool:
        """Write to disk, and wait until the write is synced.

        Args:
            slots: slots by key; None deletes one.
            facts: facts by name.
            endpoint_rows: encoded endpoint records by id; b"" deletes one.

        Returns:
            Whether the write was committed.
        """
        write = Write(slots, facts or {}, endpoint_rows or {}, AsyncResult())
        self.pending.append(write)
        self.write_requested.set()
        return write.result.get()

    def run(self) -> None:
        """Commit pending writes in batches, forever."""
        while True:
            self.write_requested.wait()
            self.write_requested.clear()
            batch = self.pending
            self.pending = []
            if not batch:
                continue
            synced = self.pool.apply(self.write, (batch,))
            self.report(synced)
            for write in batch:
                write.result.set(synced)

    def report(self, synced: bool) -> None:
        """Log that writes fail, or succeed again; once at each change."""
        if synced != self.writes_succeed:
            self.writes_succeed = synced
            log_event("store_writes", succeed=synced, error=self.last_error)

    def write(self, batch: list[Write]) -> bool:
        """Write a batch in one commit; whether that succeeded. Runs on the writer thread."""
        try:
            if self.broken:
                self.connection.close()
                self.connection = self.connect()
                self.broken = False
            self.connection.execute("begin immediate")
            for write in batch:
                self.execute(write)
            self.connection.execute("commit")
            self.last_error = ""
            return True
        except Exception as error:  # any other than sqlite3.Error would end the writer, and all would wait
            self.broken = True
            self.last_error = str(error)
            return False

    def execute(self, write: Write) -> None:
        """Execute one pending write within the open transaction."""
        slot_rows = [
            (key, *slot.promised, *slot.accepted, slot.value) for key, slot in write.slots.items() if slot
        ]
        removed_slots = [(key,) for key, slot in write.slots.items() if not slot]
        removed_endpoints = [(id,) for id, row in write.endpoint_rows.items() if not row]
        self.connection.executemany(UPSERT_SLOT, slot_rows)
        self.connection.executemany(DELETE_SLOT, removed_slots)
        self.connection.executemany(UPSERT_FACT, write.facts.items())
        self.connection.executemany(UPSERT_ENDPOINT, write.endpoint_rows.items())
        self.connection.executemany(DELETE_ENDPOINT, removed_endpoints)
