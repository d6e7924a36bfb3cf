"""Route lookup by host and path."""

import unittest

import msgspec

from flintreach.config import configuration
from flintreach.config.routing import Routes
from tests.config.sample import CONFIGURATION


class RouteLookup(unittest.TestCase):
    def test_the_longest_prefix_wins(self) -> None:
        routes = Routes(configuration.check(msgspec.json.encode(CONFIGURATION)))
        found = [
            routes.find(host, path)
            for host, path in (
                ("a.example", "/x/1"),
                ("A.example", "/x/y/1"),
                ("a.example", "/z"),
                ("b.example", "/x/1"),
            )
        ]
        self.assertEqual([route and route.name for route in found], ["r", "deep", None, None])
        self.assertEqual(found[1].services, [("desk", 1.0)])


if __name__ == "__main__":
    unittest.main()
