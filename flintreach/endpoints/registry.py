"""Endpoints as a refuge knows them from their beats; a state machine without input or output.

What is known of one life of an endpoint is its version: [rank, call_seq, phase], compared as it stands.
The rank is what it has said of leaving, and never falls, whatever comes late or by another way; call_seq is
its own count of its calls; the phase is a verdict of refuges on its silence, taken back by its next beat.
Records of one id are joined field by field, so refuges that heard the same in any order know the same.

Times are nanoseconds of the steady clock of this process.
"""

from dataclasses import dataclass
from typing import Any

import msgspec

from flintreach.dissemination.versioned_store import TOMBSTONE_HORIZON_S

MS, SECOND = 1_000_000, 1_000_000_000
READY, CLOSING, SILENT, GONE = "ready", "closing", "silent", "gone"
SERVES, CLOSES, ENDS = 0, 1, 2  # ranks
HEARD, MISSING, LOST = 0, 1, 2  # phases
MISSED_BEATS, LOST_BEATS = 2.7, 12  # report times without a beat, for these verdicts


class Heartbeat(msgspec.Struct):
    """A beat as the wire has it.  `cold_left_ms` counts from its arrival."""

    line: str
    addr: str
    zone: str
    berths: int
    state: str
    call_seq: int
    edition: str = ""
    cold_left_ms: float = 0

    @property
    def rank(self) -> int:
        return CLOSES if self.state == "closing" else SERVES


@dataclass(slots=True)
class EndpointRecord:
    """One life of an endpoint; `cold_until` by this process's clock, 0 when warm.

    `kept`, `durable`: the highest rank that this process's disk, and the disks of a quorum, surely hold; -1:
    none.  Neither is told to others: they are what this process was answered itself.
    """

    id: str
    line: str = ""
    addr: str = ""
    zone: str = ""
    berths: int = 0
    edition: str = ""
    rank: int = SERVES
    seq: int = 0
    phase: int = HEARD
    heard: int | None = None  # when its last beat came; None where only its end is known
    cold_until: int = 0
    over_at: int | None = None  # when it was first known to be gone
    kept: int = -1
    durable: int = -1

    @property
    def state(self) -> str:
        if self.rank == ENDS or self.phase == LOST:
            return GONE
        return CLOSING if self.rank == CLOSES else SILENT if self.phase == MISSING else READY

    @property
    def version(self) -> list[int]:
        return [self.rank, self.seq, self.phase]

    def told(self, now: int) -> dict[str, Any]:
        return self.facts() | {"cold": max(0, self.cold_until - now) // MS}

    def facts(self) -> dict[str, Any]:
        """What is news when it changes."""
        return {
            "line": self.line,
            "addr": self.addr,
            "zone": self.zone,
            "berths": self.berths,
            "edition": self.edition,
            "state": self.state,
        }

    def row(self, now: int) -> list:
        """As it is kept on disk and told to other refuges."""
        return [
            self.id,
            self.line,
            self.addr,
            self.zone,
            self.berths,
            self.edition,
            self.state,
            self.seq,
            self.phase,
            max(0, self.cold_until - now),
            self.rank,
            max(0, now - (self.over_at or 0)),
        ]

    @classmethod
    def of(cls, row: list, now: int) -> "EndpointRecord":
        id, line, addr, zone, berths, edition, state, seq, phase, cold, *later = row
        # Disks of earlier texts tell the rank by the state alone.
        rank, over = later or ({CLOSING: CLOSES, GONE: ENDS}.get(state, SERVES), 0)
        phase = min(phase, LOST)
        return cls(
            id,
            line,
            addr,
            zone,
            berths,
            edition,
            rank,
            seq,
            phase,
            now,
            now + cold if cold else 0,
            now - over,
        )

    @classmethod
    def of_news(
        cls, id: str, version: list[int], told: dict[str, Any], now: int, age: int
    ) -> "EndpointRecord":
        rank, seq, phase = version
        return cls(
            id,
            told["line"],
            told["addr"],
            told["zone"],
            told["berths"],
            told["edition"],
            rank,
            seq,
            phase,
            now,
            now + told["cold"] * MS if told["cold"] else 0,
            now - age,
        )


class EndpointRegistry:
    """`hear`, `leave` and `tick` return ids of the records of which others must hear."""

    def __init__(self, report_ms: float):
        self.report, self.records = int(report_ms * MS), {}
        self.claims: dict[str, set[str]] = {}  # address -> ids of records there that are not gone

    def hear(self, id: str, beat: Heartbeat, now: int, age: int = 0) -> list[str]:
        """A beat that came `age` nanoseconds ago, here or at another refuge."""
        held = self.records.get(id)
        if held is not None and (held.rank == ENDS or beat.call_seq <= held.seq):
            # Late: it changes nothing.  But that it leaves has been said, and whoever is told that this was
            # heard counts from then on: an order that others did not see must not take it back.
            if held.rank >= beat.rank:
                return []
            held.rank = beat.rank
            return [id]
        came = now - age
        record = held or self.records.setdefault(id, EndpointRecord(id))
        before, cold_before = held and held.facts(), record.cold_until
        self.unclaim(record)
        record.line, record.addr, record.zone = beat.line, beat.addr, beat.zone
        record.berths, record.edition = beat.berths, beat.edition
        record.rank, record.seq, record.phase = max(record.rank, beat.rank), beat.call_seq, HEARD
        record.heard = came if record.heard is None else max(record.heard, came)
        record.cold_until = came + int(beat.cold_left_ms * MS) if beat.cold_left_ms > 0 else 0
        # Two that are alive can't have one address: it is that one's which was heard last, until the other
        # is heard again.  A verdict alone, as this may be a late call of an older life.
        rivals = sorted(self.claims.get(beat.addr, ()))
        for other in rivals:
            self.judge(self.records[other], LOST, now)
        self.claim(record)
        # A cold time that only runs off is no news; one that begins anew, or is longer, is.
        longer = record.cold_until > max(cold_before, now) + 200 * MS
        return ([id] if record.facts() != before or longer else []) + rivals

    def claim(self, record: EndpointRecord) -> None:
        if record.state != GONE:
            self.claims.setdefault(record.addr, set()).add(record.id)

    def unclaim(self, record: EndpointRecord) -> None:
        ids = self.claims.get(record.addr, set())
        ids.discard(record.id)
        if not ids:
            self.claims.pop(record.addr, None)

    def judge(self, record: EndpointRecord, phase: int, now: int) -> None:
        record.phase = phase
        if phase == LOST:
            self.unclaim(record)
            record.over_at = now

    def leave(self, id: str, now: int) -> list[str]:
        """A sign-off.  Of an id that was never heard of too: its beats may be on their way."""
        record = self.records.setdefault(id, EndpointRecord(id))
        if record.rank == ENDS:
            return []
        self.unclaim(record)
        record.rank, record.over_at = ENDS, now
        return [id]

    def join(self, found: EndpointRecord, now: int) -> None:
        """What a disk or another refuge knows; of each field the later word stands."""
        held = self.records.get(found.id)
        if held is None and found.state == GONE and now - found.over_at >= TOMBSTONE_HORIZON_S * SECOND:
            return  # others are about to forget it
        if held is None:
            self.records[found.id] = found
            self.claim(found)
            return
        self.unclaim(held)
        was_gone = held.state == GONE
        if (found.seq, found.phase) > (held.seq, held.phase):
            held.line, held.addr, held.zone = found.line, found.addr, found.zone
            held.berths, held.edition, held.cold_until = found.berths, found.edition, found.cold_until
            if found.seq > held.seq and found.heard is not None:
                held.heard = found.heard if held.heard is None else max(held.heard, found.heard)
            held.seq, held.phase = found.seq, found.phase
        if found.rank > held.rank:
            held.rank, was_gone = found.rank, False
        if held.state == GONE and not was_gone:
            held.over_at = found.over_at
        self.claim(held)

    def excuse(self, now: int) -> None:
        """This process could not hear for a while: silence counts from now on."""
        for record in self.records.values():
            record.heard = now if record.heard is None else max(record.heard, now)

    def forget(self, id: str) -> None:
        self.unclaim(self.records.pop(id))

    def tick(self, now: int) -> list[str]:
        """Verdicts on those that have fallen silent; those that are long gone are forgotten."""
        told = []
        for record in [*self.records.values()]:
            quiet = 0 if record.heard is None else now - record.heard
            if record.state == GONE:
                if now - record.over_at >= TOMBSTONE_HORIZON_S * SECOND:
                    self.forget(record.id)
            elif quiet > LOST_BEATS * self.report:
                self.judge(record, LOST, now)
                told.append(record.id)
            elif quiet > MISSED_BEATS * self.report and record.state == READY:
                self.judge(record, MISSING, now)
                told.append(record.id)
        return told
