"""Time to live of the answers of proxy discovery."""

import unittest
from types import SimpleNamespace

from flintreach.config.settings import TimingBounds
from flintreach.controller.directory import MIN_TTL_S, Directory


class TimeToLive(unittest.TestCase):
    def test_the_ttl_is_raised_only_at_a_high_query_rate(self) -> None:
        node = SimpleNamespace(bounds=TimingBounds())
        plane = SimpleNamespace(node=node, runtime=None, member_list=None, routes=None)
        directory = Directory(plane, key_ranges=None)
        self.assertEqual((directory.ttl_s, directory.answer_count), (MIN_TTL_S, 0))
        for clients, min_s, max_s in ((30, 0.5, 0.5), (400, 1.1, 1.5), (30, 0.5, 0.5)):
            now = directory.counted_since
            for _ in range(12):  # each client queries again when its answer expires
                for _ in range(int(clients / directory.ttl_s)):
                    now += directory.ttl_s / clients
                    valid_s = directory.record_answer(now)
            self.assertTrue(min_s <= valid_s <= max_s, (clients, valid_s))


if __name__ == "__main__":
    unittest.main()
