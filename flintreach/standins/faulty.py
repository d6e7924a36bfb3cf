"""Runs a program of the system with simulated partitions: `python -m flintreach.standins.faulty ROLE`.

The environment variable FLINTREACH_CUTS names a file with one pair of IP addresses per line.  While a pair is
in the file, the connections that one of the two has dialled to the other are silent: writes block, received
data is held back, and new connections time out.  When the pair is removed they continue, as after a partition
that heals.
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
    """The partitions in the file, which is read again when it has changed.

    Attributes:
        path: path of the file.
        own_ip: IP address of this process.
        file_seen: time of change and inode of the file when it was last read.
        isolated_ips: IP addresses of the peers that this process cannot reach.
    """

    def __init__(self, path: str, own_ip: str) -> None:
        self.path = path
        self.own_ip = own_ip
        self.file_seen: tuple[int, int] | None = None
        self.isolated_ips: frozenset[str] = frozenset()

    def isolates(self, peer_ip: str) -> bool:
        """Whether a partition separates this process from a peer now; without a file there is none."""
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
        """Return the peers that the file pairs with this process."""
        with open(self.path, encoding="ascii") as file:
            pairs = [line.split() for line in file]
        own_pairs = [pair for pair in pairs if self.own_ip in pair]
        return frozenset(ip for pair in own_pairs for ip in pair if ip != self.own_ip)

    def wait_until_healed(self, peer_ip: str) -> None:
        """Wait until no partition separates this process from a peer."""
        while self.isolates(peer_ip):
            gevent.sleep(POLL_S)


class PartitionedSocket:
    """A socket whose peer may be behind a partition; has the methods that `PeerConnection` uses."""

    def __init__(self, sock: socket.socket, peer_ip: str, partitions: Partitions) -> None:
        self.sock = sock
        self.peer_ip = peer_ip
        self.partitions = partitions

    def recv(self, size: int) -> bytes:
        """Receive data; what arrives during a partition is returned when it heals."""
        data = self.sock.recv(size)
        self.partitions.wait_until_healed(self.peer_ip)
        return data

    def sendall(self, data: bytes) -> None:
        """Send data, once no partition is in force."""
        self.partitions.wait_until_healed(self.peer_ip)
        self.sock.sendall(data)

    def close(self) -> None:
        """Close the socket at once, even during a partition."""
        self.sock.close()


def install(partitions: Partitions) -> None:
    """Apply partitions to each connection that this process dials from now on."""
    dial = runtime.dial

    def dial_partitioned(
        address: tuple[str, int], handlers: Any, timeout: float = 1.0, **options: Any
    ) -> PeerConnection:
        """Dial as `peer_connection.dial` does; during a partition, time out as it would."""
        peer_ip = address[0]
        if partitions.isolates(peer_ip):
            gevent.sleep(timeout)
            raise TimeoutError("partition")
        connection = dial(address, handlers, timeout, **options)
        # Replaced before the greenlets of the connection run: none of them may use the plain socket.
        connection.sock = PartitionedSocket(connection.sock, peer_ip, partitions)
        return connection

    runtime.dial = dial_partitioned


def main() -> None:
    """Run the program that the command line names."""
    # `run_program` does the same, but only after the imports below.
    from flintreach.__main__ import PROGRAMS, run_program, stop_at_start

    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, stop_at_start)
    from flintreach.config import settings

    install(Partitions(os.environ[PARTITIONS_VARIABLE], settings.load().identity.ip))
    run_program(PROGRAMS[sys.argv[1]])


if __name__ == "__main__":
    main()
