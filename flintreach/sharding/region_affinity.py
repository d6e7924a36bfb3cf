"""Region affinity: in which region the keys of a service are held, and to which its clients are directed.

A response crosses between regions if its key is held in another region than that of the client's proxy. No
assignment of keys avoids this, because the clients of each region request all keys. So if every route of a
host is bound to keys or to home regions, the host's clients are directed to one region, and as many keys are
held there as its endpoints can serve. A request then still travels between regions at most once, but the
response does not cross the links between our own processes.

This module does no I/O.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

MAX_LINK_SHARE = 0.15  # of the bandwidth of a region's proxies, for the responses of one service
MAX_UTILIZATION = 0.45  # of a region's capacity, with all keys held there
MIN_SHARE_STEP = 0.2  # smaller changes of the share are not worth moving keys
SMOOTHING = 0.2  # weight of a new value in the moving average
LINK_TRAVERSALS = 2  # a response enters and leaves a proxy over the same link
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6
MIN_CAPACITY = 1e-9  # avoids division by zero


class Route(Protocol):
    """Used part of a configured route."""

    home_regions: Iterable[str]
    """Home regions; none if its requests may be served in any region."""
    services: Iterable[tuple[str, float]]
    """Services with their weights."""


def home_regions(routes: Sequence[Route], sharded: set[str]) -> set[str] | None:
    """Regions in which all requests of a host can be served.

    Args:
        routes: routes of the host.
        sharded: services whose requests are bound to keys.

    Returns:
        Home regions common to all routes that have any; empty if all routes are bound to keys only. None if a
        route is bound to neither, the routes have no home region in common, or there are no routes.
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
    """Whether the links of a region's proxies can carry all responses of a service.

    Args:
        bytes_per_s: response bytes per second; None if not known yet.
        links_mbps: link bandwidth of each proxy in the region, in Mbit/s; 0 if not configured, which
            counts as sufficient.
    """
    if bytes_per_s is None or not links_mbps:
        return False
    if 0.0 in links_mbps:
        return True
    needed_mbps = LINK_TRAVERSALS * bytes_per_s * BITS_PER_BYTE / BITS_PER_MEGABIT
    return needed_mbps <= MAX_LINK_SHARE * sum(links_mbps)


def target_region(
    homes: set[str] | None, key_shares: dict[str, float], capacities: dict[str, float]
) -> str | None:
    """Region in which a service's keys should be held.

    Args:
        homes: as returned by `home_regions`.
        key_shares: share of the keys held in each region.
        capacities: capacity of the endpoints that may hold keys, by region.

    Returns:
        The region, or None if the service's clients are not directed to one.
    """
    if homes is None or not capacities:
        return None
    candidates = [region for region in sorted(capacities) if not homes or region in homes]
    # Prefer the region that holds most keys, to avoid moving them.
    return max(
        candidates,
        key=lambda region: (round(key_shares.get(region, 0.0), 1), capacities[region]),
        default=None,
    )


@dataclass(slots=True)
class RegionBias:
    """Share of a service's load that is directed to one region.

    Attributes:
        region: the region.
        share: target share of the load there; None if the load follows the capacities.
        in_use: smoothed capacity in use in all regions.
    """

    region: str | None = None
    share: float | None = None
    in_use: float = 0.0

    def weight_factors(
        self, region: str | None, capacities: dict[str, float], in_use: float | None
    ) -> dict[str, float]:
        """Factors for the weights of the endpoints, by region; called at each iteration of the lease owner.

        Args:
            region: region to prefer, or None.
            capacities: capacity of the endpoints, by region.
            in_use: capacity in use in all regions; None if nothing was reported.
        """
        self.smooth_in_use(in_use)
        if region is None:
            self.share = None
        no_bias = dict.fromkeys(capacities, 1.0)
        if region is None or not capacities.get(region):
            return no_bias
        # An existing share is kept while there are no reports or no other regions.
        if self.share is None and (in_use is None or len(capacities) < 2):
            return no_bias
        local = capacities[region]
        total = sum(capacities.values())
        self.update_share(region, local, total)
        share = max(self.share, local / total)
        factor_elsewhere = (1 - share) / share * local / max(MIN_CAPACITY, total - local)
        return {name: 1.0 if name == region else factor_elsewhere for name in capacities}

    def smooth_in_use(self, in_use: float | None) -> None:
        """Update the capacity in use; it is smoothed only while a share is set."""
        if in_use is None:
            return
        if self.share is None:
            self.in_use = in_use
        else:
            self.in_use = (1 - SMOOTHING) * self.in_use + SMOOTHING * in_use

    def update_share(self, region: str, local: float, total: float) -> None:
        """Update the share, unless the change is too small to be worth moving keys.

        Args:
            region: preferred region.
            local: capacity of this region.
            total: capacity of all regions.
        """
        target_share = max(local / total, min(1.0, MAX_UTILIZATION * local / max(self.in_use, MIN_CAPACITY)))
        changed = (
            self.share is None or region != self.region or abs(target_share - self.share) >= MIN_SHARE_STEP
        )
        if changed or target_share == 1.0:
            self.share = target_share
        self.region = region
