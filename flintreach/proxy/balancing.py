"""Load balancing: endpoint selection, idle timeouts of connections and the hedging delay.

Pure functions without clock or I/O.  `view` lists the endpoints that may serve a request; `forwarding`
selects one of them here.

Times are nanoseconds of this process's monotonic clock.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from flintreach.proxy.endpoint import EndpointView

NS_PER_S = 1_000_000_000

# Costs, as fractions of the route's latency target.
OTHER_REGION_COST = 0.5  # acceptable extra wait for an endpoint in the same region
OTHER_ZONE_COST = 0.1  # acceptable extra wait for an endpoint in the same zone
OTHER_SUBSET_COST = 0.05  # outside this proxy's subset, where the load is known less precisely
OUTSIDE_ASSIGNMENT_COST = 0.25  # not assigned to the slice: receives only overflow
NEW_CONNECTION_COST = 0.05  # no idle connection: a handshake is needed, on a link that carries traffic
UNRESPONSIVE_COST = 2  # no response for long: a host without power sends no error

# Cost of load within the concurrency limit, as a fraction of the average latency.
LOAD_COST = 0.25

# Upper limit of the random cost, as a fraction of the average latency, and parameters of its spread over
# endpoints.
MAX_RANDOM_COST = 0.1
RANDOM_SPREAD_START = 7
RANDOM_SPREAD_STEP = 0.618

# Ejection time of an endpoint that has reached its connection limit.
EJECTION_CONNECTION_LIMIT_NS = NS_PER_S // 20

# Fractions of an endpoint's connection limit for idle connections: of all proxies, and of the proxies that
# have the endpoint in their subset.
IDLE_FRACTION = 0.6
SUBSET_IDLE_FRACTION = 0.3

# Fraction of the allowed excess over the slow start rate; it covers one extra request from each sender.
WARM_UP_EXCESS_FRACTION = 0.6

# A response is slow after this multiple of the average latency, clamped to these fractions of the latency
# target.
SLOW_LATENCY_FACTOR = 3
HEDGE_MIN_FRACTION = 0.3
HEDGE_MAX_FRACTION = 0.6

# Fraction of the latency target for which a request waits while the ownership of its key moves.
KEY_MOVE_WAIT_FRACTION = 0.15

# Fraction of the retry budget that hedged requests may use.
HEDGE_BUDGET_FRACTION = 0.5


class SubsetIndex(NamedTuple):
    """Position of a proxy among the proxies of its zone: its `index`, from 0, and their `count`."""

    index: int
    count: int


@dataclass(slots=True)
class FleetPosition:
    """Position of this proxy among all proxies.

    Attributes:
        zone: failure domain of this proxy.
        region: region of that zone.
        proxies: number of proxies, including this one.
        ranks: proxy name -> its index when proxies are sorted by name.
        name: name of this proxy.
        zone_index: position among the proxies of the zone.
        zones: number of zones that have proxies.
    """

    zone: str
    region: str
    proxies: int = 1
    ranks: dict[str, int] = field(default_factory=dict)
    name: str = ""
    zone_index: SubsetIndex = SubsetIndex(0, 1)
    zones: int = 1


def max_warm_up_senders(rate_per_s: float, excess: float, slack: float, proxies: int) -> int:
    """Returns how many proxies may send to one endpoint that is warming up.

    In any one-second window, each sender may exceed its share of the rate by at most one request.

    Args:
        rate_per_s: request rate that the service's configuration allows during slow start.
        excess: factor by which the bounds allow that rate to be exceeded.
        slack: number of requests in any second that the bounds allow in addition.
        proxies: number of all proxies.
    """
    allowed_excess = rate_per_s * (excess - 1) + slack
    return max(1, min(proxies, int(WARM_UP_EXCESS_FRACTION * allowed_excess)))


def assign_subsets(endpoints: Iterable[EndpointView], index: int, proxies: int) -> None:
    """Sets `EndpointView.in_subset` for this proxy's subset of the endpoints of each service and zone.

    A proxy knows its own load on an endpoint immediately but learns of other proxies' load with a delay:
    without subsets, all proxies would pick the same endpoints.  The subset is only a preference; requests
    that it cannot take go to other endpoints.

    Args:
        endpoints: all endpoints.
        index: index of this proxy among those of its zone, from 0.
        proxies: number of proxies in its zone.

    Source: B. Beyer et al., "Site Reliability Engineering" (2016), chapter 20, "Deterministic Subsetting".
    """
    groups: dict[tuple[str, str], list[EndpointView]] = {}
    for endpoint in endpoints:
        groups.setdefault((endpoint.service, endpoint.zone), []).append(endpoint)
    for (service, zone), group in groups.items():
        group.sort(key=lambda endpoint: endpoint.id)
        # Groups start at different proxies; otherwise the first proxy would get the remainder of every group.
        start = zlib.crc32(f"{service} {zone}".encode())
        for place, endpoint in enumerate(group, start):
            endpoint.in_subset = proxies <= 1 or place % proxies == index


def may_send_while_warming_up(
    position: FleetPosition,
    endpoint_id: str,
    rate_per_s: float,
    last_sent_at: int | None,
    now_ns: int,
    senders: int,
) -> bool:
    """Returns whether this proxy may send to an endpoint that is in slow start.

    A limited number of proxies are senders for each endpoint, each at an equal share of the allowed rate.

    Args:
        position: position of this proxy.
        endpoint_id: id of the endpoint.
        rate_per_s: request rate allowed from all proxies together; 0 or less means no limit.
        last_sent_at: when this proxy last sent to it during slow start, None if never.
        now_ns: current time.
        senders: number of proxies that may send to it (`max_warm_up_senders`).
    """
    if rate_per_s <= 0:
        return True
    rank = position.ranks.get(position.name, 0)
    slot = (rank + zlib.crc32(endpoint_id.encode())) % max(1, position.proxies)
    if slot >= senders:
        return False
    return last_sent_at is None or now_ns - last_sent_at >= senders * NS_PER_S / rate_per_s


def idle_timeout_ns(
    endpoint: EndpointView,
    position: FleetPosition,
    connection_limit: int,
    max_idle_ns: int,
    sole_owner: bool = False,
) -> int:
    """Returns how long a connection to an endpoint may stay idle.

    The timeout keeps the connections of all proxies together within the endpoint's connection limit.  One
    proxy in each zone has the endpoint in its subset and keeps a pool of idle connections to it; the proxy in
    the endpoint's own zone keeps the most.  Other connections, and all connections to a sole owner of keys,
    stay open for the returned time after each use: by Little's law, the request rate of all proxies
    multiplied by this time is the number of connections they hold.

    Args:
        endpoint: the endpoint; its `pool` must be set if it is in the subset.
        position: position of this proxy.
        connection_limit: number of connections that the endpoint accepts.
        max_idle_ns: upper limit of the timeout.
        sole_owner: whether the endpoint is the only owner of its keys, so that all proxies need it.
    """
    if endpoint.in_subset and not sole_owner:
        idle_limit = SUBSET_IDLE_FRACTION * connection_limit
        if endpoint.zone != position.zone:
            idle_limit = idle_limit // max(1, position.zones - 1)
        return max_idle_ns if len(endpoint.pool.idle) < max(1, idle_limit) else 0
    connections_per_proxy = IDLE_FRACTION * connection_limit / max(1, position.proxies)
    return min(max_idle_ns, int(connections_per_proxy * endpoint.send_interval_ns))


def hedging_delay_ns(latency_target_ns: int, average_latency_ns: int) -> int:
    """Returns how long to wait for a response before sending a hedged request.

    After twice this time without a response, `choose_endpoint` treats an endpoint as unresponsive.
    """
    slow_after_ns = min(HEDGE_MAX_FRACTION * latency_target_ns, SLOW_LATENCY_FACTOR * average_latency_ns)
    return int(max(HEDGE_MIN_FRACTION * latency_target_ns, slow_after_ns))


def cost_ns(
    endpoint: EndpointView,
    position: FleetPosition,
    latency_target_ns: int,
    average_latency_ns: int,
    now_ns: int,
) -> float:
    """Returns the expected cost of sending to an endpoint, in nanoseconds of latency.

    Args:
        endpoint: the endpoint.
        position: position of this proxy.
        latency_target_ns: latency target of the route.
        average_latency_ns: average latency of the service's requests.
        now_ns: current time.
    """
    cost: float = 0
    if endpoint.zone != position.zone:
        same_region = endpoint.region == position.region
        cost = (OTHER_ZONE_COST if same_region else OTHER_REGION_COST) * latency_target_ns
    if not endpoint.in_subset:
        cost += OTHER_SUBSET_COST * latency_target_ns
    if endpoint.pool is not None and not endpoint.pool.idle:
        cost += NEW_CONNECTION_COST * latency_target_ns
    load = endpoint.estimated_load(now_ns)
    limit = endpoint.concurrency_limit
    queued = load + 1 - limit
    queueing = queued / limit * average_latency_ns if queued > 0 else 0.0
    return cost + queueing + LOAD_COST * average_latency_ns * load / limit


def choose_endpoint(
    endpoints: Iterable[EndpointView],
    position: FleetPosition,
    latency_target_ns: int,
    average_latency_ns: int,
    now_ns: int,
    warm_up_rate_per_s: float,
    warm_up_senders: int,
    random_fraction: float,
    assigned: frozenset[str] | None = None,
) -> EndpointView | None:
    """Returns the endpoint with the lowest cost among those that are not ejected or limited by slow start.

    Args:
        endpoints: endpoints that may serve the request.
        position: position of this proxy.
        latency_target_ns: latency target of the route.
        average_latency_ns: average latency of the service's requests.
        now_ns: current time.
        warm_up_rate_per_s: request rate from all proxies that an endpoint may receive during slow start.
        warm_up_senders: number of proxies that may send to such an endpoint.
        random_fraction: random number from 0 to 1, drawn for this call.
        assigned: ids of the endpoints assigned to the slice; None or empty means no preference.

    Returns:
        The endpoint, or None if none may be used.
    """
    best: EndpointView | None = None
    lowest_cost = 0.0
    unresponsive_after_ns = 2 * hedging_delay_ns(latency_target_ns, average_latency_ns)
    for place, endpoint in enumerate(endpoints):
        # Reads the fields directly: this runs for each endpoint on each attempt, where call overhead matters.
        ejected_until = endpoint.ejected_until
        if ejected_until is not None and ejected_until > now_ns:
            continue
        warming_up_until = endpoint.warming_up_until
        if warming_up_until is not None and warming_up_until > now_ns:
            last_sent_at = endpoint.warm_up_sent_at
            if not may_send_while_warming_up(
                position, endpoint.id, warm_up_rate_per_s, last_sent_at, now_ns, warm_up_senders
            ):
                continue
        cost = cost_ns(endpoint, position, latency_target_ns, average_latency_ns, now_ns)
        # A small random cost keeps proxies with identical views from choosing the same endpoint.
        spread = (random_fraction * (place + RANDOM_SPREAD_START) * RANDOM_SPREAD_STEP) % 1
        cost += MAX_RANDOM_COST * average_latency_ns * spread
        if assigned and endpoint.id not in assigned:
            cost += OUTSIDE_ASSIGNMENT_COST * latency_target_ns
        unanswered_since = endpoint.unanswered_since
        if unanswered_since is not None and now_ns - unanswered_since > unresponsive_after_ns:
            cost += UNRESPONSIVE_COST * latency_target_ns
        if best is None or cost < lowest_cost:
            best = endpoint
            lowest_cost = cost
    return best
