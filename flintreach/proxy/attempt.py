"""One try of a request at one endpoint, and what it tells of the endpoint."""

import time

import gevent

from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.proxy.choice import FULL_FOR, Endpoint, idle_for
from flintreach.proxy.connection import IDLE
from flintreach.proxy.exchange import ANSWERED, NOT_RUN, UNSENT, ExchangeTerms, Outcome, exchange
from flintreach.proxy.metrics import (
    ABANDONED,
    LATE_ABANDON,
    SEND_TIME,
    SENT_FOR_NOBODY,
    VIEW_AGE,
    WORK_FOR_NOBODY,
    Metrics,
)
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

    def attempt(self, request: Request, service: str, endpoint: Endpoint, until: int) -> Outcome:
        """Send a request to one endpoint; nobody waits after `until` (steady ns).

        Raises ClientLeft where its client has left before anything went out.
        """
        if not self.presence.confirmed(endpoint, until):
            self.metrics.count("unconfirmed")
            endpoint.fails(time.monotonic_ns(), self.view.sharded(service))
            return Outcome(UNSENT)
        now = time.monotonic_ns()
        if endpoint.cold_until > now:
            endpoint.sent_cold = now
        endpoint.sends(now)
        outcome = None
        try:
            head = endpoint_head(request, endpoint.id, until - now)
            id = request.low.get("x-try-id", "")
            terms = self.terms(request, service, endpoint, until, now)
            outcome = exchange(endpoint.pool, head, request.body, id, terms, request.connections)
            if outcome.kind == ANSWERED and stays(outcome.message):
                endpoint.confirm_present(now)
            return outcome
        except gevent.GreenletExit:
            self.metrics.count(ABANDONED)
            raise
        finally:
            after = time.monotonic_ns()
            self.note_work_for_nobody(request, now, after)
            endpoint.ends(outcome is not None and outcome.message is not None, after)
            if outcome is not None:
                self.judge(endpoint, service, outcome, after, after - now)

    def terms(
        self, request: Request, service: str, endpoint: Endpoint, until: int, now: int
    ) -> ExchangeTerms:
        idle, service_config = IDLE, self.view.routes.service_configs.get(service)
        if service_config:
            idle = idle_for(
                endpoint, self.view.here, service_config.connection_limit, IDLE, service_config.sharded
            )
        return ExchangeTerms(
            until,
            CONNECT_S,
            idle,
            lambda: self.may_go(request, endpoint),
            lambda: self.went_out(request, endpoint, now),
            lambda: self.view.arrive_by(endpoint),
        )

    def may_go(self, request: Request, endpoint: Endpoint) -> bool:
        """Asked last: whether a request may go out.  Raises ClientLeft where nobody waits for it.

        The kernel is asked, as this process may have stood still since the event loop last told of anything.
        """
        request.caller.look()
        request.caller.check()
        return self.view.takes(endpoint)

    def note_work_for_nobody(self, request: Request, began: int, ended: int) -> None:
        """Tell for how long a try of a repeatable request went on after its client had left."""
        left_at = request.caller.left_at
        if left_at is None or not request.repeatable:
            return
        time_for_nobody = ended - max(began, left_at)
        self.metrics.observe(WORK_FOR_NOBODY, time_for_nobody)
        if time_for_nobody > ABANDON_WITHIN:
            self.metrics.count(LATE_ABANDON)

    def went_out(self, request: Request, endpoint: Endpoint, chosen_at: int) -> None:
        """The kernel has taken a whole request to an endpoint that was chosen at `chosen_at` (ns)."""
        now = time.monotonic_ns()
        endpoint.went_out_at = now
        left_at = request.caller.left_at
        if left_at is not None and left_at < chosen_at:
            self.metrics.count(SENT_FOR_NOBODY)
        self.metrics.observe(SEND_TIME, now - chosen_at)
        self.metrics.observe(VIEW_AGE, now - self.view.confirmed_at())

    def judge(self, endpoint: Endpoint, service: str, outcome: Outcome, now: int, took: int) -> None:
        """Learn from an outcome that came at `now`, `took` nanoseconds after the endpoint was chosen."""
        message = outcome.message
        if message is not None:
            load = [number(part.strip()) for part in (message.get("x-endpoint-load") or "").split(",")]
            if len(load) == 3 and None not in load:
                endpoint.hears(load[0], load[1], now)
                self.load_aggregate.reported_load(endpoint.id, (load[0] + load[1]) / endpoint.berths)
        if outcome.kind == ANSWERED:
            endpoint.well()
            if self.view.sharded(service):
                self.load_aggregate.answer(service, len(message.body))
            self.work[service] = (7 * self.work.get(service, took) + took) // 8
        elif outcome.kind == NOT_RUN:
            if message.status == 421:
                endpoint.shun_until = max(endpoint.shun_until, now + MISDIRECTED_FOR)
            else:
                endpoint.shun_until = max(endpoint.shun_until, now + REFUSED_FOR)
        elif outcome.recalled:
            self.metrics.count("recalled")
            endpoint.fails(now, self.view.sharded(service))
        elif outcome.full:
            endpoint.shun_until = max(endpoint.shun_until, now + FULL_FOR)
            self.metrics.count("full")
        else:
            endpoint.fails(now, self.view.sharded(service) and not outcome.dark)
            if outcome.dark:  # its idle connections are as dead
                endpoint.pool.close()
