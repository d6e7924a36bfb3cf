"""A program of the system with cuts at its links: `python -m flintreach.standins.faulty ROLE`.

The variable FLINTREACH_CUTS names a file with one pair of addresses (ip) a line.  While a pair stands there,
the links that one of them has dialled to the other say nothing: what is written waits, what arrives waits,
and new links do not come up.  When the pair is gone all of it goes on, as after a cut that heals.
"""

import os
import signal
import sys

import gevent

from flintreach.transport import runtime
from flintreach.transport.peer_connection import PeerConnection

VARIABLE = "FLINTREACH_CUTS"
LOOK_S = 0.02


class Cuts:
    """The pairs in force; the file is read again when it has changed."""

    def __init__(self, path: str, own: str):
        self.path, self.own, self.seen, self.peers = path, own, None, frozenset()

    def cut(self, peer: str) -> bool:
        try:
            stat = os.stat(self.path)
        except OSError:
            return False
        mark = stat.st_mtime_ns, stat.st_ino
        if mark != self.seen:
            self.seen = mark
            with open(self.path, encoding="ascii") as file:
                pairs = [line.split() for line in file]
            self.peers = frozenset(ip for pair in pairs if self.own in pair for ip in pair if ip != self.own)
        return peer in self.peers

    def wait(self, peer: str) -> None:
        while self.cut(peer):
            gevent.sleep(LOOK_S)


class Held:
    """A socket to a peer that may be cut off."""

    def __init__(self, sock, peer: str, cuts: Cuts):
        self.sock, self.peer, self.cuts = sock, peer, cuts

    def recv(self, size: int) -> bytes:
        data = self.sock.recv(size)
        self.cuts.wait(self.peer)
        return data

    def sendall(self, data: bytes) -> None:
        self.cuts.wait(self.peer)
        self.sock.sendall(data)

    def close(self) -> None:
        self.sock.close()


def install(cuts: Cuts) -> None:
    """Put the cuts under each link that this process dials."""
    dial = runtime.dial

    def dial_held(address, handlers, timeout=1.0, **more) -> PeerConnection:
        if cuts.cut(address[0]):
            gevent.sleep(timeout)
            raise TimeoutError("cut")
        link = dial(address, handlers, timeout, **more)
        link.sock = Held(link.sock, address[0], cuts)  # before its greenlets have run
        return link

    runtime.dial = dial_held


def main() -> None:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # as `run_program` does, which comes later here
    from flintreach.__main__ import PROGRAMS, run_program
    from flintreach.config import settings

    install(Cuts(os.environ[VARIABLE], settings.load().sender.ip))
    run_program(PROGRAMS[sys.argv[1]])


if __name__ == "__main__":
    main()
