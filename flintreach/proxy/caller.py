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

# libev's event mask for a descriptor that can be read.
EV_READ = 1

# A client's machine counts as gone after 5 s without a sign.
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 3


class ClientDisconnected(ConnectionError):
    """Nobody waits any more for the answer to a request."""


def ask_nobody() -> None:
    """For a caller whose connection no monitor watches."""


class Caller:
    """The client of one connection.

    Attributes:
        disconnected_at: steady clock, in nanoseconds, when it was seen to have left; None while it is there.
        poll: asks the kernel now, not when the event loop comes to it.
        disconnect_callbacks: called when it leaves.
    """

    __slots__ = ("disconnected_at", "poll", "disconnect_callbacks")

    def __init__(self) -> None:
        self.disconnected_at: int | None = None
        self.poll: Callable[[], None] = ask_nobody
        self.disconnect_callbacks: list[Callable[[], None]] = []

    def mark_disconnected(self) -> None:
        """Note that the client has left, and wake all that is done for it."""
        if self.disconnected_at is not None:
            return
        self.disconnected_at = time.monotonic_ns()
        for wake in [*self.disconnect_callbacks]:
            wake()

    def raise_if_disconnected(self) -> None:
        """Return if the client still waits.

        Raises:
            ClientDisconnected: it does not.
        """
        if self.disconnected_at is not None:
            raise ClientDisconnected

    @contextmanager
    def calling_on_disconnect(self, wake: Callable[[], None]) -> Iterator[None]:
        """Call `wake` when the client leaves while the body runs.

        Raises:
            ClientDisconnected: it has left already.
        """
        self.raise_if_disconnected()
        self.disconnect_callbacks.append(wake)
        try:
            yield
        finally:
            self.disconnect_callbacks.remove(wake)


class HangupMonitor:
    """One epoll instance for the connections of all clients; it is itself watched by the event loop."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.callers: dict[int, Caller] = {}  # descriptor -> its client
        self.watcher = get_hub().loop.io(self.epoll.fileno(), EV_READ)
        self.watcher.start(self.collect)

    def add(self, sock: socket.socket, caller: Caller) -> None:
        """Watch a connection.

        Raises:
            OSError: it has ended already.
        """
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
        descriptor = sock.fileno()
        self.callers[descriptor] = caller
        caller.poll = self.collect
        self.epoll.register(descriptor, select.EPOLLRDHUP | select.EPOLLET)

    def remove(self, sock: socket.socket) -> None:
        """Forget a connection; it must still be open, or never have been added."""
        descriptor = sock.fileno()
        if self.callers.pop(descriptor, None) is not None:
            self.epoll.unregister(descriptor)

    def collect(self) -> None:
        """Tell the callers whose connections have ended; called by the event loop, or to know at once."""
        for descriptor, _ in self.epoll.poll(0):
            caller = self.callers.get(descriptor)
            if caller is not None:
                caller.mark_disconnected()

    def close(self) -> None:
        """Watch nothing any more."""
        self.watcher.stop()
        self.watcher.close()
        self.epoll.close()
