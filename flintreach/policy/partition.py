"""A map of units (slices) to targets (servers), with what each target's load lacks or exceeds.  Pure.

Units and targets are known by their positions in lists, so a partition can be copied to another process.
"""

import copy
import math
from bisect import bisect_left, insort
from dataclasses import dataclass

SLOW_START_DEVIATION = 50  # of a guarded target whose demand exceeds its quota by as much again
MAX_FILL_SHARE = 0.25  # part of a guarded target's quota that a newcomer may fill beyond it
NO_UNIT = -1  # in a swap: nothing moves in this direction
PAIRED_ENDS = 3  # targets at each end of a ranking that are paired
MIN_BENEFIT = 1e-9  # a swap that gains less is rounding

Metrics = tuple[float, float, float, float]  # sum, difference of the gaps; the demand's; the deviation
Swap = tuple[float, int, int]  # benefit; the unit that leaves x for y; the one that leaves y for x


@dataclass(eq=False)
class Partition:
    """Placements, and their gaps between load and quota in hundredths of a mean target, kept as they change.

    Guarded targets are those that warm up or are on trial: they gain one unit a run at the most.
    """

    original: list[set[int]]  # the units of each target; not changed
    memory_gaps: list[float]  # of each target: the memory that its units need, less its quota's
    demand_gaps: list[float]  # of each target: its demand, less its quota
    demands: list[tuple[float, float]]  # of a replica, at a usual and at a guarded target; last (0, 0)
    unit_memory: float  # what a unit adds to a memory gap
    slow_start_quotas: dict[int, float]  # by guarded target
    gains: list[int]  # units that each target has gained in this run
    empty_deviation: float = 0.0  # what a guarded target that is empty and may gain counts as

    def __post_init__(self) -> None:
        """Rank the targets of the map that stands."""
        self.placements = self.original
        self.shared = {*range(len(self.original))}  # targets whose set belongs to a map that is kept
        self.distance = 0  # placements that differ from the original
        self.swaps_examined = 0  # swaps looked at: what the work cost
        self.figures = [self._metrics_of(target) for target in range(len(self.original))]
        self.rankings = [
            sorted((value, target) for target, value in enumerate(column)) for column in zip(*self.figures)
        ]

    def fork(self) -> "Partition":
        """Copy it, so that the copy's changes leave this one as it is."""
        fork = copy.copy(self)
        fork.shared = {*self.shared}
        fork.rankings = [ranking[:] for ranking in self.rankings]
        fork.placements = self.placements[:]
        fork.memory_gaps = self.memory_gaps[:]
        fork.demand_gaps = self.demand_gaps[:]
        fork.gains = self.gains[:]
        fork.figures = self.figures[:]
        return fork

    @property
    def max_deviation(self) -> float:
        """The largest deviation of any target from its quota."""
        return self.rankings[3][-1][0]

    def _metrics_of(self, target: int) -> Metrics:
        quota = self.slow_start_quotas.get(target)
        # A target that may gain no more must not stand for the emptiest: it would hide those with room.
        may_gain_no_more = target in self.slow_start_quotas and self.gains[target]
        floor = 0.0 if may_gain_no_more else -math.inf
        memory = max(floor, self.memory_gaps[target])
        demand = max(floor, self.demand_gaps[target])
        if quota is None:
            deviation = max(memory, demand)
        elif self.placements[target]:
            deviation = SLOW_START_DEVIATION * demand / quota
        else:
            deviation = self.empty_deviation * (floor < 0)
        return memory + demand, memory - demand, demand, deviation

    def add(self, unit: int, target: int) -> None:
        """Place a replica of a unit on a target."""
        self._writable_placement(target).add(unit)
        self._update_metrics(unit, target, 1)

    def remove(self, unit: int, target: int) -> None:
        """Take a unit's replica from a target."""
        self._writable_placement(target).discard(unit)
        self._update_metrics(unit, target, -1)

    def _writable_placement(self, target: int) -> set[int]:
        """The target's set, copied first if a kept map shares it."""
        if target in self.shared:
            self.shared.remove(target)
            self.placements[target] = {*self.placements[target]}
        return self.placements[target]

    def _update_metrics(self, unit: int, target: int, sign: int) -> None:
        if unit not in self.original[target]:
            self.distance += sign
            self.gains[target] += sign
        self.memory_gaps[target] += sign * self.unit_memory
        self.demand_gaps[target] += sign * self.demands[unit][target in self.slow_start_quotas]
        before = self.figures[target]
        self.figures[target] = self._metrics_of(target)
        for ranking, old, new in zip(self.rankings, before, self.figures[target]):
            del ranking[bisect_left(ranking, (old, target))]
            insort(ranking, (new, target))

    def pairs(self) -> list[tuple[float, int, int]]:
        """Pair the ends of the rankings by the gaps' sum and difference, which hold the widest pair.

        Each pair comes with the distance of its gaps.
        """
        found: set[tuple[int, int]] = set()
        for ranking in self.rankings[:2]:
            for _, low in ranking[:PAIRED_ENDS]:
                found.update((min(low, high), max(low, high)) for _, high in ranking[-PAIRED_ENDS:])
        pairs = []
        for x, y in sorted(found):
            memory = abs(self.memory_gaps[x] - self.memory_gaps[y])
            gap = memory + abs(self.demand_gaps[x] - self.demand_gaps[y])
            if gap > 0:
                pairs.append((gap, x, y))
        return pairs

    def may_gain(self, unit: int, target: int) -> bool:
        """Whether a target can bear a unit: one that warms up must not be pushed over."""
        if target not in self.slow_start_quotas or unit in self.original[target]:
            return True
        quota = self.slow_start_quotas[target]
        room = min(quota, MAX_FILL_SHARE * quota - self.demand_gaps[target])  # a hot slice grows on
        return self.gains[target] < 1 and self.demands[unit][True] <= room

    def excluded_targets(self, unit: int) -> list[int]:
        """The targets that may not gain a unit."""
        return [target for target in self.slow_start_quotas if not self.may_gain(unit, target)]

    def _movable(self, source: int, target: int) -> list[tuple[int, float]]:
        """Units that may go from one target to another, with their demands."""
        units = sorted(self.placements[source] - self.placements[target])
        return [(unit, self.demands[unit][False]) for unit in units if self.may_gain(unit, target)]

    def swaps(self, x: int, y: int) -> list[Swap]:
        """The valid moves and swaps that bring two targets closer, each with its benefit."""
        memory = self.memory_gaps[x] - self.memory_gaps[y]
        demand = self.demand_gaps[x] - self.demand_gaps[y]
        before = abs(memory) + abs(demand)
        swapped = abs(memory)  # the memory's gap after a swap, and after a move each way
        moved_away = abs(memory - 2 * self.unit_memory * 1)
        moved_back = abs(memory - 2 * self.unit_memory * -1)
        leaving = self._movable(x, y)
        coming = self._movable(y, x)
        answers = [(unit, load, swapped) for unit, load in coming] + [(NO_UNIT, 0.0, moved_away)]
        rows = [(unit, load, answers) for unit, load in leaving]
        rows.append((NO_UNIT, 0.0, [(unit, load, moved_back) for unit, load in coming]))
        self.swaps_examined += len(rows) * len(answers)
        return [
            (benefit, p, q)
            for p, away, row_answers in rows
            for q, back, memory_gap in row_answers
            if (benefit := before - abs(demand - 2 * (away - back)) - memory_gap) > MIN_BENEFIT
        ]
