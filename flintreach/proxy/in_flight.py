"""Requests that are being forwarded, and their cancellation when a drain ends.

A drain waits for responses as long as the grace time allows.  Then every request that is still without one
gets a final response from the proxy: a connection that closes without a response would leave its client
without any status, although the request has been read.
"""

from collections.abc import Iterator
from contextlib import contextmanager

import gevent


class DrainTimeout(Exception):
    """The drain ends before the request has a response; raised where the request's greenlet waits."""


class InFlightRequests:
    """The greenlets that forward requests.

    Attributes:
        greenlets: the greenlets whose requests have no response yet.
        cancelled: whether the drain has ended, so that no request is forwarded any more.
    """

    def __init__(self) -> None:
        self.greenlets: set[gevent.Greenlet] = set()
        self.cancelled = False

    @contextmanager
    def cancellable(self) -> Iterator[None]:
        """Context manager in which `cancel_all` ends the waits of the current greenlet.

        Raises:
            DrainTimeout: the drain has ended.
        """
        if self.cancelled:
            raise DrainTimeout
        greenlet = gevent.getcurrent()
        self.greenlets.add(greenlet)
        try:
            yield
        finally:
            self.greenlets.discard(greenlet)

    def cancel_all(self) -> None:
        """Raise `DrainTimeout` in all greenlets that forward a request, and in those that start to."""
        self.cancelled = True
        gevent.get_hub().loop.run_callback(self.throw_all)

    def throw_all(self) -> None:
        """Raise `DrainTimeout` in all registered greenlets; called in the hub, as `Greenlet.throw` requires.

        A greenlet is checked right before: one whose response has arrived meanwhile may be writing it.
        """
        for greenlet in [*self.greenlets]:
            if greenlet in self.greenlets:
                greenlet.throw(DrainTimeout)
