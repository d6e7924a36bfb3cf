"""The path of one request: from what the client sent to its answer, by the decisions in `choice`."""

import random
import time
from dataclasses import dataclass, field

import gevent
from gevent.event import Event
from gevent.queue import Empty, SimpleQueue

from flintreach.bunks.plan import BUCKET, KEYS
from flintreach.proxy.caller import Caller, ClientLeft
from flintreach.proxy.choice import (
    FULL_FOR,
    KEY_WAIT,
    SECOND_SHARE,
    TABLE,
    Budget,
    choose,
    cold_pilots,
    idle_for,
    patience,
)
from flintreach.proxy.connection import IDLE
from flintreach.proxy.exchange import ANSWERED, BROKEN, NOT_RUN, UNSENT, Outcome, exchange
from flintreach.proxy.gate import WAIT, Gate
from flintreach.proxy.metrics import (
    ABANDONED,
    CLIENT_LEFT,
    LATE_ABANDON,
    SEND_TIME,
    SENT_FOR_NOBODY,
    VIEW_AGE,
    WORK_FOR_NOBODY,
    Metrics,
)
from flintreach.proxy.presence import Presence, stays
from flintreach.proxy.reply import number
from flintreach.proxy.view import RoutingView, slice_of
from flintreach.trail.tally import Tally

MS, SECOND = 1_000_000, 1_000_000_000
CONNECT_S = 0.6
LOSER_S = 0.2  # for which the slower of two tries may go on, to keep its connection, when one has answered
ABANDON_WITHIN = SECOND // 2  # of its client's end no repeatable request is at work any more
HOP = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "x-expect-endpoint",
    "x-time-left-ms",
}
# What a `Connection` header may not take away: by these it is told whose a request or an answer is.
END_TO_END = {"host", "x-try-id", "x-postmark", "x-shard-key"}
PAUSE = "0.1"  # seconds after which one that was turned away may come again
REASONS = {
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclass(slots=True)
class Request:
    """As the client sent it; `came`: steady nanoseconds when it had been read."""

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b""
    came: int = 0
    low: dict[str, str] = field(default_factory=dict)  # by lower name
    connections: list = field(default_factory=list)  # connections that it went out on
    caller: Caller = field(default_factory=Caller)  # who waits for its answer
    repeatable: bool = False  # by its route


@dataclass(slots=True)
class Answer:
    status: int
    reason: str = ""
    headers: list = field(default_factory=list)
    body: bytes = b""
    close: bool = False


def hops(connection: str) -> set[str]:
    """Headers that concern one connection only, with those that its `Connection` header names."""
    return HOP | {name.strip().lower() for name in connection.split(",")} - END_TO_END


def own(status: int, again: str | None = None, why: str = "") -> Answer:
    """An answer of the system's own."""
    headers = [("Retry-After", again)] if again else []
    return Answer(status, REASONS.get(status, "Error"), headers, why.encode())


class Carrier:
    def __init__(self, view: RoutingView, bounds, metrics: Metrics, tally: Tally, mbps: float = 0.0):
        self.view, self.bounds, self.metrics, self.tally = view, bounds, metrics, tally
        self.presence = Presence(view, metrics)
        self.budgets: dict[str, Budget] = {}
        self.gate = Gate(mbps)
        self.work: dict[str, int] = {}  # service -> how long its requests take, smoothed

    def budget(self, service: str) -> Budget:
        if service not in self.budgets:
            b = self.bounds
            self.budgets[service] = Budget(b.retry_ratio, b.retry_window_s, b.retry_slack)
        return self.budgets[service]

    def head(self, request: Request, endpoint, left: int) -> bytes:
        dropped = hops(request.low.get("connection", ""))
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in request.headers if name.lower() not in dropped]
        lines += [f"X-Time-Left-Ms: {max(1, left // MS)}", f"X-Expect-Endpoint: {endpoint.id}"]
        if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            lines.append(f"Content-Length: {len(request.body)}")
        return "\r\n".join([*lines, "", ""]).encode("latin-1")

    def draw_service(self, route) -> str:
        """The service, drawn by weight where the route has several."""
        if len(route.services) == 1:
            return route.services[0][0]
        draw = random.random() * sum(weight for _, weight in route.services)
        for name, weight in route.services:
            draw -= weight
            if draw < 0:
                break
        return name

    def route(self, request: Request):
        host = request.low.get("host", "").rpartition(":")[0] or request.low.get("host", "")
        return self.view.routes.find(host, request.target.partition("?")[0])

    def alike(self, request: Request) -> bool:
        """Whether it may be carried beside others of its connection."""
        route = self.route(request) if self.view.routes else None
        return route is not None and route.repeatable

    def carry(self, request: Request) -> Answer:
        """The answer to a request.  Raises ClientLeft once nobody waits for it, with nothing left at work
        that may be broken off."""
        try:
            return self.answer(request)
        except ClientLeft:
            self.metrics.count(CLIENT_LEFT)
            raise

    def answer(self, request: Request) -> Answer:
        if self.view.routes is None:
            return own(503, PAUSE)
        route = self.route(request)
        if route is None:
            self.metrics.count("no_route")
            return own(404)
        request.repeatable = route.repeatable
        service, now = self.draw_service(route), time.monotonic_ns()
        wait = number(request.low.get("x-time-left-ms", ""))
        until = request.came + min(route.deadline, route.deadline if wait is None else wait * MS)
        self.tally.request(slice_of(route, service))
        budget = self.budget(service)
        budget.request(now)
        key = number(request.low.get("x-shard-key", ""))
        key = key if key is not None and key < KEYS else None
        if key is not None and self.view.sharded(service):
            self.tally.key(service, key // BUCKET)
        size = self.gate.size(route.name, route.kind == "outbound_post")
        if not size:
            return self.tries(request, route, service, key, until, budget)
        if not self.take_turn(request.caller, size, min(WAIT * route.aim, until - now)):
            self.metrics.count("no turn")
            return own(503, PAUSE)
        try:
            return self.tries(request, route, service, key, until, budget)
        finally:
            self.gate.leave(size)

    def take_turn(self, caller: Caller, size: int, patience: float) -> bool:
        """Wait for the turn of a large answer, `patience` nanoseconds at most; whether it has come.

        Raises ClientLeft where it has not come and nobody waits for it any more.
        """
        turn = Event()
        wake = turn.set
        with caller.waking(wake):
            if self.gate.enter(size, wake):
                return True
            turn.wait(patience / SECOND)
        if not self.gate.give_up(wake):
            return True
        caller.check()
        return False

    def tries(self, request, route, service, key, until, budget) -> Answer:
        view, tried, sent, dials, status = self.view, set(), 0, 0, 503
        while True:
            request.caller.check()
            now = time.monotonic_ns()
            if now >= until:
                return own(504 if sent else 503, None if sent else PAUSE)
            endpoint = self.choose(route, service, key, tried, now)
            if endpoint is None and view.sharded(service) and now < request.came + int(KEY_WAIT * route.aim):
                gevent.sleep(0.02)  # its keys are between two holders
                tried.clear()
                continue
            if endpoint is None:
                self.metrics.count("nowhere")
                return own(status, PAUSE if status == 503 else None)
            if sent and not budget.may(now, view.here.fronts):
                self.metrics.count("budget")
                return own(status, PAUSE if status == 503 else None)
            if sent:
                budget.spend(now)
                self.metrics.count("again")
            tried.add(endpoint.id)
            if route.repeatable:
                second = sent + 1 < route.tries
                outcome, more = self.race(
                    request, route, service, key, endpoint, tried, until, budget, second
                )
                sent += more
            else:
                outcome = self.attempt(request, service, endpoint, until)
            if outcome.kind == ANSWERED:
                self.gate.saw(route.name, len(outcome.message.body))
                return self.passed(outcome.message, request)
            self.metrics.count(outcome.kind)
            sent, dials = sent + (outcome.kind != UNSENT), dials + (outcome.kind == UNSENT)
            step, status = TABLE[outcome.kind, route.repeatable]
            if step == "end" or sent >= route.tries or dials > 3:
                return own(status, PAUSE if status == 503 else None)

    def choose(self, route, service, key, tried, now):
        view, depot = self.view, self.view.routes.depots.get(service)
        rate, b, fronts = depot.cold_per_s if depot else 0.0, self.bounds, view.here.fronts
        # Keys have one holder: all must be able to reach it, even if it is cold.
        pilots = fronts if view.sharded(service) else cold_pilots(rate, b.cold_excess, b.cold_slack, fronts)
        return choose(
            view.able(route, service, key, tried),
            view.here,
            route.aim,
            self.usual(route, service),
            now,
            rate,
            pilots,
            random.random(),
            view.tables.get(slice_of(route, service)),
        )

    def usual(self, route, service) -> int:
        return self.work.get(service, route.aim // 8)

    def attempt(self, request, service, endpoint, until) -> Outcome:
        """One request to one endpoint, and what it tells of it."""
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
            head = self.head(request, endpoint, until - now)
            id = request.low.get("x-try-id", "")
            depot = self.view.routes.depots.get(service)
            idle = IDLE
            if depot:
                idle = idle_for(endpoint, self.view.here, depot.berth_cap, IDLE, depot.sharded)
            outcome = exchange(
                endpoint.pool,
                head,
                request.body,
                id,
                until,
                CONNECT_S,
                idle,
                lambda: self.may_go(request, endpoint),
                request.connections,
                lambda: self.went_out(request, endpoint, now),
                lambda: self.view.arrive_by(endpoint),
            )
            if outcome.kind == ANSWERED and stays(outcome.message):
                endpoint.present_at = max(endpoint.present_at, now)
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

    def may_go(self, request: Request, endpoint) -> bool:
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

    def went_out(self, request: Request, endpoint, chosen_at: int) -> None:
        """The kernel has taken a whole request to an endpoint that was chosen at `chosen_at` (ns)."""
        now = time.monotonic_ns()
        endpoint.went_out_at = now
        left_at = request.caller.left_at
        if left_at is not None and left_at < chosen_at:
            self.metrics.count(SENT_FOR_NOBODY)
        self.metrics.observe(SEND_TIME, now - chosen_at)
        self.metrics.observe(VIEW_AGE, now - self.view.confirmed_at())

    def told_to(self, ends: SimpleQueue, *attempt) -> None:
        outcome = Outcome(BROKEN)
        try:
            outcome = self.attempt(*attempt)
        except ClientLeft:
            pass  # the one that reads the end has been told by the caller itself
        finally:
            ends.put(outcome)

    def race(
        self, request, route, service, key, endpoint, tried, until, budget, second
    ) -> tuple[Outcome, int]:
        """A try of a request that may be repeated, and how many were sent beside it.

        Where the first endpoint stays silent, and `second` allows it, another one is asked beside it.  The
        first is not broken off for that: its endpoint may be at work, and its answer may still be the first.
        When one has answered, the other is soon broken off; both are at once when the client leaves; then
        ClientLeft is raised.
        """
        ends, caller = SimpleQueue(), request.caller
        tries = [gevent.spawn(self.told_to, ends, request, service, endpoint, until)]
        try:
            with caller.waking(lambda: ends.put(None)):
                wait = patience(route.aim, self.usual(route, service)) / SECOND if second else None
                try:
                    return self.next_end(ends, caller, wait), 0
                except Empty:
                    pass
                now = time.monotonic_ns()
                other = self.choose(route, service, key, tried, now)
                if other is None or not budget.may(now, self.view.here.fronts, SECOND_SHARE):
                    return self.next_end(ends, caller), 0
                budget.spend(now)
                self.metrics.count("beside")
                tried.add(other.id)
                tries.append(gevent.spawn(self.told_to, ends, request, service, other, until))
                first = self.next_end(ends, caller)
                return (first if first.kind == ANSWERED else self.next_end(ends, caller)), 1
        except ClientLeft:
            gevent.killall(tries, block=False)
            raise
        finally:
            if len(tries) > 1:
                gevent.spawn_later(LOSER_S, gevent.killall, tries, block=False)

    def next_end(self, ends: SimpleQueue, caller: Caller, wait: float | None = None) -> Outcome:
        """The next outcome of a race.  Raises Empty after `wait` seconds, ClientLeft once nobody waits."""
        outcome = ends.get(timeout=wait)
        caller.check()
        return outcome

    def judge(self, endpoint, service, outcome, now, took) -> None:
        message = outcome.message
        if message is not None:
            load = [number(part.strip()) for part in (message.get("x-endpoint-load") or "").split(",")]
            if len(load) == 3 and None not in load:
                endpoint.hears(load[0], load[1], now)
                self.tally.told(endpoint.id, (load[0] + load[1]) / endpoint.berths)
        if outcome.kind == ANSWERED:
            endpoint.well()
            if self.view.sharded(service):
                self.tally.answer(service, len(message.body))
            self.work[service] = (7 * self.work.get(service, took) + took) // 8
        elif outcome.kind == NOT_RUN:
            if message.status == 421:
                endpoint.shun_until = max(endpoint.shun_until, now + 300 * MS)
            else:
                endpoint.shun_until = max(endpoint.shun_until, now + 50 * MS)
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

    def passed(self, message, request) -> Answer:
        dropped = hops(message.get("connection") or "")
        if message.status == 304 or request.method == "HEAD" and message.status != 204:
            dropped -= {"content-length"}  # of the body that a GET would have had
        headers = [(name, value) for name, value in message.headers if name.lower() not in dropped]
        if request.method != "HEAD" and message.status not in (204, 304):
            headers.append(("Content-Length", str(len(message.body))))
        return Answer(message.status, message.reason, headers, bytes(message.body))
