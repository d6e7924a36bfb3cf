"""Aggregation of load reports on their way from the proxies to the controllers.  Pure: no I/O.

Proxies count requests, keys and response bytes, and record the load that endpoints report.  Each proxy
periodically sends its aggregate to its parent, which adds it to its own.  Each connection therefore carries
only one report per period.  The controllers use the sums for placement.
"""

from typing import Any

# Keys of a report's body on the wire; fixed for compatibility with earlier releases.
REQUESTS_FIELD = "came"
KEYS_FIELD = "keys"
BYTES_FIELD = "bytes"
LOAD_FIELD = "load"


class LoadAggregate:
    """Sums of load figures since the last report.

    Attributes:
        requests: number of requests by slice.
        key_requests: number of requests by key bucket, by sharded service.
        response_bytes: bytes of responses by sharded service.
        endpoint_load: by endpoint, the sum of its reported loads, each divided by the endpoint's concurrency
            limit, and the number of reports.
    """

    def __init__(self) -> None:
        """Create an empty aggregate."""
        self._clear()

    def _clear(self) -> None:
        self.requests: dict[str, int] = {}
        self.key_requests: dict[str, dict[int, int]] = {}
        self.response_bytes: dict[str, int] = {}
        self.endpoint_load: dict[str, list[float]] = {}

    def count_request(self, slice_name: str, count: int = 1) -> None:
        """Add requests to the count of a slice."""
        self.requests[slice_name] = self.requests.get(slice_name, 0) + count

    def count_key_request(self, service: str, bucket: int, count: int = 1) -> None:
        """Add requests to the count of a key bucket of a sharded service."""
        buckets = self.key_requests.setdefault(service, {})
        buckets[bucket] = buckets.get(bucket, 0) + count

    def count_response_bytes(self, service: str, size: int) -> None:
        """Add the size of a response to the count of a sharded service."""
        self.response_bytes[service] = self.response_bytes.get(service, 0) + size

    def add_endpoint_load(self, endpoint_id: str, load: float, count: int = 1) -> None:
        """Add loads reported by an endpoint.

        Args:
            endpoint_id: ID of the endpoint.
            load: running and waiting requests divided by the endpoint's concurrency limit; the sum for
                several reports.
            count: number of reports.
        """
        load_and_count = self.endpoint_load.setdefault(endpoint_id, [0.0, 0])
        load_and_count[0] += load
        load_and_count[1] += count

    def add_report(self, body: dict[str, Any]) -> None:
        """Add the report of a child, as returned by its `flush`.

        Raises:
            KeyError, TypeError, ValueError, AttributeError: the report is malformed.
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
        """Return the sums since the last call as the body of a report, and reset them.

        Returns:
            None if neither requests nor endpoint loads were recorded.
        """
        if not self.requests and not self.endpoint_load:
            return None
        rounded_load = {
            endpoint_id: [round(load, 2), count] for endpoint_id, (load, count) in self.endpoint_load.items()
        }
        body = {
            REQUESTS_FIELD: self.requests,
            KEYS_FIELD: self.key_requests,
            BYTES_FIELD: self.response_bytes,
            LOAD_FIELD: rounded_load,
        }
        self._clear()
        return body
