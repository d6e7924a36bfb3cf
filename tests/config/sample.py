"""Sample configuration in its JSON form, for tests of the configuration and of commands."""

from typing import Any

CONFIGURATION: dict[str, Any] = {
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
