"""Links to other pilots by their address, opened when first used and dialled anew after their end."""

import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from gevent.lock import RLock
from gevent.pool import Group
from gevent.server import StreamServer

from flintreach.rope.link import Closed, Link, dial
from flintreach.rope.meter import Meter


class Bundle:
    """What this process says to others (`ask`) and what it answers (`handlers`, by kind)."""

    def __init__(self, address: tuple[str, int]):
        self.address, self.handlers, self.meter = address, {}, Meter()
        self.heard: dict[tuple[str, int], float] = {}  # when a pilot last answered
        self.links: dict[tuple[str, int], Link] = {}
        self.locks: dict[tuple[str, int], RLock] = {}
        self.server = StreamServer(address, self.serve, backlog=256)

    def start(self) -> None:
        self.server.start()

    def serve(self, sock, address) -> None:
        # The server closes the socket on return.
        gevent.joinall(Link(sock, self.handlers, meter=self.meter).readers)

    def dial(self, address: tuple[str, int], handlers: dict[str, Callable], timeout: float) -> Link:
        """A link of its own, with handlers of its own, on this process's meter.  Raises OSError."""
        return dial(address, handlers, timeout, meter=self.meter)

    def traffic(self) -> list[dict]:
        """Messages and bytes by kind since the start, as rows."""
        return self.meter.rows()

    def link(self, address: tuple[str, int], timeout: float) -> Link:
        """The link to a pilot, up within `timeout` seconds.  Raises OSError or Closed."""
        until, lock = time.monotonic() + timeout, self.locks.setdefault(address, RLock())
        if not lock.acquire(timeout=timeout):
            raise Closed
        try:
            found = self.links.get(address)
            if found is None or found.closed:
                left = max(0.001, until - time.monotonic())
                found = self.links[address] = self.dial(address, self.handlers, left)
            return found
        finally:
            lock.release()

    def ask(self, address: tuple[str, int], kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        """The answer of the pilot at an address, or None if none came within `timeout` seconds.  It is asked
        once at the most; without an answer it may have acted all the same."""
        until = time.monotonic() + timeout
        try:
            link = self.link(address, timeout)
            left = until - time.monotonic()
            if left <= 0:
                return None
            answer = link.ask(kind, body, left)
            self.heard[address] = time.monotonic()
            return answer
        except (OSError, Closed):
            return None

    def gather(self, addresses: list[tuple[str, int]], kind: str, body: Any, enough: Callable[[list], bool],
               timeout: float = 1.0) -> list:
        """Answers of several, in the order of arrival, until `enough(answers)` holds or time is up.

        `body`: what is said, or a function of the address that gives it.
        """
        answers, group = [], Group()
        done = Event()

        def one(address):
            answer = self.ask(address, kind, body(address) if callable(body) else body, timeout)
            if answer is not None:
                answers.append((address, answer))
            if enough(answers):
                done.set()

        for address in addresses:
            group.start(gevent.Greenlet(one, address))
        waiter = gevent.spawn(lambda: (group.join(), done.set()))
        done.wait(timeout + 0.1)
        waiter.kill(block=False)
        return [*answers]
