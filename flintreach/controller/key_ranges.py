"""Key ranges on one controller: runs the lease owners of the sharded services, and selects their endpoints.

For each sharded service of the configuration, one `LeaseOwner` grants key ranges to endpoints. This module
supplies the endpoints that may hold keys, and the load by key that proxies report. The endpoints are weighted
so that the keys of a service lie in one region if its clients are sent there anyway
(`flintreach.sharding.region_affinity`).
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from flintreach.common.keys import KEY_RANGES_PREFIX, ROLE_PROXY
from flintreach.config.routing import Routes
from flintreach.config.settings import ProcessSettings
from flintreach.consensus.register import Register
from flintreach.controller.lease_owner import LeaseOwner
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.endpoints.registry import EndpointRecord, EndpointRegistry, EndpointState
from flintreach.membership.member_list import MemberList
from flintreach.sharding.key_load import KeyLoad
from flintreach.sharding.range_assignment import KEYS
from flintreach.sharding.region_affinity import RegionBias, home_regions, links_can_carry, target_region
from flintreach.transport.peer_connection import PeerConnection
from flintreach.transport.peer_pool import PeerPool
from flintreach.transport.runtime import Runtime

# Message kind of the load by key sent to other controllers; the value is that of earlier releases.
KEY_LOAD_KIND = "warmth"

BANDWIDTH_ENTRY = "mbps"  # entry of a proxy's listen addresses that holds its link bandwidth in Mbit/s
INTERVAL_S = 0.4
FAST_INTERVAL_S = INTERVAL_S / 8  # while released keys wait for their next holder


class EndedEndpoints(Protocol):
    """The part of `endpoint_service.EndpointService` that `KeyRanges` uses."""

    def has_signed_off(self, endpoint_id: str) -> bool:
        """Return whether an endpoint has certainly ended."""
        ...


class KeyRangePlane(Protocol):
    """The part of `control_plane.ControlPlane` that `KeyRanges` uses."""

    runtime: Runtime
    updates: VersionedStore
    register: Register
    peer_pool: PeerPool
    member_list: MemberList
    endpoints: EndedEndpoints
    node: ProcessSettings
    routes: Routes | None
    serving: bool

    @property
    def registry(self) -> EndpointRegistry:
        """Return the endpoint registry."""
        ...

    def evacuated_zones(self) -> set[str]:
        """Return the zones that are evacuated."""
        ...


@dataclass(frozen=True, slots=True)
class KeyCandidates:
    """Endpoints that may hold keys of one service.

    Attributes:
        endpoints: all of them.
        warm: those that are warm, or hold keys already.
        region_by_id: region by endpoint id; "" if the settings name no region for the zone.
        capacity_by_region: sum of the concurrency limits of the warm endpoints, by region.
    """

    endpoints: list[EndpointRecord]
    warm: list[EndpointRecord]
    region_by_id: dict[str, str]
    capacity_by_region: dict[str, float]


@dataclass(frozen=True, slots=True)
class KeyRegion:
    """Region in which the keys of a service should lie.

    Attributes:
        region: the region; None if the keys are not confined to one.
        share: fraction of the keys that lies there now, from 0 to 1.
    """

    region: str | None = None
    share: float = 0.0


NO_REGION = KeyRegion()


class KeyRanges:
    """This controller's lease owners of all sharded services.

    Attributes:
        lease_owners: lease owner by service.
        key_load: the load by key, as proxies report it.
        region_biases: by service, how much of its load should lie in one region.
    """

    def __init__(self, plane: KeyRangePlane) -> None:
        """Register the handler for the load by key."""
        self.plane = plane
        self.runtime = plane.runtime
        self.updates = plane.updates
        self.member_list = plane.member_list
        self.lease_owners: dict[str, LeaseOwner] = {}
        self.key_load = KeyLoad()
        self.region_biases: dict[str, RegionBias] = {}
        plane.peer_pool.handlers |= {KEY_LOAD_KIND: self.on_key_load}

    def on_key_load(self, connection: PeerConnection | None, body: dict) -> None:
        """Handle the load by key from the placement leader."""
        self.key_load.replace(body)

    # The loop.

    def run(self) -> None:
        """Run all lease owners at every interval, for the life of the process."""
        while True:
            self.runtime.sleep(self._interval_s())
            # A process that has just started may know an outdated state: it owns nothing before it serves.
            if not self.plane.serving or self.plane.routes is None or not self.plane.register.can_vote():
                continue
            self._follow_configuration()
            for lease_owner in self.lease_owners.values():
                lease_owner.tick()

    def _interval_s(self) -> float:
        if any(lease_owner.keys_released for lease_owner in self.lease_owners.values()):
            return FAST_INTERVAL_S
        return INTERVAL_S

    def _follow_configuration(self) -> None:
        """Keep one lease owner for each sharded service of the configuration, and none for others."""
        services = [name for name, config in self.plane.routes.service_configs.items() if config.sharded]
        self.remove_services({*services})
        for service in services:
            if service not in self.lease_owners:
                self.lease_owners[service] = self._new_lease_owner(service)

    def _new_lease_owner(self, service: str) -> LeaseOwner:
        node = self.plane.node
        return LeaseOwner(
            node.identity.node_name,
            service,
            self.plane.register,
            node.bounds.max_lease_ms,
            partial(self.eligible, service),
            self.plane.endpoints.has_signed_off,
            partial(self.updates.offer, f"{KEY_RANGES_PREFIX}{service}"),
            partial(self.key_load.load_of, service),
        )

    def remove_services(self, sharded: set[str]) -> None:
        """Drop the state of services that were removed or are no longer sharded.

        Args:
            sharded: the services that are sharded.
        """
        for table in (self.lease_owners, self.region_biases, self.key_load.keys, self.key_load.bytes):
            for service in table.keys() - sharded:
                del table[service]
        for service in sorted(self.updates.with_prefix(KEY_RANGES_PREFIX).keys() - sharded):
            key = f"{KEY_RANGES_PREFIX}{service}"
            version = self.updates.entries[key][0]
            # Later than the last owner's version, earlier than any version of the next owner.
            self.updates.offer(key, [*version, 1], None)

    # Endpoints that may hold keys.

    def eligible(self, service: str) -> dict[str, tuple[float, str]]:
        """Return weight and address of each endpoint that may be granted keys of a service, by id."""
        candidates = self.candidates(service)
        warm_ids = {record.id for record in candidates.warm}
        work = self.key_load.capacity_in_use(
            {record.id: float(record.capacity) for record in candidates.warm}
        )
        bias = self.region_biases.setdefault(service, RegionBias())
        region = self.key_region(service).region
        factors = bias.weight_factors(region, candidates.capacity_by_region, work)
        eligible = {}
        for record in candidates.endpoints:
            weight = 0.0
            if record.id in warm_ids or not warm_ids:
                weight = record.capacity * factors.get(candidates.region_by_id[record.id], 1.0)
            eligible[record.id] = weight, record.address
        return eligible

    def candidates(self, service: str) -> KeyCandidates:
        """Return the endpoints that may hold keys of a service: those ready, outside evacuated zones."""
        evacuated = self.plane.evacuated_zones()
        now_ns = self.runtime.now_ns()
        region_by_zone = self.plane.node.network.zones
        endpoints = [
            record
            for record in self.plane.registry.records.values()
            if record.service == service
            and record.state == EndpointState.READY
            and record.zone not in evacuated
        ]
        holder_ids = {holder_id for _, _, holder_id, _ in self._published_ranges(service)}
        # A newly started endpoint is cold, and would receive all requests for its keys at once.
        warm = [
            record for record in endpoints if record.warming_up_until_ns <= now_ns or record.id in holder_ids
        ]
        region_by_id = {record.id: region_by_zone.get(record.zone, "") for record in endpoints}
        capacity_by_region: dict[str, float] = {}
        for record in warm:
            region = region_by_id[record.id]
            capacity_by_region[region] = capacity_by_region.get(region, 0.0) + record.capacity
        return KeyCandidates(endpoints, warm, region_by_id, capacity_by_region)

    def _published_ranges(self, service: str) -> Iterable[tuple[int, int, str, str]]:
        """Return the ranges published as held: [lowest key, highest key, holder's id, state]."""
        return self.updates.get(f"{KEY_RANGES_PREFIX}{service}") or ()

    # Regions.

    def key_region(self, service: str) -> KeyRegion:
        """Return the region in which the keys of a service should lie, and the share that lies there."""
        host_regions = [
            self.home_regions(host)
            for host, routes in self.plane.routes.hosts.items()
            if any(service == name for route in routes for name, _ in route.services)
        ]
        if not host_regions or None in host_regions:
            return NO_REGION
        all_regions = set.union(*host_regions)
        if len(all_regions) > 1:
            return NO_REGION
        candidates = self.candidates(service)
        share_by_region: dict[str, float] = {}
        for low, high, holder_id, _ in self._published_ranges(service):
            region = candidates.region_by_id.get(holder_id, "")
            share_by_region[region] = share_by_region.get(region, 0.0) + (high - low + 1) / KEYS
        region = target_region(all_regions, share_by_region, candidates.capacity_by_region)
        if not links_can_carry(self.key_load.bytes.get(service), self._links_mbps(region)):
            return NO_REGION
        return KeyRegion(region, share_by_region.get(region, 0.0))

    def _links_mbps(self, region: str | None) -> list[float]:
        """Return the link bandwidths of a region's proxies in Mbit/s; 0 for a proxy that reports none."""
        return [
            float(member.listen_addresses.get(BANDWIDTH_ENTRY, 0))
            for member in self.member_list.alive(ROLE_PROXY)
            if member.region == region and member.ready
        ]

    def home_regions(self, host: str) -> set[str] | None:
        """Return the home regions of a host.

        Empty if its routes are bound by sharded services alone; None if a route is not bound at all, if the
        routes share no home region, or if the host has no routes.
        """
        routes = self.plane.routes
        if routes is None:
            return None
        sharded = {name for name, config in routes.service_configs.items() if config.sharded}
        return home_regions(routes.hosts.get(host.lower(), ()), sharded)
