"""A stand-in for the discovery service, which answers long polls."""

import socket
import threading

from flintreach.standins.peer import Peer
from flintreach.standins.platform import endpoint_list

TIMEOUT_S = 30


class Discovery:
    """A discovery service that holds each request until it has a newer list, on any number of connections.

    Attributes:
        listener: the listening socket.
        list: the endpoint list, as it is sent.
        silent: whether requests are left unanswered.
        chunk_size: bytes per write of an answer; all at once if it is None.
        paths: the paths requested since the last `wait_for_request`.
        changed: guards the list and the paths, and is notified when either changes.
    """

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.changed = threading.Condition()
        self.list = endpoint_list()
        self.silent = False
        self.chunk_size = None
        self.paths = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        """Serve each connection in a thread of its own, until the listener is closed."""
        while True:
            try:
                peer = Peer(self.listener.accept()[0])
            except OSError:
                return
            threading.Thread(target=self.serve, args=(peer,), daemon=True).start()

    def serve(self, peer):
        """Answer the requests of one connection until it ends.

        A request that is held for `TIMEOUT_S` is answered with the list as it is.
        """
        try:
            while True:
                peer.request()
                after = int(peer.path.partition("after=")[2].partition("&")[0] or -1)
                with self.changed:
                    self.paths.append(peer.path)
                    self.changed.notify_all()
                    self.changed.wait_for(
                        lambda after=after: self.list["index"] != after and not self.silent, TIMEOUT_S
                    )
                    answer = self.list
                peer.answer(answer, chunk_size=self.chunk_size)
        except (OSError, EOFError):
            peer.sock.close()

    def publish(self, answer=None, silent=False):
        """Replace the endpoint list, and answer the requests that wait for a newer one.

        Args:
            answer: the new list; the present one stays if it is not given.
            silent: leave requests unanswered from now on.
        """
        with self.changed:
            self.list = answer or self.list
            self.silent = silent
            self.changed.notify_all()

    def wait_for_request(self, path):
        """Wait for a request whose path contains a text, and forget the requests so far.

        Raises:
            AssertionError: there was none within `TIMEOUT_S`.
        """
        with self.changed:
            assert self.changed.wait_for(
                lambda: any(path in requested for requested in self.paths), TIMEOUT_S
            ), self.paths
            self.paths.clear()
