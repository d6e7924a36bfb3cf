"""Assignment of the key ranges of one sharded service to endpoints: decisions without I/O.

An `Allocation` is the register's value for a service. It partitions the keys into ranges. A held range has a
holder, which is an endpoint, and a fencing token that is never reused. A free range has no holder, and no
endpoint can still consider itself the holder. In between, a range is being revoked: it waits for the holder
to release it or for the lease to expire.

`range_lease` decides which process may modify an allocation, and when a revoked range becomes free.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

KEYS = 65536
BUCKET_KEYS = 64  # keys that share a request counter
MIN_RANGE_KEYS = 8  # minimum size of a range that is split off
UNIFORM_SHARE = 0.3  # of the load: assumed uniform over the keys regardless of the counts
FULL_CONFIDENCE_REQUESTS = 200.0  # with fewer, the counts get proportionally less weight
MAX_MOVED_SHARE = 0.125  # of all load or all keys, per move
# An endpoint is oversized if it holds more than the factor times its target share of all keys, plus the
# margin. It then gives up keys even if it is idle.
OVERSIZED_FACTOR = 2.0
OVERSIZED_MARGIN = 0.02
UNDERLOADED_FACTOR = 0.5  # times the target share of the load, or less
OVERLOADED_FACTOR = 1.5  # times the target share of the load, or more
MIN_MOVED_FACTOR = 0.04  # times the receiver's target share: smaller moves are not worth it


class RangeState(StrEnum):
    """State of a range. The values are stored and sent."""

    HELD = "held"
    REVOKING = "leaving"
    FREE = "free"


class RangeRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Range as stored in the register: an array with the fields in this order; see `Range`."""

    low: int
    high: int
    holder: str = ""
    fence: int = 0
    state: str = RangeState.FREE.value
    handover: str = ""
    address: str = ""


class AllocationRow(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """Allocation as stored in the register: an array with the fields in this order; see `Allocation`.

    Earlier releases wrote it without `lease_s`.
    """

    owner: str
    epoch: int
    renewals: int
    fence: int
    ranges: list[RangeRow]
    lease_s: float = 0.0


@dataclass(slots=True)
class Range:
    """Keys from `low` to `high`, inclusive.

    Attributes:
        holder: id of the endpoint that holds the range; "" if there is none.
        fence: fencing token, higher than those of all earlier assignments; the parts of a split range share
            it.
        state: a `RangeState`.
        handover: data that the last holder returned on release, for the next holder.
        address: "ip:port" of the holder; "" if there is none.
    """

    low: int
    high: int
    holder: str = ""
    fence: int = 0
    state: str = RangeState.FREE
    handover: str = ""
    address: str = ""

    def row(self) -> RangeRow:
        """Convert to the stored form."""
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
        """Convert from the stored form."""
        return cls(row.low, row.high, row.holder, row.fence, row.state, row.handover, row.address)

    @property
    def size(self) -> int:
        """Number of keys."""
        return self.high - self.low + 1

    @property
    def identity(self) -> tuple[int, int, int]:
        """Keys and fencing token, which identify the range that a call to its holder is about."""
        return self.low, self.high, self.fence

    def free(self, handover: str) -> None:
        """Remove the holder, and keep its handover data for the next one."""
        self.state = RangeState.FREE
        self.holder = ""
        self.handover = handover
        self.address = ""


@dataclass(slots=True)
class Allocation:
    """Partition of a service's keys, with the lease owner that may modify it.

    Attributes:
        owner: name of the process that may act on the allocation for the owner lease after its last renewal.
        epoch: incremented with each change of the owner.
        renewals: incremented with each write.
        fence: highest fencing token issued so far.
        ranges: ranges that cover all keys, in order.
        lease_s: longest lease that any owner has granted to endpoints, in seconds.
    """

    owner: str = ""
    epoch: int = 0
    renewals: int = 0
    fence: int = 0
    ranges: list[Range] = field(default_factory=list)
    lease_s: float = 0.0

    def row(self) -> AllocationRow:
        """Convert to the stored form."""
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
        """Convert from the stored form; None means that there is none yet and all keys are free."""
        if row is None:
            return cls(ranges=[Range(0, KEYS - 1)])
        ranges = [Range.from_row(range_row) for range_row in row.ranges]
        return cls(row.owner, row.epoch, row.renewals, row.fence, ranges, row.lease_s)

    def encode(self) -> bytes:
        """Encode as the register's value."""
        return msgspec.msgpack.encode(self.row())

    @classmethod
    def decode(cls, value: bytes | None) -> "Allocation":
        """Decode the register's value; None or empty means that all keys are free."""
        return cls.from_row(msgspec.msgpack.decode(value, type=AllocationRow) if value else None)


class LoadDistribution:
    """Distribution of a service's load over the keys.

    It blends the counts with a uniform distribution, because small samples are noisy and keys without recent
    requests may be requested next.

    Attributes:
        cumulative: share of the load on all keys below each bucket.
    """

    def __init__(self, counts: dict[int, float] | None = None) -> None:
        """Build the distribution from request counts.

        Args:
            counts: recent requests by bucket of `BUCKET_KEYS` keys.
        """
        counts = counts or {}
        total = sum(counts.values())
        counted_share = (1 - UNIFORM_SHARE) * min(1.0, total / FULL_CONFIDENCE_REQUESTS)
        buckets = KEYS // BUCKET_KEYS
        self.cumulative = [0.0]
        for bucket in range(buckets):
            counted = counted_share * counts.get(bucket, 0.0) / total if total else 0.0
            self.cumulative.append(self.cumulative[-1] + (1 - counted_share) / buckets + counted)

    def share_below(self, key: int) -> float:
        """Share of the load on the keys below `key`."""
        bucket, rest = divmod(key, BUCKET_KEYS)
        if bucket >= len(self.cumulative) - 1:
            return self.cumulative[-1]
        return (
            self.cumulative[bucket]
            + (self.cumulative[bucket + 1] - self.cumulative[bucket]) * rest / BUCKET_KEYS
        )

    def share(self, low: int, high: int) -> float:
        """Share of the load on the keys from `low` to `high`, inclusive."""
        return self.share_below(high + 1) - self.share_below(low)

    def keys_for_share(self, low: int, share: float) -> int:
        """Number of keys, starting at `low`, that carry a share of the load."""
        end = self.share_below(low) + share
        bucket = min(max(0, bisect_right(self.cumulative, end) - 1), len(self.cumulative) - 2)
        inside = (end - self.cumulative[bucket]) / (self.cumulative[bucket + 1] - self.cumulative[bucket])
        return max(0, int((bucket + min(1.0, inside)) * BUCKET_KEYS) - low)


UNIFORM_LOAD = LoadDistribution()


def load_targets(weights: dict[str, float]) -> dict[str, float]:
    """Target share of the load of each endpoint, proportional to its weight."""
    total = sum(weights.values()) or 1.0
    return {id: weight / total for id, weight in weights.items()}


def load_by_endpoint(allocation: Allocation, ids: Iterable[str], load: LoadDistribution) -> dict[str, float]:
    """Share of the load of each endpoint, by the ranges that it holds."""
    shares = dict.fromkeys(ids, 0.0)
    for key_range in allocation.ranges:
        if key_range.holder in shares and key_range.state == RangeState.HELD:
            shares[key_range.holder] += load.share(key_range.low, key_range.high)
    return shares


def split(ranges: list[Range], index: int, size: int) -> None:
    """Split a range so that its first part has `size` keys; do nothing if a part would be empty."""
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
    """Assign free ranges to the endpoints furthest below their target shares.

    Args:
        allocation: modified in place.
        weights: weight of each endpoint that may be assigned keys.
        addresses: "ip:port" of at least these endpoints.
        load: distribution of the service's load.

    Returns:
        Whether anything changed.
    """
    if not weights:
        return False
    targets = load_targets(weights)
    load_shares = load_by_endpoint(allocation, weights, load)
    changed = False
    index = 0
    while index < len(allocation.ranges):  # a split inserts a range after this one
        key_range = allocation.ranges[index]
        if key_range.state == RangeState.FREE:
            holder = max(weights, key=lambda id: (targets[id] - load_shares[id], id))
            wanted_keys = load.keys_for_share(key_range.low, max(0.0, targets[holder] - load_shares[holder]))
            if wanted_keys >= MIN_RANGE_KEYS and key_range.size - wanted_keys >= MIN_RANGE_KEYS:
                split(allocation.ranges, index, wanted_keys)
            allocation.fence += 1
            key_range.holder = holder
            key_range.fence = allocation.fence
            key_range.state = RangeState.HELD
            key_range.address = addresses[holder]
            load_shares[holder] += load.share(key_range.low, key_range.high)
            changed = True
        index += 1
    return changed


def revoke_held_ranges(allocation: Allocation, holders: set[str]) -> list[Range]:
    """Start to revoke all held ranges of some endpoints; return these ranges."""
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
    """Start to revoke keys of an overloaded endpoint, to be assigned to underloaded ones.

    Args:
        allocation: modified in place, by one move of at most `MAX_MOVED_SHARE`.
        weights: weight of each endpoint that may be assigned keys.
        load: distribution of the service's load.
        busy: endpoints that report little spare capacity; others are not overloaded.

    Returns:
        Whether keys are being revoked.
    """
    if any(key_range.state != RangeState.HELD for key_range in allocation.ranges):
        return False  # one move at a time
    if not any(weights.values()):
        return False  # nobody is preferred to the current holders
    targets = load_targets(weights)
    if _shrink_oversized(allocation, targets):
        return True
    return _relieve_overloaded(allocation, targets, load, busy)


def _shrink_oversized(allocation: Allocation, targets: dict[str, float]) -> bool:
    """Revoke keys of an endpoint with far too many for its weight, as when keys move between regions."""
    keys = load_by_endpoint(allocation, targets, UNIFORM_LOAD)
    largest = max(targets, key=lambda id: keys[id] - OVERSIZED_FACTOR * targets[id], default=None)
    if largest is None or keys[largest] <= OVERSIZED_FACTOR * targets[largest] + OVERSIZED_MARGIN:
        return False
    surplus = max(keys[largest] - targets[largest], 0.0)
    return revoke_share(allocation, largest, min(MAX_MOVED_SHARE, surplus), UNIFORM_LOAD)


def _relieve_overloaded(
    allocation: Allocation, targets: dict[str, float], load: LoadDistribution, busy: set[str]
) -> bool:
    """Revoke keys of the endpoint furthest above its target if it is overloaded or another underloaded."""
    if not targets:
        return False
    load_shares = load_by_endpoint(allocation, targets, load)
    lowest = min(targets, key=lambda id: load_shares[id] - targets[id])
    highest = max(targets, key=lambda id: load_shares[id] - targets[id])
    underloaded = load_shares[lowest] <= UNDERLOADED_FACTOR * targets[lowest]
    overloaded = load_shares[highest] >= OVERLOADED_FACTOR * targets[highest] and highest in busy
    if not underloaded and not overloaded:
        return False
    share = min(
        targets[lowest] - load_shares[lowest], load_shares[highest] - targets[highest], MAX_MOVED_SHARE
    )
    if share <= 0 or share < MIN_MOVED_FACTOR * targets[lowest]:
        return False
    return revoke_share(allocation, highest, share, load)


def revoke_share(allocation: Allocation, holder: str, share: float, load: LoadDistribution) -> bool:
    """Revoke a share of the load from the holder's range with the most load; always True."""
    heaviest = max(
        (key_range for key_range in allocation.ranges if key_range.holder == holder),
        key=lambda key_range: load.share(key_range.low, key_range.high),
    )
    index = allocation.ranges.index(heaviest)
    range_share = load.share(heaviest.low, heaviest.high)
    head_keys = load.keys_for_share(heaviest.low, share)
    tail_keys = heaviest.size - load.keys_for_share(heaviest.low, range_share - share)
    if min(head_keys, tail_keys) < MIN_RANGE_KEYS:
        head_keys = tail_keys = max(head_keys, tail_keys)
    # Revoke the end that carries the share on fewer keys, or the whole range if too few keys would remain.
    revoked = heaviest
    if head_keys <= tail_keys and heaviest.size - head_keys >= MIN_RANGE_KEYS:
        split(allocation.ranges, index, head_keys)
    elif tail_keys < head_keys and heaviest.size - tail_keys >= MIN_RANGE_KEYS:
        split(allocation.ranges, index, heaviest.size - tail_keys)
        revoked = allocation.ranges[index + 1]
    revoked.state = RangeState.REVOKING
    return True
