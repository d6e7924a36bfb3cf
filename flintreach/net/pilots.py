"""Datagrams between the pilots of a cluster."""

import asyncio

from flintreach.net.http import parse_address
from flintreach.pilot import interface


class PeerMessenger(asyncio.DatagramProtocol):
    """Sends datagrams to the other pilots and takes theirs.

    Args:
        service: takes what comes as events.
        peers: addresses of all pilots, by their numbers.
        broadcast: address that reaches all of them, if there is one.
    """

    def __init__(self, service, peers: list[str], broadcast: str | None) -> None:
        self.service = service
        self.transport = None
        self.peers = [parse_address(peer) for peer in peers]
        self.broadcast = parse_address(broadcast) if broadcast else None

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def error_received(self, error: Exception) -> None:
        """Count a datagram that the system did not send."""
        self.service.count_warning("datagram not sent")

    def datagram_received(self, data: bytes, source: tuple) -> None:
        """Take a datagram of a known pilot, within the limit on its size."""
        if source[:2] not in self.peers or len(data) > self.service.limits.max_datagram_bytes:
            self.service.count_warning("datagram refused")
            return
        self.service.enqueue(interface.PilotMessage(self.peers.index(source[:2]), data))

    def send(self, pilot: int | None, data: bytes) -> None:
        """Send a datagram to a pilot, or to all where none is given."""
        target = self.broadcast if pilot is None else self.peers[pilot]
        # One over the limit makes more than itself void; without an address the order can't be executed.
        if self.transport is None or target is None or len(data) > self.service.limits.max_datagram_bytes:
            self.service.count_warning("datagram not sent")
            return
        self.transport.sendto(data, target)
