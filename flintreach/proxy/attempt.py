"""One try of a request at one endpoint, and what it tells of the endpoint."""

import time

import gevent

from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.proxy.balancing import EJECTION_FULL_NS, idle_time_ns
from flintreach.proxy.connection import IDLE
from flintreach.proxy.endpoint import EndpointView
from flintreach.proxy.exchange import ExchangeTerms, Outcome, exchange
from flintreach.proxy.metrics import (
    ABANDONED,
    LATE_ABANDON,
    SEND_TIME,
    SENT_FOR_NOBODY,
    VIEW_AGE,
    WORK_FOR_NOBODY,
    Metrics,
)
from flintreach.proxy.outcome import OutcomeKind
from flintreach.proxy.presence import Presence, stays
from flintreach.proxy.reply import number
from flintreach.proxy.request import Request, endpoint_head
from flintreach.proxy.view import RoutingView

MS, SECOND = 1_000_000, 1_000_000_000
CONNECT_S = 0.6
ABANDON_WITHIN = SECOND // 2  # of its client's end no repeatable request is at work any more
MISDIRECTED_FOR, REFUSED_FOR = (
    300 * MS,
    50 * MS,
)  # out of use: it isn't the one, or does not hold the key; busy


class EndpointClient:
    """Sends requests to endpoints.  `work`: service -> how long its requests take, smoothed (ns)."""

    def __init__(self, view: RoutingView, metrics: Metrics, load_aggregate: LoadAggregate):
        self.view, self.metrics, self.load_aggregate = view, metrics, load_aggregate
        self.presence = Presence(view, metrics)
        self.work: dict[str, int] = {}

    def attempt(self, request: Request, service: str, endpoint: EndpointView, until: int) -> Outcome:
        """Send a request to one endpoint; nobody waits after `until` (steady ns).

        Raises ClientLeft where its client has left before anything went out.
        """
        if not self.presence.confirmed(endpoint, until):
            self.metrics.count("unconfirmed")
            endpoint.record_failure(time.monotonic_ns(), self.view.is_sharded(service))
            return Outcome(OutcomeKind.UNSENT)
        now = time.monotonic_ns()
        if endpoint.is_warming_up(now):
            endpoint.warm_up_sent_at = now
        endpoint.begin_request(now)
        outcome = None
        try:
            head = endpoint_head(request, endpoint.id, until - now)
            id = request.low.get("x-try-id", "")
            terms = self.terms(request, service, endpoint, until, now)
            outcome = exchange(endpoint.pool, head, request.body, id, terms, request.connections)
            if outcome.kind == OutcomeKind.ANSWERED and stays(outcome.message):
                endpoint.confirm_present(now)
            return outcome
        except gevent.GreenletExit:
            self.metrics.count(ABANDONED)
            raise
        finally:
            after = time.monotonic_ns()
            self.note_work_for_nobody(request, now, after)
            endpoint.end_request(outcome is not None and outcome.message is not None, after)
            if outcome is not None:
                self.judge(endpoint, service, outcome, after, after - now)

    def terms(
        self, request: Request, service: str, endpoint: EndpointView, until: int, now: int
    ) -> ExchangeTerms:
        idle, service_config = IDLE, self.view.routes.service_configs.get(service)
        if service_config:
            idle = idle_time_ns(
                endpoint, self.view.position, service_config.berth_cap, IDLE, service_config.sharded
            )
        return ExchangeTerms(
            until,
            CONNECT_S,
            idle,
            lambda: self.may_go(request, endpoint),
            lambda: self.went_out(request, endpoint, now),
            lambda: self.view.arrive_by(endpoint),
        )

    def may_go(self, request: Request, endpoint: EndpointView) -> bool:
        """Asked last: whether a request may go out.  Raises ClientLeft where nobody waits for it.

        The kernel is asked, as this process may have stood still since the event loop last told of anything.
        """
        request.caller.look()
        request.caller.check()
        return self.view.may_send(endpoint)

    def note_work_for_nobody(self, request: Request, began: int, ended: int) -> None:
        """Tell for how long a try of a repeatable request went on after its client had left."""
        left_at = request.caller.left_at
        if left_at is None or not request.repeatable:
            return
        time_for_nobody = ended - max(began, left_at)
        self.metrics.observe(WORK_FOR_NOBODY, time_for_nobody)
        if time_for_nobody > ABANDON_WITHIN:
            self.metrics.count(LATE_ABANDON)

    def went_out(self, request: Request, endpoint: EndpointView, chosen_at: int) -> None:
        """The kernel has taken a whole request to an endpoint that was chosen at `chosen_at` (ns)."""
        now = time.monotonic_ns()
        endpoint.written_at = now
        left_at = request.caller.left_at
        if left_at is not None and left_at < chosen_at:
            self.metrics.count(SENT_FOR_NOBODY)
        self.metrics.observe(SEND_TIME, now - chosen_at)
        self.metrics.observe(VIEW_AGE, now - self.view.confirmed_at())

    def judge(self, endpoint: EndpointView, service: str, outcome: Outcome, now: int, took: int) -> None:
        """Learn from an outcome that came at `now`, `took` nanoseconds after the endpoint was chosen."""
        message = outcome.message
        if message is not None:
            load = [number(part.strip()) for part in (message.get("x-endpoint-load") or "").split(",")]
            if len(load) == 3 and None not in load:
                endpoint.report_load(load[0], load[1], now)
                self.load_aggregate.told(endpoint.id, (load[0] + load[1]) / endpoint.concurrency_limit)
        if outcome.kind == OutcomeKind.ANSWERED:
            endpoint.record_success()
            if self.view.is_sharded(service):
                self.load_aggregate.answer(service, len(message.body))
            self.work[service] = (7 * self.work.get(service, took) + took) // 8
        elif outcome.kind == OutcomeKind.NOT_RUN:
            if message.status == 421:
                endpoint.eject_until(now + MISDIRECTED_FOR)
            else:
                endpoint.eject_until(now + REFUSED_FOR)
        elif outcome.recalled:
            self.metrics.count("recalled")
            endpoint.record_failure(now, self.view.is_sharded(service))
        elif outcome.full:
            endpoint.eject_until(now + EJECTION_FULL_NS)
            self.metrics.count("full")
        else:
            endpoint.record_failure(now, self.view.is_sharded(service) and not outcome.dark)
            if outcome.dark:  # its idle connections are as dead
                endpoint.pool.close()
