"""What a proxy knows from the control plane's updates: routes, endpoints, key owners, evacuated zones.

No I/O of its own.  `forwarding` asks it which endpoints may serve a request, `attempt` and `health_check`
whether the lease on one of them still holds.

Times are nanoseconds of this process's steady clock; None stands for "never".
"""

from collections.abc import Callable, Collection
from typing import Any

import msgspec

from flintreach.common.keys import (
    CONFIGURATION_KEY,
    ENDPOINT_KEY_PREFIX,
    EVACUATION_KEY,
    KEY_RANGES_PREFIX,
    SLICE_KEY_PREFIX,
)
from flintreach.config.configuration import Configuration
from flintreach.config.routing import Route, Routes
from flintreach.config.settings import TimingBounds
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.proxy.balancing import FleetPosition, SubsetIndex, assign_subsets
from flintreach.proxy.connection import ConnectionPool
from flintreach.proxy.endpoint import EndpointState, EndpointView
from flintreach.proxy.key_ranges import KeyRanges
from flintreach.proxy.lease import UNKNOWN_DEPARTURE_NS, LeaseTerms
from flintreach.proxy.metrics import LATE_SEND, SENT_AFTER_DEPARTURE, Metrics

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

# Kinds of updates: what stands before the "/" of their keys.
ENDPOINT_KIND = ENDPOINT_KEY_PREFIX.rstrip("/")
SLICE_KIND = SLICE_KEY_PREFIX.rstrip("/")
KEY_RANGES_KIND = KEY_RANGES_PREFIX.rstrip("/")


class EndpointUpdate(msgspec.Struct):
    """The value of an update on an endpoint; one that is gone may tell its state alone.

    Attributes:
        state: an `EndpointState`, or a state of a later release.
        service: the service that it belongs to.
        address: "host:port".
        zone: its failure domain.
        concurrency_limit: requests that it works on at the same time.
        warm_up_left_ms: for how long its slow start still lasts.
    """

    state: str
    service: str = msgspec.field(default="", name="line")
    address: str = msgspec.field(default="", name="addr")
    zone: str = ""
    concurrency_limit: int = msgspec.field(default=1, name="berths")
    warm_up_left_ms: int = msgspec.field(default=0, name="cold")


def format_slice_name(route: Route, service: str) -> str:
    """The name of a slice: one route and one of its services."""
    return f"{route.name} {service}"


class RoutingView:
    """What this proxy knows of the whole system; it follows a store of updates.

    Args:
        updates: the store, whose watchers this view joins.
        position: where this proxy is among the others; its owner keeps it up to date.
        zones: zone -> its region.
        clock: reads the steady clock.
        bounds: the rules' time limits.
        confirmed_at: tells a moment of that clock up to which all that was acknowledged anywhere is known
            here (`Relay.age`); without it, the present one.
        metrics: counts requests that were sent after a departure.

    Attributes:
        departures: endpoint id -> `EndpointView.departed_at`, as long as the store has updates of that id.
        evacuated_at: evacuated zone -> earliest moment at which its evacuation can have been acknowledged.
        assignments: slice -> ids of the endpoints that it is assigned to.
        key_ranges: sharded service -> owners of its keys.
    """

    def __init__(
        self,
        updates: VersionedStore,
        position: FleetPosition,
        zones: dict[str, str],
        clock: Callable[[], int],
        bounds: TimingBounds,
        confirmed_at: Callable[[], int] | None = None,
        metrics: Metrics | None = None,
    ) -> None:
        self.position = position
        self.zones = zones
        self.clock = clock
        self.confirmed_at = confirmed_at or clock
        self.metrics = metrics or Metrics()
        self.departure_terms = LeaseTerms.from_bound_ms(bounds.last_call_ms)
        self.evacuation_terms = LeaseTerms.from_bound_ms(bounds.evacuate_ms)
        self.routes: Routes | None = None
        self.endpoints: dict[str, EndpointView] = {}
        self.services: dict[str, dict[str, EndpointView]] = {}
        self.departures: dict[str, int] = {}
        self.evacuated_at: dict[str, int] = {}
        self.assignments: dict[str, frozenset[str]] = {}
        self.key_ranges: dict[str, KeyRanges] = {}
        # By which the endpoints were divided into subsets last; None: they must be divided anew.
        self.subset_index: SubsetIndex | None = None
        updates.watchers.append(self.apply_update)
        updates.droppers.append(self.remove_key)

    # Updates of the control plane.

    def apply_update(self, key: str, version: Any, value: Any) -> None:
        """Take in one update; a watcher of the store.

        Args:
            key: its kind, and behind a "/" the name of what it is about.
            version: its version, which the store has compared already.
            value: what is known now; None: nothing any more.
        """
        kind, _, name = key.partition("/")
        if kind == ENDPOINT_KIND:
            self.update_endpoint(name, value)
        elif kind == CONFIGURATION_KEY:
            self.routes = Routes(msgspec.json.decode(value, type=Configuration))
        elif kind == EVACUATION_KEY:
            self.update_evacuations(value)
        elif kind == SLICE_KIND:
            self.update_assignment(name, value)
        elif kind == KEY_RANGES_KIND:
            self.update_key_ranges(name, value)

    def remove_key(self, key: str) -> None:
        """Take in that the store has dropped a key; called by the store."""
        self.apply_update(key, None, None)

    def update_evacuations(self, evacuated: dict[str, bool]) -> None:
        """Take in which zones are evacuated.  A zone that was evacuated before keeps its earlier moment."""
        before = self.evacuated_at
        self.evacuated_at = {
            zone: before.get(zone, self.confirmed_at()) for zone, is_on in evacuated.items() if is_on
        }
        # Endpoints may have cooled down while their zone was empty, and their heartbeats tell it late.
        for endpoint in self.endpoints.values():
            if endpoint.zone in before and endpoint.zone not in self.evacuated_at:
                endpoint.extend_warm_up(self.clock() + self.warm_up_ns(endpoint.service))

    def update_assignment(self, slice_name: str, endpoint_ids: list[str] | None) -> None:
        """Take in the endpoints that a slice is assigned to; None: the slice is no more."""
        if endpoint_ids is None:
            self.assignments.pop(slice_name, None)
        else:
            self.assignments[slice_name] = frozenset(endpoint_ids)

    def update_key_ranges(self, service: str, rows: list[list] | None) -> None:
        """Take in the key ranges of a service; None: it is not sharded any more."""
        if rows is None:
            self.key_ranges.pop(service, None)
        else:
            self.key_ranges[service] = KeyRanges(rows)

    def update_endpoint(self, endpoint_id: str, value: dict[str, Any] | None) -> None:
        """Take in an update on an endpoint; None: all that was known of it is forgotten."""
        endpoint = self.endpoints.get(endpoint_id)
        if value is None:
            self.departures.pop(endpoint_id, None)
            self.remove_endpoint(endpoint)
            return
        update = msgspec.convert(value, type=EndpointUpdate)
        if update.state in (EndpointState.DRAINING, EndpointState.GONE):
            self.record_departure(endpoint_id, endpoint)
        else:
            self.departures.pop(endpoint_id, None)  # it was only silent
        if update.state == EndpointState.GONE:
            self.remove_endpoint(endpoint)
            return
        if endpoint is None:
            endpoint = self.add_endpoint(endpoint_id, update)
        endpoint.state = update.state
        endpoint.departed_at = self.departures.get(endpoint_id)
        if update.warm_up_left_ms:
            endpoint.extend_warm_up(self.clock() + update.warm_up_left_ms * NS_PER_MS)

    def record_departure(self, endpoint_id: str, endpoint: EndpointView | None) -> None:
        """Note the earliest moment at which a departure can have been acknowledged.

        That is not before the last one at which the endpoint was surely present.  The first note stands,
        whatever is heard later: a departure that is told again must not begin a new lease.
        """
        if endpoint_id in self.departures:
            return
        if endpoint is None:
            self.departures[endpoint_id] = UNKNOWN_DEPARTURE_NS
            return
        departed_at = self.last_known_present(endpoint)
        self.departures[endpoint_id] = departed_at
        endpoint.departed_at = departed_at
        late_ns = 0
        if endpoint.written_at is not None:
            late_ns = endpoint.written_at - departed_at
        self.metrics.observe(LATE_SEND, max(0, late_ns))
        if late_ns > self.departure_terms.arrival_window_ns:
            self.metrics.count(SENT_AFTER_DEPARTURE)

    def add_endpoint(self, endpoint_id: str, update: EndpointUpdate) -> EndpointView:
        """Begin to know an endpoint."""
        endpoint = EndpointView(
            endpoint_id,
            update.service,
            update.address,
            update.zone,
            self.zones.get(update.zone, ""),
            max(1, update.concurrency_limit),
            pool=ConnectionPool(update.address),
        )
        self.endpoints[endpoint_id] = endpoint
        self.services.setdefault(update.service, {})[endpoint_id] = endpoint
        self.subset_index = None
        return endpoint

    def remove_endpoint(self, endpoint: EndpointView | None) -> None:
        """Stop knowing an endpoint, if it was known; attempts that still have it find it gone."""
        if endpoint is None:
            return
        del self.endpoints[endpoint.id]
        members = self.services[endpoint.service]
        del members[endpoint.id]
        if not members:
            del self.services[endpoint.service]
        endpoint.state = EndpointState.GONE
        endpoint.pool.close()
        self.subset_index = None

    # What the configuration says of a service.

    def warm_up_ns(self, service: str) -> int:
        """How long the slow start of a service's endpoints lasts."""
        service_config = self.routes.service_configs.get(service) if self.routes else None
        return int((service_config.slow_start_s if service_config else 0) * NS_PER_S)

    def is_sharded(self, service: str) -> bool:
        """Whether each key of a service has one owner.  There must be routes."""
        service_config = self.routes.service_configs.get(service)
        return service_config is not None and service_config.sharded

    # Leases on what is known of an endpoint (docs/design/leases.md).

    def last_known_present(self, endpoint: EndpointView) -> int:
        """A moment by which no departure of an endpoint had been acknowledged."""
        if endpoint.departed_at is not None:
            return endpoint.departed_at
        confirmed_at = self.confirmed_at()
        if endpoint.present_at is None:
            return confirmed_at
        return max(confirmed_at, endpoint.present_at)

    def is_leased(self, endpoint: EndpointView, now_ns: int) -> bool:
        """Whether a request that is sent now still arrives within the bound on departures."""
        return now_ns < self.last_known_present(endpoint) + self.departure_terms.send_window_ns

    def arrival_deadline(self, endpoint: EndpointView) -> int:
        """The moment after which no byte of a request may arrive; it moves on with what confirms it."""
        limit = self.last_known_present(endpoint) + self.departure_terms.arrival_window_ns
        evacuated_at = self.evacuated_at.get(endpoint.zone)
        if evacuated_at is None:
            return limit
        return min(limit, evacuated_at + self.evacuation_terms.arrival_window_ns)

    # Which endpoints may be used.

    def is_eligible(self, endpoint: EndpointView, now_ns: int) -> bool:
        """Whether requests may go to an endpoint by the rules on departures and evacuations.

        The owner of keys is used while it is draining, until they have moved or its lease is over.
        """
        if endpoint.state == EndpointState.GONE:
            return False
        evacuated_at = self.evacuated_at.get(endpoint.zone)
        if not self.is_sharded(endpoint.service):
            return endpoint.state != EndpointState.DRAINING and evacuated_at is None
        if endpoint.departed_at is not None and not self.is_leased(endpoint, now_ns):
            return False
        return evacuated_at is None or now_ns < evacuated_at + self.evacuation_terms.send_window_ns

    def may_send(self, endpoint: EndpointView) -> bool:
        """Whether a request may be sent to an endpoint now."""
        now_ns = self.clock()
        return self.is_eligible(endpoint, now_ns) and self.is_leased(endpoint, now_ns)

    def key_owner(self, service: str, key: int) -> str | None:
        """Id of the endpoint that owns a key; None where the key is between two owners."""
        ranges = self.key_ranges.get(service)
        return None if ranges is None else ranges.owner(key)

    def endpoints_for_key(self, service: str, key: int | None) -> Collection[EndpointView]:
        """The endpoints that have what a request needs: the owner of its key, or all of its service."""
        if not self.is_sharded(service):
            return self.services.get(service, {}).values()
        owner_id = None if key is None else self.key_owner(service, key)
        owner = self.endpoints.get(owner_id or "")
        return [] if owner is None else [owner]

    def candidates(
        self, route: Route, service: str, key: int | None, attempted: set[str]
    ) -> list[EndpointView]:
        """Endpoints that may serve an attempt: the rules bind, then healthy ones come first.

        Args:
            route: the request's.
            service: one of the route's.
            key: the request's shard key, if it has one.
            attempted: ids of endpoints that the request went to before.
        """
        if self.subset_index != self.position.zone_index:
            self.subset_index = self.position.zone_index
            assign_subsets(self.endpoints.values(), self.subset_index.index, self.subset_index.count)
        home_regions = route.home_regions
        now_ns = self.clock()
        allowed = [
            endpoint
            for endpoint in self.endpoints_for_key(service, key)
            if endpoint.id not in attempted
            and (not home_regions or endpoint.region in home_regions)
            and self.is_eligible(endpoint, now_ns)
        ]
        if now_ns >= self.confirmed_at() + self.departure_terms.send_window_ns:
            # Only their own answers tell that endpoints are still there; without any they must be asked.
            allowed = [endpoint for endpoint in allowed if self.is_leased(endpoint, now_ns)] or allowed
        return [endpoint for endpoint in allowed if endpoint.is_healthy(now_ns)] or allowed
