"""Hedged requests: a second endpoint is asked where the first stays silent, and the first answer counts.

For requests that may be repeated (J. Dean, L. A. Barroso, "The Tail at Scale", 2013).  Tries run in greenlets
of their own, so that they can be broken off when nobody waits for them any more.
"""

from collections.abc import Callable

import gevent
from gevent.queue import Empty, SimpleQueue

from flintreach.proxy.caller import Caller, ClientLeft
from flintreach.proxy.endpoint import EndpointView
from flintreach.proxy.exchange import Outcome
from flintreach.proxy.outcome import OutcomeKind

LOSER_S = 0.2  # for which the slower of two tries may go on, to keep its connection, when one has answered


class Hedge:
    """The tries of one request that are under way at the same time.

    `attempt(endpoint)`: one try, until its outcome.
    """

    def __init__(self, caller: Caller, attempt: Callable[[EndpointView], Outcome]):
        self.caller, self.attempt = caller, attempt
        self.ends, self.tries = SimpleQueue(), []

    def run(
        self, first: EndpointView, second: Callable[[], EndpointView | None], patience_s: float | None
    ) -> tuple[Outcome, int]:
        """The outcome, and how many endpoints were asked beside the first.

        `second()`: the endpoint to ask when the first has been silent for `patience_s` seconds, None for
        none; without a patience it is not called.  The first is not broken off for it: its endpoint may be
        at work, and its answer may still be the first.  When one has answered, the other is soon broken off;
        both are at once when the client leaves.  Then ClientLeft is raised.
        """
        self.start(first)
        try:
            with self.caller.waking(lambda: self.ends.put(None)):
                return self.outcome(second, patience_s)
        except ClientLeft:
            gevent.killall(self.tries, block=False)
            raise
        finally:
            if len(self.tries) > 1:
                gevent.spawn_later(LOSER_S, gevent.killall, self.tries, block=False)

    def outcome(
        self, second: Callable[[], EndpointView | None], patience_s: float | None
    ) -> tuple[Outcome, int]:
        try:
            return self.next_end(patience_s), 0
        except Empty:
            pass
        other = second()
        if other is None:
            return self.next_end(), 0
        self.start(other)
        end = self.next_end()
        return (end if end.kind == OutcomeKind.ANSWERED else self.next_end()), 1

    def start(self, endpoint: EndpointView) -> None:
        self.tries.append(gevent.spawn(self.try_endpoint, endpoint))

    def try_endpoint(self, endpoint: EndpointView) -> None:
        outcome = Outcome(OutcomeKind.BROKEN)
        try:
            outcome = self.attempt(endpoint)
        except ClientLeft:
            pass  # the caller itself wakes the one that waits
        finally:
            self.ends.put(outcome)

    def next_end(self, wait_s: float | None = None) -> Outcome:
        """The next outcome.  Raises Empty after `wait_s` seconds, ClientLeft once nobody waits."""
        outcome = self.ends.get(timeout=wait_s)
        self.caller.check()
        return outcome
