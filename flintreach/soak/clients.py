"""Clients of a soak: some open a connection a request, some keep theirs while it stands, some leave early."""

import random
import time
from collections.abc import Callable, Sequence

import gevent
from gevent import socket

from flintreach.demo.cluster import Machine
from flintreach.demo.configuration import HOST
from flintreach.proxy.response import HTTPParseError, Response, ResponseParser
from flintreach.soak.checker import Invariant, Verdict
from flintreach.soak.history import History, RequestKind, SentRequest
from flintreach.standins.adversary import RESET

KINDS = (RequestKind.LOOK, RequestKind.FILE, RequestKind.FILE, RequestKind.FETCH)  # writes weigh double
PIPELINED_KINDS = (RequestKind.LOOK, RequestKind.FETCH)
CONNECT_TIMEOUT_S = 0.5
ANSWER_TIMEOUT_S = 6.0
PAUSE_S = 0.08  # between the requests of one client
TIME_LEFT_MS = 3000
READ_BYTES = 65536
PATHS = 100  # different ones of each route
KEYS = 65536
PIPELINED_SHARE = 0.3  # of the connections of a client that leaves early
RESET_SHARE = 0.3  # of its closes
MAX_STAY_S = 0.3  # before it leaves


class MisdeliveredAnswer(Exception):
    """An answer that belongs to another request, or bytes that are no answer."""


class ClientConnection:
    """One connection to a proxy."""

    def __init__(self, machine: Machine) -> None:
        """Connect.

        Raises:
            OSError: no connection came up within `CONNECT_TIMEOUT_S`.
        """
        host, port = machine.posts["front"].split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
        self.sock.settimeout(ANSWER_TIMEOUT_S)
        self.responses = ResponseParser()

    def send(self, request: SentRequest, path: str, key: int) -> None:
        """Send a request, with its id and the key of its shard.

        Raises:
            OSError: the connection has ended.
        """
        method = "POST" if request.kind == RequestKind.FILE else "GET"
        body = f"body of {request.id}".encode() if method == "POST" else b""
        lines = (
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Try-Id: {request.id}",
            f"X-Time-Left-Ms: {TIME_LEFT_MS}",
            f"X-Shard-Key: {key}",
            f"Content-Length: {len(body)}",
        )
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)

    def receive(self, request: SentRequest) -> Response | None:
        """Read the next answer, which must be the one to this request.

        Returns:
            The answer, or None if the connection ends, or its time is over, before it.

        Raises:
            MisdeliveredAnswer: it is another request's, or none.
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
                raise MisdeliveredAnswer(f"no answer: {data[:60]!r}") from None
        response = self.responses.complete.pop(0)
        if not response.matches_request(request.id):
            raise MisdeliveredAnswer(f"to {request.id} came {response.status} for another")
        return response

    def close(self, reset: bool = False) -> None:
        """Close the connection, by a TCP reset if `reset`."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.sock.close()


class Client:
    """One client; `ask_once_each`, `keep` and `leave_early` are the ways in which it may go on.

    Attributes:
        chance: random draws of its own, from its name.
        machines: gives the proxies to choose from.
        ending: whether it is to stop.
    """

    def __init__(
        self,
        name: str,
        machines: Callable[[], list[Machine]],
        history: History,
        verdict: Verdict,
        ending: Callable[[], bool],
    ) -> None:
        self.chance = random.Random(name)
        self.machines = machines
        self.history = history
        self.verdict = verdict
        self.ending = ending

    def next_request(
        self, machine: Machine, persistent: bool = False, kinds: Sequence[RequestKind] = KINDS
    ) -> SentRequest:
        """Make a request and note it in the history, before it is sent."""
        request_id = f"{self.chance.getrandbits(64):016x}"
        kind = self.chance.choice(kinds)
        request = SentRequest(request_id, machine, kind, time.monotonic_ns(), persistent)
        self.history.sent[request_id] = request
        return request

    def send(self, connection: ClientConnection, request: SentRequest) -> None:
        """Send a request.

        Raises:
            OSError: the connection has ended.
        """
        request.sent_at_ns = time.monotonic_ns()
        path = f"/{request.kind}/{self.chance.randrange(PATHS)}"
        connection.send(request, path, self.chance.randrange(KEYS))

    def ask(self, connection: ClientConnection, request: SentRequest) -> Response | None:
        """Send one request and read its answer; None where the connection ended."""
        response = None
        try:
            self.send(connection, request)
            response = connection.receive(request)
        except OSError:
            pass  # the checker judges whether the request may be lost
        except MisdeliveredAnswer as misdelivered:
            self.verdict.fail(Invariant.MIXED, str(misdelivered))
        request.ended_at_ns = time.monotonic_ns()
        request.status = response.status if response else None
        return response

    def connect(self) -> tuple[Machine, ClientConnection] | None:
        """Connect to any proxy; None, after a pause, where that fails."""
        machine = self.chance.choice(self.machines())
        try:
            return machine, ClientConnection(machine)
        except OSError:
            gevent.sleep(PAUSE_S)
            return None

    def ask_once_each(self) -> None:
        """Open a connection for each request."""
        while not self.ending():
            connected = self.connect()
            if connected is None:
                continue
            machine, connection = connected
            self.ask(connection, self.next_request(machine))
            connection.close()
            gevent.sleep(PAUSE_S)

    def keep(self) -> None:
        """Use one connection until it ends, whatever becomes of the process behind it."""
        while not self.ending():
            connected = self.connect()
            if connected is None:
                continue
            machine, connection = connected
            while not self.ending():
                response = self.ask(connection, self.next_request(machine, persistent=True))
                if response is None or not response.keep_alive:
                    break
                gevent.sleep(self.chance.uniform(0, PAUSE_S))
            connection.close()

    def leave_early(self) -> None:
        """Leave before the answer, at times with several requests in flight on the connection."""
        while not self.ending():
            connected = self.connect()
            if connected is None:
                continue
            machine, connection = connected
            pipelined = self.chance.random() < PIPELINED_SHARE
            kinds = PIPELINED_KINDS if pipelined else KINDS
            count = self.chance.randint(2, 6) if pipelined else 1
            requests = [self.next_request(machine, kinds=kinds) for _ in range(count)]
            self.send_all_and_leave(connection, requests)
            gevent.sleep(PAUSE_S)

    def send_all_and_leave(self, connection: ClientConnection, requests: list[SentRequest]) -> None:
        """Send requests, read what comes in a short while, and close; at times by a reset."""
        try:
            for request in requests:
                self.send(connection, request)
            gevent.sleep(self.chance.uniform(0, MAX_STAY_S))
            self.read_what_came(connection, requests)
        except OSError:
            pass  # the proxy was the first to close
        left_at_ns = time.monotonic_ns()
        connection.close(reset=self.chance.random() < RESET_SHARE)
        for request in requests:
            if request.status is None:
                request.left_at_ns = left_at_ns
                request.ended_at_ns = left_at_ns

    def read_what_came(self, connection: ClientConnection, requests: list[SentRequest]) -> None:
        """Read the answers that are there already, in the order of their requests."""
        connection.sock.settimeout(0.0)
        try:
            for request in requests:
                response = connection.receive(request)
                if response is None:
                    return
                request.status = response.status
                request.ended_at_ns = time.monotonic_ns()
        except MisdeliveredAnswer as misdelivered:
            self.verdict.fail(Invariant.MIXED, str(misdelivered))
