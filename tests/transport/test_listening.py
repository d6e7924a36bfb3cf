"""Listening at addresses that other sockets hold for a while."""

import errno
import unittest
from unittest import mock

import gevent
from gevent import socket
from gevent.server import StreamServer

from flintreach.transport import listening
from flintreach.transport.listening import bind_when_available


class Listening(unittest.TestCase):
    def setUp(self) -> None:
        self.holder = socket.socket()
        self.addCleanup(self.holder.close)
        self.holder.bind(("127.46.1.1", 0))
        self.holder.listen()
        self.address = self.holder.getsockname()
        self.server = StreamServer(self.address, lambda sock, address: None)
        self.addCleanup(self.server.stop)

    def test_a_server_listens_once_its_address_is_free(self) -> None:
        starting = gevent.spawn(bind_when_available, self.server.start, self.address)
        gevent.sleep(0.15)
        self.assertFalse(starting.ready())
        self.holder.close()
        starting.get(timeout=2.0)
        socket.create_connection(self.address, timeout=1.0).close()

    def test_an_address_that_stays_in_use_is_an_error(self) -> None:
        with mock.patch.object(listening, "TIMEOUT_S", 0.0), self.assertRaises(OSError) as caught:
            bind_when_available(self.server.start, self.address)
        self.assertEqual(caught.exception.errno, errno.EADDRINUSE)

    def test_other_errors_are_not_waited_for(self) -> None:
        def fail() -> None:
            raise OSError(errno.EMFILE, "too many open files")

        with self.assertRaises(OSError) as caught:
            bind_when_available(fail, self.address)
        self.assertEqual(caught.exception.errno, errno.EMFILE)


if __name__ == "__main__":
    unittest.main()
