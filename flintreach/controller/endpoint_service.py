"""Endpoints of one controller: their calls, replication of what they say, verdicts on silence, the disk.

Three facts about an endpoint must outlive any loss within the bounds of the deployment: that it signed in,
that it is draining, and that it has signed off. A call that states one of them is acknowledged only when a
quorum of the voting disks has stored it. Each record notes what a quorum surely has (`durable`), by answers
that were given to this process alone: what another process says that it was answered does not count.

Calls come in from `http_api`, messages of other controllers from `transport`, and their published updates
from `peer_exchange`. What is known is merged in `flintreach.endpoints.registry`, which does no I/O.
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

# Message kinds, the key prefix and the fact on disk keep the bytes that earlier releases wrote: a fleet is
# exchanged process by process, and a disk outlives the release that wrote it.
HEARTBEAT_KIND = "beat"  # [epoch or None, endpoint id, heartbeat]
SIGN_OFF_KIND = "leave"  # [epoch or None, endpoint id]
REGISTRY_PAGE_KIND = "book"  # [epoch, the id to continue after]
REGISTRY_COMPLETE_FACT = "books"  # "1" once a disk that was empty has stored what a quorum had
REGISTRY_COMPLETE = "1"
REGISTRY_INCOMPLETE = "0"

ACKNOWLEDGE_S = 0.85  # callers turn to another controller after a second
OUT_OF_CONTACT_S = 1.2  # without contact with a majority for so long, a controller takes no heartbeats
COLLECT_S = 0.5  # for the registries of a quorum: machines without power are not waited for
FORWARD_S = 1.0  # time-out of a message whose answer is not counted
CHECK_INTERVAL_S = 0.25


class EndpointPlane(Protocol):
    """What `EndpointService` uses of `control_plane.ControlPlane`."""

    runtime: Runtime
    store: Store | None
    updates: VersionedStore
    register: Register
    peer_pool: PeerPool
    serving: bool

    @property
    def group(self) -> list[Address]:
        """Addresses of the processes whose disks vote."""
        ...

    def peers(self) -> list[Address]:
        """Addresses of the other controllers that are known to be alive, or vote."""
        ...

    def quorum_contact_age(self) -> float:
        """Seconds since a time up to which all that was acknowledged is known here."""
        ...

    def update_age(self) -> float:
        """The same for published updates; a day while this process starts or catches up."""
        ...

    def forget_left(self) -> None:
        """Close connections to controllers that have left."""
        ...


@dataclass(frozen=True, slots=True)
class RegistryCopy:
    """All that one voter knows of endpoints.

    Attributes:
        rows: endpoint records, as on disk.
        in_contact: whether that voter was in contact with a majority of late.
    """

    rows: list[list]
    in_contact: bool


class EndpointService:
    """The endpoints of one controller.

    Attributes:
        registry: what is known of endpoints.
        out_of_contact: no majority was reached of late, so silence here proves nothing.
        behind: that lasted so long that other controllers may have forgotten tombstones never seen here.
        complete: this disk has stored what a quorum had, since it was last empty.
        on_disk: ids of the endpoints that have a row on this disk.
    """

    def __init__(self, plane: EndpointPlane, report_ms: float) -> None:
        """Read the endpoints on this disk, and answer the messages of other controllers from now on.

        Args:
            plane: the control plane that this is a part of.
            report_ms: interval between heartbeats of an endpoint, in milliseconds.
        """
        self.plane = plane
        self.runtime = plane.runtime
        self.store = plane.store
        self.updates = plane.updates
        self.register = plane.register
        self.peer_pool = plane.peer_pool
        self.registry = EndpointRegistry(report_ms)
        self.out_of_contact = False
        self.behind = False
        now_ns = self.runtime.now_ns()
        for row in self.store.endpoint_rows.values() if self.store else ():
            record = EndpointRecord.from_row(msgspec.msgpack.decode(row, type=EndpointRow), now_ns)
            record.stored_rank = record.rank
            self.registry.merge(record, now_ns)
        self.complete = self._complete_on_disk()
        self.on_disk: set[str] = {*self.store.endpoint_rows} if self.store else set()
        self.peer_pool.handlers |= {
            HEARTBEAT_KIND: self.on_heartbeat,
            SIGN_OFF_KIND: self.on_sign_off,
            REGISTRY_PAGE_KIND: self.on_registry_page,
        }

    def _complete_on_disk(self) -> bool:
        """Whether this disk has all that it ever said it stored: one that came back empty may lack that."""
        if self.store is None:
            return False
        unrecorded = REGISTRY_COMPLETE if self.store.voting else REGISTRY_INCOMPLETE
        return self.store.facts.get(REGISTRY_COMPLETE_FACT, unrecorded) == REGISTRY_COMPLETE

    # What is published, and stored on this disk.

    def publish(self, endpoint_ids: Iterable[str]) -> bool:
        """Publish the state of some endpoints, and store it on this disk.

        Args:
            endpoint_ids: those with news; ids without a record are passed over.

        Returns:
            Whether all of it is on this disk.
        """
        now_ns = self.runtime.now_ns()
        known_ids = [endpoint_id for endpoint_id in endpoint_ids if endpoint_id in self.registry.records]
        for endpoint_id in known_ids:
            record = self.registry.records[endpoint_id]
            age_s = (now_ns - record.gone_at_ns) / NS_PER_S if record.state == EndpointState.GONE else 0.0
            self.updates.offer(
                f"{ENDPOINT_KEY_PREFIX}{endpoint_id}", record.version, record.update_value(now_ns), age_s
            )
        return self.write(known_ids)

    def write(self, endpoint_ids: list[str], facts: dict[str, str] | None = None) -> bool:
        """Store some records as they are now, and facts, on this disk in one write.

        Args:
            endpoint_ids: of records that are known.
            facts: further facts to store, by name.

        Returns:
            Whether the disk took them; False where this process has none.
        """
        if self.store is None:
            return False
        now_ns = self.runtime.now_ns()
        records = [self.registry.records[endpoint_id] for endpoint_id in endpoint_ids]
        # Noted before the write: a rank that rises while it lasts is not yet on the disk.
        ranks = [record.rank for record in records]
        rows = {record.id: PACK(record.row(now_ns)) for record in records}
        self.on_disk |= rows.keys()
        if (rows or facts) and not self.store.persist({}, facts, rows):
            return False
        for record, rank in zip(records, ranks):
            record.stored_rank = max(record.stored_rank, rank)
        return True

    def ensure_on_disk(self, endpoint_id: str, rank: int) -> bool:
        """Whether this disk has an endpoint at least at a rank; it is written where that was not known."""
        record = self.registry.records.get(endpoint_id)
        if record is None:
            return False
        if record.stored_rank >= rank:
            return True
        return self.write([endpoint_id]) and record.stored_rank >= rank

    # What a quorum of the voters has stored.

    def replicate(self, endpoint_id: str, rank: int, kind: str, body: list, local_write: Task) -> bool:
        """Have the disks of a quorum store that an endpoint is at least at a rank.

        Args:
            endpoint_id: of a record that is known here.
            rank: a `DrainRank`.
            kind: of the message that tells the voters.
            body: of that message, without the epoch.
            local_write: the write of the same on this disk, under way.

        Returns:
            Whether a quorum answered in time that it has stored it, to this process, now or before.
        """
        record = self.registry.records[endpoint_id]
        if record.durable_rank >= rank:
            return True

        def local_answer() -> bool | None:
            local_write.result(ACKNOWLEDGE_S)
            return True if self.ensure_on_disk(endpoint_id, rank) else None

        answers = self.register.ask_quorum_of_each_epoch(kind, body, ACKNOWLEDGE_S, local_answer=local_answer)
        if answers is None:
            return False
        record.durable_rank = max(record.durable_rank, rank)
        return True

    def forward(self, kind: str, body: list, addresses: Iterable[Address]) -> None:
        """Send a message to some controllers without waiting; no answer to it is counted."""
        # In one order, so that a simulated run can be replayed.
        for address in sorted(addresses):
            self.runtime.spawn(self.peer_pool.ask, address, kind, [None, *body], FORWARD_S)

    def _non_voting_peers(self) -> set[Address]:
        return {*self.plane.peers()} - {*self.plane.group}

    # Calls of endpoints.

    def record_heartbeat(self, endpoint_id: str, heartbeat: Heartbeat) -> bool:
        """Take an endpoint's heartbeat.

        Args:
            endpoint_id: whose it is.
            heartbeat: as it came in.

        Returns:
            Whether it may be acknowledged: a quorum has stored what it says of draining. False also while
            this controller is out of contact with a majority: the others would take for silent an endpoint
            that calls here alone.
        """
        if self.plane.update_age() > OUT_OF_CONTACT_S:
            return False
        changed_ids = self.registry.record_heartbeat(endpoint_id, heartbeat, self.runtime.now_ns())
        local_write = self.runtime.spawn(self.publish, changed_ids)
        record = self.registry.records[endpoint_id]
        body = [endpoint_id, msgspec.to_builtins(heartbeat)]
        if record.rank == DrainRank.ENDED:
            # Late: acknowledged once a quorum has the sign-off, so that nothing can bring the endpoint back.
            return self.sign_off(endpoint_id)
        if record.durable_rank >= heartbeat.rank:
            self.forward(HEARTBEAT_KIND, body, self.plane.peers())
            return True
        self.forward(HEARTBEAT_KIND, body, self._non_voting_peers())
        return self.replicate(endpoint_id, heartbeat.rank, HEARTBEAT_KIND, body, local_write)

    def sign_off(self, endpoint_id: str) -> bool:
        """Take an endpoint's sign-off, also of one that was never heard of.

        Returns:
            Whether it may be acknowledged: a quorum has stored it.
        """
        changed_ids = self.registry.deregister(endpoint_id, self.runtime.now_ns())
        local_write = self.runtime.spawn(self.publish, changed_ids)
        body = [endpoint_id]
        self.forward(SIGN_OFF_KIND, body, self._non_voting_peers())
        return self.replicate(endpoint_id, DrainRank.ENDED, SIGN_OFF_KIND, body, local_write)

    # Messages of other controllers. Their epoch is that of the sender's voters, or None where no answer is
    # counted.

    def other_epoch(self, epoch: int | None) -> list | None:
        """What to answer instead of acting, where the sender's voters are of another epoch."""
        return None if epoch is None else self.register.check_epoch(epoch)

    def answer(self, epoch: int | None, endpoint_id: str, rank: int, changed_ids: list[str]) -> bool | None:
        """Publish what a message changed, and say whether it is on this disk.

        Returns:
            True where this disk votes and has the endpoint at least at `rank`; None, which counts as no
            answer, where it has not, does not vote or was not asked.
        """
        self.publish(changed_ids)
        if epoch is None or not self.register.can_vote():
            return None
        return True if self.ensure_on_disk(endpoint_id, rank) else None

    def on_heartbeat(self, connection: PeerConnection | None, body: list) -> list | bool | None:
        """Another controller took a heartbeat: see `answer`, or `other_epoch` where that differs."""
        epoch, endpoint_id, fields = body
        refusal = self.other_epoch(epoch)
        if refusal is not None:
            return refusal
        heartbeat = msgspec.convert(fields, Heartbeat)
        changed_ids = self.registry.record_heartbeat(endpoint_id, heartbeat, self.runtime.now_ns())
        return self.answer(epoch, endpoint_id, heartbeat.rank, changed_ids)

    def on_sign_off(self, connection: PeerConnection | None, body: list) -> list | bool | None:
        """Another controller took a sign-off: see `answer`, or `other_epoch` where that differs."""
        epoch, endpoint_id = body
        refusal = self.other_epoch(epoch)
        if refusal is not None:
            return refusal
        changed_ids = self.registry.deregister(endpoint_id, self.runtime.now_ns())
        return self.answer(epoch, endpoint_id, DrainRank.ENDED, changed_ids)

    def on_registry_page(self, connection: PeerConnection | None, body: list) -> list | None:
        """Another controller asks what is known of endpoints here.

        Args:
            connection: that the question came by.
            body: [epoch, the id to continue after, "" for the first page].

        Returns:
            [rows, the id to continue after or "" where that was all, whether this process is in contact
            with a majority]; None where this disk doesn't vote, or may lack what it once stored; see
            `other_epoch` where that differs.
        """
        epoch, after_id = body
        refusal = self.other_epoch(epoch)
        if refusal is not None:
            return refusal
        if not self.register.can_vote() or not self.complete:
            return None
        now_ns = self.runtime.now_ns()
        ids_left = sorted(endpoint_id for endpoint_id in self.registry.records if endpoint_id > after_id)
        page_ids = ids_left[:MAX_PORTION_ROWS]
        rows = [self.registry.records[endpoint_id].row(now_ns) for endpoint_id in page_ids]
        next_id = page_ids[-1] if len(page_ids) == MAX_PORTION_ROWS else ""
        in_contact = self.plane.update_age() <= OUT_OF_CONTACT_S
        return [rows, next_id, in_contact]

    # What other controllers know.

    def ask_registry(
        self, address: Address, kind: str, body: list, timeout_s: float
    ) -> RegistryCopy | list | None:
        """Fetch all that a voter knows of endpoints, page by page.

        Args:
            address: of the voter.
            kind: of the message.
            body: [epoch, the id to continue after].
            timeout_s: for all pages together, in seconds.

        Returns:
            The copy; the voter's answer where its epoch differs; None where it didn't answer in time.
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
                return RegistryCopy(rows, in_contact)

    def sync_from_quorum(self, timeout_s: float = COLLECT_S) -> bool:
        """Take in what a quorum of the voters knows of endpoints, and store it on this disk.

        Called at a start, and whenever this disk comes to vote: a fact that was acknowledged before must be
        on a quorum of those that vote now.

        Args:
            timeout_s: for the answers of the quorum, in seconds.

        Returns:
            Whether a quorum answered in time and all of it is on this disk, if there is one.
        """

        def local_copy() -> RegistryCopy | None:
            return RegistryCopy([], in_contact=False) if self.complete else None

        answers = self.register.ask_quorum_of_each_epoch(
            REGISTRY_PAGE_KIND, [""], timeout_s, self.ask_registry, local_copy
        )
        if answers is None:
            return False
        copies = [*answers.values()]
        now_ns = self.runtime.now_ns()
        for copy in copies:
            for row in copy.rows:
                self.registry.merge(
                    EndpointRecord.from_row(msgspec.convert(row, EndpointRow), now_ns), now_ns
                )
        self._judge_unknown_to_others(copies, now_ns)
        self.publish([record.id for record in self.registry.records.values() if self.differs(record)])
        return self._store_collected()

    def _judge_unknown_to_others(self, copies: list[RegistryCopy], now_ns: int) -> None:
        """Call silent what voters that were in contact all the while have forgotten.

        Only an old disk may still have it. If such an endpoint is alive, its next heartbeat brings it back.
        """
        if not any(copy.in_contact for copy in copies):
            return
        if not self.behind and self.plane.serving:
            return
        known_ids = {endpoint_id for copy in copies if copy.in_contact for endpoint_id, *_ in copy.rows}
        for endpoint_id in sorted(self.registry.records.keys() - known_ids):
            record = self.registry.records[endpoint_id]
            if record.state == EndpointState.READY:
                self.registry.set_liveness(record, Liveness.SUSPECTED, now_ns)

    def _store_collected(self) -> bool:
        """Whether this disk, if there is one, has all that is known, and that it is complete."""
        lacking_ids = [
            endpoint_id
            for endpoint_id, record in self.registry.records.items()
            if record.stored_rank < record.rank
        ]
        if self.store is None:
            return True
        if lacking_ids or not self.complete:
            if not self.write(lacking_ids, {REGISTRY_COMPLETE_FACT: REGISTRY_COMPLETE}):
                return False
        self.complete = True
        return True

    def differs(self, record: EndpointRecord) -> bool:
        """Whether something else is published of an endpoint than what is known here."""
        published = self.updates.get(f"{ENDPOINT_KEY_PREFIX}{record.id}")
        if published is None:
            return True
        return any(published[name] != value for name, value in record.published_fields().items())

    def recover(self) -> bool:
        """Learn what a quorum knows, before endpoints may call; whether that is done."""
        if not self.sync_from_quorum():
            return False
        self.registry.restart_failure_timeouts(self.runtime.now_ns())
        return True

    def merge_update(self, endpoint_id: str, version: list[int], value: dict, age_s: float = 0.0) -> None:
        """Take in what another controller published of an endpoint.

        Where this one knows better, it publishes that: its heartbeats may be later than the verdict of a
        controller that hears nothing, and were nothing new before.

        Args:
            endpoint_id: whose state it is.
            version: of that state.
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

    # Verdicts on silence.

    def run(self) -> None:
        """Judge silence at every interval, for as long as the process lives."""
        checked_at = self.runtime.now()
        while True:
            self.runtime.sleep(CHECK_INTERVAL_S)
            elapsed_s = self.runtime.now() - checked_at
            checked_at = self.runtime.now()
            self.check_silence(max(elapsed_s - CHECK_INTERVAL_S, self.plane.quorum_contact_age()))
            self.plane.forget_left()

    def check_silence(self, contact_age_s: float) -> None:
        """Judge endpoints that have fallen silent, and remove the rows of those that are forgotten.

        Args:
            contact_age_s: seconds since this process surely heard all that a majority heard.
        """
        now_ns = self.runtime.now_ns()
        if contact_age_s > OUT_OF_CONTACT_S:
            # Heartbeats went elsewhere, or lie unread: that none came here is not the endpoints' silence.
            self.out_of_contact = True
            self.behind |= self.plane.serving and contact_age_s > SNAPSHOT_AFTER_S
        elif self.behind:
            # Others may have forgotten tombstones never seen here: it starts anew, from their registries.
            if self.sync_from_quorum():
                self.behind = False
        elif self.out_of_contact:
            self.out_of_contact = False
            self.registry.restart_failure_timeouts(now_ns)
        else:
            self.publish(self.registry.tick(now_ns))
        self._remove_forgotten_rows()

    def _remove_forgotten_rows(self) -> None:
        """Delete from this disk the rows of endpoints that are no longer known."""
        empty_rows = dict.fromkeys(self.on_disk - self.registry.records.keys(), b"")
        if not empty_rows or not self.store:
            return
        if self.store.persist({}, None, empty_rows):
            # An endpoint may have come back during the write.
            self.on_disk -= empty_rows.keys() - self.registry.records.keys()

    def has_signed_off(self, endpoint_id: str) -> bool:
        """Whether an endpoint has signed off, as long as that is remembered."""
        record = self.registry.records.get(endpoint_id)
        return record is not None and record.rank == DrainRank.ENDED
