"""Topology of the relay tree: a pure function of the members that a process knows.

Each controller serves about CONTROLLER_FANOUT children at most, and each child has two parents.  In each
zone, the first proxies by name are connected to controllers and form the upper row; the others are arranged
below them with FANOUT children per parent, and have two parents as well.
Every process computes the tree independently.  If the member lists of two processes differ temporarily, a
proxy receives the same updates from another parent.
"""

from collections.abc import Sequence

from flintreach.membership.member_list import Member

FANOUT = 4  # children of a proxy
CONTROLLER_FANOUT = 48  # children of a controller, which has more bandwidth
PARENT_COUNT = 2  # parents of each proxy


def upper_row_size(controllers: int, zones: int) -> int:
    """Return how many proxies of each zone are connected to controllers directly."""
    return max(1, CONTROLLER_FANOUT * controllers // (PARENT_COUNT * max(1, zones)))


def choose_parents(member: Member, controllers: Sequence[Member], proxies: Sequence[Member]) -> list[Member]:
    """Return the members to receive updates from, in order of preference.

    The parents given by the position in the tree come first, then the controllers by proximity.  The two
    parents are distinct where possible, so that the failure of one leaves the other.

    Args:
        member: the member to choose parents for.
        controllers: all controllers that it knows.
        proxies: all proxies that it knows, including itself.
    """
    nearest_controllers = sorted(
        controllers, key=lambda other: (other.zone != member.zone, other.region != member.region, other.name)
    )
    zone_proxies = sorted((proxy for proxy in proxies if proxy.zone == member.zone), key=lambda p: p.name)
    position = next((at for at, proxy in enumerate(zone_proxies) if proxy.name == member.name), 0)
    upper_row = upper_row_size(len(controllers), len({proxy.zone for proxy in proxies}))
    if position < upper_row:
        return nearest_controllers
    first = (position - upper_row) // FANOUT
    second = (first + 1) % position if position > 1 else first
    if second == first:
        return [zone_proxies[first], *nearest_controllers]
    return [zone_proxies[first], zone_proxies[second], *nearest_controllers]
