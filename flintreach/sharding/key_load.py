"""Where the load of sharded services lies, from the sums that proxies report up the tree.

The one controller that gets the sums takes them in each second, and now and then sends what it made of them
to the other controllers, as any of them may own the leases of a service.  No input or output here.
"""

from typing import Any

from flintreach.sharding.range_assignment import LoadDistribution

COUNT_DECAY = 0.9  # what is left of a count after a second
MIN_COUNT = 0.05  # below which a count is dropped
BUSY_UTILIZATION = 0.6  # part of an endpoint's capacity in use from which it is busy
SEND_EVERY_TURNS = 2  # turns of a second between updates for other controllers
SMOOTHING = 0.3  # weight of the last second in a smoothed figure

# Keys of the reports, and of the updates between controllers, as earlier releases have them.
KEYS_FIELD = "keys"
BYTES_FIELD = "bytes"
LOAD_FIELD = "load"
UTILIZATION_FIELD = "full"


class KeyLoad:
    """Load by key bucket, by endpoint and by service.

    Attributes:
        keys: service -> bucket of keys -> requests of late, fading.
        utilization: endpoint -> its reported load over its capacity, smoothed.
        bytes: service -> bytes of answers a second, smoothed.
        distributions: service -> its load distribution, built when it is asked for.
        turns: how many seconds were taken in.
    """

    def __init__(self) -> None:
        """Start without any load."""
        self.keys: dict[str, dict[int, float]] = {}
        self.utilization: dict[str, float] = {}
        self.bytes: dict[str, float] = {}
        self.distributions: dict[str, LoadDistribution] = {}
        self.turns = 0

    def add_second(self, sums: dict[str, Any] | None) -> dict[str, Any] | None:
        """Take in the sums of a second.

        Args:
            sums: "keys": service -> bucket -> requests; "bytes": service -> bytes of answers; "load":
                endpoint -> (sum of its reported utilizations, how many reports).  None: nothing was reported.

        Returns:
            What the other controllers are to be sent; None in most turns.
        """
        self.distributions = {}
        self.fade()
        if sums:
            self.add_counts(sums[KEYS_FIELD])
            self.smooth_bytes(sums[BYTES_FIELD])
            self.smooth_utilization(sums[LOAD_FIELD])
        self.turns += 1
        if self.turns % SEND_EVERY_TURNS or not self.keys:
            return None
        return self.summary()

    def fade(self) -> None:
        """Let all counts of requests age by a second."""
        for counts in self.keys.values():
            for bucket in [*counts]:
                counts[bucket] *= COUNT_DECAY
                if counts[bucket] < MIN_COUNT:
                    del counts[bucket]

    def add_counts(self, by_service: dict[str, dict[int, float]]) -> None:
        """Add requests by service and bucket."""
        for service, added in by_service.items():
            counts = self.keys.setdefault(service, {})
            for bucket, count in added.items():
                counts[bucket] = counts.get(bucket, 0.0) + count

    def smooth_bytes(self, by_service: dict[str, float]) -> None:
        """Take in bytes of answers by service."""
        for service, size in by_service.items():
            self.bytes[service] = (1 - SMOOTHING) * self.bytes.get(service, size) + SMOOTHING * size

    def smooth_utilization(self, by_endpoint: dict[str, tuple[float, float]]) -> None:
        """Take in reported utilizations; an endpoint that was not reported is dropped."""
        means = {id: total / count for id, (total, count) in by_endpoint.items()}
        self.utilization = {
            id: (1 - SMOOTHING) * self.utilization.get(id, mean) + SMOOTHING * mean
            for id, mean in means.items()
        }

    def summary(self) -> dict[str, Any]:
        """What other controllers are sent, rounded."""
        return {
            KEYS_FIELD: {
                service: {bucket: round(count, 1) for bucket, count in counts.items()}
                for service, counts in self.keys.items()
            },
            UTILIZATION_FIELD: {id: round(part, 2) for id, part in self.utilization.items()},
            BYTES_FIELD: {service: int(size) for service, size in self.bytes.items()},
        }

    def replace(self, summary: dict[str, Any]) -> None:
        """Take over what the controller that gets the sums sent of them."""
        self.keys = summary[KEYS_FIELD]
        self.utilization = summary[UTILIZATION_FIELD]
        self.bytes = summary[BYTES_FIELD]
        self.distributions = {}

    def load_of(self, service: str) -> tuple[LoadDistribution, set[str]]:
        """Where a service's load lies, and the ids of all endpoints that are busy."""
        if service not in self.distributions:
            self.distributions[service] = LoadDistribution(self.keys.get(service))
        busy = {id for id, part in self.utilization.items() if part >= BUSY_UTILIZATION}
        return self.distributions[service], busy

    def capacity_in_use(self, capacities: dict[str, float]) -> float | None:
        """Capacity in use at some endpoints, those that reported nothing at the mean of the others.

        Args:
            capacities: endpoint -> its capacity.

        Returns:
            The sum; None where none of them reported its load.
        """
        reported = [
            self.utilization[id] * capacity for id, capacity in capacities.items() if id in self.utilization
        ]
        if not reported:
            return None
        return sum(reported) * len(capacities) / len(reported)
