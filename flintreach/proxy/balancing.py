"""Load balancing: which endpoint gets an attempt, and how long connections and answers are waited for.  Pure.

Nothing here reads a clock, a socket or a name of a deployment.  `view` lists the endpoints that may serve a
request, `forwarding` asks for one of them.

Times are nanoseconds of this process's steady clock.
"""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from flintreach.proxy.endpoint import EndpointView

NS_PER_S = 1_000_000_000

# Costs, in parts of the route's latency target.
OTHER_REGION_COST = 0.5  # what the way to another region is worth waiting for nearer
OTHER_ZONE_COST = 0.1  # the same of another zone
OTHER_SUBSET_COST = 0.05  # an endpoint in another proxy's subset; the load of one's own is known best
OUTSIDE_ASSIGNMENT_COST = 0.25  # an endpoint the slice isn't assigned to: it takes what the others can't
NEW_CONNECTION_COST = 0.05  # no connection to it stands yet, and the link is in use
UNRESPONSIVE_COST = 2  # it has been silent for long: a machine without power says nothing

# Cost of a load within the concurrency limit, in parts of the usual work.
LOAD_COST = 0.25

# Greatest random part of the cost, in parts of the usual work, and how it is spread over the endpoints.
MAX_RANDOM_COST = 0.1
RANDOM_SPREAD_START = 7
RANDOM_SPREAD_STEP = 0.618

# Out of use for so long: an endpoint that takes no further connection at present.
EJECTION_CONNECTION_LIMIT_NS = NS_PER_S // 20

# Parts of the connections that an endpoint accepts: idle ones of all; of proxies with it in their subset.
IDLE_FRACTION = 0.6
SUBSET_IDLE_FRACTION = 0.3

# Part of what the rules allow above an endpoint's rate in slow start, for one request of each proxy.
WARM_UP_EXCESS_FRACTION = 0.6

# An endpoint is slow after so many times its usual work, within these parts of the latency target.
SLOW_LATENCY_FACTOR = 3
HEDGE_MIN_FRACTION = 0.3
HEDGE_MAX_FRACTION = 0.6

# Part of the latency target for which a request waits for keys that are between two owners.
KEY_MOVE_WAIT_FRACTION = 0.15

# Part of the retry budget that may go to hedged requests.
HEDGE_BUDGET_FRACTION = 0.5


class SubsetIndex(NamedTuple):
    """A proxy's place among the proxies of its zone: its `index`, from 0, and their `count`."""

    index: int
    count: int


@dataclass(slots=True)
class FleetPosition:
    """Where this proxy is, and how many proxies carry traffic beside it.

    Attributes:
        zone: its failure domain.
        region: region of that zone.
        proxies: number of proxies, this one included.
        ranks: name of a proxy -> its place in the order of names.
        name: name of this proxy.
        zone_index: its place among the proxies of its zone.
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
    """How many proxies may send to one endpoint that is warming up.

    In any second each of them sends at most one request beyond its share of the rate.

    Args:
        rate_per_s: requests that the service's configuration allows such an endpoint.
        excess: factor by which the rules allow that rate to be exceeded.
        slack: requests in any second that the rules allow beyond it.
        proxies: number of all proxies.
    """
    allowed_excess = rate_per_s * (excess - 1) + slack
    return max(1, min(proxies, int(WARM_UP_EXCESS_FRACTION * allowed_excess)))


def assign_subsets(endpoints: Iterable[EndpointView], index: int, proxies: int) -> None:
    """Mark this proxy's subset of the endpoints of each service and zone (`EndpointView.in_subset`).

    A proxy knows the load that it brings at once, and that of others late: where all choose among all, they
    choose the same ones.  The subset is a preference alone; what it can't take goes to the others.

    Args:
        endpoints: all endpoints.
        index: place of this proxy among those of its zone, from 0.
        proxies: number of the proxies of its zone.

    Source: B. Beyer et al., "Site Reliability Engineering" (2016), chapter 20, "Deterministic Subsetting".
    """
    groups: dict[tuple[str, str], list[EndpointView]] = {}
    for endpoint in endpoints:
        groups.setdefault((endpoint.service, endpoint.zone), []).append(endpoint)
    for (service, zone), group in groups.items():
        group.sort(key=lambda endpoint: endpoint.id)
        # Groups start at different proxies, lest the first proxy has one more endpoint of each.
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
    """Whether this proxy may send to an endpoint that is warming up: some do, so seldom that their sum holds.

    Args:
        position: this proxy's.
        endpoint_id: the endpoint.
        rate_per_s: requests that it may get from all proxies together; 0 or less: no limit.
        last_sent_at: when this proxy last sent to it while it was warming up, None if never.
        now_ns: steady clock.
        senders: how many proxies may (`max_warm_up_senders`).
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
    """How long a connection to an endpoint may lie idle, lest those of all proxies fill what it accepts.

    Each zone has one proxy with the endpoint in its subset: these are its main users, and keep some
    connections, the one of the endpoint's own zone the most.  Those of others, and those to a sole owner of
    keys, stay open for the time returned at each use: the uses of all proxies times it are the connections
    they hold.

    Args:
        endpoint: the endpoint; its `pool` must be set if it is in the subset.
        position: this proxy's.
        connection_limit: connections that the endpoint accepts.
        max_idle_ns: the longest time that any connection may lie idle.
        sole_owner: whether it alone owns its keys, so that all proxies need it.
    """
    if endpoint.in_subset and not sole_owner:
        idle_limit = SUBSET_IDLE_FRACTION * connection_limit
        if endpoint.zone != position.zone:
            idle_limit = idle_limit // max(1, position.zones - 1)
        return max_idle_ns if len(endpoint.pool.idle) < max(1, idle_limit) else 0
    connections_per_proxy = IDLE_FRACTION * connection_limit / max(1, position.proxies)
    return min(max_idle_ns, int(connections_per_proxy * endpoint.send_interval_ns))


def hedging_delay_ns(latency_target_ns: int, average_latency_ns: int) -> int:
    """How long an answer may take before a hedged request is sent, or the endpoint is doubted."""
    slow_after_ns = min(HEDGE_MAX_FRACTION * latency_target_ns, SLOW_LATENCY_FACTOR * average_latency_ns)
    return int(max(HEDGE_MIN_FRACTION * latency_target_ns, slow_after_ns))


def cost_ns(
    endpoint: EndpointView,
    position: FleetPosition,
    latency_target_ns: int,
    average_latency_ns: int,
    now_ns: int,
) -> float:
    """What sending to an endpoint is expected to cost, in nanoseconds of waiting.

    Args:
        endpoint: the endpoint.
        position: this proxy's.
        latency_target_ns: the route's.
        average_latency_ns: how long the service's requests usually take.
        now_ns: steady clock.
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
    """The endpoint for an attempt: the cheapest of those that are neither ejected nor in too slow a start.

    Args:
        endpoints: those that may serve the request.
        position: this proxy's.
        latency_target_ns: the route's.
        average_latency_ns: how long the service's requests usually take.
        now_ns: steady clock.
        warm_up_rate_per_s: requests that an endpoint gets from all proxies while it is warming up.
        warm_up_senders: how many proxies may send to such an endpoint.
        random_fraction: a random number from 0 to 1, drawn for this choice.
        assigned: ids of the endpoints that the slice is assigned to; None or empty: no preference.

    Returns:
        The endpoint, or None where none may be used.
    """
    best: EndpointView | None = None
    lowest_cost = 0.0
    unresponsive_after_ns = 2 * hedging_delay_ns(latency_target_ns, average_latency_ns)
    for place, endpoint in enumerate(endpoints):
        # Field by field: calls would count here, for each endpoint of each attempt.
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
        # A little chance keeps proxies that see the same from all doing the same.
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
