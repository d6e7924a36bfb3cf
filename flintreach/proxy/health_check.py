"""Health checks: whether an endpoint is still there and not leaving, where no update confirms it in time.

An endpoint that is leaving says so in its responses (`Connection: close`), and its health check is answered
200 only while it is not (the users' page on endpoints).  So traffic renews leases while the control plane is
out of reach; an endpoint that nobody has used of late is checked once before it is used.

Times are nanoseconds of this process's steady clock, unless a name ends in `_s`.
"""

import time

import gevent
from gevent.event import Event

from flintreach.proxy.endpoint import EndpointView
from flintreach.proxy.exchange import NS_PER_S, ExchangeTerms, exchange
from flintreach.proxy.metrics import HEALTH_CHECKS, Metrics
from flintreach.proxy.response import Response
from flintreach.proxy.view import RoutingView

# For a health check, and of that for its connection to be set up.
CHECK_TIMEOUT_S = 0.6
CONNECT_TIMEOUT_S = 0.3


def confirms_presence(response: Response) -> bool:
    """Whether a response shows that its endpoint had not begun to leave (RFC 9112, section 9.6)."""
    return "close" not in (response.get("connection") or "").lower()


class HealthChecker:
    """Checks endpoints whose lease is over; each by one check at a time."""

    def __init__(self, view: RoutingView, metrics: Metrics) -> None:
        self.view = view
        self.metrics = metrics
        # Endpoint id -> set when its check is over.
        self.in_progress: dict[str, Event] = {}

    def ensure_lease(self, endpoint: EndpointView, deadline: int) -> bool:
        """Whether a request may be sent to an endpoint; it may be checked first.

        Args:
            endpoint: the endpoint.
            deadline: nobody waits for the request after that.
        """
        now = time.monotonic_ns()
        if self.view.is_leased(endpoint, now):
            return True
        if endpoint.id not in self.in_progress:
            self.in_progress[endpoint.id] = Event()
            # In a greenlet of its own: others wait for the same check when the one that began it is ended.
            gevent.spawn(self.run_check, endpoint, now)
        wait_until = min(deadline, now + int(CHECK_TIMEOUT_S * NS_PER_S))
        self.in_progress[endpoint.id].wait((wait_until - now) / NS_PER_S)
        return self.view.is_leased(endpoint, time.monotonic_ns())

    def run_check(self, endpoint: EndpointView, now: int) -> None:
        """Check an endpoint, and wake all that wait for it."""
        try:
            self.check(endpoint, now)
        finally:
            self.in_progress.pop(endpoint.id).set()

    def check(self, endpoint: EndpointView, now: int) -> None:
        """Send one health check, if the service has any; a good answer confirms the endpoint as of `now`.

        What is confirmed is the moment before it was sent: the endpoint may leave as soon as it has answered.
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
        terms = ExchangeTerms(now + int(CHECK_TIMEOUT_S * NS_PER_S), CONNECT_TIMEOUT_S)
        response = exchange(endpoint.pool, head, b"", "", terms).response
        if response is None or response.status != 200:
            return
        if response.get("x-endpoint-id") == endpoint.id:
            endpoint.confirm_present(now)
