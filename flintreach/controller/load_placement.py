"""Placement on one controller: which endpoints serve which slice, by the load that proxies sum up.

A slice is what one route sends to one service. Proxies count requests and the endpoints' load; the sums come
up the tree of relays to a controller. Those of all controllers go to one, which searches for a better
assignment (`flintreach.placement.placer`) and writes it to the register. `LoadPlacement` also holds the two
other parts that work by these sums: `key_ranges` and `directory`.
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

# Message kind and keys, as earlier releases wrote them.
LOAD_KIND = "counts"  # sums of load, to the controller that places

INTERVAL_S = 1.0
TELL_S = 0.8  # for a message that tells sums
WRITE_S = 1.0  # for a change of the register

Slice = tuple[str, str, tuple[str, ...]]  # name, service, home regions of its route


class AssignmentFollower(Protocol):
    """What `LoadPlacement` uses of `operator_requests.OperatorRequests`."""

    def learn(self, key: str, value: bytes | None) -> None:
        """Publish what stands in the register."""
        ...


class PlacementPlane(Protocol):
    """What `LoadPlacement` and its parts use of `control_plane.ControlPlane`."""

    runtime: Runtime
    updates: VersionedStore
    register: Register
    peer_pool: PeerPool
    member_list: MemberList
    endpoints: EndedEndpoints
    operator_requests: AssignmentFollower
    node: ProcessSettings
    routes: Routes | None
    serving: bool

    @property
    def registry(self) -> EndpointRegistry:
        """What is known of endpoints."""
        ...

    def peers(self) -> list[tuple[str, int]]:
        """Addresses of the other controllers that are known to be alive, or vote."""
        ...

    def evacuated_zones(self) -> set[str]:
        """Zones that are evacuated."""
        ...


def leader(controllers: list[Member]) -> Member | None:
    """The controller that places: the first by name of those that are ready.

    One that still starts may know an old assignment.
    """
    ready = (member for member in controllers if member.ready)
    return min(ready, key=lambda member: member.name, default=None)


class LoadPlacement:
    """Placement of endpoints on slices, with the owners of key ranges and the directory beside it.

    Attributes:
        key_ranges: owners of the key ranges of sharded services.
        directory: answers to clients that look for a proxy.
        load_aggregate: sums of load since they were last taken.
        placer: the search for a better assignment.
    """

    def __init__(self, plane: PlacementPlane) -> None:
        """Take the sums that other controllers tell, from now on."""
        self.plane = plane
        self.runtime = plane.runtime
        self.updates = plane.updates
        self.register = plane.register
        self.peer_pool = plane.peer_pool
        self.member_list = plane.member_list
        self.load_aggregate = LoadAggregate()
        self.placer = Placer(zlib.crc32(plane.node.sender.node_name.encode()))
        self.key_ranges = KeyRanges(plane)
        self.directory = Directory(plane, self.key_ranges)
        self.peer_pool.handlers |= {LOAD_KIND: self.on_load}

    # Load.

    def on_load(self, connection: PeerConnection | None, body: dict) -> None:
        """Another controller tells the sums that came up to it."""
        self.add_load(body)

    def add_load(self, body: dict) -> None:
        """Add sums of load that proxies, or another controller, told."""
        self.load_aggregate.add(body)

    # The directory.

    def proxy_addresses(self, host: str, region: str, zone: str) -> list[str]:
        """Addresses of the proxies that a client is to use: see `Directory.proxy_addresses`."""
        return self.directory.proxy_addresses(host, region, zone)

    def record_answer(self, now: float) -> float:
        """Seconds for which such an answer holds: see `Directory.record_answer`."""
        return self.directory.record_answer(now)

    # Placement.

    def run(self) -> None:
        """Place, or hand on the sums, at every interval, for as long as the process lives.

        One controller places. Two at once do no harm: the assignment changes only where it is still the one
        that the search began from.
        """
        while True:
            self.runtime.sleep(INTERVAL_S)
            load = self.load_aggregate.take()
            routes = self.plane.routes
            placing = leader(self.member_list.alive(ROLE_CONTROLLER))
            if placing is not self.member_list.local_member:
                if load and placing is not None:
                    self._tell(placing.address, LOAD_KIND, load)
                continue
            if routes is None:
                continue
            self._share_key_load(load)
            self._place(routes, load)

    def _tell(self, address: tuple[str, int], kind: str, body: dict) -> None:
        self.runtime.spawn(self.peer_pool.ask, address, kind, body, TELL_S)

    def _share_key_load(self, load: dict | None) -> None:
        """Tell the load by key to all controllers: any of them may own the keys of a service."""
        key_load = self.key_ranges.key_load.add_second(load)
        if not key_load:
            return
        for address in self.plane.peers():
            self._tell(address, KEY_LOAD_KIND, key_load)

    def _place(self, routes: Routes, load: dict | None) -> None:
        """Search for a better assignment, and write it where one was found or slices are no more."""
        slices = self._slices(routes)
        number = self.updates.get(ASSIGNMENT_KEY, 0)
        request_counts = load["came"] if load else {}
        endpoint_load = load["load"] if load else {}
        self.placer.configure(slices, self.updates.under(SLICE_KEY_PREFIX))
        self.placer.record_demand(request_counts, self.runtime.now_ns())
        for _ in self.placer.run(self.candidates(endpoint_load), self.runtime.now_ns()):
            self.runtime.sleep(0)  # the search is long: others get their turn
        slice_names = {name for name, _, _ in slices}
        if self.placer.changed or self.updates.under(SLICE_KEY_PREFIX).keys() - slice_names:
            self.write_assignment(number, slice_names, self.placer.changed)

    @staticmethod
    def _slices(routes: Routes) -> list[Slice]:
        """Slices of the configuration; services that are sharded have key ranges in their place."""
        return [
            (f"{route.name} {service}", service, route.home_regions)
            for route in routes.all
            for service, _ in route.services
            if not routes.service_configs[service].sharded
        ]

    def candidates(self, load: dict[str, list]) -> list[Candidate]:
        """Endpoints that may serve: those that are ready, in zones that are in use.

        Args:
            load: endpoint -> [sum of the loads that it told, over its concurrency limit; their number].
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
            number: of the assignment that the search began from.
            slice_names: the slices of the configuration; others are dropped.
            changed: ids by slice, of those that are new.
        """

        def step(old_value: bytes | None) -> bytes | None:
            current_number, tables = UNPACK(old_value) if old_value else (0, {})
            if current_number != number:
                return None  # another controller was faster: the next search begins from its assignment
            kept = {name: ids for name, ids in tables.items() if name in slice_names}
            return PACK([number + 1, kept | changed])

        done, value = self.register.change(ASSIGNMENT_KEY, step, WRITE_S)
        if done:
            self.plane.operator_requests.publish(ASSIGNMENT_KEY, value)
