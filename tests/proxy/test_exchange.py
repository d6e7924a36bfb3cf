"""Tests of `exchange`."""

import time
import unittest
from types import SimpleNamespace
from unittest import mock

import gevent
import gevent.socket

from flintreach.proxy.connection import Connection, ConnectionPool
from flintreach.proxy.exchange import NS_PER_S, Exchange, ExchangeOptions, exchange
from flintreach.proxy.outcome import OutcomeKind
from tests.proxy.test_request_parser import TURN_BYTES, FastSender


class Exchanges(unittest.TestCase):
    def test_a_new_connection_that_is_reset_at_once_leaves_the_request_unsent(self) -> None:
        """An endpoint at its connection limit resets new connections; the request may go to another one."""
        proxy_side, endpoint_side = gevent.socket.socketpair()
        endpoint_side.close()
        pool = ConnectionPool("10.0.0.1:80")
        options = ExchangeOptions(time.monotonic_ns() + 9 * NS_PER_S, 1.0)
        with mock.patch.object(pool, "connect", lambda timeout: Connection(proxy_side)):
            outcome = exchange(pool, b"POST / HTTP/1.1", b"", "i", options)
        self.assertEqual(
            (outcome.kind, outcome.at_connection_limit, outcome.unreachable),
            (OutcomeKind.UNSENT, True, False),
        )

    def test_a_response_that_arrives_as_fast_as_it_is_read_lets_other_tasks_run(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Try-Id: i\r\nX-Postmark: e\r\nTransfer-Encoding: chunked\r\n\r\n"
        sender = FastSender(head + (b"20\r\n" + bytes(32) + b"\r\n") * 100_000 + b"0\r\n\r\n")
        sender.send = len
        options = ExchangeOptions(time.monotonic_ns() + 9 * NS_PER_S, 1.0)
        response = Exchange(SimpleNamespace(sock=sender), b"GET / HTTP/1.1\r\n\r\n", b"", "i", options)
        positions: list[int] = []

        def run_beside() -> None:
            while sender.position < len(sender.data):
                positions.append(sender.position)
                gevent.sleep(0)

        gevent.spawn(run_beside)
        self.assertEqual(response.run().kind, OutcomeKind.ANSWERED)
        self.assertGreater(len(positions), len(sender.data) // TURN_BYTES)


if __name__ == "__main__":
    unittest.main()
