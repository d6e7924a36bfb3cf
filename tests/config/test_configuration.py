"""Validation of the operator's configuration."""

import unittest
from collections.abc import Callable
from typing import Any

import msgspec

from flintreach.config import configuration
from tests.config.sample import CONFIGURATION

# Modifies the first route rule, or the configuration that contains it.
Change = Callable[[dict, dict], object]


def set_field(*path: str | int, to: Any) -> Change:
    """Return a change that sets one field; its path begins with "rule" or "configuration"."""

    def change(rule: dict, document: dict) -> None:
        field: Any = {"rule": rule, "configuration": document}
        for key in path[:-1]:
            field = field[key]
        field[path[-1]] = to

    return change


def check(change: Change | None = None, cut: int | None = None) -> configuration.Configuration:
    """Validate the sample after a change, or only its first `cut` bytes."""
    document = msgspec.json.decode(msgspec.json.encode(CONFIGURATION))
    if change:
        change(document["wickets"][0]["regulations"][0], document)
    return configuration.check(msgspec.json.encode(document)[:cut])


class ConfigurationChecks(unittest.TestCase):
    def test_invalid_configurations_are_rejected(self) -> None:
        weighted_lines = [{"line": "desk", "weight": 2}, {"line": "old", "weight": -1}]
        cases = [
            set_field("rule", "kind", to="odd"),
            set_field("rule", "dispatch", "line", to="nobody"),
            set_field("rule", "dispatch", "apportion", to=weighted_lines),
            set_field("configuration", "edition", to="xyz"),
            set_field("rule", "dispatch", "apportion", to=[{"line": "desk", "weight": 0}]),
            set_field("rule", "sorting", "postcode", to="x"),
            set_field("configuration", "wickets", 0, "destination", to=""),
            lambda rule, document: rule["dispatch"].pop("deadline_ms"),
            lambda rule, document: document.pop("wickets"),
        ]
        for number, change in enumerate(cases):
            with self.assertRaises(configuration.ConfigError, msg=str(number)):
                check(change)

    def test_truncated_configurations_are_rejected(self) -> None:
        check()
        size = len(msgspec.json.encode(CONFIGURATION))
        for cut in range(1, size, 7):
            with self.assertRaises(configuration.ConfigError):
                check(cut=cut)


if __name__ == "__main__":
    unittest.main()
