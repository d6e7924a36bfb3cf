"""Detection of clients that disconnect while their requests are being processed.

`HangupMonitor` uses epoll instead of reading from the socket, as the end of a client's stream may follow
requests that the proxy has not read yet.  The kernel reports a peer that closed its side (EPOLLRDHUP), a
reset, and a peer whose machine no longer answers keep-alive probes (EPOLLHUP, EPOLLERR; see epoll_ctl(2) and
tcp(7)).
"""

import select
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from gevent import get_hub, socket

# libev's event mask for a readable descriptor.
EV_READ = 1

# A client's machine is considered unreachable 5 s after the last packet from it.
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 3


class ClientDisconnected(ConnectionError):
    """The client of a request has disconnected."""


def no_poll() -> None:
    """Default for `Caller.poll`, for a connection that no monitor watches: does nothing."""


class Caller:
    """The client of one connection, and whether it is still connected.

    Attributes:
        disconnected_at: monotonic time in nanoseconds when it was seen to disconnect; None before.
        poll: checks the kernel for disconnects at once, without waiting for the event loop.
        disconnect_callbacks: called when the client disconnects.
    """

    __slots__ = ("disconnected_at", "poll", "disconnect_callbacks")

    def __init__(self) -> None:
        self.disconnected_at: int | None = None
        self.poll: Callable[[], None] = no_poll
        self.disconnect_callbacks: list[Callable[[], None]] = []

    def mark_disconnected(self) -> None:
        """Record that the client has disconnected, and call the callbacks; later calls have no effect."""
        if self.disconnected_at is not None:
            return
        self.disconnected_at = time.monotonic_ns()
        for callback in [*self.disconnect_callbacks]:
            callback()

    def raise_if_disconnected(self) -> None:
        """Check that the client is connected.

        Raises:
            ClientDisconnected: the client has disconnected.
        """
        if self.disconnected_at is not None:
            raise ClientDisconnected

    @contextmanager
    def calling_on_disconnect(self, callback: Callable[[], None]) -> Iterator[None]:
        """Context manager that calls `callback` if the client disconnects while the body runs.

        Raises:
            ClientDisconnected: the client has already disconnected.
        """
        self.raise_if_disconnected()
        self.disconnect_callbacks.append(callback)
        try:
            yield
        finally:
            self.disconnect_callbacks.remove(callback)


class HangupMonitor:
    """Watches all clients' connections with one epoll instance, which the event loop watches in turn."""

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.callers: dict[int, Caller] = {}  # descriptor -> client of the connection
        self.watcher = get_hub().loop.io(self.epoll.fileno(), EV_READ)
        self.watcher.start(self.process_events)

    def add(self, sock: socket.socket, caller: Caller) -> None:
        """Start watching a connection, and enable keep-alive probes on it.

        Raises:
            OSError: the connection is already closed.
        """
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
        descriptor = sock.fileno()
        self.callers[descriptor] = caller
        caller.poll = self.process_events
        self.epoll.register(descriptor, select.EPOLLRDHUP | select.EPOLLET)

    def remove(self, sock: socket.socket) -> None:
        """Stop watching a connection; it must still be open, or never have been added."""
        descriptor = sock.fileno()
        if self.callers.pop(descriptor, None) is not None:
            self.epoll.unregister(descriptor)

    def process_events(self) -> None:
        """Mark the callers whose connections have ended; called by the event loop and by `Caller.poll`."""
        for descriptor, _ in self.epoll.poll(0):
            caller = self.callers.get(descriptor)
            if caller is not None:
                caller.mark_disconnected()

    def close(self) -> None:
        """Stop watching all connections and release the epoll instance."""
        self.watcher.stop()
        self.watcher.close()
        self.epoll.close()
