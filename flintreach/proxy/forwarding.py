"""Request forwarding: selects endpoints for a client's request and returns the response for the client.

`client_listener` passes requests in.  `balancing`, `retry_policy` and `retry_budget` make the decisions;
`hedging` and `attempt` carry them out.

Times are nanoseconds of the process's monotonic clock, unless a name ends in `_s`.
"""

import random
import time
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from flintreach.config.routing import Route
from flintreach.config.settings import TimingBounds
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.proxy.attempt import EndpointClient
from flintreach.proxy.balancing import (
    HEDGE_BUDGET_FRACTION,
    KEY_MOVE_WAIT_FRACTION,
    choose_endpoint,
    hedging_delay_ns,
    max_warm_up_senders,
)
from flintreach.proxy.caller import Caller, ClientDisconnected
from flintreach.proxy.endpoint import EndpointView
from flintreach.proxy.exchange import Outcome
from flintreach.proxy.hedging import Hedge, HedgedOutcome
from flintreach.proxy.in_flight import DrainTimeout, InFlightRequests
from flintreach.proxy.link_admission import MAX_WAIT_FRACTION, LinkAdmission
from flintreach.proxy.message_memory import NO_LIMIT, message_memory
from flintreach.proxy.metrics import (
    BUDGET_EXHAUSTED,
    CLIENT_DISCONNECTED,
    DRAIN_TIMEOUTS,
    HEDGED_REQUESTS,
    LINK_ADMISSION_TIMEOUT,
    NO_ENDPOINT,
    NO_ROUTE,
    RETRIES,
    Metrics,
)
from flintreach.proxy.outcome import OutcomeKind
from flintreach.proxy.request import (
    RETRY_AFTER_S,
    ClientResponse,
    Request,
    error_response,
    forwarded_response,
)
from flintreach.proxy.response import parse_count
from flintreach.proxy.retry_budget import RetryBudget
from flintreach.proxy.retry_policy import decide_retry
from flintreach.proxy.view import RoutingView, format_slice_name
from flintreach.sharding.range_assignment import BUCKET_KEYS, KEYS

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

# Interval between checks for the new owner of a shard key that is moving between owners.
KEY_POLL_INTERVAL_S = 0.02

# A request may be attempted again after at most this many attempts that were not sent.
MAX_UNSENT_ATTEMPTS = 3

# Until a service has responded, its average latency is estimated as the latency target divided by this.
DEFAULT_LATENCY_DIVISOR = 8

# Kind of the routes whose responses are expected to be large.
LARGE_RESPONSE_KIND = "outbound_post"

SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


@dataclass(slots=True)
class RoutedRequest:
    """A request with its routing decision and the progress of its attempts.

    Attributes:
        request: the client's request.
        route: the route that matches it.
        service: the service chosen among the route's services.
        key: its shard key; None if it has none.
        deadline: time after which the client no longer waits for the response.
        retry_budget: the service's retry budget.
        attempted_endpoints: ids of the endpoints it has been attempted at.
        sent_attempts: attempts that may have reached an endpoint, including hedged ones.
        unsent_attempts: attempts that are known not to have reached an endpoint.
        final_status: HTTP status of the response if no further attempt is made.
    """

    request: Request
    route: Route
    service: str
    key: int | None
    deadline: int
    retry_budget: RetryBudget
    attempted_endpoints: set[str] = field(default_factory=set)
    sent_attempts: int = 0
    unsent_attempts: int = 0
    final_status: int = SERVICE_UNAVAILABLE


def final_response(status: int) -> ClientResponse:
    """The response when no endpoint gave one.

    Only 503 has a `Retry-After` header, as it alone guarantees that the request has not run.
    """
    return error_response(status, RETRY_AFTER_S if status == SERVICE_UNAVAILABLE else None)


class Forwarder:
    """Forwards each request to an endpoint and returns the response.

    Args:
        view: current routes and endpoints.
        bounds: limits on retries and slow start.
        metrics: receives event counts.
        load_aggregate: collects the loads that are reported to the controllers.
        mbps: bandwidth of this machine's link in megabits per second; 0 if unknown.
        memory_mb: memory that this process may use, in MB; 0 for no limit.

    Attributes:
        in_flight: the requests that are being forwarded.
        memory: bounds the memory of requests and responses.
    """

    def __init__(
        self,
        view: RoutingView,
        bounds: TimingBounds,
        metrics: Metrics,
        load_aggregate: LoadAggregate,
        mbps: float = 0.0,
        memory_mb: float = NO_LIMIT,
    ) -> None:
        self.view = view
        self.bounds = bounds
        self.metrics = metrics
        self.load_aggregate = load_aggregate
        self.memory = message_memory(memory_mb)
        self.endpoint_client = EndpointClient(view, metrics, load_aggregate, self.memory.response_bodies)
        self.retry_budgets: dict[str, RetryBudget] = {}
        self.link_admission = LinkAdmission(mbps)
        self.in_flight = InFlightRequests()

    def retry_budget(self, service: str) -> RetryBudget:
        """The retry budget of a service, created on first use."""
        budget = self.retry_budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack)
            self.retry_budgets[service] = budget
        return budget

    def choose_service(self, route: Route) -> str:
        """Choose one of the route's services at random, in proportion to their weights."""
        if len(route.services) == 1:
            return route.services[0][0]
        remaining_weight = random.random() * sum(weight for _, weight in route.services)
        for name, weight in route.services:
            remaining_weight -= weight
            if remaining_weight < 0:
                break
        return name

    def find_route(self, request: Request) -> Route | None:
        """The route that matches the request's host (without port) and path (without query); None if none."""
        authority = request.headers_by_name.get("host", "")
        host = authority.rpartition(":")[0] or authority
        return self.view.routes.find(host, request.target.partition("?")[0])

    def may_pipeline(self, request: Request) -> bool:
        """Whether the request may be processed in parallel with others of its connection.

        Only idempotent requests may (RFC 9112, section 9.3.2).
        """
        if self.view.routes is None:
            return False
        route = self.find_route(request)
        return route is not None and route.idempotent

    def forward(self, request: Request) -> ClientResponse:
        """Forward a request and return the response for the client.

        Raises:
            ClientDisconnected: the client has disconnected; all attempts that may be cancelled have been.
        """
        if self.view.routes is None:
            return final_response(SERVICE_UNAVAILABLE)
        route = self.find_route(request)
        if route is None:
            self.metrics.count(NO_ROUTE)
            return error_response(404)
        request.idempotent = route.idempotent
        routed = self.create_routed_request(request, route)
        try:
            with self.in_flight.cancellable():
                return self.forward_when_admitted(routed)
        except ClientDisconnected:
            self.metrics.count(CLIENT_DISCONNECTED)
            raise
        except DrainTimeout:
            self.metrics.count(DRAIN_TIMEOUTS)
            return final_response(routed.final_status)

    def create_routed_request(self, request: Request, route: Route) -> RoutedRequest:
        """Choose the service for a request, and count the request towards its load and retry budget."""
        service = self.choose_service(route)
        time_left_ns = route.deadline_ns
        time_left_ms = parse_count(request.headers_by_name.get("x-time-left-ms", ""))
        if time_left_ms is not None:
            time_left_ns = min(time_left_ns, time_left_ms * NS_PER_MS)
        self.load_aggregate.count_request(format_slice_name(route, service))
        budget = self.retry_budget(service)
        budget.count_request(time.monotonic_ns())
        key = parse_count(request.headers_by_name.get("x-shard-key", ""))
        if key is not None and key >= KEYS:
            key = None
        if key is not None and self.view.is_sharded(service):
            self.load_aggregate.count_key_request(service, key // BUCKET_KEYS)
        deadline = request.received_at + time_left_ns
        return RoutedRequest(request, route, service, key, deadline, budget)

    def forward_when_admitted(self, routed: RoutedRequest) -> ClientResponse:
        """Forward a request; one with a large expected response first waits for admission to the link."""
        route = routed.route
        size = self.link_admission.expected_size(route.name, route.kind == LARGE_RESPONSE_KIND)
        if not size:
            return self.attempt_endpoints(routed)
        max_wait_ns = min(MAX_WAIT_FRACTION * route.latency_target_ns, routed.deadline - time.monotonic_ns())
        if not self.wait_for_admission(routed.request.caller, size, max_wait_ns):
            self.metrics.count(LINK_ADMISSION_TIMEOUT)
            return final_response(SERVICE_UNAVAILABLE)
        try:
            return self.attempt_endpoints(routed)
        finally:
            self.link_admission.release(size)

    def wait_for_admission(self, caller: Caller, size: int, max_wait_ns: float) -> bool:
        """Wait until a large response is admitted to the link.

        Returns:
            Whether it was admitted within `max_wait_ns`.

        Raises:
            ClientDisconnected: the client disconnected before the response was admitted.
        """
        admitted = Event()
        wake = admitted.set
        with caller.calling_on_disconnect(wake):
            if self.link_admission.acquire(size, wake):
                return True
            admitted.wait(max_wait_ns / NS_PER_S)
        if not self.link_admission.cancel(wake):
            return True
        caller.raise_if_disconnected()
        return False

    def attempt_endpoints(self, routed: RoutedRequest) -> ClientResponse:
        """Attempt the request at one endpoint after another while outcome, deadline and budget allow it."""
        while True:
            routed.request.caller.raise_if_disconnected()
            now = time.monotonic_ns()
            if now >= routed.deadline:
                return final_response(GATEWAY_TIMEOUT if routed.sent_attempts else SERVICE_UNAVAILABLE)
            endpoint = self.select_endpoint(routed, now)
            if endpoint is None and self.should_wait_for_key(routed, now):
                gevent.sleep(KEY_POLL_INTERVAL_S)
                routed.attempted_endpoints.clear()
                continue
            if endpoint is None:
                self.metrics.count(NO_ENDPOINT)
                return final_response(routed.final_status)
            if routed.sent_attempts and not self.spend_retry(routed, now):
                return final_response(routed.final_status)
            routed.attempted_endpoints.add(endpoint.id)
            hedged = self.attempt_with_hedging(routed, endpoint)
            if hedged.outcome.kind == OutcomeKind.ANSWERED:
                response = hedged.outcome.response
                self.link_admission.observe(routed.route.name, len(response.body))
                return forwarded_response(response, routed.request)
            if not self.record_failed_attempt(routed, hedged):
                return final_response(routed.final_status)

    def spend_retry(self, routed: RoutedRequest, now: int) -> bool:
        """Spend one retry of the service's budget; False if the budget is exhausted."""
        if not routed.retry_budget.allows(now, self.view.position.proxies):
            self.metrics.count(BUDGET_EXHAUSTED)
            return False
        routed.retry_budget.spend(now)
        self.metrics.count(RETRIES)
        return True

    def record_failed_attempt(self, routed: RoutedRequest, hedged: HedgedOutcome) -> bool:
        """Record a failed attempt; return whether its outcome and the attempts so far allow another one."""
        kind = hedged.outcome.kind
        self.metrics.count(kind.value)
        routed.sent_attempts += hedged.hedges
        if kind == OutcomeKind.UNSENT:
            routed.unsent_attempts += 1
        else:
            routed.sent_attempts += 1
        decision = decide_retry(kind, routed.route.idempotent)
        routed.final_status = decision.status
        return (
            decision.may_retry
            and routed.sent_attempts < routed.route.attempts
            and routed.unsent_attempts <= MAX_UNSENT_ATTEMPTS
        )

    def should_wait_for_key(self, routed: RoutedRequest, now: int) -> bool:
        """Whether to keep waiting, as the request's shard key may be moving between two owners."""
        max_wait_ns = int(KEY_MOVE_WAIT_FRACTION * routed.route.latency_target_ns)
        return self.view.is_sharded(routed.service) and now < routed.request.received_at + max_wait_ns

    def select_endpoint(self, routed: RoutedRequest, now: int) -> EndpointView | None:
        """The endpoint for the next attempt; None if none is available."""
        view = self.view
        route = routed.route
        service = routed.service
        service_config = view.routes.service_configs.get(service)
        warm_up_rate_per_s = service_config.slow_start_per_s if service_config else 0.0
        # A shard key has a single owner, so all proxies must be able to send to it, even during slow start.
        senders = view.position.proxies
        if not view.is_sharded(service):
            senders = max_warm_up_senders(
                warm_up_rate_per_s,
                self.bounds.slow_start_excess,
                self.bounds.slow_start_slack,
                view.position.proxies,
            )
        return choose_endpoint(
            view.candidates(route, service, routed.key, routed.attempted_endpoints),
            view.position,
            route.latency_target_ns,
            self.average_latency_ns(route, service),
            now,
            warm_up_rate_per_s,
            senders,
            random.random(),
            view.assignments.get(format_slice_name(route, service)),
        )

    def average_latency_ns(self, route: Route, service: str) -> int:
        """Average latency of a service's answered attempts, or an estimate before its first response."""
        return self.endpoint_client.average_latency_ns.get(
            service, route.latency_target_ns // DEFAULT_LATENCY_DIVISOR
        )

    def attempt_with_hedging(self, routed: RoutedRequest, endpoint: EndpointView) -> HedgedOutcome:
        """Attempt the request at one endpoint, with a hedged attempt at a second one if that is allowed.

        Raises:
            ClientDisconnected: the client has disconnected.
            DrainTimeout: the drain has ended; `routed.final_status` tells whether the request may have run.
        """
        connections_before = len(routed.request.connections)
        try:
            return self.run_attempts(routed, endpoint)
        except DrainTimeout:
            if len(routed.request.connections) > connections_before:
                routed.final_status = GATEWAY_TIMEOUT
            raise

    def run_attempts(self, routed: RoutedRequest, endpoint: EndpointView) -> HedgedOutcome:
        """Run the attempts of `attempt_with_hedging`."""
        request = routed.request
        route = routed.route
        service = routed.service
        if not route.idempotent:
            return HedgedOutcome(self.attempt(request, service, endpoint, routed.deadline), 0)
        hedge = Hedge(request.caller, lambda chosen: self.attempt(request, service, chosen, routed.deadline))
        delay_s: float | None = None
        if routed.sent_attempts + 1 < route.attempts:
            delay_s = (
                hedging_delay_ns(route.latency_target_ns, self.average_latency_ns(route, service)) / NS_PER_S
            )
        return hedge.run(endpoint, lambda: self.select_hedge_endpoint(routed), delay_s)

    def select_hedge_endpoint(self, routed: RoutedRequest) -> EndpointView | None:
        """Select an endpoint for a hedged attempt and charge the budget; None if either is unavailable."""
        now = time.monotonic_ns()
        endpoint = self.select_endpoint(routed, now)
        if endpoint is None:
            return None
        if not routed.retry_budget.allows(now, self.view.position.proxies, HEDGE_BUDGET_FRACTION):
            return None
        routed.retry_budget.spend(now)
        self.metrics.count(HEDGED_REQUESTS)
        routed.attempted_endpoints.add(endpoint.id)
        return endpoint

    def attempt(self, request: Request, service: str, endpoint: EndpointView, deadline: int) -> Outcome:
        """Make one attempt at one endpoint (`EndpointClient.attempt`); overridden in tests."""
        return self.endpoint_client.attempt(request, service, endpoint, deadline)
