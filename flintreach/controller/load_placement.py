"""Load-based placement on one controller: assigns endpoints to slices by the load that proxies report.

A slice is the traffic of one route to one service. Proxies count requests and the load of endpoints; the
relay tree aggregates the counts up to the controllers. All controllers forward theirs to one of them, the
placement leader, which searches for a better assignment (`flintreach.placement.placer`) and writes it to the
register. `LoadPlacement` also holds two other parts that use the counts: `key_ranges` and `directory`.
"""

import zlib
from typing import Protocol

import msgspec

from flintreach.common.keys import ASSIGNMENT_KEY, ROLE_CONTROLLER, SLICE_KEY_PREFIX
from flintreach.config.routing import Routes
from flintreach.config.settings import ProcessSettings
from flintreach.consensus.register import Register
from flintreach.controller.directory import Directory
from flintreach.controller.key_ranges import KEY_LOAD_KIND, EndedEndpoints, KeyRanges
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.endpoints.registry import EndpointRegistry, EndpointState
from flintreach.membership.member_list import Member, MemberList
from flintreach.placement.placer import Candidate, Placer
from flintreach.transport.peer_connection import PeerConnection
from flintreach.transport.peer_pool import PeerPool
from flintreach.transport.runtime import Runtime

PACK = msgspec.msgpack.encode
UNPACK = msgspec.msgpack.decode

# Message kind of load aggregates sent to the placement leader; the value is that of earlier releases.
LOAD_KIND = "counts"

INTERVAL_S = 1.0
SEND_TIMEOUT_S = 0.8  # for a message with load aggregates
REGISTER_TIMEOUT_S = 1.0  # for a change of the register

Slice = tuple[str, str, tuple[str, ...]]  # name, service, home regions of its route


class AssignmentPublisher(Protocol):
    """The part of `operator_requests.OperatorRequests` that `LoadPlacement` uses."""

    def publish(self, key: str, value: bytes | None) -> None:
        """Publish a committed value of the register."""
        ...


class PlacementPlane(Protocol):
    """The part of `control_plane.ControlPlane` that `LoadPlacement` and its parts use."""

    runtime: Runtime
    updates: VersionedStore
    register: Register
    peer_pool: PeerPool
    member_list: MemberList
    endpoints: EndedEndpoints
    operator_requests: AssignmentPublisher
    node: ProcessSettings
    routes: Routes | None
    serving: bool

    @property
    def registry(self) -> EndpointRegistry:
        """Return the endpoint registry."""
        ...

    def peers(self) -> list[tuple[str, int]]:
        """Return the addresses of the other controllers that are alive or vote."""
        ...

    def evacuated_zones(self) -> set[str]:
        """Return the zones that are evacuated."""
        ...


def placement_leader(controllers: list[Member]) -> Member | None:
    """Return the placement leader: the first by name of the controllers that are ready.

    A controller that is still starting may know an outdated assignment.
    """
    ready = (member for member in controllers if member.ready)
    return min(ready, key=lambda member: member.name, default=None)


class LoadPlacement:
    """Placement of endpoints on slices, together with the key ranges and the directory.

    Attributes:
        key_ranges: lease owners of the sharded services.
        directory: answers clients that look for a proxy.
        load_aggregate: load reported since the last placement interval.
        placer: searches for a better assignment.
    """

    def __init__(self, plane: PlacementPlane) -> None:
        """Register the handler for load aggregates of other controllers."""
        self.plane = plane
        self.runtime = plane.runtime
        self.updates = plane.updates
        self.register = plane.register
        self.peer_pool = plane.peer_pool
        self.member_list = plane.member_list
        self.load_aggregate = LoadAggregate()
        self.placer = Placer(zlib.crc32(plane.node.identity.node_name.encode()))
        self.key_ranges = KeyRanges(plane)
        self.directory = Directory(plane, self.key_ranges)
        self.peer_pool.handlers |= {LOAD_KIND: self.on_load}

    # Load.

    def on_load(self, connection: PeerConnection | None, body: dict) -> None:
        """Handle a load aggregate of another controller."""
        self.add_load(body)

    def add_load(self, body: dict) -> None:
        """Add a load aggregate of proxies or of another controller."""
        self.load_aggregate.add_report(body)

    # The directory.

    def proxy_addresses(self, host: str, region: str, zone: str) -> list[str]:
        """Return the proxies that a client should use: see `Directory.proxy_addresses`."""
        return self.directory.proxy_addresses(host, region, zone)

    def record_answer(self, now: float) -> float:
        """Count an answer and return its validity in seconds: see `Directory.record_answer`."""
        return self.directory.record_answer(now)

    # Placement.

    def run(self) -> None:
        """At every interval, place as the leader, or forward the load to the leader.

        Two leaders at once do no harm: an assignment is written only if the one that the search started from
        is still current.
        """
        while True:
            self.runtime.sleep(INTERVAL_S)
            load = self.load_aggregate.flush()
            routes = self.plane.routes
            leader = placement_leader(self.member_list.alive(ROLE_CONTROLLER))
            if leader is not self.member_list.local_member:
                if load and leader is not None:
                    self._send(leader.address, LOAD_KIND, load)
                continue
            if routes is None:
                continue
            self._share_key_load(load)
            self._place(routes, load)

    def _send(self, address: tuple[str, int], kind: str, body: dict) -> None:
        self.runtime.spawn(self.peer_pool.ask, address, kind, body, SEND_TIMEOUT_S)

    def _share_key_load(self, load: dict | None) -> None:
        """Send the load by key to all controllers: any of them may be the lease owner of a service."""
        key_load = self.key_ranges.key_load.add_second(load)
        if not key_load:
            return
        for address in self.plane.peers():
            self._send(address, KEY_LOAD_KIND, key_load)

    def _place(self, routes: Routes, load: dict | None) -> None:
        """Search for a better assignment, and write it if one was found or slices were removed."""
        slices = self._slices(routes)
        number = self.updates.get(ASSIGNMENT_KEY, 0)
        request_counts = load["came"] if load else {}
        endpoint_load = load["load"] if load else {}
        self.placer.configure(slices, self.updates.with_prefix(SLICE_KEY_PREFIX))
        self.placer.record_demand(request_counts, self.runtime.now_ns())
        for _ in self.placer.run(self.candidates(endpoint_load), self.runtime.now_ns()):
            self.runtime.sleep(0)  # the search is long: yield to other tasks
        slice_names = {name for name, _, _ in slices}
        if self.placer.changed or self.updates.with_prefix(SLICE_KEY_PREFIX).keys() - slice_names:
            self.write_assignment(number, slice_names, self.placer.changed)

    @staticmethod
    def _slices(routes: Routes) -> list[Slice]:
        """Return the slices of the configuration; sharded services use key ranges instead."""
        return [
            (f"{route.name} {service}", service, route.home_regions)
            for route in routes.all
            for service, _ in route.services
            if not routes.service_configs[service].sharded
        ]

    def candidates(self, load: dict[str, list]) -> list[Candidate]:
        """Return the endpoints that may serve: those that are ready, outside evacuated zones.

        Args:
            load: endpoint id -> [sum of its load reports relative to its concurrency limit, their number].
        """
        now_ns = self.runtime.now_ns()
        evacuated = self.plane.evacuated_zones()
        region_by_zone = self.plane.node.network.zones
        candidates = []
        for record in self.plane.registry.records.values():
            if record.state != EndpointState.READY or record.zone in evacuated:
                continue
            mean_load = None
            if record.id in load:
                total, count = load[record.id]
                mean_load = total / count
            region = region_by_zone.get(record.zone, "")
            cold = record.warming_up_until_ns > now_ns
            candidates.append(Candidate(record.id, record.service, region, record.capacity, cold, mean_load))
        return candidates

    def write_assignment(self, number: int, slice_names: set[str], changed: dict[str, list[str]]) -> None:
        """Write a new assignment to the register, and publish it.

        Args:
            number: version of the assignment that the search started from.
            slice_names: the slices of the configuration; all others are removed.
            changed: endpoint ids by slice, for the slices that change.
        """

        def step(old_value: bytes | None) -> bytes | None:
            current_number, tables = UNPACK(old_value) if old_value else (0, {})
            if current_number != number:
                return None  # another controller was faster: the next search starts from its assignment
            kept = {name: ids for name, ids in tables.items() if name in slice_names}
            return PACK([number + 1, kept | changed])

        done, value = self.register.change(ASSIGNMENT_KEY, step, REGISTER_TIMEOUT_S)
        if done:
            self.plane.operator_requests.publish(ASSIGNMENT_KEY, value)
