"""Datagrams to and from the other pilots of the tier."""

import asyncio

from flintreach.net.http import parse_address
from flintreach.pilot import interface


class PeerMessenger(asyncio.DatagramProtocol):
    def __init__(self, service, peers: list[str], everyone: str | None):
        self.service, self.transport = service, None
        self.peers = [parse_address(peer) for peer in peers]
        self.everyone = parse_address(everyone) if everyone else None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def error_received(self, error) -> None:
        self.service.count_warning("datagram not sent")

    def datagram_received(self, data: bytes, source) -> None:
        if source[:2] not in self.peers or len(data) > self.service.limits.max_datagram_bytes:
            return self.service.count_warning("datagram refused")
        self.service.enqueue(interface.PilotMessage(self.peers.index(source[:2]), data))

    def tell(self, pilot: int | None, data: bytes) -> None:
        to = self.everyone if pilot is None else self.peers[pilot]
        # A longer one voids more than itself; without a path the order can't be carried.
        if self.transport is None or to is None or len(data) > self.service.limits.max_datagram_bytes:
            return self.service.count_warning("datagram not sent")
        self.transport.sendto(data, to)
