"""Which endpoint is to hold which keys of one sharded service: decisions without input or output.

An `Allocation` is the value that stands in the register for a service.  It divides all keys into ranges.  A
held range has a holder, its endpoint, and a fencing token that was never given before.  A range without a
holder is free: nobody holds it, and nobody can still believe to hold it.  Between the two a range is leaving:
it waits for its holder's release or for the end of its lease.

`range_lease` decides who may change an allocation, and when a leaving range is free.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

KEYS = 65536
BUCKET_KEYS = 64  # keys whose requests are counted together
MIN_RANGE_KEYS = 8  # no fewer are cut off a range
UNIFORM_PART = 0.3  # of the load: taken as even over all keys, whatever was counted
CREDIBLE_REQUESTS = 200.0  # from so many requests on the counts are believed in full
MAX_MOVED_PART = 0.125  # of all load, or of all keys: what changes hands at a time
# Keys of an endpoint beyond so many times its due, plus this part of all keys, are given up even at rest.
OVERSIZED_FACTOR = 2.0
OVERSIZED_PART = 0.02
UNDERLOADED_FACTOR = 0.5  # times its due of the load: less than that is short of load
OVERLOADED_FACTOR = 1.5  # times its due of the load: more than that is too much
MIN_MOVED_FACTOR = 0.04  # times the receiver's due: less is not worth a move


class RangeState(StrEnum):
    """State of a range, as it is stored and sent."""

    HELD = "held"
    REVOKING = "leaving"
    FREE = "free"


class RangeRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A range as it is stored in the register: an array in this order; the meanings are those of `Range`."""

    low: int
    high: int
    holder: str = ""
    fence: int = 0
    state: str = RangeState.FREE.value
    handover: str = ""
    address: str = ""


class AllocationRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """An allocation as it is stored in the register: an array in this order.

    The meanings are those of `Allocation`.  Earlier releases wrote it without `lease_s`.
    """

    owner: str
    epoch: int
    renewals: int
    fence: int
    ranges: list[RangeRow]
    lease_s: float = 0.0


@dataclass(slots=True)
class Range:
    """Keys from `low` to `high`, both included.

    Attributes:
        holder: id of the endpoint that has them; "": none.
        fence: fencing token, higher than that of any range given before; the parts of a range that is cut
            share it.
        state: a `RangeState`.
        handover: what the last holder gave back with its release, for the next one.
        address: "ip:port" of the holder; "" where there is none.
    """

    low: int
    high: int
    holder: str = ""
    fence: int = 0
    state: str = RangeState.FREE
    handover: str = ""
    address: str = ""

    def row(self) -> RangeRow:
        """The range as it is stored."""
        return RangeRow(
            low=self.low,
            high=self.high,
            holder=self.holder,
            fence=self.fence,
            state=str(self.state),
            handover=self.handover,
            address=self.address,
        )

    @classmethod
    def from_row(cls, row: RangeRow) -> "Range":
        """The range that is stored."""
        return cls(row.low, row.high, row.holder, row.fence, row.state, row.handover, row.address)

    @property
    def size(self) -> int:
        """How many keys it has."""
        return self.high - self.low + 1

    @property
    def identity(self) -> tuple[int, int, int]:
        """Its keys and fencing token: what a call to its holder was about."""
        return self.low, self.high, self.fence

    def free(self, handover: str) -> None:
        """Take it from its holder."""
        self.state = RangeState.FREE
        self.holder = ""
        self.handover = handover
        self.address = ""


@dataclass(slots=True)
class Allocation:
    """The division of a service's keys, with the lease owner that may change it.

    Attributes:
        owner: name of the process that may act on it while its last renewal is fresh.
        epoch: rises with each owner.
        renewals: rises with each change by an owner.
        fence: the highest fencing token ever given.
        ranges: all keys, in order.
        lease_s: the longest lease that any owner has granted to endpoints, in seconds.
    """

    owner: str = ""
    epoch: int = 0
    renewals: int = 0
    fence: int = 0
    ranges: list[Range] = field(default_factory=list)
    lease_s: float = 0.0

    def row(self) -> AllocationRow:
        """The allocation as it is stored."""
        return AllocationRow(
            owner=self.owner,
            epoch=self.epoch,
            renewals=self.renewals,
            fence=self.fence,
            ranges=[key_range.row() for key_range in self.ranges],
            lease_s=self.lease_s,
        )

    @classmethod
    def from_row(cls, row: AllocationRow | None) -> "Allocation":
        """The allocation that is stored; None: none yet, all keys are free."""
        if row is None:
            return cls(ranges=[Range(0, KEYS - 1)])
        ranges = [Range.from_row(range_row) for range_row in row.ranges]
        return cls(row.owner, row.epoch, row.renewals, row.fence, ranges, row.lease_s)

    def encode(self) -> bytes:
        """The bytes that stand in the register."""
        return msgspec.msgpack.encode(self.row())

    @classmethod
    def decode(cls, value: bytes | None) -> "Allocation":
        """The allocation that stands in the register; None or empty: none yet, all keys are free."""
        return cls.from_row(msgspec.msgpack.decode(value, type=AllocationRow) if value else None)


class LoadDistribution:
    """Which part of a service's load falls on which keys.

    Few counts tell little, and keys that nobody asked for of late may be next: a part is taken as even.
    """

    def __init__(self, counts: dict[int, float] | None = None) -> None:
        """Sum up the counts.

        Args:
            counts: requests of late, by bucket of `BUCKET_KEYS` keys.
        """
        counts = counts or {}
        total = sum(counts.values())
        counted_part = (1 - UNIFORM_PART) * min(1.0, total / CREDIBLE_REQUESTS)
        buckets = KEYS // BUCKET_KEYS
        self.sums = [0.0]  # by bucket: the part of all load on the keys below it
        for bucket in range(buckets):
            counted = counted_part * counts.get(bucket, 0.0) / total if total else 0.0
            self.sums.append(self.sums[-1] + (1 - counted_part) / buckets + counted)

    def below(self, key: int) -> float:
        """The part of all load on the keys below this one."""
        bucket, rest = divmod(key, BUCKET_KEYS)
        if bucket >= len(self.sums) - 1:
            return self.sums[-1]
        return self.sums[bucket] + (self.sums[bucket + 1] - self.sums[bucket]) * rest / BUCKET_KEYS

    def part(self, low: int, high: int) -> float:
        """The part of all load on these keys, both ends included."""
        return self.below(high + 1) - self.below(low)

    def size(self, low: int, part: float) -> int:
        """How many keys from `low` on bear such a part of all load."""
        end = self.below(low) + part
        bucket = min(max(0, bisect_right(self.sums, end) - 1), len(self.sums) - 2)
        inside = (end - self.sums[bucket]) / (self.sums[bucket + 1] - self.sums[bucket])
        return max(0, int((bucket + min(1.0, inside)) * BUCKET_KEYS) - low)


EVEN_LOAD = LoadDistribution()


def load_targets(weights: dict[str, float]) -> dict[str, float]:
    """Endpoint -> the part of the load that it is to bear, by its weight."""
    total = sum(weights.values()) or 1.0
    return {id: weight / total for id, weight in weights.items()}


def load_by_endpoint(allocation: Allocation, ids: Iterable[str], load: LoadDistribution) -> dict[str, float]:
    """Endpoint -> the part of the load that it bears by the ranges that it holds."""
    parts = dict.fromkeys(ids, 0.0)
    for key_range in allocation.ranges:
        if key_range.holder in parts and key_range.state == RangeState.HELD:
            parts[key_range.holder] += load.part(key_range.low, key_range.high)
    return parts


def split(ranges: list[Range], index: int, size: int) -> None:
    """Cut a range so that its first part has `size` keys; nothing happens where one part would be empty."""
    first = ranges[index]
    if not 0 < size < first.size:
        return
    second = Range(
        low=first.low + size,
        high=first.high,
        holder=first.holder,
        fence=first.fence,
        state=first.state,
        handover=first.handover,
        address=first.address,
    )
    first.high = first.low + size - 1
    ranges.insert(index + 1, second)


def assign_free_ranges(
    allocation: Allocation, weights: dict[str, float], addresses: dict[str, str], load: LoadDistribution
) -> bool:
    """Give free ranges to the endpoints that are shortest of load.

    Args:
        allocation: changed in place.
        weights: endpoint -> weight, of those that may be given keys.
        addresses: endpoint -> "ip:port", of these at least.
        load: where the service's load lies.

    Returns:
        Whether anything changed.
    """
    if not weights:
        return False
    targets = load_targets(weights)
    borne = load_by_endpoint(allocation, weights, load)
    changed = False
    index = 0
    while index < len(allocation.ranges):  # a split adds ranges behind this one
        key_range = allocation.ranges[index]
        if key_range.state == RangeState.FREE:
            holder = max(weights, key=lambda id: (targets[id] - borne[id], id))
            wanted_keys = load.size(key_range.low, max(0.0, targets[holder] - borne[holder]))
            if wanted_keys >= MIN_RANGE_KEYS and key_range.size - wanted_keys >= MIN_RANGE_KEYS:
                split(allocation.ranges, index, wanted_keys)
            allocation.fence += 1
            key_range.holder = holder
            key_range.fence = allocation.fence
            key_range.state = RangeState.HELD
            key_range.address = addresses[holder]
            borne[holder] += load.part(key_range.low, key_range.high)
            changed = True
        index += 1
    return changed


def evict(allocation: Allocation, holders: set[str]) -> list[Range]:
    """Mark all held ranges of these endpoints as leaving; the ranges that were marked."""
    marked = [
        key_range
        for key_range in allocation.ranges
        if key_range.state == RangeState.HELD and key_range.holder in holders
    ]
    for key_range in marked:
        key_range.state = RangeState.REVOKING
    return marked


def rebalance(
    allocation: Allocation, weights: dict[str, float], load: LoadDistribution, busy: set[str]
) -> bool:
    """Mark keys of an endpoint that bears far too much as leaving, for those that bear too little.

    Args:
        allocation: changed in place, by one move of `MAX_MOVED_PART` at most.
        weights: endpoint -> weight, of those that may be given keys.
        load: where the service's load lies.
        busy: endpoints that have little capacity left by what they say; none of the others needs relief.

    Returns:
        Whether keys were marked.
    """
    if any(key_range.state != RangeState.HELD for key_range in allocation.ranges):
        return False  # one move at a time
    targets = load_targets(weights)
    if _shrink_oversized(allocation, targets):
        return True
    return _relieve_overloaded(allocation, targets, load, busy)


def _shrink_oversized(allocation: Allocation, targets: dict[str, float]) -> bool:
    """Mark keys of one that should hold far fewer by its weight, as where another region gets them."""
    keys = load_by_endpoint(allocation, targets, EVEN_LOAD)
    largest = max(targets, key=lambda id: keys[id] - OVERSIZED_FACTOR * targets[id], default=None)
    if largest is None or keys[largest] <= OVERSIZED_FACTOR * targets[largest] + OVERSIZED_PART:
        return False
    surplus = max(keys[largest] - targets[largest], 0.0)
    return mark_part(allocation, largest, min(MAX_MOVED_PART, surplus), EVEN_LOAD)


def _relieve_overloaded(
    allocation: Allocation, targets: dict[str, float], load: LoadDistribution, busy: set[str]
) -> bool:
    """Mark keys of the endpoint that is most above its due, where it has too much or one is short."""
    if not targets:
        return False
    borne = load_by_endpoint(allocation, targets, load)
    lowest = min(targets, key=lambda id: borne[id] - targets[id])
    highest = max(targets, key=lambda id: borne[id] - targets[id])
    underloaded = borne[lowest] <= UNDERLOADED_FACTOR * targets[lowest]
    overloaded = borne[highest] >= OVERLOADED_FACTOR * targets[highest] and highest in busy
    if not underloaded and not overloaded:
        return False
    part = min(targets[lowest] - borne[lowest], borne[highest] - targets[highest], MAX_MOVED_PART)
    if part < MIN_MOVED_FACTOR * targets[lowest]:
        return False
    return mark_part(allocation, highest, part, load)


def mark_part(allocation: Allocation, holder: str, part: float, load: LoadDistribution) -> bool:
    """Mark such a part of all load as leaving, on the endpoint's range with the most load; always True."""
    heaviest = max(
        (key_range for key_range in allocation.ranges if key_range.holder == holder),
        key=lambda key_range: load.part(key_range.low, key_range.high),
    )
    index = allocation.ranges.index(heaviest)
    range_part = load.part(heaviest.low, heaviest.high)
    head_keys = load.size(heaviest.low, part)
    tail_keys = heaviest.size - load.size(heaviest.low, range_part - part)
    if min(head_keys, tail_keys) < MIN_RANGE_KEYS:
        head_keys = tail_keys = max(head_keys, tail_keys)
    # The end that has its load on fewer keys goes.  What would leave too few keys goes whole.
    leaving = heaviest
    if head_keys <= tail_keys and heaviest.size - head_keys >= MIN_RANGE_KEYS:
        split(allocation.ranges, index, head_keys)
    elif tail_keys < head_keys and heaviest.size - tail_keys >= MIN_RANGE_KEYS:
        split(allocation.ranges, index, heaviest.size - tail_keys)
        leaving = allocation.ranges[index + 1]
    leaving.state = RangeState.REVOKING
    return True
