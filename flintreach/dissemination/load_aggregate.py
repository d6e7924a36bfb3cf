"""Load figures that proxies report upward, summed up at each relay.  Pure: no I/O.

Proxies count requests, keys and bytes as they serve, and note the load that endpoints report.  Each sends its
aggregate to its parent every so often; a relay adds it to its own, so one report a link reaches the
controllers, which place by it.
"""

from typing import Any

# Keys of a report's body on the wire, as earlier releases wrote them.
REQUESTS_FIELD = "came"
KEYS_FIELD = "keys"
BYTES_FIELD = "bytes"
LOAD_FIELD = "load"


class LoadAggregate:
    """Sums of load figures since the last report.

    Attributes:
        requests: number of requests by slice.
        key_requests: number of requests by bucket of keys, by sharded service.
        answer_bytes: bytes of answers by sharded service.
        endpoint_load: by endpoint the sum of its reported loads, each divided by the endpoint's concurrency
            limit, and the number of reports.
    """

    def __init__(self) -> None:
        """Begin with nothing counted."""
        self._clear()

    def _clear(self) -> None:
        self.requests: dict[str, int] = {}
        self.key_requests: dict[str, dict[int, int]] = {}
        self.answer_bytes: dict[str, int] = {}
        self.endpoint_load: dict[str, list[float]] = {}

    def count_request(self, slice_name: str, count: int = 1) -> None:
        """Count requests to a slice."""
        self.requests[slice_name] = self.requests.get(slice_name, 0) + count

    def count_key_request(self, service: str, bucket: int, count: int = 1) -> None:
        """Count requests for keys of one bucket of a sharded service."""
        buckets = self.key_requests.setdefault(service, {})
        buckets[bucket] = buckets.get(bucket, 0) + count

    def count_response_bytes(self, service: str, size: int) -> None:
        """Count the bytes of an answer of a sharded service."""
        self.answer_bytes[service] = self.answer_bytes.get(service, 0) + size

    def add_endpoint_load(self, endpoint_id: str, load: float, count: int = 1) -> None:
        """Add loads that an endpoint reported.

        Args:
            endpoint_id: which endpoint.
            load: requests running and waiting over the endpoint's concurrency limit; of several reports, the
                sum.
            count: how many reports.
        """
        load_and_count = self.endpoint_load.setdefault(endpoint_id, [0.0, 0])
        load_and_count[0] += load
        load_and_count[1] += count

    def add_report(self, body: dict[str, Any]) -> None:
        """Add the report of a child, as `flush` gave it there.

        Raises:
            KeyError, TypeError, ValueError, AttributeError: the body doesn't have the shape of a report.
        """
        for slice_name, count in body[REQUESTS_FIELD].items():
            self.count_request(slice_name, count)
        for service, buckets in body[KEYS_FIELD].items():
            for bucket, count in buckets.items():
                self.count_key_request(service, bucket, count)
        for service, size in body[BYTES_FIELD].items():
            self.count_response_bytes(service, size)
        for endpoint_id, (load, count) in body[LOAD_FIELD].items():
            self.add_endpoint_load(endpoint_id, load, count)

    def flush(self) -> dict[str, Any] | None:
        """Give the sums since the last call as the body of a report, and begin anew; None where all is 0."""
        if not self.requests and not self.endpoint_load:
            return None
        rounded_load = {
            endpoint_id: [round(load, 2), count] for endpoint_id, (load, count) in self.endpoint_load.items()
        }
        body = {
            REQUESTS_FIELD: self.requests,
            KEYS_FIELD: self.key_requests,
            BYTES_FIELD: self.answer_bytes,
            LOAD_FIELD: rounded_load,
        }
        self._clear()
        return body
