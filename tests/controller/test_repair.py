"""Anti-entropy repair: which values a sweep may publish."""

import unittest
from types import SimpleNamespace
from unittest import mock

from flintreach.consensus.acceptor import Slot
from flintreach.controller.repair import Repair

HOLDER = ("10.0.0.1", 7)


class Fetch(unittest.TestCase):
    def test_a_value_accepted_after_the_quorum_report_is_not_published(self) -> None:
        """A quorum reported a ballot, but its holder has since accepted another writer's change, which may
        never be committed."""
        reported = (2, "a")
        for slot, publications, published in (
            (Slot((3, "b"), (3, "b"), b"new"), [], {}),
            (Slot(reported, reported, b"old"), [mock.call("evac", b"old")], {"evac": reported}),
        ):
            plane = mock.Mock()
            register = mock.Mock(fetch_slot=mock.Mock(return_value=slot))
            repair = SimpleNamespace(plane=plane, register=register, published={})
            Repair.fetch(repair, "evac", reported, HOLDER)
            self.assertEqual(plane.operator_requests.publish.mock_calls, publications)
            self.assertEqual(repair.published, published)


if __name__ == "__main__":
    unittest.main()
