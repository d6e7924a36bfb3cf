"""Summaries of register values, for the inspection of a controller's disk.

The register stores opaque bytes; the modules of the controller that use it define the formats.  Only this
module knows the keys and formats of all of them.
"""

import json

import msgspec

from flintreach.common.keys import ASSIGNMENT_KEY, CONFIGURATION_KEY, EVACUATION_KEY, KEY_RANGES_PREFIX
from flintreach.config.configuration_history import ConfigurationHistory


def describe_configuration(value: bytes) -> str:
    """Summarize the operator's configuration in one line."""
    body = json.loads(ConfigurationHistory.decode(value).body)
    routes = sum(len(virtual_host["regulations"]) for virtual_host in body["wickets"])
    return f"edition {body['edition']}, {routes} routes, {len(body['depots'])} services"


def describe_evacuation(value: bytes) -> str:
    """Summarize the evacuated zones in one line."""
    change, evacuated_by_zone, *_ = msgspec.msgpack.decode(value)
    zones = sorted(zone for zone, evacuated in evacuated_by_zone.items() if evacuated)
    return f"change {change}: {' '.join(zones) or 'nothing'}"


def describe_assignment(value: bytes) -> str:
    """Summarize the endpoint assignment in one line."""
    change, tables, *_ = msgspec.msgpack.decode(value)
    return f"change {change}: {len(tables)} tables"


def describe_ranges(value: bytes) -> str:
    """Summarize the key ranges of a service in one line."""
    owner, epoch, _, fence, ranges, *_ = msgspec.msgpack.decode(value)
    return f"keeper {owner}, epoch {epoch}, highest fence {fence}, {len(ranges)} ranges"


def describe(key: str, value: bytes) -> str | None:
    """Summarize a register value in one line; return None for an unknown key.

    Raises:
        ValueError, TypeError, LookupError, AttributeError, msgspec.DecodeError: the value doesn't have the
            format of its key.
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
