"""One exchange with an endpoint."""

import time
import unittest
from unittest import mock

import gevent.socket

from flintreach.proxy.connection import Connection, ConnectionPool
from flintreach.proxy.exchange import NS_PER_S, ExchangeOptions, exchange
from flintreach.proxy.outcome import OutcomeKind


class Exchanges(unittest.TestCase):
    def test_a_connection_that_is_reset_at_once_has_sent_nothing(self) -> None:
        """An endpoint with as many connections as it takes resets the next: the request may go elsewhere."""
        proxy_side, endpoint_side = gevent.socket.socketpair()
        endpoint_side.close()
        pool = ConnectionPool("10.0.0.1:80")
        terms = ExchangeOptions(time.monotonic_ns() + 9 * NS_PER_S, 1.0)
        with mock.patch.object(pool, "connect", lambda timeout: Connection(proxy_side)):
            outcome = exchange(pool, b"POST / HTTP/1.1", b"", "i", terms)
        self.assertEqual(
            (outcome.kind, outcome.at_connection_limit, outcome.unreachable),
            (OutcomeKind.UNSENT, True, False),
        )


if __name__ == "__main__":
    unittest.main()
