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
from flintreach.proxy.lease import ARRIVAL_FRACTION, SEND_FRACTION
from flintreach.proxy.metrics import SENT_AFTER_DEPARTURE, Metrics
from flintreach.proxy.request import ClientResponse, Request
from flintreach.proxy.view import RoutingView
from flintreach.standins.adversary import Adversary

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

# The bound on requests that arrive after an acknowledged departure.
LAST_CALL_MS = 2500


def configuration(sharded: bool = False) -> bytes:
    """A configuration with one route, to a service with health checks."""
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
    """A routing view that follows updates, on a clock of its own; endpoint "e" is ready."""

    def __init__(
        self, sharded: bool = False, address: str = "10.0.0.1:80", last_call_ms: float = LAST_CALL_MS
    ) -> None:
        self.now = 100 * NS_PER_S
        self.confirmed_at = 100 * NS_PER_S
        self.update_number = 0
        self.updates = VersionedStore()
        self.address = address
        self.view = RoutingView(
            self.updates,
            FleetPosition("n", "r"),
            {"n": "r"},
            lambda: self.now,
            TimingBounds(last_call_ms=last_call_ms),
            lambda: self.confirmed_at,
            Metrics(),
        )
        self.updates.offer("timetable", 1, configuration(sharded))
        self.update("ready")

    def update(self, state: str) -> None:
        """Let an update on the endpoint come."""
        self.update_number += 1
        fields = {"line": "desk", "addr": self.address, "zone": "n", "berths": 2, "state": state, "cold": 0}
        self.updates.offer("hut/e", [0, self.update_number, 0], fields)

    def advance(self, ms: float, confirmed: bool = True) -> None:
        """Time passes; the view is confirmed all the while, or not at all."""
        self.now += int(ms * NS_PER_MS)
        if confirmed:
            self.confirmed_at = self.now

    def may_send(self) -> bool:
        """Whether a request may be sent to the endpoint now."""
        endpoint = self.view.endpoints.get("e")
        return endpoint is not None and self.view.may_send(endpoint)


class LeasesOfAView(unittest.TestCase):
    """Leases by what the control plane tells."""

    def test_a_view_that_is_not_confirmed_sends_nothing_once_a_departure_may_be_due(self) -> None:
        fixture = Fixture()
        self.assertTrue(fixture.may_send())
        fixture.advance(LAST_CALL_MS, confirmed=False)
        self.assertFalse(fixture.may_send(), "its departure may have been acknowledged a whole bound ago")

    def test_the_time_since_a_departure_does_not_begin_anew(self) -> None:
        """An owner of keys that is draining falls silent, is taken for lost, and is heard of again."""
        fixture = Fixture(sharded=True)
        fixture.update("closing")
        self.assertTrue(fixture.may_send())
        fixture.advance(LAST_CALL_MS)
        self.assertFalse(fixture.may_send())
        fixture.update("gone")
        fixture.update("closing")
        self.assertFalse(fixture.may_send(), "its departure was acknowledged a whole bound ago")

    def test_an_endpoint_first_heard_of_while_it_drains_counts_as_gone_long_ago(self) -> None:
        """A proxy that starts, or returns after long, takes over records of departures without their time."""
        fixture = Fixture(sharded=True)
        fixture.update("gone")
        fixture.updates.drop("hut/e")
        fixture.update("closing")
        self.assertFalse(fixture.may_send())

    def test_a_departure_counts_from_the_last_confirmation_and_not_from_its_update(self) -> None:
        fixture = Fixture(sharded=True)
        fixture.advance(LAST_CALL_MS * SEND_FRACTION - 1, confirmed=False)
        fixture.update("closing")
        self.assertTrue(fixture.may_send())
        fixture.advance(1)
        self.assertFalse(fixture.may_send())

    def test_a_request_sent_after_the_lease_is_counted_when_the_departure_is_known(self) -> None:
        for part, counted in ((ARRIVAL_FRACTION - 0.01, 0), (ARRIVAL_FRACTION + 0.01, 1)):
            fixture = Fixture()
            fixture.view.endpoints["e"].written_at = fixture.confirmed_at + int(
                part * LAST_CALL_MS * NS_PER_MS
            )
            fixture.update("closing")
            fixture.update("gone")
            self.assertEqual(fixture.view.metrics.counts.get(SENT_AFTER_DEPARTURE, 0), counted, part)


class LeasesByTraffic(unittest.TestCase):
    """An endpoint's own answers renew its lease while no updates come."""

    def setUp(self) -> None:
        self.endpoint = Adversary("e")
        self.addCleanup(self.endpoint.stop)
        self.fixture = Fixture(address=self.endpoint.addr, last_call_ms=600_000)
        self.fixture.now = time.monotonic_ns()
        self.fixture.confirmed_at = self.fixture.now
        self.fixture.view.clock = time.monotonic_ns
        self.endpoint_view = self.fixture.view.endpoints["e"]
        self.metrics = Metrics()
        bounds = TimingBounds(last_call_ms=600_000)
        self.forwarder = Forwarder(self.fixture.view, bounds, self.metrics, LoadAggregate())

    def forward(self, request_id: str) -> ClientResponse:
        """The answer to a request that must not run twice."""
        by_name = {"host": "a", "x-try-id": request_id}
        headers = [("X-Try-Id", request_id)]
        request = Request("POST", "/x/1", headers, b"", time.monotonic_ns(), by_name)
        return self.forwarder.forward(request)

    def end_lease(self) -> None:
        """Nothing has confirmed anything for longer than a bound."""
        self.fixture.confirmed_at = time.monotonic_ns() - 601 * NS_PER_S
        self.endpoint_view.present_at = None

    def test_an_answer_renews_the_lease_and_one_that_announces_its_end_does_not(self) -> None:
        for act, renews in (("answer", True), ("close told", False)):
            self.endpoint_view.present_at = None
            self.fixture.confirmed_at = time.monotonic_ns()
            self.endpoint.script.append(act)
            self.assertEqual(self.forward(f"id-{act}").status, 200)
            self.assertEqual(self.endpoint_view.present_at is not None, renews, act)

    def test_an_endpoint_whose_lease_is_over_is_checked_before_it_is_used(self) -> None:
        self.end_lease()
        self.assertEqual(self.forward("1").status, 200)
        self.assertEqual(self.metrics.counts["asked for presence"], 1)
        self.assertEqual(self.forward("2").status, 200)
        self.assertEqual(self.metrics.counts["asked for presence"], 1)

    def test_an_endpoint_whose_health_check_fails_gets_nothing(self) -> None:
        self.end_lease()
        self.endpoint.healthy = False
        self.assertEqual(self.forward("3").status, 503)
        self.assertFalse(self.endpoint.run_counts)

    def test_many_requests_that_wait_for_one_endpoint_check_it_once(self) -> None:
        self.end_lease()
        jobs = [gevent.spawn(self.forward, f"m{number}") for number in range(5)]
        self.assertEqual({job.get(timeout=10).status for job in jobs}, {200})
        self.assertEqual(self.metrics.counts["asked for presence"], 1)


class SlowEndpoint:
    """An endpoint behind a link that hardly moves: some kilobytes a second arrive there."""

    def __init__(self) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(1)
        self.addr = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.size = 0
        self.last_at = 0
        self.reset = False

    def read(self) -> None:
        """Read until the end, and note when the last byte came."""
        sock, _ = self.listener.accept()
        try:
            while data := sock.recv(1024):
                self.size += len(data)
                self.last_at = time.monotonic_ns()
                gevent.sleep(0.02)
        except ConnectionResetError:
            self.reset = True


class BytesUnderWay(unittest.TestCase):
    """Bytes of a request that the endpoint's machine has not acknowledged."""

    def test_bytes_in_the_send_buffer_are_taken_back_when_the_bound_is_near(self) -> None:
        """The endpoint leaves while a request to it is on its way over a link that hardly moves."""
        endpoint = SlowEndpoint()
        fixture = Fixture(address=endpoint.addr, last_call_ms=1000)
        fixture.view.clock = time.monotonic_ns
        fixture.confirmed_at = time.monotonic_ns()
        forwarder = Forwarder(fixture.view, TimingBounds(last_call_ms=1000), Metrics(), LoadAggregate())
        request = Request(
            "POST", "/x/1", [], bytes(8 << 20), time.monotonic_ns(), {"host": "a", "x-try-id": "1"}
        )
        until = time.monotonic_ns() + 4 * NS_PER_S
        reading = gevent.spawn(endpoint.read)
        gevent.spawn(forwarder.attempt, request, "desk", fixture.view.endpoints["e"], until)
        gevent.sleep(0.2)
        departed_at = time.monotonic_ns()
        fixture.confirmed_at = departed_at
        fixture.update("closing")
        reading.join(timeout=10)
        self.assertLess((endpoint.last_at - departed_at) / NS_PER_S, 1.0, "bytes arrived after the bound")
        self.assertTrue(endpoint.reset, "the kernel would have sent the rest")
        self.assertLess(endpoint.size, len(request.body))


if __name__ == "__main__":
    unittest.main()
