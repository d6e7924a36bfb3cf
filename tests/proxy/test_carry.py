"""Leadership of controllers, and how often the directory is asked."""

import unittest
from types import SimpleNamespace

from flintreach.config.settings import TimingBounds
from flintreach.consensus.quorum import Voters
from flintreach.controller.load_placement import TTL, LoadPlacement, leader
from flintreach.controller.quorum_contact import NEVER, QuorumContact
from flintreach.membership.member_list import Member


class Controllers(unittest.TestCase):
    def test_alone_means_without_a_word_from_a_majority(self):
        circle = [(f"10.0.0.{i}", 7) for i in range(5)]
        voters, contact = Voters(1, tuple((address, "") for address in circle)), QuorumContact()
        for address, at, age in ((0, 59.0, NEVER), (1, 50.0, NEVER), (3, 30.0, 30.0), (2, 40.0, 20.0)):
            contact.record_report(circle[address], at, {}, at)
            self.assertEqual(contact.age(voters, 60.0), age)

    def test_one_that_has_just_started_leads_nothing(self):
        names = {"a": False, "b": True, "c": True}
        members = [
            Member(name, "refuge", "10.0.0.1", 7, "z", "r", ready=ready) for name, ready in names.items()
        ]
        self.assertEqual(leader(members).name, "b")
        self.assertIsNone(leader(members[:1]))

    def test_the_directory_is_asked_often_until_it_has_much_to_answer(self):
        plane = SimpleNamespace(node=SimpleNamespace(bounds=TimingBounds()))
        controller = SimpleNamespace(ttl=TTL[0], asked=0, asked_in=0.0, plane=plane)
        for clients, least, most in ((30, 0.5, 0.5), (400, 1.1, 1.5), (30, 0.5, 0.5)):
            now = controller.asked_in
            for _ in range(12):  # each client comes back when its answer is over
                for _ in range(int(clients / controller.ttl)):
                    now += controller.ttl / clients
                    told = LoadPlacement.valid(controller, now)
            self.assertTrue(least <= told <= most, (clients, told))


if __name__ == "__main__":
    unittest.main()
