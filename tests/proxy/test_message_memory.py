"""Tests of the bounds on the memory of requests and responses."""

import unittest

import gevent
from gevent import socket
from gevent.event import Event

from flintreach.common.memory_budget import MemoryBudget, Reservation
from flintreach.config.configuration import RequestLimits
from flintreach.proxy.client_listener import ClientListener
from flintreach.proxy.message_memory import NO_LIMIT, MessageMemory, message_memory
from flintreach.proxy.metrics import NO_MEMORY, Metrics
from flintreach.proxy.request import ClientResponse, Request

SHORT_WAIT_S = 0.02
LONG_BODY_BYTES = 200_000


class Limits(unittest.TestCase):
    def test_no_limit(self) -> None:
        budgets = message_memory(NO_LIMIT)
        reservations = [Reservation(budgets.request_bodies) for _ in range(3)]
        self.assertTrue(all(reservation.grow_to(1 << 40, 0) for reservation in reservations))


class StoppedForwarder:
    """Holds every request until `go_on` is set; `memory` has room for one long body and three requests."""

    def __init__(self) -> None:
        self.memory = MessageMemory(MemoryBudget(80_000), MemoryBudget(300_000), MemoryBudget())
        self.metrics = Metrics()
        self.received: list[Request] = []
        self.go_on = Event()

    def may_pipeline(self, request: Request) -> bool:
        return False

    def forward(self, request: Request) -> ClientResponse:
        self.received.append(request)
        self.go_on.wait()
        return ClientResponse(200, "OK", [], b"ok")


class WaitingRequests(unittest.TestCase):
    def setUp(self) -> None:
        self.forwarder = StoppedForwarder()
        self.listener = ClientListener(("127.0.0.1", 0), self.forwarder, RequestLimits)
        self.listener.start()
        self.addCleanup(self.listener.stop, 0)

    def send(self, body: bytes, *headers: str) -> gevent.Greenlet:
        """Send a request from a client of its own; the greenlet returns the response's bytes."""
        lines = ["POST /a HTTP/1.1", "Host: a", "Connection: close", f"Content-Length: {len(body)}"]
        head = "\r\n".join([*lines, *headers, "", ""]).encode()

        def run() -> bytes:
            with socket.create_connection(self.listener.address) as client:
                client.sendall(head + body)
                response = b""
                while data := client.recv(65536):
                    response += data
                return response

        client = gevent.spawn(run)
        gevent.sleep(SHORT_WAIT_S)
        return client

    def test_a_long_body_waits_for_another_one_and_is_answered(self) -> None:
        clients = [self.send(bytes(LONG_BODY_BYTES)) for _ in range(2)]
        self.assertEqual(len(self.forwarder.received), 1)
        self.forwarder.go_on.set()
        for client in clients:
            self.assertIn(b" 200 OK", client.get(timeout=2))
        memory = self.forwarder.memory
        self.assertTrue(gevent.with_timeout(1, self.wait_until_released, memory, timeout_value=False))

    def wait_until_released(self, memory: MessageMemory) -> bool:
        while memory.used_bytes():
            gevent.sleep(0.01)
        return True

    def test_a_long_body_is_rejected_after_half_of_the_clients_time(self) -> None:
        self.send(bytes(LONG_BODY_BYTES))
        response = self.send(bytes(LONG_BODY_BYTES), "X-Time-Left-Ms: 200").get(timeout=1)
        self.assertIn(b" 503 ", response)
        self.assertIn(b"Retry-After: ", response)
        self.assertEqual(len(self.forwarder.received), 1)
        self.assertEqual(self.forwarder.metrics.counts[NO_MEMORY], 1)

    def test_long_bodies_do_not_keep_short_requests_out(self) -> None:
        for _ in range(2):
            self.send(bytes(LONG_BODY_BYTES))
        self.send(b"short")
        self.assertEqual(self.forwarder.received[-1].body, b"short")

    def test_more_requests_than_there_is_memory_for(self) -> None:
        for _ in range(3):
            self.send(b"short")
        self.assertIn(b" 503 ", self.send(b"short", "X-Time-Left-Ms: 100").get(timeout=1))

    def test_a_connection_whose_request_is_being_read_is_not_idle(self) -> None:
        """Guards against a drain that closed the connection of a client amid its body."""
        self.forwarder.go_on.set()
        with socket.create_connection(self.listener.address) as client:
            client.sendall(b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345")
            gevent.sleep(SHORT_WAIT_S)
            self.assertEqual(self.listener.close_idle(), 0)
            client.sendall(b"67890")
            self.assertIn(b" 200 OK", client.recv(1000))
            self.assertEqual(self.listener.close_idle(), 1)

    def test_a_chunked_body_reserves_memory_as_it_arrives(self) -> None:
        with socket.create_connection(self.listener.address) as client:
            client.sendall(b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n")
            client.sendall(bytes(0x20000))
            gevent.sleep(SHORT_WAIT_S)
            self.assertGreaterEqual(self.forwarder.memory.request_bodies.used_bytes, 0x20000)
        gevent.sleep(SHORT_WAIT_S)
        self.assertEqual(self.forwarder.memory.used_bytes(), 0)


if __name__ == "__main__":
    unittest.main()
