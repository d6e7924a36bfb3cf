"""Endpoint registration on one controller: API calls, replication, liveness checks and storage.

Three facts about an endpoint must survive any loss that the deployment tolerates: that it registered, that it
is draining, and that it signed off. A call that states one of them is acknowledged only after a quorum of
voters has stored it on disk. Each record keeps the rank that a quorum is known to have stored
(`durable_rank`). Only answers to this process count towards it; an acknowledgement reported by another
process does not.

Calls arrive from `http_api`, messages of other controllers from `transport`, and their published updates from
`peer_exchange`. State is merged in `flintreach.endpoints.registry`, which does no I/O.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

import msgspec

from flintreach.common.keys import ENDPOINT_KEY_PREFIX
from flintreach.consensus.quorum import Address
from flintreach.consensus.register import Register
from flintreach.consensus.store import Store
from flintreach.dissemination.versioned_store import MAX_PORTION_ROWS, SNAPSHOT_AFTER_S, VersionedStore
from flintreach.endpoints.registry import (
    NS_PER_S,
    DrainRank,
    EndpointRecord,
    EndpointRegistry,
    EndpointRow,
    EndpointState,
    Heartbeat,
    Liveness,
)
from flintreach.transport.peer_connection import PeerConnection
from flintreach.transport.peer_pool import PeerPool
from flintreach.transport.runtime import Runtime, Task

PACK = msgspec.msgpack.encode

# Message kinds, the key prefix and the stored fact keep the names of earlier releases: releases exchange
# messages during a rolling upgrade, and stored data outlives the release that wrote it.
HEARTBEAT_KIND = "beat"  # [epoch or None, endpoint id, heartbeat]
SIGN_OFF_KIND = "leave"  # [epoch or None, endpoint id]
REGISTRY_PAGE_KIND = "book"  # [epoch, the id to continue after]
REGISTRY_COMPLETE_FACT = "books"  # "1" once an initially empty disk has stored the registry of a quorum
REGISTRY_COMPLETE = "1"
REGISTRY_INCOMPLETE = "0"

ACKNOWLEDGE_TIMEOUT_S = 0.85  # callers retry on another controller after 1 s
MAX_CONTACT_AGE_S = 1.2  # with older quorum contact, heartbeats are refused and liveness is not judged
SYNC_TIMEOUT_S = 0.5  # for the registries of a quorum; does not wait for machines that are down
FORWARD_TIMEOUT_S = 1.0  # for a message whose answer does not count towards a quorum
LIVENESS_CHECK_INTERVAL_S = 0.25


class EndpointPlane(Protocol):
    """The part of `control_plane.ControlPlane` that `EndpointService` uses."""

    runtime: Runtime
    store: Store | None
    updates: VersionedStore
    register: Register
    peer_pool: PeerPool
    serving: bool

    @property
    def voter_addresses(self) -> list[Address]:
        """Addresses of the voters."""
        ...

    def peers(self) -> list[Address]:
        """Addresses of the other controllers that are alive or are voters."""
        ...

    def quorum_contact_age(self) -> float:
        """Upper bound on this controller's staleness, in seconds."""
        ...

    def update_age(self) -> float:
        """Age of the disseminated updates, in seconds; 86400 during start-up and resynchronization."""
        ...

    def close_departed_connections(self) -> None:
        """Close connections to controllers that have left the cluster."""
        ...


@dataclass(frozen=True, slots=True)
class RegistrySnapshot:
    """The endpoint registry of one voter.

    Attributes:
        rows: endpoint records, in their stored form.
        in_contact: whether that voter had recent contact with a quorum.
    """

    rows: list[list]
    in_contact: bool


class EndpointService:
    """Registers endpoints, replicates their state and checks their liveness on one controller.

    Attributes:
        registry: the known endpoints.
        out_of_contact: there is no recent quorum contact, so missing heartbeats here prove nothing.
        needs_resync: contact was lost for so long that other controllers may have expired tombstones that
            this one never saw.
        registry_complete: this disk has stored the registry of a quorum since it was last empty.
        stored_ids: ids of the endpoints that have a row on this disk.
    """

    def __init__(self, plane: EndpointPlane, report_ms: float) -> None:
        """Load the endpoints stored on this disk and register the handlers for messages of other controllers.

        Args:
            plane: the control plane that owns this service.
            report_ms: heartbeat interval of endpoints, in milliseconds.
        """
        self.plane = plane
        self.runtime = plane.runtime
        self.store = plane.store
        self.updates = plane.updates
        self.register = plane.register
        self.peer_pool = plane.peer_pool
        self.registry = EndpointRegistry(report_ms)
        self.out_of_contact = False
        self.needs_resync = False
        now_ns = self.runtime.now_ns()
        for row in self.store.endpoint_rows.values() if self.store else ():
            record = EndpointRecord.from_row(msgspec.msgpack.decode(row, type=EndpointRow), now_ns)
            record.stored_rank = record.rank
            self.registry.merge(record, now_ns)
        self.registry_complete = self._is_registry_complete()
        self.stored_ids: set[str] = {*self.store.endpoint_rows} if self.store else set()
        self.peer_pool.handlers |= {
            HEARTBEAT_KIND: self.on_heartbeat,
            SIGN_OFF_KIND: self.on_sign_off,
            REGISTRY_PAGE_KIND: self.on_registry_page,
        }

    def _is_registry_complete(self) -> bool:
        """Whether this disk still has everything it confirmed; one that was replaced or wiped may not."""
        if self.store is None:
            return False
        unrecorded = REGISTRY_COMPLETE if self.store.voting else REGISTRY_INCOMPLETE
        return self.store.facts.get(REGISTRY_COMPLETE_FACT, unrecorded) == REGISTRY_COMPLETE

    def mark_registry_complete(self) -> None:
        """Note that this disk, which records so already, lacks nothing: none was ever confirmed."""
        self.registry_complete = True

    # Publication and local storage.

    def publish(self, endpoint_ids: Iterable[str]) -> bool:
        """Publish the state of endpoints and store it on this disk.

        Args:
            endpoint_ids: endpoints that changed; ids without a record are skipped.

        Returns:
            Whether all of them were stored.
        """
        now_ns = self.runtime.now_ns()
        known_ids = [endpoint_id for endpoint_id in endpoint_ids if endpoint_id in self.registry.records]
        for endpoint_id in known_ids:
            record = self.registry.records[endpoint_id]
            age_s = (now_ns - record.gone_at_ns) / NS_PER_S if record.state == EndpointState.GONE else 0.0
            self.updates.offer(
                f"{ENDPOINT_KEY_PREFIX}{endpoint_id}", record.version, record.update_value(now_ns), age_s
            )
        return self.store_records(known_ids)

    def store_records(self, endpoint_ids: list[str], facts: dict[str, str] | None = None) -> bool:
        """Store the current state of records, and facts, on this disk in one write.

        Args:
            endpoint_ids: ids of known records.
            facts: further facts to store, by name.

        Returns:
            Whether the write succeeded; False if this process is stateless.
        """
        if self.store is None:
            return False
        now_ns = self.runtime.now_ns()
        records = [self.registry.records[endpoint_id] for endpoint_id in endpoint_ids]
        # Captured before the write: a rank that rises during the write is not yet stored.
        ranks = [record.rank for record in records]
        rows = {record.id: PACK(record.row(now_ns)) for record in records}
        self.stored_ids |= rows.keys()
        if (rows or facts) and not self.store.persist({}, facts, rows):
            return False
        for record, rank in zip(records, ranks):
            record.stored_rank = max(record.stored_rank, rank)
        return True

    def ensure_stored(self, endpoint_id: str, rank: int) -> bool:
        """Whether this disk has an endpoint at least at a rank, after writing it if necessary."""
        record = self.registry.records.get(endpoint_id)
        if record is None:
            return False
        if record.stored_rank >= rank:
            return True
        return self.store_records([endpoint_id]) and record.stored_rank >= rank

    # Replication to the voters.

    def replicate(self, endpoint_id: str, rank: int, kind: str, body: list, local_write: Task) -> bool:
        """Replicate to a quorum of voters that an endpoint is at least at a rank.

        Args:
            endpoint_id: id of a known record.
            rank: a `DrainRank`.
            kind: kind of the message to the voters.
            body: body of that message, without the epoch.
            local_write: the pending write of the same state on this disk.

        Returns:
            Whether a quorum has confirmed to this process, now or earlier, that it stored the rank.
        """
        record = self.registry.records[endpoint_id]
        if record.durable_rank >= rank:
            return True

        def local_answer() -> bool | None:
            local_write.result(ACKNOWLEDGE_TIMEOUT_S)
            return True if self.ensure_stored(endpoint_id, rank) else None

        answers = self.register.ask_quorum_of_each_epoch(
            kind, body, ACKNOWLEDGE_TIMEOUT_S, local_answer=local_answer
        )
        if answers is None:
            return False
        record.durable_rank = max(record.durable_rank, rank)
        return True

    def forward(self, kind: str, body: list, addresses: Iterable[Address]) -> None:
        """Send a message to controllers without waiting; their answers do not count towards a quorum."""
        # Sorted, so that simulated runs are reproducible.
        for address in sorted(addresses):
            self.runtime.spawn(self.peer_pool.ask, address, kind, [None, *body], FORWARD_TIMEOUT_S)

    def _non_voting_peers(self) -> set[Address]:
        return {*self.plane.peers()} - {*self.plane.voter_addresses}

    # API calls of endpoints.

    def record_heartbeat(self, endpoint_id: str, heartbeat: Heartbeat) -> bool:
        """Process a heartbeat that an endpoint sent to this controller.

        Args:
            endpoint_id: id of the endpoint.
            heartbeat: the decoded heartbeat.

        Returns:
            Whether it may be acknowledged, i.e. a quorum has stored the drain state that it reports. Always
            False without recent quorum contact: the other controllers would consider an endpoint missing that
            sends its heartbeats only here.
        """
        if self.plane.update_age() > MAX_CONTACT_AGE_S:
            return False
        changed_ids = self.registry.record_heartbeat(endpoint_id, heartbeat, self.runtime.now_ns())
        local_write = self.runtime.spawn(self.publish, changed_ids)
        record = self.registry.records[endpoint_id]
        body = [endpoint_id, msgspec.to_builtins(heartbeat)]
        if record.rank == DrainRank.ENDED:
            # A late heartbeat. It is acknowledged only after a quorum has stored the sign-off, so that it
            # can't revive the endpoint.
            return self.sign_off(endpoint_id)
        if record.durable_rank >= heartbeat.rank:
            self.forward(HEARTBEAT_KIND, body, self.plane.peers())
            return True
        self.forward(HEARTBEAT_KIND, body, self._non_voting_peers())
        return self.replicate(endpoint_id, heartbeat.rank, HEARTBEAT_KIND, body, local_write)

    def sign_off(self, endpoint_id: str) -> bool:
        """Process the sign-off of an endpoint, which may be unknown here.

        Returns:
            Whether it may be acknowledged, i.e. a quorum has stored it.
        """
        changed_ids = self.registry.deregister(endpoint_id, self.runtime.now_ns())
        local_write = self.runtime.spawn(self.publish, changed_ids)
        body = [endpoint_id]
        self.forward(SIGN_OFF_KIND, body, self._non_voting_peers())
        return self.replicate(endpoint_id, DrainRank.ENDED, SIGN_OFF_KIND, body, local_write)

    # Messages of other controllers. Each carries the epoch of the sender's voter set, or None if its answer
    # does not count towards a quorum.

    def epoch_mismatch(self, epoch: int | None) -> list | None:
        """The answer that rejects a message of another epoch; None if the epoch matches or is None."""
        return None if epoch is None else self.register.check_epoch(epoch)

    def store_and_confirm(
        self, epoch: int | None, endpoint_id: str, rank: int, changed_ids: list[str]
    ) -> bool | None:
        """Publish and store what a message changed, and confirm it if this process is a voter.

        Returns:
            True if this disk votes and has the endpoint at least at `rank`. Otherwise, and if the message had
            no epoch, None, which counts as no answer.
        """
        self.publish(changed_ids)
        if epoch is None or not self.register.can_vote():
            return None
        return True if self.ensure_stored(endpoint_id, rank) else None

    def on_heartbeat(self, connection: PeerConnection | None, body: list) -> list | bool | None:
        """Handle a heartbeat that another controller received.

        Returns:
            As `store_and_confirm`, or as `epoch_mismatch` if the epochs differ.
        """
        epoch, endpoint_id, fields = body
        refusal = self.epoch_mismatch(epoch)
        if refusal is not None:
            return refusal
        heartbeat = msgspec.convert(fields, Heartbeat)
        changed_ids = self.registry.record_heartbeat(endpoint_id, heartbeat, self.runtime.now_ns())
        return self.store_and_confirm(epoch, endpoint_id, heartbeat.rank, changed_ids)

    def on_sign_off(self, connection: PeerConnection | None, body: list) -> list | bool | None:
        """Handle a sign-off that another controller received.

        Returns:
            As `store_and_confirm`, or as `epoch_mismatch` if the epochs differ.
        """
        epoch, endpoint_id = body
        refusal = self.epoch_mismatch(epoch)
        if refusal is not None:
            return refusal
        changed_ids = self.registry.deregister(endpoint_id, self.runtime.now_ns())
        return self.store_and_confirm(epoch, endpoint_id, DrainRank.ENDED, changed_ids)

    def on_registry_page(self, connection: PeerConnection | None, body: list) -> list | None:
        """Return one page of this voter's endpoint registry to another controller.

        Args:
            connection: the connection of the request.
            body: [epoch, the id to continue after, "" for the first page].

        Returns:
            [rows, the id to continue after or "" on the last page, whether this process has recent quorum
            contact]; None if this disk does not vote or may lack records that it once confirmed; the answer
            of `epoch_mismatch` if the epochs differ.
        """
        epoch, after_id = body
        refusal = self.epoch_mismatch(epoch)
        if refusal is not None:
            return refusal
        if not self.register.can_vote() or not self.registry_complete:
            return None
        now_ns = self.runtime.now_ns()
        ids_left = sorted(endpoint_id for endpoint_id in self.registry.records if endpoint_id > after_id)
        page_ids = ids_left[:MAX_PORTION_ROWS]
        rows = [self.registry.records[endpoint_id].row(now_ns) for endpoint_id in page_ids]
        next_id = page_ids[-1] if len(page_ids) == MAX_PORTION_ROWS else ""
        in_contact = self.plane.update_age() <= MAX_CONTACT_AGE_S
        return [rows, next_id, in_contact]

    # Synchronization with other controllers.

    def fetch_registry(
        self, address: Address, kind: str, body: list, timeout_s: float
    ) -> RegistrySnapshot | list | None:
        """Fetch the endpoint registry of a voter, page by page.

        Args:
            address: address of the voter.
            kind: kind of the message.
            body: [epoch, the id to continue after].
            timeout_s: time-out for all pages together, in seconds.

        Returns:
            The snapshot; the voter's answer if its epoch differs; None if it did not answer in time.
        """
        epoch, after_id = body
        deadline = self.runtime.now() + timeout_s
        rows: list[list] = []
        while True:
            remaining_s = deadline - self.runtime.now()
            if remaining_s <= 0:
                return None
            answer = self.peer_pool.ask(address, kind, [epoch, after_id], remaining_s)
            if not isinstance(answer, list) or len(answer) != 3:
                return answer
            page_rows, after_id, in_contact = answer
            rows += page_rows
            if not after_id:
                return RegistrySnapshot(rows, in_contact)

    def sync_from_quorum(self, timeout_s: float = SYNC_TIMEOUT_S) -> bool:
        """Merge the endpoint registries of a quorum of voters and store the result on this disk.

        Called at start-up, after a long loss of quorum contact, and before this disk becomes a voter: what
        was acknowledged under an earlier voter set must be stored by a quorum of the current one.

        Args:
            timeout_s: time-out for the answers of the quorum, in seconds.

        Returns:
            Whether a quorum answered in time and, unless this process is stateless, the result was stored.
        """

        def local_snapshot() -> RegistrySnapshot | None:
            return RegistrySnapshot([], in_contact=False) if self.registry_complete else None

        answers = self.register.ask_quorum_of_each_epoch(
            REGISTRY_PAGE_KIND, [""], timeout_s, self.fetch_registry, local_snapshot
        )
        if answers is None:
            return False
        snapshots = [*answers.values()]
        now_ns = self.runtime.now_ns()
        for snapshot in snapshots:
            for row in snapshot.rows:
                self.registry.merge(
                    EndpointRecord.from_row(msgspec.convert(row, EndpointRow), now_ns), now_ns
                )
        self._mark_forgotten_by_voters(snapshots, now_ns)
        self.publish([record.id for record in self.registry.records.values() if self.is_unpublished(record)])
        return self._store_synced_records()

    def _mark_forgotten_by_voters(self, snapshots: list[RegistrySnapshot], now_ns: int) -> None:
        """Mark endpoints as suspected that no voter with quorum contact knows any more.

        They come from an outdated disk, on which expired records may survive. The next heartbeat of an
        endpoint that is alive restores it.
        """
        if not any(snapshot.in_contact for snapshot in snapshots):
            return
        if not self.needs_resync and self.plane.serving:
            return
        known_ids = {
            endpoint_id for snapshot in snapshots if snapshot.in_contact for endpoint_id, *_ in snapshot.rows
        }
        for endpoint_id in sorted(self.registry.records.keys() - known_ids):
            record = self.registry.records[endpoint_id]
            if record.state == EndpointState.READY:
                self.registry.set_liveness(record, Liveness.SUSPECTED, now_ns)

    def _store_synced_records(self) -> bool:
        """Store missing records and the completeness mark; whether this succeeded or no disk is needed."""
        missing_ids = [
            endpoint_id
            for endpoint_id, record in self.registry.records.items()
            if record.stored_rank < record.rank
        ]
        if self.store is None:
            return True
        if missing_ids or not self.registry_complete:
            if not self.store_records(missing_ids, {REGISTRY_COMPLETE_FACT: REGISTRY_COMPLETE}):
                return False
        self.registry_complete = True
        return True

    def is_unpublished(self, record: EndpointRecord) -> bool:
        """Whether the published state of an endpoint is missing or differs from the record."""
        published = self.updates.get(f"{ENDPOINT_KEY_PREFIX}{record.id}")
        if published is None:
            return True
        return any(published[name] != value for name, value in record.published_fields().items())

    def recover(self) -> bool:
        """Synchronize with a quorum at start-up, before API calls are served; whether this succeeded."""
        if not self.sync_from_quorum():
            return False
        self.registry.restart_failure_timeouts(self.runtime.now_ns())
        return True

    def merge_update(self, endpoint_id: str, version: list[int], value: dict, age_s: float = 0.0) -> None:
        """Merge an endpoint's state as published by another controller.

        If the merged record differs from that state, it is published again. A controller that receives no
        heartbeats may have published a liveness verdict older than the heartbeats received here, which by
        themselves changed nothing and so were not published.

        Args:
            endpoint_id: id of the endpoint.
            version: version of the published state.
            value: the published fields.
            age_s: seconds since it was published.
        """
        now_ns = self.runtime.now_ns()
        update = EndpointRecord.from_update(endpoint_id, version, value, now_ns, int(age_s * NS_PER_S))
        self.registry.merge(update, now_ns)
        record = self.registry.records.get(endpoint_id)
        if record is None:
            return
        facts = record.published_fields()
        if facts != {name: value[name] for name in facts}:
            self.publish([endpoint_id])

    # Liveness.

    def run(self) -> None:
        """Run the liveness check periodically for the life of the process."""
        checked_at = self.runtime.now()
        while True:
            self.runtime.sleep(LIVENESS_CHECK_INTERVAL_S)
            elapsed_s = self.runtime.now() - checked_at
            checked_at = self.runtime.now()
            self.check_liveness(max(elapsed_s - LIVENESS_CHECK_INTERVAL_S, self.plane.quorum_contact_age()))
            self.plane.close_departed_connections()

    def check_liveness(self, contact_age_s: float) -> None:
        """Mark endpoints with overdue heartbeats, and delete the rows of endpoints that have been forgotten.

        Args:
            contact_age_s: upper bound on this controller's staleness, in seconds; also counts a suspension of
                this process.
        """
        now_ns = self.runtime.now_ns()
        if contact_age_s > MAX_CONTACT_AGE_S:
            # Heartbeats may have gone to other controllers or be unread: their absence here proves nothing.
            self.out_of_contact = True
            self.needs_resync |= self.plane.serving and contact_age_s > SNAPSHOT_AFTER_S
        elif self.needs_resync:
            # Others may have expired tombstones that were never seen here, so merge their registries first.
            if self.sync_from_quorum():
                self.needs_resync = False
        elif self.out_of_contact:
            self.out_of_contact = False
            self.registry.restart_failure_timeouts(now_ns)
        else:
            self.publish(self.registry.tick(now_ns))
        self._remove_forgotten_rows()

    def _remove_forgotten_rows(self) -> None:
        """Delete the stored rows of endpoints that are no longer in the registry."""
        empty_rows = dict.fromkeys(self.stored_ids - self.registry.records.keys(), b"")
        if not empty_rows or not self.store:
            return
        if self.store.persist({}, None, empty_rows):
            # An endpoint may have been registered again during the write.
            self.stored_ids -= empty_rows.keys() - self.registry.records.keys()

    def has_signed_off(self, endpoint_id: str) -> bool:
        """Whether an endpoint has signed off; False once its record has expired."""
        record = self.registry.records.get(endpoint_id)
        return record is not None and record.rank == DrainRank.ENDED
