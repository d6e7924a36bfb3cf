"""Hedged requests: if the first endpoint is slow, the request is also sent to a second one.

The first answer is used.  Only idempotent requests are hedged.  Attempts run in their own greenlets, so that
they can be cancelled when the client disconnects.

Source: J. Dean, L. A. Barroso, "The Tail at Scale", 2013.
"""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.queue import Empty, SimpleQueue

from flintreach.proxy.caller import Caller, ClientDisconnected
from flintreach.proxy.endpoint import EndpointView
from flintreach.proxy.exchange import Outcome
from flintreach.proxy.in_flight import DrainTimeout
from flintreach.proxy.outcome import OutcomeKind

# Time for which the slower of two attempts may continue after the other was answered: if it completes, its
# connection can be reused.
SLOWER_ATTEMPT_GRACE_S = 0.2


@dataclass(frozen=True, slots=True)
class HedgedOutcome:
    """The outcome of an attempt with its hedged attempts.

    Attributes:
        outcome: outcome of the first attempt that was answered; if none was, of the last one.
        hedges: number of hedged attempts, besides the first attempt.
    """

    outcome: Outcome
    hedges: int


class Hedge:
    """The concurrent attempts of one request.

    Args:
        caller: the client that waits for the response.
        attempt: makes one attempt at an endpoint and returns its outcome.
    """

    def __init__(self, caller: Caller, attempt: Callable[[EndpointView], Outcome]) -> None:
        self.caller = caller
        self.attempt = attempt
        # Outcomes of completed attempts; None wakes the waiting greenlet when the client disconnects.
        self.outcomes: SimpleQueue = SimpleQueue()
        self.attempts: list[gevent.Greenlet] = []

    def run(
        self,
        first: EndpointView,
        select_hedge_endpoint: Callable[[], EndpointView | None],
        delay_s: float | None,
    ) -> HedgedOutcome:
        """Make an attempt at `first`, and a hedged attempt if it has no outcome after `delay_s`.

        The hedged attempt does not cancel the first one, whose endpoint may be working and may still answer
        first.  Once one of them was answered, the other is cancelled after `SLOWER_ATTEMPT_GRACE_S`; when
        the client disconnects or the drain ends, both are cancelled at once.

        Args:
            first: the endpoint for the first attempt.
            select_hedge_endpoint: selects the endpoint for the hedged attempt, or returns None.
            delay_s: hedging delay; None for no hedged attempt.

        Raises:
            ClientDisconnected: the client has disconnected.
            DrainTimeout: the drain has ended.
        """
        self.start(first)
        try:
            with self.caller.calling_on_disconnect(self.wake):
                return self.wait_for_outcome(select_hedge_endpoint, delay_s)
        except (ClientDisconnected, DrainTimeout):
            gevent.killall(self.attempts, block=False)
            raise
        finally:
            if len(self.attempts) > 1:
                gevent.spawn_later(SLOWER_ATTEMPT_GRACE_S, gevent.killall, self.attempts, block=False)

    def wait_for_outcome(
        self, select_hedge_endpoint: Callable[[], EndpointView | None], delay_s: float | None
    ) -> HedgedOutcome:
        """Wait for the outcome of the first attempt; start a hedged attempt after `delay_s`."""
        try:
            return HedgedOutcome(self.next_outcome(delay_s), 0)
        except Empty:
            pass
        second = select_hedge_endpoint()
        if second is None:
            return HedgedOutcome(self.next_outcome(), 0)
        self.start(second)
        outcome = self.next_outcome()
        if outcome.kind != OutcomeKind.ANSWERED:
            outcome = self.next_outcome()
        return HedgedOutcome(outcome, 1)

    def start(self, endpoint: EndpointView) -> None:
        """Start an attempt at an endpoint in its own greenlet."""
        self.attempts.append(gevent.spawn(self.run_attempt, endpoint))

    def run_attempt(self, endpoint: EndpointView) -> None:
        """Make an attempt and queue its outcome, even if it raises: `next_outcome` waits for it."""
        outcome = Outcome(OutcomeKind.NO_VALID_RESPONSE)
        try:
            outcome = self.attempt(endpoint)
        except ClientDisconnected:
            pass  # `wake` is called for the disconnect
        finally:
            self.outcomes.put(outcome)

    def wake(self) -> None:
        """Wake the greenlet that waits for an outcome; called when the client disconnects."""
        self.outcomes.put(None)

    def next_outcome(self, wait_s: float | None = None) -> Outcome:
        """Wait for the next outcome of any attempt.

        Raises:
            Empty: no attempt ended within `wait_s`.
            ClientDisconnected: the client has disconnected.
        """
        outcome = self.outcomes.get(timeout=wait_s)
        self.caller.raise_if_disconnected()
        return outcome
