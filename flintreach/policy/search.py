"""Randomized local search for a better placement of units on targets that is close to the current one.

The same seed and counter give the same result.  Does no input or output.

Source: L. Cherkasova, S. Ponnekanti, HPL-2000-27 (FLEX: closest repartitioning); docs/design.md.
"""

import math
import zlib
from bisect import bisect_left, insort
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from operator import itemgetter
from typing import NamedTuple

from flintreach.policy.partition import NO_UNIT, Partition

DEVIATION_STEP = 1 / 2  # of the permitted deviation: candidates within one step count as equal
CANDIDATES = 20  # per run
GREEDY_CANDIDATES = 2  # candidates that take the best moves instead of random ones
MIN_ATTEMPTS = 20  # lower bound of the limit on moves per candidate
RANDOM_SPREAD = 20  # range of the random term when a new replica is placed, in hundredths of a mean target
TURN_BUDGET_US = 6000  # of the periodic work in one turn, in approximate microseconds of a core
MOVE_COST_US = 150  # per move or swap
CANDIDATE_COST_US = 2  # per target

Costs = Iterator[int]  # cost of each next step of some work, in approximate microseconds of a core
Row = tuple[float, int, int]  # a pair or a swap; the first value is its weight in a random choice


class Solution(NamedTuple):
    """A placement that a search found, and its cost."""

    cost: tuple[float, int]  # deviation, rounded up to steps; placements that differ from the original
    placements: list[set[int]]  # the units of each target


@dataclass(eq=False)
class Search:
    """One run of the search, which holds only numbers, so that another process can do it on a copy.

    Attributes:
        seed: of the random draws.
        counter: number of draws so far, over all runs, so that no two runs use the same ones.
        start: the current placement.
        changed: units whose number of targets differs from the desired one: the unit, its targets, and the
            desired number of replicas.
        deviation: permitted deviation, in hundredths of a mean target.
        offloaded: whether another process does the search; until it has answered, `steps` waits.
    """

    seed: int
    counter: int
    start: Partition
    changed: list[tuple[int, list[int], int]]
    deviation: float
    offloaded: bool = False

    def __post_init__(self) -> None:
        """Start without a solution; `steps` does the search."""
        self.best: Solution | None = None
        self.initial_deviation = self.start.max_deviation

    def _draw(self, ahead: int = 1) -> float:
        """A draw from [0, 1) that is `ahead` of the counter, which does not change."""
        return zlib.crc32(b"%d %d" % (self.seed, self.counter + ahead)) / 2**32

    def _random_key(self, row: Row) -> float:
        """A random key of a row: the larger its weight, the more likely its key is the largest.

        Source: Efraimidis and Spirakis, "Weighted random sampling with a reservoir" (2006).
        """
        self.counter += 1
        return self._draw(0) ** (1 / row[0])

    def steps(self) -> Costs:
        """Run the search; `best` has the smallest deviation, and among equals the fewest changes."""
        while self.offloaded:
            yield TURN_BUDGET_US
        if self.best:
            return
        size = len(self.start.original)
        for number in range(CANDIDATES):
            yield CANDIDATE_COST_US * size
            candidate = self.start.fork()
            for unit, targets, replicas in self.changed:
                yield MOVE_COST_US
                self._adjust_replicas(candidate, unit, targets, replicas)
            yield from self._improve_candidate(candidate, number < GREEDY_CANDIDATES)

    def _improve_candidate(self, candidate: Partition, greedy: bool) -> Costs:
        """Move units until the deviation is permitted or no move helps; keep the candidate if it is best."""
        size = len(self.start.original)
        step = self.deviation * DEVIATION_STEP
        for _ in range(max(MIN_ATTEMPTS, size) + 1):
            deviation = max(self.deviation, step * math.ceil(candidate.max_deviation / step))
            cost = deviation, candidate.distance
            if self.best is None or cost < self.best.cost:
                self.best = Solution(cost, candidate.placements[:])
                candidate.shared = {*range(size)}
            if deviation <= self.deviation or not self._improve(candidate, greedy):
                return
            # The next move is assumed to cost as much as the last one.
            yield MOVE_COST_US + candidate.swaps_examined // 4
            candidate.swaps_examined = 0

    def _adjust_replicas(self, candidate: Partition, unit: int, targets: list[int], replicas: int) -> None:
        """Add replicas on the least loaded targets, or remove them from the most loaded ones.

        Targets are visited in the order of their load: once even the best draw could not make a target one
        of those chosen, the remaining ones need no draw.
        """
        load = candidate.demand_gaps
        missing = replicas - len(targets)
        for target in sorted(targets, key=load.__getitem__)[replicas:]:
            candidate.remove(unit, target)
        excluded = sorted({*targets, *candidate.excluded_targets(unit)})
        chosen: list[tuple[float, int]] = []
        for least, target in candidate.rankings[2]:
            if len(chosen) >= missing and (missing <= 0 or least > chosen[missing - 1][0]):
                break
            if target not in excluded:
                draw = self._draw(target - bisect_left(excluded, target) + 1)
                insort(chosen, (least + RANDOM_SPREAD * draw, target))
        self.counter += len(load) - len(excluded)
        for _, target in chosen[: max(0, missing)]:
            candidate.add(unit, target)

    def _improve(self, candidate: Partition, greedy: bool) -> bool:
        """Make one move or swap, if any helps.

        It is the best of the most distant pair, or a random one weighted by distance and benefit.
        """
        key: Callable[[Row], float] = itemgetter(0) if greedy else self._random_key
        for _, x, y in sorted(candidate.pairs(), key=key, reverse=True):
            swaps = candidate.swaps(x, y)
            if not swaps:  # as with a target in slow start that may gain no more units
                continue
            _, leaving, coming = max(swaps, key=key)
            for unit, source, target in ((leaving, x, y), (coming, y, x)):
                if unit != NO_UNIT:
                    candidate.remove(unit, source)
                    candidate.add(unit, target)
            return True
        return False
