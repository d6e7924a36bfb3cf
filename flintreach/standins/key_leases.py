"""Leases on key ranges, as the stand-in endpoint keeps them."""

from typing import NamedTuple


class KeyLease(NamedTuple):
    """A lease on a range of keys.

    Attributes:
        low: first key.
        high: last key.
        fence: fencing token with which the lease was granted.
        until: time of expiry, seconds of the monotonic clock.
    """

    low: int
    high: int
    fence: int
    until: float


class SeenFence(NamedTuple):
    """The fencing token of the last lease that was granted on exactly this range."""

    low: int
    high: int
    fence: int


class KeyLeases:
    """The leases that one endpoint holds, and the fencing tokens that it has seen.

    Attributes:
        leases: the leases, including expired ones that were not replaced.
        seen: the fencing token of each range; it outlasts the lease, so that a former owner stays excluded.
    """

    def __init__(self) -> None:
        self.leases: list[KeyLease] = []
        self.seen: list[SeenFence] = []

    def grant(self, low: int, high: int, fence: int, lease_s: float, now: float) -> bool:
        """Grant a lease on a range, in place of earlier leases on its keys.

        Args:
            low: first key.
            high: last key.
            fence: fencing token of the owner of the range.
            lease_s: duration, seconds.
            now: present time, seconds of the monotonic clock.

        Returns:
            Whether it was granted; it is refused if a higher token was seen on any of the keys.
        """
        if any(seen.low <= high and low <= seen.high and seen.fence > fence for seen in self.seen):
            return False
        self.seen = [seen for seen in self.seen if (seen.low, seen.high) != (low, high)]
        self.seen.append(SeenFence(low, high, fence))
        self.release(low, high)
        self.leases.append(KeyLease(low, high, fence, now + lease_s))
        return True

    def release(self, low: int, high: int) -> None:
        """Release the keys from `low` to `high`; a lease keeps its keys outside of that range."""
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
        """Whether a lease on the key is in force at `now`, seconds of the monotonic clock."""
        return any(lease.low <= key <= lease.high and now < lease.until for lease in self.leases)
