"""A request reaches no endpoint later than `last_call_ms` after its departure was acknowledged (issue 42).

What the system knows of a departure may come late, twice or not at all: the bound is kept by clocks.
"""

import time
import unittest

import gevent
import msgspec
from gevent import socket

from flintreach.config.settings import TimingBounds
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.proxy.balancing import FleetPosition
from flintreach.proxy.forwarding import Forwarder
from flintreach.proxy.lease import ARRIVE_PART, SEND_PART
from flintreach.proxy.metrics import VIOLATION, Metrics
from flintreach.proxy.request import Request
from flintreach.proxy.view import RoutingView
from flintreach.standins.adversary import Adversary

MS, SECOND = 1_000_000, 1_000_000_000
LAST_CALL_MS = 2500


def configuration(sharded=False):
    dispatch = {"line": "desk", "deadline_ms": 60_000, "tries": 1, "home_regions": []}
    route = {"name": "r", "kind": "unsafe", "target_ms": 400, "sorting": {"postcode": "/x/"}}
    return msgspec.json.encode(
        {
            "edition": "00000001",
            "wickets": [{"destination": "a", "regulations": [{**route, "dispatch": dispatch}]}],
            "depots": [{"name": "desk", "sharded": sharded, "checkup": "/health"}],
        }
    )


class Fixture:
    """A routing view that is told by news, on a clock of its own; endpoint "e" is ready."""

    def __init__(self, sharded=False, addr="10.0.0.1:80", last_call_ms=LAST_CALL_MS):
        self.now, self.confirmed, self.seq = 100 * SECOND, 100 * SECOND, 0
        self.updates, self.addr = VersionedStore(), addr
        self.view = RoutingView(
            self.updates,
            FleetPosition("n", "r"),
            {"n": "r"},
            lambda: self.now,
            TimingBounds(last_call_ms=last_call_ms),
            lambda: self.confirmed,
            Metrics(),
        )
        self.updates.offer("timetable", 1, configuration(sharded))
        self.tell("ready")

    def tell(self, state):
        self.seq += 1
        fields = {"line": "desk", "addr": self.addr, "zone": "n", "berths": 2, "state": state, "cold": 0}
        self.updates.offer("hut/e", [0, self.seq, 0], fields)

    def later(self, ms, confirmed=True):
        """Time passes; the view is confirmed all the while, or not at all."""
        self.now += int(ms * MS)
        self.confirmed = self.now if confirmed else self.confirmed

    def takes(self):
        endpoint = self.view.endpoints.get("e")
        return endpoint is not None and self.view.may_send(endpoint)


class Views(unittest.TestCase):
    def test_a_view_that_nobody_confirms_sends_nothing_once_a_departure_may_be_due(self):
        fixture = Fixture()
        self.assertTrue(fixture.takes())
        fixture.later(LAST_CALL_MS, confirmed=False)
        self.assertFalse(fixture.takes(), "its departure may have been acknowledged a whole bound ago")

    def test_the_time_since_a_departure_does_not_begin_anew(self):
        """A holder of keys that leaves falls silent, is judged lost, and is heard of again."""
        fixture = Fixture(sharded=True)
        fixture.tell("closing")
        self.assertTrue(fixture.takes())
        fixture.later(LAST_CALL_MS)
        self.assertFalse(fixture.takes())
        fixture.tell("gone")
        fixture.tell("closing")
        self.assertFalse(fixture.takes(), "its departure was acknowledged a whole bound ago")

    def test_one_first_met_while_it_leaves_counts_as_gone_long_ago(self):
        """A proxy that starts, or returns after long, takes over records of departures without their time."""
        fixture = Fixture(sharded=True)
        fixture.tell("gone")
        fixture.updates.drop("hut/e")
        fixture.tell("closing")
        self.assertFalse(fixture.takes())

    def test_a_departure_counts_from_the_last_confirmation_and_not_from_its_hearing(self):
        fixture = Fixture(sharded=True)
        fixture.later(LAST_CALL_MS * SEND_PART - 1, confirmed=False)
        fixture.tell("closing")
        self.assertTrue(fixture.takes())
        fixture.later(1)
        self.assertFalse(fixture.takes())

    def test_a_sending_after_the_lease_is_counted_when_the_departure_is_heard(self):
        for part, counted in ((ARRIVE_PART - 0.01, 0), (ARRIVE_PART + 0.01, 1)):
            fixture = Fixture()
            fixture.view.endpoints["e"].written_at = fixture.confirmed + int(part * LAST_CALL_MS * MS)
            fixture.tell("closing")
            fixture.tell("gone")
            self.assertEqual(fixture.view.metrics.counts.get(VIOLATION, 0), counted, part)


class Own(unittest.TestCase):
    """An endpoint's own word renews its lease while no news come."""

    def setUp(self):
        self.endpoint = Adversary("e")
        self.addCleanup(self.endpoint.stop)
        self.fixture = Fixture(addr=self.endpoint.addr, last_call_ms=600_000)
        self.fixture.now = self.fixture.confirmed = time.monotonic_ns()
        self.fixture.view.clock = time.monotonic_ns
        self.held = self.fixture.view.endpoints["e"]
        self.metrics = Metrics()
        bounds = TimingBounds(last_call_ms=600_000)
        self.forwarder = Forwarder(self.fixture.view, bounds, self.metrics, LoadAggregate())

    def forward(self, id):
        low = {"host": "a", "x-try-id": id}
        return self.forwarder.forward(
            Request("POST", "/x/1", [("X-Try-Id", id)], b"", time.monotonic_ns(), low)
        )

    def lapse(self):
        """Nothing has confirmed anything for longer than a bound."""
        self.fixture.confirmed = time.monotonic_ns() - 601 * SECOND
        self.held.present_at = None

    def test_an_answer_renews_the_lease_and_one_that_announces_its_end_does_not(self):
        for act, renews in (("answer", True), ("close told", False)):
            self.held.present_at = None
            self.fixture.confirmed = time.monotonic_ns()
            self.endpoint.script.append(act)
            self.assertEqual(self.forward(f"id-{act}").status, 200)
            self.assertEqual(self.held.present_at is not None, renews, act)

    def test_one_whose_lease_is_over_is_asked_before_it_is_used(self):
        self.lapse()
        self.assertEqual(self.forward("1").status, 200)
        self.assertEqual(self.metrics.counts["asked for presence"], 1)
        self.assertEqual(self.forward("2").status, 200)
        self.assertEqual(self.metrics.counts["asked for presence"], 1)

    def test_one_that_says_that_it_leaves_gets_nothing(self):
        self.lapse()
        self.endpoint.well = False
        self.assertEqual(self.forward("3").status, 503)
        self.assertFalse(self.endpoint.ran)

    def test_many_that_wait_for_one_endpoint_ask_once(self):
        self.lapse()
        jobs = [gevent.spawn(self.forward, f"m{number}") for number in range(5)]
        self.assertEqual({job.get(timeout=10).status for job in jobs}, {200})
        self.assertEqual(self.metrics.counts["asked for presence"], 1)


class Slow:
    """An endpoint behind a link that hardly moves: some kilobytes a second arrive there."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(1)
        self.addr = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.size, self.last_at, self.reset = 0, 0, False

    def read(self):
        """Read until the end, and note when the last byte came."""
        sock, _ = self.listener.accept()
        try:
            while data := sock.recv(1024):
                self.size, self.last_at = self.size + len(data), time.monotonic_ns()
                gevent.sleep(0.02)
        except ConnectionResetError:
            self.reset = True


class Bytes(unittest.TestCase):
    def test_what_the_kernel_still_holds_is_taken_back_when_the_bound_is_near(self):
        """The endpoint leaves while a request to it is on its way over a link that hardly moves."""
        slow = Slow()
        fixture = Fixture(addr=slow.addr, last_call_ms=1000)
        fixture.view.clock = time.monotonic_ns
        fixture.confirmed = time.monotonic_ns()
        forwarder = Forwarder(fixture.view, TimingBounds(last_call_ms=1000), Metrics(), LoadAggregate())
        request = Request(
            "POST", "/x/1", [], bytes(8 << 20), time.monotonic_ns(), {"host": "a", "x-try-id": "1"}
        )
        until = time.monotonic_ns() + 4 * SECOND
        reading = gevent.spawn(slow.read)
        gevent.spawn(forwarder.attempt, request, "desk", fixture.view.endpoints["e"], until)
        gevent.sleep(0.2)
        left = fixture.confirmed = time.monotonic_ns()
        fixture.tell("closing")
        reading.join(timeout=10)
        self.assertLess((slow.last_at - left) / SECOND, 1.0, "bytes arrived after the bound")
        self.assertTrue(slow.reset, "the kernel would have sent the rest")
        self.assertLess(slow.size, len(request.body))


if __name__ == "__main__":
    unittest.main()
