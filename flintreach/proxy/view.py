"""What a proxy knows from the news: routes, endpoints, tables, keys, evacuated zones.  No I/O."""

from bisect import bisect_right
from collections.abc import Callable
from typing import Any

import msgspec

from flintreach.proxy.choice import LAST_CALL, Endpoint, Here, divide
from flintreach.proxy.connection import ConnectionPool
from flintreach.proxy.metrics import LATE_SEND, Metrics
from flintreach.trail.board import Board
from flintreach.waymark.timetable import Routes, Timetable

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
        board: Board,
        here: Here,
        zones: dict[str, str],
        clock: Callable[[], int],
        bounds,
        confirmed_at: Callable[[], int] | None = None,
        metrics: Metrics | None = None,
    ):
        self.here, self.zones, self.clock = here, zones, clock
        self.confirmed_at, self.metrics = confirmed_at or clock, metrics or Metrics()
        # A holder that leaves serves its keys until they have moved, well within what the rules allow.
        self.last_call = int(LAST_CALL * bounds.last_call_ms * MS)
        self.last_stay = int(LAST_CALL * bounds.evacuate_ms * MS)
        self.routes: Routes | None = None
        self.endpoints: dict[str, Endpoint] = {}
        self.services: dict[str, dict[str, Endpoint]] = {}
        self.away: dict[str, int] = {}  # zones to which nothing more goes, and since when that is known
        self.divided: tuple[int, int] | None = None  # the places by which endpoints were divided last
        self.tables: dict[str, frozenset[str]] = {}  # slice -> endpoints
        self.keys: dict[str, tuple[list[int], list[tuple[int, str]]]] = {}
        board.watchers.append(self.hear)
        board.droppers.append(lambda key: self.hear(key, None, None))

    def hear(self, key: str, version: Any, value: Any) -> None:
        kind, _, name = key.partition("/")
        if kind == "hut":
            self.on_endpoint(name, value)
        elif kind == "timetable":
            self.routes = Routes(msgspec.json.decode(value, type=Timetable))
        elif kind == "evac":
            away = {zone: self.away.get(zone, self.clock()) for zone, on in value.items() if on}
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
        depot = self.routes.depots.get(service) if self.routes else None
        return int((depot.cold_s if depot else 0) * SECOND)

    def on_endpoint(self, id: str, told: dict | None) -> None:
        held = self.endpoints.get(id)
        if held is not None and held.state != "closing" and told and told["state"] in ("closing", "gone"):
            self.departs(held)
        if told is None or told["state"] == "gone":
            if held is not None:
                del self.endpoints[id]
                group = self.services[held.service]
                del group[id]
                if not group:
                    del self.services[held.service]
                held.state = "gone"
                held.pool.close()
                self.divided = None
            return
        if held is None:
            held = self.endpoints[id] = Endpoint(
                id,
                told["line"],
                told["addr"],
                told["zone"],
                self.zones.get(told["zone"], ""),
                max(1, told["berths"]),
                pool=ConnectionPool(told["addr"]),
            )
            self.services.setdefault(told["line"], {})[id] = held
            self.divided = None
        if told["state"] == "closing" and held.state != "closing":
            held.closing_at = self.clock()
        held.state = told["state"]
        cold = self.clock() + told["cold"] * MS if told["cold"] else 0
        held.cold_until = max(held.cold_until, cold) if cold else held.cold_until

    def departs(self, endpoint: Endpoint) -> None:
        """Its departure was acknowledged after `confirmed_at`: how long after that did a request go out?"""
        self.metrics.observe(LATE_SEND, max(0, endpoint.went_out_at - self.confirmed_at()))

    def holder(self, service: str, key: int) -> str | None:
        lows, rows = self.keys.get(service, ([], []))
        place = bisect_right(lows, key) - 1
        if place >= 0 and key <= rows[place][0]:
            return rows[place][1]
        return None

    def sharded(self, service: str) -> bool:
        depot = self.routes.depots.get(service)
        return depot is not None and depot.sharded

    def stays(self, endpoint: Endpoint) -> bool:
        now = self.clock()
        return (
            endpoint.state != "closing" or now - endpoint.closing_at < self.last_call
        ) and now - self.away.get(endpoint.zone, now) < self.last_stay

    def takes(self, endpoint: Endpoint) -> bool:
        """Whether anything may go to an endpoint at all: the rules on leaving and on evacuations."""
        if self.sharded(endpoint.service):
            return endpoint.state != "gone" and self.stays(endpoint)
        return endpoint.state not in ("closing", "gone") and endpoint.zone not in self.away

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
        homes = route.homes
        found = [
            endpoint
            for endpoint in found
            if self.takes(endpoint) and endpoint.id not in tried and (not homes or endpoint.region in homes)
        ]
        now = self.clock()
        return [endpoint for endpoint in found if endpoint.there(now)] or found
