"""The map of slices and endpoints by FLEX's closest repartitioning, on the parts in `policy`.  Pure.

A slice is one route and one of its services.  All times are nanoseconds of the steady clock; rates are
requests a second.  Source: L. Cherkasova, S. Ponnekanti, HPL-2000-27; what was kept and changed stands in
docs/design/system.md.
"""

from dataclasses import dataclass, field

from flintreach.policy.partition import Partition
from flintreach.policy.replicas import replica_count
from flintreach.policy.search import Search
from flintreach.policy.window import SlidingSums

SECOND = 1_000_000_000
SMOOTHING = 10  # seconds of demand that a slice's figure covers
EVERY, YOUNG = 10 * SECOND, 4 * SECOND  # between full runs; of demand, before a slice has a table
DEV, BAND, MEMORY = 5.0, 10.0, 0.25  # permitted deviation, its slack, the weight of a unit
SLACK, EXTRA = 0.5, 0.5  # of a told load: what of it counts a run; the most, in parts of a quota


@dataclass(slots=True, eq=False)
class Unit:
    """One slice; `want`: ids of the endpoints that serve it."""

    name: str
    line: str
    homes: tuple[str, ...] = ()
    since: int | None = None  # when the first request was told
    came: SlidingSums = field(default_factory=lambda: SlidingSums(SMOOTHING + 2, 1))
    want: set[str] = field(default_factory=set)
    copies: int = 1
    low: int = 0
    rate: float = 0.0


@dataclass(slots=True, eq=False)
class Candidate:
    """One endpoint that may serve: `full` is its told load over its berths, None where it tells none."""

    id: str
    line: str
    region: str
    berths: int
    cold: bool = False
    full: float | None = None
    extra: float = 0.0


class Ground(Partition):
    """A partition in which some endpoints may not serve some slices; `bars[p]`: their places."""

    bars: list[set[int]]

    def may_gain(self, p, y):
        return y not in self.bars[p] and super().may_gain(p, y)

    def barred(self, p):
        return {*super().barred(p), *self.bars[p]}


class Placer:
    def __init__(self, seed: int):
        self.seed, self.counter, self.units, self.devs = seed, 0, {}, {}
        self.full_at = 0

    def slices(self, told: list[tuple[str, str, tuple[str, ...]]], held: dict[str, list[str]]) -> None:
        """The slices of the configuration in force, and the map that stands."""
        units = {}
        for name, line, homes in told:
            unit = units[name] = self.units.get(name) or Unit(name, line)
            unit.line, unit.homes = line, homes
            if name in held:
                unit.want = {*held[name]}
                unit.copies = max(1, len(unit.want)) if unit.copies == 1 else unit.copies
        self.units = units
        lines = {unit.line for unit in units.values()}
        self.devs = {line: dev for line, dev in self.devs.items() if line in lines}

    def heard(self, counts: dict[str, int], now: int) -> None:
        """Requests that came in the last second, by slice."""
        for name, count in counts.items():
            if unit := self.units.get(name):
                unit.since = now if unit.since is None else unit.since
                unit.came.add(now, SECOND, count)

    def run(self, places: list[Candidate], now: int):
        """A generator of small steps; in the end `self.changed` has the tables that are new, by slice."""
        self.changed = {}
        full = now >= self.full_at
        if full:
            self.full_at = now + EVERY
        for line in sorted({unit.line for unit in self.units.values()}):
            units = [
                unit
                for unit in self.units.values()
                if unit.line == line and unit.since is not None and now - unit.since >= YOUNG
            ]
            here = sorted((place for place in places if place.line == line), key=lambda place: place.id)
            if units and len(here) > 1:
                yield from self.line(line, units, here, full, now)

    def line(self, line, units, here, full, now):
        mean = sum(place.berths for place in here) / len(here)
        quota = [100 * place.berths / mean for place in here]
        for unit in units:
            told, age = unit.came.total(now, SMOOTHING)[0], max(1, (now - unit.since) / SECOND)
            unit.rate = told / min(SMOOTHING, age)
        total = sum(unit.rate for unit in units)
        if not total:
            return
        at = {place.id: x for x, place in enumerate(here)}
        bars = [
            {x for x, place in enumerate(here) if unit.homes and place.region not in unit.homes}
            for unit in units
        ] + [set()]
        amounts, old, changed = [], [set() for _ in here], []
        for p, unit in enumerate(units):
            demand = 100 * len(here) * unit.rate / total
            most = max(1, len(here) - len(bars[p]))
            unit.copies, unit.low = replica_count(unit.copies, unit.low, demand / 100, most, full)
            unit.copies = min(unit.copies, max(1, len(here) - len(bars[p])))
            amounts.append((demand / unit.copies,) * 2)
            has = sorted(at[id] for id in unit.want if id in at and at[id] not in bars[p])
            for x in has:
                old[x].add(p)
            if len(has) != unit.copies:
                changed.append((p, has, unit.copies))
        memory = MEMORY * 100 * len(here) / max(1, sum(unit.copies for unit in units))
        gaps = [sum(amounts[p][0] for p in held) - share for held, share in zip(old, quota)]
        self.weigh(here, gaps, quota)
        gaps = [gap + place.extra * share for gap, place, share in zip(gaps, here, quota)]
        room = [len(held) * memory - MEMORY * share for held, share in zip(old, quota)]
        tender = {x: quota[x] for x, place in enumerate(here) if place.cold}
        start = Ground(old, room, gaps, amounts + [(0.0, 0.0)], memory, tender, [0] * len(here), 0.0)
        start.bars = bars
        dev = self.devs.get(line, DEV)
        search = Search(self.seed, self.counter, start, changed, DEV)
        stale = any(not unit.want <= at.keys() for unit in units)
        if not changed and not stale and (not full or search.widest <= dev + BAND):
            return
        if changed or full:
            yield from search.steps()
            (self.devs[line], _), holds = search.best
            self.counter = search.counter
        else:
            holds = old
        for p, unit in enumerate(units):
            found = {here[x].id for x, held in enumerate(holds) if p in held}
            if found and found != unit.want:
                unit.want = found
                self.changed[unit.name] = sorted(found)

    def weigh(self, here, gaps, quota) -> None:
        """Told load beyond what the slices explain is background; where all are full, it is noise."""
        known = [x for x, place in enumerate(here) if place.full is not None]
        if not known:
            return
        mean = sum(here[x].full for x in known) / len(known)
        slack = min(1.0, max(0.0, 1 - mean) / SLACK)
        for x in known:
            beyond = slack * (here[x].full - mean * (1 + gaps[x] / quota[x]))
            here[x].extra = max(-EXTRA, min(EXTRA, beyond))
