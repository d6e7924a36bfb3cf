"""A proxy with faulty endpoints, over sockets.

Each response must belong to its request, and a non-idempotent request must not run twice, whatever the
endpoints do and for each kind of request.
"""

import itertools
import time
import unittest
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple
from unittest import mock

import gevent
import msgspec
from gevent import socket
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from flintreach.config.configuration import RequestLimits
from flintreach.config.settings import TimingBounds
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.proxy.balancing import FleetPosition
from flintreach.proxy.client_listener import ClientListener
from flintreach.proxy.forwarding import Forwarder
from flintreach.proxy.metrics import Metrics
from flintreach.proxy.request import ClientResponse, Request
from flintreach.proxy.view import RoutingView
from flintreach.standins.adversary import ACTS, RESET, Adversary, ReceivedRequest, answer_body

EXAMPLES = settings(derandomize=True, deadline=None, max_examples=120)


# Statuses that guarantee that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class ClientRequest(NamedTuple):
    """A client's request; `kind` is a key of `REQUEST_KINDS`."""

    kind: str
    id: str
    method: str
    target: str
    body: bytes


class ClientSideResponse(NamedTuple):
    """A response as read by the client; headers by lower-case name."""

    status: int
    headers: dict[str, str]
    body: bytes


# kind of request -> method, path, whether it is idempotent
REQUEST_KINDS = {
    "get": ("GET", "/s/%s", True),
    "head": ("HEAD", "/s/%s", True),
    "post": ("POST", "/u/%s", False),
    "unsafe get": ("GET", "/u/%s", False),
    "unsafe head": ("HEAD", "/u/%s", False),
    "sharded post": ("POST", "/k/%s", False),
    "idempotent post": ("POST", "/s/%s", True),
}


# Acts after which the endpoint's response is valid.
VALID_RESPONSE_ACTS = (
    "answer",
    "connection close",
    "chunked",
    "interim",
    "empty",
    "empty with a length",
    "odd load",
    "long numbers",
    "hop-by-hop headers",
    "head with body",
)


def configuration(*routes: tuple[str, str, str, int, int]) -> bytes:
    """An encoded configuration; each route is (name, kind, service, latency target in ms, deadline in ms)."""
    return msgspec.json.encode(
        {
            "edition": "00000001",
            "wickets": [
                {
                    "destination": "a",
                    "regulations": [
                        {
                            "name": name,
                            "kind": kind,
                            "target_ms": target_ms,
                            "sorting": {"postcode": f"/{name}/"},
                            "dispatch": {"line": service, "deadline_ms": deadline_ms, "tries": 3},
                        }
                        for name, kind, service, target_ms, deadline_ms in routes
                    ],
                }
            ],
            "depots": [{"name": "desk"}, {"name": "lot", "sharded": True}],
        }
    )


# For endpoints that may not respond: such a request takes its whole deadline, so deadlines are short.
SHORT_DEADLINES = configuration(
    ("s", "safe", "desk", 20, 30), ("u", "unsafe", "desk", 20, 30), ("k", "unsafe", "lot", 400, 100)
)

# For endpoints that always respond: no deadline is reached.
LONG_DEADLINES = configuration(
    ("s", "safe", "desk", 2000, 4000), ("u", "unsafe", "desk", 2000, 4000), ("k", "unsafe", "lot", 2000, 4000)
)


class Client:
    """A client with its own strict HTTP parser, independent of the proxy's."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=5)
        self.buffer = b""

    def send(self, sent: ClientRequest, *more_headers: str) -> None:
        """Send a request."""
        lines = [f"{sent.method} {sent.target} HTTP/1.1", "Host: a", *more_headers]
        lines += [f"X-Try-Id: {sent.id}"] if sent.id else []
        if sent.method == "POST":
            lines.append(f"Content-Length: {len(sent.body)}")
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode("latin-1") + sent.body)

    def read_until(self, is_enough: Callable[[bytes], bool]) -> bool:
        """Read until `is_enough` accepts the buffer; False if the connection ends first."""
        while not is_enough(self.buffer):
            data = self.sock.recv(65536)
            if not data:
                return False
            self.buffer += data
        return True

    def receive(self, sent: ClientRequest) -> ClientSideResponse | None:
        """Read the next response; None if the connection ends before it is complete."""
        if not self.read_until(lambda buffer: b"\r\n\r\n" in buffer):
            assert not self.buffer, f"truncated response: {self.buffer[:80]!r}"
            return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        version, status, _ = first.split(" ", 2)
        assert version == "HTTP/1.1" and len(status) == 3, first
        headers = [
            (name.lower(), value.strip()) for name, _, value in (line.partition(":") for line in lines)
        ]
        headers_by_name = dict(headers)
        assert len([name for name, _ in headers if name in ("content-length", "x-try-id")]) <= 2, headers
        size = (
            0 if sent.method == "HEAD" or status in ("204", "304") else int(headers_by_name["content-length"])
        )
        if not self.read_until(lambda buffer: len(buffer) >= size):
            return None  # truncated, which its length reveals to the client
        body = self.buffer[:size]
        self.buffer = self.buffer[size:]
        return ClientSideResponse(int(status), headers_by_name, body)

    def end(self) -> bytes:
        """Shut down sending, close, and return the bytes received that belong to no expected response."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
            self.read_until(lambda buffer: False)
        except OSError:
            pass
        self.sock.close()
        return self.buffer


class ProxyAndEndpoints:
    """A client listener, its forwarder, two endpoints of one service, and the owner of all shard keys."""

    def __init__(self) -> None:
        self.endpoints = [Adversary("e0"), Adversary("e1"), Adversary("k0")]
        self.numbers = itertools.count(1)
        self.listener = ClientListener(("127.0.0.1", 0), None, RequestLimits)
        self.reset()
        self.listener.start()

    def reset(
        self,
        scripts: Iterable[Iterable[str]] = (),
        max_write_bytes: int = 1 << 20,
        config: bytes = LONG_DEADLINES,
    ) -> None:
        """Start an example without connections, counts or ejections of endpoints from earlier ones.

        Args:
            scripts: acts of each endpoint.
            max_write_bytes: maximum bytes that an endpoint writes at once.
            config: encoded configuration.
        """
        for handler in [*self.listener.handlers]:
            handler.close()
        updates = VersionedStore()
        self.view = RoutingView(
            updates, FleetPosition("n", "r"), {"n": "r"}, time.monotonic_ns, TimingBounds()
        )
        updates.offer("timetable", 1, config)
        for endpoint, script in itertools.zip_longest(self.endpoints, scripts, fillvalue=()):
            endpoint.clear()
            endpoint.script.extend(script)
            endpoint.write_bytes = max_write_bytes
            updates.offer(
                f"hut/{endpoint.id}",
                [1, 0],
                {
                    "line": "lot" if endpoint.id == "k0" else "desk",
                    "addr": endpoint.addr,
                    "zone": "n",
                    "berths": 4,
                    "state": "ready",
                    "cold": 0,
                },
            )
        updates.offer("bunks/lot", [1, 1], [[0, 65535, "k0", "held"]])
        self.metrics = Metrics()
        bounds = TimingBounds(retry_slack=1000)
        self.listener.forwarder = self.forwarder = Forwarder(self.view, bounds, self.metrics, LoadAggregate())

    def request(self, kind: str) -> ClientRequest:
        """Create a request of a kind, with a unique id."""
        id = f"{next(self.numbers):016x}"
        method, path, _ = REQUEST_KINDS[kind]
        return ClientRequest(
            kind, id, method, path % id, f"body of {id}".encode() if method == "POST" else b""
        )

    def send(self, client: Client, sent: ClientRequest) -> None:
        """Send a request after clearing ejections, so that it can reach endpoints that failed before."""
        for endpoint in self.view.endpoints.values():
            endpoint.record_success()
            endpoint.unanswered_since = None
        client.send(sent, *(["X-Shard-Key: 7"] if sent.kind == "sharded post" else []))

    def wait_until_idle(self) -> None:
        """Wait until no attempt and no client connection is active, then close idle connections."""
        with gevent.Timeout(5):
            while (
                any(endpoint.own_requests for endpoint in self.view.endpoints.values())
                or self.listener.handlers
            ):
                gevent.sleep(0.001)
        for endpoint in self.view.endpoints.values():
            endpoint.pool.close()

    def runs(self, sent: ClientRequest) -> int:
        """How often a request has run at any endpoint."""
        return sum(endpoint.run_counts[sent.id] for endpoint in self.endpoints)

    def find_fault(self, sent: ClientRequest, received: ClientSideResponse | None) -> str:
        """Describe what is wrong with a response, or return ""; to be called after `wait_until_idle`."""
        runs = self.runs(sent)
        idempotent = REQUEST_KINDS[sent.kind][2]
        if not idempotent and runs > 1:
            return f"run {runs} times"
        for endpoint in self.endpoints:
            for forwarded in endpoint.requests:
                if (
                    forwarded.id == sent.id
                    and (forwarded.method, forwarded.target, forwarded.body) != sent[2:]
                ):
                    return f"forwarded request differs: {forwarded}"
        if received is None:
            return ""
        if received.headers.get("x-try-id") != sent.id:
            return f"response to {received.headers.get('x-try-id')}"
        if not idempotent and received.status in NOT_RUN_STATUSES and runs:
            return f"{received.status} guarantees that the request has not run, but it has"
        if 200 <= received.status < 300:
            forwarded = ReceivedRequest(sent.method, sent.target, {"x-try-id": sent.id}, sent.body)
            bodies = {
                f"{endpoint.id}.{sent.id}": answer_body(forwarded, endpoint.id) for endpoint in self.endpoints
            }
            stamp = received.headers.get("x-postmark")
            if stamp not in bodies or not runs:
                return f"{received.status} with X-Postmark {stamp}"
            is_bodiless = sent.method == "HEAD" or received.status == 204
            if received.body != (b"" if is_bodiless else bodies[stamp]):
                return f"wrong body: {received.body!r}"
            if "content-encoding" in received.headers or "transfer-encoding" in received.headers:
                return f"unexpected coding: {received.headers}"
            if is_bodiless and received.headers.get("content-length") not in (None, str(len(bodies[stamp]))):
                return f"wrong Content-Length: {received.headers}"
            if received.status == 204 and "content-length" in received.headers:
                return "Content-Length in a response without body"
        elif received.status not in (*NOT_RUN_STATUSES, 500, 502, 504):
            return f"unexpected status {received.status}"
        return ""


class SocketTestCase(unittest.TestCase):
    """Base of test cases that share a proxy and its endpoints."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.fixture = ProxyAndEndpoints()

    @classmethod
    def tearDownClass(cls) -> None:
        cls.fixture.listener.stop(timeout=0)
        for endpoint in cls.fixture.endpoints:
            endpoint.stop()

    def send_requests(
        self,
        scripts: Iterable[Iterable[str]],
        kinds: Iterable[str],
        pipelined: int = 1,
        disconnect_before: int | None = None,
        max_write_bytes: int = 1 << 20,
        config: bytes = SHORT_DEADLINES,
    ) -> list[list]:
        """Send requests on one connection and read the responses.

        Args:
            scripts: acts of each endpoint.
            kinds: kinds of the requests, in order.
            pipelined: number of requests in flight before the next response is read.
            disconnect_before: index of the response before which the client disconnects; None if it does not.
            max_write_bytes: maximum bytes that an endpoint writes at once.
            config: encoded configuration.

        Returns:
            [request, response or None] of each request that was sent.
        """
        fixture = self.fixture
        fixture.reset(scripts, max_write_bytes, config)
        with gevent.Timeout(10):
            client = Client(fixture.listener.address)
            exchanges = []
            unanswered = []
            for kind in kinds:
                sent = fixture.request(kind)
                unanswered.append(sent)
                exchanges.append([sent, None])
                try:
                    fixture.send(client, sent)
                    while len(unanswered) >= pipelined:
                        if not self.receive(client, unanswered, exchanges, disconnect_before):
                            break
                except OSError:
                    break
            try:
                while unanswered and self.receive(client, unanswered, exchanges, disconnect_before):
                    pass
                rest = client.end()
            except OSError:
                rest = b""
            fixture.wait_until_idle()
        if disconnect_before is None:
            self.assertEqual(rest, b"")
        return exchanges

    def receive(
        self,
        client: Client,
        unanswered: list[ClientRequest],
        exchanges: list[list],
        disconnect_before: int | None,
    ) -> bool:
        """Read the next response; False if the connection ends before it."""
        sent = unanswered[0]
        index = next(at for at, (other, _) in enumerate(exchanges) if other is sent)
        if index == disconnect_before:
            client.sock.close()
            raise OSError
        received = client.receive(sent)
        exchanges[index][1] = received
        unanswered.pop(0)
        return received is not None

    def check_responses(self, exchanges: Sequence[list], *context: object) -> None:
        """Assert that responses belong to their requests, and none is missing before the connection ends."""
        ended = False
        for sent, received in exchanges:
            self.assertEqual(self.fixture.find_fault(sent, received), "", (sent, received, *context))
            self.assertTrue(received or ended, ("no response", sent, *context))
            ended = ended or received is None or "close" in received.headers.get("connection", "")


class SingleFaults(SocketTestCase):
    """Each fault of an endpoint, followed by ordinary requests that may reuse its connections."""

    def test_responses_match_requests_after_each_fault_and_kind_of_request(self) -> None:
        for act in ACTS:
            for kind in ("get", "head", "post", "sharded post"):
                with self.subTest(act=act, kind=kind):
                    exchanges = self.send_requests(
                        [[act], [act], [act]], [kind, "get", "post", "sharded post"]
                    )
                    self.check_responses(exchanges, self.fixture.metrics.counts)

    def test_valid_responses_are_forwarded(self) -> None:
        for act in (act for act in VALID_RESPONSE_ACTS if act in ACTS):
            for kind in REQUEST_KINDS:
                with self.subTest(act=act, kind=kind):
                    exchanges = self.send_requests(
                        [[act]] * 3, [kind, "get", "post", "sharded post"], config=LONG_DEADLINES
                    )
                    self.check_responses(exchanges, self.fixture.metrics.counts)
                    self.assertEqual({received.status for _, received in exchanges} - {200, 204}, set())

    def test_responses_match_requests_after_two_faults_of_the_only_key_owner(self) -> None:
        for first in (
            "503",
            "421",
            "refused twice",
            "answered again later",
            "late",
            "first answer again",
            "interim",
            "truncated",
        ):
            for second in ("refused twice", "late"):
                with self.subTest(first=first, second=second):
                    exchanges = self.send_requests([[], [], [first, second]], ["sharded post"] * 3)
                    self.check_responses(exchanges, self.fixture.metrics.counts)


class Scenarios(SocketTestCase):
    """Specific sequences of events."""

    def exchange(
        self, sent: ClientRequest, *more_headers: str, client: Client | None = None
    ) -> ClientSideResponse | None:
        """Send one request and read its response, on a new connection unless `client` is given."""
        connection = client or Client(self.fixture.listener.address)
        with gevent.Timeout(5):
            connection.send(sent, *more_headers)
            received = connection.receive(sent)
            if client is None:
                self.assertEqual(connection.end(), b"")
        return received

    def test_an_exception_in_forwarding_gives_502_and_keeps_responses_in_order(self) -> None:
        fixture = self.fixture
        fixture.reset()
        sent = [fixture.request("get") for _ in range(4)]
        forward = fixture.forwarder.forward

        def fail_second(request: Request) -> ClientResponse:
            if request.headers_by_name["x-try-id"] == sent[1].id:
                raise KeyError("simulated bug")
            return forward(request)

        client = Client(fixture.listener.address)
        with (
            mock.patch.object(fixture.forwarder, "forward", fail_second),
            gevent.Timeout(5),
            mock.patch.object(gevent.get_hub(), "handle_error") as handle_error,
        ):
            for request in sent:
                fixture.send(client, request)
            received = [client.receive(request) for request in sent]
        self.assertEqual(
            [(answer.status, answer.headers["x-try-id"]) for answer in received],
            [(502 if request is sent[1] else 200, request.id) for request in sent],
        )
        self.assertEqual(handle_error.call_count, 1)
        client.end()

    def runs_after_closing_response(self, **patches: Callable) -> int:
        """How often a non-idempotent request has run that was pipelined after one whose response closes the
        connection.  It must not run, as the client will send it again on another connection."""
        fixture = self.fixture
        released = Event()
        fixture.reset()
        get_request = fixture.request("get")
        unsafe_get = fixture.request("unsafe get")
        forward = fixture.forwarder.forward

        def forward_late(request: Request) -> ClientResponse:
            if request.headers_by_name["x-try-id"] == get_request.id:
                released.wait()
            return forward(request)

        def drain() -> None:
            fixture.listener.draining = True
            released.set()

        client = Client(fixture.listener.address)
        with mock.patch.multiple(fixture.forwarder, forward=forward_late, **patches), gevent.Timeout(5):
            fixture.send(client, get_request)
            fixture.send(client, unsafe_get)
            gevent.spawn_later(0.02, drain)
            try:
                self.assertEqual(client.receive(get_request).headers["connection"], "close")
                self.assertIsNone(client.receive(unsafe_get))
            finally:
                fixture.listener.draining = False
        client.end()
        fixture.wait_until_idle()
        return fixture.runs(unsafe_get)

    def test_a_non_idempotent_request_does_not_run_after_a_closing_response(self) -> None:
        self.assertEqual(self.runs_after_closing_response(), 0)

    def test_idempotence_is_checked_again_before_forwarding(self) -> None:
        # For both requests when they are read, then for the second one when it is forwarded.
        pipelined = iter([True, True, False])
        self.assertEqual(self.runs_after_closing_response(may_pipeline=lambda request: next(pipelined)), 0)

    def test_100_continue_is_sent_after_earlier_responses(self) -> None:
        fixture = self.fixture
        released = Event()
        fixture.reset()
        get_request = fixture.request("get")
        put_request = fixture.request("idempotent post")
        forward = fixture.forwarder.forward

        def forward_late(request: Request) -> ClientResponse:
            released.wait()
            return forward(request)

        client = Client(fixture.listener.address)
        with mock.patch.object(fixture.forwarder, "forward", forward_late), gevent.Timeout(5):
            client.send(get_request)
            client.send(
                put_request._replace(method="PUT", body=b""),
                "Expect: 100-continue",
                f"Content-Length: {len(put_request.body)}",
            )
            gevent.spawn_later(0.02, released.set)
            self.assertEqual(client.receive(get_request).headers["x-try-id"], get_request.id)
            client.read_until(lambda buffer: buffer.endswith(b"\r\n\r\n"))
            self.assertEqual(client.buffer, b"HTTP/1.1 100 Continue\r\n\r\n")
            client.buffer = b""
            client.sock.sendall(put_request.body)
            received = client.receive(put_request)
        client.end()
        fixture.wait_until_idle()
        self.assertEqual(
            (received.status, fixture.find_fault(put_request._replace(method="PUT"), received)), (200, "")
        )

    def test_a_request_without_an_id_gets_its_own_connection(self) -> None:
        """Responses are matched by id, so a response without one could belong to another request."""
        fixture = self.fixture
        fixture.reset([[], [], ["answer", "answered again later", "answered again later"]])
        client = Client(fixture.listener.address)
        observed = []
        endpoint = fixture.view.endpoints["k0"]
        before = fixture.endpoints[2].connections_opened
        for name, id in (("first", "17"), ("second", ""), ("third", ""), ("fourth", "18")):
            sent = ClientRequest("sharded post", id, "POST", f"/k/{name}", b"")
            observed.append(self.exchange(sent, "X-Shard-Key: 7", client=client).body.split(b" ")[3])
            observed.append((fixture.endpoints[2].connections_opened - before, len(endpoint.pool.idle)))
        client.end()
        fixture.wait_until_idle()
        self.assertEqual(
            observed, [b"/k/first", (1, 1), b"/k/second", (2, 1), b"/k/third", (3, 1), b"/k/fourth", (3, 1)]
        )

    def test_malformed_numbers_in_headers_of_a_client_are_ignored(self) -> None:
        fixture = self.fixture
        fixture.reset()
        for value in ("\xb2", "9" * 5000, "-1", "1e3", ""):
            for name, kind in (("X-Time-Left-Ms", "post"), ("X-Shard-Key", "get")):
                sent = fixture.request(kind)
                self.assertEqual(self.exchange(sent, f"{name}: {value}").status, 200, (name, value[:9]))
        fixture.wait_until_idle()

    def test_a_connection_header_cannot_remove_the_request_id(self) -> None:
        fixture = self.fixture
        fixture.reset()
        sent = fixture.request("post")
        received = self.exchange(sent, "Connection: X-Try-Id, Host, X-Other", "X-Other: 1")
        fixture.wait_until_idle()
        self.assertEqual(
            (received.status, fixture.find_fault(sent, received), fixture.runs(sent)), (200, "", 1)
        )
        (forwarded,) = [forwarded for endpoint in fixture.endpoints for forwarded in endpoint.requests]
        self.assertEqual(("x-other" in forwarded.headers, forwarded.headers["host"]), (False, "a"))

    def test_another_endpoint_at_the_same_address_runs_nothing(self) -> None:
        fixture = self.fixture
        for kind in ("get", "post", "sharded post"):
            fixture.reset()
            for other in fixture.endpoints:
                warm = fixture.request(kind)  # establishes a connection
                self.exchange(warm, "X-Shard-Key: 7")
                original_id = other.id
                other.id = "stranger"
                try:
                    sent = [fixture.request(kind) for _ in range(3)]
                    received = [self.exchange(each, "X-Shard-Key: 7") for each in sent]
                finally:
                    other.id = original_id
                for endpoint in fixture.view.endpoints.values():
                    endpoint.record_success()
            fixture.wait_until_idle()
            for each, answer in zip(sent, received):
                self.assertEqual(fixture.find_fault(each, answer), "")
                self.assertIn(answer.status, (200, 503))
                self.assertLessEqual(fixture.runs(each), answer.status == 200)

    def test_no_request_is_attempted_twice_on_one_connection(self) -> None:
        """The owner of the key sends a surplus second refusal, and runs the request when it is retried.

        On the same connection, the surplus refusal would be taken for the response to the retry, as both have
        the request's id.
        """
        fixture = self.fixture
        fixture.reset([[], [], ["refused twice"]])
        before = fixture.endpoints[2].connections_opened
        sent = fixture.request("sharded post")
        received = self.exchange(sent, "X-Shard-Key: 7")
        fixture.wait_until_idle()
        self.assertEqual(
            (fixture.find_fault(sent, received), received.status, fixture.runs(sent)), ("", 200, 1)
        )
        self.assertEqual(fixture.endpoints[2].connections_opened - before, 2)

    def test_only_connections_with_exactly_one_complete_response_are_reused(self) -> None:
        """The id would reveal a stale response, but such a connection must not be reused at all."""
        fixture = self.fixture
        expected_idle = {
            "answer": 1,
            "chunked": 1,
            "interim": 1,
            "fails": 1,
            "503": 1,
            "421": 1,
            "answered twice": 0,
            "trailing garbage": 0,
            "other id": 0,
            "late": 0,
            "no answer": 0,
            "truncated": 0,
            "reset": 0,
            "close": 0,
            "connection close": 0,
            "no length": 0,
            "garbage": 0,
            "two ids": 0,
            "encoded": 0,
        }
        for act, count in expected_idle.items():
            for kind in ("post", "get"):
                fixture.reset([[act]] * 3, config=LONG_DEADLINES if count else SHORT_DEADLINES)
                self.exchange(fixture.request(kind))
                endpoints = fixture.view.endpoints.values()
                with gevent.Timeout(5):
                    while any(endpoint.own_requests for endpoint in endpoints):
                        gevent.sleep(0.001)
                idle_counts = {len(endpoint.pool.idle) for endpoint in endpoints if endpoint.sent_at}
                self.assertEqual(idle_counts, {count}, (act, kind))
                fixture.wait_until_idle()

    def test_an_idle_connection_is_checked_before_reuse(self) -> None:
        """A connection may be closed, reset, or have unexpected data on it.

        A non-idempotent request sent on it would fail without a guarantee that it has not run.
        """
        fixture = self.fixture
        owner = fixture.endpoints[2]
        for event in ("close", "reset", "bytes"):
            fixture.reset()
            self.exchange(fixture.request("sharded post"), "X-Shard-Key: 7")
            (served_connection,) = owner.connections
            if event == "bytes":
                served_connection.sock.sendall(
                    owner.reply(ReceivedRequest("POST", "/k/0", {"x-try-id": "0"}))
                )
            else:
                if event == "reset":
                    served_connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                served_connection.sock.close()
            (idle,) = fixture.view.endpoints["k0"].pool.idle
            gevent.socket.wait_read(idle.sock.fileno(), timeout=5)  # until the event has reached the proxy
            sent = fixture.request("sharded post")
            received = self.exchange(sent, "X-Shard-Key: 7")
            fixture.wait_until_idle()
            self.assertEqual(
                (received.status, fixture.find_fault(sent, received), fixture.runs(sent)), (200, "", 1), event
            )

    def test_bytes_read_for_one_response_are_bounded(self) -> None:
        fixture = self.fixture
        for act, max_bytes in (("many others", 1 << 20), ("incomplete body", 100)):
            fixture.reset([[act], [act]])
            sent = fixture.request("post")
            with mock.patch("flintreach.proxy.exchange.MAX_RESPONSE_BYTES", max_bytes):
                # Not 504: reading stops before the deadline.
                self.assertEqual(self.exchange(sent).status, 502, act)
            fixture.wait_until_idle()


class RandomFaults(SocketTestCase):
    """Random sequences of faults and requests."""

    @EXAMPLES
    @given(
        st.lists(st.lists(st.sampled_from([*ACTS]), max_size=5), min_size=3, max_size=3),
        st.lists(st.sampled_from([*REQUEST_KINDS]), min_size=1, max_size=6),
        st.integers(1, 6),
        st.none() | st.integers(0, 5),
        st.sampled_from([1, 7, 1 << 20]),
    )
    def test_responses_match_requests_and_no_non_idempotent_request_runs_twice(
        self,
        scripts: list[list[str]],
        kinds: list[str],
        pipelined: int,
        disconnect_before: int | None,
        max_write_bytes: int,
    ) -> None:
        exchanges = self.send_requests(scripts, kinds, pipelined, disconnect_before, max_write_bytes)
        self.check_responses(exchanges[:disconnect_before], self.fixture.metrics.counts)


if __name__ == "__main__":
    unittest.main()
