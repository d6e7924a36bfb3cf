"""Real processes with many long messages at once stay within `memory_mb` of their settings (issue 64)."""

import json
import os
import socket
import time
import unittest
from functools import partial

import gevent
from geventhttpclient import HTTPClient

from flintreach.controller.http_api import MAX_CONFIGURATION_BYTES
from flintreach.demo.cluster import (
    CONTROLLER_ROLE,
    PROXY_ROLE,
    PUT_PATH,
    DemoCluster,
    Machine,
    ProxyResponse,
)
from flintreach.demo.configuration import CONFIGURATION, HOST, PLAIN_SERVICE
from flintreach.standins.endpoint import post_acknowledged
from tests.demo.test_cluster import WAIT_BOUND_S, free_port

MB = 1 << 20
MEMORY_MB = 300  # of a machine in the smallest deployment
PATIENT = {"X-Time-Left-Ms": "20000"}
CALL_TIMEOUT_S = 10.0
CONFIGURATION_OVERHEAD_BYTES = 16 << 10  # more than the demo's configuration has


class MemoryLimit(unittest.TestCase):
    def setUp(self) -> None:
        base = f"127.{130 + os.getpid() % 80}.{os.getpid() // 80 % 250}"
        self.cluster = DemoCluster(base, free_port(base), controllers=1, proxies=1, memory_mb=MEMORY_MB)
        self.addCleanup(self.cluster.stop)
        self.deadline = time.monotonic() + WAIT_BOUND_S
        self.cluster.start()
        self.controller = self.cluster.with_role(CONTROLLER_ROLE)[0]
        self.proxy = self.cluster.with_role(PROXY_ROLE)[0]
        self.assertTrue(self.cluster.put_configuration(CONFIGURATION, self.deadline))

    def serve(self, padding_bytes: int = 0) -> None:
        """Start an endpoint, and wait until the proxy serves."""
        self.cluster.add_endpoint(
            PLAIN_SERVICE, 0, "north-a", capacity=200, queue_limit=200, padding_bytes=padding_bytes
        )
        self.assertTrue(self.cluster.wait_for(self.is_served, self.deadline))

    def is_served(self) -> bool:
        response = self.cluster.send_request(self.proxy, "/look/1")
        return response is not None and response.status == 200

    def send_at_once(self, count: int, target: str, **options: object) -> list[ProxyResponse | None]:
        """The responses to some requests that are sent at the same moment."""
        send = partial(self.cluster.send_request, self.proxy, target, headers=PATIENT, **options)
        clients = [gevent.spawn(send) for _ in range(count)]
        return [client.get() for client in clients]

    def assert_within_limit(self, machine: Machine) -> None:
        self.assertTrue(machine.is_running())
        self.assertLess(machine.peak_memory_mb(), MEMORY_MB)

    def test_long_requests(self) -> None:
        """Guards against three requests with bodies of 60 MB that took a proxy over its limit."""
        self.serve()
        responses = self.send_at_once(6, "/file/1", method="POST", body=bytes(60 * MB))
        self.assert_within_limit(self.proxy)
        self.assertEqual({response and response.status for response in responses} - {200, 503}, set())
        rejected = [response for response in responses if response.status == 503]
        self.assertTrue(all(response.headers.get("retry-after") for response in rejected))
        self.assertLess(len(rejected), len(responses))
        self.assertTrue(self.is_served())

    def test_clients_that_stay_connected_after_long_requests(self) -> None:
        """Guards against a connection that kept its last request while it waited for the next one."""
        self.serve()
        ip, port = self.proxy.listen_addresses["front"].split(":")
        for _ in range(6):
            client = HTTPClient(ip, int(port), network_timeout=CALL_TIMEOUT_S)
            self.addCleanup(client.close)
            response = client.post("/file/1", bytes(60 * MB), {"Host": HOST, "X-Try-Id": os.urandom(8).hex()})
            response.read()
            self.assertEqual(response.status_code, 200)
        self.assert_within_limit(self.proxy)

    def test_long_responses(self) -> None:
        self.serve(padding_bytes=20 * MB)
        responses = self.send_at_once(20, "/look/1")
        self.assert_within_limit(self.proxy)
        self.assertIn(200, {response and response.status for response in responses})
        self.assertTrue(self.is_served())

    def test_long_responses_to_clients_that_do_not_read_them(self) -> None:
        self.serve(padding_bytes=5 * MB)
        address = self.proxy.listen_addresses["front"].split(":")
        for number in range(60):
            client = socket.create_connection((address[0], int(address[1])))
            self.addCleanup(client.close)
            head = f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Try-Id: {number}\r\n\r\n"
            client.sendall(head.encode())
        gevent.sleep(3)
        self.assert_within_limit(self.proxy)

    def test_long_configurations(self) -> None:
        note = "y" * (MAX_CONFIGURATION_BYTES - CONFIGURATION_OVERHEAD_BYTES)
        bodies = [
            json.dumps({**CONFIGURATION, "edition": f"{number:08x}", "note": note}).encode()
            for number in range(2, 42)
        ]
        ip, port = self.cluster.control_addresses()[0]
        put = partial(post_acknowledged, ip, port, PUT_PATH, timeout=CALL_TIMEOUT_S)
        clients = [gevent.spawn(put, body) for body in bodies]
        acknowledged = [client.get() for client in clients]
        self.assertTrue(any(acknowledged))
        readers = [gevent.spawn(self.read_configuration, ip, port) for _ in range(len(bodies))]
        self.assertIn(200, {reader.get() for reader in readers})
        self.assert_within_limit(self.controller)
        self.assert_within_limit(self.proxy)
        self.assertTrue(put(json.dumps({**CONFIGURATION, "edition": f"{100:08x}"}).encode()))

    def read_configuration(self, ip: str, port: int) -> int:
        client = HTTPClient(ip, port, network_timeout=CALL_TIMEOUT_S)
        try:
            response = client.get("/v1/timetable/get")
            response.read()
            return response.status_code
        finally:
            client.close()


if __name__ == "__main__":
    unittest.main()
