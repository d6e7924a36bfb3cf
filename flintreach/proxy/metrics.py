"""Counters and histograms of one proxy, and their text in the Prometheus exposition format (0.0.4).  Pure.

The names stay: operators' dashboards and alerts hold on to them.  Durations are taken in nanoseconds and
exposed in seconds.

Source of the format: Prometheus, "Exposition formats", text-based format.
"""

from bisect import bisect_left

NS_PER_S = 1_000_000_000

# Upper bounds of the histograms' buckets.
BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)

PREFIX = "flintreach_proxy_"

# Counters.  The kinds of outcomes (`outcome.OutcomeKind`) are counters too.

# Must stay 0: a request went out when its endpoint's lease was over.
SENT_AFTER_DEPARTURE = "sent after departure"
# Must stay 0: a request went out though its client had left.
SENT_AFTER_DISCONNECT = "sent after client left"
# Must stay 0: an idempotent request was not cancelled soon after its client had left.
LATE_CANCELLATION = "worked on after client left"
# Requests whose client left before the answer.
CLIENT_DISCONNECTED = "client left"
# Attempts that were cancelled.
CANCELLED_ATTEMPTS = "abandoned"
# Requests that no route matches.
NO_ROUTE = "no_route"
# Large answers that did not get their turn on the link in time.
LINK_ADMISSION_TIMEOUT = "no turn"
# Requests for which there was no endpoint (any more).
NO_ENDPOINT = "nowhere"
# Requests that were not retried because the budget was used up.
BUDGET_EXHAUSTED = "budget"
# Retries.
RETRIES = "again"
# Hedged requests.
HEDGED_REQUESTS = "beside"
# Health checks that were sent because a lease was over.
HEALTH_CHECKS = "asked for presence"
# Attempts that were not sent because the endpoint's lease was over and no health check renewed it.
LEASE_NOT_RENEWED = "unconfirmed"
# Attempts whose bytes were taken back, since they would have arrived too late.
RECALLED = "recalled"
# Attempts that found the endpoint with all the connections that it takes.
AT_CONNECTION_LIMIT = "full"

# Histograms, with what each of them tells.
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
    """Counts by bucket, the sum and the greatest value of some durations."""

    __slots__ = ("counts", "total_ns", "max_ns")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_S) + 1)
        self.total_ns = 0
        self.max_ns = 0

    def observe(self, duration_ns: int) -> None:
        """Add one duration."""
        self.counts[bisect_left(BUCKETS_S, duration_ns / NS_PER_S)] += 1
        self.total_ns += duration_ns
        self.max_ns = max(self.max_ns, duration_ns)

    def lines(self, name: str) -> list[str]:
        """Its samples in the exposition format, where buckets are cumulative."""
        lines = []
        cumulative = 0
        for bound, count in zip((*BUCKETS_S, "+Inf"), self.counts):
            cumulative += count
            lines.append(f'{name}_bucket{{le="{bound}"}} {cumulative}')
        lines.append(f"{name}_sum {self.total_ns / NS_PER_S:.6f}")
        lines.append(f"{name}_count {cumulative}")
        return lines


class Metrics:
    """All figures of one proxy.

    Attributes:
        counts: name of a counter -> how often it was counted.
        histograms: name -> histogram.
    """

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.histograms = {name: Histogram() for name in HELP}

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def observe(self, name: str, duration_ns: int) -> None:
        """Add one duration to a histogram."""
        self.histograms[name].observe(duration_ns)

    def max_values(self) -> dict[str, float]:
        """Name of each histogram -> its greatest value in seconds."""
        return {name: round(histogram.max_ns / NS_PER_S, 3) for name, histogram in self.histograms.items()}

    def text(self) -> str:
        """All figures in the exposition format."""
        lines = []
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
