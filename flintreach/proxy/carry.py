"""The path of one request: from what the client sent to its answer, by the decisions of `balancing`."""

import random
import time
from dataclasses import dataclass, field

import gevent
from gevent.event import Event

from flintreach.config.configuration import Route
from flintreach.config.settings import TimingBounds
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.proxy.attempt import EndpointClient
from flintreach.proxy.balancing import (
    HEDGE_BUDGET_PART,
    KEY_MOVE_WAIT,
    choose_endpoint,
    hedging_delay_ns,
    warm_up_proxies,
)
from flintreach.proxy.caller import Caller, ClientLeft
from flintreach.proxy.endpoint import EndpointView
from flintreach.proxy.exchange import Outcome
from flintreach.proxy.gate import WAIT, Gate
from flintreach.proxy.hedging import Hedge
from flintreach.proxy.metrics import CLIENT_LEFT, Metrics
from flintreach.proxy.outcome import OutcomeKind
from flintreach.proxy.reply import number
from flintreach.proxy.request import PAUSE, Answer, Request, own, relayed
from flintreach.proxy.retry_budget import RetryBudget
from flintreach.proxy.retry_policy import decide_retry
from flintreach.proxy.view import RoutingView, slice_of
from flintreach.sharding.range_assignment import BUCKET, KEYS

MS, SECOND = 1_000_000, 1_000_000_000
KEY_LOOK_S = 0.02  # between two looks for keys that are on their way from one holder to another
MOST_DIALS = 3  # tries that may end unsent


@dataclass(slots=True)
class RoutedRequest:
    """A request with what its route decides of it; nobody waits after `until` (steady ns)."""

    request: Request
    route: Route
    service: str
    key: int | None
    until: int
    budget: RetryBudget
    tried: set[str] = field(default_factory=set)  # ids of endpoints


class Carrier:
    """Finds an endpoint for each request and brings its answer back.  `mbps`: of this machine's link."""

    def __init__(
        self,
        view: RoutingView,
        bounds: TimingBounds,
        metrics: Metrics,
        load_aggregate: LoadAggregate,
        mbps: float = 0.0,
    ):
        self.view, self.bounds, self.metrics, self.load_aggregate = view, bounds, metrics, load_aggregate
        self.endpoints = EndpointClient(view, metrics, load_aggregate)
        self.work = self.endpoints.work
        self.budgets: dict[str, RetryBudget] = {}
        self.gate = Gate(mbps)

    def budget(self, service: str) -> RetryBudget:
        if service not in self.budgets:
            b = self.bounds
            self.budgets[service] = RetryBudget(b.retry_ratio, b.retry_window_s, b.retry_slack)
        return self.budgets[service]

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

    def route(self, request: Request) -> Route | None:
        host = request.low.get("host", "").rpartition(":")[0] or request.low.get("host", "")
        return self.view.routes.find(host, request.target.partition("?")[0])

    def alike(self, request: Request) -> bool:
        """Whether it may be carried beside others of its connection."""
        route = self.route(request) if self.view.routes else None
        return route is not None and route.repeatable

    def carry(self, request: Request) -> Answer:
        """The answer to a request.

        Raises ClientLeft once nobody waits for it; then nothing is at work that may be broken off.
        """
        if self.view.routes is None:
            return own(503, PAUSE)
        route = self.route(request)
        if route is None:
            self.metrics.count("no_route")
            return own(404)
        request.repeatable = route.repeatable
        try:
            return self.carry_in_turn(self.routed(request, route))
        except ClientLeft:
            self.metrics.count(CLIENT_LEFT)
            raise

    def routed(self, request: Request, route: Route) -> RoutedRequest:
        """Draw the service of a request, and count it there."""
        service = self.draw_service(route)
        wait = number(request.low.get("x-time-left-ms", ""))
        until = request.came + min(route.deadline, route.deadline if wait is None else wait * MS)
        self.load_aggregate.request(slice_of(route, service))
        budget = self.budget(service)
        budget.count_request(time.monotonic_ns())
        key = number(request.low.get("x-shard-key", ""))
        key = key if key is not None and key < KEYS else None
        if key is not None and self.view.is_sharded(service):
            self.load_aggregate.key(service, key // BUCKET)
        return RoutedRequest(request, route, service, key, until, budget)

    def carry_in_turn(self, routed: RoutedRequest) -> Answer:
        """Large answers take turns on the link; others go on at once."""
        route = routed.route
        size = self.gate.size(route.name, route.kind == "outbound_post")
        if not size:
            return self.try_endpoints(routed)
        patience_ns = min(WAIT * route.aim, routed.until - time.monotonic_ns())
        if not self.take_turn(routed.request.caller, size, patience_ns):
            self.metrics.count("no turn")
            return own(503, PAUSE)
        try:
            return self.try_endpoints(routed)
        finally:
            self.gate.leave(size)

    def take_turn(self, caller: Caller, size: int, patience_ns: float) -> bool:
        """Wait for the turn of a large answer; whether it has come in time.

        Raises ClientLeft where it has not come and nobody waits for it any more.
        """
        turn = Event()
        wake = turn.set
        with caller.waking(wake):
            if self.gate.enter(size, wake):
                return True
            turn.wait(patience_ns / SECOND)
        if not self.gate.give_up(wake):
            return True
        caller.check()
        return False

    def try_endpoints(self, routed: RoutedRequest) -> Answer:
        """Try one endpoint after the other, as far as outcomes, time and budget allow."""
        route, budget, request = routed.route, routed.budget, routed.request
        sent, dials, status = 0, 0, 503
        while True:
            request.caller.check()
            now = time.monotonic_ns()
            if now >= routed.until:
                return own(504 if sent else 503, None if sent else PAUSE)
            endpoint = self.choose(routed, now)
            if endpoint is None and self.awaits_keys(routed, now):
                gevent.sleep(KEY_LOOK_S)
                routed.tried.clear()
                continue
            if endpoint is None:
                self.metrics.count("nowhere")
                return own(status, PAUSE if status == 503 else None)
            if sent and not budget.allows(now, self.view.position.proxies):
                self.metrics.count("budget")
                return own(status, PAUSE if status == 503 else None)
            if sent:
                budget.spend(now)
                self.metrics.count("again")
            routed.tried.add(endpoint.id)
            outcome, beside = self.one_try(routed, endpoint, sent + 1 < route.tries)
            if outcome.kind == OutcomeKind.ANSWERED:
                self.gate.saw(route.name, len(outcome.message.body))
                return relayed(outcome.message, request)
            self.metrics.count(outcome.kind.value)
            sent, dials = (
                sent + beside + (outcome.kind != OutcomeKind.UNSENT),
                dials + (outcome.kind == OutcomeKind.UNSENT),
            )
            decision = decide_retry(outcome.kind, route.repeatable)
            status = decision.status
            if not decision.may_retry or sent >= route.tries or dials > MOST_DIALS:
                return own(status, PAUSE if status == 503 else None)

    def awaits_keys(self, routed: RoutedRequest, now: int) -> bool:
        """Whether the keys of a request may only be on their way from one holder to another."""
        wait = int(KEY_MOVE_WAIT * routed.route.aim)
        return self.view.is_sharded(routed.service) and now < routed.request.came + wait

    def choose(self, routed: RoutedRequest, now: int) -> EndpointView | None:
        view, route, service = self.view, routed.route, routed.service
        service_config, bounds, fronts = (
            view.routes.service_configs.get(service),
            self.bounds,
            view.position.proxies,
        )
        rate = service_config.cold_per_s if service_config else 0.0
        # Keys have one holder: all must be able to reach it, even if it is cold.
        pilots = fronts
        if not view.is_sharded(service):
            pilots = warm_up_proxies(rate, bounds.cold_excess, bounds.cold_slack, fronts)
        return choose_endpoint(
            view.candidates(route, service, routed.key, routed.tried),
            view.position,
            route.aim,
            self.usual(route, service),
            now,
            rate,
            pilots,
            random.random(),
            view.assignments.get(slice_of(route, service)),
        )

    def usual(self, route: Route, service: str) -> int:
        """How long the requests of a service usually take (ns)."""
        return self.work.get(service, route.aim // 8)

    def one_try(self, routed: RoutedRequest, endpoint: EndpointView, more: bool) -> tuple[Outcome, int]:
        """A try at one endpoint, where `more` are allowed with another beside it; how many were beside it."""
        request, route, service, until = routed.request, routed.route, routed.service, routed.until
        if not route.repeatable:
            return self.attempt(request, service, endpoint, until), 0
        hedge = Hedge(request.caller, lambda chosen: self.attempt(request, service, chosen, until))
        patience_s = hedging_delay_ns(route.aim, self.usual(route, service)) / SECOND if more else None
        return hedge.run(endpoint, lambda: self.second(routed), patience_s)

    def second(self, routed: RoutedRequest) -> EndpointView | None:
        """An endpoint to ask beside a silent one, where the budget allows it."""
        now = time.monotonic_ns()
        endpoint = self.choose(routed, now)
        if endpoint is None or not routed.budget.allows(now, self.view.position.proxies, HEDGE_BUDGET_PART):
            return None
        routed.budget.spend(now)
        self.metrics.count("beside")
        routed.tried.add(endpoint.id)
        return endpoint

    def attempt(self, request: Request, service: str, endpoint: EndpointView, until: int) -> Outcome:
        return self.endpoints.attempt(request, service, endpoint, until)
