"""Leases on ranges of keys, as a stand-in endpoint keeps them."""

from typing import NamedTuple


class KeyLease(NamedTuple):
    """A lease on the keys from `low` to `high`, both included; `until` in steady seconds."""

    low: int
    high: int
    fence: int
    until: float


class SeenFence(NamedTuple):
    """The highest fencing token that was seen on a range."""

    low: int
    high: int
    fence: int


class KeyLeases:
    """The leases of one endpoint, and the fencing tokens that it has seen."""

    def __init__(self) -> None:
        self.leases: list[KeyLease] = []
        self.seen: list[SeenFence] = []

    def grant(self, low: int, high: int, fence: int, lease_s: float, now: float) -> bool:
        """Take a lease on a range.

        Args:
            low: first key.
            high: last key.
            fence: fencing token of the owner of the range.
            lease_s: how long it lasts, seconds.
            now: steady seconds.

        Returns:
            False, and no lease, where a higher token was seen on any of the keys.
        """
        if any(seen.low <= high and low <= seen.high and seen.fence > fence for seen in self.seen):
            return False
        self.seen = [seen for seen in self.seen if (seen.low, seen.high) != (low, high)]
        self.seen.append(SeenFence(low, high, fence))
        self.release(low, high)
        self.leases.append(KeyLease(low, high, fence, now + lease_s))
        return True

    def release(self, low: int, high: int) -> None:
        """Give up the keys from `low` to `high`; what a lease has beside them stays."""
        kept = []
        for lease in self.leases:
            if lease.low > high or lease.high < low:
                kept.append(lease)
                continue
            if lease.low < low:
                kept.append(lease._replace(high=low - 1))
            if lease.high > high:
                kept.append(lease._replace(low=high + 1))
        self.leases = kept

    def covers(self, key: int, now: float) -> bool:
        """Whether a lease on the key is in force at `now`, steady seconds."""
        return any(lease.low <= key <= lease.high and now < lease.until for lease in self.leases)
