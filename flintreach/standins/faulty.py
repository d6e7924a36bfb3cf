"""A program of the system with partitions under its connections: `python -m flintreach.standins.faulty ROLE`.

The variable FLINTREACH_CUTS names a file with one pair of addresses (ip) a line.  While a pair stands there,
the connections that one of them has dialled to the other are silent: what is written waits, what arrives
waits, and new connections do not come up.  When the pair is gone all of it goes on, as after a partition that
heals.
"""

import os
import signal
import sys
from typing import Any

import gevent
from gevent import socket

from flintreach.transport import runtime
from flintreach.transport.peer_connection import PeerConnection

PARTITIONS_VARIABLE = "FLINTREACH_CUTS"
POLL_S = 0.02


class Partitions:
    """The pairs in the file; it is read again when it has changed.

    Attributes:
        path: the file.
        own_ip: of this process.
        isolated_ips: peers from which this process is cut off.
    """

    def __init__(self, path: str, own_ip: str) -> None:
        self.path = path
        self.own_ip = own_ip
        self.file_seen: tuple[int, int] | None = None  # time of change and inode of what was read
        self.isolated_ips: frozenset[str] = frozenset()

    def isolates(self, peer_ip: str) -> bool:
        """Whether this process is cut off from a peer now; it is not while there is no file."""
        try:
            status = os.stat(self.path)
        except OSError:
            return False
        file_now = (status.st_mtime_ns, status.st_ino)
        if file_now != self.file_seen:
            self.file_seen = file_now
            self.isolated_ips = self.read()
        return peer_ip in self.isolated_ips

    def read(self) -> frozenset[str]:
        """Read the file for the peers that stand in a pair with this process."""
        with open(self.path, encoding="ascii") as file:
            pairs = [line.split() for line in file]
        own_pairs = [pair for pair in pairs if self.own_ip in pair]
        return frozenset(ip for pair in own_pairs for ip in pair if ip != self.own_ip)

    def wait_until_healed(self, peer_ip: str) -> None:
        """Return when this process is not cut off from a peer."""
        while self.isolates(peer_ip):
            gevent.sleep(POLL_S)


class PartitionedSocket:
    """A socket to a peer from which this process may be cut off; what a `PeerConnection` uses of one."""

    def __init__(self, sock: socket.socket, peer_ip: str, partitions: Partitions) -> None:
        self.sock = sock
        self.peer_ip = peer_ip
        self.partitions = partitions

    def recv(self, size: int) -> bytes:
        """Receive; what arrives in a partition is given out when it heals."""
        data = self.sock.recv(size)
        self.partitions.wait_until_healed(self.peer_ip)
        return data

    def sendall(self, data: bytes) -> None:
        """Send, when no partition is in force."""
        self.partitions.wait_until_healed(self.peer_ip)
        self.sock.sendall(data)

    def close(self) -> None:
        """Close the socket at once, also in a partition."""
        self.sock.close()


def install(partitions: Partitions) -> None:
    """Put partitions under each connection that this process dials."""
    dial = runtime.dial

    def dial_partitioned(
        address: tuple[str, int], handlers: Any, timeout: float = 1.0, **options: Any
    ) -> PeerConnection:
        """Dial as `peer_connection.dial` does; in a partition, time out as it would."""
        peer_ip = address[0]
        if partitions.isolates(peer_ip):
            gevent.sleep(timeout)
            raise TimeoutError("partition")
        connection = dial(address, handlers, timeout, **options)
        # Before its greenlets have run: none of them may use the bare socket.
        connection.sock = PartitionedSocket(connection.sock, peer_ip, partitions)
        return connection

    runtime.dial = dial_partitioned


def main() -> None:
    """Run the program that the command line names."""
    # As `run_program` does, which comes later here: a signal ahead of it must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from flintreach.__main__ import PROGRAMS, run_program
    from flintreach.config import settings

    install(Partitions(os.environ[PARTITIONS_VARIABLE], settings.load().identity.ip))
    run_program(PROGRAMS[sys.argv[1]])


if __name__ == "__main__":
    main()
