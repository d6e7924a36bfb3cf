"""A proxy that drains on SIGTERM answers the requests that it has read (issue 57, LOST).

A whole `Proxy` without its connections to controllers, and two scripted endpoints, over sockets.
"""

import time
import unittest
from http.client import HTTPMessage, parse_headers
from typing import NamedTuple
from unittest import mock

import gevent
import msgspec
from gevent import socket
from gevent.event import Event

from flintreach.config.settings import ProcessSettings
from flintreach.proxy import forwarding
from flintreach.proxy.client_listener import ClientHandler
from flintreach.proxy.connection import Connection, ConnectionPool
from flintreach.proxy.metrics import DRAIN_TIMEOUTS
from flintreach.proxy.program import Proxy
from flintreach.proxy.request import RETRY_AFTER_S
from flintreach.standins.adversary import Adversary
from tests.proxy.test_hangups import ROUTES, becomes_true

GRACE_S = 5.0

# Only in the last sixth of the grace time may a request that its endpoint works on be cut off.
MIN_WAIT_S = GRACE_S * 5 / 6

# After the drain, responses are in the client's socket already.
RESPONSE_SENT_S = 0.2

# Requests that a client sends on one connection before the first response.
PIPELINED = 3

# Far beyond the grace time.
DEADLINE_MS = 60_000


def process_settings(link_mbps: float) -> ProcessSettings:
    """Settings of a proxy that listens on free ports; endpoints stay leased without updates."""
    content = {
        "sender": {
            "node_name": "p",
            "ip": "127.0.0.1",
            "zone": "n",
            "region": "r",
            "limits": {"link_mbps": link_mbps},
        },
        "network": {
            "posts": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"},
            "spare_ports": [-1, 0],  # the proxy binds to the second one: any free port
            "zones": {"n": "r"},
        },
        "tariffs": {"timetable": {"grace_s": GRACE_S, "last_call_ms": 600_000, "retry_slack": 1000}},
    }
    return msgspec.convert(content, ProcessSettings)


def configuration() -> bytes:
    """An encoded configuration with one route for each entry of `ROUTES`."""
    rules = [
        {
            "name": name,
            "kind": kind,
            "target_ms": 400,
            "sorting": {"postcode": f"/{name}/"},
            "dispatch": {"line": service, "deadline_ms": DEADLINE_MS, "tries": 2},
        }
        for name, (kind, service) in ROUTES.items()
    ]
    return msgspec.json.encode(
        {
            "edition": "00000001",
            "wickets": [{"destination": "a", "regulations": rules}],
            "depots": [{"name": "desk"}, {"name": "lot", "sharded": True}],
        }
    )


class Response(NamedTuple):
    """Status and headers of a response whose body was received completely."""

    status: int
    headers: HTTPMessage


class Client:
    """A client's connection to the proxy, on which requests may be pipelined."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.sock = socket.create_connection(address, timeout=GRACE_S + 5)
        self.reader = self.sock.makefile("rb")

    def close(self) -> None:
        """Close the connection."""
        self.reader.close()
        self.sock.close()

    def send(self, id: str, method: str, path: str) -> None:
        """Send one request."""
        lines = (f"{method} {path} HTTP/1.1", "Host: a", f"X-Try-Id: {id}", "X-Shard-Key: 7", "", "")
        self.sock.sendall("\r\n".join(lines).encode())

    def receive(self, method: str = "GET") -> Response | None:
        """Receive one complete response; None if the connection ends without one."""
        try:
            status_line = self.reader.readline().split()
            if not status_line:
                return None
            headers = parse_headers(self.reader)
            size = 0 if method == "HEAD" else int(headers["content-length"])
            if len(self.reader.read(size)) < size:
                return None
        except OSError:
            return None
        return Response(int(status_line[1]), headers)


class DrainCase(unittest.TestCase):
    """Base of test cases with a proxy that takes clients; `link_mbps` is the bandwidth of its link."""

    link_mbps = 0.0

    def setUp(self) -> None:
        self.endpoints = [Adversary("e0"), Adversary("e1")]
        self.proxy = Proxy(process_settings(self.link_mbps))
        self.proxy.relay.fresh_at = time.monotonic()
        self.proxy.updates.offer("timetable", 1, configuration())
        for endpoint in self.endpoints:
            self.addCleanup(endpoint.stop)
            fields = {"line": "desk", "addr": endpoint.addr, "zone": "n", "berths": 4}
            self.proxy.updates.offer(f"hut/{endpoint.id}", [1, 0], {**fields, "state": "ready", "cold": 0})
        self.listener = self.proxy.client_listener
        self.listener.start()
        self.addCleanup(self.proxy.failure_detector.sock.close)
        self.addCleanup(self.listener.stop, timeout=0)
        self.proxy.is_ready = True

    def connect(self) -> Client:
        """Open a client's connection to the proxy."""
        client = Client(self.listener.address)
        self.addCleanup(client.close)
        return client

    def script(self, *acts: str) -> None:
        """Append acts to the script of each endpoint."""
        for endpoint in self.endpoints:
            endpoint.script.extend(acts)

    def arrived(self) -> list[str]:
        """Ids of all requests that arrived at an endpoint."""
        return [request.id for endpoint in self.endpoints for request in endpoint.requests]

    def arrives(self, id: str) -> bool:
        """Whether a request arrives at an endpoint."""
        return becomes_true(lambda: id in self.arrived())

    def drain(self) -> float:
        """Drain the proxy as on SIGTERM; return how long that took, in seconds."""
        began_at = time.monotonic()
        self.assertEqual(self.proxy.drain(), 0)
        return time.monotonic() - began_at


class SilentEndpoints(DrainCase):
    def test_a_request_to_a_silent_endpoint_is_answered_before_the_proxy_exits(self) -> None:
        """Guards against an exit that closes the connections of pending requests without a response."""
        self.script(*["held"] * 5)
        methods = {"unsafe": "POST", "safe": "GET", "head": "HEAD"}
        clients = {id: self.connect() for id in methods}
        for id, client in clients.items():
            client.send(id, methods[id], "/u/1" if id == "unsafe" else "/s/1")
            self.assertTrue(self.arrives(id))
        took_s = self.drain()
        self.assertGreater(took_s, MIN_WAIT_S)
        self.assertLess(took_s, GRACE_S)
        for id, client in clients.items():
            client.sock.settimeout(RESPONSE_SENT_S)
            response = client.receive(methods[id])
            self.assertIsNotNone(response, f"the {id} request was lost")
            # 503 would guarantee that the request has not run.
            self.assertEqual((response.status, response.headers["x-try-id"]), (504, id))
            self.assertEqual(response.headers["connection"], "close")
        self.assertEqual(self.proxy.metrics.counts[DRAIN_TIMEOUTS], 3)
        self.assertEqual(self.arrived().count("unsafe"), 1)


class WaitingRequests(DrainCase):
    link_mbps = 8.0

    def test_a_request_that_was_not_sent_is_answered_with_503_and_never_sent(self) -> None:
        """It waits for a connection or for admission to the link when the drain ends."""
        connecting = Event()

        def connect_late(pool: ConnectionPool, timeout_s: float) -> Connection:
            connecting.wait()
            return connect(pool, timeout_s)

        connect = ConnectionPool.connect
        self.proxy.forwarder.link_admission.in_flight_bytes = 1 << 40
        with (
            mock.patch.object(ConnectionPool, "connect", connect_late),
            mock.patch.object(forwarding, "MAX_WAIT_FRACTION", 100),
        ):
            clients = {path: self.connect() for path in ("/u/1", "/d/1")}
            for path, client in clients.items():
                client.send(path, "GET", path)
            self.drain()
            connecting.set()
            gevent.sleep(0.05)
        self.assertEqual(self.arrived(), [])
        for path, client in clients.items():
            client.sock.settimeout(RESPONSE_SENT_S)
            response = client.receive()
            self.assertIsNotNone(response, f"the request for {path} was lost")
            self.assertEqual((response.status, response.headers["retry-after"]), (503, RETRY_AFTER_S))

    def test_a_request_read_after_the_end_of_the_drain_is_answered_with_503(self) -> None:
        client = self.connect()
        self.proxy.forwarder.in_flight.cancel_all()
        client.send("late", "POST", "/u/1")
        self.assertEqual(client.receive().status, 503)
        self.assertEqual(self.arrived(), [])


class AnsweredRequests(DrainCase):
    def test_a_response_that_arrives_while_the_drain_ends_is_forwarded_whole(self) -> None:
        """Guards against a cancellation in the middle of writing a response."""
        self.script("held", "held")
        client = self.connect()
        client.send("0", "POST", "/u/1")
        self.assertTrue(self.arrives("0"))

        send_response = ClientHandler.send_response

        def cancel_and_send(handler: ClientHandler, *arguments: object) -> None:
            self.proxy.forwarder.in_flight.cancel_all()
            gevent.sleep(0.01)
            send_response(handler, *arguments)

        with mock.patch.object(ClientHandler, "send_response", cancel_and_send):
            for endpoint in self.endpoints:
                endpoint.released.set()
            self.assertEqual(client.receive().status, 200)


class PipelinedRequests(DrainCase):
    def setUp(self) -> None:
        super().setUp()
        # Forwarded in parallel, and all held until a test releases them.
        self.script(*["held"] * 2 * PIPELINED)
        self.client = self.connect()
        self.ids = [f"{number}" for number in range(PIPELINED)]
        for id in self.ids:
            self.client.send(id, "GET", "/s/1")
            self.assertTrue(self.arrives(id))

    def check_responses(self, status: int) -> None:
        """Check that each request gets a response in order, and that the last one closes the connection."""
        responses = [self.client.receive() for _ in self.ids]
        self.assertNotIn(None, responses, "a request that was forwarded was lost")
        self.assertEqual([response.headers["x-try-id"] for response in responses], self.ids)
        self.assertEqual({response.status for response in responses}, {status})
        closing = [response.headers["connection"] for response in responses]
        self.assertEqual(closing, [None] * (PIPELINED - 1) + ["close"])
        self.assertEqual(self.client.reader.read(), b"")

    def release(self) -> None:
        """Let the endpoints respond."""
        for endpoint in self.endpoints:
            endpoint.released.set()

    def test_all_forwarded_requests_of_a_connection_are_answered_while_draining(self) -> None:
        """Guards against a drain that closes a connection after the first of its pipelined responses."""
        gevent.spawn_later(0.1, self.release)
        drain = gevent.spawn(self.drain)
        self.check_responses(200)
        self.client.close()
        self.assertLess(drain.get(), MIN_WAIT_S)

    def test_all_forwarded_requests_of_a_connection_are_answered_when_the_drain_ends(self) -> None:
        drain = gevent.spawn(self.drain)
        self.check_responses(504)
        self.client.close()
        self.assertLess(drain.get(), GRACE_S)

    def test_a_request_that_is_read_behind_others_while_draining_is_not_forwarded(self) -> None:
        """Its client sends it again: it stands behind a response that closes the connection."""
        drain = gevent.spawn(self.drain)
        gevent.sleep(0.05)
        self.client.send("behind", "GET", "/s/1")
        gevent.sleep(0.05)
        self.release()
        self.check_responses(200)
        self.client.close()
        drain.get()
        self.assertNotIn("behind", self.arrived())


if __name__ == "__main__":
    unittest.main()
