"""Nothing goes on for clients that have left (issue 45): a proxy on sockets and scripted endpoints."""

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

# So soon it must be over on this machine.
SOON_S = 0.25

# Of the routes; and the longest time after which a hedged request is sent.
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
    """A configuration with a route of each kind."""
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
    """A listener with its forwarder and two endpoints; `mbps`: of the proxy's link."""

    def __init__(self, mbps: float = 0.0) -> None:
        self.endpoints = [Adversary("e0"), Adversary("e1")]
        self.ids = (f"{number:016x}" for number in itertools.count(1))
        self.updates = VersionedStore()
        self.metrics = Metrics()
        # The view is confirmed all the while, unless a case says otherwise.
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
        """End the listener and the endpoints."""
        self.listener.stop(timeout=0)
        for endpoint in self.endpoints:
            endpoint.stop()

    def script(self, *acts: str) -> None:
        """What each endpoint does with the requests that come to it."""
        for endpoint in self.endpoints:
            endpoint.script.extend(acts)

    def connect(self) -> socket.socket:
        """A connection of a client."""
        return socket.create_connection(self.listener.address, timeout=5)

    def send(self, sock: socket.socket, path: str = "/s/1", method: str = "GET", body: bytes = b"") -> str:
        """Send one request; its id."""
        id = next(self.ids)
        rows = (
            f"{method} {path} HTTP/1.1",
            "Host: a",
            f"X-Try-Id: {id}",
            "X-Shard-Key: 7",
            f"Content-Length: {len(body)}",
        )
        sock.sendall("\r\n".join([*rows, "", ""]).encode() + body)
        return id

    def arrived(self) -> list[str]:
        """Ids of all requests that arrived at an endpoint, in the order of their sending."""
        return sorted(asked.id for endpoint in self.endpoints for asked in endpoint.requests)

    def cancelled(self) -> list[str]:
        """Ids of the requests whose connection ended before the endpoint had answered."""
        return [id for endpoint in self.endpoints for id in endpoint.cancelled]

    def endpoint_views(self) -> Iterable[EndpointView]:
        """The endpoints as the proxy sees them."""
        return self.view.endpoints.values()

    def in_flight(self) -> int:
        """Requests at endpoints, as the proxy counts them."""
        return sum(endpoint.own_requests for endpoint in self.endpoint_views())


def happens(condition: Callable[[], bool], within_s: float = 5.0) -> bool:
    """Whether a condition became true in time."""
    limit = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > limit:
            return False
        gevent.sleep(0.002)
    return True


def close(sock: socket.socket) -> None:
    """The usual end."""
    sock.close()


def reset(sock: socket.socket) -> None:
    """The end by a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def half_close(sock: socket.socket) -> None:
    """The kernel can't tell it from a close, so it counts as one (docs/design/hangups.md)."""
    sock.shutdown(socket.SHUT_WR)


def close_behind_bytes(sock: socket.socket) -> None:
    """The end of the stream stands behind bytes that the proxy does not read meanwhile."""
    sock.sendall(b"POST /u/never HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf")
    sock.close()


WAYS_TO_LEAVE = (close, reset, half_close, close_behind_bytes)


class HangupCase(unittest.TestCase):
    """A case with a proxy and endpoints of its own; `mbps`: of the proxy's link."""

    mbps = 0.0

    def setUp(self) -> None:
        self.site = ProxyAndEndpoints(self.mbps)
        self.addCleanup(self.site.stop)

    def tearDown(self) -> None:
        """The invariants that the code itself counts."""
        for violation in (SENT_AFTER_DISCONNECT, LATE_CANCELLATION):
            self.assertEqual(self.site.metrics.counts.get(violation, 0), 0, violation)

    def settled(self) -> bool:
        """Whether nothing is under way soon, and no connection of a client is left."""
        return happens(lambda: not self.site.in_flight() and not self.site.listener.handlers, SOON_S)

    def arrives(self, id: str) -> bool:
        """Whether a request arrives at an endpoint."""
        return happens(lambda: id in self.site.arrived())

    def endpoints_are_healthy(self) -> bool:
        """Whether no failure of any endpoint was recorded, and none is thought to be at work."""
        return all(
            not (
                endpoint.consecutive_failures
                or endpoint.ejected_until
                or endpoint.own_requests
                or endpoint.unanswered_since
            )
            for endpoint in self.site.endpoint_views()
        )


class Hangups(HangupCase):
    def test_an_idempotent_request_is_cancelled_when_its_client_leaves(self) -> None:
        """However it is forwarded and however the client leaves, the endpoint's connection ends."""
        for leave, (method, path) in itertools.product(
            WAYS_TO_LEAVE, (("GET", "/s/1"), ("HEAD", "/s/1"), ("POST", "/s/1"), ("GET", "/d/1"))
        ):
            case = (leave.__name__, method, path)
            for endpoint in self.site.endpoints:
                endpoint.clear()
            self.site.script("late", "late")
            sock = self.site.connect()
            id = self.site.send(sock, path, method)
            self.assertTrue(self.arrives(id), case)
            leave(sock)
            self.assertTrue(happens(lambda: id in self.site.cancelled(), SOON_S), case)  # noqa: B023
            self.assertTrue(self.settled(), case)

    def test_nothing_is_sent_any_more_for_a_client_that_left(self) -> None:
        """No hedged request beside a silent endpoint, no retry after a failure."""
        sock = self.site.connect()
        self.site.script("late")
        id = self.site.send(sock)
        self.assertTrue(self.arrives(id))
        sock.close()
        gevent.sleep(HEDGING_DELAY_S + 0.1)
        self.assertEqual(self.site.arrived(), [id], "a second endpoint was asked beside the first")

        self.site.script("held", "held")
        sock = self.site.connect()
        again = self.site.send(sock, "/u/1", "POST")
        self.assertTrue(self.arrives(again))
        sock.close()
        gevent.sleep(0.05)
        for endpoint in self.site.endpoints:
            endpoint.script.clear()
            for line in endpoint.connections:
                line.sock.shutdown(socket.SHUT_RDWR)
            endpoint.released.set()
        gevent.sleep(0.1)
        self.assertEqual(self.site.arrived(), [id, again], "it was retried")
        self.assertTrue(self.settled())

    def test_pipelined_requests_of_a_connection_that_ended_are_not_forwarded(self) -> None:
        """Requests that are read, and some that still lie in the kernel."""
        self.site.script(*["late"] * 4)
        sock = self.site.connect()
        ids = [self.site.send(sock) for _ in range(4)]
        self.assertTrue(happens(lambda: {*ids} <= {*self.site.arrived()}))
        ids += [self.site.send(sock, "/u/1", "POST"), self.site.send(sock)]
        gevent.sleep(0.02)
        sock.close()
        self.assertTrue(self.settled())
        gevent.sleep(HEDGING_DELAY_S + 0.1)
        self.assertFalse({*ids[4:]} & {*self.site.arrived()})
        self.assertEqual(len(self.site.arrived()), 4)

    def test_a_request_whose_client_left_before_the_event_loop_looked_is_not_sent(self) -> None:
        """The process stood still: a request and its client's end lie in the kernel together."""
        for path, method in (("/s/1", "GET"), ("/s/1", "POST"), ("/u/1", "POST")):
            warm = self.site.connect()  # connections to endpoints stand, so a sending needs no wait
            self.site.send(warm)
            self.assertTrue(warm.recv(65536))
            self.site.listener.hangup_monitor.watcher.stop()  # the event loop comes to the request first
            id = self.site.send(warm, path, method)
            warm.close()
            gevent.sleep(0.05)
            self.assertNotIn(id, self.site.arrived(), (path, method))
            self.site.listener.hangup_monitor.watcher.start(self.site.listener.hangup_monitor.process_events)
            self.assertTrue(self.settled())

    def test_a_request_that_is_not_idempotent_goes_on_and_is_not_retried(self) -> None:
        """Cancelling it would leave its end unknown to everybody."""
        self.site.script("held", "held")
        sock = self.site.connect()
        id = self.site.send(sock, "/u/1", "POST")
        self.assertTrue(self.arrives(id))
        sock.close()
        gevent.sleep(SOON_S)
        self.assertEqual((self.site.cancelled(), self.site.in_flight()), ([], 1))
        for endpoint in self.site.endpoints:
            endpoint.released.set()
        self.assertTrue(self.settled())
        self.assertEqual(self.site.arrived(), [id])
        self.assertEqual([len(endpoint.pool.idle) for endpoint in self.site.endpoint_views()].count(1), 1)
        self.assertTrue(self.endpoints_are_healthy())

    def test_a_cancelled_attempt_tells_nothing_of_its_endpoint(self) -> None:
        """Nor of the usual work, nor does it use up a budget; the next client is served there."""
        self.site.script("late", "late")
        work = dict(self.site.forwarder.endpoint_client.average_latency_ns)
        for _ in range(2):
            sock = self.site.connect()
            id = self.site.send(sock)
            self.assertTrue(self.arrives(id))
            sock.close()
            self.assertTrue(self.settled())
        self.assertTrue(self.endpoints_are_healthy())
        self.assertEqual(self.site.forwarder.endpoint_client.average_latency_ns, work)
        self.assertEqual(sum(self.site.forwarder.retry_budget("desk").retries), 0)
        self.assertEqual(len(self.site.cancelled()), 2)
        for endpoint in self.site.endpoints:
            endpoint.script.clear()
        sock = self.site.connect()
        self.site.send(sock)
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200"))

    def test_the_slower_of_two_hedged_attempts_ends_soon_after_the_answer(self) -> None:
        self.site.script("late")
        # Whichever is asked first is silent, the other answers.
        self.site.endpoints[0].script.append("answer")
        self.site.endpoints[1].script.append("answer")
        sock = self.site.connect()
        id = self.site.send(sock)
        self.assertTrue(self.arrives(id))
        for endpoint in self.site.endpoints:
            endpoint.script.clear()
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.site.arrived(), [id, id])
        self.assertEqual(self.site.cancelled(), [])
        gevent.sleep(SLOWER_ATTEMPT_GRACE_S + 0.1)
        self.assertEqual(self.site.cancelled(), [id])
        self.assertTrue(self.endpoints_are_healthy())

    def test_a_draining_proxy_does_not_wait_for_clients_that_left(self) -> None:
        self.site.script("late", "late")
        sock = self.site.connect()
        self.assertTrue(self.arrives(self.site.send(sock)))
        self.site.listener.draining = True
        gevent.sleep(0.02)
        self.assertTrue(self.site.listener.handlers)
        sock.close()
        self.assertTrue(self.settled())

    def test_a_client_whose_machine_vanishes_is_noticed_by_probes(self) -> None:
        sock = self.site.connect()
        self.assertTrue(happens(lambda: self.site.listener.handlers))
        (handler,) = self.site.listener.handlers
        self.assertTrue(handler.socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        idle = handler.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        interval = handler.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        probes = handler.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        self.assertLessEqual(idle + interval * probes, 5)
        sock.close()


class HangupsWhileWaiting(HangupCase):
    """Whatever a request waits for before it is sent: nothing is sent once its client has left."""

    mbps = 8.0

    def leave_while_waiting(self, path: str, method: str = "GET") -> str:
        """Send a request, and leave before it can go out; its id."""
        sock = self.site.connect()
        id = self.site.send(sock, path, method)
        gevent.sleep(0.03)
        self.assertEqual(self.site.arrived(), [])
        sock.close()
        gevent.sleep(0.02)
        return id

    def test_for_admission_among_large_answers(self) -> None:
        admission = self.site.forwarder.link_admission
        reserved = 1 << 40
        admission.in_flight_bytes = reserved
        self.leave_while_waiting("/d/1")
        self.assertTrue(self.settled())
        self.assertEqual((len(admission.queue), admission.in_flight_bytes), (0, reserved))
        admission.release(reserved)
        gevent.sleep(0.05)
        self.assertEqual((self.site.arrived(), admission.in_flight_bytes), ([], 0))

    def test_for_a_connection(self) -> None:
        for endpoint in self.site.endpoint_views():
            endpoint.pool.connect = delayed(endpoint.pool.connect)
        for path, method in (("/s/1", "GET"), ("/u/1", "POST")):
            self.leave_while_waiting(path, method)
            self.assertTrue(self.settled())
        gevent.sleep(0.1)
        self.assertEqual(self.site.arrived(), [])
        self.assertTrue(self.endpoints_are_healthy())

    def test_for_a_health_check(self) -> None:
        """The check goes on, as others wait for it too."""
        self.site.confirmed_at = lambda: time.monotonic_ns() - 601_000_000_000
        for endpoint in self.site.endpoints:
            endpoint.delays_health = True
        gone = self.leave_while_waiting("/s/1")
        sock = self.site.connect()
        id = self.site.send(sock, "/u/1", "POST")
        gevent.sleep(0.02)
        for endpoint in self.site.endpoints:
            endpoint.released.set()
        self.assertTrue(self.arrives(id))
        self.assertNotIn(gone, self.site.arrived())
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200"))

    def test_for_keys_between_two_owners(self) -> None:
        self.leave_while_waiting("/k/1")
        fields = {"line": "lot", "addr": self.site.endpoints[0].addr, "zone": "n", "berths": 4}
        self.site.updates.offer("hut/e0", [1, 1], {**fields, "state": "ready", "cold": 0})
        self.site.updates.offer("bunks/lot", [1, 1], [[0, 65535, "e0", "held"]])
        gevent.sleep(0.1)
        self.assertEqual(self.site.arrived(), [])


def delayed(connect: Callable[[float], Connection]) -> Callable[[float], Connection]:
    """Connections that are set up, but late."""

    def connect_late(timeout_s: float) -> Connection:
        gevent.sleep(0.15)
        return connect(timeout_s)

    return connect_late


if __name__ == "__main__":
    unittest.main()
