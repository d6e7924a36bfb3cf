"""Which endpoint owns which keys of a sharded service, as this proxy was told.  Pure."""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

# State of a range whose owner has its lease, as the updates spell it (`flintreach.sharding`).
OWNED = "held"


class RangeRow(NamedTuple):
    """One range of keys, both bounds included, in the order of the update's fields."""

    low: int
    high: int
    owner: str
    state: str


class KeyRanges:
    """The ranges of one service that have an owner, looked up by key.

    Args:
        rows: all ranges of the service, as an update lists them.
    """

    __slots__ = ("lows", "ranges")

    def __init__(self, rows: Iterable[Iterable]) -> None:
        ranges = [RangeRow(*row) for row in rows]
        self.ranges = sorted(range_row for range_row in ranges if range_row.state == OWNED)
        self.lows = [range_row.low for range_row in self.ranges]

    def owner(self, key: int) -> str | None:
        """Id of the endpoint that owns a key; None where the key is between two owners."""
        index = bisect_right(self.lows, key) - 1
        if index < 0 or key > self.ranges[index].high:
            return None
        return self.ranges[index].owner
