"""Discovery: it holds each watch until there is something newer."""

import socket
import threading

from flintreach.standins.peer import Peer
from flintreach.standins.platform import endpoint_list


class Discovery:
    """It holds each watch until there is something newer, on any number of connections."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.newer, self.list, self.silent = threading.Condition(), endpoint_list(), False
        self.chunk_size, self.paths = None, []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                peer = Peer(self.listener.accept()[0])
            except OSError:
                return
            threading.Thread(target=self.serve, args=(peer,), daemon=True).start()

    def serve(self, peer):
        try:
            while True:
                peer.request()
                after = int(peer.path.partition("after=")[2].partition("&")[0] or -1)
                with self.newer:
                    self.paths.append(peer.path)
                    self.newer.notify_all()
                    self.newer.wait_for(
                        lambda after=after: self.list["index"] != after and not self.silent, 30
                    )
                    answer = self.list
                peer.answer(answer, chunk_size=self.chunk_size)
        except (OSError, EOFError):
            peer.sock.close()

    def publish(self, answer=None, silent=False):
        with self.newer:
            self.list, self.silent = answer or self.list, silent
            self.newer.notify_all()

    def wait_for_request(self, path):
        with self.newer:
            assert self.newer.wait_for(lambda: any(path in told for told in self.paths), 30), self.paths
            self.paths.clear()
