"""The operator's configuration: checks, routes."""

import unittest

import msgspec

from flintreach.config import configuration, settings

CONFIG = {
    "edition": "0000000a",
    "wickets": [
        {
            "destination": "a.example",
            "regulations": [
                {
                    "name": "r",
                    "kind": "safe",
                    "sorting": {"postcode": "/x/"},
                    "dispatch": {"line": "desk", "deadline_ms": 2000, "tries": 2},
                },
                {
                    "name": "deep",
                    "kind": "unsafe",
                    "sorting": {"postcode": "/x/y/"},
                    "dispatch": {
                        "apportion": [{"line": "desk", "weight": 1}, {"line": "old", "weight": 0}],
                        "deadline_ms": 2000,
                        "tries": 1,
                        "home_regions": ["r"],
                    },
                },
            ],
        }
    ],
    "depots": [{"name": "desk"}, {"name": "old"}],
}


class Configuration(unittest.TestCase):
    def check(self, change=None, cut=None):
        told = msgspec.json.decode(msgspec.json.encode(CONFIG))
        if change:
            change(told["wickets"][0]["regulations"][0], told)
        return configuration.check(msgspec.json.encode(told)[:cut])

    def test_the_longest_prefix_wins(self):
        routes = configuration.Routes(self.check())
        found = [
            routes.find(runtime, path)
            for runtime, path in (
                ("a.example", "/x/1"),
                ("A.example", "/x/y/1"),
                ("a.example", "/z"),
                ("b.example", "/x/1"),
            )
        ]
        self.assertEqual([route and route.name for route in found], ["r", "deep", None, None])
        self.assertEqual(found[1].services, [("desk", 1.0)])

    def test_what_must_not_come_into_force(self):
        def setting(*path, to):
            def change(rule, told):
                place = {"rule": rule, "told": told}
                for part in path[:-1]:
                    place = place[part]
                place[path[-1]] = to

            return change

        shares = [{"line": "desk", "weight": 2}, {"line": "old", "weight": -1}]
        cases = [
            setting("rule", "kind", to="odd"),
            setting("rule", "dispatch", "line", to="nobody"),
            setting("rule", "dispatch", "apportion", to=shares),
            setting("told", "edition", to="xyz"),
            setting("rule", "dispatch", "apportion", to=[{"line": "desk", "weight": 0}]),
            setting("rule", "sorting", "postcode", to="x"),
            setting("told", "wickets", 0, "destination", to=""),
            lambda rule, told: rule["dispatch"].pop("deadline_ms"),
            lambda rule, told: told.pop("wickets"),
        ]
        for number, change in enumerate(cases):
            with self.assertRaises(configuration.ConfigError, msg=str(number)):
                self.check(change)
        size = len(msgspec.json.encode(CONFIG))
        for cut in range(1, size, 7):
            with self.assertRaises(configuration.ConfigError):
                self.check(cut=cut)

    def test_settings_name_the_field_that_is_wrong(self):
        good = (
            "sender: {node_name: n, ip: 10.0.0.1, zone: z, region: r}\n"
            "network: {posts: {front: '10.0.0.1:80'}, spare_ports: [7000, 7010], news: 1}\n"
        )
        self.assertEqual(settings.parse(good).inner(1), ("10.0.0.1", 7001))
        for text, word in (
            (good.replace("zone: z, ", ""), "zone"),
            ("a: [", "YAML"),
            (good.replace("[7000, 7010]", "many"), "spare_ports"),
        ):
            with self.assertRaisesRegex(settings.SettingsError, word):
                settings.parse(text)


if __name__ == "__main__":
    unittest.main()
