"""The path of one request: from what the client sent to its answer.

`client_listener` hands requests over; `balancing`, `retry_policy` and `retry_budget` decide, `hedging` and
`attempt` carry out.

Times are nanoseconds of this process's steady clock, unless a name ends in `_s`.
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
from flintreach.proxy.link_admission import MAX_WAIT_FRACTION, LinkAdmission
from flintreach.proxy.metrics import (
    BUDGET_EXHAUSTED,
    CLIENT_DISCONNECTED,
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

# Between two looks for keys that are on their way from one owner to another.
KEY_LOOK_INTERVAL_S = 0.02

# Attempts of one request that may end unsent.
MAX_UNSENT_ATTEMPTS = 3

# Before any answer, the usual work of a service is taken for this part of the latency target.
ASSUMED_WORK_DIVISOR = 8

# Kind of the routes whose answers are large as a rule.
BULKY_KIND = "outbound_post"

SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


@dataclass(slots=True)
class RoutedRequest:
    """A request with what its route decides of it, and how far it has come.

    Attributes:
        request: the client's.
        route: its route.
        service: one of the route's.
        key: its shard key, None for none.
        deadline: nobody waits for the answer after that.
        budget: the service's.
        attempted: ids of the endpoints that it went to.
        sent: attempts that may have reached an endpoint, hedged ones included.
        unsent: attempts that certainly did not.
        status: of the answer, if there is no further attempt.
    """

    request: Request
    route: Route
    service: str
    key: int | None
    deadline: int
    budget: RetryBudget
    attempted: set[str] = field(default_factory=set)
    sent: int = 0
    unsent: int = 0
    status: int = SERVICE_UNAVAILABLE


def final_answer(status: int) -> ClientResponse:
    """The answer where no endpoint gave one; only 503, which promises that nothing ran, invites a retry."""
    return error_response(status, RETRY_AFTER_S if status == SERVICE_UNAVAILABLE else None)


class Forwarder:
    """Finds an endpoint for each request and brings its answer back.

    Args:
        view: routes and endpoints.
        bounds: the rules' limits.
        metrics: where events are counted.
        load_aggregate: where loads are reported upwards.
        mbps: megabits a second of this machine's link; 0: unknown.
    """

    def __init__(
        self,
        view: RoutingView,
        bounds: TimingBounds,
        metrics: Metrics,
        load_aggregate: LoadAggregate,
        mbps: float = 0.0,
    ) -> None:
        self.view = view
        self.bounds = bounds
        self.metrics = metrics
        self.load_aggregate = load_aggregate
        self.endpoint_client = EndpointClient(view, metrics, load_aggregate)
        self.budgets: dict[str, RetryBudget] = {}
        self.link_admission = LinkAdmission(mbps)

    def budget(self, service: str) -> RetryBudget:
        """The retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = RetryBudget(bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack)
            self.budgets[service] = budget
        return budget

    def draw_service(self, route: Route) -> str:
        """The service, drawn by weight where the route has several."""
        if len(route.services) == 1:
            return route.services[0][0]
        draw = random.random() * sum(weight for _, weight in route.services)
        for name, weight in route.services:
            draw -= weight
            if draw < 0:
                break
        return name

    def find_route(self, request: Request) -> Route | None:
        """The route of a request, by its host without port and its path without query."""
        authority = request.headers_by_name.get("host", "")
        host = authority.rpartition(":")[0] or authority
        return self.view.routes.find(host, request.target.partition("?")[0])

    def may_pipeline(self, request: Request) -> bool:
        """Whether it may be carried out beside others of its connection (RFC 9112, section 9.3.2)."""
        if self.view.routes is None:
            return False
        route = self.find_route(request)
        return route is not None and route.idempotent

    def forward(self, request: Request) -> ClientResponse:
        """The answer to a request.

        Raises:
            ClientDisconnected: nobody waits for it any more; then nothing is at work that may be cancelled.
        """
        if self.view.routes is None:
            return final_answer(SERVICE_UNAVAILABLE)
        route = self.find_route(request)
        if route is None:
            self.metrics.count(NO_ROUTE)
            return error_response(404)
        request.idempotent = route.idempotent
        try:
            return self.forward_in_turn(self.routed(request, route))
        except ClientDisconnected:
            self.metrics.count(CLIENT_DISCONNECTED)
            raise

    def routed(self, request: Request, route: Route) -> RoutedRequest:
        """Draw the service of a request, and count it there."""
        service = self.draw_service(route)
        time_left_ns = route.deadline_ns
        time_left_ms = parse_count(request.headers_by_name.get("x-time-left-ms", ""))
        if time_left_ms is not None:
            time_left_ns = min(time_left_ns, time_left_ms * NS_PER_MS)
        self.load_aggregate.request(format_slice_name(route, service))
        budget = self.budget(service)
        budget.count_request(time.monotonic_ns())
        key = parse_count(request.headers_by_name.get("x-shard-key", ""))
        if key is not None and key >= KEYS:
            key = None
        if key is not None and self.view.is_sharded(service):
            self.load_aggregate.key(service, key // BUCKET_KEYS)
        deadline = request.received_at + time_left_ns
        return RoutedRequest(request, route, service, key, deadline, budget)

    def forward_in_turn(self, routed: RoutedRequest) -> ClientResponse:
        """Forward a request; large answers take turns on the link, others go on at once."""
        route = routed.route
        size = self.link_admission.expected_size(route.name, route.kind == BULKY_KIND)
        if not size:
            return self.try_endpoints(routed)
        longest_wait_ns = min(
            MAX_WAIT_FRACTION * route.latency_target_ns, routed.deadline - time.monotonic_ns()
        )
        if not self.take_turn(routed.request.caller, size, longest_wait_ns):
            self.metrics.count(LINK_ADMISSION_TIMEOUT)
            return final_answer(SERVICE_UNAVAILABLE)
        try:
            return self.try_endpoints(routed)
        finally:
            self.link_admission.release(size)

    def take_turn(self, caller: Caller, size: int, longest_wait_ns: float) -> bool:
        """Wait for the turn of a large answer; whether it has come in time.

        Raises:
            ClientDisconnected: it has not come, and nobody waits for the answer any more.
        """
        turn = Event()
        wake = turn.set
        with caller.calling_on_disconnect(wake):
            if self.link_admission.acquire(size, wake):
                return True
            turn.wait(longest_wait_ns / NS_PER_S)
        if not self.link_admission.cancel(wake):
            return True
        caller.raise_if_disconnected()
        return False

    def try_endpoints(self, routed: RoutedRequest) -> ClientResponse:
        """Try one endpoint after the other, as far as outcomes, time and budget allow."""
        while True:
            routed.request.caller.raise_if_disconnected()
            now = time.monotonic_ns()
            if now >= routed.deadline:
                return final_answer(GATEWAY_TIMEOUT if routed.sent else SERVICE_UNAVAILABLE)
            endpoint = self.choose(routed, now)
            if endpoint is None and self.awaits_keys(routed, now):
                gevent.sleep(KEY_LOOK_INTERVAL_S)
                routed.attempted.clear()
                continue
            if endpoint is None:
                self.metrics.count(NO_ENDPOINT)
                return final_answer(routed.status)
            if routed.sent and not self.take_retry(routed, now):
                return final_answer(routed.status)
            routed.attempted.add(endpoint.id)
            hedged = self.attempt_hedged(routed, endpoint)
            if hedged.outcome.kind == OutcomeKind.ANSWERED:
                response = hedged.outcome.response
                self.link_admission.observe(routed.route.name, len(response.body))
                return forwarded_response(response, routed.request)
            if not self.may_go_on(routed, hedged):
                return final_answer(routed.status)

    def take_retry(self, routed: RoutedRequest, now: int) -> bool:
        """Spend a retry of the budget; False where none is left."""
        if not routed.budget.allows(now, self.view.position.proxies):
            self.metrics.count(BUDGET_EXHAUSTED)
            return False
        routed.budget.spend(now)
        self.metrics.count(RETRIES)
        return True

    def may_go_on(self, routed: RoutedRequest, hedged: HedgedOutcome) -> bool:
        """Take in a failed attempt; whether its outcome and their number allow another one."""
        kind = hedged.outcome.kind
        self.metrics.count(kind.value)
        routed.sent += hedged.hedges
        if kind == OutcomeKind.UNSENT:
            routed.unsent += 1
        else:
            routed.sent += 1
        decision = decide_retry(kind, routed.route.idempotent)
        routed.status = decision.status
        return (
            decision.may_retry
            and routed.sent < routed.route.attempts
            and routed.unsent <= MAX_UNSENT_ATTEMPTS
        )

    def awaits_keys(self, routed: RoutedRequest, now: int) -> bool:
        """Whether the keys of a request may only be on their way from one owner to another."""
        longest_wait_ns = int(KEY_MOVE_WAIT_FRACTION * routed.route.latency_target_ns)
        return self.view.is_sharded(routed.service) and now < routed.request.received_at + longest_wait_ns

    def choose(self, routed: RoutedRequest, now: int) -> EndpointView | None:
        """The endpoint for the next attempt; None where there is none."""
        view = self.view
        route = routed.route
        service = routed.service
        service_config = view.routes.service_configs.get(service)
        warm_up_rate_per_s = service_config.slow_start_per_s if service_config else 0.0
        # Keys have one owner: all proxies must be able to reach it, even while it is warming up.
        senders = view.position.proxies
        if not view.is_sharded(service):
            senders = max_warm_up_senders(
                warm_up_rate_per_s,
                self.bounds.slow_start_excess,
                self.bounds.slow_start_slack,
                view.position.proxies,
            )
        return choose_endpoint(
            view.candidates(route, service, routed.key, routed.attempted),
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
        """How long the requests of a service usually take."""
        return self.endpoint_client.average_latency_ns.get(
            service, route.latency_target_ns // ASSUMED_WORK_DIVISOR
        )

    def attempt_hedged(self, routed: RoutedRequest, endpoint: EndpointView) -> HedgedOutcome:
        """Make an attempt at one endpoint, and where that is allowed another one beside it."""
        request = routed.request
        route = routed.route
        service = routed.service
        if not route.idempotent:
            return HedgedOutcome(self.attempt(request, service, endpoint, routed.deadline), 0)
        hedge = Hedge(request.caller, lambda chosen: self.attempt(request, service, chosen, routed.deadline))
        delay_s: float | None = None
        if routed.sent + 1 < route.attempts:
            delay_s = (
                hedging_delay_ns(route.latency_target_ns, self.average_latency_ns(route, service)) / NS_PER_S
            )
        return hedge.run(endpoint, lambda: self.choose_second(routed), delay_s)

    def choose_second(self, routed: RoutedRequest) -> EndpointView | None:
        """An endpoint to ask beside a silent one, where the budget allows it."""
        now = time.monotonic_ns()
        endpoint = self.choose(routed, now)
        if endpoint is None:
            return None
        if not routed.budget.allows(now, self.view.position.proxies, HEDGE_BUDGET_FRACTION):
            return None
        routed.budget.spend(now)
        self.metrics.count(HEDGED_REQUESTS)
        routed.attempted.add(endpoint.id)
        return endpoint

    def attempt(self, request: Request, service: str, endpoint: EndpointView, deadline: int) -> Outcome:
        """Make one attempt at one endpoint (`EndpointClient.attempt`); tests script outcomes here."""
        return self.endpoint_client.attempt(request, service, endpoint, deadline)
