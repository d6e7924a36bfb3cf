"""The directory: which proxies a client of a host is to use, and for how long.

Clients ask a controller (`http_api`, the call "resolve") and come back when the answer is over. They are sent
to proxies near them, or to those of the region in which a host's keys lie.
"""

from typing import Protocol

from flintreach.common.keys import ROLE_PROXY
from flintreach.config.routing import Routes
from flintreach.config.settings import ProcessSettings
from flintreach.controller.key_ranges import KeyRanges
from flintreach.membership.member_list import ALIVE, Member, MemberList
from flintreach.transport.runtime import Runtime

SHORTEST_TTL_S = 0.5
LONGEST_TTL_S = 1.5
ANSWERS_PER_S = 300  # of one controller, beyond which answers are to hold for longer
RATE_INTERVAL_S = 1.0  # over which the answers are counted
MOST_KEYS = 0.8  # part of a service's keys in one region, for its clients to be sent there
CLIENT_REGION_S = 0.5  # for which the region of a host's clients is kept
FEWEST_PROXIES = 2  # nearby, for a client to be sent to these alone
MOST_ADDRESSES = 64  # in one answer
FRONT_POST = "front"  # where a proxy takes requests, in the list of members


class DirectoryPlane(Protocol):
    """What `Directory` uses of `control_plane.ControlPlane`."""

    runtime: Runtime
    member_list: MemberList
    node: ProcessSettings
    routes: Routes | None


class Directory:
    """Answers of one controller to clients that look for a proxy.

    Attributes:
        ttl_s: seconds for which an answer holds, before the limit that the settings set.
        answer_count: answers since `counted_since`, a time of the steady clock.
        client_regions: host -> the region of its clients, None for each client's own.
        client_regions_at: when these were last dropped.
    """

    def __init__(self, plane: DirectoryPlane, key_ranges: KeyRanges) -> None:
        """Answer by what `plane` knows of proxies, and `key_ranges` of where keys lie."""
        self.plane = plane
        self.runtime = plane.runtime
        self.member_list = plane.member_list
        self.key_ranges = key_ranges
        self.ttl_s = SHORTEST_TTL_S
        self.answer_count = 0
        self.counted_since = 0.0
        self.client_regions: dict[str, str | None] = {}
        self.client_regions_at = 0.0

    def record_answer(self, now: float) -> float:
        """Count an answer, and tell for how many seconds it holds.

        So short that clients soon leave a proxy without power; longer where so many ask that answering would
        cost more than that is worth.

        Args:
            now: steady clock of this process, in seconds.
        """
        elapsed_s = now - self.counted_since
        if elapsed_s >= RATE_INTERVAL_S:
            wanted_s = self.ttl_s * self.answer_count / elapsed_s / ANSWERS_PER_S
            self.ttl_s = min(LONGEST_TTL_S, max(SHORTEST_TTL_S, wanted_s))
            self.answer_count = 0
            self.counted_since = now
        self.answer_count += 1
        return min(self.ttl_s, self.plane.node.bounds.ttl_max_s)

    def proxy_addresses(self, host: str, region: str, zone: str) -> list[str]:
        """Addresses of the proxies that a client of a host is to use.

        Args:
            host: that the client will name.
            region: the client's; "" where it tells none.
            zone: the client's; "" where it tells none.

        Returns:
            Those of its zone, of its region, or all: the first of these that are enough.
        """
        client_region = self._client_region(host)
        if client_region is not None and region != client_region:
            # The requests end there anyway: a proxy of that region brings them on without another long way.
            if region not in (self.key_ranges.home_regions(host) or ()):
                region = client_region
                zone = ""
        proxies = [
            member for member in self.member_list.alive(ROLE_PROXY) if member.ready and member.state == ALIVE
        ]
        nearest = self._nearest(proxies, region, zone)
        return [member.listen_addresses[FRONT_POST] for member in nearest][:MOST_ADDRESSES]

    @staticmethod
    def _nearest(proxies: list[Member], region: str, zone: str) -> list[Member]:
        in_zone = [member for member in proxies if member.zone == zone]
        if len(in_zone) >= FEWEST_PROXIES:
            return in_zone
        in_region = [member for member in proxies if member.region == region]
        if len(in_region) >= FEWEST_PROXIES:
            return in_region
        return proxies

    def _client_region(self, host: str) -> str | None:
        """As `client_region`, looked up now and then."""
        now = self.runtime.now()
        if now - self.client_regions_at > CLIENT_REGION_S:
            self.client_regions = {}
            self.client_regions_at = now
        if host not in self.client_regions:
            self.client_regions[host] = self.client_region(host)
        return self.client_regions[host]

    def client_region(self, host: str) -> str | None:
        """The region to which all clients of a host are sent; None: each to its own."""
        homes = self.key_ranges.home_regions(host)
        if homes is None:
            return None
        known_routes = self.plane.routes
        routes = known_routes.hosts.get(host.lower(), ()) if known_routes else ()
        if homes and all(route.home_regions for route in routes):
            return sorted(homes)[0]
        services = {service for route in routes if not route.home_regions for service, _ in route.services}
        key_regions = [self.key_ranges.key_region(service) for service in services]
        regions = {key_region.region for key_region in key_regions if key_region.share >= MOST_KEYS}
        return regions.pop() if len(regions) == 1 else None
