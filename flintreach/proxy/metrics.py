"""Counters and histograms of one proxy, and their text in the Prometheus exposition format (0.0.4).  Pure.

Source of the format: Prometheus, "Exposition formats", text-based format.  Durations are taken in nanoseconds
and told in seconds.
"""

from bisect import bisect_left

NANOSECONDS = 1_000_000_000
BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
PREFIX = "flintreach_proxy_"

# Counters that others read.
VIOLATION = "sent after departure"  # must stay 0: a request went out when its endpoint's lease was over
SENT_FOR_NOBODY = "sent after client left"  # must stay 0: a request went out though its client had left
LATE_ABANDON = "worked on after client left"  # must stay 0: a repeatable request that was not broken off soon
CLIENT_LEFT, ABANDONED = "client left", "abandoned"  # requests without a client; tries that were broken off

# Histograms, with what each of them tells.
VIEW_AGE = "view_age_at_send_seconds"
SEND_TIME = "send_seconds"
LATE_SEND = "send_after_departure_seconds"
WORK_FOR_NOBODY = "work_after_client_left_seconds"
HELP = {
    VIEW_AGE: "age of the routing view when a request went out",
    SEND_TIME: "time from the choice of an endpoint until the kernel had taken the whole request",
    LATE_SEND: "time by which a request may have gone out after its endpoint's acknowledged departure",
    WORK_FOR_NOBODY: "time for which one try of a request was still under way after its client had left",
}


class Histogram:
    """Cumulative buckets, the sum and the greatest value of some durations."""

    __slots__ = ("counts", "total", "greatest")

    def __init__(self):
        self.counts, self.total, self.greatest = [0] * (len(BUCKETS_S) + 1), 0, 0

    def observe(self, duration: int) -> None:
        self.counts[bisect_left(BUCKETS_S, duration / NANOSECONDS)] += 1
        self.total += duration
        self.greatest = max(self.greatest, duration)

    def lines(self, name: str) -> list[str]:
        found, below = [], 0
        for bound, count in zip((*BUCKETS_S, "+Inf"), self.counts):
            below += count
            found.append(f'{name}_bucket{{le="{bound}"}} {below}')
        return [*found, f"{name}_sum {self.total / NANOSECONDS:.6f}", f"{name}_count {below}"]


class Metrics:
    """`counts`: name of an event -> how often it happened."""

    def __init__(self):
        self.counts: dict[str, int] = {}
        self.histograms = {name: Histogram() for name in HELP}

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def observe(self, name: str, duration: int) -> None:
        """Add one duration (ns) to a histogram."""
        self.histograms[name].observe(duration)

    def greatest(self) -> dict[str, float]:
        """Histogram -> its greatest value in seconds."""
        return {name: round(h.greatest / NANOSECONDS, 3) for name, h in self.histograms.items()}

    def text(self) -> str:
        """All figures in the exposition format."""
        lines = []
        for name, count in sorted(self.counts.items()):
            full = f"{PREFIX}{name.replace(' ', '_')}_total"
            lines += [f"# TYPE {full} counter", f"{full} {count}"]
        for name, histogram in self.histograms.items():
            full = PREFIX + name
            lines += [f"# HELP {full} {HELP[name]}", f"# TYPE {full} histogram", *histogram.lines(full)]
            lines += [f"# TYPE {full}_max gauge", f"{full}_max {histogram.greatest / NANOSECONDS:.6f}"]
        return "\n".join([*lines, ""])
