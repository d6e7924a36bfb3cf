"""What one controller knows of every endpoint by its heartbeats; a state machine without input or output.

What is known of one incarnation of an endpoint has a version, `[rank, sequence, liveness]`, compared as a
list.  The rank is how far the endpoint says that it has gone in its graceful shutdown.  It never falls,
however late or by whatever way a message arrives.  The sequence is the endpoint's own count of its calls.
The liveness is the controllers' verdict on its silence, which its next heartbeat takes back.  Records of one
id are merged field by field, so that controllers that heard the same messages in any order know the same.

`controller.endpoint_service` has the input and output: calls, peers, disk.  All times are nanoseconds of the
steady clock of this process, unless a name says otherwise.
"""

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Any

import msgspec

from flintreach.dissemination.versioned_store import TOMBSTONE_HORIZON_S

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
HORIZON_NS = TOMBSTONE_HORIZON_S * NS_PER_S
# Silence, in times of the report interval, from which an endpoint counts as missing or as lost.
MISSING_AFTER_REPORTS = 2.7
LOST_AFTER_REPORTS = 12
# A slow start that ends by so much later than what was known is worth an update to others.
SLOW_START_TOLERANCE_NS = 200 * NS_PER_MS
NOT_STORED = -1  # below every rank


class EndpointState(StrEnum):
    """State of an endpoint, as it is sent, stored and shown to operators."""

    READY = "ready"
    DRAINING = "closing"  # draining
    SILENT = "silent"
    GONE = "gone"


class DrainRank(IntEnum):
    """How far an endpoint has gone in its graceful shutdown, by its own messages; it never falls."""

    SERVING = 0
    DRAINING = 1
    ENDED = 2


class Liveness(IntEnum):
    """The controllers' verdict on an endpoint's silence."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2


class Heartbeat(msgspec.Struct):
    """A heartbeat as the wire has it; the wire's field names are those of the published interface.

    Attributes:
        service: the service that the endpoint belongs to.
        address: "ip:port" on which it takes requests.
        zone: its zone (failure domain).
        capacity: requests that it serves at a time.
        state: "ready" or "closing".
        sequence: the endpoint's count of its calls; a lower one is a late arrival.
        software_version: what the endpoint runs.
        warming_up_left_ms: how much of its slow start is left, counted from the arrival of this heartbeat.
    """

    service: str = msgspec.field(name="line")
    address: str = msgspec.field(name="addr")
    zone: str
    capacity: int = msgspec.field(name="berths")
    state: str
    sequence: int = msgspec.field(name="call_seq")
    software_version: str = msgspec.field(name="edition", default="")
    warming_up_left_ms: float = msgspec.field(name="cold_left_ms", default=0)

    @property
    def rank(self) -> DrainRank:
        """The rank that this heartbeat tells."""
        return DrainRank.DRAINING if self.state == EndpointState.DRAINING else DrainRank.SERVING


class EndpointRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """An endpoint's record as it is stored and sent to other controllers: an array in this order.

    Times in it are relative, as the steady clocks of two processes have nothing in common.

    Attributes:
        warming_up_left_ns: what is left of the slow start.
        rank: None in rows of earlier releases, which have ten fields and tell the rank by the state alone.
        gone_for_ns: how long ago the endpoint was first known to be gone; of one that isn't gone the value
            has no meaning, see `EndpointRecord.row`.
    """

    id: str
    service: str
    address: str
    zone: str
    capacity: int
    software_version: str
    state: str
    sequence: int
    liveness: int
    warming_up_left_ns: int
    rank: int | None = None
    gone_for_ns: int = 0

    @property
    def known_rank(self) -> int:
        """The rank, or what the state tells of it in a row of an earlier release."""
        if self.rank is not None:
            return self.rank
        if self.state == EndpointState.DRAINING:
            return DrainRank.DRAINING
        if self.state == EndpointState.GONE:
            return DrainRank.ENDED
        return DrainRank.SERVING


@dataclass(slots=True)
class EndpointRecord:
    """One incarnation of an endpoint.

    Attributes:
        rank: a `DrainRank`; a plain number where it comes from a peer or a disk.
        sequence: the highest that was heard.
        liveness: a `Liveness`; a plain number where it comes from a peer or a disk.
        last_heartbeat_ns: when its last heartbeat came; None where only its end is known.
        warming_up_until_ns: end of its slow start, 0 when it is warm.
        gone_at_ns: when it was first known to be gone.
        stored_rank: the highest rank that this process's disk holds for sure; `NOT_STORED`: none.
        durable_rank: the highest rank that the disks of a quorum hold for sure; `NOT_STORED`: none.
            Neither of the two is sent to others: they are what this process was answered itself.
    """

    id: str
    service: str = ""
    address: str = ""
    zone: str = ""
    capacity: int = 0
    software_version: str = ""
    rank: int = DrainRank.SERVING
    sequence: int = 0
    liveness: int = Liveness.ALIVE
    last_heartbeat_ns: int | None = None
    warming_up_until_ns: int = 0
    gone_at_ns: int | None = None
    stored_rank: int = NOT_STORED
    durable_rank: int = NOT_STORED

    @property
    def state(self) -> EndpointState:
        """The state that rank and liveness make together."""
        if self.rank == DrainRank.ENDED or self.liveness == Liveness.DEAD:
            return EndpointState.GONE
        if self.rank == DrainRank.DRAINING:
            return EndpointState.DRAINING
        if self.liveness == Liveness.SUSPECTED:
            return EndpointState.SILENT
        return EndpointState.READY

    @property
    def version(self) -> list[int]:
        """`[rank, sequence, liveness]`: a list of numbers, as versions from the wire are compared with it."""
        return [int(self.rank), self.sequence, int(self.liveness)]

    def update_value(self, now_ns: int) -> dict[str, Any]:
        """What other processes are sent of it: its facts, and what is left of its slow start, in ms."""
        return self.published_fields() | {"cold": max(0, self.warming_up_until_ns - now_ns) // NS_PER_MS}

    def published_fields(self) -> dict[str, Any]:
        """What is an update for others when it changes, under the names that the wire has."""
        return {
            "line": self.service,
            "addr": self.address,
            "zone": self.zone,
            "berths": self.capacity,
            "edition": self.software_version,
            "state": self.state.value,
        }

    def row(self, now_ns: int) -> EndpointRow:
        """The record as it is stored and sent to other controllers."""
        return EndpointRow(
            id=self.id,
            service=self.service,
            address=self.address,
            zone=self.zone,
            capacity=self.capacity,
            software_version=self.software_version,
            state=self.state.value,
            sequence=self.sequence,
            liveness=int(self.liveness),
            warming_up_left_ns=max(0, self.warming_up_until_ns - now_ns),
            rank=int(self.rank),
            # Of one that isn't gone this is the clock itself: no reader uses it, but earlier releases wrote
            # these bytes, and what this release writes is compared with them.
            gone_for_ns=max(0, now_ns - (self.gone_at_ns or 0)),
        )

    @classmethod
    def from_row(cls, row: EndpointRow, now_ns: int) -> "EndpointRecord":
        """The record that a disk or another controller has; its silence counts from now on."""
        warming_up_left_ns = row.warming_up_left_ns
        return cls(
            id=row.id,
            service=row.service,
            address=row.address,
            zone=row.zone,
            capacity=row.capacity,
            software_version=row.software_version,
            rank=row.known_rank,
            sequence=row.sequence,
            # Earlier releases had one liveness more, for endpoints that had ended.
            liveness=min(row.liveness, Liveness.DEAD),
            last_heartbeat_ns=now_ns,
            warming_up_until_ns=now_ns + warming_up_left_ns if warming_up_left_ns else 0,
            gone_at_ns=now_ns - row.gone_for_ns,
        )

    @classmethod
    def from_update(
        cls, id: str, version: list[int], value: dict[str, Any], now_ns: int, age_ns: int
    ) -> "EndpointRecord":
        """The record that an update of another controller tells.

        Args:
            id: the endpoint.
            version: as `version` gives it.
            value: as `update_value` gives it.
            now_ns: steady clock of this process.
            age_ns: how long ago the endpoint was first known to be gone.
        """
        rank, sequence, liveness = version
        warming_up_left_ms = value["cold"]
        return cls(
            id=id,
            service=value["line"],
            address=value["addr"],
            zone=value["zone"],
            capacity=value["berths"],
            software_version=value["edition"],
            rank=rank,
            sequence=sequence,
            liveness=liveness,
            last_heartbeat_ns=now_ns,
            warming_up_until_ns=now_ns + warming_up_left_ms * NS_PER_MS if warming_up_left_ms else 0,
            gone_at_ns=now_ns - age_ns,
        )

    def note_heard(self, at_ns: int) -> None:
        """Move the time of the last heartbeat on, never back."""
        self.last_heartbeat_ns = (
            at_ns if self.last_heartbeat_ns is None else max(self.last_heartbeat_ns, at_ns)
        )


class EndpointRegistry:
    """All endpoints that one controller knows.

    `record_heartbeat`, `deregister` and `tick` return the ids of the records of which other controllers must
    hear.

    Attributes:
        records: endpoint id -> its record.
        ids_by_address: address -> ids of the records there that are not gone.
    """

    def __init__(self, report_ms: float) -> None:
        """Start with no endpoints.

        Args:
            report_ms: interval at which endpoints send heartbeats, in milliseconds.
        """
        self.report_ns = int(report_ms * NS_PER_MS)
        self.records: dict[str, EndpointRecord] = {}
        self.ids_by_address: dict[str, set[str]] = {}

    def record_heartbeat(self, id: str, heartbeat: Heartbeat, now_ns: int, age_ns: int = 0) -> list[str]:
        """Take in a heartbeat that came `age_ns` ago, to this controller or to another.

        Returns:
            Ids of the records that changed for others: the endpoint's own, and rivals for its address.
        """
        known = self.records.get(id)
        if known is not None and (known.rank == DrainRank.ENDED or heartbeat.sequence <= known.sequence):
            return self.record_late_heartbeat(known, heartbeat)
        record = known or self.records.setdefault(id, EndpointRecord(id))
        facts_before = None if known is None else known.published_fields()
        warming_up_before_ns = record.warming_up_until_ns
        self.unclaim(record)
        self.apply_heartbeat(record, heartbeat, now_ns - age_ns)
        rivals = self.end_claims_of_rivals(heartbeat.address, now_ns)
        self.claim(record)
        # A slow start that only runs off is no update; one that begins anew, or is longer, is.
        slow_start_grew = (
            record.warming_up_until_ns > max(warming_up_before_ns, now_ns) + SLOW_START_TOLERANCE_NS
        )
        if record.published_fields() != facts_before or slow_start_grew:
            return [id, *rivals]
        return rivals

    def record_late_heartbeat(self, record: EndpointRecord, heartbeat: Heartbeat) -> list[str]:
        """Take in a heartbeat that a later one, or the endpoint's end, has overtaken.

        It changes nothing but the rank.  That the endpoint drains has been said, and whoever is acknowledged
        counts on it from then on: an order of arrival that others did not see must not take it back.
        """
        if record.rank >= heartbeat.rank:
            return []
        record.rank = heartbeat.rank
        return [record.id]

    def apply_heartbeat(self, record: EndpointRecord, heartbeat: Heartbeat, arrived_at_ns: int) -> None:
        """Set a record's fields by a heartbeat that is newer than what it had."""
        record.service = heartbeat.service
        record.address = heartbeat.address
        record.zone = heartbeat.zone
        record.capacity = heartbeat.capacity
        record.software_version = heartbeat.software_version
        record.rank = max(record.rank, heartbeat.rank)
        record.sequence = heartbeat.sequence
        record.liveness = Liveness.ALIVE
        record.note_heard(arrived_at_ns)
        record.warming_up_until_ns = 0
        if heartbeat.warming_up_left_ms > 0:
            record.warming_up_until_ns = arrived_at_ns + int(heartbeat.warming_up_left_ms * NS_PER_MS)

    def end_claims_of_rivals(self, address: str, now_ns: int) -> list[str]:
        """Count those as lost that claim the address of an endpoint which was just heard; their ids.

        Two that are alive can't have one address: it belongs to the one that was heard last, until the other
        is heard again.  Only the liveness says so, not the rank, as this may be a late call of an older
        incarnation.
        """
        rivals = sorted(self.ids_by_address.get(address, ()))
        for rival in rivals:
            self.set_liveness(self.records[rival], Liveness.DEAD, now_ns)
        return rivals

    def claim(self, record: EndpointRecord) -> None:
        """Note that a record has its address, unless it is gone."""
        if record.state != EndpointState.GONE:
            self.ids_by_address.setdefault(record.address, set()).add(record.id)

    def unclaim(self, record: EndpointRecord) -> None:
        """Note that a record no longer has its address; called before the address or the state changes."""
        ids = self.ids_by_address.get(record.address, set())
        ids.discard(record.id)
        if not ids:
            self.ids_by_address.pop(record.address, None)

    def set_liveness(self, record: EndpointRecord, liveness: Liveness, now_ns: int) -> None:
        """Give a verdict on a record's silence."""
        record.liveness = liveness
        if liveness == Liveness.DEAD:
            self.unclaim(record)
            record.gone_at_ns = now_ns

    def deregister(self, id: str, now_ns: int) -> list[str]:
        """Take in that an endpoint has ended by its own word.

        An id that was never heard of gets a record too: its heartbeats may still be on their way.

        Returns:
            Its id, unless its end was known.
        """
        record = self.records.setdefault(id, EndpointRecord(id))
        if record.rank == DrainRank.ENDED:
            return []
        self.unclaim(record)
        record.rank = DrainRank.ENDED
        record.gone_at_ns = now_ns
        return [id]

    def merge(self, incoming: EndpointRecord, now_ns: int) -> None:
        """Take in what a disk or another controller knows; of each field the later value stands."""
        known = self.records.get(incoming.id)
        if known is None:
            self.add(incoming, now_ns)
            return
        self.unclaim(known)
        was_gone = known.state == EndpointState.GONE
        if (incoming.sequence, incoming.liveness) > (known.sequence, known.liveness):
            self.apply_later_record(known, incoming)
        if incoming.rank > known.rank:
            known.rank = incoming.rank
            was_gone = False
        if known.state == EndpointState.GONE and not was_gone:
            known.gone_at_ns = incoming.gone_at_ns
        self.claim(known)

    def add(self, incoming: EndpointRecord, now_ns: int) -> None:
        """Take in a record of an id that isn't known, unless others are about to forget it."""
        if incoming.state == EndpointState.GONE and now_ns - incoming.gone_at_ns >= HORIZON_NS:
            return
        self.records[incoming.id] = incoming
        self.claim(incoming)

    def apply_later_record(self, known: EndpointRecord, incoming: EndpointRecord) -> None:
        """Set the fields that go with sequence and liveness by a record that has later ones."""
        known.service = incoming.service
        known.address = incoming.address
        known.zone = incoming.zone
        known.capacity = incoming.capacity
        known.software_version = incoming.software_version
        known.warming_up_until_ns = incoming.warming_up_until_ns
        if incoming.sequence > known.sequence and incoming.last_heartbeat_ns is not None:
            known.note_heard(incoming.last_heartbeat_ns)
        known.sequence = incoming.sequence
        known.liveness = incoming.liveness

    def restart_failure_timeouts(self, now_ns: int) -> None:
        """Count every endpoint's silence from now on: this process could not hear for a while."""
        for record in self.records.values():
            record.note_heard(now_ns)

    def forget(self, id: str) -> None:
        """Drop an endpoint's record."""
        self.unclaim(self.records.pop(id))

    def tick(self, now_ns: int) -> list[str]:
        """Give verdicts on those that have fallen silent, and forget those that are long gone.

        Returns:
            Ids of the records whose liveness changed.
        """
        changed = []
        for record in [*self.records.values()]:
            silence_ns = 0 if record.last_heartbeat_ns is None else now_ns - record.last_heartbeat_ns
            if record.state == EndpointState.GONE:
                if now_ns - record.gone_at_ns >= HORIZON_NS:
                    self.forget(record.id)
            elif silence_ns > LOST_AFTER_REPORTS * self.report_ns:
                self.set_liveness(record, Liveness.DEAD, now_ns)
                changed.append(record.id)
            elif silence_ns > MISSING_AFTER_REPORTS * self.report_ns and record.state == EndpointState.READY:
                self.set_liveness(record, Liveness.SUSPECTED, now_ns)
                changed.append(record.id)
        return changed
