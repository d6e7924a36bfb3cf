"""Work for disconnected clients is cancelled (issue 45); a proxy and scripted endpoints, over sockets."""

import itertools
import time
import unittest
from collections.abc import Callable, Iterable

import gevent
import msgspec
from gevent import socket

from flintreach.config.configuration import RequestLimits
from flintreach.config.settings import TimingBounds
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.proxy.balancing import FleetPosition
from flintreach.proxy.client_listener import ClientListener
from flintreach.proxy.connection import Connection
from flintreach.proxy.endpoint import EndpointView
from flintreach.proxy.forwarding import Forwarder
from flintreach.proxy.hedging import SLOWER_ATTEMPT_GRACE_S
from flintreach.proxy.metrics import LATE_CANCELLATION, SENT_AFTER_DISCONNECT, Metrics
from flintreach.proxy.view import RoutingView
from flintreach.standins.adversary import RESET, Adversary

# Time within which cancellation must complete in these tests.
CANCEL_TIMEOUT_S = 0.25

# Latency target of the routes, and the longest hedging delay that follows from it.
LATENCY_TARGET_MS = 400
HEDGING_DELAY_S = 0.24

# prefix -> kind of route, service
ROUTES = {
    "s": ("safe", "desk"),
    "u": ("unsafe", "desk"),
    "d": ("outbound_post", "desk"),
    "k": ("safe", "lot"),
}


def configuration() -> bytes:
    """An encoded configuration with one route for each entry of `ROUTES`."""
    rules = [
        {
            "name": name,
            "kind": kind,
            "target_ms": LATENCY_TARGET_MS,
            "sorting": {"postcode": f"/{name}/"},
            "dispatch": {"line": service, "deadline_ms": 5000, "tries": 3},
        }
        for name, (kind, service) in ROUTES.items()
    ]
    return msgspec.json.encode(
        {
            "edition": "00000001",
            "wickets": [{"destination": "a", "regulations": rules}],
            "depots": [{"name": "desk", "checkup": "/health"}, {"name": "lot", "sharded": True}],
        }
    )


class ProxyAndEndpoints:
    """A client listener, its forwarder and two endpoints; `mbps` is the bandwidth of the proxy's link."""

    def __init__(self, mbps: float = 0.0) -> None:
        self.endpoints = [Adversary("e0"), Adversary("e1")]
        self.ids = (f"{number:016x}" for number in itertools.count(1))
        self.updates = VersionedStore()
        self.metrics = Metrics()
        # The view is always current, unless a test replaces this.
        self.confirmed_at: Callable[[], int] = time.monotonic_ns
        bounds = TimingBounds(last_call_ms=600_000, retry_slack=1000)
        self.view = RoutingView(
            self.updates,
            FleetPosition("n", "r"),
            {"n": "r"},
            time.monotonic_ns,
            bounds,
            lambda: self.confirmed_at(),
            self.metrics,
        )
        self.updates.offer("timetable", 1, configuration())
        for endpoint in self.endpoints:
            fields = {"line": "desk", "addr": endpoint.addr, "zone": "n", "berths": 4}
            self.updates.offer(f"hut/{endpoint.id}", [1, 0], {**fields, "state": "ready", "cold": 0})
        self.forwarder = Forwarder(self.view, bounds, self.metrics, LoadAggregate(), mbps)
        self.listener = ClientListener(("127.0.0.1", 0), self.forwarder, RequestLimits)
        self.listener.start()

    def stop(self) -> None:
        """Stop the listener and the endpoints."""
        self.listener.stop(timeout=0)
        for endpoint in self.endpoints:
            endpoint.stop()

    def script(self, *acts: str) -> None:
        """Append acts to the script of each endpoint."""
        for endpoint in self.endpoints:
            endpoint.script.extend(acts)

    def connect(self) -> socket.socket:
        """Open a client connection to the proxy."""
        return socket.create_connection(self.listener.address, timeout=5)

    def send(self, sock: socket.socket, path: str = "/s/1", method: str = "GET", body: bytes = b"") -> str:
        """Send one request, and return its id."""
        id = next(self.ids)
        lines = (
            f"{method} {path} HTTP/1.1",
            "Host: a",
            f"X-Try-Id: {id}",
            "X-Shard-Key: 7",
            f"Content-Length: {len(body)}",
        )
        sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        return id

    def arrived(self) -> list[str]:
        """Ids of all requests that arrived at an endpoint, in the order in which they were sent."""
        return sorted(request.id for endpoint in self.endpoints for request in endpoint.requests)

    def cancelled(self) -> list[str]:
        """Ids of the requests whose connection was closed before the endpoint responded."""
        return [id for endpoint in self.endpoints for id in endpoint.cancelled]

    def endpoint_views(self) -> Iterable[EndpointView]:
        """The endpoints as the proxy sees them."""
        return self.view.endpoints.values()

    def in_flight(self) -> int:
        """Number of requests in flight to endpoints, as counted by the proxy."""
        return sum(endpoint.own_requests for endpoint in self.endpoint_views())


def becomes_true(condition: Callable[[], bool], within_s: float = 5.0) -> bool:
    """Poll until a condition is true; return whether that was within `within_s`."""
    limit = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > limit:
            return False
        gevent.sleep(0.002)
    return True


def close(sock: socket.socket) -> None:
    """Close the connection normally."""
    sock.close()


def reset(sock: socket.socket) -> None:
    """Close the connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def half_close(sock: socket.socket) -> None:
    """Shut down sending, which the kernel does not distinguish from a close (docs/design/hangups.md)."""
    sock.shutdown(socket.SHUT_WR)


def close_after_unread_data(sock: socket.socket) -> None:
    """Close the connection after data that the proxy does not read while it forwards a request."""
    sock.sendall(b"POST /u/never HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf")
    sock.close()


WAYS_TO_DISCONNECT = (close, reset, half_close, close_after_unread_data)


class HangupCase(unittest.TestCase):
    """Base of test cases with a proxy and endpoints for each test; `mbps` is the bandwidth of its link."""

    mbps = 0.0

    def setUp(self) -> None:
        self.fixture = ProxyAndEndpoints(self.mbps)
        self.addCleanup(self.fixture.stop)

    def tearDown(self) -> None:
        """Check that the proxy counted no violation of its invariants."""
        for violation in (SENT_AFTER_DISCONNECT, LATE_CANCELLATION):
            self.assertEqual(self.fixture.metrics.counts.get(violation, 0), 0, violation)

    def becomes_idle(self) -> bool:
        """Whether all requests and client connections end within `CANCEL_TIMEOUT_S`."""
        return becomes_true(
            lambda: not self.fixture.in_flight() and not self.fixture.listener.handlers, CANCEL_TIMEOUT_S
        )

    def arrives(self, id: str) -> bool:
        """Whether a request arrives at an endpoint within the default timeout."""
        return becomes_true(lambda: id in self.fixture.arrived())

    def endpoints_are_healthy(self) -> bool:
        """Whether the proxy records neither a failure nor a request in progress for any endpoint."""
        return all(
            not (
                endpoint.consecutive_failures
                or endpoint.ejected_until
                or endpoint.own_requests
                or endpoint.unanswered_since
            )
            for endpoint in self.fixture.endpoint_views()
        )


class Hangups(HangupCase):
    def test_an_idempotent_request_is_cancelled_when_its_client_disconnects(self) -> None:
        """The endpoint's connection is closed, for each kind of request and each way to disconnect."""
        for disconnect, (method, path) in itertools.product(
            WAYS_TO_DISCONNECT, (("GET", "/s/1"), ("HEAD", "/s/1"), ("POST", "/s/1"), ("GET", "/d/1"))
        ):
            case = (disconnect.__name__, method, path)
            for endpoint in self.fixture.endpoints:
                endpoint.clear()
            self.fixture.script("late", "late")
            sock = self.fixture.connect()
            id = self.fixture.send(sock, path, method)
            self.assertTrue(self.arrives(id), case)
            disconnect(sock)
            self.assertTrue(becomes_true(lambda: id in self.fixture.cancelled(), CANCEL_TIMEOUT_S), case)  # noqa: B023
            self.assertTrue(self.becomes_idle(), case)

    def test_nothing_more_is_sent_for_a_disconnected_client(self) -> None:
        """Neither a hedged request after the hedging delay, nor a retry after a failure."""
        sock = self.fixture.connect()
        self.fixture.script("late")
        id = self.fixture.send(sock)
        self.assertTrue(self.arrives(id))
        sock.close()
        gevent.sleep(HEDGING_DELAY_S + 0.1)
        self.assertEqual(self.fixture.arrived(), [id], "a hedged request was sent")

        self.fixture.script("held", "held")
        sock = self.fixture.connect()
        second_id = self.fixture.send(sock, "/u/1", "POST")
        self.assertTrue(self.arrives(second_id))
        sock.close()
        gevent.sleep(0.05)
        for endpoint in self.fixture.endpoints:
            endpoint.script.clear()
            for connection in endpoint.connections:
                connection.sock.shutdown(socket.SHUT_RDWR)
            endpoint.released.set()
        gevent.sleep(0.1)
        self.assertEqual(self.fixture.arrived(), [id, second_id], "the request was retried")
        self.assertTrue(self.becomes_idle())

    def test_pipelined_requests_of_a_closed_connection_are_not_forwarded(self) -> None:
        """This holds for requests that have been read and for those still in the socket's buffer."""
        self.fixture.script(*["late"] * 4)
        sock = self.fixture.connect()
        ids = [self.fixture.send(sock) for _ in range(4)]
        self.assertTrue(becomes_true(lambda: {*ids} <= {*self.fixture.arrived()}))
        ids += [self.fixture.send(sock, "/u/1", "POST"), self.fixture.send(sock)]
        gevent.sleep(0.02)
        sock.close()
        self.assertTrue(self.becomes_idle())
        gevent.sleep(HEDGING_DELAY_S + 0.1)
        self.assertFalse({*ids[4:]} & {*self.fixture.arrived()})
        self.assertEqual(len(self.fixture.arrived()), 4)

    def test_a_disconnect_that_the_event_loop_has_not_seen_prevents_sending(self) -> None:
        """After the process was suspended, a request and its client's disconnect are pending together."""
        for path, method in (("/s/1", "GET"), ("/s/1", "POST"), ("/u/1", "POST")):
            sock = self.fixture.connect()
            self.fixture.send(sock)  # establishes connections to endpoints, so that sending does not wait
            self.assertTrue(sock.recv(65536))
            self.fixture.listener.hangup_monitor.watcher.stop()  # the event loop handles the request first
            id = self.fixture.send(sock, path, method)
            sock.close()
            gevent.sleep(0.05)
            self.assertNotIn(id, self.fixture.arrived(), (path, method))
            self.fixture.listener.hangup_monitor.watcher.start(
                self.fixture.listener.hangup_monitor.process_events
            )
            self.assertTrue(self.becomes_idle())

    def test_a_non_idempotent_request_continues_and_is_not_retried(self) -> None:
        """Cancelling it would make it unknown whether it has run."""
        self.fixture.script("held", "held")
        sock = self.fixture.connect()
        id = self.fixture.send(sock, "/u/1", "POST")
        self.assertTrue(self.arrives(id))
        sock.close()
        gevent.sleep(CANCEL_TIMEOUT_S)
        self.assertEqual((self.fixture.cancelled(), self.fixture.in_flight()), ([], 1))
        for endpoint in self.fixture.endpoints:
            endpoint.released.set()
        self.assertTrue(self.becomes_idle())
        self.assertEqual(self.fixture.arrived(), [id])
        self.assertEqual([len(endpoint.pool.idle) for endpoint in self.fixture.endpoint_views()].count(1), 1)
        self.assertTrue(self.endpoints_are_healthy())

    def test_a_cancelled_attempt_does_not_affect_its_endpoint(self) -> None:
        """It does not change the endpoint's health, the average latency or the retry budget.

        The endpoint serves the next client.
        """
        self.fixture.script("late", "late")
        latencies = dict(self.fixture.forwarder.endpoint_client.average_latency_ns)
        for _ in range(2):
            sock = self.fixture.connect()
            id = self.fixture.send(sock)
            self.assertTrue(self.arrives(id))
            sock.close()
            self.assertTrue(self.becomes_idle())
        self.assertTrue(self.endpoints_are_healthy())
        self.assertEqual(self.fixture.forwarder.endpoint_client.average_latency_ns, latencies)
        self.assertEqual(sum(self.fixture.forwarder.retry_budget("desk").retries), 0)
        # The endpoint sees the end of its connection in a later turn of the event loop.
        becomes_true(lambda: len(self.fixture.cancelled()) >= 2, CANCEL_TIMEOUT_S)
        self.assertEqual(len(self.fixture.cancelled()), 2)
        for endpoint in self.fixture.endpoints:
            endpoint.script.clear()
        sock = self.fixture.connect()
        self.fixture.send(sock)
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200"))

    def test_the_slower_of_two_hedged_attempts_is_cancelled_after_the_response(self) -> None:
        self.fixture.script("late")
        # The endpoint attempted first does not respond; the other one does.
        self.fixture.endpoints[0].script.append("answer")
        self.fixture.endpoints[1].script.append("answer")
        sock = self.fixture.connect()
        id = self.fixture.send(sock)
        self.assertTrue(self.arrives(id))
        for endpoint in self.fixture.endpoints:
            endpoint.script.clear()
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.fixture.arrived(), [id, id])
        self.assertEqual(self.fixture.cancelled(), [])
        gevent.sleep(SLOWER_ATTEMPT_GRACE_S + 0.1)
        self.assertEqual(self.fixture.cancelled(), [id])
        self.assertTrue(self.endpoints_are_healthy())

    def test_a_draining_proxy_does_not_wait_for_disconnected_clients(self) -> None:
        self.fixture.script("late", "late")
        sock = self.fixture.connect()
        self.assertTrue(self.arrives(self.fixture.send(sock)))
        self.fixture.listener.draining = True
        gevent.sleep(0.02)
        self.assertTrue(self.fixture.listener.handlers)
        sock.close()
        self.assertTrue(self.becomes_idle())

    def test_keep_alive_probes_detect_an_unreachable_client_machine(self) -> None:
        sock = self.fixture.connect()
        self.assertTrue(becomes_true(lambda: self.fixture.listener.handlers))
        (handler,) = self.fixture.listener.handlers
        self.assertTrue(handler.socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        idle = handler.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        interval = handler.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        probes = handler.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        self.assertLessEqual(idle + interval * probes, 5)
        sock.close()


class HangupsWhileWaiting(HangupCase):
    """A request that waits before it is sent is not sent once its client has disconnected."""

    mbps = 8.0

    def disconnect_while_waiting(self, path: str, method: str = "GET") -> str:
        """Send a request, disconnect before the proxy can send it to an endpoint, and return its id."""
        sock = self.fixture.connect()
        id = self.fixture.send(sock, path, method)
        gevent.sleep(0.03)
        self.assertEqual(self.fixture.arrived(), [])
        sock.close()
        gevent.sleep(0.02)
        return id

    def test_for_link_admission(self) -> None:
        admission = self.fixture.forwarder.link_admission
        reserved = 1 << 40
        admission.in_flight_bytes = reserved
        self.disconnect_while_waiting("/d/1")
        self.assertTrue(self.becomes_idle())
        self.assertEqual((len(admission.queue), admission.in_flight_bytes), (0, reserved))
        admission.release(reserved)
        gevent.sleep(0.05)
        self.assertEqual((self.fixture.arrived(), admission.in_flight_bytes), ([], 0))

    def test_for_a_connection(self) -> None:
        for endpoint in self.fixture.endpoint_views():
            endpoint.pool.connect = delayed(endpoint.pool.connect)
        for path, method in (("/s/1", "GET"), ("/u/1", "POST")):
            self.disconnect_while_waiting(path, method)
            self.assertTrue(self.becomes_idle())
        gevent.sleep(0.1)
        self.assertEqual(self.fixture.arrived(), [])
        self.assertTrue(self.endpoints_are_healthy())

    def test_for_a_health_check(self) -> None:
        """The health check itself continues, as other requests may wait for it."""
        self.fixture.confirmed_at = lambda: time.monotonic_ns() - 601_000_000_000
        for endpoint in self.fixture.endpoints:
            endpoint.delays_health = True
        disconnected_id = self.disconnect_while_waiting("/s/1")
        sock = self.fixture.connect()
        id = self.fixture.send(sock, "/u/1", "POST")
        gevent.sleep(0.02)
        for endpoint in self.fixture.endpoints:
            endpoint.released.set()
        self.assertTrue(self.arrives(id))
        self.assertNotIn(disconnected_id, self.fixture.arrived())
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200"))

    def test_for_a_key_that_moves_between_owners(self) -> None:
        self.disconnect_while_waiting("/k/1")
        fields = {"line": "lot", "addr": self.fixture.endpoints[0].addr, "zone": "n", "berths": 4}
        self.fixture.updates.offer("hut/e0", [1, 1], {**fields, "state": "ready", "cold": 0})
        self.fixture.updates.offer("bunks/lot", [1, 1], [[0, 65535, "e0", "held"]])
        gevent.sleep(0.1)
        self.assertEqual(self.fixture.arrived(), [])


def delayed(connect: Callable[[float], Connection]) -> Callable[[float], Connection]:
    """Wrap `ConnectionPool.connect` so that connections are established with a delay."""

    def connect_late(timeout_s: float) -> Connection:
        gevent.sleep(0.15)
        return connect(timeout_s)

    return connect_late


if __name__ == "__main__":
    unittest.main()
