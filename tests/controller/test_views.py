"""Views of a controller for `flintreach show`."""

import unittest
from types import SimpleNamespace

from flintreach.config import settings
from flintreach.controller.control_plane import ControlPlane
from flintreach.controller.http_api import Refusal
from flintreach.controller.quorum_contact import NEVER
from flintreach.transport.peer_pool import PeerPool
from tests.controller.simulated_peers import OWN_ADDRESS, PEER_ADDRESSES, THREE_VOTERS, UncontendedLock


class Status(unittest.TestCase):
    def test_status_shows_the_contact_age_and_the_refusals(self) -> None:
        clock = [100.0]
        runtime = SimpleNamespace(
            now=lambda: clock[0],
            now_ns=lambda: int(clock[0] * 1e9),
            spawn=None,
            lock=UncontendedLock,
        )
        node = settings.parse(
            "sender: {node_name: n, ip: 10.0.0.0, zone: z, region: r}\n"
            "network: {posts: {}, spare_ports: [7, 8]}\n"
        )
        plane = ControlPlane(node, PeerPool(OWN_ADDRESS, runtime), None, None, list)
        self.assertEqual(plane.show("status")[0]["contact_s"], NEVER)
        plane.register.voters = THREE_VOTERS
        plane.serving = True
        for address, asked_at in zip([OWN_ADDRESS, *PEER_ADDRESSES], (99.0, 97.0, 90.0)):
            plane.quorum_contact.record_report(address, asked_at, {}, 100.0)
        for reason in (Refusal.NO_QUORUM_CONTACT, Refusal.SUSPENDED, Refusal.NO_QUORUM_CONTACT):
            plane.count_refusal(reason)
        clock[0] += 2.0
        status = plane.show("status")[0]
        self.assertEqual((status["contact_s"], plane.update_age()), (5.0, 5.0))
        self.assertEqual(status["contacts_s"], "10.0.0.0 3.0 10.0.0.1 5.0 10.0.0.2 12.0")
        self.assertEqual(status["refused"], "2 out of touch (2.0 s ago), 1 slept (2.0 s ago)")


if __name__ == "__main__":
    unittest.main()
