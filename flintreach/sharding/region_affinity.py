"""In which region the keys of a service should lie, and clients of its hosts should arrive.

A download whose keys lie in another region than its client's proxy crosses between the regions, however the
keys are divided: each region's clients ask for all of them.  Where every route of a host is bound to keys or
to a home region, its clients are sent to one region, and as many keys lie there as its endpoints bear.  Each
request then takes one long way at most, as before, and its bytes cross on none of our links.

No input or output here.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

MAX_LINK_PART = 0.15  # of the links of a region's proxies: what the answers of one service may take up
MAX_UTILIZATION = 0.45  # of a region's capacity: what the load may take up if all keys lie there
MIN_SHARE_STEP = 0.2  # the least change of the share that is worth moving keys
SMOOTHING = 0.2  # weight of a new figure, at each turn
PASSES_OF_A_LINK = 2  # an answer passes a proxy's link on its way in and on its way out
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6
MIN_CAPACITY = 1e-9  # in place of 0, to divide by


class Route(Protocol):
    """What is used of a configuration's route."""

    homes: Iterable[str]
    """Its home regions; none where its requests may end in any."""
    services: Iterable[tuple[str, float]]
    """Its services and their weights."""


def home_regions(routes: Sequence[Route], sharded: set[str]) -> set[str] | None:
    """The regions in which all requests of a host end.

    Args:
        routes: the host's routes.
        sharded: services whose requests are bound to keys.

    Returns:
        The home regions that all its routes with homes share, empty where all routes are bound to keys alone;
        None where a route is bound to nothing, the routes share no home, or there are none.
    """
    homes: list[set[str]] = []
    for route in routes:
        if route.home_regions:
            homes.append({*route.home_regions})
        elif not all(service in sharded for service, _ in route.services):
            return None
    if not homes:
        return set() if routes else None
    return set.intersection(*homes) or None


def links_can_carry(bytes_per_s: float | None, links_mbps: list[float]) -> bool:
    """Whether a region's proxies can take all answers of a service.

    Args:
        bytes_per_s: of its answers; None where that is not known yet.
        links_mbps: of the region's proxies, in Mbit/s; 0 where the settings tell none: that is enough.
    """
    if bytes_per_s is None or not links_mbps:
        return False
    if 0.0 in links_mbps:
        return True
    needed_mbps = PASSES_OF_A_LINK * bytes_per_s * BITS_PER_BYTE / BITS_PER_MEGABIT
    return needed_mbps <= MAX_LINK_PART * sum(links_mbps)


def target_region(
    homes: set[str] | None, key_parts: dict[str, float], capacities: dict[str, float]
) -> str | None:
    """The region for a service's keys.

    Args:
        homes: as `home_regions` gives them.
        key_parts: region -> the part of the keys that lies there.
        capacities: region -> capacity of its endpoints that may hold keys.

    Returns:
        The region; None where the service's clients come from everywhere.
    """
    if homes is None or not capacities:
        return None
    candidates = [region for region in sorted(capacities) if not homes or region in homes]
    # Where the keys are they stay, unless homes say otherwise.
    return max(
        candidates,
        key=lambda region: (round(key_parts.get(region, 0.0), 1), capacities[region]),
        default=None,
    )


@dataclass(slots=True)
class RegionBias:
    """How much of a service's load is to lie in one region.

    Attributes:
        region: the region.
        share: the part of the load that is to lie there; None: as the capacities are.
        in_use: capacity in use in all regions, smoothed.
    """

    region: str | None = None
    share: float | None = None
    in_use: float = 0.0

    def weight_factors(
        self, region: str | None, capacities: dict[str, float], in_use: float | None
    ) -> dict[str, float]:
        """Factors for the weights of each region's endpoints, at each turn of the lease owner.

        Args:
            region: where the load is to lie; None: anywhere.
            capacities: region -> capacity of its endpoints.
            in_use: capacity in use in all regions; None where nothing was reported.
        """
        self.smooth_in_use(in_use)
        if region is None:
            self.share = None
        no_bias = dict.fromkeys(capacities, 1.0)
        if region is None or not capacities.get(region):
            return no_bias
        # A share that stands is kept up where for a while nothing is known, or other regions are away.
        if self.share is None and (in_use is None or len(capacities) < 2):
            return no_bias
        local = capacities[region]
        total = sum(capacities.values())
        self.update_share(region, local, total)
        share = max(self.share, local / total)
        factor_elsewhere = (1 - share) / share * local / max(MIN_CAPACITY, total - local)
        return {name: 1.0 if name == region else factor_elsewhere for name in capacities}

    def smooth_in_use(self, in_use: float | None) -> None:
        """Take in a new figure; it is smoothed only while a share stands."""
        if in_use is None:
            return
        if self.share is None:
            self.in_use = in_use
        else:
            self.in_use = (1 - SMOOTHING) * self.in_use + SMOOTHING * in_use

    def update_share(self, region: str, local: float, total: float) -> None:
        """Set the share anew, unless the change is too small to be worth moving keys.

        Args:
            region: where the load is to lie.
            local: its capacity.
            total: the capacity of all regions.
        """
        wanted = max(local / total, min(1.0, MAX_UTILIZATION * local / max(self.in_use, MIN_CAPACITY)))
        changed = self.share is None or region != self.region or abs(wanted - self.share) >= MIN_SHARE_STEP
        if changed or wanted == 1.0:
            self.share = wanted
        self.region = region
