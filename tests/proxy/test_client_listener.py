"""Tests of `ClientHandler`."""

import unittest
from types import SimpleNamespace

from flintreach.proxy.client_listener import ClientHandler


class SilentSocket:
    """A socket that never has data to read."""

    def recv(self, *_: int) -> bytes:
        raise BlockingIOError


class ClientHandlers(unittest.TestCase):
    def test_a_connection_with_a_pending_request_is_not_idle(self) -> None:
        """Guards against a draining proxy that closes a connection while its request is in progress."""
        handler = ClientHandler(SimpleNamespace(_sock=SilentSocket()), None, None)
        self.assertTrue(handler.is_idle())
        handler.pending = 1
        self.assertFalse(handler.is_idle())


if __name__ == "__main__":
    unittest.main()
