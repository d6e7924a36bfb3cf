"""One attempt of a request at one endpoint, and what it tells of the endpoint.

`forwarding` makes attempts; each is an `exchange` under the lease terms of `view`.

Times are nanoseconds of this process's steady clock, unless a name ends in `_s`.
"""

import time

import gevent

from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.proxy.balancing import EJECTION_CONNECTION_LIMIT_NS, idle_timeout_ns
from flintreach.proxy.connection import IDLE_LIMIT_NS
from flintreach.proxy.endpoint import EndpointView
from flintreach.proxy.exchange import MISDIRECTED_REQUEST, ExchangeOptions, Outcome, exchange
from flintreach.proxy.health_check import HealthChecker, confirms_presence
from flintreach.proxy.metrics import (
    AT_CONNECTION_LIMIT,
    CANCELLED_ATTEMPTS,
    LATE_CANCELLATION,
    LEASE_NOT_RENEWED,
    RECALLED,
    SEND_TIME,
    SENT_AFTER_DISCONNECT,
    VIEW_AGE,
    WORK_AFTER_DISCONNECT,
    Metrics,
)
from flintreach.proxy.outcome import OutcomeKind
from flintreach.proxy.request import Request, endpoint_request_head
from flintreach.proxy.response import Response, parse_count
from flintreach.proxy.view import RoutingView

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

# How long a connection to an endpoint may take to be set up.
CONNECT_TIMEOUT_S = 0.6

# So soon after its client has left no idempotent request is at work any more.
ABANDON_WITHIN_NS = NS_PER_S // 2

# Out of use for so long: an endpoint that isn't the one at its address, or does not own the key.
EJECTION_MISDIRECTED_NS = 300 * NS_PER_MS

# Out of use for so long: an endpoint that refused a request, being busy.
EJECTION_REFUSED_NS = 50 * NS_PER_MS


class EndpointClient:
    """Makes attempts at endpoints, and learns from them.

    Args:
        view: leases on endpoints, and their services.
        metrics: where attempts are counted.
        load_aggregate: where loads are reported upwards.

    Attributes:
        average_latency_ns: service -> how long its requests take, smoothed.
    """

    def __init__(self, view: RoutingView, metrics: Metrics, load_aggregate: LoadAggregate) -> None:
        self.view = view
        self.metrics = metrics
        self.load_aggregate = load_aggregate
        self.health_checker = HealthChecker(view, metrics)
        self.average_latency_ns: dict[str, int] = {}

    def attempt(self, request: Request, service: str, endpoint: EndpointView, deadline: int) -> Outcome:
        """Send a request to one endpoint.

        Args:
            request: the request.
            service: the endpoint's service.
            endpoint: whom it is for.
            deadline: nobody waits for the answer after that.

        Raises:
            ClientDisconnected: its client has left before anything went out.
        """
        if not self.health_checker.ensure_lease(endpoint, deadline):
            self.metrics.count(LEASE_NOT_RENEWED)
            endpoint.record_failure(time.monotonic_ns(), self.view.is_sharded(service))
            return Outcome(OutcomeKind.UNSENT)
        began_at = time.monotonic_ns()
        if endpoint.is_warming_up(began_at):
            endpoint.warm_up_sent_at = began_at
        endpoint.begin_request(began_at)
        outcome: Outcome | None = None
        try:
            outcome = self.send(request, service, endpoint, deadline, began_at)
            return outcome
        except gevent.GreenletExit:
            self.metrics.count(CANCELLED_ATTEMPTS)
            raise
        finally:
            ended_at = time.monotonic_ns()
            self.record_work_for_nobody(request, began_at, ended_at)
            endpoint.end_request(outcome is not None and outcome.response is not None, ended_at)
            if outcome is not None:
                self.learn(endpoint, service, outcome, ended_at, ended_at - began_at)

    def send(
        self, request: Request, service: str, endpoint: EndpointView, deadline: int, began_at: int
    ) -> Outcome:
        """Run the exchange of an attempt; a good answer renews the endpoint's lease."""
        head = endpoint_request_head(request, endpoint.id, deadline - began_at)
        request_id = request.headers_by_name.get("x-try-id", "")
        terms = self.terms(request, service, endpoint, deadline, began_at)
        outcome = exchange(endpoint.pool, head, request.body, request_id, terms, request.connections)
        if outcome.kind == OutcomeKind.ANSWERED and confirms_presence(outcome.response):
            endpoint.confirm_present(began_at)
        return outcome

    def terms(
        self, request: Request, service: str, endpoint: EndpointView, deadline: int, began_at: int
    ) -> ExchangeOptions:
        """What binds the exchange of an attempt."""
        idle_limit_ns = IDLE_LIMIT_NS
        service_config = self.view.routes.service_configs.get(service)
        if service_config:
            idle_limit_ns = idle_timeout_ns(
                endpoint,
                self.view.position,
                service_config.connection_limit,
                IDLE_LIMIT_NS,
                service_config.sharded,
            )
        return ExchangeOptions(
            deadline,
            CONNECT_TIMEOUT_S,
            idle_limit_ns,
            may_send=lambda: self.may_send(request, endpoint),
            on_written=lambda: self.record_written(request, endpoint, began_at),
            arrive_by=lambda: self.view.arrival_deadline(endpoint),
        )

    def may_send(self, request: Request, endpoint: EndpointView) -> bool:
        """Asked last: whether a request may be sent.

        The kernel is asked, as this process may have stood still since the event loop last told of anything.

        Raises:
            ClientDisconnected: nobody waits for the answer any more.
        """
        request.caller.poll()
        request.caller.raise_if_disconnected()
        return self.view.may_send(endpoint)

    def record_work_for_nobody(self, request: Request, began_at: int, ended_at: int) -> None:
        """Record for how long an attempt of an idempotent request went on after its client had left."""
        disconnected_at = request.caller.disconnected_at
        if disconnected_at is None or not request.idempotent:
            return
        wasted_ns = ended_at - max(began_at, disconnected_at)
        self.metrics.observe(WORK_AFTER_DISCONNECT, wasted_ns)
        if wasted_ns > ABANDON_WITHIN_NS:
            self.metrics.count(LATE_CANCELLATION)

    def record_written(self, request: Request, endpoint: EndpointView, chosen_at: int) -> None:
        """Record that the kernel has taken a whole request to an endpoint that was chosen at `chosen_at`."""
        now = time.monotonic_ns()
        endpoint.written_at = now
        disconnected_at = request.caller.disconnected_at
        if disconnected_at is not None and disconnected_at < chosen_at:
            self.metrics.count(SENT_AFTER_DISCONNECT)
        self.metrics.observe(SEND_TIME, now - chosen_at)
        self.metrics.observe(VIEW_AGE, now - self.view.confirmed_at())

    def learn(self, endpoint: EndpointView, service: str, outcome: Outcome, now: int, took_ns: int) -> None:
        """Learn from an outcome.

        Args:
            endpoint: whose it is.
            service: the endpoint's service.
            outcome: what came of the attempt.
            now: when it came.
            took_ns: how long after the endpoint was chosen.
        """
        if outcome.response is not None:
            self.learn_load(endpoint, outcome.response, now)
        if outcome.kind == OutcomeKind.ANSWERED:
            self.learn_success(endpoint, service, outcome.response, took_ns)
        elif outcome.kind == OutcomeKind.NOT_RUN:
            misdirected = outcome.response.status == MISDIRECTED_REQUEST
            endpoint.eject_until(now + (EJECTION_MISDIRECTED_NS if misdirected else EJECTION_REFUSED_NS))
        elif outcome.recalled:
            self.metrics.count(RECALLED)
            endpoint.record_failure(now, self.view.is_sharded(service))
        elif outcome.at_connection_limit:
            endpoint.eject_until(now + EJECTION_CONNECTION_LIMIT_NS)
            self.metrics.count(AT_CONNECTION_LIMIT)
        else:
            # A machine that gives no sign is left for long, even if it alone owns its keys.
            endpoint.record_failure(now, self.view.is_sharded(service) and not outcome.unreachable)
            if outcome.unreachable:
                endpoint.pool.close()  # its idle connections are as dead

    def learn_load(self, endpoint: EndpointView, response: Response, now: int) -> None:
        """Take in the load that an endpoint reports: requests at work, in its queue, and a third count."""
        fields = (response.get("x-endpoint-load") or "").split(",")
        counts = [parse_count(text.strip()) for text in fields]
        if len(counts) != 3 or None in counts:
            return
        running, waiting, _ = counts
        endpoint.record_reported_load(running, waiting, now)
        self.load_aggregate.reported_load(endpoint.id, (running + waiting) / endpoint.concurrency_limit)

    def learn_success(self, endpoint: EndpointView, service: str, response: Response, took_ns: int) -> None:
        """Take in an answer: the endpoint is healthy, and its service takes so long."""
        endpoint.record_success()
        if self.view.is_sharded(service):
            self.load_aggregate.answer(service, len(response.body))
        usual_ns = self.average_latency_ns.get(service, took_ns)
        self.average_latency_ns[service] = (7 * usual_ns + took_ns) // 8
