"""Who is to hold which keys: decisions on the allocation of one sharded service, pure.

An allocation is what stands in the register: ranges [low, high, holder, fence, handover].  A holder "" means
that nobody holds the range and that nobody may still believe it does.  `leaving` ranges wait for a release or
for the end of the old hold.
"""

from bisect import bisect_right
from dataclasses import dataclass, field

KEYS = 65536
HELD, LEAVING, FREE = "held", "leaving", "free"
BUCKET, FEWEST = 64, 8  # keys that are counted together; the fewest that are cut off
BASE, CREDIBLE = 0.3, 200.0  # part of the load taken as even; requests that are believed in full
MOST = 0.125  # of all load or keys, that changes hands at a time
OVER, FEW = 2.0, 0.02  # times its due of keys, and a part beyond, that are given up even at rest
SHORT, BUSY, WORTH = 0.5, 1.5, 0.04  # times its due: one short of load, one with too much; least moved


@dataclass(slots=True)
class Range:
    low: int
    high: int  # both inside
    holder: str = ""
    fence: int = 0
    state: str = FREE
    handover: str = ""
    addr: str = ""

    def row(self) -> list:
        return [self.low, self.high, self.holder, self.fence, self.state, self.handover, self.addr]

    @property
    def size(self) -> int:
        return self.high - self.low + 1

    @property
    def place(self) -> tuple[int, int, int]:
        return self.low, self.high, self.fence


@dataclass(slots=True)
class Allocation:
    """`keeper` may act on it while its `beat` is fresh; `epoch` rises with each keeper."""

    keeper: str = ""
    epoch: int = 0
    beat: int = 0
    fence: int = 0  # the highest ever given
    ranges: list[Range] = field(default_factory=list)
    hold: float = 0.0  # seconds: the longest that any keeper has granted

    def rows(self) -> list:
        return [self.keeper, self.epoch, self.beat, self.fence, [r.row() for r in self.ranges], self.hold]

    @classmethod
    def of(cls, rows: list | None) -> "Allocation":
        if not rows:
            return cls(ranges=[Range(0, KEYS - 1)])
        keeper, epoch, beat, fence, ranges, *hold = rows
        return cls(keeper, epoch, beat, fence, [Range(*row) for row in ranges], *hold)


class LoadDistribution:
    """Which part of a service's load falls on which keys: `counts` requests by bucket of BUCKET keys.

    Few counts tell little, and keys that nobody asked for of late may be next: a part is taken as even.
    """

    def __init__(self, counts: dict[int, float] | None = None):
        counts = counts or {}
        total = sum(counts.values())
        told = (1 - BASE) * min(1.0, total / CREDIBLE)
        self.sums, number = [0.0], KEYS // BUCKET
        for bucket in range(number):
            hot = told * counts.get(bucket, 0.0) / total if total else 0.0
            self.sums.append(self.sums[-1] + (1 - told) / number + hot)

    def below(self, key: int) -> float:
        bucket, rest = divmod(key, BUCKET)
        if bucket >= len(self.sums) - 1:
            return self.sums[-1]
        return self.sums[bucket] + (self.sums[bucket + 1] - self.sums[bucket]) * rest / BUCKET

    def part(self, low: int, high: int) -> float:
        """The part of all load on these keys, both ends inside."""
        return self.below(high + 1) - self.below(low)

    def size(self, low: int, part: float) -> int:
        """How many keys from `low` on bear such a part of all load."""
        want = self.below(low) + part
        bucket = min(max(0, bisect_right(self.sums, want) - 1), len(self.sums) - 2)
        inside = (want - self.sums[bucket]) / (self.sums[bucket + 1] - self.sums[bucket])
        return max(0, int((bucket + min(1.0, inside)) * BUCKET) - low)


EVEN = LoadDistribution()


def shares(weights: dict[str, float]) -> dict[str, float]:
    """The part of the load each endpoint is to bear."""
    total = sum(weights.values()) or 1.0
    return {id: weight / total for id, weight in weights.items()}


def borne(allocation: Allocation, ids, heat: LoadDistribution) -> dict[str, float]:
    """The part of the load that each of these endpoints bears."""
    found = dict.fromkeys(ids, 0.0)
    for r in allocation.ranges:
        if r.holder in found and r.state == HELD:
            found[r.holder] += heat.part(r.low, r.high)
    return found


def cut(ranges: list[Range], place: int, size: int) -> None:
    """Split a range so that its first part has `size` keys."""
    whole = ranges[place]
    if 0 < size < whole.size:
        rest = Range(
            whole.low + size, whole.high, whole.holder, whole.fence, whole.state, whole.handover, whole.addr
        )
        whole.high = whole.low + size - 1
        ranges.insert(place + 1, rest)


def fill(
    allocation: Allocation, able: dict[str, float], addrs: dict[str, str], heat: LoadDistribution
) -> bool:
    """Give free ranges to endpoints that are short of load.  Whether anything changed.

    `able`: endpoint -> weight, of those that may be given keys.
    """
    if not able:
        return False
    want, held, changed = shares(able), borne(allocation, able, heat), False
    place = 0
    while place < len(allocation.ranges):
        r = allocation.ranges[place]
        if r.state == FREE:
            id = max(able, key=lambda id: (want[id] - held[id], id))
            room = heat.size(r.low, max(0.0, want[id] - held[id]))
            if room >= FEWEST and r.size - room >= FEWEST:
                cut(allocation.ranges, place, room)
            allocation.fence += 1
            r.holder, r.fence, r.state, r.addr = id, allocation.fence, HELD, addrs[id]
            held[id] += heat.part(r.low, r.high)
            changed = True
        place += 1
    return changed


def evict(allocation: Allocation, out: set[str]) -> list[Range]:
    """Ranges whose holders must give them up, now marked so."""
    marked = [r for r in allocation.ranges if r.state == HELD and r.holder in out]
    for r in marked:
        r.state = LEAVING
    return marked


def spread(allocation: Allocation, able: dict[str, float], heat: LoadDistribution, busy: set[str]) -> bool:
    """Mark keys of one who bears far too much, for others who bear too little; a part of all at a time.

    `busy`: those that have little room left by their own word: of the others none needs relief.
    """
    if any(r.state != HELD for r in allocation.ranges):
        return False  # one move at a time
    want, held = shares(able), borne(allocation, able, heat)
    low = min(able, key=lambda id: held[id] - want[id], default=None)
    high = max(able, key=lambda id: held[id] - want[id], default=None)
    # One that should hold far fewer keys by its weight, as where they are to lie in another region.
    keys = borne(allocation, able, EVEN)
    far = max(able, key=lambda id: keys[id] - OVER * want[id], default=None)
    if far is not None and keys[far] > OVER * want[far] + FEW:
        return move(allocation, far, min(MOST, max(keys[far] - want[far], 0.0)), EVEN)
    if low is None or held[low] > SHORT * want[low] and (held[high] < BUSY * want[high] or high not in busy):
        return False
    part = min(want[low] - held[low], held[high] - want[high], MOST)
    if part < WORTH * want[low]:
        return False
    return move(allocation, high, part, heat)


def move(allocation: Allocation, id: str, part: float, heat: LoadDistribution) -> bool:
    """Mark such a part of all load on the largest range of an endpoint."""
    best = max((r for r in allocation.ranges if r.holder == id), key=lambda r: heat.part(r.low, r.high))
    place, whole = allocation.ranges.index(best), heat.part(best.low, best.high)
    head, tail = heat.size(best.low, part), best.size - heat.size(best.low, whole - part)
    if min(head, tail) < FEWEST:
        head = tail = max(head, tail)
    # The end that has its load on fewer keys goes.
    if head <= tail and best.size - head >= FEWEST:
        cut(allocation.ranges, place, head)
    elif tail < head and best.size - tail >= FEWEST:
        cut(allocation.ranges, place, best.size - tail)
        best = allocation.ranges[place + 1]
    best.state = LEAVING
    return True
