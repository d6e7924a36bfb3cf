"""The requests that the register sends."""

import unittest
from collections.abc import Callable
from typing import Any

from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.register import Register
from flintreach.transport.runtime import Runtime

LOCAL: Address = ("10.0.0.1", 7)
REMOTE: Address = ("10.0.0.2", 7)
EMPTY_SLOT = [[0, ""], [0, ""], None]


class AnsweringPeerPool:
    """Peers that promise and accept; a newer disk is recorded between the two phases."""

    address = LOCAL

    def __init__(self) -> None:
        self.handlers: dict[str, Callable] = {}
        self.runtime = Runtime()
        self.register: Register | None = None
        self.accepts_sent: list[str] = []  # incarnations in the accept requests

    def gather(
        self, group: list[Address], kind: str, body: Any, enough: Callable, timeout: float, ask: Callable
    ) -> bool:
        """Return the answers of all peers at once."""
        if kind == "prepare":
            return enough([(address, ["promise", EMPTY_SLOT, "old"]) for address in group])
        # A concurrent change records newer disks in the meantime.
        self.register.incarnations |= dict.fromkeys(self.register.incarnations, "new")
        self.accepts_sent.extend(body(address).incarnation for address in group)
        return enough([(address, ["accepted", EMPTY_SLOT, "old"]) for address in group])


class TestChange(unittest.TestCase):
    def test_an_accept_carries_the_incarnation_that_promised_even_if_a_newer_disk_is_known(self) -> None:
        peer_pool = AnsweringPeerPool()
        register = Register(peer_pool, Voters(1, ((LOCAL, ""), (REMOTE, ""))), None)
        peer_pool.register = register
        self.assertEqual(register.change("k", lambda value: (value or b"") + b"x"), (True, b"x"))
        self.assertEqual(peer_pool.accepts_sent, ["old", "old"])


if __name__ == "__main__":
    unittest.main()
