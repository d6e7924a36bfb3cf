"""The disk under an acceptor: sqlite3, one writer thread, what waits goes down in one commit.

A commit returns when it is synced.  On any error the file is opened again and what it holds is the truth.
"""

import os
import sqlite3
import uuid

import gevent
from gevent.event import AsyncResult, Event
from gevent.threadpool import ThreadPool

from flintreach.consensus.acceptor import Slot

FORMAT = "1"
LOG_BYTES = 4 << 20
SCHEMA = """
create table if not exists slots (key text primary key, promised_n int, promised_by text, accepted_n int,
    accepted_by text, value blob) without rowid;
create table if not exists huts (id text primary key, row blob) without rowid;
create table if not exists facts (name text primary key, value text) without rowid;
"""


class StoreError(Exception):
    """What the disk holds can't be used; its text says why."""


class Store:
    """`life` and `voting` as Acceptor has them; `slots` as they stood at the start."""

    def __init__(self, folder: str, node: str, first_run: bool):
        os.makedirs(folder, exist_ok=True)
        self.path, self.node = os.path.join(folder, "cairn.db"), node
        self.pool = ThreadPool(1)
        self.pending: list = []
        self.some, self.broken = Event(), False
        self.base = self.pool.apply(self.open, (first_run,))
        self.slots, self.facts, self.huts = self.read()
        self.life, self.voting = self.facts["life"], self.facts["voting"] == "1"
        self.writer = gevent.spawn(self.run)

    def connect(self) -> sqlite3.Connection:
        base = sqlite3.connect(self.path, isolation_level=None, check_same_thread=False)
        # The lock is ours alone, so that the index of the log stays in memory, not in a mapped file.
        for line in (
            "locking_mode=EXCLUSIVE",
            "journal_mode=WAL",
            "synchronous=FULL",
            "cache_size=-1024",
            # The log is folded in every so many pages, and cut down to this when it was longer.
            "wal_autocheckpoint=500",
            f"journal_size_limit={LOG_BYTES}",
        ):
            base.execute(f"pragma {line}")
        return base

    def open(self, first_run: bool) -> sqlite3.Connection:
        base = self.connect()
        base.executescript(SCHEMA)
        facts = dict(base.execute("select name, value from facts"))
        if not facts:
            # Only a first start on an empty disk may vote at once: any other empty disk has lost something.
            rows = {
                "format": FORMAT,
                "node": self.node,
                "life": uuid.uuid4().hex[:12],
                "voting": "1" if first_run else "0",
                "books": "1" if first_run else "0",
            }
            base.execute("begin immediate")
            base.executemany("insert into facts values (?, ?)", rows.items())
            base.execute("commit")
            folder = os.open(os.path.dirname(self.path), os.O_RDONLY)
            os.fsync(folder)
            os.close(folder)
        elif facts.get("format") != FORMAT:
            raise StoreError(f"{self.path}: written in format {facts.get('format')}, expected {FORMAT}")
        elif facts.get("node") != self.node:
            raise StoreError(f"{self.path}: belongs to {facts.get('node')}, this is {self.node}")
        return base

    def read(self):
        slots = {}
        for key, promised_n, promised_by, accepted_n, accepted_by, value in self.pool.apply(
            lambda: self.base.execute("select * from slots").fetchall()
        ):
            slots[key] = Slot((promised_n, promised_by), (accepted_n, accepted_by), value)
        facts, huts = (
            dict(self.pool.apply(lambda table=table: self.base.execute(f"select * from {table}").fetchall()))
            for table in ("facts", "huts")
        )
        return slots, facts, huts

    def keep(
        self,
        slots: dict[str, Slot | None],
        facts: dict[str, str] | None = None,
        huts: dict[str, bytes] | None = None,
    ) -> bool:
        """Whether it is on disk, once that is known; False when the disk refused it. None and b"" are
        removed."""
        result = AsyncResult()
        self.pending.append((slots, facts or {}, huts or {}, result))
        self.some.set()
        return result.get()

    def run(self) -> None:
        while True:
            self.some.wait()
            self.some.clear()
            batch, self.pending = self.pending, []
            if batch:
                good = self.pool.apply(self.write, (batch,))
                for *_, result in batch:
                    result.set(good)

    def write(self, batch) -> bool:
        try:
            if self.broken:
                self.base.close()
                self.base, self.broken = self.connect(), False
            self.base.execute("begin immediate")
            for slots, facts, huts, _ in batch:
                self.base.executemany(
                    "insert or replace into slots values (?, ?, ?, ?, ?, ?)",
                    [
                        (key, *slot.promised, *slot.accepted, slot.value)
                        for key, slot in slots.items()
                        if slot
                    ],
                )
                self.base.executemany(
                    "delete from slots where key = ?", [(key,) for key, slot in slots.items() if not slot]
                )
                self.base.executemany("insert or replace into facts values (?, ?)", facts.items())
                self.base.executemany("insert or replace into huts values (?, ?)", huts.items())
                self.base.executemany("delete from huts where id = ?", [(id,) for id in huts if not huts[id]])
            self.base.execute("commit")
            return True
        except sqlite3.Error:
            self.broken = True
            return False
