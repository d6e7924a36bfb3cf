"""What a bothy knows from the news: routes, endpoints, tables, keys, evacuated zones.  No I/O."""

from bisect import bisect_right
from typing import Any

import msgspec

from flintreach.bothy.choice import LAST_CALL, Here, Hut, divide
from flintreach.bothy.endpoint import Wires
from flintreach.trail.board import Board
from flintreach.waymark.timetable import Routes, Timetable

MS, SECOND = 1_000_000, 1_000_000_000


def slice_of(route, line: str) -> str:
    """The name of a slice: one route and one of its services."""
    return f"{route.name} {line}"


class World:
    """Kept by the parcels of a board as they come."""

    def __init__(self, board: Board, here: Here, zones: dict[str, str], clock, bounds):
        self.here, self.zones, self.clock = here, zones, clock
        # A holder that leaves serves its keys until they have moved, well within what the rules allow.
        self.last_call = int(LAST_CALL * bounds.last_call_ms * MS)
        self.last_stay = int(LAST_CALL * bounds.evacuate_ms * MS)
        self.routes: Routes | None = None
        self.huts: dict[str, Hut] = {}
        self.lines: dict[str, dict[str, Hut]] = {}
        self.away: dict[str, int] = {}  # zones to which nothing more goes, and since when that is known
        self.divided: tuple[int, int] | None = None  # the places by which endpoints were divided last
        self.tables: dict[str, frozenset[str]] = {}  # slice -> endpoints
        self.keys: dict[str, tuple[list[int], list[tuple[int, str]]]] = {}
        board.watchers.append(self.hear)
        board.droppers.append(lambda key: self.hear(key, None, None))

    def hear(self, key: str, version: Any, value: Any) -> None:
        kind, _, name = key.partition("/")
        if kind == "hut":
            self.hut(name, value)
        elif kind == "timetable":
            self.routes = Routes(msgspec.json.decode(value, type=Timetable))
        elif kind == "evac":
            away = {zone: self.away.get(zone, self.clock()) for zone, on in value.items() if on}
            # Its endpoints may have turned cold while they were empty, and their beats tell it late.
            for hut in self.huts.values():
                if hut.zone in self.away and hut.zone not in away:
                    hut.cold_until = max(hut.cold_until, self.clock() + self.cold_time(hut.line))
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

    def cold_time(self, line: str) -> int:
        depot = self.routes.depots.get(line) if self.routes else None
        return int((depot.cold_s if depot else 0) * SECOND)

    def hut(self, id: str, told: dict | None) -> None:
        held = self.huts.get(id)
        if told is None or told["state"] == "gone":
            if held is not None:
                del self.huts[id]
                line = self.lines[held.line]
                del line[id]
                if not line:
                    del self.lines[held.line]
                held.state = "gone"
                held.wires.close()
                self.divided = None
            return
        if held is None:
            held = self.huts[id] = Hut(
                id,
                told["line"],
                told["addr"],
                told["zone"],
                self.zones.get(told["zone"], ""),
                max(1, told["berths"]),
                wires=Wires(told["addr"]),
            )
            self.lines.setdefault(told["line"], {})[id] = held
            self.divided = None
        if told["state"] == "closing" and held.state != "closing":
            held.closing_at = self.clock()
        held.state = told["state"]
        cold = self.clock() + told["cold"] * MS if told["cold"] else 0
        held.cold_until = max(held.cold_until, cold) if cold else held.cold_until

    def holder(self, line: str, key: int) -> str | None:
        lows, rows = self.keys.get(line, ([], []))
        place = bisect_right(lows, key) - 1
        if place >= 0 and key <= rows[place][0]:
            return rows[place][1]
        return None

    def sharded(self, line: str) -> bool:
        depot = self.routes.depots.get(line)
        return depot is not None and depot.sharded

    def stays(self, hut: Hut) -> bool:
        now = self.clock()
        return (hut.state != "closing" or now - hut.closing_at < self.last_call) and now - self.away.get(
            hut.zone, now
        ) < self.last_stay

    def takes(self, hut: Hut) -> bool:
        """Whether anything may go to an endpoint at all: the rules on leaving and on evacuations."""
        if self.sharded(hut.line):
            return hut.state != "gone" and self.stays(hut)
        return hut.state not in ("closing", "gone") and hut.zone not in self.away

    def able(self, route, line: str, key: int | None, tried: set[str]) -> list[Hut]:
        """Endpoints that may serve a try: the rules bind first, then what is well."""
        if self.divided != self.here.mates:
            self.divided = self.here.mates
            divide([*self.huts.values()], *self.divided)
        if self.sharded(line):
            hut = self.huts.get(self.holder(line, key) or "") if key is not None else None
            found = [hut] if hut is not None else []
        else:
            found = self.lines.get(line, {}).values()
        homes = route.homes
        found = [
            hut
            for hut in found
            if self.takes(hut) and hut.id not in tried and (not homes or hut.region in homes)
        ]
        now = self.clock()
        return [hut for hut in found if hut.there(now)] or found
