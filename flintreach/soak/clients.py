"""Soak clients: one connection per request, persistent connections, early disconnects, long bodies."""

import random
import time
from collections.abc import Callable, Sequence

import gevent
from gevent import socket

from flintreach.demo.cluster import Machine
from flintreach.demo.configuration import HOST
from flintreach.proxy.response import HTTPParseError, Response, ResponseParser
from flintreach.soak.checker import Verdict, Violation
from flintreach.soak.history import History, RequestKind, SentRequest
from flintreach.standins.adversary import RESET

# Writes are drawn twice as often as each kind of read.
KINDS = (RequestKind.READ, RequestKind.WRITE, RequestKind.WRITE, RequestKind.SHARDED_READ)
PIPELINED_KINDS = (RequestKind.READ, RequestKind.SHARDED_READ)
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 6.0
REQUEST_INTERVAL_S = 0.08  # between requests of a client
TIME_LEFT_MS = 3000
READ_BYTES = 65536
PATH_COUNT = 100  # distinct paths per route
KEY_COUNT = 65536
# Shares of the connections of a client that disconnects early.
PIPELINED_SHARE = 0.3  # with several requests in flight
RESET_SHARE = 0.3  # closed by a TCP reset
MAX_DELAY_BEFORE_CLOSE_S = 0.3  # of a client that disconnects early
# Of a client with long bodies.
MAX_LONG_BODIES = 4  # at once
MAX_LONG_BODY_BYTES = 40 << 20
MAX_LONG_BODY_PAUSE_S = 4.0


class MisdeliveredAnswer(Exception):
    """An answer to another request, or data that is not a valid HTTP response."""


class ClientConnection:
    """A connection to a proxy."""

    def __init__(self, machine: Machine) -> None:
        """Connect to the proxy.

        Raises:
            OSError: the connection was not established within `CONNECT_TIMEOUT_S`.
        """
        host, port = machine.listen_addresses["front"].split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
        self.sock.settimeout(ANSWER_TIMEOUT_S)
        self.responses = ResponseParser()

    def send(self, request: SentRequest, path: str, key: int, padding_bytes: int = 0) -> None:
        """Send a request with its id and shard key; a write has a body, with padding after it.

        Raises:
            OSError: the connection is closed.
        """
        method = "POST" if request.kind == RequestKind.WRITE else "GET"
        body = f"body of {request.id}".encode() if method == "POST" else b""
        lines = (
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Try-Id: {request.id}",
            f"X-Time-Left-Ms: {TIME_LEFT_MS}",
            f"X-Shard-Key: {key}",
            f"Content-Length: {len(body) + padding_bytes}",
        )
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        if padding_bytes:
            self.sock.sendall(bytes(padding_bytes))

    def receive(self, request: SentRequest) -> Response | None:
        """Read the next answer, which must belong to this request.

        Returns:
            The answer, or None if the connection closes or times out first.

        Raises:
            MisdeliveredAnswer: the answer belongs to another request, or is malformed.
        """
        while not self.responses.complete:
            try:
                data = self.sock.recv(READ_BYTES)
            except OSError:
                return None
            if not data:
                return None
            try:
                self.responses.feed(data)
            except HTTPParseError:
                raise MisdeliveredAnswer(
                    f"{request.id} received a malformed response: {data[:60]!r}"
                ) from None
        response = self.responses.complete.pop(0)
        if not response.matches_request(request.id):
            raise MisdeliveredAnswer(
                f"{request.id} received the answer to another request (status {response.status})"
            )
        return response

    def close(self, reset: bool = False) -> None:
        """Close the connection, with a TCP reset if `reset` is set."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.sock.close()


class Client:
    """A client, which runs in one of four modes, each a method `run_...`.

    Attributes:
        rng: the client's own random source, seeded with its name.
        machines: returns the proxies to choose from.
        stopping: returns whether the client should stop.
    """

    def __init__(
        self,
        name: str,
        machines: Callable[[], list[Machine]],
        history: History,
        verdict: Verdict,
        stopping: Callable[[], bool],
    ) -> None:
        self.rng = random.Random(name)
        self.machines = machines
        self.history = history
        self.verdict = verdict
        self.stopping = stopping

    def next_request(
        self, machine: Machine, persistent: bool = False, kinds: Sequence[RequestKind] = KINDS
    ) -> SentRequest:
        """Create a request and record it in the history before it is sent."""
        request_id = f"{self.rng.getrandbits(64):016x}"
        kind = self.rng.choice(kinds)
        request = SentRequest(request_id, machine, kind, time.monotonic_ns(), persistent)
        self.history.requests[request_id] = request
        return request

    def send(self, connection: ClientConnection, request: SentRequest, padding_bytes: int = 0) -> None:
        """Send a request with a random path and shard key.

        Raises:
            OSError: the connection is closed.
        """
        request.sent_at_ns = time.monotonic_ns()
        path = f"/{request.kind}/{self.rng.randrange(PATH_COUNT)}"
        connection.send(request, path, self.rng.randrange(KEY_COUNT), padding_bytes)

    def exchange(
        self, connection: ClientConnection, request: SentRequest, padding_bytes: int = 0
    ) -> Response | None:
        """Send a request and return its answer, or None if the connection was closed."""
        response = None
        try:
            self.send(connection, request, padding_bytes)
            response = connection.receive(request)
        except OSError:
            pass  # the checker decides whether losing the request was allowed
        except MisdeliveredAnswer as misdelivered:
            self.verdict.fail(Violation.MISDELIVERED_ANSWER, str(misdelivered))
        request.ended_at_ns = time.monotonic_ns()
        request.status = response.status if response else None
        return response

    def connect(self) -> tuple[Machine, ClientConnection] | None:
        """Connect to a random proxy; on failure, pause and return None."""
        machine = self.rng.choice(self.machines())
        try:
            return machine, ClientConnection(machine)
        except OSError:
            gevent.sleep(REQUEST_INTERVAL_S)
            return None

    def run_without_keep_alive(self) -> None:
        """Send each request on a new connection."""
        while not self.stopping():
            connected = self.connect()
            if connected is None:
                continue
            machine, connection = connected
            self.exchange(connection, self.next_request(machine))
            connection.close()
            gevent.sleep(REQUEST_INTERVAL_S)

    def run_with_keep_alive(self) -> None:
        """Send requests on a persistent connection until it closes, then open another."""
        while not self.stopping():
            connected = self.connect()
            if connected is None:
                continue
            machine, connection = connected
            while not self.stopping():
                response = self.exchange(connection, self.next_request(machine, persistent=True))
                if response is None or not response.keep_alive:
                    break
                gevent.sleep(self.rng.uniform(0, REQUEST_INTERVAL_S))
            connection.close()

    def run_with_long_bodies(self) -> None:
        """Send several writes with long bodies at once, each on a new connection."""
        while not self.stopping():
            machine = self.rng.choice(self.machines())
            count = self.rng.randint(1, MAX_LONG_BODIES)
            gevent.joinall([gevent.spawn(self.send_long_body, machine) for _ in range(count)])
            gevent.sleep(self.rng.uniform(0.0, MAX_LONG_BODY_PAUSE_S))

    def send_long_body(self, machine: Machine) -> None:
        """Send one write with a long body."""
        try:
            connection = ClientConnection(machine)
        except OSError:
            return
        request = self.next_request(machine, kinds=(RequestKind.WRITE,))
        self.exchange(connection, request, self.rng.randint(0, MAX_LONG_BODY_BYTES))
        connection.close()

    def run_with_early_disconnect(self) -> None:
        """Disconnect before the answer, in some cases with several pipelined requests in flight."""
        while not self.stopping():
            connected = self.connect()
            if connected is None:
                continue
            machine, connection = connected
            pipelined = self.rng.random() < PIPELINED_SHARE
            kinds = PIPELINED_KINDS if pipelined else KINDS
            count = self.rng.randint(2, 6) if pipelined else 1
            requests = [self.next_request(machine, kinds=kinds) for _ in range(count)]
            self.send_all_and_disconnect(connection, requests)
            gevent.sleep(REQUEST_INTERVAL_S)

    def send_all_and_disconnect(self, connection: ClientConnection, requests: list[SentRequest]) -> None:
        """Send requests, read the answers that arrive within a short delay, then close or reset."""
        try:
            for request in requests:
                self.send(connection, request)
            gevent.sleep(self.rng.uniform(0, MAX_DELAY_BEFORE_CLOSE_S))
            self.read_available_responses(connection, requests)
        except OSError:
            pass  # the proxy closed the connection first
        disconnected_at_ns = time.monotonic_ns()
        connection.close(reset=self.rng.random() < RESET_SHARE)
        for request in requests:
            if request.status is None:
                request.disconnected_at_ns = disconnected_at_ns
                request.ended_at_ns = disconnected_at_ns

    def read_available_responses(self, connection: ClientConnection, requests: list[SentRequest]) -> None:
        """Read the answers received so far, in request order, without blocking."""
        connection.sock.settimeout(0.0)
        try:
            for request in requests:
                response = connection.receive(request)
                if response is None:
                    return
                request.status = response.status
                request.ended_at_ns = time.monotonic_ns()
        except MisdeliveredAnswer as misdelivered:
            self.verdict.fail(Violation.MISDELIVERED_ANSWER, str(misdelivered))
