"""Forwarding to scripted endpoints: what is retried, hedged, or neither; no sockets."""

import time
import unittest
from collections.abc import Iterable

import gevent
from gevent.event import Event

from flintreach.config.settings import TimingBounds
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.proxy.endpoint import EndpointView
from flintreach.proxy.exchange import Outcome
from flintreach.proxy.forwarding import Forwarder
from flintreach.proxy.metrics import Metrics
from flintreach.proxy.outcome import OutcomeKind
from flintreach.proxy.request import ClientResponse, Request
from flintreach.proxy.response import Response
from flintreach.proxy.view import RoutingView
from tests.proxy.support import configuration, routing_view

ANSWERED = OutcomeKind.ANSWERED
UNSENT = OutcomeKind.UNSENT
NOT_RUN = OutcomeKind.NOT_RUN
BROKEN = OutcomeKind.NO_VALID_RESPONSE
TIMEOUT = OutcomeKind.TIMEOUT

# In a script: the attempt waits until the test lets it go, and is broken then.
HANG = "hang"


class ScriptedForwarder(Forwarder):
    """Its attempts end as a script says.

    Attributes:
        script: what comes of each attempt, in their order.
        attempted: ids of the endpoints, in the order of the attempts.
        let_go: ends attempts that hang.
    """

    def __init__(self, view: RoutingView, script: Iterable[str]) -> None:
        super().__init__(view, TimingBounds(retry_slack=100), Metrics(), LoadAggregate())
        self.script = [*script]
        self.attempted: list[str] = []
        self.let_go = Event()

    def attempt(self, request: Request, service: str, endpoint: EndpointView, deadline: int) -> Outcome:
        self.attempted.append(endpoint.id)
        kind = self.script.pop(0)
        if kind == HANG:
            self.let_go.wait()
            kind = BROKEN
        response = Response()
        response.status = 200 if kind == ANSWERED else 503
        response.headers = [["X-Postmark", endpoint.id]]
        return Outcome(kind, response if kind in (ANSWERED, NOT_RUN) else None)


def begin(script: Iterable[str], kind: str = "safe") -> tuple[gevent.Greenlet, ScriptedForwarder, Request]:
    """A request that is being forwarded to one of five endpoints; `kind`: of its route."""
    endpoints = {f"e{number}": "n" for number in range(5)}
    view, _, _ = routing_view(configuration(kind), endpoints, clock=time.monotonic_ns)
    forwarder = ScriptedForwarder(view, script)
    request = Request("GET", "/x/1", [], b"", time.monotonic_ns(), {"host": "a"})
    return gevent.spawn(forwarder.forward, request), forwarder, request


def forward(script: Iterable[str], kind: str = "safe") -> tuple[ClientResponse, ScriptedForwarder]:
    """The answer to a request whose attempts end as the script says."""
    forwarding, forwarder, _ = begin(script, kind)
    return forwarding.get(timeout=20), forwarder


class Retries(unittest.TestCase):
    def test_what_follows_each_outcome(self) -> None:
        """(kind of route, outcome of each attempt, status, endpoints asked, whether a time to come back)"""
        cases = [
            ("safe", [ANSWERED], 200, 1, False),
            ("unsafe", [ANSWERED], 200, 1, False),
            ("safe", [BROKEN, BROKEN], 502, 2, False),
            ("unsafe", [BROKEN], 502, 1, False),
            ("unsafe", [TIMEOUT], 504, 1, False),
            ("safe", [TIMEOUT], 504, 1, False),
            ("unsafe", [NOT_RUN, NOT_RUN], 503, 2, True),
            ("unsafe", [UNSENT] * 4, 503, 4, True),
            ("safe", [BROKEN, ANSWERED], 200, 2, False),
            ("unsafe", [UNSENT, ANSWERED], 200, 2, False),
        ]
        for kind, outcomes, status, asked, may_come_back in cases:
            answer, forwarder = forward(outcomes, kind)
            self.assertEqual(
                (answer.status, len(set(forwarder.attempted))), (status, asked), (kind, outcomes)
            )
            self.assertEqual(any(name == "Retry-After" for name, _ in answer.headers), may_come_back)

    def test_a_promise_is_never_given_for_what_may_have_run(self) -> None:
        for outcomes in ([BROKEN, NOT_RUN], [TIMEOUT, NOT_RUN], [NOT_RUN, BROKEN], [UNSENT, TIMEOUT]):
            answer, _ = forward(outcomes, "unsafe")
            self.assertNotIn(answer.status, (408, 421, 429, 503), outcomes)


class HedgedRequests(unittest.TestCase):
    def test_beside_a_silent_endpoint_a_second_one_is_asked(self) -> None:
        """Of an incident: requests waited out their deadline at machines without power."""
        forwarding, forwarder, _ = begin([HANG, ANSWERED])
        self.assertEqual(forwarding.get(timeout=20).status, 200)
        self.assertEqual(len(set(forwarder.attempted)), 2)
        self.assertFalse(forwarder.let_go.is_set())  # the first was not cancelled for it

    def test_a_request_that_must_not_run_twice_is_never_hedged(self) -> None:
        forwarding, forwarder, request = begin([HANG, ANSWERED], "unsafe")
        while not forwarder.attempted or time.monotonic_ns() < request.received_at + 100_000_000:
            gevent.sleep(0)  # the hedging delay of its latency target is a quarter of that
        forwarder.let_go.set()
        self.assertEqual((forwarding.get(timeout=20).status, len(forwarder.attempted)), (502, 1))


if __name__ == "__main__":
    unittest.main()
