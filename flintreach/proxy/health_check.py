"""Health checks, which renew the leases of endpoints that no update has confirmed in time.

An endpoint that is leaving announces it in its responses (`Connection: close`), and answers its health check
with 200 only while it is not leaving (see the users' page on endpoints).  Normal traffic therefore renews
leases while the control plane is unreachable; an endpoint without recent traffic is checked once before it is
used.

Times are nanoseconds of this process's monotonic clock, unless a name ends in `_s`.
"""

import time

import gevent
from gevent.event import Event

from flintreach.common.memory_budget import MemoryBudget
from flintreach.proxy.endpoint import EndpointView
from flintreach.proxy.exchange import NS_PER_S, ExchangeOptions, exchange
from flintreach.proxy.metrics import HEALTH_CHECKS, Metrics
from flintreach.proxy.response import Response
from flintreach.proxy.view import RoutingView

# Time-outs of a health check as a whole, and of its connection setup.
CHECK_TIMEOUT_S = 0.6
CONNECT_TIMEOUT_S = 0.3


def confirms_presence(response: Response) -> bool:
    """Returns whether a response shows that its endpoint had not started to leave (RFC 9112, section 9.6)."""
    return "close" not in (response.get("connection") or "").lower()


class HealthChecker:
    """Checks endpoints whose lease has expired, with at most one concurrent check for each endpoint.

    Args:
        view: leases on endpoints, and the configuration of their services.
        metrics: receives event counts.
        response_memory: budget for long bodies of responses.
    """

    def __init__(
        self, view: RoutingView, metrics: Metrics, response_memory: MemoryBudget | None = None
    ) -> None:
        self.response_memory = response_memory or MemoryBudget()
        self.view = view
        self.metrics = metrics
        # Endpoint id -> event that is set when its check ends.
        self.in_progress: dict[str, Event] = {}

    def ensure_lease(self, endpoint: EndpointView, deadline: int) -> bool:
        """Returns whether a request may be sent to an endpoint; checks its health if its lease has expired.

        Args:
            endpoint: the endpoint.
            deadline: deadline of the request.
        """
        now = time.monotonic_ns()
        if self.view.is_leased(endpoint, now):
            return True
        if endpoint.id not in self.in_progress:
            self.in_progress[endpoint.id] = Event()
            # In its own greenlet: other requests may wait for this check after the one that started it is
            # cancelled.
            gevent.spawn(self.run_check, endpoint, now)
        wait_until = min(deadline, now + int(CHECK_TIMEOUT_S * NS_PER_S))
        self.in_progress[endpoint.id].wait((wait_until - now) / NS_PER_S)
        return self.view.is_leased(endpoint, time.monotonic_ns())

    def run_check(self, endpoint: EndpointView, now: int) -> None:
        """Checks an endpoint and wakes all waiters."""
        try:
            self.check(endpoint, now)
        finally:
            self.in_progress.pop(endpoint.id).set()

    def check(self, endpoint: EndpointView, now: int) -> None:
        """Sends a health check, if the service has a health path; a 200 response renews the lease.

        The lease is renewed as of `now`, before sending: the endpoint may leave as soon as it has responded.
        """
        service_config = self.view.routes.service_configs.get(endpoint.service)
        if service_config is None or not service_config.health_path:
            return
        self.metrics.count(HEALTH_CHECKS)
        lines = [
            f"GET {service_config.health_path} HTTP/1.1",
            f"Host: {endpoint.address}",
            f"X-Expect-Endpoint: {endpoint.id}",
        ]
        head = "\r\n".join([*lines, "", ""]).encode()
        options = ExchangeOptions(
            now + int(CHECK_TIMEOUT_S * NS_PER_S), CONNECT_TIMEOUT_S, memory=self.response_memory
        )
        response = exchange(endpoint.pool, head, b"", "", options).response
        if response is None or response.status != 200:
            return
        if response.get("x-endpoint-id") == endpoint.id:
            endpoint.confirm_present(now)
