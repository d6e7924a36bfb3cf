"""Endpoints at a refuge: their calls, who must know of them before they are answered, verdicts, the disk.

Three facts about an endpoint outlive any loss within bounds: that it signed in, that it leaves, that it has
ended.  A call that tells one is answered well only when the disks of a quorum of the voters hold it; a record
notes what a quorum is known to hold (`durable`), by answers to this process alone.
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from flintreach.dissemination.versioned_store import MOST_ROWS, STALE_BOARD
from flintreach.endpoints.registry import (
    ENDS,
    GONE,
    MISSING,
    READY,
    SECOND,
    EndpointRecord,
    EndpointRegistry,
    Heartbeat,
)
from flintreach.transport.runtime import Task

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode
ACK_S = 0.85  # callers move on after a second
ALONE_S = 1.2  # without a word from a majority, a refuge takes no beats
COLLECT_S = 0.5  # for the books of a quorum: machines without power are not waited for
LOOK_S = 0.25
COMPLETE = "books"  # fact on disk: "1" once it holds what a quorum held when it was empty


class EndpointService:
    """`plane` has what they share with the register and the news: see `plane.ControlPlane`."""

    def __init__(self, plane, report_ms: float):
        self.plane, self.runtime, self.store = plane, plane.runtime, plane.store
        self.registry = EndpointRegistry(report_ms)
        self.blind = self.behind = False  # out of touch of late; for so long that tombstones were missed
        now = self.runtime.now_ns()
        for row in self.store.endpoint_rows.values() if self.store else ():
            record = EndpointRecord.of(UNPACK(row), now)
            record.kept = record.rank
            self.registry.join(record, now)
        # A disk that came back empty may lack what it had told others that it holds.
        told = self.store.facts.get(COMPLETE, "1" if self.store.voting else "0") if self.store else "0"
        self.complete = told == "1"
        self.on_disk: set[str] = {*self.store.endpoint_rows} if self.store else set()
        plane.peer_pool.handlers |= {"beat": self.on_beat, "leave": self.on_leave, "book": self.on_book}

    # What is told to others and kept on this disk.

    def offer(self, ids: Iterable[str]) -> bool:
        """Tell what is new of some endpoints, and whether it is on this disk."""
        now, known = self.runtime.now_ns(), [id for id in ids if id in self.registry.records]
        for id in known:
            record = self.registry.records[id]
            self.plane.updates.offer(
                f"hut/{id}",
                record.version,
                record.told(now),
                (now - record.over_at) / SECOND if record.state == GONE else 0.0,
            )
        return self.write(known)

    def write(self, ids: list[str], facts: dict[str, str] | None = None) -> bool:
        """Whether this disk holds some records as they are now."""
        if self.store is None:
            return False
        now, records = self.runtime.now_ns(), [self.registry.records[id] for id in ids]
        ranks = [record.rank for record in records]
        rows = {record.id: PACK(record.row(now)) for record in records}
        self.on_disk |= rows.keys()
        if (rows or facts) and not self.store.keep({}, facts, rows):
            return False
        for record, rank in zip(records, ranks):
            record.kept = max(record.kept, rank)
        return True

    def hold(self, id: str, rank: int) -> bool:
        """Whether this disk holds that an endpoint is at least at a rank."""
        record = self.registry.records.get(id)
        return record is not None and (record.kept >= rank or self.write([id]) and record.kept >= rank)

    # What a quorum of the voters holds.

    def settle(self, id: str, rank: int, kind: str, body: Any, kept: Task) -> bool:
        """Whether the disks of a quorum hold that an endpoint is at least at a rank.  `kept`: what is being
        written here of it."""
        record = self.registry.records[id]
        if record.durable >= rank:
            return True
        answers = self.plane.register.poll(
            kind, body, ACK_S, local_answer=lambda: (kept.result(ACK_S), self.hold(id, rank) or None)[1]
        )
        if answers is None:
            return False
        record.durable = max(record.durable, rank)
        return True

    def spread(self, kind: str, body: list, others: Iterable[tuple[str, int]]) -> None:
        for address in sorted(others):  # in one order wherever it is played
            self.runtime.spawn(self.plane.peer_pool.ask, address, kind, [None, *body], 1.0)

    # Calls.

    def beat(self, id: str, beat: Heartbeat) -> bool:
        # Alone this refuge must not keep endpoints to itself: the others would call them silent.
        if self.plane.news_age() > ALONE_S:
            return False
        kept = self.runtime.spawn(self.offer, self.registry.hear(id, beat, self.runtime.now_ns()))
        record, body = self.registry.records[id], [id, msgspec.to_builtins(beat)]
        if record.rank == ENDS:
            return self.leave(id)  # a late call: acknowledged once nothing can bring it back
        if record.durable >= beat.rank:
            self.spread("beat", body, self.plane.peers())
            return True
        self.spread("beat", body, {*self.plane.peers()} - {*self.plane.group})
        return self.settle(id, beat.rank, "beat", body, kept)

    def leave(self, id: str) -> bool:
        kept = self.runtime.spawn(self.offer, self.registry.leave(id, self.runtime.now_ns()))
        self.spread("leave", [id], {*self.plane.peers()} - {*self.plane.group})
        return self.settle(id, ENDS, "leave", [id], kept)

    # Other refuges' words: [epoch of the voters, or None where no answer is counted, ...].

    def other_epoch(self, epoch: int | None) -> list | None:
        return None if epoch is None else self.plane.register.check(epoch)

    def answer(self, epoch: int | None, id: str, rank: int, ids: list[str]) -> bool | None:
        self.offer(ids)
        if epoch is None or not self.plane.register.votes():
            return None
        return self.hold(id, rank) or None

    def on_beat(self, link, body):
        epoch, id, told = body
        if (later := self.other_epoch(epoch)) is not None:
            return later
        beat = msgspec.convert(told, Heartbeat)
        return self.answer(epoch, id, beat.rank, self.registry.hear(id, beat, self.runtime.now_ns()))

    def on_leave(self, link, body):
        epoch, id = body
        if (later := self.other_epoch(epoch)) is not None:
            return later
        return self.answer(epoch, id, ENDS, self.registry.leave(id, self.runtime.now_ns()))

    def on_book(self, link, body):
        """A portion of what this refuge knows of endpoints: [rows, the id to go on behind ("": that was all),
        whether it is at work]; None from one whose disk may lack what it once held."""
        epoch, after = body
        if (later := self.other_epoch(epoch)) is not None:
            return later
        if not self.plane.register.votes() or not self.complete:
            return None
        now = self.runtime.now_ns()
        ids = sorted(id for id in self.registry.records if id > after)[:MOST_ROWS]
        return [
            [self.registry.records[id].row(now) for id in ids],
            ids[-1] if len(ids) == MOST_ROWS else "",
            self.plane.news_age() <= ALONE_S,
        ]

    # What others know.

    def ask_book(self, address: tuple[str, int], kind: str, body: list, timeout: float):
        """All rows of a voter's book and whether it is at work, or its answer to another epoch, or None."""
        (epoch, after), until, rows = body, self.runtime.now() + timeout, []
        while (left := until - self.runtime.now()) > 0:
            answer = self.plane.peer_pool.ask(address, kind, [epoch, after], left)
            if not isinstance(answer, list) or len(answer) != 3:
                return answer
            part, after, at_work = answer
            rows += part
            if not after:
                return [rows, at_work]
        return None

    def collect(self, timeout: float = COLLECT_S) -> bool:
        """Take in the books of a quorum of the voters; whether all of it is on this disk.

        At a start, and whenever this disk comes to vote: a fact that was acknowledged before must be on a
        quorum of those that vote now.
        """
        answers = self.plane.register.poll(
            "book", [""], timeout, self.ask_book, lambda: [[], False] if self.complete else None
        )
        if answers is None:
            return False
        now, at_work = self.runtime.now_ns(), set()
        for rows, works in answers.values():
            for row in rows:
                self.registry.join(EndpointRecord.of(row, now), now)
            at_work |= {row[0] for row in rows} if works else set()
        if any(works for _, works in answers.values()) and (self.behind or not self.plane.serving):
            # What those who were at work all the while have forgotten may only be an old disk's: if such a
            # one lives, its next beat brings it back.
            for id in sorted(self.registry.records.keys() - at_work):
                if self.registry.records[id].state == READY:
                    self.registry.judge(self.registry.records[id], MISSING, now)
        self.offer([record.id for record in self.registry.records.values() if self.differs(record)])
        lacking = [id for id, record in self.registry.records.items() if record.kept < record.rank]
        if self.store is not None:
            if (lacking or not self.complete) and not self.write(lacking, {COMPLETE: "1"}):
                return False
            self.complete = True
        return True

    def differs(self, record: EndpointRecord) -> bool:
        """Whether others are told something else of an endpoint than what is known here."""
        told = self.plane.updates.get(f"hut/{record.id}")
        return told is None or any(told[name] != value for name, value in record.facts().items())

    def begin(self) -> bool:
        """Before others may call: whether what a quorum knows of endpoints is known here."""
        if not self.collect():
            return False
        self.registry.excuse(self.runtime.now_ns())
        return True

    def heard_of(self, id: str, version: list[int], value: dict, age: float = 0.0) -> None:
        """News of another refuge.  Where this one knows better, it says so: its beats may be later than a
        verdict of one that hears nothing, and were no news before."""
        now = self.runtime.now_ns()
        self.registry.join(EndpointRecord.of_news(id, version, value, now, int(age * SECOND)), now)
        record = self.registry.records.get(id)
        if record is not None and record.facts() != {name: value[name] for name in record.facts()}:
            self.offer([id])

    def look(self) -> None:
        looked = self.runtime.now()
        while True:
            self.runtime.sleep(LOOK_S)
            slept, looked = self.runtime.now() - looked, self.runtime.now()
            self.turn(max(slept - LOOK_S, self.plane.contact_age()))
            self.plane.forget_left()

    def turn(self, deaf: float) -> None:
        """Verdicts on others, by one who was in touch until `deaf` seconds ago."""
        now = self.runtime.now_ns()
        if deaf > ALONE_S:
            self.blind = True  # beats went elsewhere, or lie unread: its silence is not theirs
            self.behind |= self.plane.serving and deaf > STALE_BOARD
        elif self.behind:
            # Others may have forgotten tombstones that it never saw: it starts anew, from their books.
            if self.collect():
                self.behind = False
        elif self.blind:
            self.blind = False
            self.registry.excuse(now)
        else:
            self.offer(self.registry.tick(now))
        old = dict.fromkeys(self.on_disk - self.registry.records.keys(), b"")
        if old and self.store and self.store.keep({}, None, old):
            self.on_disk -= old.keys() - self.registry.records.keys()  # it may have come back meanwhile

    def ended(self, id: str) -> bool:
        """Whether an endpoint has signed off, within the time that this is remembered."""
        record = self.registry.records.get(id)
        return record is not None and record.rank == ENDS
