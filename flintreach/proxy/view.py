"""The proxy's view of the control plane: routes, endpoints, key owners and evacuated zones.

Performs no I/O.  `forwarding` asks it for the endpoints that may serve a request; `attempt` and
`health_check` ask whether the lease on an endpoint is valid.

Times are nanoseconds of this process's monotonic clock; None means "never".
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
from flintreach.proxy.metrics import LATE_SEND, SENT_AFTER_DEPARTURE, UNUSABLE_ADDRESS, Metrics

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

# Kinds of updates: the part of an update's key before the "/".
ENDPOINT_KIND = ENDPOINT_KEY_PREFIX.rstrip("/")
SLICE_KIND = SLICE_KEY_PREFIX.rstrip("/")
KEY_RANGES_KIND = KEY_RANGES_PREFIX.rstrip("/")


class EndpointUpdate(msgspec.Struct):
    """The value of an endpoint update; an update with state "gone" may carry the state alone.

    Attributes:
        state: an `EndpointState`, or a state introduced by a later release.
        service: name of the endpoint's service.
        address: "host:port".
        zone: failure domain of the endpoint.
        concurrency_limit: number of requests that the endpoint processes concurrently.
        warm_up_left_ms: remaining duration of its slow start.
    """

    state: str
    service: str = msgspec.field(default="", name="line")
    address: str = msgspec.field(default="", name="addr")
    zone: str = ""
    concurrency_limit: int = msgspec.field(default=1, name="berths")
    warm_up_left_ms: int = msgspec.field(default=0, name="cold")


def format_slice_name(route: Route, service: str) -> str:
    """Returns the name of a slice, which is a route together with one of its services."""
    return f"{route.name} {service}"


class RoutingView:
    """Routing state of this proxy, built from the updates in a store.

    Args:
        updates: the store; this view registers itself as a watcher.
        position: this proxy's place among the other proxies, kept current by its owner.
        zones: zone -> its region.
        clock: reads the monotonic clock.
        bounds: time bounds from the settings.
        confirmed_at: returns the time up to which this proxy is known to have received every acknowledged
            update (from the relay's `fresh_at`); defaults to the current time.
        metrics: counts requests that were sent after a departure.

    Attributes:
        departures: endpoint id -> `EndpointView.departed_at`, kept as long as the store has an update for the
            id.
        evacuated_at: evacuated zone -> earliest time at which its evacuation can have been acknowledged.
        assignments: slice -> ids of the endpoints assigned to it.
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
        # Subset index of the last call to `assign_subsets`; None if endpoints changed since.
        self.subset_index: SubsetIndex | None = None
        updates.watchers.append(self.apply_update)
        updates.drop_watchers.append(self.remove_key)

    # Updates from the control plane.

    def apply_update(self, key: str, version: Any, value: Any) -> None:
        """Applies one update; registered as a watcher of the store.

        Args:
            key: kind of the update, followed by "/" and the name of its subject where there are several.
            version: version of the update, which the store has already compared.
            value: the new value, or None if the subject was removed.
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
        """Handles the removal of a key from the store; registered with the store's drop_watchers."""
        self.apply_update(key, None, None)

    def update_evacuations(self, evacuated: dict[str, bool]) -> None:
        """Replaces the set of evacuated zones.

        A zone that was already evacuated keeps its earlier evacuation time, so that the bound is not
        extended.
        """
        before = self.evacuated_at
        self.evacuated_at = {
            zone: before.get(zone, self.confirmed_at()) for zone, is_on in evacuated.items() if is_on
        }
        # Endpoints may have gone cold while their zone received no traffic, and their heartbeats report this
        # late, so they go through slow start again.
        for endpoint in self.endpoints.values():
            if endpoint.zone in before and endpoint.zone not in self.evacuated_at:
                endpoint.extend_warm_up(self.clock() + self.warm_up_ns(endpoint.service))

    def update_assignment(self, slice_name: str, endpoint_ids: list[str] | None) -> None:
        """Sets the endpoints assigned to a slice, or removes the slice if the list is None."""
        if endpoint_ids is None:
            self.assignments.pop(slice_name, None)
        else:
            self.assignments[slice_name] = frozenset(endpoint_ids)

    def update_key_ranges(self, service: str, rows: list[list] | None) -> None:
        """Sets the key ranges of a service, or removes them if it is no longer sharded (None)."""
        if rows is None:
            self.key_ranges.pop(service, None)
        else:
            self.key_ranges[service] = KeyRanges(rows)

    def update_endpoint(self, endpoint_id: str, value: dict[str, Any] | None) -> None:
        """Applies an update for an endpoint; None removes all state kept for it."""
        endpoint = self.endpoints.get(endpoint_id)
        if value is None:
            self.departures.pop(endpoint_id, None)
            self.remove_endpoint(endpoint)
            return
        update = msgspec.convert(value, type=EndpointUpdate)
        if update.state in (EndpointState.DRAINING, EndpointState.GONE):
            self.record_departure(endpoint_id, endpoint)
        else:
            self.departures.pop(endpoint_id, None)  # missing heartbeats are not a departure
        if update.state == EndpointState.GONE:
            self.remove_endpoint(endpoint)
            return
        if endpoint is None:
            try:
                endpoint = self.add_endpoint(endpoint_id, update)
            except ValueError:  # accepted by a controller of an earlier release
                self.metrics.count(UNUSABLE_ADDRESS)
                return
        endpoint.state = update.state
        endpoint.departed_at = self.departures.get(endpoint_id)
        if update.warm_up_left_ms:
            endpoint.extend_warm_up(self.clock() + update.warm_up_left_ms * NS_PER_MS)

    def record_departure(self, endpoint_id: str, endpoint: EndpointView | None) -> None:
        """Records the earliest time at which an endpoint's departure can have been acknowledged.

        This is the last time at which the endpoint was known to be present.  The first recorded time is kept:
        a repeated departure must not start a new lease.
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
        """Creates the view of an endpoint.

        Raises:
            ValueError: its address can't be used.
        """
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
        """Removes an endpoint if it is known, and marks it gone for attempts that still refer to it."""
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

    # Configuration of a service.

    def warm_up_ns(self, service: str) -> int:
        """Returns the duration of slow start for a service's endpoints."""
        service_config = self.routes.service_configs.get(service) if self.routes else None
        return int((service_config.slow_start_s if service_config else 0) * NS_PER_S)

    def is_sharded(self, service: str) -> bool:
        """Returns whether each key of a service has a single owner; routes must have been received."""
        service_config = self.routes.service_configs.get(service)
        return service_config is not None and service_config.sharded

    # Leases on endpoints (docs/design/leases.md).

    def last_known_present(self, endpoint: EndpointView) -> int:
        """Returns the latest time by which no departure of an endpoint had been acknowledged."""
        if endpoint.departed_at is not None:
            return endpoint.departed_at
        confirmed_at = self.confirmed_at()
        if endpoint.present_at is None:
            return confirmed_at
        return max(confirmed_at, endpoint.present_at)

    def is_leased(self, endpoint: EndpointView, now_ns: int) -> bool:
        """Returns whether a request sent now would arrive within the bound on departures."""
        return now_ns < self.last_known_present(endpoint) + self.departure_terms.send_window_ns

    def arrival_deadline(self, endpoint: EndpointView) -> int:
        """Returns the time after which no byte of a request may arrive at an endpoint.

        The deadline moves forward with each confirmation that the endpoint is present.
        """
        limit = self.last_known_present(endpoint) + self.departure_terms.arrival_window_ns
        evacuated_at = self.evacuated_at.get(endpoint.zone)
        if evacuated_at is None:
            return limit
        return min(limit, evacuated_at + self.evacuation_terms.arrival_window_ns)

    # Selection of endpoints.

    def is_eligible(self, endpoint: EndpointView, now_ns: int) -> bool:
        """Returns whether departures and evacuations allow requests to an endpoint.

        A draining key owner stays eligible until its keys have moved or its lease has expired; an owner in an
        evacuated zone until its keys have moved or the send window after the evacuation has passed.
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
        """Returns whether a request may be sent to an endpoint now."""
        now_ns = self.clock()
        return self.is_eligible(endpoint, now_ns) and self.is_leased(endpoint, now_ns)

    def key_owner(self, service: str, key: int) -> str | None:
        """Returns the id of the endpoint that owns a key, or None while ownership is moving."""
        ranges = self.key_ranges.get(service)
        return None if ranges is None else ranges.owner(key)

    def endpoints_for_key(self, service: str, key: int | None) -> Collection[EndpointView]:
        """Returns the owner of a key for a sharded service, otherwise all endpoints of the service."""
        if not self.is_sharded(service):
            return self.services.get(service, {}).values()
        owner_id = None if key is None else self.key_owner(service, key)
        owner = self.endpoints.get(owner_id or "")
        return [] if owner is None else [owner]

    def candidates(
        self, route: Route, service: str, key: int | None, attempted: set[str]
    ) -> list[EndpointView]:
        """Returns the endpoints that may serve an attempt.

        Home regions, departures and evacuations always apply.  Unhealthy endpoints are returned only if there
        are no healthy ones.

        Args:
            route: route of the request.
            service: one of the route's services.
            key: shard key of the request, if any.
            attempted: ids of endpoints that the request was already sent to.
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
            # The view is stale: prefer endpoints whose own responses have renewed their leases.  If there are
            # none, return all, and a health check decides before a request is sent.
            allowed = [endpoint for endpoint in allowed if self.is_leased(endpoint, now_ns)] or allowed
        return [endpoint for endpoint in allowed if endpoint.is_healthy(now_ns)] or allowed
