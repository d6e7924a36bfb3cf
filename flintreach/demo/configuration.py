"""Demo configuration: three routes to two services, one of which is sharded by key."""

from typing import Any

HOST = "camp.example"  # kept from earlier releases, since operators' scripts use it
PLAIN_SERVICE = "desk"
SHARDED_SERVICE = "store"


def route(name: str, kind: str, path_prefix: str, service: str) -> dict[str, Any]:
    """Build a route in its wire format."""
    return {
        "name": name,
        "kind": kind,
        "target_ms": 800,
        "sorting": {"postcode": path_prefix},
        "dispatch": {"line": service, "deadline_ms": 3000, "tries": 2},
    }


CONFIGURATION: dict[str, Any] = {
    "edition": "00000001",
    "wickets": [
        {
            "destination": HOST,
            "regulations": [
                route("look", "safe", "/look/", PLAIN_SERVICE),
                route("file", "unsafe", "/file/", PLAIN_SERVICE),
                route("fetch", "outbound_post", "/fetch/", SHARDED_SERVICE),
            ],
        }
    ],
    "depots": [{"name": PLAIN_SERVICE}, {"name": SHARDED_SERVICE, "sharded": True}],
}
