"""Fixtures shared by proxy tests: a configuration with one route, and a routing view that follows a store."""

from collections.abc import Callable
from typing import Any

import msgspec

from flintreach.config.settings import TimingBounds
from flintreach.dissemination.versioned_store import VersionedStore
from flintreach.proxy.balancing import NS_PER_S, FleetPosition
from flintreach.proxy.view import RoutingView


def configuration(kind: str = "safe", sharded: bool = False, homes: tuple[str, ...] = ()) -> bytes:
    """Returns an encoded configuration with one route of a kind to one service."""
    return msgspec.json.encode(
        {
            "edition": "00000001",
            "wickets": [
                {
                    "destination": "a",
                    "regulations": [
                        {
                            "name": "r",
                            "kind": kind,
                            "target_ms": 40,
                            "sorting": {"postcode": "/x/"},
                            "dispatch": {
                                "line": "desk",
                                "deadline_ms": 60_000,
                                "tries": 2,
                                "home_regions": list(homes),
                            },
                        }
                    ],
                }
            ],
            "depots": [{"name": "desk", "sharded": sharded}],
        }
    )


class SettableClock:
    """A monotonic clock that returns `now`, in nanoseconds, which a test sets."""

    def __init__(self) -> None:
        self.now = NS_PER_S

    def __call__(self) -> int:
        return self.now


def endpoint_update(zone: str, number: int = 0, state: str = "ready") -> dict[str, Any]:
    """Returns the value of an endpoint update as encoded on the wire."""
    return {
        "line": "desk",
        "addr": f"10.0.0.{number}:80",
        "zone": zone,
        "berths": 2,
        "state": state,
        "cold": 0,
    }


def routing_view(
    config: bytes, endpoints: dict[str, str], clock: Callable[[], int] | None = None
) -> tuple[RoutingView, VersionedStore, Any]:
    """Returns a routing view with some endpoints (id -> zone), the store it follows, and its clock."""
    updates = VersionedStore()
    clock = clock or SettableClock()
    view = RoutingView(updates, FleetPosition("n", "r"), {"n": "r", "s": "q"}, clock, TimingBounds())
    updates.offer("timetable", 1, config)
    for number, (endpoint_id, zone) in enumerate(endpoints.items()):
        updates.offer(f"hut/{endpoint_id}", [1, 0], endpoint_update(zone, number))
    return view, updates, clock
