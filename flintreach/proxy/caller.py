"""Whether the client of a request still waits for its answer.

A `HangupMonitor` asks the kernel, without reading: the end of a client's stream may stand behind requests
that a proxy has not read yet.  The kernel reports a peer that closed its side (EPOLLRDHUP), a reset, and one
whose machine no longer answers keep-alive probes (EPOLLHUP, EPOLLERR; see epoll_ctl(2) and tcp(7)).
"""

import select
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent import get_hub, socket

READABLE = 1  # libev's event mask for a descriptor that can be read
ALIVE_IDLE_S, ALIVE_INTERVAL_S, ALIVE_PROBES = 2, 1, 3  # a client's machine is gone after 5 s without a sign


class ClientLeft(ConnectionError):
    """Nobody waits any more for the answer to a request."""


class Caller:
    """The client of one connection.  `left_at`: steady nanoseconds when it was seen to have left; `look()`:
    asks the kernel now, not when the event loop comes to it."""

    __slots__ = ("left_at", "look", "wakers")

    def __init__(self):
        self.left_at: int | None = None
        self.look: Callable[[], None] = lambda: None
        self.wakers: list[Callable[[], None]] = []

    def leave(self) -> None:
        """Note that the client has left, and wake all that is done for it."""
        if self.left_at is not None:
            return
        self.left_at = time.monotonic_ns()
        for wake in [*self.wakers]:
            wake()

    def check(self) -> None:
        """Raises ClientLeft once nobody waits."""
        if self.left_at is not None:
            raise ClientLeft

    @contextmanager
    def waking(self, wake: Callable[[], None]) -> Iterator[None]:
        """Call `wake` when the client leaves while the body runs.  Raises ClientLeft if it has left."""
        self.check()
        self.wakers.append(wake)
        try:
            yield
        finally:
            self.wakers.remove(wake)


class HangupMonitor:
    """One epoll instance for the connections of all clients; it is itself watched by the event loop."""

    def __init__(self):
        self.epoll = select.epoll()
        self.callers: dict[int, Caller] = {}  # descriptor -> its client
        self.watcher = get_hub().loop.io(self.epoll.fileno(), READABLE)
        self.watcher.start(self.collect)

    def add(self, sock: socket.socket, caller: Caller) -> None:
        """Watch a connection.  Raises OSError where it has ended already."""
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, ALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, ALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, ALIVE_PROBES)
        number = sock.fileno()
        self.callers[number], caller.look = caller, self.collect
        self.epoll.register(number, select.EPOLLRDHUP | select.EPOLLET)

    def remove(self, sock: socket.socket) -> None:
        """Forget a connection; it must still be open, or never have been added."""
        number = sock.fileno()
        if self.callers.pop(number, None) is not None:
            self.epoll.unregister(number)

    def collect(self) -> None:
        """Tell the callers whose connections have ended; called by the event loop, and before a sending."""
        for number, _ in self.epoll.poll(0):
            if (caller := self.callers.get(number)) is not None:
                caller.leave()

    def close(self) -> None:
        self.watcher.stop()
        self.watcher.close()
        self.epoll.close()
