"""Proxy discovery for clients: which proxies to use for a host, and for how long the answer is valid.

Clients query a controller (`http_api`, the call "resolve") and query again when the answer expires. They are
directed to nearby proxies, or to proxies in the region that holds a host's keys.
"""

from typing import Protocol

from flintreach.common.keys import ROLE_PROXY
from flintreach.config.routing import Routes
from flintreach.config.settings import ProcessSettings
from flintreach.controller.key_ranges import KeyRanges
from flintreach.membership.member_list import ALIVE, Member, MemberList
from flintreach.transport.runtime import Runtime

MIN_TTL_S = 0.5
MAX_TTL_S = 1.5
TARGET_ANSWERS_PER_S = 300  # per controller; at higher rates the TTL is raised
RATE_INTERVAL_S = 1.0  # over which the answer rate is measured
MIN_KEY_SHARE = 0.8  # share of a service's keys in one region from which its clients are directed there
REGION_CACHE_S = 0.5  # lifetime of the cached preferred regions
MIN_NEARBY_PROXIES = 2  # a zone or region with fewer proxies is not used alone
MAX_ADDRESSES = 64  # per answer
CLIENT_LISTENER = "front"  # name of a proxy's client listener in the member list


class DirectoryPlane(Protocol):
    """The part of `control_plane.ControlPlane` that `Directory` uses."""

    runtime: Runtime
    member_list: MemberList
    node: ProcessSettings
    routes: Routes | None


class Directory:
    """Proxy discovery on one controller.

    Attributes:
        ttl_s: time to live of an answer in seconds, before the limit from the settings is applied.
        answer_count: number of answers since `counted_since`, a monotonic time in seconds.
        preferred_regions: cache of `preferred_region` by host.
        preferred_regions_cached_at: monotonic time at which the cache was last cleared, in seconds.
    """

    def __init__(self, plane: DirectoryPlane, key_ranges: KeyRanges) -> None:
        """Use the proxies known to `plane`, and the key locations known to `key_ranges`."""
        self.plane = plane
        self.runtime = plane.runtime
        self.member_list = plane.member_list
        self.key_ranges = key_ranges
        self.ttl_s = MIN_TTL_S
        self.answer_count = 0
        self.counted_since = 0.0
        self.preferred_regions: dict[str, str | None] = {}
        self.preferred_regions_cached_at = 0.0

    def record_answer(self, now: float) -> float:
        """Count an answer and return its time to live, in seconds.

        A short TTL lets clients leave a failed proxy soon; it is raised when the query rate would otherwise
        exceed TARGET_ANSWERS_PER_S.

        Args:
            now: monotonic time of this process, in seconds.
        """
        elapsed_s = now - self.counted_since
        if elapsed_s >= RATE_INTERVAL_S:
            required_ttl_s = self.ttl_s * self.answer_count / elapsed_s / TARGET_ANSWERS_PER_S
            self.ttl_s = min(MAX_TTL_S, max(MIN_TTL_S, required_ttl_s))
            self.answer_count = 0
            self.counted_since = now
        self.answer_count += 1
        return min(self.ttl_s, self.plane.node.bounds.ttl_max_s)

    def proxy_addresses(self, host: str, region: str, zone: str) -> list[str]:
        """Return the addresses of the proxies that a client should use for a host.

        Args:
            host: the host that the client will request.
            region: region of the client; "" if unknown.
            zone: zone of the client; "" if unknown.

        Returns:
            The proxies in its zone if there are enough, otherwise those in its region if there are enough,
            otherwise all.
        """
        preferred_region = self._cached_preferred_region(host)
        if preferred_region is not None and region != preferred_region:
            # The requests are served there anyway; a proxy in that region saves a second inter-region hop.
            if region not in (self.key_ranges.home_regions(host) or ()):
                region = preferred_region
                zone = ""
        proxies = [
            member for member in self.member_list.alive(ROLE_PROXY) if member.ready and member.state == ALIVE
        ]
        nearest = self._nearest(proxies, region, zone)
        return [member.listen_addresses[CLIENT_LISTENER] for member in nearest][:MAX_ADDRESSES]

    @staticmethod
    def _nearest(proxies: list[Member], region: str, zone: str) -> list[Member]:
        in_zone = [member for member in proxies if member.zone == zone]
        if len(in_zone) >= MIN_NEARBY_PROXIES:
            return in_zone
        in_region = [member for member in proxies if member.region == region]
        if len(in_region) >= MIN_NEARBY_PROXIES:
            return in_region
        return proxies

    def _cached_preferred_region(self, host: str) -> str | None:
        """Return `preferred_region`, cached for REGION_CACHE_S."""
        now = self.runtime.now()
        if now - self.preferred_regions_cached_at > REGION_CACHE_S:
            self.preferred_regions = {}
            self.preferred_regions_cached_at = now
        if host not in self.preferred_regions:
            self.preferred_regions[host] = self.preferred_region(host)
        return self.preferred_regions[host]

    def preferred_region(self, host: str) -> str | None:
        """Return the region to which all clients of a host are directed; None if each uses its own."""
        homes = self.key_ranges.home_regions(host)
        if homes is None:
            return None
        known_routes = self.plane.routes
        routes = known_routes.hosts.get(host.lower(), ()) if known_routes else ()
        if homes and all(route.home_regions for route in routes):
            return sorted(homes)[0]
        services = {service for route in routes if not route.home_regions for service, _ in route.services}
        key_regions = [self.key_ranges.key_region(service) for service in services]
        regions = {key_region.region for key_region in key_regions if key_region.share >= MIN_KEY_SHARE}
        return regions.pop() if len(regions) == 1 else None
