"""Registry of the endpoints that one controller knows from heartbeats: a state machine without I/O.

The record of one incarnation of an endpoint has a version, `[rank, sequence, liveness]`, compared
lexicographically:

- The rank is the stage of graceful shutdown that the endpoint itself reported. It is monotonic, whatever the
  order and path by which messages arrive.
- The sequence is the endpoint's own message counter.
- The liveness is the failure detector's state. The next heartbeat resets it.

Records with the same id are merged field by field, so controllers that received the same messages converge
regardless of the order.

`controller.endpoint_service` does the I/O: requests, peers and disk. All times are nanoseconds of this
process's monotonic clock unless a name says otherwise.
"""

from dataclasses import dataclass
from enum import IntEnum, StrEnum
from typing import Annotated, Any

import msgspec

from flintreach.dissemination.versioned_store import TOMBSTONE_HORIZON_S

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000
TOMBSTONE_RETENTION_NS = TOMBSTONE_HORIZON_S * NS_PER_S
# Time without a heartbeat, in report intervals, after which an endpoint is suspected or declared dead.
SUSPECTED_AFTER_INTERVALS = 2.7
DEAD_AFTER_INTERVALS = 12
# An extension of a slow start by no more than this is not published.
SLOW_START_TOLERANCE_NS = 200 * NS_PER_MS
NOT_STORED = -1  # less than every rank

# Ranges of a heartbeat's figures.  Beyond them it is malformed, and could not be sent on to other processes.
MIN_CAPACITY = 1  # of a record; placement divides by capacities
MAX_CAPACITY = 1_000_000
MAX_SEQUENCE = (1 << 63) - 1
MAX_WARMING_UP_MS = 24 * 3600 * 1000
OCTET_PATTERN = r"(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
PORT_PATTERN = r"(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})"
ADDRESS_PATTERN = rf"^({OCTET_PATTERN}\.){{3}}{OCTET_PATTERN}:{PORT_PATTERN}$"  # a name would need a look-up


class EndpointState(StrEnum):
    """State of an endpoint, derived from its rank and liveness. The values are sent, stored and displayed."""

    READY = "ready"
    DRAINING = "closing"
    SILENT = "silent"
    GONE = "gone"


class DrainRank(IntEnum):
    """Stage of graceful shutdown that an endpoint reported; it never decreases."""

    SERVING = 0
    DRAINING = 1
    ENDED = 2


class Liveness(IntEnum):
    """Failure detector's state of an endpoint."""

    ALIVE = 0
    SUSPECTED = 1
    DEAD = 2


class Heartbeat(msgspec.Struct):
    """A heartbeat message, with the field names of the published interface on the wire.

    Attributes:
        service: name of the service that the endpoint belongs to.
        address: "ip:port" on which the endpoint accepts requests.
        zone: failure domain of the endpoint.
        capacity: number of requests that the endpoint serves concurrently; 0 counts as 1.
        state: "ready" or "closing".
        sequence: the endpoint's message counter; a lower one marks a reordered message.
        software_version: software version that the endpoint runs.
        warming_up_left_ms: remaining time of the slow start, from the arrival of this heartbeat.
    """

    service: str = msgspec.field(name="line")
    address: Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)] = msgspec.field(name="addr")
    zone: str
    capacity: Annotated[int, msgspec.Meta(ge=0, le=MAX_CAPACITY)] = msgspec.field(name="berths")
    state: str
    sequence: Annotated[int, msgspec.Meta(ge=0, le=MAX_SEQUENCE)] = msgspec.field(name="call_seq")
    software_version: str = msgspec.field(name="edition", default="")
    warming_up_left_ms: Annotated[float, msgspec.Meta(le=MAX_WARMING_UP_MS)] = msgspec.field(
        name="cold_left_ms", default=0
    )

    @property
    def rank(self) -> DrainRank:
        """Rank that corresponds to the reported state."""
        return DrainRank.DRAINING if self.state == EndpointState.DRAINING else DrainRank.SERVING


class EndpointRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Endpoint record as stored and sent to other controllers: an array with the fields in this order.

    Times are durations, because monotonic clocks of different processes are not comparable.

    Attributes:
        warming_up_left_ns: remaining time of the slow start.
        rank: None in rows of earlier releases, which have ten fields and imply the rank by the state.
        gone_for_ns: time since the endpoint was first known to be gone; meaningless if it is not gone, see
            `EndpointRecord.row`.
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
        """The rank; in a row of an earlier release, the rank implied by the state."""
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
        rank: a `DrainRank`; a plain integer if received from a peer or read from disk.
        sequence: highest sequence number received.
        liveness: a `Liveness`; a plain integer if received from a peer or read from disk.
        last_heartbeat_ns: time of the last heartbeat, or since when its absence counts; None if only the
            deregistration is known.
        warming_up_until_ns: end of the slow start; 0 if there is none.
        gone_at_ns: when the endpoint was first known to be gone.
        stored_rank: highest rank known to be on this process's disk, or `NOT_STORED`.
        durable_rank: highest rank known to be on the disks of a quorum, or `NOT_STORED`. Like `stored_rank`
            it is never sent: both reflect only acknowledgements that this process received itself.
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
        """State that follows from rank and liveness."""
        if self.rank == DrainRank.ENDED or self.liveness == Liveness.DEAD:
            return EndpointState.GONE
        if self.rank == DrainRank.DRAINING:
            return EndpointState.DRAINING
        if self.liveness == Liveness.SUSPECTED:
            return EndpointState.SILENT
        return EndpointState.READY

    @property
    def version(self) -> list[int]:
        """`[rank, sequence, liveness]`, as plain integers so that it compares with decoded versions."""
        return [int(self.rank), self.sequence, int(self.liveness)]

    def update_value(self, now_ns: int) -> dict[str, Any]:
        """Value published to other processes: `published_fields` and the remaining slow start in ms."""
        return self.published_fields() | {"cold": max(0, self.warming_up_until_ns - now_ns) // NS_PER_MS}

    def published_fields(self) -> dict[str, Any]:
        """Fields whose change is published, under their wire names."""
        return {
            "line": self.service,
            "addr": self.address,
            "zone": self.zone,
            "berths": self.capacity,
            "edition": self.software_version,
            "state": self.state.value,
        }

    def row(self, now_ns: int) -> EndpointRow:
        """Convert to the row that is stored and sent to other controllers."""
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
            # The bare clock reading if the endpoint is not gone. Readers ignore it then, but earlier releases
            # wrote these bytes, and the rows of this release are compared with them.
            gone_for_ns=max(0, now_ns - (self.gone_at_ns or 0)),
        )

    @classmethod
    def from_row(cls, row: EndpointRow, now_ns: int) -> "EndpointRecord":
        """Convert from a stored or received row; the failure timeouts start now."""
        warming_up_left_ns = row.warming_up_left_ns
        return cls(
            id=row.id,
            service=row.service,
            address=row.address,
            zone=row.zone,
            capacity=max(MIN_CAPACITY, row.capacity),
            software_version=row.software_version,
            rank=row.known_rank,
            sequence=row.sequence,
            # Earlier releases had one more value, for endpoints that had deregistered.
            liveness=min(row.liveness, Liveness.DEAD),
            last_heartbeat_ns=now_ns,
            warming_up_until_ns=now_ns + warming_up_left_ns if warming_up_left_ns else 0,
            gone_at_ns=now_ns - row.gone_for_ns,
        )

    @classmethod
    def from_update(
        cls, id: str, version: list[int], value: dict[str, Any], now_ns: int, age_ns: int
    ) -> "EndpointRecord":
        """Convert from an update published by another controller.

        Args:
            id: endpoint id.
            version: as returned by `version`.
            value: as returned by `update_value`.
            now_ns: monotonic clock of this process.
            age_ns: time since the endpoint was first known to be gone.
        """
        rank, sequence, liveness = version
        warming_up_left_ms = value["cold"]
        return cls(
            id=id,
            service=value["line"],
            address=value["addr"],
            zone=value["zone"],
            capacity=max(MIN_CAPACITY, value["berths"]),
            software_version=value["edition"],
            rank=rank,
            sequence=sequence,
            liveness=liveness,
            last_heartbeat_ns=now_ns,
            warming_up_until_ns=now_ns + warming_up_left_ms * NS_PER_MS if warming_up_left_ms else 0,
            gone_at_ns=now_ns - age_ns,
        )

    def advance_last_heartbeat(self, at_ns: int) -> None:
        """Set the time of the last heartbeat unless a later one is recorded."""
        self.last_heartbeat_ns = (
            at_ns if self.last_heartbeat_ns is None else max(self.last_heartbeat_ns, at_ns)
        )


class EndpointRegistry:
    """All endpoints that one controller knows.

    `record_heartbeat`, `deregister` and `tick` return the ids of the records that must be published.

    Attributes:
        records: records by endpoint id.
        ids_by_address: ids of the endpoints that are not gone, by address.
    """

    def __init__(self, report_ms: float) -> None:
        """Create an empty registry.

        Args:
            report_ms: heartbeat interval of the endpoints, in milliseconds.
        """
        self.report_interval_ns = int(report_ms * NS_PER_MS)
        self.records: dict[str, EndpointRecord] = {}
        self.ids_by_address: dict[str, set[str]] = {}

    def record_heartbeat(self, id: str, heartbeat: Heartbeat, now_ns: int, age_ns: int = 0) -> list[str]:
        """Apply a heartbeat that arrived `age_ns` ago, at this controller or another.

        Returns:
            Ids of the records to publish: the endpoint itself if changed, and others with the same address.
        """
        known = self.records.get(id)
        if known is not None and (known.rank == DrainRank.ENDED or heartbeat.sequence <= known.sequence):
            return self.record_late_heartbeat(known, heartbeat)
        record = known or self.records.setdefault(id, EndpointRecord(id))
        fields_before = None if known is None else known.published_fields()
        warming_up_before_ns = record.warming_up_until_ns
        self.unindex_address(record)
        self.apply_heartbeat(record, heartbeat, now_ns - age_ns)
        conflicting_ids = self.mark_address_conflicts_dead(heartbeat.address, now_ns)
        self.index_address(record)
        # A slow start that merely elapses is not published, but one that restarts or is extended is.
        slow_start_extended = (
            record.warming_up_until_ns > max(warming_up_before_ns, now_ns) + SLOW_START_TOLERANCE_NS
        )
        if record.published_fields() != fields_before or slow_start_extended:
            return [id, *conflicting_ids]
        return conflicting_ids

    def record_late_heartbeat(self, record: EndpointRecord, heartbeat: Heartbeat) -> list[str]:
        """Apply a heartbeat that arrives after a newer one or after deregistration.

        It can only raise the rank. Whoever got an acknowledgement of the drain relies on it, so message
        reordering at this controller must not discard it.
        """
        if record.rank >= heartbeat.rank:
            return []
        record.rank = heartbeat.rank
        return [record.id]

    def apply_heartbeat(self, record: EndpointRecord, heartbeat: Heartbeat, arrived_at_ns: int) -> None:
        """Update a record from a heartbeat that is newer than the record."""
        record.service = heartbeat.service
        record.address = heartbeat.address
        record.zone = heartbeat.zone
        record.capacity = max(MIN_CAPACITY, heartbeat.capacity)
        record.software_version = heartbeat.software_version
        record.rank = max(record.rank, heartbeat.rank)
        record.sequence = heartbeat.sequence
        record.liveness = Liveness.ALIVE
        record.advance_last_heartbeat(arrived_at_ns)
        record.warming_up_until_ns = 0
        if heartbeat.warming_up_left_ms > 0:
            record.warming_up_until_ns = arrived_at_ns + int(heartbeat.warming_up_left_ms * NS_PER_MS)

    def mark_address_conflicts_dead(self, address: str, now_ns: int) -> list[str]:
        """Mark the other endpoints at a heartbeat's address dead, and return their ids.

        Two live endpoints cannot share an address: it belongs to the one whose heartbeat came last. Only the
        liveness changes, not the rank, because the heartbeat may be a delayed one of an older incarnation;
        the next heartbeat of an endpoint that was marked wrongly reverts it.
        """
        conflicting_ids = sorted(self.ids_by_address.get(address, ()))
        for other_id in conflicting_ids:
            self.set_liveness(self.records[other_id], Liveness.DEAD, now_ns)
        return conflicting_ids

    def index_address(self, record: EndpointRecord) -> None:
        """Add a record to the address index unless the endpoint is gone."""
        if record.state != EndpointState.GONE:
            self.ids_by_address.setdefault(record.address, set()).add(record.id)

    def unindex_address(self, record: EndpointRecord) -> None:
        """Remove a record from the address index; call this before its address or state changes."""
        ids = self.ids_by_address.get(record.address, set())
        ids.discard(record.id)
        if not ids:
            self.ids_by_address.pop(record.address, None)

    def set_liveness(self, record: EndpointRecord, liveness: Liveness, now_ns: int) -> None:
        """Set the liveness; a dead endpoint leaves the address index."""
        record.liveness = liveness
        if liveness == Liveness.DEAD:
            self.unindex_address(record)
            record.gone_at_ns = now_ns

    def deregister(self, id: str, now_ns: int) -> list[str]:
        """Apply the deregistration of an endpoint.

        An unknown id gets a record too, because its heartbeats may still arrive.

        Returns:
            The id, or nothing if the endpoint was already deregistered.
        """
        record = self.records.setdefault(id, EndpointRecord(id))
        if record.rank == DrainRank.ENDED:
            return []
        self.unindex_address(record)
        record.rank = DrainRank.ENDED
        record.gone_at_ns = now_ns
        return [id]

    def merge(self, incoming: EndpointRecord, now_ns: int) -> None:
        """Merge a record from disk or another controller; the later value of each field wins."""
        known = self.records.get(incoming.id)
        if known is None:
            self.add(incoming, now_ns)
            return
        self.unindex_address(known)
        was_gone = known.state == EndpointState.GONE
        if (incoming.sequence, incoming.liveness) > (known.sequence, known.liveness):
            self.apply_later_record(known, incoming)
        if incoming.rank > known.rank:
            known.rank = incoming.rank
            was_gone = False
        if known.state == EndpointState.GONE and not was_gone:
            known.gone_at_ns = incoming.gone_at_ns
        self.index_address(known)

    def add(self, incoming: EndpointRecord, now_ns: int) -> None:
        """Add a record with an unknown id, unless its tombstone has expired."""
        if incoming.state == EndpointState.GONE and now_ns - incoming.gone_at_ns >= TOMBSTONE_RETENTION_NS:
            return
        self.records[incoming.id] = incoming
        self.index_address(incoming)

    def apply_later_record(self, known: EndpointRecord, incoming: EndpointRecord) -> None:
        """Copy the fields versioned by sequence and liveness from a later record."""
        known.service = incoming.service
        known.address = incoming.address
        known.zone = incoming.zone
        known.capacity = incoming.capacity
        known.software_version = incoming.software_version
        known.warming_up_until_ns = incoming.warming_up_until_ns
        if incoming.sequence > known.sequence and incoming.last_heartbeat_ns is not None:
            known.advance_last_heartbeat(incoming.last_heartbeat_ns)
        known.sequence = incoming.sequence
        known.liveness = incoming.liveness

    def restart_failure_timeouts(self, now_ns: int) -> None:
        """Restart all failure timeouts, for when this process could not receive heartbeats for a while."""
        for record in self.records.values():
            record.advance_last_heartbeat(now_ns)

    def forget(self, id: str) -> None:
        """Delete an endpoint's record."""
        self.unindex_address(self.records.pop(id))

    def tick(self, now_ns: int) -> list[str]:
        """Run the failure detector, and delete expired tombstones.

        Returns:
            Ids of the records whose liveness changed.
        """
        changed = []
        for record in [*self.records.values()]:
            silence_ns = 0 if record.last_heartbeat_ns is None else now_ns - record.last_heartbeat_ns
            if record.state == EndpointState.GONE:
                if now_ns - record.gone_at_ns >= TOMBSTONE_RETENTION_NS:
                    self.forget(record.id)
            elif silence_ns > DEAD_AFTER_INTERVALS * self.report_interval_ns:
                self.set_liveness(record, Liveness.DEAD, now_ns)
                changed.append(record.id)
            elif (
                silence_ns > SUSPECTED_AFTER_INTERVALS * self.report_interval_ns
                and record.state == EndpointState.READY
            ):
                self.set_liveness(record, Liveness.SUSPECTED, now_ns)
                changed.append(record.id)
        return changed
