"""Counters and histograms of one proxy, in the Prometheus text exposition format (0.0.4).  Performs no I/O.

Metric names must not change, since operators' dashboards and alerts depend on them.  Durations are recorded
in nanoseconds and exposed in seconds.

Source of the format: Prometheus, "Exposition formats", text-based format.
"""

from bisect import bisect_left
from collections.abc import Mapping

NS_PER_S = 1_000_000_000

# Upper bounds of the histogram buckets.
BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)

PREFIX = "flintreach_proxy_"

# Counters.  The values of `outcome.OutcomeKind` are counters as well.

# Must stay 0: requests sent after the lease on their endpoint had expired.
SENT_AFTER_DEPARTURE = "sent after departure"
# Must stay 0: requests sent although their client had already disconnected.
SENT_AFTER_DISCONNECT = "sent after client left"
# Must stay 0: idempotent requests not cancelled in time after their client disconnected.
LATE_CANCELLATION = "worked on after client left"
# Requests whose client disconnected before the response.
CLIENT_DISCONNECTED = "client left"
# Requests that the proxy answered itself at the end of its drain, as they had no response yet.
DRAIN_TIMEOUTS = "drain timeout"
# Cancelled attempts.
CANCELLED_ATTEMPTS = "abandoned"
# Requests without a matching route.
NO_ROUTE = "no_route"
# Large responses that were not admitted to the link in time.
LINK_ADMISSION_TIMEOUT = "no turn"
# Requests without an endpoint to try, or without a further one.
NO_ENDPOINT = "nowhere"
# Requests rejected because the memory for requests in progress was taken.
NO_MEMORY = "no memory"
# Requests not retried because the retry budget was exhausted.
BUDGET_EXHAUSTED = "budget"
# Retries after a failed attempt.
RETRIES = "again"
# Hedged requests sent.
HEDGED_REQUESTS = "beside"
# Health checks sent because a lease had expired.
HEALTH_CHECKS = "asked for presence"
# Attempts not sent because the endpoint's lease had expired and no health check renewed it.
LEASE_NOT_RENEWED = "unconfirmed"
# Attempts whose connection was reset because their bytes would have arrived too late.
RECALLED = "recalled"
# Attempts rejected because the endpoint had reached its connection limit.
AT_CONNECTION_LIMIT = "full"

# Updates of endpoints that were skipped, as their address can't be used.
UNUSABLE_ADDRESS = "unusable address"

# Gauges, with their help texts.
RESIDENT_MEMORY = "resident_memory_bytes"
MEMORY_LIMIT = "memory_limit_bytes"
OPEN_DESCRIPTORS = "open_descriptors"
DESCRIPTOR_LIMIT = "descriptor_limit"
CLIENT_CONNECTIONS = "client_connections"
MESSAGE_MEMORY = "message_memory_bytes"
UNHANDLED_ERRORS = "unhandled_errors"
GAUGE_HELP = {
    RESIDENT_MEMORY: "resident memory of the process",
    MEMORY_LIMIT: "memory_mb of the settings",
    OPEN_DESCRIPTORS: "open descriptors of the process",
    DESCRIPTOR_LIMIT: "file_handles of the settings",
    MESSAGE_MEMORY: "memory reserved for requests and responses in progress",
    CLIENT_CONNECTIONS: "open connections of clients",
    UNHANDLED_ERRORS: "exceptions since the start that nothing handled",
}

NO_GAUGES: Mapping[str, float] = {}

# Histograms, with their help texts.
VIEW_AGE = "view_age_at_send_seconds"
SEND_TIME = "send_seconds"
LATE_SEND = "send_after_departure_seconds"
WORK_AFTER_DISCONNECT = "work_after_client_left_seconds"
HELP = {
    VIEW_AGE: "age of the routing view when a request went out",
    SEND_TIME: "time from the choice of an endpoint until the kernel had taken the whole request",
    LATE_SEND: "time by which a request may have gone out after its endpoint's acknowledged departure",
    WORK_AFTER_DISCONNECT: (
        "time for which one try of a request was still under way after its client had left"
    ),
}


class Histogram:
    """Bucket counts, sum and maximum of durations."""

    __slots__ = ("counts", "total_ns", "max_ns")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_ns = 0
        self.max_ns = 0

    def observe(self, duration_ns: int) -> None:
        """Adds one duration."""
        self.counts[bisect_left(BUCKETS_S, duration_ns / NS_PER_S)] += 1
        self.total_ns += duration_ns
        self.max_ns = max(self.max_ns, duration_ns)

    def lines(self, name: str) -> list[str]:
        """Returns the samples in the exposition format, with cumulative buckets."""
        lines = []
        cumulative = 0
        for bound, count in zip((*BUCKETS_S, "+Inf"), self.counts):
            cumulative += count
            lines.append(f'{name}_bucket{{le="{bound}"}} {cumulative}')
        lines.append(f"{name}_sum {self.total_ns / NS_PER_S:.6f}")
        lines.append(f"{name}_count {cumulative}")
        return lines


class Metrics:
    """All metrics of one proxy.

    Attributes:
        counts: name of a counter -> its value.
        histograms: name -> histogram.
    """

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.histograms = {name: Histogram() for name in HELP}

    def count(self, name: str) -> None:
        """Increments a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def observe(self, name: str, duration_ns: int) -> None:
        """Adds one duration to a histogram."""
        self.histograms[name].observe(duration_ns)

    def max_values(self) -> dict[str, float]:
        """Returns the maximum of each histogram in seconds, by name."""
        return {name: round(histogram.max_ns / NS_PER_S, 3) for name, histogram in self.histograms.items()}

    def text(self, gauges: Mapping[str, float] = NO_GAUGES) -> str:
        """Returns all metrics in the exposition format.

        Args:
            gauges: current values, by name in `GAUGE_HELP`.
        """
        lines = []
        for name, value in gauges.items():
            metric = PREFIX + name
            lines += [
                f"# HELP {metric} {GAUGE_HELP[name]}",
                f"# TYPE {metric} gauge",
                f"{metric} {value:.0f}",
            ]
        for name, count in sorted(self.counts.items()):
            metric = f"{PREFIX}{name.replace(' ', '_')}_total"
            lines += [f"# TYPE {metric} counter", f"{metric} {count}"]
        for name, histogram in self.histograms.items():
            metric = PREFIX + name
            lines += [f"# HELP {metric} {HELP[name]}", f"# TYPE {metric} histogram"]
            lines += histogram.lines(metric)
            max_s = histogram.max_ns / NS_PER_S
            lines += [f"# TYPE {metric}_max gauge", f"{metric}_max {max_s:.6f}"]
        return "\n".join([*lines, ""])
