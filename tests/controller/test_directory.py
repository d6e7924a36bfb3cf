"""For how long answers of the directory hold."""

import unittest
from types import SimpleNamespace

from flintreach.config.settings import TimingBounds
from flintreach.controller.directory import SHORTEST_TTL_S, Directory


class Validity(unittest.TestCase):
    def test_answers_hold_for_longer_only_where_many_clients_ask(self) -> None:
        node = SimpleNamespace(bounds=TimingBounds())
        plane = SimpleNamespace(node=node, runtime=None, member_list=None, routes=None)
        directory = Directory(plane, key_ranges=None)
        self.assertEqual((directory.ttl_s, directory.answer_count), (SHORTEST_TTL_S, 0))
        for clients, least_s, most_s in ((30, 0.5, 0.5), (400, 1.1, 1.5), (30, 0.5, 0.5)):
            now = directory.counted_since
            for _ in range(12):  # each client comes back when its answer is over
                for _ in range(int(clients / directory.ttl_s)):
                    now += directory.ttl_s / clients
                    valid_s = directory.record_answer(now)
            self.assertTrue(least_s <= valid_s <= most_s, (clients, valid_s))


if __name__ == "__main__":
    unittest.main()
