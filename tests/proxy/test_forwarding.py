"""Retries and hedged requests of a `Forwarder` whose attempts have scripted outcomes; no sockets."""

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
NO_VALID_RESPONSE = OutcomeKind.NO_VALID_RESPONSE
TIMEOUT = OutcomeKind.TIMEOUT

# Script entry: the attempt blocks until the test releases it, and then has no valid response.
HANG = "hang"


class ScriptedForwarder(Forwarder):
    """A forwarder whose attempts have scripted outcomes.

    Attributes:
        script: outcome of each attempt, in order.
        attempted: ids of the endpoints, in the order of the attempts.
        released: releases the attempts that hang.
    """

    def __init__(self, view: RoutingView, script: Iterable[str]) -> None:
        super().__init__(view, TimingBounds(retry_slack=100), Metrics(), LoadAggregate())
        self.script = [*script]
        self.attempted: list[str] = []
        self.released = Event()

    def attempt(self, request: Request, service: str, endpoint: EndpointView, deadline: int) -> Outcome:
        self.attempted.append(endpoint.id)
        kind = self.script.pop(0)
        if kind == HANG:
            self.released.wait()
            kind = NO_VALID_RESPONSE
        response = Response()
        response.status = 200 if kind == ANSWERED else 503
        response.headers = [["X-Postmark", endpoint.id]]
        return Outcome(kind, response if kind in (ANSWERED, NOT_RUN) else None)


def start_forwarding(
    script: Iterable[str], kind: str = "safe"
) -> tuple[gevent.Greenlet, ScriptedForwarder, Request]:
    """Start forwarding a request to one of five endpoints, on a route of the given kind."""
    endpoints = {f"e{number}": "n" for number in range(5)}
    view, _, _ = routing_view(configuration(kind), endpoints, clock=time.monotonic_ns)
    forwarder = ScriptedForwarder(view, script)
    request = Request("GET", "/x/1", [], b"", time.monotonic_ns(), {"host": "a"})
    return gevent.spawn(forwarder.forward, request), forwarder, request


def forward(script: Iterable[str], kind: str = "safe") -> tuple[ClientResponse, ScriptedForwarder]:
    """Forward a request whose attempts have scripted outcomes, and return the response."""
    forwarding, forwarder, _ = start_forwarding(script, kind)
    return forwarding.get(timeout=20), forwarder


class Retries(unittest.TestCase):
    def test_retries_and_final_status_by_outcome(self) -> None:
        """Cases: (route kind, outcome of each attempt, status, endpoints attempted, has Retry-After)."""
        cases = [
            ("safe", [ANSWERED], 200, 1, False),
            ("unsafe", [ANSWERED], 200, 1, False),
            ("safe", [NO_VALID_RESPONSE, NO_VALID_RESPONSE], 502, 2, False),
            ("unsafe", [NO_VALID_RESPONSE], 502, 1, False),
            ("unsafe", [TIMEOUT], 504, 1, False),
            ("safe", [TIMEOUT], 504, 1, False),
            ("unsafe", [NOT_RUN, NOT_RUN], 503, 2, True),
            ("unsafe", [UNSENT] * 4, 503, 4, True),
            ("safe", [NO_VALID_RESPONSE, ANSWERED], 200, 2, False),
            ("unsafe", [UNSENT, ANSWERED], 200, 2, False),
        ]
        for kind, outcomes, status, endpoints_attempted, has_retry_after in cases:
            answer, forwarder = forward(outcomes, kind)
            self.assertEqual(
                (answer.status, len(set(forwarder.attempted))),
                (status, endpoints_attempted),
                (kind, outcomes),
            )
            self.assertEqual(any(name == "Retry-After" for name, _ in answer.headers), has_retry_after)

    def test_a_request_that_may_have_run_never_gets_a_status_that_denies_it(self) -> None:
        for outcomes in (
            [NO_VALID_RESPONSE, NOT_RUN],
            [TIMEOUT, NOT_RUN],
            [NOT_RUN, NO_VALID_RESPONSE],
            [UNSENT, TIMEOUT],
        ):
            answer, _ = forward(outcomes, "unsafe")
            self.assertNotIn(answer.status, (408, 421, 429, 503), outcomes)


class HedgedRequests(unittest.TestCase):
    def test_a_hedged_request_is_sent_when_the_first_endpoint_is_silent(self) -> None:
        """Guards against requests that wait until their deadline for a machine that has lost power."""
        forwarding, forwarder, _ = start_forwarding([HANG, ANSWERED])
        self.assertEqual(forwarding.get(timeout=20).status, 200)
        self.assertEqual(len(set(forwarder.attempted)), 2)
        self.assertFalse(forwarder.released.is_set())  # the first attempt was not cancelled

    def test_a_non_idempotent_request_is_never_hedged(self) -> None:
        forwarding, forwarder, request = start_forwarding([HANG, ANSWERED], "unsafe")
        while not forwarder.attempted or time.monotonic_ns() < request.received_at + 100_000_000:
            gevent.sleep(0)  # 100 ms are four times the route's hedging delay
        forwarder.released.set()
        self.assertEqual((forwarding.get(timeout=20).status, len(forwarder.attempted)), (502, 1))


if __name__ == "__main__":
    unittest.main()
