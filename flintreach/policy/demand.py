"""Demand of slices: sums over a sliding window, and the number of replicas that a demand calls for.  Pure."""

from flintreach.pilot.interface import SECOND

REPLICA_DEMAND = 0.7  # of a mean server's demand: above it, per replica, a slice gets one more
SURPLUS_RUNS = 3  # full runs with a replica too many before one is given up


class SlidingSums:
    """Sums of several columns over the last seconds, in buckets of one second that are used again."""

    def __init__(self, seconds: int, columns: int) -> None:
        """Make an empty window.

        Args:
            seconds: buckets, and so the longest window that `total` can give.
            columns: values that each `add` brings.
        """
        self._bucket_seconds = [-1] * seconds  # the second that each bucket now holds
        self._sums: list[list[float]] = [[0] * columns for _ in range(seconds)]

    def add(self, now_ns: int, span_ns: int, *values: float) -> None:
        """Add values, spread evenly over the time that they cover: what covers seconds is no burst.

        Args:
            now_ns: end of that time, in nanoseconds.
            span_ns: its length, in nanoseconds; less than a second counts as one.
            values: one a column.
        """
        size = len(self._bucket_seconds)
        last_second = now_ns // SECOND
        seconds = min(max(1, round(span_ns / SECOND)), size)
        for second in range(last_second - seconds + 1, last_second + 1):
            bucket = second % size
            if self._bucket_seconds[bucket] == second:
                previous = self._sums[bucket]
            else:
                previous = [0] * len(values)
            self._bucket_seconds[bucket] = second
            self._sums[bucket] = [total + value / seconds for total, value in zip(previous, values)]

    def total(self, now_ns: int, seconds: int) -> list[float]:
        """Sum each column over the `seconds` that end with that of `now_ns`."""
        last_second = now_ns // SECOND
        recent = [
            sums
            for second, sums in zip(self._bucket_seconds, self._sums)
            if 0 <= last_second - second < seconds
        ]
        return [sum(column) for column in zip([0] * len(self._sums[0]), *recent)]


def replica_count(
    replicas: int, surplus_runs: int, demand: float, most: int, full_run: bool
) -> tuple[int, int]:
    """Apply the replica rule: more at once, one fewer only after several runs with too many.

    Args:
        replicas: how many the slice has.
        surplus_runs: runs in a row that found one too many, as the last call returned it.
        demand: of the whole slice, in mean servers.
        most: permitted replicas.
        full_run: whether this run counts for `surplus_runs`.

    Returns:
        The number of replicas to have, and the new `surplus_runs`.
    """
    while replicas < most and demand / replicas > REPLICA_DEMAND:
        replicas += 1
    if replicas > 1 and demand / (replicas - 1) < REPLICA_DEMAND / 2:
        surplus_runs += full_run
    else:
        surplus_runs = 0
    if surplus_runs >= SURPLUS_RUNS:
        return replicas - 1, 0
    return replicas, surplus_runs
