"""Pool of connections to other processes, dialled on first use and again after they were closed."""

from collections.abc import Callable, Sequence
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from flintreach.transport.listening import bind_when_available
from flintreach.transport.peer_connection import Address, ConnectionClosed, MessageHandlers, PeerConnection
from flintreach.transport.runtime import LockInterface, Runtime, RuntimeInterface
from flintreach.transport.traffic_meter import TrafficMeter

LISTEN_BACKLOG = 256
MIN_DIAL_TIMEOUT_S = 0.001
GATHER_GRACE_S = 0.1  # added to the timeout of the requests, which normally ends them

Answers = list[tuple[Address, Any]]  # responses with the addresses they came from
Ask = Callable[[Address, str, Any, float], Any]  # signature of `PeerPool.ask`


class PeerPool:
    """Sends requests to other processes, and serves theirs.

    Attributes:
        address: address where this process listens.
        handlers: handlers of received messages, by kind of message.
        connections: connections dialled by this process, by address.
        dial_locks: locks held while a connection to an address is dialled.
    """

    def __init__(self, address: Address, runtime: RuntimeInterface | None = None) -> None:
        """Create a pool without connections.

        Args:
            address: address where `start` listens.
            runtime: clock, tasks and connections; by default those of gevent.
        """
        self.address = address
        self.handlers: MessageHandlers = {}
        self.runtime = runtime or Runtime()
        self.connections: dict[Address, PeerConnection] = {}
        self.dial_locks: dict[Address, LockInterface] = {}

    def start(self) -> None:
        """Start listening for connections of other processes, once the address is available.

        Raises:
            OSError: the address can't be bound; see `listening.bind_when_available`.
        """
        self.server = StreamServer(self.address, self.serve, backlog=LISTEN_BACKLOG)
        bind_when_available(self.server.start, self.address)

    def serve(self, sock: socket.socket, address: Address) -> None:
        """Serve a connection dialled by another process until it is closed."""
        # Wait for the connection, because the server closes the socket on return.
        gevent.joinall(PeerConnection(sock, self.handlers, meter=self.meter).greenlets)

    @property
    def meter(self) -> TrafficMeter:
        """Traffic meter of all connections of the process."""
        return self.runtime.meter

    def traffic(self) -> list[dict[str, str | int]]:
        """Return the traffic since the start of the process by kind; see `TrafficMeter.rows`."""
        return self.meter.rows()

    def connect(self, address: Address, timeout: float) -> PeerConnection:
        """Return the connection to a process, and dial it if there is none.

        Args:
            address: address of the process.
            timeout: maximum number of seconds to establish the connection.

        Raises:
            OSError: the connection could not be established.
            ConnectionClosed: another caller was still dialling after `timeout` seconds.
        """
        deadline = self.runtime.now() + timeout
        lock = self.dial_locks.setdefault(address, self.runtime.lock())
        if not lock.acquire(timeout=timeout):
            raise ConnectionClosed
        try:
            connection = self.connections.get(address)
            if connection is None or connection.closed:
                remaining = max(MIN_DIAL_TIMEOUT_S, deadline - self.runtime.now())
                connection = self.runtime.dial(address, self.handlers, remaining)
                self.connections[address] = connection
            return connection
        finally:
            lock.release()

    def disconnect(self, address: Address) -> None:
        """Close the connection to a process that has left, and remove its state from the pool."""
        connection = self.connections.pop(address, None)
        if connection is not None:
            connection.close()
        self.dial_locks.pop(address, None)

    def ask(self, address: Address, kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        """Send a request to a process, at most once.

        Args:
            address: address of the process.
            kind: kind of the request.
            body: body of the request.
            timeout: seconds for the connection and the response together.

        Returns:
            The response, or None if none arrived in time; the process may have acted on the request anyway.
        """
        asked_at = self.runtime.now()
        try:
            connection = self.connect(address, timeout)
            remaining = asked_at + timeout - self.runtime.now()
            if remaining <= 0:
                return None
            return connection.ask(kind, body, remaining)
        except (OSError, ConnectionClosed):
            return None

    def gather(
        self,
        addresses: Sequence[Address],
        kind: str,
        body: Any,
        enough: Callable[[Answers], Any],
        timeout: float = 1.0,
        ask: Ask | None = None,
    ) -> Answers:
        """Send a request to several processes concurrently, until `enough(answers)` or the timeout.

        Args:
            addresses: addresses of the processes.
            kind: kind of the request.
            body: body of the request, or a function that returns it for an address.
            enough: returns whether these responses suffice; called after the completion of each request.
            timeout: seconds for each request.
            ask: function that sends a request, if not `self.ask`.

        Returns:
            The responses with their addresses, in order of arrival.
        """
        answers: Answers = []
        done = self.runtime.event()
        unfinished = len(addresses)

        def ask_process(address: Address) -> None:
            nonlocal unfinished
            own_body = body(address) if callable(body) else body
            answer = (ask or self.ask)(address, kind, own_body, timeout)
            unfinished -= 1
            if answer is not None:
                answers.append((address, answer))
            if enough(answers) or not unfinished:
                done.set()

        for address in addresses:
            self.runtime.spawn(ask_process, address)
        if addresses:
            done.wait(timeout + GATHER_GRACE_S)
        return [*answers]
