"""What the values of the register mean, for an operator who looks at a controller's disk.

The register keeps bytes by key; its users in the controller write them. This is the one place that knows the
keys of all of them.
"""

import json

import msgspec

from flintreach.common.keys import ASSIGNMENT_KEY, CONFIGURATION_KEY, EVACUATION_KEY, KEY_RANGES_PREFIX
from flintreach.config.configuration_history import ConfigurationHistory


def describe_configuration(value: bytes) -> str:
    """One line on the operator's configuration."""
    body = json.loads(ConfigurationHistory.decode(value).body)
    routes = sum(len(virtual_host["regulations"]) for virtual_host in body["wickets"])
    return f"edition {body['edition']}, {routes} routes, {len(body['depots'])} services"


def describe_evacuation(value: bytes) -> str:
    """One line on the zones that are evacuated."""
    change, evacuated_by_zone, *_ = msgspec.msgpack.decode(value)
    zones = sorted(zone for zone, evacuated in evacuated_by_zone.items() if evacuated)
    return f"change {change}: {' '.join(zones) or 'nothing'}"


def describe_assignment(value: bytes) -> str:
    """One line on the endpoint assignment."""
    change, tables, *_ = msgspec.msgpack.decode(value)
    return f"change {change}: {len(tables)} tables"


def describe_ranges(value: bytes) -> str:
    """One line on the owners of key ranges."""
    owner, epoch, _, fence, ranges, *_ = msgspec.msgpack.decode(value)
    return f"keeper {owner}, epoch {epoch}, highest fence {fence}, {len(ranges)} ranges"


def describe(key: str, value: bytes) -> str | None:
    """One line on what a key of the register holds, None for an unknown key.

    Raises:
        ValueError, TypeError, LookupError, AttributeError, msgspec.DecodeError: it isn't of its key's shape.
    """
    if key == CONFIGURATION_KEY:
        return describe_configuration(value)
    if key == EVACUATION_KEY:
        return describe_evacuation(value)
    if key == ASSIGNMENT_KEY:
        return describe_assignment(value)
    if key.startswith(KEY_RANGES_PREFIX):
        return describe_ranges(value)
    return None
