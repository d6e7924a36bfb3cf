"""No request reaches an endpoint later than `last_call_ms` after its departure was acknowledged (issue 42).

Updates about a departure may arrive late, repeatedly or never, so leases enforce the bound by clocks.
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

# Bound on the arrival of requests after an acknowledged departure.
LAST_CALL_MS = 2500


def configuration(sharded: bool = False) -> bytes:
    """Returns an encoded configuration with one route, to a service with health checks."""
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
    """A routing view on a settable clock, with one ready endpoint "e"."""

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
        """Delivers an update for the endpoint."""
        self.update_number += 1
        fields = {"line": "desk", "addr": self.address, "zone": "n", "berths": 2, "state": state, "cold": 0}
        self.updates.offer("hut/e", [0, self.update_number, 0], fields)

    def advance(self, ms: float, confirmed: bool = True) -> None:
        """Advances the clock; the view is confirmed throughout, or not at all."""
        self.now += int(ms * NS_PER_MS)
        if confirmed:
            self.confirmed_at = self.now

    def may_send(self) -> bool:
        """Returns whether a request may be sent to the endpoint now."""
        endpoint = self.view.endpoints.get("e")
        return endpoint is not None and self.view.may_send(endpoint)


class RoutingViewLeases(unittest.TestCase):
    """Leases derived from control plane updates."""

    def test_an_unconfirmed_view_sends_nothing_after_the_lease_expires(self) -> None:
        fixture = Fixture()
        self.assertTrue(fixture.may_send())
        fixture.advance(LAST_CALL_MS, confirmed=False)
        self.assertFalse(fixture.may_send(), "the departure may have been acknowledged LAST_CALL_MS ago")

    def test_a_repeated_departure_does_not_renew_the_lease(self) -> None:
        """Guards against a new lease when a departure is reported again.

        A draining key owner is reported gone after missing heartbeats, and then draining again.
        """
        fixture = Fixture(sharded=True)
        fixture.update("closing")
        self.assertTrue(fixture.may_send())
        fixture.advance(LAST_CALL_MS)
        self.assertFalse(fixture.may_send())
        fixture.update("gone")
        fixture.update("closing")
        self.assertFalse(fixture.may_send(), "the departure was acknowledged LAST_CALL_MS ago")

    def test_an_endpoint_first_seen_while_draining_has_no_lease(self) -> None:
        """Guards against a lease on a departure of unknown time.

        A proxy that starts, or reconnects after a long time, receives departures without their time.
        """
        fixture = Fixture(sharded=True)
        fixture.update("gone")
        fixture.updates.drop("hut/e")
        fixture.update("closing")
        self.assertFalse(fixture.may_send())

    def test_a_departure_is_dated_from_the_last_confirmation(self) -> None:
        fixture = Fixture(sharded=True)
        fixture.advance(LAST_CALL_MS * SEND_FRACTION - 1, confirmed=False)
        fixture.update("closing")
        self.assertTrue(fixture.may_send())
        fixture.advance(1)
        self.assertFalse(fixture.may_send())

    def test_a_request_sent_after_the_departure_is_counted(self) -> None:
        for part, counted in ((ARRIVAL_FRACTION - 0.01, 0), (ARRIVAL_FRACTION + 0.01, 1)):
            fixture = Fixture()
            fixture.view.endpoints["e"].written_at = fixture.confirmed_at + int(
                part * LAST_CALL_MS * NS_PER_MS
            )
            fixture.update("closing")
            fixture.update("gone")
            self.assertEqual(fixture.view.metrics.counts.get(SENT_AFTER_DEPARTURE, 0), counted, part)


class LeaseRenewalByTraffic(unittest.TestCase):
    """Responses of an endpoint renew its lease while no updates arrive."""

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
        """Returns the answer to a non-idempotent request."""
        by_name = {"host": "a", "x-try-id": request_id}
        headers = [("X-Try-Id", request_id)]
        request = Request("POST", "/x/1", headers, b"", time.monotonic_ns(), by_name)
        return self.forwarder.forward(request)

    def end_lease(self) -> None:
        """Lets the lease expire, with the last confirmation longer ago than the bound."""
        self.fixture.confirmed_at = time.monotonic_ns() - 601 * NS_PER_S
        self.endpoint_view.present_at = None

    def test_a_response_renews_the_lease_unless_it_announces_a_departure(self) -> None:
        for act, renews in (("answer", True), ("connection close", False)):
            self.endpoint_view.present_at = None
            self.fixture.confirmed_at = time.monotonic_ns()
            self.endpoint.script.append(act)
            self.assertEqual(self.forward(f"id-{act}").status, 200)
            self.assertEqual(self.endpoint_view.present_at is not None, renews, act)

    def test_an_endpoint_with_an_expired_lease_is_checked_before_use(self) -> None:
        self.end_lease()
        self.assertEqual(self.forward("1").status, 200)
        self.assertEqual(self.metrics.counts["asked for presence"], 1)
        self.assertEqual(self.forward("2").status, 200)
        self.assertEqual(self.metrics.counts["asked for presence"], 1)

    def test_an_endpoint_whose_health_check_fails_receives_no_request(self) -> None:
        self.end_lease()
        self.endpoint.healthy = False
        self.assertEqual(self.forward("3").status, 503)
        self.assertFalse(self.endpoint.run_counts)

    def test_concurrent_requests_share_one_health_check(self) -> None:
        self.end_lease()
        jobs = [gevent.spawn(self.forward, f"m{number}") for number in range(5)]
        self.assertEqual({job.get(timeout=10).status for job in jobs}, {200})
        self.assertEqual(self.metrics.counts["asked for presence"], 1)


class SlowEndpoint:
    """An endpoint on a slow link: it reads at most 1024 bytes every 20 ms."""

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
        """Reads until the connection ends, and records when the last byte arrived."""
        sock, _ = self.listener.accept()
        try:
            while data := sock.recv(1024):
                self.size += len(data)
                self.last_at = time.monotonic_ns()
                gevent.sleep(0.02)
        except ConnectionResetError:
            self.reset = True


class BytesInFlight(unittest.TestCase):
    """Bytes of a request that the endpoint's host has not acknowledged."""

    def test_buffered_bytes_are_discarded_before_the_bound(self) -> None:
        """Guards against bytes that arrive after the bound when an endpoint leaves during a slow transfer."""
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
        self.assertTrue(endpoint.reset, "without a reset the kernel sends the buffered bytes")
        self.assertLess(endpoint.size, len(request.body))


if __name__ == "__main__":
    unittest.main()
