"""What endpoints do, for each kind of request, over sockets: answers belong, and nothing runs twice."""

import itertools
import time
import unittest
from collections import namedtuple
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
from flintreach.proxy.view import RoutingView
from flintreach.standins.adversary import ACTS, RESET, Adversary, Asked, text

CALM = settings(derandomize=True, deadline=None, max_examples=120)


PROMISES = (408, 421, 429, 503)


Sent = namedtuple("Sent", "kind id method target body")


Got = namedtuple("Got", "status headers body")


# kind of request -> method, path, whether it may be repeated
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


def table(*routes) -> bytes:
    """A configuration: (path, kind, service, aim and deadline in ms) of each route."""
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
                            "target_ms": aim,
                            "sorting": {"postcode": f"/{name}/"},
                            "dispatch": {"line": line, "deadline_ms": deadline, "tries": 3},
                        }
                        for name, kind, line, aim, deadline in routes
                    ],
                }
            ],
            "depots": [{"name": "desk"}, {"name": "lot", "sharded": True}],
        }
    )


# Where endpoints fall silent each silence costs its deadline; where they do not, none is ever reached.
QUICK = table(
    ("s", "safe", "desk", 20, 30), ("u", "unsafe", "desk", 20, 30), ("k", "unsafe", "lot", 400, 100)
)


PATIENT = table(
    ("s", "safe", "desk", 2000, 4000), ("u", "unsafe", "desk", 2000, 4000), ("k", "unsafe", "lot", 2000, 4000)
)


class Client:
    """A client that knows HTTP by itself: it takes no byte for an answer that is none."""

    def __init__(self, address):
        self.sock, self.buffer = socket.create_connection(address, timeout=5), b""

    def say(self, sent: Sent, *more: str) -> None:
        rows = [f"{sent.method} {sent.target} HTTP/1.1", "Host: a", *more]
        rows += [f"X-Try-Id: {sent.id}"] if sent.id else []
        if sent.method == "POST":
            rows.append(f"Content-Length: {len(sent.body)}")
        self.sock.sendall("\r\n".join([*rows, "", ""]).encode("latin-1") + sent.body)

    def need(self, enough) -> bool:
        while not enough(self.buffer):
            data = self.sock.recv(65536)
            if not data:
                return False
            self.buffer += data
        return True

    def hear(self, sent: Sent) -> Got | None:
        """The next answer; None where the connection ended before it."""
        if not self.need(lambda held: b"\r\n\r\n" in held):
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
        if not self.need(lambda held: len(held) >= size):
            return None  # cut, and seen to be: its length says so
        body, self.buffer = self.buffer[:size], self.buffer[size:]
        return Got(int(status), found, body)

    def end(self) -> bytes:
        """What comes when nothing more is due."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
            self.need(lambda held: False)
        except OSError:
            pass
        self.sock.close()
        return self.buffer


class Stage:
    """A listener with its forwarder, and endpoints in trouble: two alike, and one that holds all keys."""

    def __init__(self):
        self.endpoints = [Adversary("e0"), Adversary("e1"), Adversary("k0")]
        self.numbers = itertools.count(1)
        self.front = ClientListener(("127.0.0.1", 0), None, RequestLimits)
        self.renew()
        self.front.start()

    def renew(self, scripts=(), portion: int = 1 << 20, config: bytes = PATIENT) -> None:
        """No connection, ledger or judgement of an endpoint outlasts an example."""
        for handler in [*self.front.handlers]:
            handler.end()
        updates = VersionedStore()
        self.view = RoutingView(
            updates, FleetPosition("n", "r"), {"n": "r"}, time.monotonic_ns, TimingBounds()
        )
        updates.offer("timetable", 1, config)
        for endpoint, script in itertools.zip_longest(self.endpoints, scripts, fillvalue=()):
            endpoint.forget()
            endpoint.script.extend(script)
            endpoint.portion = portion
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
        self.front.forwarder = self.forwarder = Forwarder(self.view, bounds, self.metrics, LoadAggregate())

    def request(self, kind: str) -> Sent:
        id = f"{next(self.numbers):016x}"
        method, path, _ = KINDS[kind]
        return Sent(kind, id, method, path % id, f"body of {id}".encode() if method == "POST" else b"")

    def say(self, client: Client, sent: Sent) -> None:
        for (
            endpoint
        ) in self.view.endpoints.values():  # in use whatever it did: the next request meets what it left
            endpoint.record_success()
            endpoint.unanswered_since = None
        client.say(sent, *(["X-Shard-Key: 7"] if sent.kind == "keyed" else []))

    def settle(self) -> None:
        """Until nothing is under way any more."""
        with gevent.Timeout(5):
            while (
                any(endpoint.own_requests for endpoint in self.view.endpoints.values()) or self.front.handlers
            ):
                gevent.sleep(0.001)
        for endpoint in self.view.endpoints.values():
            endpoint.pool.close()

    def ran(self, sent: Sent) -> int:
        return sum(endpoint.ran[sent.id] for endpoint in self.endpoints)

    def judge(self, sent: Sent, got: Got | None) -> str:
        """What is wrong with the answer to a request, empty where nothing is; asked when all is settled."""
        ran, repeatable = self.ran(sent), KINDS[sent.kind][2]
        if not repeatable and ran > 1:
            return f"run {ran} times"
        for endpoint in self.endpoints:
            for asked in endpoint.came:
                if asked.id == sent.id and (asked.method, asked.target, asked.body) != sent[2:]:
                    return f"not what was sent: {asked}"
        if got is None:
            return ""
        if got.headers.get("x-try-id") != sent.id:
            return f"answer to {got.headers.get('x-try-id')}"
        if not repeatable and got.status in PROMISES and ran:
            return f"{got.status} promised, and it has run"
        if 200 <= got.status < 300:
            asked = Asked(sent.method, sent.target, {"x-try-id": sent.id}, sent.body)
            bodies = {f"{endpoint.id}.{sent.id}": text(asked, endpoint.id) for endpoint in self.endpoints}
            stamp = got.headers.get("x-postmark")
            if stamp not in bodies or not ran:
                return f"{got.status} with stamp {stamp}"
            bare = sent.method == "HEAD" or got.status == 204
            if got.body != (b"" if bare else bodies[stamp]):
                return f"not its body: {got.body!r}"
            if "content-encoding" in got.headers or "transfer-encoding" in got.headers:
                return f"encoded: {got.headers}"
            if bare and got.headers.get("content-length") not in (None, str(len(bodies[stamp]))):
                return f"not its length: {got.headers}"
            if got.status == 204 and "content-length" in got.headers:
                return "a length where there is no body"
        elif got.status not in (*PROMISES, 500, 502, 504):
            return f"status {got.status}"
        return ""


class OnSockets(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.stage = Stage()

    @classmethod
    def tearDownClass(cls):
        cls.stage.front.stop(timeout=0)
        for endpoint in cls.stage.endpoints:
            endpoint.stop()

    def play(self, scripts, kinds, ahead=1, leave=None, portion=1 << 20, config=QUICK) -> list:
        """Requests on one connection, `ahead` of them sent before their answers are read; the client goes
        away before the answer numbered `leave`.  Returns what was sent, each with what came of it or None."""
        stage = self.stage
        stage.renew(scripts, portion, config)
        with gevent.Timeout(10):
            client, found, waiting = Client(stage.front.address), [], []
            for kind in kinds:
                sent = stage.request(kind)
                waiting.append(sent)
                found.append([sent, None])
                try:
                    stage.say(client, sent)
                    while len(waiting) >= ahead:
                        if not self.hear(client, waiting, found, leave):
                            break
                except OSError:
                    break
            try:
                while waiting and self.hear(client, waiting, found, leave):
                    pass
                rest = client.end()
            except OSError:
                rest = b""
            stage.settle()
        if leave is None:
            self.assertEqual(rest, b"")
        return found

    def hear(self, client, waiting, found, leave) -> bool:
        sent = waiting[0]
        place = next(at for at, (other, _) in enumerate(found) if other is sent)
        if place == leave:
            client.sock.close()
            raise OSError
        got = client.hear(sent)
        found[place][1] = got
        waiting.pop(0)
        return got is not None

    def check(self, found, *about) -> None:
        ended = False
        for sent, got in found:
            self.assertEqual(self.stage.judge(sent, got), "", (sent, got, *about))
            self.assertTrue(got or ended, ("no answer", sent, *about))
            ended = ended or got is None or "close" in got.headers.get("connection", "")


class Acts(OnSockets):
    """Each trouble by itself, then two plain requests on what it left behind."""

    def test_each_trouble_for_each_kind_of_request(self):
        for act in ACTS:
            for kind in ("look", "head", "book", "keyed"):
                with self.subTest(act=act, kind=kind):
                    found = self.play([[act], [act], [act]], [kind, "look", "book", "keyed"])
                    self.check(found, self.stage.metrics.counts)

    def test_an_answer_that_is_well_arrives(self):
        for act in (act for act in PLAIN if act in ACTS):
            for kind in KINDS:
                with self.subTest(act=act, kind=kind):
                    found = self.play([[act]] * 3, [kind, "look", "book", "keyed"], config=PATIENT)
                    self.check(found, self.stage.metrics.counts)
                    self.assertEqual({got.status for _, got in found} - {200, 204}, set())

    def test_two_troubles_at_a_holder_of_keys(self):
        for first in ("503", "421", "refused twice", "surplus later", "late", "earlier", "interim", "cut"):
            for second in ("refused twice", "late"):
                with self.subTest(first=first, second=second):
                    found = self.play([[], [], [first, second]], ["keyed"] * 3)
                    self.check(found, self.stage.metrics.counts)


class Ways(OnSockets):
    """One trace each."""

    def one(self, sent, *more, client=None):
        mine = client or Client(self.stage.front.address)
        with gevent.Timeout(5):
            mine.say(sent, *more)
            got = mine.hear(sent)
            if client is None:
                self.assertEqual(mine.end(), b"")
        return got

    def test_a_fault_in_forwarding_leaves_no_gap_for_the_next_answer(self):
        stage = self.stage
        stage.renew()
        sent = [stage.request("look") for _ in range(4)]
        forward = stage.forwarder.forward

        def falls(request):
            if request.by_name["x-try-id"] == sent[1].id:
                raise KeyError("a fault of ours")
            return forward(request)

        client = Client(stage.front.address)
        with (
            mock.patch.object(stage.forwarder, "forward", falls),
            gevent.Timeout(5),
            mock.patch.object(gevent.get_hub(), "handle_error") as told,
        ):
            for one in sent:
                stage.say(client, one)
            got = [client.hear(one) for one in sent]
        self.assertEqual(
            [(one.status, one.headers["x-try-id"]) for one in got],
            [(502 if one is sent[1] else 200, one.id) for one in sent],
        )
        self.assertEqual(told.call_count, 1)
        client.end()

    def behind_one_that_closes(self, **patches):
        """How often a request that must not run twice has run, sent behind one whose answer closes: the
        client sends it again, as nobody has read it."""
        stage, go = self.stage, Event()
        stage.renew()
        look, book, forward = stage.request("look"), stage.request("odd book"), stage.forwarder.forward

        def slow(request):
            if request.by_name["x-try-id"] == look.id:
                go.wait()
            return forward(request)

        def leaves():
            stage.front.draining = True
            go.set()

        client = Client(stage.front.address)
        with mock.patch.multiple(stage.forwarder, forward=slow, **patches), gevent.Timeout(5):
            stage.say(client, look)
            stage.say(client, book)
            gevent.spawn_later(0.02, leaves)
            try:
                self.assertEqual(client.hear(look).headers["connection"], "close")
                self.assertIsNone(client.hear(book))
            finally:
                stage.front.draining = False
        client.end()
        stage.settle()
        return stage.ran(book)

    def test_what_must_not_run_twice_does_not_run_behind_an_answer_that_closes(self):
        self.assertEqual(self.behind_one_that_closes(), 0)

    def test_a_configuration_may_come_between_reading_and_forwarding(self):
        pipelined = iter([True, True, False])  # as it is read, and as it is forwarded
        self.assertEqual(self.behind_one_that_closes(may_pipeline=lambda request: next(pipelined)), 0)

    def test_an_interim_answer_of_ours_stands_behind_what_came_before(self):
        stage, go = self.stage, Event()
        stage.renew()
        look, put, forward = stage.request("look"), stage.request("put"), stage.forwarder.forward

        def slow(request):
            go.wait()
            return forward(request)

        client = Client(stage.front.address)
        with mock.patch.object(stage.forwarder, "forward", slow), gevent.Timeout(5):
            client.say(look)
            client.say(
                put._replace(method="PUT", body=b""),
                "Expect: 100-continue",
                f"Content-Length: {len(put.body)}",
            )
            gevent.spawn_later(0.02, go.set)
            self.assertEqual(client.hear(look).headers["x-try-id"], look.id)
            client.need(lambda held: held.endswith(b"\r\n\r\n"))
            self.assertEqual(client.buffer, b"HTTP/1.1 100 Continue\r\n\r\n")
            client.buffer = b""
            client.sock.sendall(put.body)
            got = client.hear(put)
        client.end()
        stage.settle()
        self.assertEqual((got.status, stage.judge(put._replace(method="PUT"), got)), (200, ""))

    def test_a_request_without_an_id_shares_its_connection_with_nobody(self):
        """Nothing tells its answer from another's."""
        stage = self.stage
        stage.renew([[], [], ["answer", "surplus later", "surplus later"]])
        client, found, endpoint = Client(stage.front.address), [], stage.view.endpoints["k0"]
        before = stage.endpoints[2].opened
        for name, id in (("first", "17"), ("second", ""), ("third", ""), ("fourth", "18")):
            sent = Sent("keyed", id, "POST", f"/k/{name}", b"")
            found.append(self.one(sent, "X-Shard-Key: 7", client=client).body.split(b" ")[3])
            found.append((stage.endpoints[2].opened - before, len(endpoint.pool.idle)))
        client.end()
        stage.settle()
        self.assertEqual(
            found, [b"/k/first", (1, 1), b"/k/second", (2, 1), b"/k/third", (3, 1), b"/k/fourth", (3, 1)]
        )

    def test_odd_numbers_of_a_client_are_passed_over(self):
        stage = self.stage
        stage.renew()
        for value in ("\xb2", "9" * 5000, "-1", "1e3", ""):
            for name, kind in (("X-Time-Left-Ms", "book"), ("X-Shard-Key", "look")):
                sent = stage.request(kind)
                self.assertEqual(self.one(sent, f"{name}: {value}").status, 200, (name, value[:9]))
        stage.settle()

    def test_a_client_can_not_have_an_id_taken_off_its_request(self):
        stage = self.stage
        stage.renew()
        sent = stage.request("book")
        got = self.one(sent, "Connection: X-Try-Id, Host, X-Other", "X-Other: 1")
        stage.settle()
        self.assertEqual((got.status, stage.judge(sent, got), stage.ran(sent)), (200, "", 1))
        (asked,) = [asked for endpoint in stage.endpoints for asked in endpoint.came]
        self.assertEqual(("x-other" in asked.low, asked.low["host"]), (False, "a"))

    def test_the_next_owner_of_an_address_runs_nothing(self):
        stage = self.stage
        for kind in ("look", "book", "keyed"):
            stage.renew()
            for other in stage.endpoints:
                warm = stage.request(kind)  # so that a connection stands
                self.one(warm, "X-Shard-Key: 7")
                other.id, old = "stranger", other.id
                try:
                    sent = [stage.request(kind) for _ in range(3)]
                    got = [self.one(each, "X-Shard-Key: 7") for each in sent]
                finally:
                    other.id = old
                for endpoint in stage.view.endpoints.values():
                    endpoint.record_success()
            stage.settle()
            for each, answer in zip(sent, got):
                self.assertEqual(stage.judge(each, answer), "")
                self.assertIn(answer.status, (200, 503))
                self.assertLessEqual(stage.ran(each), answer.status == 200)

    def test_no_try_goes_twice_on_one_connection(self):
        """Its holder refuses it, then runs it: a surplus refusal has the id of the answer that is due."""
        stage = self.stage
        stage.renew([[], [], ["refused twice"]])
        before, sent = stage.endpoints[2].opened, stage.request("keyed")
        got = self.one(sent, "X-Shard-Key: 7")
        stage.settle()
        self.assertEqual((stage.judge(sent, got), got.status, stage.ran(sent)), ("", 200, 1))
        self.assertEqual(stage.endpoints[2].opened - before, 2)

    def test_only_a_connection_that_brought_one_whole_answer_is_used_again(self):
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
                stage.renew([[act]] * 3, config=PATIENT if count else QUICK)
                self.one(stage.request(kind))
                endpoints = stage.view.endpoints.values()
                with gevent.Timeout(5):
                    while any(endpoint.own_requests for endpoint in endpoints):
                        gevent.sleep(0.001)
                held = {len(endpoint.pool.idle) for endpoint in endpoints if endpoint.sent_at}
                self.assertEqual(held, {count}, (act, kind))
                stage.settle()

    def test_an_idle_connection_is_looked_at_before_it_is_used(self):
        """Closed, reset, or with bytes on it: what must not run twice would be lost, with no promise."""
        stage, there = self.stage, self.stage.endpoints[2]
        for trouble in ("close", "reset", "bytes"):
            stage.renew()
            self.one(stage.request("keyed"), "X-Shard-Key: 7")
            (line,) = there.lines
            if trouble == "bytes":
                line.sock.sendall(there.reply(Asked("POST", "/k/0", {"x-try-id": "0"})))
            else:
                if trouble == "reset":
                    line.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                line.sock.close()
            (idle,) = stage.view.endpoints["k0"].pool.idle
            gevent.socket.wait_read(idle.sock.fileno(), timeout=5)  # it has come
            sent = stage.request("keyed")
            got = self.one(sent, "X-Shard-Key: 7")
            stage.settle()
            self.assertEqual((got.status, stage.judge(sent, got), stage.ran(sent)), (200, "", 1), trouble)

    def test_what_is_read_for_one_answer_is_bounded(self):
        stage = self.stage
        for act, most in (("many others", 1 << 20), ("never whole", 100)):
            stage.renew([[act], [act]])
            sent = stage.request("book")
            with mock.patch("flintreach.proxy.exchange.MAX_RESPONSE_BYTES", most):
                self.assertEqual(self.one(sent).status, 502, act)  # not 504: it was not waited for
            stage.settle()


class Any(OnSockets):
    @CALM
    @given(
        st.lists(st.lists(st.sampled_from([*ACTS]), max_size=5), min_size=3, max_size=3),
        st.lists(st.sampled_from([*KINDS]), min_size=1, max_size=6),
        st.integers(1, 6),
        st.none() | st.integers(0, 5),
        st.sampled_from([1, 7, 1 << 20]),
    )
    def test_whatever_endpoints_do_answers_belong_and_nothing_runs_twice(
        self, scripts, kinds, ahead, leave, portion
    ):
        found = self.play(scripts, kinds, ahead, leave, portion)
        self.check(found[:leave], self.stage.metrics.counts)


if __name__ == "__main__":
    unittest.main()
