"""In which region the keys of a service should lie, and clients of its hosts should arrive.  Pure.

A download whose keys lie in another region than its client's front crosses between the regions, whatever the
division of keys: each region's clients ask for all of them.  Where every route of a host is bound to keys or
to a home region, its clients are sent to one region, and as many keys lie there as its endpoints bear: each
request then takes one long way at most, as before, and its bytes cross on none of ours.
"""

from dataclasses import dataclass

LINK = 0.15  # of the links of a region's fronts that the answers of one service may take up
ROOM = 0.45  # of a region's berths that the load may take up if all keys lie there
STEP, SLOW = 0.2, 0.2  # least change of the share that is worth moving keys; of a new figure, at each turn


def bound(routes, sharded: set[str]) -> set[str] | None:
    """Home regions of a host's routes, empty where all are bound to keys alone; None where one is free."""
    found: list[set[str]] = []
    for route in routes:
        if route.home_regions:
            found.append({*route.home_regions})
        elif not all(line in sharded for line, _ in route.services):
            return None
    if not found:
        return set() if routes else None
    return set.intersection(*found) or None


def carried(size: float | None, links: list[float]) -> bool:
    """Whether a region's fronts can take a service's answers: `size` bytes a second, None where that is not
    known yet; each passes a front twice.  `links`: in Mbit/s, 0 where the settings tell none."""
    if size is None or not links:
        return False
    return 0.0 in links or 2 * size * 8 / 1e6 <= LINK * sum(links)


def target(homes: set[str] | None, keys: dict[str, float], berths: dict[str, float]) -> str | None:
    """The region for a service's keys; None where its clients come from everywhere.

    `keys`, `berths`: by region, of the endpoints that may hold keys.
    """
    if homes is None or not berths:
        return None
    able = [region for region in sorted(berths) if not homes or region in homes]
    # Where the keys are they stay, unless homes say otherwise.
    return max(able, key=lambda region: (round(keys.get(region, 0.0), 1), berths[region]), default=None)


@dataclass(slots=True)
class RegionBias:
    """How much of a service's load is to lie in one region; `share` None: as the berths are."""

    region: str | None = None
    share: float | None = None
    busy: float = 0.0  # berths at work, smoothed

    def weigh(self, region: str | None, berths: dict[str, float], busy: float | None) -> dict[str, float]:
        """Factors for the weights of each region's endpoints, at each turn of the keeper; `busy`: berths at
        work in all regions, None where nothing was told."""
        if busy is not None:
            self.busy = (1 - SLOW) * self.busy + SLOW * busy if self.share is not None else busy
        total = sum(berths.values())
        if region is None or busy is None or not berths.get(region) or len(berths) < 2:
            self.share = None if region is None else self.share
            if self.share is None or not berths.get(region):
                return dict.fromkeys(berths, 1.0)
        here = berths[region]
        want = max(here / total, min(1.0, ROOM * here / max(self.busy, 1e-9)))
        if self.share is None or region != self.region or abs(want - self.share) >= STEP or want == 1.0:
            self.share = want
        self.region = region
        share = max(self.share, here / total)
        out = (1 - share) / share * here / max(1e-9, total - here)
        return {name: 1.0 if name == region else out for name in berths}
