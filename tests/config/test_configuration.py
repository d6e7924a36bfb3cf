"""What must hold of a configuration before it may come into force."""

import unittest
from collections.abc import Callable
from typing import Any

import msgspec

from flintreach.config import configuration
from tests.config.sample import CONFIGURATION

# Changes the first route, or the configuration that it stands in.
Change = Callable[[dict, dict], object]


def setting(*path: str | int, to: Any) -> Change:
    """A change of one field; the path begins with "rule" or "configuration"."""

    def change(rule: dict, table: dict) -> None:
        field: Any = {"rule": rule, "configuration": table}
        for key in path[:-1]:
            field = field[key]
        field[path[-1]] = to

    return change


def check(change: Change | None = None, cut: int | None = None) -> configuration.Configuration:
    """Check the sample after a change, or its first `cut` bytes."""
    table = msgspec.json.decode(msgspec.json.encode(CONFIGURATION))
    if change:
        change(table["wickets"][0]["regulations"][0], table)
    return configuration.check(msgspec.json.encode(table)[:cut])


class ConfigurationChecks(unittest.TestCase):
    def test_what_must_not_come_into_force(self) -> None:
        shares = [{"line": "desk", "weight": 2}, {"line": "old", "weight": -1}]
        cases = [
            setting("rule", "kind", to="odd"),
            setting("rule", "dispatch", "line", to="nobody"),
            setting("rule", "dispatch", "apportion", to=shares),
            setting("configuration", "edition", to="xyz"),
            setting("rule", "dispatch", "apportion", to=[{"line": "desk", "weight": 0}]),
            setting("rule", "sorting", "postcode", to="x"),
            setting("configuration", "wickets", 0, "destination", to=""),
            lambda rule, table: rule["dispatch"].pop("deadline_ms"),
            lambda rule, table: table.pop("wickets"),
        ]
        for number, change in enumerate(cases):
            with self.assertRaises(configuration.ConfigError, msg=str(number)):
                check(change)

    def test_no_beginning_of_a_configuration_is_a_configuration(self) -> None:
        check()
        size = len(msgspec.json.encode(CONFIGURATION))
        for cut in range(1, size, 7):
            with self.assertRaises(configuration.ConfigError):
                check(cut=cut)


if __name__ == "__main__":
    unittest.main()
