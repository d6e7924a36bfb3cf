"""Connections to other processes by address, opened when first used and dialled anew after their end."""

from collections.abc import Callable, Sequence
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from flintreach.transport.peer_connection import Address, ConnectionClosed, MessageHandlers, PeerConnection
from flintreach.transport.runtime import LockInterface, Runtime, RuntimeInterface
from flintreach.transport.traffic_meter import TrafficMeter

LISTEN_BACKLOG = 256
MIN_DIAL_TIMEOUT_S = 0.001
GATHER_GRACE_S = 0.1  # behind the questions' own time-out, by which they normally end

Answers = list[tuple[Address, Any]]  # who answered, and what
Ask = Callable[[Address, str, Any, float], Any]  # as `PeerPool.ask`


class PeerPool:
    """What this process asks others, and what it answers them.

    Attributes:
        address: where this process listens.
        handlers: what this process answers, by kind of message.
        connections: connections that this process dialled, by address.
        dial_locks: held while a connection to an address is dialled.
    """

    def __init__(self, address: Address, runtime: RuntimeInterface | None = None) -> None:
        """Make a pool without connections.

        Args:
            address: where `start` listens.
            runtime: clock, tasks and connections; by default those of gevent.
        """
        self.address = address
        self.handlers: MessageHandlers = {}
        self.runtime = runtime or Runtime()
        self.connections: dict[Address, PeerConnection] = {}
        self.dial_locks: dict[Address, LockInterface] = {}

    def start(self) -> None:
        """Listen for other processes."""
        self.server = StreamServer(self.address, self.serve, backlog=LISTEN_BACKLOG)
        self.server.start()

    def serve(self, sock: socket.socket, address: Address) -> None:
        """Serve a connection that another process dialled, until it ends."""
        # The server closes the socket on return.
        gevent.joinall(PeerConnection(sock, self.handlers, meter=self.meter).readers)

    @property
    def meter(self) -> TrafficMeter:
        """Counts the traffic of all connections of the process."""
        return self.runtime.meter

    def traffic(self) -> list[dict[str, str | int]]:
        """Give messages and bytes by kind since the start, as rows; see `TrafficMeter.rows`."""
        return self.meter.rows()

    def connect(self, address: Address, timeout: float) -> PeerConnection:
        """Give the connection to a process, dialled if there is none.

        Args:
            address: of the process.
            timeout: seconds in which the connection must be up.

        Raises:
            OSError: no connection came up.
            ConnectionClosed: another caller was still dialling when the time was over.
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
        """Close the connection to a process that has left, and keep nothing of it."""
        connection = self.connections.pop(address, None)
        if connection is not None:
            connection.close()
        self.dial_locks.pop(address, None)

    def ask(self, address: Address, kind: str, body: Any = None, timeout: float = 1.0) -> Any:
        """Ask a process, once at the most.

        Args:
            address: of the process.
            kind: of the question.
            body: of the question.
            timeout: seconds for the connection and the answer together.

        Returns:
            The answer, or None if none came in time; the process may have acted all the same.
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
        """Ask several processes beside each other, until `enough(answers)` holds or time is up.

        Args:
            addresses: of the processes.
            kind: of the question.
            body: of the question, or a function that gives it for an address.
            enough: whether these answers suffice; called after each question's end.
            timeout: seconds for each question.
            ask: by what to ask, if not by `self.ask`.

        Returns:
            Who answered and what, in the order of arrival.
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
