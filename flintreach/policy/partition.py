"""Placement of units (slices) on targets (servers), with the gap between each target's load and quota.

Units and targets are indices, so a partition can be copied to another process.  Does no input or output.
"""

import copy
import math
from bisect import bisect_left, insort
from dataclasses import dataclass

SLOW_START_DEVIATION = 50  # deviation of a target in slow start whose demand is twice its quota
SLOW_START_EXCESS = 0.25  # share of its quota by which a unit may take a target in slow start beyond it
NO_UNIT = -1  # in a swap: no unit moves in this direction
PAIRED_ENDS = 3  # targets at each end of a ranking that are paired
MIN_BENEFIT = 1e-9  # smaller benefits of a swap are rounding errors

# Sum and difference of the memory and demand gaps, the demand gap, and the deviation.
Metrics = tuple[float, float, float, float]
Swap = tuple[float, int, int]  # benefit; unit that moves from x to y; unit that moves from y to x


@dataclass(eq=False)
class Partition:
    """Placements, with gaps between loads and quotas that are updated incrementally.

    Targets in slow start, that is warming up or on trial, gain at most one unit per run.

    Attributes:
        original: units of each target when the search began; never changed.
        memory_gaps: of each target, the memory that its units need minus its quota of memory; like all loads
            and quotas in hundredths of a mean target.
        demand_gaps: of each target, its demand minus its quota.
        demands: of one replica of each unit, on a normal target and on one in slow start; the last is (0, 0).
        unit_memory: memory that one unit needs.
        slow_start_quotas: quotas of the targets in slow start.
        gains: number of units that each target has gained in this run.
        empty_deviation: deviation of a target in slow start that is empty and may gain a unit.
    """

    original: list[set[int]]
    memory_gaps: list[float]
    demand_gaps: list[float]
    demands: list[tuple[float, float]]
    unit_memory: float
    slow_start_quotas: dict[int, float]
    gains: list[int]
    empty_deviation: float = 0.0

    def __post_init__(self) -> None:
        """Rank the targets of the original placement."""
        self.placements = self.original
        self.shared = {*range(len(self.original))}  # targets whose set must be copied before it is changed
        self.distance = 0  # placements that differ from the original
        self.swaps_examined = 0  # measure of the work done
        self.metrics = [self._metrics_of(target) for target in range(len(self.original))]
        self.rankings = [
            sorted((value, target) for target, value in enumerate(column)) for column in zip(*self.metrics)
        ]

    def fork(self) -> "Partition":
        """Copy the partition; changes to the copy do not affect this one."""
        fork = copy.copy(self)
        fork.shared = {*self.shared}
        fork.rankings = [ranking[:] for ranking in self.rankings]
        fork.placements = self.placements[:]
        fork.memory_gaps = self.memory_gaps[:]
        fork.demand_gaps = self.demand_gaps[:]
        fork.gains = self.gains[:]
        fork.metrics = self.metrics[:]
        return fork

    @property
    def max_deviation(self) -> float:
        """The largest deviation of any target from its quota."""
        return self.rankings[3][-1][0]

    def _metrics_of(self, target: int) -> Metrics:
        quota = self.slow_start_quotas.get(target)
        # A target that may gain no more units must not rank as the emptiest: it would hide those with room.
        may_not_gain = target in self.slow_start_quotas and self.gains[target]
        floor = 0.0 if may_not_gain else -math.inf
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
        """The units of a target, copied first if another placement shares the set."""
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
        before = self.metrics[target]
        self.metrics[target] = self._metrics_of(target)
        for ranking, old, new in zip(self.rankings, before, self.metrics[target]):
            del ranking[bisect_left(ranking, (old, target))]
            insort(ranking, (new, target))

    def pairs(self) -> list[tuple[float, int, int]]:
        """Pair the targets at both ends of the rankings by the sum and the difference of the gaps.

        The two targets with the largest distance are always at the ends of one of these rankings.

        Returns:
            Pairs of targets, each with the distance of its gaps.
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
        """Whether a target may gain a unit; one in slow start must not be overloaded by it."""
        if target not in self.slow_start_quotas or unit in self.original[target]:
            return True
        quota = self.slow_start_quotas[target]
        room = min(quota, SLOW_START_EXCESS * quota - self.demand_gaps[target])  # a hot slice keeps growing
        return self.gains[target] < 1 and self.demands[unit][True] <= room

    def excluded_targets(self, unit: int) -> list[int]:
        """The targets that may not gain a unit."""
        return [target for target in self.slow_start_quotas if not self.may_gain(unit, target)]

    def _movable(self, source: int, target: int) -> list[tuple[int, float]]:
        """Units that may move from one target to another, with their demands."""
        units = sorted(self.placements[source] - self.placements[target])
        return [(unit, self.demands[unit][False]) for unit in units if self.may_gain(unit, target)]

    def swaps(self, x: int, y: int) -> list[Swap]:
        """The permitted moves and swaps that reduce the distance of two targets, each with its benefit."""
        memory = self.memory_gaps[x] - self.memory_gaps[y]
        demand = self.demand_gaps[x] - self.demand_gaps[y]
        before = abs(memory) + abs(demand)
        # Difference of the memory gaps after a swap, and after a move in either direction.
        swapped = abs(memory)
        moved_away = abs(memory - 2 * self.unit_memory * 1)
        moved_back = abs(memory - 2 * self.unit_memory * -1)
        leaving = self._movable(x, y)
        arriving = self._movable(y, x)
        returning = [(unit, load, swapped) for unit, load in arriving] + [(NO_UNIT, 0.0, moved_away)]
        rows = [(unit, load, returning) for unit, load in leaving]
        rows.append((NO_UNIT, 0.0, [(unit, load, moved_back) for unit, load in arriving]))
        self.swaps_examined += len(rows) * len(returning)
        return [
            (benefit, p, q)
            for p, away, row_returning in rows
            for q, back, memory_gap in row_returning
            if (benefit := before - abs(demand - 2 * (away - back)) - memory_gap) > MIN_BENEFIT
        ]
