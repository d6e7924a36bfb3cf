"""Who relays news to whom: a pure function of the members that a pilot knows.

The refuges take as many children as they bear, each with two parents in different zones where there are.
In each zone those fronts, first by name, form the upper row; the others, FAN to a parent, hang below them,
and have two parents as well.  Every pilot works this out alone; where two differ for a moment, a pilot hears
the same news from another.
"""

FAN, BORNE = 4, 48  # children of a front; of a refuge, whose links are the wider


def upper(controllers: int, zones: int) -> int:
    """How many fronts of each zone hear from refuges themselves."""
    return max(1, BORNE * controllers // (2 * max(1, zones)))


def parents(me, controllers: list, fronts: list) -> list:
    """Members to hear news from, the best first: the place in the tree, then refuges by nearness.

    The second is as far from the first as may be: what takes one from this pilot should leave the other.
    """
    near = sorted(controllers, key=lambda m: (m.zone != me.zone, m.region != me.region, m.name))
    peers = sorted((member for member in fronts if member.zone == me.zone), key=lambda member: member.name)
    place = next((i for i, member in enumerate(peers) if member.name == me.name), 0)
    row = upper(len(controllers), len({member.zone for member in fronts}))
    if place < row:
        return near
    first = (place - row) // FAN
    second = (first + 1) % place if place > 1 else first
    return [peers[first], *([peers[second]] if second != first else []), *near]
