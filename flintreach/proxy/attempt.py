"""A single attempt of a request at one endpoint, and the state of the endpoint inferred from its outcome.

`forwarding` makes attempts.  Each is one `exchange`, sent only while `view` holds a lease on the endpoint.

Times are nanoseconds of the process's monotonic clock, unless a name ends in `_s`.
"""

import time

import gevent

from flintreach.common.memory_budget import MemoryBudget
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

# Limit for establishing a connection to an endpoint.
CONNECT_TIMEOUT_S = 0.6

# An attempt of an idempotent request must end within this time after its client has disconnected.
CANCEL_WITHIN_NS = NS_PER_S // 2

# Ejection time after 421: the address belongs to another endpoint, or the endpoint does not own the key.
EJECTION_MISDIRECTED_NS = 300 * NS_PER_MS

# Ejection time of an endpoint that was too busy to accept a request.
EJECTION_REFUSED_NS = 50 * NS_PER_MS


class EndpointClient:
    """Makes attempts at endpoints, and updates the endpoints' state and load from the outcomes.

    Args:
        view: leases on endpoints, and the configuration of their services.
        metrics: receives event counts and durations.
        load_aggregate: collects the loads that are reported to the controllers.
        response_memory: budget for long bodies of responses.

    Attributes:
        average_latency_ns: service -> moving average of the duration of its answered attempts.
    """

    def __init__(
        self,
        view: RoutingView,
        metrics: Metrics,
        load_aggregate: LoadAggregate,
        response_memory: MemoryBudget,
    ) -> None:
        self.view = view
        self.metrics = metrics
        self.load_aggregate = load_aggregate
        self.response_memory = response_memory
        self.health_checker = HealthChecker(view, metrics, response_memory)
        self.average_latency_ns: dict[str, int] = {}

    def attempt(self, request: Request, service: str, endpoint: EndpointView, deadline: int) -> Outcome:
        """Send a request to one endpoint and wait for the outcome.

        Args:
            request: the request.
            service: the endpoint's service.
            endpoint: the endpoint to send it to.
            deadline: time after which the client no longer waits for the response.

        Raises:
            ClientDisconnected: the client disconnected before anything was sent.
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
            self.record_work_after_disconnect(request, began_at, ended_at)
            endpoint.end_request(outcome is not None and outcome.response is not None, ended_at)
            if outcome is not None:
                self.record_outcome(endpoint, service, outcome, ended_at, ended_at - began_at)

    def send(
        self, request: Request, service: str, endpoint: EndpointView, deadline: int, began_at: int
    ) -> Outcome:
        """Run the exchange of an attempt.

        An answer renews the endpoint's lease as of `began_at`, unless it announces the endpoint's departure.
        """
        head = endpoint_request_head(request, endpoint.id, deadline - began_at)
        request_id = request.headers_by_name.get("x-try-id", "")
        options = self.exchange_options(request, service, endpoint, deadline, began_at)
        outcome = exchange(endpoint.pool, head, request.body, request_id, options, request.connections)
        if outcome.kind == OutcomeKind.ANSWERED and confirms_presence(outcome.response):
            endpoint.confirm_present(began_at)
        return outcome

    def exchange_options(
        self, request: Request, service: str, endpoint: EndpointView, deadline: int, began_at: int
    ) -> ExchangeOptions:
        """The limits and callbacks for the exchange of an attempt."""
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
            memory=self.response_memory,
        )

    def may_send(self, request: Request, endpoint: EndpointView) -> bool:
        """The last check before a request is sent: whether its client is connected and the lease is valid.

        Polls the kernel, as the process may have been suspended since the event loop last reported events.

        Raises:
            ClientDisconnected: the client has disconnected.
        """
        request.caller.poll()
        request.caller.raise_if_disconnected()
        return self.view.may_send(endpoint)

    def record_work_after_disconnect(self, request: Request, began_at: int, ended_at: int) -> None:
        """Record how long an attempt of an idempotent request continued after its client disconnected."""
        disconnected_at = request.caller.disconnected_at
        if disconnected_at is None or not request.idempotent:
            return
        wasted_ns = ended_at - max(began_at, disconnected_at)
        self.metrics.observe(WORK_AFTER_DISCONNECT, wasted_ns)
        if wasted_ns > CANCEL_WITHIN_NS:
            self.metrics.count(LATE_CANCELLATION)

    def record_written(self, request: Request, endpoint: EndpointView, selected_at: int) -> None:
        """Record that the kernel has accepted a whole request for an endpoint selected at `selected_at`."""
        now = time.monotonic_ns()
        endpoint.written_at = now
        disconnected_at = request.caller.disconnected_at
        if disconnected_at is not None and disconnected_at < selected_at:
            self.metrics.count(SENT_AFTER_DISCONNECT)
        self.metrics.observe(SEND_TIME, now - selected_at)
        self.metrics.observe(VIEW_AGE, now - self.view.confirmed_at())

    def record_outcome(
        self, endpoint: EndpointView, service: str, outcome: Outcome, now: int, took_ns: int
    ) -> None:
        """Update the endpoint's health and load, and the average latency, from the outcome of an attempt.

        Args:
            endpoint: the endpoint the attempt was made at.
            service: the endpoint's service.
            outcome: the outcome of the attempt.
            now: when the attempt ended.
            took_ns: its duration, from the selection of the endpoint.
        """
        if outcome.response is not None:
            self.record_reported_load(endpoint, outcome.response, now)
        if outcome.kind == OutcomeKind.ANSWERED:
            self.record_success(endpoint, service, outcome.response, took_ns)
        elif outcome.kind == OutcomeKind.NOT_RUN:
            misdirected = outcome.response.status == MISDIRECTED_REQUEST
            endpoint.eject_until(now + (EJECTION_MISDIRECTED_NS if misdirected else EJECTION_REFUSED_NS))
        elif outcome.missed_arrival_limit:
            self.metrics.count(RECALLED)
            endpoint.record_failure(now, self.view.is_sharded(service))
        elif outcome.at_connection_limit:
            endpoint.eject_until(now + EJECTION_CONNECTION_LIMIT_NS)
            self.metrics.count(AT_CONNECTION_LIMIT)
        else:
            # A machine that does not respond at all is ejected for long, even if it is the only owner of its
            # keys.
            endpoint.record_failure(now, self.view.is_sharded(service) and not outcome.unreachable)
            if outcome.unreachable:
                endpoint.pool.close()  # its idle connections cannot work either

    def record_reported_load(self, endpoint: EndpointView, response: Response, now: int) -> None:
        """Record the running and queued requests that an endpoint reports in `X-Endpoint-Load`.

        The header's third count is not used.  A malformed header is ignored.
        """
        fields = (response.get("x-endpoint-load") or "").split(",")
        counts = [parse_count(text.strip()) for text in fields]
        if len(counts) != 3 or None in counts:
            return
        running, waiting, _ = counts
        endpoint.record_reported_load(running, waiting, now)
        self.load_aggregate.add_endpoint_load(endpoint.id, (running + waiting) / endpoint.concurrency_limit)

    def record_success(self, endpoint: EndpointView, service: str, response: Response, took_ns: int) -> None:
        """Record an answer: the endpoint is healthy, and `took_ns` is a sample of its latency."""
        endpoint.record_success()
        if self.view.is_sharded(service):
            self.load_aggregate.count_response_bytes(service, len(response.body))
        previous_ns = self.average_latency_ns.get(service, took_ns)
        self.average_latency_ns[service] = (7 * previous_ns + took_ns) // 8
