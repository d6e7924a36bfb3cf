"""Tests of `exchange`."""

import time
import unittest
from unittest import mock

import gevent.socket

from flintreach.proxy.connection import Connection, ConnectionPool
from flintreach.proxy.exchange import NS_PER_S, ExchangeOptions, exchange
from flintreach.proxy.outcome import OutcomeKind


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


if __name__ == "__main__":
    unittest.main()
