"""What a proxy knows from the news: routes, endpoints, tables, keys, evacuated zones.  No I/O."""

from bisect import bisect_right
from collections.abc import Callable
from typing import Any

import msgspec

from flintreach.config.configuration import Configuration
from flintreach.config.routing import Routes
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.proxy.choice import Endpoint, Here, divide
from flintreach.proxy.connection import ConnectionPool
from flintreach.proxy.lease import UNKNOWN, LeaseTerms
from flintreach.proxy.metrics import LATE_SEND, VIOLATION, Metrics

MS, SECOND = 1_000_000, 1_000_000_000


def slice_of(route, service: str) -> str:
    """The name of a slice: one route and one of its services."""
    return f"{route.name} {service}"


class RoutingView:
    """Kept by the parcels of a board as they come.

    `clock()`: steady nanoseconds.  `confirmed_at()`: a moment of that clock up to which all that was
    acknowledged anywhere is known here (`Relay.age`); `metrics`: where sendings after a departure are told.
    """

    def __init__(
        self,
        updates: VersionedStore,
        here: Here,
        zones: dict[str, str],
        clock: Callable[[], int],
        bounds,
        confirmed_at: Callable[[], int] | None = None,
        metrics: Metrics | None = None,
    ):
        self.here, self.zones, self.clock = here, zones, clock
        self.confirmed_at, self.metrics = confirmed_at or clock, metrics or Metrics()
        self.departure = LeaseTerms.of(bounds.last_call_ms)
        self.evacuation = LeaseTerms.of(bounds.evacuate_ms)
        self.routes: Routes | None = None
        self.endpoints: dict[str, Endpoint] = {}
        self.services: dict[str, dict[str, Endpoint]] = {}
        self.departed: dict[str, int] = {}  # id -> `Endpoint.left_at`, as long as news of that id are held
        self.away: dict[str, int] = {}  # evacuated zones -> the earliest moment of the acknowledgement
        self.divided: tuple[int, int] | None = None  # the places by which endpoints were divided last
        self.tables: dict[str, frozenset[str]] = {}  # slice -> endpoints
        self.keys: dict[str, tuple[list[int], list[tuple[int, str]]]] = {}
        updates.watchers.append(self.hear)
        updates.droppers.append(lambda key: self.hear(key, None, None))

    def hear(self, key: str, version: Any, value: Any) -> None:
        kind, _, name = key.partition("/")
        if kind == "hut":
            self.on_endpoint(name, value)
        elif kind == "timetable":
            self.routes = Routes(msgspec.json.decode(value, type=Configuration))
        elif kind == "evac":
            away = {zone: self.away.get(zone, self.confirmed_at()) for zone, on in value.items() if on}
            # Its endpoints may have turned cold while they were empty, and their beats tell it late.
            for endpoint in self.endpoints.values():
                if endpoint.zone in self.away and endpoint.zone not in away:
                    endpoint.cold_until = max(
                        endpoint.cold_until, self.clock() + self.cold_time(endpoint.service)
                    )
            self.away = away
        elif kind == "slice" and value is None:
            self.tables.pop(name, None)
        elif kind == "slice":
            self.tables[name] = frozenset(value)
        elif kind == "bunks" and value is None:
            self.keys.pop(name, None)
        elif kind == "bunks":
            rows = sorted((low, high, holder) for low, high, holder, state in value if state == "held")
            self.keys[name] = [low for low, _, _ in rows], [(high, holder) for _, high, holder in rows]

    def cold_time(self, service: str) -> int:
        service_config = self.routes.service_configs.get(service) if self.routes else None
        return int((service_config.slow_start_s if service_config else 0) * SECOND)

    def on_endpoint(self, id: str, told: dict | None) -> None:
        """News of an endpoint; None: all that was held of it is forgotten."""
        held = self.endpoints.get(id)
        if told is None:
            self.departed.pop(id, None)
        elif told["state"] in ("closing", "gone"):
            self.departs(id, held)
        else:
            self.departed.pop(id, None)  # it was only silent
        if told is None or told["state"] == "gone":
            if held is not None:
                self.remove(held)
            return
        if held is None:
            held = self.add(id, told)
        held.state = told["state"]
        held.left_at = self.departed.get(id)
        cold = self.clock() + told["cold"] * MS if told["cold"] else 0
        held.cold_until = max(held.cold_until, cold) if cold else held.cold_until

    def departs(self, id: str, held: Endpoint | None) -> None:
        """Note when the departure can have been acknowledged at the earliest: not before the last moment at
        which the endpoint was surely present.  The first note stands, whatever is heard again later."""
        if id in self.departed:
            return
        left_at = UNKNOWN if held is None else self.present_at(held)
        self.departed[id] = left_at
        if held is None:
            return
        held.left_at = left_at
        late = 0 if held.went_out_at is None else held.went_out_at - left_at
        self.metrics.observe(LATE_SEND, max(0, late))
        if late > self.departure.arrive_for:
            self.metrics.count(VIOLATION)

    def add(self, id: str, told: dict) -> Endpoint:
        region = self.zones.get(told["zone"], "")
        pool = ConnectionPool(told["addr"])
        held = Endpoint(
            id, told["line"], told["addr"], told["zone"], region, max(1, told["berths"]), pool=pool
        )
        self.endpoints[id] = held
        self.services.setdefault(told["line"], {})[id] = held
        self.divided = None
        return held

    def remove(self, held: Endpoint) -> None:
        del self.endpoints[held.id]
        group = self.services[held.service]
        del group[held.id]
        if not group:
            del self.services[held.service]
        held.state = "gone"
        held.pool.close()
        self.divided = None

    def holder(self, service: str, key: int) -> str | None:
        lows, rows = self.keys.get(service, ([], []))
        place = bisect_right(lows, key) - 1
        if place >= 0 and key <= rows[place][0]:
            return rows[place][1]
        return None

    def sharded(self, service: str) -> bool:
        service_config = self.routes.service_configs.get(service)
        return service_config is not None and service_config.sharded

    def present_at(self, endpoint: Endpoint) -> int:
        """A moment by which no departure of an endpoint had been acknowledged."""
        if endpoint.left_at is not None:
            return endpoint.left_at
        confirmed_at = self.confirmed_at()
        return confirmed_at if endpoint.present_at is None else max(confirmed_at, endpoint.present_at)

    def leased(self, endpoint: Endpoint, now: int) -> bool:
        """Whether a request that goes out now still arrives within the bound on departures."""
        return now < self.present_at(endpoint) + self.departure.send_for

    def arrive_by(self, endpoint: Endpoint) -> int:
        """The moment after which no byte of a request may arrive; it moves on with what confirms it."""
        limit = self.present_at(endpoint) + self.departure.arrive_for
        if endpoint.zone in self.away:
            limit = min(limit, self.away[endpoint.zone] + self.evacuation.arrive_for)
        return limit

    def open(self, endpoint: Endpoint, now: int) -> bool:
        """Whether requests may go there by what is known: the rules on leaving and on evacuations.

        The holder of keys is used while it leaves, until they have moved or its lease is over.
        """
        if endpoint.state == "gone":
            return False
        evacuated = self.away.get(endpoint.zone)
        if not self.sharded(endpoint.service):
            return endpoint.state != "closing" and evacuated is None
        if endpoint.left_at is not None and not self.leased(endpoint, now):
            return False
        return evacuated is None or now < evacuated + self.evacuation.send_for

    def takes(self, endpoint: Endpoint) -> bool:
        """Whether a request may go out to an endpoint now."""
        now = self.clock()
        return self.open(endpoint, now) and self.leased(endpoint, now)

    def able(self, route, service: str, key: int | None, tried: set[str]) -> list[Endpoint]:
        """Endpoints that may serve a try: the rules bind first, then what is well."""
        if self.divided != self.here.mates:
            self.divided = self.here.mates
            divide([*self.endpoints.values()], *self.divided)
        if self.sharded(service):
            endpoint = self.endpoints.get(self.holder(service, key) or "") if key is not None else None
            found = [endpoint] if endpoint is not None else []
        else:
            found = self.services.get(service, {}).values()
        homes, now = route.home_regions, self.clock()
        found = [
            endpoint
            for endpoint in found
            if endpoint.id not in tried
            and (not homes or endpoint.region in homes)
            and self.open(endpoint, now)
        ]
        if now >= self.confirmed_at() + self.departure.send_for:
            # Only their own answers tell that endpoints are still there; without any they must be asked.
            found = [endpoint for endpoint in found if self.leased(endpoint, now)] or found
        return [endpoint for endpoint in found if endpoint.there(now)] or found
