"""What `flintreach show` prints of a controller: one function a view, each returns rows.

Names of views and keys of rows are what operators and their scripts read: they stay as they are.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from flintreach.common.keys import KEY_RANGES_PREFIX, SLICE_KEY_PREFIX
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
MEMBER_STATE_NAMES = ("alive", "suspected", "dead", "left")  # by `Member.state`

Row = dict[str, Any]


@dataclass(slots=True)
class RefusalCount:
    """How many calls were refused for one reason, and when the last was, in seconds of the steady clock."""

    count: int = 0
    last_at: float = 0.0


class ViewedPlane(Protocol):
    """What the views read of the control plane."""

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

    @property
    def group(self) -> list[tuple[str, int]]:
        """Return the addresses of the voters."""

    @property
    def registry(self) -> EndpointRegistry:
        """Return the registry of endpoints."""

    def quorum_contact_age(self) -> float:
        """Return the seconds since a time up to which all that was acknowledged is known here."""

    def evacuated_zones(self) -> set[str]:
        """Return the zones that are evacuated."""


def member_rows(plane: ViewedPlane) -> list[Row]:
    """Return a row for each process in the member list, by name."""
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
    """Return a row for each endpoint, by service and id."""
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
    """Return a row for each shard of endpoints, by its name."""
    return [
        {"slice": name, "endpoints": len(ids), "ids": " ".join(ids)}
        for name, ids in sorted(plane.updates.under(SLICE_KEY_PREFIX).items())
    ]


def key_range_rows(plane: ViewedPlane) -> list[Row]:
    """Return a row for each key range of each sharded service."""
    return [
        {"line": service, "from": low, "to": high, "holder": holder, "state": state}
        for service, ranges in sorted(plane.updates.under(KEY_RANGES_PREFIX).items())
        for low, high, holder, state in ranges
    ]


def traffic_rows(plane: ViewedPlane) -> list[Row]:
    """Return messages and bytes between processes, by kind."""
    return plane.peer_pool.traffic()


def voter_rows(plane: ViewedPlane) -> list[Row]:
    """Return a row for each voter, and each disk that may become one."""
    return plane.repair.voter_manager.rows()


def status_rows(plane: ViewedPlane) -> list[Row]:
    """Return one row of this controller's own state."""
    now = plane.runtime.now()
    refusals = sorted(plane.refusals.items(), key=lambda entry: -entry[1].count)
    contacts = sorted(plane.quorum_contact.confirmed_at.items())
    return [
        {
            "node": plane.node.sender.node_name,
            "ready": plane.serving,
            "edition": f"{plane.routes.number:08x}" if plane.routes else "",
            "refused": ", ".join(
                f"{refusal.count} {reason} ({now - refusal.last_at:.1f} s ago)"
                for reason, refusal in refusals
            ),
            "refused_by_disk": plane.register.failed_writes,
            "sleeps": plane.suspend_detector.suspensions,
            "disks": len(plane.group),
            "votes": plane.register.can_vote(),
            "contact_s": round(plane.quorum_contact_age(), 1),
            "contacts_s": " ".join(f"{ip} {now - asked_at:.1f}" for (ip, _), asked_at in contacts),
            "evacuated": " ".join(sorted(plane.evacuated_zones())),
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
    """Return the rows of a view, None where there is no such view."""
    rows_of = VIEWS.get(view)
    return None if rows_of is None else rows_of(plane)
