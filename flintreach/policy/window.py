"""Sums over a sliding time window."""

from flintreach.pilot.interface import SECOND


class SlidingSums:
    """Sums of several columns over the last seconds, in a ring of one-second buckets."""

    def __init__(self, seconds: int, columns: int) -> None:
        """Create an empty window.

        Args:
            seconds: number of buckets, and so the longest window for `total`.
            columns: number of values per `add`.
        """
        self._bucket_seconds = [-1] * seconds  # the second that each bucket holds now
        self._sums: list[list[float]] = [[0] * columns for _ in range(seconds)]

    def add(self, now_ns: int, span_ns: int, *values: float) -> None:
        """Add values, spread evenly over the span that they cover, so that they do not look like a burst.

        Args:
            now_ns: end of the span, in nanoseconds.
            span_ns: length of the span, in nanoseconds; less than a second counts as one second.
            values: one per column.
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
        """Sum each column over the last `seconds` up to and including that of `now_ns`."""
        last_second = now_ns // SECOND
        recent = [
            sums
            for second, sums in zip(self._bucket_seconds, self._sums)
            if 0 <= last_second - second < seconds
        ]
        return [sum(column) for column in zip([0] * len(self._sums[0]), *recent)]
