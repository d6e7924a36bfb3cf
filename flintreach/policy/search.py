"""The search for a better map of units to targets, near the old one.  Pure, and random only by its seed.

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

DEVIATION_STEP = 1 / 2  # of the permitted deviation: candidates within one step are alike
CANDIDATES = 20  # a run
GREEDY_CANDIDATES = 2  # of these, whose moves are the best ones and not drawn
MIN_ATTEMPTS = 20  # moves a candidate at least
RANDOM_SPREAD = 20  # hundredths of a mean target: how far a draw outweighs room, for a new replica
TURN_BUDGET_US = 6000  # of a second's work in one turn: about microseconds of a core
MOVE_COST_US = 150  # of a move or swap, likewise
CANDIDATE_COST_US = 2  # a target

Costs = Iterator[int]  # what the next part of some work costs, in about microseconds of a core
Row = tuple[float, int, int]  # a pair or a swap, by what it is drawn by


class Solution(NamedTuple):
    """A map that a search found, and what it is judged by."""

    cost: tuple[float, int]  # deviation, in steps; placements that differ from the old map
    placements: list[set[int]]  # the units of each target


@dataclass(eq=False)
class Search:
    """One run: it knows positions and figures alone, so that another process can do it on a copy."""

    seed: int
    counter: int  # draws made before, so that no two runs repeat them
    start: Partition  # the map that stands
    changed: list[tuple[int, list[int], int]]  # unit, its targets, wanted replicas: where these differ
    deviation: float  # that is permitted, in hundredths of a mean target
    offloaded: bool = False  # another process takes the steps; till it has answered, `steps` waits

    def __post_init__(self) -> None:
        """Begin with nothing found; `steps` searches."""
        self.best: Solution | None = None
        self.initial_deviation = self.start.max_deviation

    def _draw(self, ahead: int = 1) -> float:
        """The draw, from 0 to 1, that is so many ahead; the counter stays."""
        return zlib.crc32(b"%d %d" % (self.seed, self.counter + ahead)) / 2**32

    def _random_key(self, row: Row) -> float:
        """A random key: the larger a row's first value, the likelier it wins.

        Source: Efraimidis and Spirakis, "Weighted random sampling with a reservoir" (2006).
        """
        self.counter += 1
        return self._draw(0) ** (1 / row[0])

    def steps(self) -> Costs:
        """Do the search: who fits a smaller deviation is `best`, then who has fewer changed placements."""
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
        """Move until it fits the permitted deviation or nothing helps; keep it where it is the best yet."""
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
            yield MOVE_COST_US + candidate.swaps_examined // 4  # as the last one was
            candidate.swaps_examined = 0

    def _adjust_replicas(self, candidate: Partition, unit: int, targets: list[int], replicas: int) -> None:
        """Place further replicas where load is least, or take some from where it is most.

        Targets are met by their load: once even the best draw can't win, the rest needs no draw.
        """
        load = candidate.demand_gaps
        missing = replicas - len(targets)
        for target in sorted(targets, key=load.__getitem__)[replicas:]:
            candidate.remove(unit, target)
        barred = sorted({*targets, *candidate.excluded_targets(unit)})
        chosen: list[tuple[float, int]] = []
        for least, target in candidate.rankings[2]:
            if len(chosen) >= missing and (missing <= 0 or least > chosen[missing - 1][0]):
                break
            if target not in barred:
                draw = self._draw(target - bisect_left(barred, target) + 1)
                insort(chosen, (least + RANDOM_SPREAD * draw, target))
        self.counter += len(load) - len(barred)
        for _, target in chosen[: max(0, missing)]:
            candidate.add(unit, target)

    def _improve(self, candidate: Partition, greedy: bool) -> bool:
        """Make one move or swap, if any: the best of the widest pair, or drawn by deviation and benefit."""
        key: Callable[[Row], float] = itemgetter(0) if greedy else self._random_key
        for _, x, y in sorted(candidate.pairs(), key=key, reverse=True):
            swaps = candidate.swaps(x, y)
            if not swaps:  # a guarded target is soon full, and its pairs have none
                continue
            _, leaving, coming = max(swaps, key=key)
            for unit, source, target in ((leaving, x, y), (coming, y, x)):
                if unit != NO_UNIT:
                    candidate.remove(unit, source)
                    candidate.add(unit, target)
            return True
        return False
