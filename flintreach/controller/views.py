"""Views of a controller's state for `flintreach show`; each view is a function that returns rows.

The names of views and the keys of rows are an operator interface that scripts depend on; don't change them.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from flintreach.common.keys import KEY_RANGES_PREFIX, SLICE_KEY_PREFIX
from flintreach.common.lifecycle import UnhandledErrors
from flintreach.common.resources import open_descriptors, resident_bytes
from flintreach.config.routing import Routes
from flintreach.config.settings import ProcessSettings
from flintreach.consensus.register import Register
from flintreach.controller.quorum_contact import QuorumContact, SuspendDetector
from flintreach.controller.repair import Repair
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.endpoints.registry import EndpointRegistry
from flintreach.membership.member_list import MemberList
from flintreach.transport.peer_pool import PeerPool
from flintreach.transport.runtime import Runtime

NS_PER_MS = 1_000_000
BYTES_PER_MB = 1 << 20
MEMBER_STATE_NAMES = ("alive", "suspected", "dead", "left")  # by `Member.state`

Row = dict[str, Any]


@dataclass(slots=True)
class RefusalCount:
    """Number of calls refused for one reason, and the monotonic time of the last one in seconds."""

    count: int = 0
    last_at: float = 0.0


class ViewedPlane(Protocol):
    """The part of the control plane that the views read."""

    runtime: Runtime
    node: ProcessSettings
    peer_pool: PeerPool
    member_list: MemberList
    updates: VersionedStore
    register: Register
    repair: Repair
    quorum_contact: QuorumContact
    suspend_detector: SuspendDetector
    serving: bool
    routes: Routes | None
    refusals: Mapping[str, RefusalCount]
    unhandled_errors: UnhandledErrors

    @property
    def voter_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses of the voters."""

    @property
    def registry(self) -> EndpointRegistry:
        """Return the endpoint registry."""

    def quorum_contact_age(self) -> float:
        """Return an upper bound on this controller's staleness, in seconds."""

    def evacuated_zones(self) -> set[str]:
        """Return the zones under evacuation."""


def member_rows(plane: ViewedPlane) -> list[Row]:
    """Return a row for each cluster member, sorted by name."""
    members = sorted(plane.member_list.members.values(), key=lambda member: member.name)
    return [
        {
            "name": member.name,
            "role": member.role,
            "zone": member.zone,
            "address": f"{member.ip}:{member.port}",
            "ready": member.ready,
            "state": MEMBER_STATE_NAMES[member.state],
        }
        for member in members
    ]


def endpoint_rows(plane: ViewedPlane) -> list[Row]:
    """Return a row for each endpoint, sorted by service and id."""
    now_ns = plane.runtime.now_ns()
    records = sorted(plane.registry.records.values(), key=lambda record: (record.service, record.id))
    return [
        {
            "id": record.id,
            "line": record.service,
            "addr": record.address,
            "zone": record.zone,
            "state": record.state,
            "berths": record.capacity,
            "cold_ms": max(0, record.warming_up_until_ns - now_ns) // NS_PER_MS,
            "heard_ms": None
            if record.last_heartbeat_ns is None
            else (now_ns - record.last_heartbeat_ns) // NS_PER_MS,
        }
        for record in records
    ]


def assignment_rows(plane: ViewedPlane) -> list[Row]:
    """Return a row for each slice with its assigned endpoints, sorted by name."""
    return [
        {"slice": name, "endpoints": len(ids), "ids": " ".join(ids)}
        for name, ids in sorted(plane.updates.with_prefix(SLICE_KEY_PREFIX).items())
    ]


def key_range_rows(plane: ViewedPlane) -> list[Row]:
    """Return a row for each key range of each sharded service."""
    return [
        {"line": service, "from": low, "to": high, "holder": holder, "state": state}
        for service, ranges in sorted(plane.updates.with_prefix(KEY_RANGES_PREFIX).items())
        for low, high, holder, state in ranges
    ]


def traffic_rows(plane: ViewedPlane) -> list[Row]:
    """Return message and byte counts of peer traffic, by message kind."""
    return plane.peer_pool.traffic()


def voter_rows(plane: ViewedPlane) -> list[Row]:
    """Return a row for each voter and each candidate voter."""
    return plane.repair.voter_manager.rows()


def status_rows(plane: ViewedPlane) -> list[Row]:
    """Return one row with the state of this controller."""
    now = plane.runtime.now()
    refusals = sorted(plane.refusals.items(), key=lambda entry: -entry[1].count)
    contacts = sorted(plane.quorum_contact.confirmed_at.items())
    return [
        {
            "node": plane.node.identity.node_name,
            "ready": plane.serving,
            "edition": f"{plane.routes.number:08x}" if plane.routes else "",
            "refused": ", ".join(
                f"{refusal.count} {reason} ({now - refusal.last_at:.1f} s ago)"
                for reason, refusal in refusals
            ),
            "refused_by_disk": plane.register.failed_writes,
            "sleeps": plane.suspend_detector.suspensions,
            "disks": len(plane.voter_addresses),
            "votes": plane.register.can_vote(),
            "contact_s": round(plane.quorum_contact_age(), 1),
            "contacts_s": " ".join(f"{ip} {now - asked_at:.1f}" for (ip, _), asked_at in contacts),
            "evacuated": " ".join(sorted(plane.evacuated_zones())),
            "memory_mb": resident_bytes() // BYTES_PER_MB,
            "memory_limit_mb": plane.node.identity.limits.memory_mb,
            "descriptors": open_descriptors(),
            "descriptor_limit": plane.node.identity.limits.file_handles,
            "unhandled": plane.unhandled_errors.total,
        }
    ]


VIEWS: dict[str, Callable[[ViewedPlane], list[Row]]] = {
    "members": member_rows,
    "endpoints": endpoint_rows,
    "tables": assignment_rows,
    "keys": key_range_rows,
    "traffic": traffic_rows,
    "voters": voter_rows,
    "status": status_rows,
}


def show(plane: ViewedPlane, view: str) -> list[Row] | None:
    """Return the rows of a view; None if it does not exist."""
    make_rows = VIEWS.get(view)
    return None if make_rows is None else make_rows(plane)
