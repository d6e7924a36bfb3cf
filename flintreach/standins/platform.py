"""Sample data in the platform's formats: a configuration, endpoint lists and initial stream events."""


def platform_config(servers=4, slices=8, proxies=3, **changes):
    """Return a configuration as the platform writes it.

    Args:
        servers: number of endpoints in the list that it carries.
        slices: number of slices.
        proxies: number of proxies.
        changes: values that replace those at the top level.
    """
    operations = [
        {"name": name, "objective": 1.0, "hard_limit": 3.0, "worth": worth, "idempotency": effect}
        for name, worth, effect in (("look", 1.0, "read_like"), ("book", 5.0, "non_idempotent"))
    ]
    settings = {
        "me": 0,
        "balancers": 2,
        "areas": ["north", "south"],
        "machine_types": ["m1", "m2"],
        "az": 1,
        "tick": 0.001,
        "discovery": "pushed",
        "report": {"fields": ["cpu", "waiting"]},
        "request_classes": operations,
        "policy_limits": {"probes": True, "may_tell": True},
        "invariants": {"warm_up": 10.0, "cold_from": 0.2, "drain_grace": 3.0},
        "specifics": {
            "ranges": slices,
            "proxies": proxies,
            "backlog": 8000.0,
            "channel_rate": 4000.0,
            "messages_most": 20,
            "admission": "share",
        },
    }
    return {
        "name": "p0",
        "seed": "5eed",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "store": {"address": "127.0.0.1:9"},
        "limits": {"sockets": 256, "memory_mb": 192},
        "known": endpoint_list(servers),
        "settings": settings,
    } | changes


def endpoint_entry(number, status="up", **changes):
    """Return the entry of endpoint `s<number>` in an endpoint list; `changes` replace its fields."""
    return {
        "name": f"s{number}",
        "address": f"127.0.0.1:{9000 + number}",
        "zone": "north",
        "type": "m2",
        "group": 1,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    } | changes


def endpoint_list(servers=4, index=1, snapshot=True, **changes):
    """Return an endpoint list as the discovery service sends it.

    Args:
        servers: number of endpoints, all of them up.
        index: version of the list.
        snapshot: whether it is the complete list, rather than the changes since an earlier one.
        changes: values that replace those at the top level.
    """
    return {
        "index": index,
        "snapshot": snapshot,
        "endpoints": [endpoint_entry(n) for n in range(servers)],
    } | changes


def initial_events(slices=8, proxies=3, new=False, initial_server=lambda n: "s0"):
    """Return the events with which an event stream starts: the proxies, then each slice with its rate.

    Args:
        slices: number of slices.
        proxies: number of proxies.
        new: whether the proxies announce themselves as new.
        initial_server: gives the server that holds a slice, by the number of the slice.
    """
    items = [("hello", {"id": n, "site": "south", "rps": 2.0, "new": new}) for n in range(proxies)]
    for n in range(slices):
        items += [
            ("lease", {"range": n, "flag": True}),
            ("line", {"range": n, "target": initial_server(n), "rps": 1.0}),
        ]
    return items
