"""The carrying path with scripted endpoints: what is sent again, beside, or not at all; no sockets."""

import random
import time
import unittest
from unittest import mock

import gevent.socket
import msgspec
from gevent.event import Event

from flintreach.config.settings import TimingBounds
from flintreach.consensus.quorum import Voters
from flintreach.controller.quorum_contact import NEVER, QuorumContact
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.proxy.carry import Carrier
from flintreach.proxy.choice import SECOND, Here
from flintreach.proxy.connection import Connection
from flintreach.proxy.exchange import (
    ANSWERED,
    BROKEN,
    NOT_RUN,
    TIMEOUT,
    UNSENT,
    ExchangeTerms,
    Outcome,
    exchange,
)
from flintreach.proxy.gate import FIRST, Gate
from flintreach.proxy.metrics import Metrics
from flintreach.proxy.reply import Message
from flintreach.proxy.request import Request
from flintreach.proxy.view import RoutingView


def configured(kind="safe", sharded=False, homes=()):
    return msgspec.json.encode(
        {
            "edition": "00000001",
            "wickets": [
                {
                    "destination": "a",
                    "regulations": [
                        {
                            "name": "r",
                            "kind": kind,
                            "target_ms": 40,
                            "sorting": {"postcode": "/x/"},
                            "dispatch": {
                                "line": "desk",
                                "deadline_ms": 60_000,
                                "tries": 2,
                                "home_regions": list(homes),
                            },
                        }
                    ],
                }
            ],
            "depots": [{"name": "desk", "sharded": sharded}],
        }
    )


class Clock:
    now = SECOND

    def __call__(self):
        return self.now


def world(config, endpoints, clock=None):
    """A world told by news; `endpoints`: id -> zone."""
    updates, clock = VersionedStore(), clock or Clock()
    made = RoutingView(updates, Here("n", "r"), {"n": "r", "s": "q"}, clock, TimingBounds())
    updates.offer("timetable", 1, config)
    for number, (id, zone) in enumerate(endpoints.items()):
        updates.offer(f"hut/{id}", [1, 0], told(zone, number))
    return made, updates, clock


def told(zone, number=0, state="ready"):
    return {
        "line": "desk",
        "addr": f"10.0.0.{number}:80",
        "zone": zone,
        "berths": 2,
        "state": state,
        "cold": 0,
    }


class Scripted(Carrier):
    """`script`: what comes of each attempt, in their order; "hang" waits for `let_go`."""

    def __init__(self, made, script):
        super().__init__(made, TimingBounds(retry_slack=100), Metrics(), LoadAggregate())
        self.script, self.sent, self.let_go = script, [], Event()

    def attempt(self, request, line, endpoint, until):
        self.sent.append(endpoint.id)
        kind = self.script.pop(0)
        if kind == "hang":
            self.let_go.wait()
            kind = BROKEN
        message = Message()
        message.status = 200 if kind == ANSWERED else 503
        message.headers = [["X-Postmark", endpoint.id]]
        return Outcome(kind, message if kind in (ANSWERED, NOT_RUN) else None)


def carrying(script, kind="safe"):
    """A request on its way to one of five endpoints."""
    made, _, _ = world(configured(kind), {f"e{i}": "n" for i in range(5)}, clock=time.monotonic_ns)
    carrier = Scripted(made, [*script])
    request = Request("GET", "/x/1", [], b"", time.monotonic_ns(), {"host": "a"})
    job = gevent.spawn(carrier.carry, request)
    job.started_at = request.came
    return job, carrier


def carried(script, kind="safe"):
    job, carrier = carrying(script, kind)
    return job.get(timeout=20), carrier


class Tries(unittest.TestCase):
    def test_what_comes_of_a_try(self):
        """(kind of route, outcomes at every endpoint, status, how many were asked, a time to come back)"""
        cases = [
            ("safe", [ANSWERED], 200, 1, False),
            ("unsafe", [ANSWERED], 200, 1, False),
            ("safe", [BROKEN, BROKEN], 502, 2, False),
            ("unsafe", [BROKEN], 502, 1, False),
            ("unsafe", [TIMEOUT], 504, 1, False),
            ("safe", [TIMEOUT], 504, 1, False),
            ("unsafe", [NOT_RUN, NOT_RUN], 503, 2, True),
            ("unsafe", [UNSENT] * 4, 503, 4, True),
            ("safe", [BROKEN, ANSWERED], 200, 2, False),
            ("unsafe", [UNSENT, ANSWERED], 200, 2, False),
        ]
        for kind, row, status, asked, again in cases:
            answer, carrier = carried(row, kind)
            self.assertEqual((answer.status, len(set(carrier.sent))), (status, asked), (kind, row))
            self.assertEqual(any(name == "Retry-After" for name, _ in answer.headers), again)

    def test_a_promise_is_never_given_for_what_may_have_run(self):
        for row in ([BROKEN, NOT_RUN], [TIMEOUT, NOT_RUN], [NOT_RUN, BROKEN], [UNSENT, TIMEOUT]):
            answer, _ = carried(row, "unsafe")
            self.assertNotIn(answer.status, (408, 421, 429, 503), row)

    def test_a_silent_endpoint_gets_a_second_beside_it(self):
        """The trace of dark endpoints: requests waited out their deadline at machines without power."""
        job, carrier = carrying(["hang", ANSWERED])
        self.assertEqual(job.get(timeout=20).status, 200)
        self.assertEqual(len(set(carrier.sent)), 2)
        self.assertFalse(carrier.let_go.is_set())  # the first was not broken off for it

    def test_one_that_must_not_run_twice_has_no_second(self):
        job, carrier = carrying(["hang", ANSWERED], "unsafe")
        while not carrier.sent or time.monotonic_ns() < job.started_at + 100_000_000:
            gevent.sleep(0)  # the patience of its aim is a quarter of that
        carrier.let_go.set()
        self.assertEqual((job.get(timeout=20).status, len(carrier.sent)), (502, 1))


class Turns(unittest.TestCase):
    def test_large_answers_wait_in_turn_and_never_hold_more_than_the_link_brings(self):
        draw, gate, woken, inside, waiting = random.Random(4), Gate(2.6), [], [], []
        for line in ("big", "small"):
            gate.saw(line, {"big": 90000, "small": 1500}[line])
        self.assertEqual(gate.size("small", False), 0)
        for number in range(2000):
            if draw.random() < 0.55:
                size, wake = gate.size("big", True), (lambda number=number: woken.append(number))
                if gate.enter(size, wake):
                    inside.append(size)
                else:
                    waiting.append((number, size, wake))
            elif inside and draw.random() < 0.8:
                gate.leave(inside.pop())
            elif waiting and draw.random() < 0.3:
                number, size, wake = waiting.pop(draw.randrange(len(waiting)))
                self.assertTrue(gate.give_up(wake))
            while woken:
                first = waiting.pop(0)
                self.assertEqual(first[0], woken.pop(0))
                inside.append(first[1])
            self.assertEqual(gate.under, sum(inside))
            self.assertTrue(gate.under <= gate.room or len(inside) == 1)
        self.assertFalse(gate.give_up(lambda: None))

    def test_a_wide_link_or_none_told_needs_no_turns(self):
        self.assertEqual(Gate(0).size("big", True), 0)
        wide = Gate(1000.0)
        self.assertTrue(all(wide.enter(wide.size("big", True), None) for _ in range(200)))

    def test_one_that_gets_no_turn_is_sent_away_with_a_time_to_come_back(self):
        made, _, _ = world(configured("outbound_post"), {"e0": "n"})
        carrier = Carrier(made, TimingBounds(), Metrics(), LoadAggregate(), mbps=0.01)
        self.assertTrue(carrier.gate.enter(FIRST, None))  # the link is taken
        answer = carrier.carry(Request("GET", "/x/1", [], low={"host": "a"}, came=time.monotonic_ns()))
        self.assertEqual((answer.status, answer.headers), (503, [("Retry-After", "0.1")]))
        self.assertFalse(carrier.gate.queue)


class Known(unittest.TestCase):
    def able(self, made, key=None):
        route = made.routes.all[0]
        return sorted(endpoint.id for endpoint in made.able(route, "desk", key, set()))

    def test_who_leaves_or_stands_in_an_evacuated_zone_gets_nothing_more(self):
        made, updates, clock = world(configured(), {"a": "n", "b": "n", "c": "s"})
        updates.offer("hut/a", [2, 0], told("n", 0, "closing"))
        self.assertEqual(self.able(made), ["b", "c"])
        updates.offer("evac", 1, {"s": True})
        self.assertEqual(self.able(made), ["b"])
        updates.offer("evac", 2, {"s": False})
        self.assertEqual(self.able(made), ["b", "c"])
        updates.offer("hut/a", [1, 9], told("n", 0))  # late news change nothing
        self.assertEqual(self.able(made), ["b", "c"])

    def test_what_waited_for_a_connection_is_not_sent_to_one_that_leaves_meanwhile(self):
        made, updates, clock = world(configured(), {"e0": "n"})
        endpoint, sent = made.endpoints["e0"], []

        def connect(timeout):
            updates.offer("hut/e0", [2, 0], told("n", 0, "closing"))
            here, there = gevent.socket.socketpair()
            sent.append(there)
            return Connection(here)

        with mock.patch.object(endpoint.pool, "connect", connect):
            out = exchange(
                endpoint.pool,
                b"GET / HTTP/1.1\r\n\r\n",
                b"",
                "i",
                ExchangeTerms(time.monotonic_ns() + 9 * SECOND, 1.0, may_go=lambda: made.takes(endpoint)),
            )
        self.assertEqual(out.kind, UNSENT)
        self.assertEqual(sent[0].recv(10), b"")

    def test_homes_bind_before_all_else(self):
        made, _, _ = world(configured(homes=["q"]), {"a": "n", "b": "n", "c": "s"})
        self.assertEqual(self.able(made), ["c"])

    def test_keys_are_used_where_they_are_until_they_move_but_not_for_long(self):
        """The trace of an evacuation: the holder was shut out at once, its keys got 503 until they moved."""
        made, updates, clock = world(configured(sharded=True), {"a": "n", "b": "s"})
        updates.offer("bunks/desk", [1, 1], [[0, 99, "a", "held"], [100, 65535, "b", "held"]])
        self.assertEqual([self.able(made, key) for key in (0, 99, 100, 65535)], [["a"], ["a"], ["b"], ["b"]])
        updates.offer("evac", 1, {"n": True})
        self.assertEqual(self.able(made, 5), ["a"])
        clock.now += made.evacuation.send_for
        self.assertEqual(self.able(made, 5), [])
        updates.offer("bunks/desk", [1, 2], [[0, 65535, "b", "held"]])
        self.assertEqual(self.able(made, 5), ["b"])
        updates.offer("hut/b", [2, 0], told("s", 1, "closing"))
        self.assertEqual(self.able(made, 5), ["b"])
        clock.now += made.departure.send_for
        self.assertEqual(self.able(made, 5), [])
        bounds = TimingBounds()
        self.assertLess(made.departure.send_for, bounds.last_call_ms * 1e6)
        self.assertLess(made.evacuation.send_for, bounds.evacuate_ms * 1e6)

    def test_an_evacuated_zone_comes_back_cold(self):
        config = configured().replace(b'"sharded":false', b'"sharded":false,"cold_s":3')
        made, updates, clock = world(config, {"a": "n", "c": "s"})
        updates.offer("evac", 1, {"s": True})
        updates.offer("evac", 2, {"s": False})
        self.assertEqual(made.endpoints["c"].cold_until, clock.now + 3 * SECOND)
        self.assertEqual(made.endpoints["a"].cold_until, 0)


class Controllers(unittest.TestCase):
    def test_alone_means_without_a_word_from_a_majority(self):
        circle = [(f"10.0.0.{i}", 7) for i in range(5)]
        voters, contact = Voters(1, tuple((address, "") for address in circle)), QuorumContact()
        for address, at, age in ((0, 59.0, NEVER), (1, 50.0, NEVER), (3, 30.0, 30.0), (2, 40.0, 20.0)):
            contact.heard(circle[address], at, {}, at)
            self.assertEqual(contact.age(voters, 60.0), age)


if __name__ == "__main__":
    unittest.main()
