"""Peers for transport tests: scripted peers that misbehave, and pools that respond."""

import unittest

from flintreach.standins.scripted_peer import ScriptedPeer
from flintreach.transport.peer_connection import MessageHandler
from flintreach.transport.peer_pool import PeerPool


class PeerTestCase(unittest.TestCase):
    """Base class that starts peers, and stops them after each test."""

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
        """Start a peer that applies the acts of the script to received messages in order."""
        self.scripted_peers.append(ScriptedPeer(script))
        return self.scripted_peers[-1]

    def pool(self, **handlers: MessageHandler) -> PeerPool:
        """Start a pool with handlers by kind of message."""
        pool = PeerPool(("127.0.0.1", 0))
        self.pools.append(pool)
        pool.handlers |= handlers
        pool.start()
        return pool
