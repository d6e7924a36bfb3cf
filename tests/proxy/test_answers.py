"""What endpoints do, for each kind of request, over sockets: answers belong, and nothing runs twice."""

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


# Statuses that promise that a request has not run.
PROMISES = (408, 421, 429, 503)


class Sent(NamedTuple):
    """A request of a client, of a kind of `KINDS`."""

    kind: str
    id: str
    method: str
    target: str
    body: bytes


class Received(NamedTuple):
    """An answer as its client has read it; headers by their names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


# kind of request -> method, path, whether it is idempotent
KINDS = {
    "look": ("GET", "/s/%s", True),
    "head": ("HEAD", "/s/%s", True),
    "book": ("POST", "/u/%s", False),
    "odd book": ("GET", "/u/%s", False),
    "odd head": ("HEAD", "/u/%s", False),
    "keyed": ("POST", "/k/%s", False),
    "put": ("POST", "/s/%s", True),
}


# Acts in which an endpoint did nothing that spoils its answer.
PLAIN = (
    "answer",
    "close told",
    "chunked",
    "interim",
    "empty",
    "empty with a length",
    "odd load",
    "long numbers",
    "hop",
    "head with body",
)


def configuration(*routes: tuple[str, str, str, int, int]) -> bytes:
    """A configuration: (path, kind, service, latency target and deadline in ms) of each route."""
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


# Where endpoints fall silent each silence costs its deadline; where they do not, none is ever reached.
QUICK = configuration(
    ("s", "safe", "desk", 20, 30), ("u", "unsafe", "desk", 20, 30), ("k", "unsafe", "lot", 400, 100)
)


PATIENT = configuration(
    ("s", "safe", "desk", 2000, 4000), ("u", "unsafe", "desk", 2000, 4000), ("k", "unsafe", "lot", 2000, 4000)
)


class Client:
    """A client that knows HTTP by itself: it takes no byte for an answer that is none."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=5)
        self.buffer = b""

    def send(self, sent: Sent, *more_headers: str) -> None:
        """Send a request."""
        rows = [f"{sent.method} {sent.target} HTTP/1.1", "Host: a", *more_headers]
        rows += [f"X-Try-Id: {sent.id}"] if sent.id else []
        if sent.method == "POST":
            rows.append(f"Content-Length: {len(sent.body)}")
        self.sock.sendall("\r\n".join([*rows, "", ""]).encode("latin-1") + sent.body)

    def read_until(self, is_enough: Callable[[bytes], bool]) -> bool:
        """Read until the buffer is enough; False where the connection ends before."""
        while not is_enough(self.buffer):
            data = self.sock.recv(65536)
            if not data:
                return False
            self.buffer += data
        return True

    def receive(self, sent: Sent) -> Received | None:
        """The next answer; None where the connection ended before it."""
        if not self.read_until(lambda buffer: b"\r\n\r\n" in buffer):
            assert not self.buffer, f"half an answer: {self.buffer[:80]!r}"
            return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first, *rows = head.decode("latin-1").split("\r\n")
        version, status, _ = first.split(" ", 2)
        assert version == "HTTP/1.1" and len(status) == 3, first
        headers = [(name.lower(), value.strip()) for name, _, value in (row.partition(":") for row in rows)]
        found = dict(headers)
        assert len([name for name, _ in headers if name in ("content-length", "x-try-id")]) <= 2, headers
        size = 0 if sent.method == "HEAD" or status in ("204", "304") else int(found["content-length"])
        if not self.read_until(lambda buffer: len(buffer) >= size):
            return None  # cut, and seen to be: its length says so
        body = self.buffer[:size]
        self.buffer = self.buffer[size:]
        return Received(int(status), found, body)

    def end(self) -> bytes:
        """What comes when nothing more is due."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
            self.read_until(lambda buffer: False)
        except OSError:
            pass
        self.sock.close()
        return self.buffer


class ProxyAndEndpoints:
    """A listener with its forwarder, and faulty endpoints: two alike, and one that owns all keys."""

    def __init__(self) -> None:
        self.endpoints = [Adversary("e0"), Adversary("e1"), Adversary("k0")]
        self.numbers = itertools.count(1)
        self.listener = ClientListener(("127.0.0.1", 0), None, RequestLimits)
        self.reset()
        self.listener.start()

    def reset(
        self, scripts: Iterable[Iterable[str]] = (), portion: int = 1 << 20, config: bytes = PATIENT
    ) -> None:
        """Begin an example: no connection, count or ejection of an endpoint outlasts another one.

        Args:
            scripts: what each endpoint does.
            portion: bytes that an endpoint sends at once.
            config: the configuration.
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
            endpoint.write_bytes = portion
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

    def request(self, kind: str) -> Sent:
        """A request of a kind, with an id of its own."""
        id = f"{next(self.numbers):016x}"
        method, path, _ = KINDS[kind]
        return Sent(kind, id, method, path % id, f"body of {id}".encode() if method == "POST" else b"")

    def send(self, client: Client, sent: Sent) -> None:
        """Send a request, with each endpoint in use whatever it did: the request meets what that left."""
        for endpoint in self.view.endpoints.values():
            endpoint.record_success()
            endpoint.unanswered_since = None
        client.send(sent, *(["X-Shard-Key: 7"] if sent.kind == "keyed" else []))

    def settle(self) -> None:
        """Wait until nothing is under way any more."""
        with gevent.Timeout(5):
            while (
                any(endpoint.own_requests for endpoint in self.view.endpoints.values())
                or self.listener.handlers
            ):
                gevent.sleep(0.001)
        for endpoint in self.view.endpoints.values():
            endpoint.pool.close()

    def runs(self, sent: Sent) -> int:
        """How often a request has run."""
        return sum(endpoint.run_counts[sent.id] for endpoint in self.endpoints)

    def fault(self, sent: Sent, received: Received | None) -> str:
        """What is wrong with the answer to a request, empty where nothing is; asked when all is settled."""
        runs = self.runs(sent)
        idempotent = KINDS[sent.kind][2]
        if not idempotent and runs > 1:
            return f"run {runs} times"
        for endpoint in self.endpoints:
            for asked in endpoint.requests:
                if asked.id == sent.id and (asked.method, asked.target, asked.body) != sent[2:]:
                    return f"not what was sent: {asked}"
        if received is None:
            return ""
        if received.headers.get("x-try-id") != sent.id:
            return f"answer to {received.headers.get('x-try-id')}"
        if not idempotent and received.status in PROMISES and runs:
            return f"{received.status} promised, and it has run"
        if 200 <= received.status < 300:
            asked = ReceivedRequest(sent.method, sent.target, {"x-try-id": sent.id}, sent.body)
            bodies = {
                f"{endpoint.id}.{sent.id}": answer_body(asked, endpoint.id) for endpoint in self.endpoints
            }
            stamp = received.headers.get("x-postmark")
            if stamp not in bodies or not runs:
                return f"{received.status} with stamp {stamp}"
            is_bodiless = sent.method == "HEAD" or received.status == 204
            if received.body != (b"" if is_bodiless else bodies[stamp]):
                return f"not its body: {received.body!r}"
            if "content-encoding" in received.headers or "transfer-encoding" in received.headers:
                return f"encoded: {received.headers}"
            if is_bodiless and received.headers.get("content-length") not in (None, str(len(bodies[stamp]))):
                return f"not its length: {received.headers}"
            if received.status == 204 and "content-length" in received.headers:
                return "a length where there is no body"
        elif received.status not in (*PROMISES, 500, 502, 504):
            return f"status {received.status}"
        return ""


class OnSockets(unittest.TestCase):
    """Cases that share a proxy and its endpoints."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.stage = ProxyAndEndpoints()

    @classmethod
    def tearDownClass(cls) -> None:
        cls.stage.listener.stop(timeout=0)
        for endpoint in cls.stage.endpoints:
            endpoint.stop()

    def play(
        self,
        scripts: Iterable[Iterable[str]],
        kinds: Iterable[str],
        ahead: int = 1,
        leave: int | None = None,
        portion: int = 1 << 20,
        config: bytes = QUICK,
    ) -> list[list]:
        """Requests on one connection.

        Args:
            scripts: what each endpoint does.
            kinds: of the requests.
            ahead: how many are sent before their answers are read.
            leave: number of the answer before which the client goes away.
            portion: bytes that an endpoint sends at once.
            config: the configuration.

        Returns:
            [request, its answer or None] of each that was sent.
        """
        stage = self.stage
        stage.reset(scripts, portion, config)
        with gevent.Timeout(10):
            client = Client(stage.listener.address)
            found = []
            waiting = []
            for kind in kinds:
                sent = stage.request(kind)
                waiting.append(sent)
                found.append([sent, None])
                try:
                    stage.send(client, sent)
                    while len(waiting) >= ahead:
                        if not self.receive(client, waiting, found, leave):
                            break
                except OSError:
                    break
            try:
                while waiting and self.receive(client, waiting, found, leave):
                    pass
                rest = client.end()
            except OSError:
                rest = b""
            stage.settle()
        if leave is None:
            self.assertEqual(rest, b"")
        return found

    def receive(self, client: Client, waiting: list[Sent], found: list[list], leave: int | None) -> bool:
        """Read the next answer; False where the connection ended before it."""
        sent = waiting[0]
        place = next(at for at, (other, _) in enumerate(found) if other is sent)
        if place == leave:
            client.sock.close()
            raise OSError
        received = client.receive(sent)
        found[place][1] = received
        waiting.pop(0)
        return received is not None

    def check(self, found: Sequence[list], *about: object) -> None:
        """Assert that answers belong to their requests, and that none is missing before the end."""
        ended = False
        for sent, received in found:
            self.assertEqual(self.stage.fault(sent, received), "", (sent, received, *about))
            self.assertTrue(received or ended, ("no answer", sent, *about))
            ended = ended or received is None or "close" in received.headers.get("connection", "")


class EachFault(OnSockets):
    """Each fault of an endpoint by itself, then plain requests on what it left behind."""

    def test_answers_belong_to_their_requests_after_each_fault_and_kind_of_request(self) -> None:
        for act in ACTS:
            for kind in ("look", "head", "book", "keyed"):
                with self.subTest(act=act, kind=kind):
                    found = self.play([[act], [act], [act]], [kind, "look", "book", "keyed"])
                    self.check(found, self.stage.metrics.counts)

    def test_a_sound_answer_arrives(self) -> None:
        for act in (act for act in PLAIN if act in ACTS):
            for kind in KINDS:
                with self.subTest(act=act, kind=kind):
                    found = self.play([[act]] * 3, [kind, "look", "book", "keyed"], config=PATIENT)
                    self.check(found, self.stage.metrics.counts)
                    self.assertEqual({received.status for _, received in found} - {200, 204}, set())

    def test_answers_belong_to_their_requests_after_two_faults_of_a_sole_owner_of_keys(self) -> None:
        for first in ("503", "421", "refused twice", "surplus later", "late", "earlier", "interim", "cut"):
            for second in ("refused twice", "late"):
                with self.subTest(first=first, second=second):
                    found = self.play([[], [], [first, second]], ["keyed"] * 3)
                    self.check(found, self.stage.metrics.counts)


class Scenarios(OnSockets):
    """One course of events each."""

    def exchange(self, sent: Sent, *more_headers: str, client: Client | None = None) -> Received | None:
        """Send one request and read its answer, on a connection of its own unless there is a client."""
        connection = client or Client(self.stage.listener.address)
        with gevent.Timeout(5):
            connection.send(sent, *more_headers)
            received = connection.receive(sent)
            if client is None:
                self.assertEqual(connection.end(), b"")
        return received

    def test_an_exception_in_forwarding_leaves_no_gap_for_the_next_answer(self) -> None:
        stage = self.stage
        stage.reset()
        sent = [stage.request("look") for _ in range(4)]
        forward = stage.forwarder.forward

        def fail_second(request: Request) -> ClientResponse:
            if request.headers_by_name["x-try-id"] == sent[1].id:
                raise KeyError("a fault of ours")
            return forward(request)

        client = Client(stage.listener.address)
        with (
            mock.patch.object(stage.forwarder, "forward", fail_second),
            gevent.Timeout(5),
            mock.patch.object(gevent.get_hub(), "handle_error") as handle_error,
        ):
            for request in sent:
                stage.send(client, request)
            received = [client.receive(request) for request in sent]
        self.assertEqual(
            [(answer.status, answer.headers["x-try-id"]) for answer in received],
            [(502 if request is sent[1] else 200, request.id) for request in sent],
        )
        self.assertEqual(handle_error.call_count, 1)
        client.end()

    def runs_behind_an_answer_that_closes(self, **patches: Callable) -> int:
        """How often a request that must not run twice has run, sent behind one whose answer closes: the
        client sends it again, as nobody has read it."""
        stage = self.stage
        go = Event()
        stage.reset()
        look = stage.request("look")
        book = stage.request("odd book")
        forward = stage.forwarder.forward

        def forward_late(request: Request) -> ClientResponse:
            if request.headers_by_name["x-try-id"] == look.id:
                go.wait()
            return forward(request)

        def drain() -> None:
            stage.listener.draining = True
            go.set()

        client = Client(stage.listener.address)
        with mock.patch.multiple(stage.forwarder, forward=forward_late, **patches), gevent.Timeout(5):
            stage.send(client, look)
            stage.send(client, book)
            gevent.spawn_later(0.02, drain)
            try:
                self.assertEqual(client.receive(look).headers["connection"], "close")
                self.assertIsNone(client.receive(book))
            finally:
                stage.listener.draining = False
        client.end()
        stage.settle()
        return stage.runs(book)

    def test_what_is_not_idempotent_does_not_run_behind_an_answer_that_closes(self) -> None:
        self.assertEqual(self.runs_behind_an_answer_that_closes(), 0)

    def test_a_configuration_may_come_between_reading_and_forwarding(self) -> None:
        pipelined = iter([True, True, False])  # as it is read, and as it is forwarded
        self.assertEqual(
            self.runs_behind_an_answer_that_closes(may_pipeline=lambda request: next(pipelined)), 0
        )

    def test_an_interim_answer_of_the_proxy_stands_behind_the_answers_before_it(self) -> None:
        stage = self.stage
        go = Event()
        stage.reset()
        look = stage.request("look")
        put = stage.request("put")
        forward = stage.forwarder.forward

        def forward_late(request: Request) -> ClientResponse:
            go.wait()
            return forward(request)

        client = Client(stage.listener.address)
        with mock.patch.object(stage.forwarder, "forward", forward_late), gevent.Timeout(5):
            client.send(look)
            client.send(
                put._replace(method="PUT", body=b""),
                "Expect: 100-continue",
                f"Content-Length: {len(put.body)}",
            )
            gevent.spawn_later(0.02, go.set)
            self.assertEqual(client.receive(look).headers["x-try-id"], look.id)
            client.read_until(lambda buffer: buffer.endswith(b"\r\n\r\n"))
            self.assertEqual(client.buffer, b"HTTP/1.1 100 Continue\r\n\r\n")
            client.buffer = b""
            client.sock.sendall(put.body)
            received = client.receive(put)
        client.end()
        stage.settle()
        self.assertEqual((received.status, stage.fault(put._replace(method="PUT"), received)), (200, ""))

    def test_a_request_without_an_id_shares_its_connection_with_nobody(self) -> None:
        """Nothing tells its answer from another's."""
        stage = self.stage
        stage.reset([[], [], ["answer", "surplus later", "surplus later"]])
        client = Client(stage.listener.address)
        found = []
        endpoint = stage.view.endpoints["k0"]
        before = stage.endpoints[2].connections_opened
        for name, id in (("first", "17"), ("second", ""), ("third", ""), ("fourth", "18")):
            sent = Sent("keyed", id, "POST", f"/k/{name}", b"")
            found.append(self.exchange(sent, "X-Shard-Key: 7", client=client).body.split(b" ")[3])
            found.append((stage.endpoints[2].connections_opened - before, len(endpoint.pool.idle)))
        client.end()
        stage.settle()
        self.assertEqual(
            found, [b"/k/first", (1, 1), b"/k/second", (2, 1), b"/k/third", (3, 1), b"/k/fourth", (3, 1)]
        )

    def test_malformed_numbers_in_headers_of_a_client_are_ignored(self) -> None:
        stage = self.stage
        stage.reset()
        for value in ("\xb2", "9" * 5000, "-1", "1e3", ""):
            for name, kind in (("X-Time-Left-Ms", "book"), ("X-Shard-Key", "look")):
                sent = stage.request(kind)
                self.assertEqual(self.exchange(sent, f"{name}: {value}").status, 200, (name, value[:9]))
        stage.settle()

    def test_a_client_cannot_have_the_id_taken_off_its_request(self) -> None:
        stage = self.stage
        stage.reset()
        sent = stage.request("book")
        received = self.exchange(sent, "Connection: X-Try-Id, Host, X-Other", "X-Other: 1")
        stage.settle()
        self.assertEqual((received.status, stage.fault(sent, received), stage.runs(sent)), (200, "", 1))
        (asked,) = [asked for endpoint in stage.endpoints for asked in endpoint.requests]
        self.assertEqual(("x-other" in asked.headers, asked.headers["host"]), (False, "a"))

    def test_the_next_owner_of_an_address_runs_nothing(self) -> None:
        stage = self.stage
        for kind in ("look", "book", "keyed"):
            stage.reset()
            for other in stage.endpoints:
                warm = stage.request(kind)  # so that a connection stands
                self.exchange(warm, "X-Shard-Key: 7")
                old_id = other.id
                other.id = "stranger"
                try:
                    sent = [stage.request(kind) for _ in range(3)]
                    received = [self.exchange(each, "X-Shard-Key: 7") for each in sent]
                finally:
                    other.id = old_id
                for endpoint in stage.view.endpoints.values():
                    endpoint.record_success()
            stage.settle()
            for each, answer in zip(sent, received):
                self.assertEqual(stage.fault(each, answer), "")
                self.assertIn(answer.status, (200, 503))
                self.assertLessEqual(stage.runs(each), answer.status == 200)

    def test_no_request_is_attempted_twice_on_one_connection(self) -> None:
        """Its holder refuses it, then runs it: a surplus refusal has the id of the answer that is due."""
        stage = self.stage
        stage.reset([[], [], ["refused twice"]])
        before = stage.endpoints[2].connections_opened
        sent = stage.request("keyed")
        received = self.exchange(sent, "X-Shard-Key: 7")
        stage.settle()
        self.assertEqual((stage.fault(sent, received), received.status, stage.runs(sent)), ("", 200, 1))
        self.assertEqual(stage.endpoints[2].connections_opened - before, 2)

    def test_only_a_connection_that_brought_one_whole_answer_is_used_again(self) -> None:
        """The id would tell what else comes on it, but a second guard stands before that."""
        stage = self.stage
        kept = {
            "answer": 1,
            "chunked": 1,
            "interim": 1,
            "fails": 1,
            "503": 1,
            "421": 1,
            "surplus": 0,
            "garbage behind": 0,
            "other id": 0,
            "late": 0,
            "mute": 0,
            "cut": 0,
            "reset": 0,
            "close": 0,
            "close told": 0,
            "no length": 0,
            "garbage": 0,
            "two ids": 0,
            "encoded": 0,
        }
        for act, count in kept.items():
            for kind in ("book", "look"):
                stage.reset([[act]] * 3, config=PATIENT if count else QUICK)
                self.exchange(stage.request(kind))
                endpoints = stage.view.endpoints.values()
                with gevent.Timeout(5):
                    while any(endpoint.own_requests for endpoint in endpoints):
                        gevent.sleep(0.001)
                held = {len(endpoint.pool.idle) for endpoint in endpoints if endpoint.sent_at}
                self.assertEqual(held, {count}, (act, kind))
                stage.settle()

    def test_an_idle_connection_is_checked_before_it_is_used(self) -> None:
        """Closed, reset, or with bytes on it: what must not run twice would be lost, with no promise."""
        stage = self.stage
        owner = stage.endpoints[2]
        for trouble in ("close", "reset", "bytes"):
            stage.reset()
            self.exchange(stage.request("keyed"), "X-Shard-Key: 7")
            (line,) = owner.connections
            if trouble == "bytes":
                line.sock.sendall(owner.reply(ReceivedRequest("POST", "/k/0", {"x-try-id": "0"})))
            else:
                if trouble == "reset":
                    line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                line.sock.close()
            (idle,) = stage.view.endpoints["k0"].pool.idle
            gevent.socket.wait_read(idle.sock.fileno(), timeout=5)  # it has come
            sent = stage.request("keyed")
            received = self.exchange(sent, "X-Shard-Key: 7")
            stage.settle()
            self.assertEqual(
                (received.status, stage.fault(sent, received), stage.runs(sent)), (200, "", 1), trouble
            )

    def test_what_is_read_for_one_answer_is_bounded(self) -> None:
        stage = self.stage
        for act, most in (("many others", 1 << 20), ("never whole", 100)):
            stage.reset([[act], [act]])
            sent = stage.request("book")
            with mock.patch("flintreach.proxy.exchange.MAX_RESPONSE_BYTES", most):
                self.assertEqual(self.exchange(sent).status, 502, act)  # not 504: it was not waited for
            stage.settle()


class AnyFaults(OnSockets):
    """Faults drawn at random."""

    @EXAMPLES
    @given(
        st.lists(st.lists(st.sampled_from([*ACTS]), max_size=5), min_size=3, max_size=3),
        st.lists(st.sampled_from([*KINDS]), min_size=1, max_size=6),
        st.integers(1, 6),
        st.none() | st.integers(0, 5),
        st.sampled_from([1, 7, 1 << 20]),
    )
    def test_whatever_endpoints_do_answers_belong_and_nothing_runs_twice(
        self, scripts: list[list[str]], kinds: list[str], ahead: int, leave: int | None, portion: int
    ) -> None:
        found = self.play(scripts, kinds, ahead, leave, portion)
        self.check(found[:leave], self.stage.metrics.counts)


if __name__ == "__main__":
    unittest.main()
