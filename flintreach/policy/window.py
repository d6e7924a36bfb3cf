"""Sums over a sliding window of time.  They decide nothing."""

from flintreach.pilot.interface import SECOND


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
