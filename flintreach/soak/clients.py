"""Clients of a soak: some ask once a connection, some keep theirs while it stands, some leave early."""

import random
import time
from collections.abc import Callable

import gevent
from gevent import socket

from flintreach.demo.cluster import Machine
from flintreach.proxy.response import HTTPParseError, Response, ResponseParser
from flintreach.soak.ledger import Ledger, SentRequest, Verdict
from flintreach.standins.adversary import RESET

HOST = "camp.example"
KINDS = ("look", "file", "file", "fetch")
CONNECT_S, ANSWER_S = 0.5, 6.0
PAUSE_S = 0.08  # between the requests of one client
TIME_LEFT_MS = 3000
READ_SIZE = 65536


class Mixed(Exception):
    """An answer that belongs to another request, or bytes that are no answer."""


class ClientConnection:
    """One connection to a proxy.  Raises OSError where it does not come up or has ended."""

    def __init__(self, machine: Machine):
        host, port = machine.posts["front"].split(":")
        self.sock = socket.create_connection((host, int(port)), timeout=CONNECT_S)
        self.sock.settimeout(ANSWER_S)
        self.replies = ResponseParser()

    def send(self, request: SentRequest, path: str, key: int) -> None:
        method = "POST" if request.kind == "file" else "GET"
        body = f"body of {request.id}".encode() if method == "POST" else b""
        rows = (
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Try-Id: {request.id}",
            f"X-Time-Left-Ms: {TIME_LEFT_MS}",
            f"X-Shard-Key: {key}",
            f"Content-Length: {len(body)}",
        )
        self.sock.sendall("\r\n".join([*rows, "", ""]).encode() + body)

    def receive(self, request: SentRequest) -> Response | None:
        """The next answer, None where the connection ends before it.  Raises Mixed."""
        while not self.replies.complete:
            try:
                data = self.sock.recv(READ_SIZE)
            except OSError:
                return None
            if not data:
                return None
            try:
                self.replies.feed(data)
            except HTTPParseError:
                raise Mixed(f"no answer: {data[:60]!r}") from None
        message = self.replies.complete.pop(0)
        if not message.answers(request.id):
            raise Mixed(f"to {request.id} came {message.status} for another")
        return message

    def close(self, reset: bool = False) -> None:
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.sock.close()


class Client:
    """One client, with a chance of its own.  `machines()`: proxies to choose from; `ending()`: to stop."""

    def __init__(
        self,
        name: str,
        machines: Callable[[], list[Machine]],
        ledger: Ledger,
        verdict: Verdict,
        ending: Callable[[], bool],
    ):
        self.chance, self.machines, self.ledger = random.Random(name), machines, ledger
        self.verdict, self.ending = verdict, ending

    def next_request(self, machine: Machine, kept: bool = False, kinds=KINDS) -> SentRequest:
        id = f"{self.chance.getrandbits(64):016x}"
        request = SentRequest(id, machine, self.chance.choice(kinds), time.monotonic_ns(), kept)
        self.ledger.sent[id] = request
        return request

    def send(self, connection: ClientConnection, request: SentRequest) -> None:
        request.sent_at = time.monotonic_ns()
        path = f"/{request.kind}/{self.chance.randrange(100)}"
        connection.send(request, path, self.chance.randrange(65536))

    def ask(self, connection: ClientConnection, request: SentRequest) -> Response | None:
        """One request and its answer; None where the connection ended."""
        try:
            self.send(connection, request)
            message = connection.receive(request)
        except OSError:
            message = None
        except Mixed as mixed:
            self.verdict.fail("mixed", str(mixed))
            message = None
        request.ended_at = time.monotonic_ns()
        request.status = message.status if message else None
        return message

    def connect(self) -> tuple[Machine, ClientConnection] | None:
        machine = self.chance.choice(self.machines())
        try:
            return machine, ClientConnection(machine)
        except OSError:
            gevent.sleep(PAUSE_S)
            return None

    def ask_once_each(self) -> None:
        """A connection for each request."""
        while not self.ending():
            if (found := self.connect()) is not None:
                machine, connection = found
                self.ask(connection, self.next_request(machine))
                connection.close()
                gevent.sleep(PAUSE_S)

    def keep(self) -> None:
        """Use one connection until it ends, whatever becomes of the process behind it."""
        while not self.ending():
            if (found := self.connect()) is None:
                continue
            machine, connection = found
            while not self.ending():
                message = self.ask(connection, self.next_request(machine, kept=True))
                if message is None or not message.keep_alive:
                    break
                gevent.sleep(self.chance.uniform(0, PAUSE_S))
            connection.close()

    def leave_early(self) -> None:
        """Leave before the answer, at times with several requests under way on the connection."""
        while not self.ending():
            if (found := self.connect()) is None:
                continue
            machine, connection = found
            several = self.chance.random() < 0.3
            kinds = ("look", "fetch") if several else KINDS
            number = self.chance.randint(2, 6) if several else 1
            requests = [self.next_request(machine, kinds=kinds) for _ in range(number)]
            try:
                for request in requests:
                    self.send(connection, request)
                gevent.sleep(self.chance.uniform(0, 0.3))
                self.read_what_came(connection, requests)
            except OSError:
                pass
            now = time.monotonic_ns()
            connection.close(reset=self.chance.random() < 0.3)
            for request in requests:
                if request.status is None:
                    request.left_at = request.ended_at = now
            gevent.sleep(PAUSE_S)

    def read_what_came(self, connection: ClientConnection, requests: list[SentRequest]) -> None:
        """Answers that are there already, in the order of their requests."""
        connection.sock.settimeout(0.0)
        try:
            for request in requests:
                message = connection.receive(request)
                if message is None:
                    return
                request.status, request.ended_at = message.status, time.monotonic_ns()
        except Mixed as mixed:
            self.verdict.fail("mixed", str(mixed))
