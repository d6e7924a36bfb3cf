"""Links to other pilots by their address, opened when first used and dialled anew after their end."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent.server import StreamServer

from flintreach.transport.peer_connection import ConnectionClosed, PeerConnection
from flintreach.transport.runtime import Runtime
from flintreach.transport.traffic_meter import TrafficMeter


class PeerPool:
    """What this process says to others (`ask`) and what it answers (`handlers`, by kind)."""

    def __init__(self, address: tuple[str, int], runtime: Runtime | None = None):
        self.address, self.handlers, self.runtime = address, {}, runtime or Runtime()
        self.links: dict[tuple[str, int], PeerConnection] = {}
        self.locks: dict[tuple[str, int], Any] = {}

    def start(self) -> None:
        self.server = StreamServer(self.address, self.serve, backlog=256)
        self.server.start()

    def serve(self, sock, address) -> None:
        # The server closes the socket on return.
        gevent.joinall(PeerConnection(sock, self.handlers, meter=self.meter).readers)

    @property
    def meter(self) -> TrafficMeter:
        return self.runtime.meter

    def traffic(self) -> list[dict]:
        """Messages and bytes by kind since the start, as rows."""
        return self.meter.rows()

    def link(self, address: tuple[str, int], timeout: float) -> PeerConnection:
        """The link to a pilot, up within `timeout` seconds.  Raises OSError or Closed."""
        until, lock = self.runtime.now() + timeout, self.locks.setdefault(address, self.runtime.lock())
        if not lock.acquire(timeout=timeout):
            raise ConnectionClosed
        try:
            found = self.links.get(address)
            if found is None or found.closed:
                left = max(0.001, until - self.runtime.now())
                found = self.links[address] = self.runtime.dial(address, self.handlers, left)
            return found
        finally:
            lock.release()

    def forget(self, address: tuple[str, int]) -> None:
        """Nothing is said any more to a pilot that has left: keep no note of it."""
        if (link := self.links.pop(address, None)) is not None:
            link.close()
        self.locks.pop(address, None)

    def ask(self, address: tuple[str, int], kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        """The answer of the pilot at an address, or None if none came within `timeout` seconds.  It is asked
        once at the most; without an answer it may have acted all the same."""
        asked = self.runtime.now()
        try:
            link = self.link(address, timeout)
            left = asked + timeout - self.runtime.now()
            if left <= 0:
                return None
            return link.ask(kind, body, left)
        except (OSError, ConnectionClosed):
            return None

    def gather(
        self,
        addresses: list[tuple[str, int]],
        kind: str,
        body: Any,
        enough: Callable[[list], bool],
        timeout: float = 1.0,
        ask: Callable | None = None,
    ) -> list:
        """Answers of several, in the order of arrival, until `enough(answers)` holds or time is up.

        `body`: what is said, or a function of the address that gives it; `ask`: by what, if not by
        `self.ask`.
        """
        answers, done, left = [], self.runtime.event(), len(addresses)

        def one(address):
            nonlocal left
            answer = (ask or self.ask)(address, kind, body(address) if callable(body) else body, timeout)
            left -= 1
            if answer is not None:
                answers.append((address, answer))
            if enough(answers) or not left:
                done.set()

        for address in addresses:
            self.runtime.spawn(one, address)
        if addresses:
            done.wait(timeout + 0.1)
        return [*answers]
