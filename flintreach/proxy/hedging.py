"""Hedged requests: a second endpoint is asked where the first stays silent, and the first answer counts.

For idempotent requests.  Attempts run in greenlets of their own, so that they can be cancelled when nobody
waits for them any more.

Source: J. Dean, L. A. Barroso, "The Tail at Scale", 2013.
"""

from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.queue import Empty, SimpleQueue

from flintreach.proxy.caller import Caller, ClientDisconnected
from flintreach.proxy.endpoint import EndpointView
from flintreach.proxy.exchange import Outcome
from flintreach.proxy.outcome import OutcomeKind

# For so long the slower of two attempts may go on when one was answered, to keep its connection.
LOSER_GRACE_S = 0.2


@dataclass(frozen=True, slots=True)
class HedgedOutcome:
    """What came of a request.

    Attributes:
        outcome: of the first attempt that was answered, or of the last one.
        hedges: how many endpoints were asked beside the first.
    """

    outcome: Outcome
    hedges: int


class Hedge:
    """The attempts of one request that are under way at the same time.

    Args:
        caller: who waits for the answer.
        attempt: makes one attempt at an endpoint, until its outcome.
    """

    def __init__(self, caller: Caller, attempt: Callable[[EndpointView], Outcome]) -> None:
        self.caller = caller
        self.attempt = attempt
        # Outcomes of attempts that are over; None wakes the one that waits when the caller leaves.
        self.outcomes: SimpleQueue = SimpleQueue()
        self.attempts: list[gevent.Greenlet] = []

    def run(
        self, first: EndpointView, choose_second: Callable[[], EndpointView | None], delay_s: float | None
    ) -> HedgedOutcome:
        """Make an attempt at `first`, and where it stays silent another one beside it.

        The first is not cancelled for it: its endpoint may be at work, and its answer may still come first.
        When one was answered the other is soon cancelled; both are at once when the client leaves.

        Args:
            first: the endpoint to ask first.
            choose_second: chooses the endpoint to ask beside it, None for none.
            delay_s: for how long the first must have been silent; None: it is asked alone.

        Raises:
            ClientDisconnected: nobody waits for the answer any more.
        """
        self.start(first)
        try:
            with self.caller.calling_on_disconnect(self.wake):
                return self.wait_for_outcome(choose_second, delay_s)
        except ClientDisconnected:
            gevent.killall(self.attempts, block=False)
            raise
        finally:
            if len(self.attempts) > 1:
                gevent.spawn_later(LOSER_GRACE_S, gevent.killall, self.attempts, block=False)

    def wait_for_outcome(
        self, choose_second: Callable[[], EndpointView | None], delay_s: float | None
    ) -> HedgedOutcome:
        """Wait for the attempt under way, and begin another one after `delay_s`."""
        try:
            return HedgedOutcome(self.next_outcome(delay_s), 0)
        except Empty:
            pass
        second = choose_second()
        if second is None:
            return HedgedOutcome(self.next_outcome(), 0)
        self.start(second)
        outcome = self.next_outcome()
        if outcome.kind != OutcomeKind.ANSWERED:
            outcome = self.next_outcome()
        return HedgedOutcome(outcome, 1)

    def start(self, endpoint: EndpointView) -> None:
        """Begin an attempt at an endpoint."""
        self.attempts.append(gevent.spawn(self.run_attempt, endpoint))

    def run_attempt(self, endpoint: EndpointView) -> None:
        """Make an attempt and hand its outcome over, whatever happens: somebody waits for it."""
        outcome = Outcome(OutcomeKind.NO_VALID_RESPONSE)
        try:
            outcome = self.attempt(endpoint)
        except ClientDisconnected:
            pass  # the caller itself wakes the one that waits
        finally:
            self.outcomes.put(outcome)

    def wake(self) -> None:
        """Wake the one that waits for an outcome; called when the caller leaves."""
        self.outcomes.put(None)

    def next_outcome(self, wait_s: float | None = None) -> Outcome:
        """The next outcome of any attempt.

        Raises:
            Empty: there was none within `wait_s`.
            ClientDisconnected: nobody waits for the answer any more.
        """
        outcome = self.outcomes.get(timeout=wait_s)
        self.caller.raise_if_disconnected()
        return outcome
