"""Load of sharded services by key, from the sums that proxies report up the aggregation tree.

One controller receives the sums. It adds them every second, and regularly sends a summary to the other
controllers, because any of them may own the leases of a service. This module does no I/O.
"""

from typing import Any

from flintreach.sharding.range_assignment import LoadDistribution

COUNT_DECAY = 0.9  # per second
MIN_COUNT = 0.05  # smaller counts are dropped
BUSY_UTILIZATION = 0.6  # of its capacity; an endpoint with at least this is busy
PUBLISH_INTERVAL_SECONDS = 2  # between summaries for the other controllers
SMOOTHING = 0.3  # weight of the last second in a moving average

# Keys of the reports and of the summaries between controllers, as in earlier releases.
KEYS_FIELD = "keys"
BYTES_FIELD = "bytes"
LOAD_FIELD = "load"
UTILIZATION_FIELD = "full"


class KeyLoad:
    """Load by key bucket, by endpoint and by service.

    Attributes:
        keys: exponentially decayed request counts by service and key bucket.
        utilization: smoothed ratio of reported load to capacity by endpoint.
        bytes: smoothed response bytes per second by service.
        distributions: cached load distributions by service.
        seconds: number of seconds added.
    """

    def __init__(self) -> None:
        """Start without load."""
        self.keys: dict[str, dict[int, float]] = {}
        self.utilization: dict[str, float] = {}
        self.bytes: dict[str, float] = {}
        self.distributions: dict[str, LoadDistribution] = {}
        self.seconds = 0

    def add_second(self, sums: dict[str, Any] | None) -> dict[str, Any] | None:
        """Add the sums of one second.

        Args:
            sums: "keys": requests by service and bucket; "bytes": response bytes by service; "load": sum and
                number of the reported utilizations by endpoint. None if nothing was reported.

        Returns:
            Summary to send to the other controllers, or None if none is due.
        """
        self.distributions = {}
        self.decay_counts()
        if sums:
            self.add_counts(sums[KEYS_FIELD])
            self.smooth_bytes(sums[BYTES_FIELD])
            self.smooth_utilization(sums[LOAD_FIELD])
        self.seconds += 1
        if self.seconds % PUBLISH_INTERVAL_SECONDS or not self.keys:
            return None
        return self.summary()

    def decay_counts(self) -> None:
        """Decay all request counts by one second."""
        for counts in self.keys.values():
            for bucket in [*counts]:
                counts[bucket] *= COUNT_DECAY
                if counts[bucket] < MIN_COUNT:
                    del counts[bucket]

    def add_counts(self, by_service: dict[str, dict[int, float]]) -> None:
        """Add request counts by service and bucket."""
        for service, added in by_service.items():
            counts = self.keys.setdefault(service, {})
            for bucket, count in added.items():
                counts[bucket] = counts.get(bucket, 0.0) + count

    def smooth_bytes(self, by_service: dict[str, float]) -> None:
        """Update the moving averages of response bytes."""
        for service, size in by_service.items():
            self.bytes[service] = (1 - SMOOTHING) * self.bytes.get(service, size) + SMOOTHING * size

    def smooth_utilization(self, by_endpoint: dict[str, tuple[float, float]]) -> None:
        """Update the moving averages of utilization, and drop endpoints without a report."""
        means = {id: total / count for id, (total, count) in by_endpoint.items()}
        self.utilization = {
            id: (1 - SMOOTHING) * self.utilization.get(id, mean) + SMOOTHING * mean
            for id, mean in means.items()
        }

    def summary(self) -> dict[str, Any]:
        """Summary for the other controllers, with rounded values."""
        return {
            KEYS_FIELD: {
                service: {bucket: round(count, 1) for bucket, count in counts.items()}
                for service, counts in self.keys.items()
            },
            UTILIZATION_FIELD: {id: round(utilization, 2) for id, utilization in self.utilization.items()},
            BYTES_FIELD: {service: int(size) for service, size in self.bytes.items()},
        }

    def replace(self, summary: dict[str, Any]) -> None:
        """Replace all values by a summary from the controller that receives the sums."""
        self.keys = summary[KEYS_FIELD]
        self.utilization = summary[UTILIZATION_FIELD]
        self.bytes = summary[BYTES_FIELD]
        self.distributions = {}

    def load_of(self, service: str) -> tuple[LoadDistribution, set[str]]:
        """Load distribution of a service, and the ids of all busy endpoints."""
        if service not in self.distributions:
            self.distributions[service] = LoadDistribution(self.keys.get(service))
        busy = {id for id, utilization in self.utilization.items() if utilization >= BUSY_UTILIZATION}
        return self.distributions[service], busy

    def capacity_in_use(self, capacities: dict[str, float]) -> float | None:
        """Total capacity in use at some endpoints; those without a report are assumed to have the mean load.

        Args:
            capacities: capacity by endpoint.

        Returns:
            The total, or None if none of the endpoints reported its load.
        """
        reported = [
            self.utilization[id] * capacity for id, capacity in capacities.items() if id in self.utilization
        ]
        if not reported:
            return None
        return sum(reported) * len(capacities) / len(reported)
