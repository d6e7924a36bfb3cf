"""Key ranges of a sharded service and their owners, looked up by key.  Pure."""

from bisect import bisect_right
from collections.abc import Iterable
from typing import NamedTuple

# State of a range whose owner has a lease on it, as encoded in updates (`flintreach.sharding`).
OWNED = "held"


class RangeRow(NamedTuple):
    """A range of keys, both bounds inclusive; the fields are in the order of the update's array."""

    low: int
    high: int
    owner: str
    state: str


class KeyRanges:
    """The ranges of one service that currently have an owner.

    Args:
        rows: all ranges of the service, as listed in an update.
    """

    __slots__ = ("lows", "ranges")

    def __init__(self, rows: Iterable[Iterable]) -> None:
        ranges = [RangeRow(*row) for row in rows]
        self.ranges = sorted(range_row for range_row in ranges if range_row.state == OWNED)
        self.lows = [range_row.low for range_row in self.ranges]

    def owner(self, key: int) -> str | None:
        """Returns the id of the endpoint that owns a key, or None while ownership is moving."""
        index = bisect_right(self.lows, key) - 1
        if index < 0 or key > self.ranges[index].high:
            return None
        return self.ranges[index].owner
