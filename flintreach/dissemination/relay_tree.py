"""Who relays updates to whom: a pure function of the members that a process knows.

The controllers take as many children as they bear, each child with two parents, in different zones where
there are several.  In each zone those proxies, the first by name, form the upper row; the others hang below
them, FANOUT to a parent, and have two parents as well.  Every process works this out by itself; where two
differ for a moment, a proxy receives the same updates from another parent.
"""

from collections.abc import Sequence

from flintreach.membership.member_list import Member

FANOUT = 4  # children of a proxy
CONTROLLER_FANOUT = 48  # children of a controller, whose links are the wider
PARENTS = 2  # of each proxy


def upper_row_size(controllers: int, zones: int) -> int:
    """Give how many proxies of each zone receive from controllers themselves."""
    return max(1, CONTROLLER_FANOUT * controllers // (PARENTS * max(1, zones)))


def choose_parents(member: Member, controllers: Sequence[Member], proxies: Sequence[Member]) -> list[Member]:
    """Choose the members to receive updates from, the best first.

    The place in the tree comes first, then the controllers by nearness.  The second parent is as far from the
    first as may be: what takes one from this proxy should leave the other.

    Args:
        member: whose parents are wanted.
        controllers: all controllers that it knows.
        proxies: all proxies that it knows, itself among them.
    """
    nearest_controllers = sorted(
        controllers, key=lambda other: (other.zone != member.zone, other.region != member.region, other.name)
    )
    zone_proxies = sorted((proxy for proxy in proxies if proxy.zone == member.zone), key=lambda p: p.name)
    place = next((at for at, proxy in enumerate(zone_proxies) if proxy.name == member.name), 0)
    upper_row = upper_row_size(len(controllers), len({proxy.zone for proxy in proxies}))
    if place < upper_row:
        return nearest_controllers
    first = (place - upper_row) // FANOUT
    second = (first + 1) % place if place > 1 else first
    if second == first:
        return [zone_proxies[first], *nearest_controllers]
    return [zone_proxies[first], zone_proxies[second], *nearest_controllers]
