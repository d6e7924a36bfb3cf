"""Peers for tests of the transport: scripted ones that misbehave, and pools that answer."""

import unittest

from flintreach.standins.scripted_peer import ScriptedPeer
from flintreach.transport.peer_connection import MessageHandler
from flintreach.transport.peer_pool import PeerPool


class WithPeers(unittest.TestCase):
    """Makes peers, and stops them behind each test."""

    def setUp(self) -> None:
        self.scripted_peers: list[ScriptedPeer] = []
        self.pools: list[PeerPool] = []

    def tearDown(self) -> None:
        for pool in self.pools:
            for link in pool.connections.values():
                link.close()
            pool.server.stop(timeout=0)
        for peer in self.scripted_peers:
            peer.stop()

    def scripted_peer(self, *script: str) -> ScriptedPeer:
        """Start a peer that does what the script says with the messages that come, in their order."""
        self.scripted_peers.append(ScriptedPeer(script))
        return self.scripted_peers[-1]

    def pool(self, **handlers: MessageHandler) -> PeerPool:
        """Start a pool with these handlers by kind."""
        pool = PeerPool(("127.0.0.1", 0))
        self.pools.append(pool)
        pool.handlers |= handlers
        pool.start()
        return pool
