"""Nothing goes on for clients that have left (issue 45): a proxy on sockets and scripted endpoints."""

import itertools
import time
import unittest

import gevent
import msgspec
from gevent import socket

from flintreach.config.configuration import RequestLimits
from flintreach.config.settings import TimingBounds
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.proxy.balancing import FleetPosition
from flintreach.proxy.client_listener import ClientListener
from flintreach.proxy.forwarding import Forwarder
from flintreach.proxy.hedging import LOSER_GRACE_S
from flintreach.proxy.metrics import LATE_ABANDON, SENT_FOR_NOBODY, Metrics
from flintreach.proxy.view import RoutingView
from flintreach.standins.adversary import RESET, Adversary

SOON_S = 0.25  # within which it is over here
AIM_MS, PATIENCE_S = 400, 0.24  # of the routes; the longest time after which a second endpoint is asked
# prefix -> kind of route, service
ROUTES = {
    "s": ("safe", "desk"),
    "u": ("unsafe", "desk"),
    "d": ("outbound_post", "desk"),
    "k": ("safe", "lot"),
}


def configuration() -> bytes:
    rules = [
        {
            "name": name,
            "kind": kind,
            "target_ms": AIM_MS,
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


class Site:
    """A front with its forwarder and two endpoints; `mbps`: of the proxy's link."""

    def __init__(self, mbps: float = 0.0):
        self.endpoints = [Adversary("e0"), Adversary("e1")]
        self.ids = (f"{number:016x}" for number in itertools.count(1))
        self.updates, self.metrics = VersionedStore(), Metrics()
        self.confirmed = (
            time.monotonic_ns
        )  # the view is confirmed all the while, unless a case says otherwise
        bounds = TimingBounds(last_call_ms=600_000, retry_slack=1000)
        self.view = RoutingView(
            self.updates,
            FleetPosition("n", "r"),
            {"n": "r"},
            time.monotonic_ns,
            bounds,
            lambda: self.confirmed(),
            self.metrics,
        )
        self.updates.offer("timetable", 1, configuration())
        for endpoint in self.endpoints:
            fields = {"line": "desk", "addr": endpoint.addr, "zone": "n", "berths": 4}
            self.updates.offer(f"hut/{endpoint.id}", [1, 0], {**fields, "state": "ready", "cold": 0})
        self.forwarder = Forwarder(self.view, bounds, self.metrics, LoadAggregate(), mbps)
        self.front = ClientListener(("127.0.0.1", 0), self.forwarder, RequestLimits)
        self.front.start()

    def stop(self) -> None:
        self.front.stop(timeout=0)
        for endpoint in self.endpoints:
            endpoint.stop()

    def script(self, *acts: str) -> None:
        """What each endpoint does with the requests that come to it."""
        for endpoint in self.endpoints:
            endpoint.script.extend(acts)

    def connect(self) -> socket.socket:
        return socket.create_connection(self.front.address, timeout=5)

    def send(self, sock, path: str = "/s/1", method: str = "GET", body: bytes = b"") -> str:
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

    def came(self) -> list[str]:
        """Ids of all that came to an endpoint, in the order of their sending."""
        return sorted(asked.id for endpoint in self.endpoints for asked in endpoint.came)

    def broken_off(self) -> list[str]:
        return [id for endpoint in self.endpoints for id in endpoint.broken_off]

    def held(self):
        """The endpoints as the proxy sees them."""
        return self.view.endpoints.values()

    def under_way(self) -> int:
        return sum(endpoint.own_requests for endpoint in self.held())


def until(good, seconds: float = 5.0) -> bool:
    """Whether `good()` became true in time."""
    limit = time.monotonic() + seconds
    while not good():
        if time.monotonic() > limit:
            return False
        gevent.sleep(0.002)
    return True


def close(sock) -> None:
    sock.close()


def reset(sock) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


def half_close(sock) -> None:
    """The kernel can't tell it from a close, so it counts as one (docs/design/hangups.md)."""
    sock.shutdown(socket.SHUT_WR)


def close_behind_bytes(sock) -> None:
    """The end of the stream stands behind bytes that the proxy does not read meanwhile."""
    sock.sendall(b"POST /u/never HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf")
    sock.close()


WAYS_TO_LEAVE = (close, reset, half_close, close_behind_bytes)


class Case(unittest.TestCase):
    mbps = 0.0  # of the proxy's link

    def setUp(self):
        self.site = Site(self.mbps)
        self.addCleanup(self.site.stop)

    def tearDown(self):
        """The invariants that the code itself counts."""
        for violation in (SENT_FOR_NOBODY, LATE_ABANDON):
            self.assertEqual(self.site.metrics.counts.get(violation, 0), 0, violation)

    def settled(self) -> bool:
        """Whether nothing is under way soon, and no connection of a client is left."""
        return until(lambda: not self.site.under_way() and not self.site.front.handlers, SOON_S)

    def runs_somewhere(self, id: str) -> bool:
        return until(lambda: id in self.site.came())

    def blameless(self) -> bool:
        """Whether nothing bad was learnt of any endpoint, and none is thought to be at work."""
        return all(
            not (
                endpoint.consecutive_failures
                or endpoint.ejected_until
                or endpoint.own_requests
                or endpoint.unanswered_since
            )
            for endpoint in self.site.held()
        )


class Hangups(Case):
    def test_what_may_be_repeated_is_broken_off_when_its_client_leaves(self):
        """However it is carried and however the client leaves, the endpoint's connection ends."""
        for leave, (method, path) in itertools.product(
            WAYS_TO_LEAVE, (("GET", "/s/1"), ("HEAD", "/s/1"), ("POST", "/s/1"), ("GET", "/d/1"))
        ):
            case = (leave.__name__, method, path)
            for endpoint in self.site.endpoints:
                endpoint.forget()
            self.site.script("late", "late")
            sock = self.site.connect()
            id = self.site.send(sock, path, method)
            self.assertTrue(self.runs_somewhere(id), case)
            leave(sock)
            self.assertTrue(until(lambda: id in self.site.broken_off(), SOON_S), case)  # noqa: B023
            self.assertTrue(self.settled(), case)

    def test_nothing_goes_out_any_more_for_a_client_that_left(self):
        """Not beside a silent first, not again after a failure, not behind a wait for a turn."""
        sock = self.site.connect()
        self.site.script("late")
        id = self.site.send(sock)
        self.assertTrue(self.runs_somewhere(id))
        sock.close()
        gevent.sleep(PATIENCE_S + 0.1)
        self.assertEqual(self.site.came(), [id], "a second endpoint was asked beside the first")

        self.site.script("held", "held")
        sock = self.site.connect()
        again = self.site.send(sock, "/u/1", "POST")
        self.assertTrue(self.runs_somewhere(again))
        sock.close()
        gevent.sleep(0.05)
        for endpoint in self.site.endpoints:
            endpoint.script.clear()
            for line in endpoint.lines:
                line.sock.shutdown(socket.SHUT_RDWR)
            endpoint.let_go.set()
        gevent.sleep(0.1)
        self.assertEqual(self.site.came(), [id, again], "it was sent again")
        self.assertTrue(self.settled())

    def test_what_waits_behind_others_on_a_connection_that_ended_is_not_carried(self):
        """Requests that are read, and some that still lie in the kernel."""
        self.site.script(*["late"] * 4)
        sock = self.site.connect()
        ids = [self.site.send(sock) for _ in range(4)]
        self.assertTrue(until(lambda: {*ids} <= {*self.site.came()}))
        ids += [self.site.send(sock, "/u/1", "POST"), self.site.send(sock)]
        gevent.sleep(0.02)
        sock.close()
        self.assertTrue(self.settled())
        gevent.sleep(PATIENCE_S + 0.1)
        self.assertFalse({*ids[4:]} & {*self.site.came()})
        self.assertEqual(len(self.site.came()), 4)

    def test_one_that_left_before_this_process_looked_is_not_carried(self):
        """The process stood still: a request and its client's end lie in the kernel together."""
        for path, method in (("/s/1", "GET"), ("/s/1", "POST"), ("/u/1", "POST")):
            warm = self.site.connect()  # connections to endpoints stand, so a sending needs no wait
            self.site.send(warm)
            self.assertTrue(warm.recv(65536))
            self.site.front.hangups.watcher.stop()  # the event loop comes to the request first
            id = self.site.send(warm, path, method)
            warm.close()
            gevent.sleep(0.05)
            self.assertNotIn(id, self.site.came(), (path, method))
            self.site.front.hangups.watcher.start(self.site.front.hangups.collect)
            self.assertTrue(self.settled())

    def test_what_must_not_be_repeated_goes_on_and_is_not_sent_again(self):
        """Breaking it off would leave its end unknown to everybody."""
        self.site.script("held", "held")
        sock = self.site.connect()
        id = self.site.send(sock, "/u/1", "POST")
        self.assertTrue(self.runs_somewhere(id))
        sock.close()
        gevent.sleep(SOON_S)
        self.assertEqual((self.site.broken_off(), self.site.under_way()), ([], 1))
        for endpoint in self.site.endpoints:
            endpoint.let_go.set()
        self.assertTrue(self.settled())
        self.assertEqual(self.site.came(), [id])
        self.assertEqual([len(endpoint.pool.idle) for endpoint in self.site.held()].count(1), 1)
        self.assertTrue(self.blameless())

    def test_what_is_broken_off_tells_nothing_of_its_endpoint(self):
        """Nor of the usual time, nor does it use up a budget; the next client is served there."""
        self.site.script("late", "late")
        work = dict(self.site.forwarder.endpoint_client.usual_work_ns)
        for _ in range(2):
            sock = self.site.connect()
            id = self.site.send(sock)
            self.assertTrue(self.runs_somewhere(id))
            sock.close()
            self.assertTrue(self.settled())
        self.assertTrue(self.blameless())
        self.assertEqual(self.site.forwarder.endpoint_client.usual_work_ns, work)
        self.assertEqual(sum(self.site.forwarder.budget("desk").retries), 0)
        self.assertEqual(len(self.site.broken_off()), 2)
        for endpoint in self.site.endpoints:
            endpoint.script.clear()
        sock = self.site.connect()
        self.site.send(sock)
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200"))

    def test_the_slower_of_two_tries_ends_soon_after_the_answer(self):
        self.site.script("late")
        self.site.endpoints[0].script.append(
            "answer"
        )  # whichever is asked first is silent, the other answers
        self.site.endpoints[1].script.append("answer")
        sock = self.site.connect()
        id = self.site.send(sock)
        self.assertTrue(self.runs_somewhere(id))
        for endpoint in self.site.endpoints:
            endpoint.script.clear()
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200"))
        self.assertEqual(self.site.came(), [id, id])
        self.assertEqual(self.site.broken_off(), [])
        gevent.sleep(LOSER_GRACE_S + 0.1)
        self.assertEqual(self.site.broken_off(), [id])
        self.assertTrue(self.blameless())

    def test_a_proxy_that_leaves_does_not_wait_for_clients_that_left(self):
        self.site.script("late", "late")
        sock = self.site.connect()
        self.assertTrue(self.runs_somewhere(self.site.send(sock)))
        self.site.front.draining = True
        gevent.sleep(0.02)
        self.assertTrue(self.site.front.handlers)
        sock.close()
        self.assertTrue(self.settled())

    def test_a_client_whose_machine_vanishes_is_noticed_by_probes(self):
        sock = self.site.connect()
        self.assertTrue(until(lambda: self.site.front.handlers))
        (handler,) = self.site.front.handlers
        self.assertTrue(handler.socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        idle = handler.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        interval = handler.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        probes = handler.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        self.assertLessEqual(idle + interval * probes, 5)
        sock.close()


class Waits(Case):
    """What a request waits for before it goes out: nothing goes out once its client has left."""

    mbps = 8.0

    def leaves_while_waiting(self, path: str, method: str = "GET") -> str:
        sock = self.site.connect()
        id = self.site.send(sock, path, method)
        gevent.sleep(0.03)
        self.assertEqual(self.site.came(), [])
        sock.close()
        gevent.sleep(0.02)
        return id

    def test_for_its_turn_among_large_answers(self):
        admission = self.site.forwarder.link_admission
        admission.in_flight_bytes = held = 1 << 40
        self.leaves_while_waiting("/d/1")
        self.assertTrue(self.settled())
        self.assertEqual((len(admission.queue), admission.in_flight_bytes), (0, held))
        admission.leave(held)
        gevent.sleep(0.05)
        self.assertEqual((self.site.came(), admission.in_flight_bytes), ([], 0))

    def test_for_a_connection(self):
        for endpoint in self.site.held():
            endpoint.pool.connect = slowly(endpoint.pool.connect)
        for path, method in (("/s/1", "GET"), ("/u/1", "POST")):
            self.leaves_while_waiting(path, method)
            self.assertTrue(self.settled())
        gevent.sleep(0.1)
        self.assertEqual(self.site.came(), [])
        self.assertTrue(self.blameless())

    def test_for_an_endpoint_that_is_asked_whether_it_is_there(self):
        """The question goes on, as others wait for its answer too."""
        self.site.confirmed = lambda: time.monotonic_ns() - 601_000_000_000
        for endpoint in self.site.endpoints:
            endpoint.holds_health = True
        gone = self.leaves_while_waiting("/s/1")
        sock = self.site.connect()
        id = self.site.send(sock, "/u/1", "POST")
        gevent.sleep(0.02)
        for endpoint in self.site.endpoints:
            endpoint.let_go.set()
        self.assertTrue(self.runs_somewhere(id))
        self.assertNotIn(gone, self.site.came())
        self.assertTrue(sock.recv(65536).startswith(b"HTTP/1.1 200"))

    def test_for_keys_between_two_holders(self):
        self.leaves_while_waiting("/k/1")
        fields = {"line": "lot", "addr": self.site.endpoints[0].addr, "zone": "n", "berths": 4}
        self.site.updates.offer("hut/e0", [1, 1], {**fields, "state": "ready", "cold": 0})
        self.site.updates.offer("bunks/lot", [1, 1], [[0, 65535, "e0", "held"]])
        gevent.sleep(0.1)
        self.assertEqual(self.site.came(), [])


def slowly(connect):
    """Connections that come up, but late."""

    def slow(timeout):
        gevent.sleep(0.15)
        return connect(timeout)

    return slow


if __name__ == "__main__":
    unittest.main()
