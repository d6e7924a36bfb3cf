"""Load balancing decisions."""

import unittest
from typing import Any

from flintreach.proxy.balancing import (
    NS_PER_S,
    FleetPosition,
    assign_subsets,
    choose_endpoint,
    hedging_delay_ns,
    idle_timeout_ns,
    max_warm_up_senders,
    may_send_while_warming_up,
)
from flintreach.proxy.connection import ConnectionPool
from flintreach.proxy.endpoint import EndpointView


def endpoint_view(endpoint_id: str, zone: str = "a", region: str = "r", **fields: Any) -> EndpointView:
    """Returns an endpoint with a concurrency limit of 2."""
    return EndpointView(endpoint_id, "desk", "10.0.0.1:80", zone, region, 2, **fields)


class EndpointChoice(unittest.TestCase):
    def test_the_nearest_endpoint_that_is_not_busy_unresponsive_or_ejected_is_chosen(self) -> None:
        position = FleetPosition("a", "r")
        latency_target = NS_PER_S
        average_latency = NS_PER_S // 8
        now = 10 * NS_PER_S
        near = endpoint_view("n")
        other_zone = endpoint_view("x", "b")
        other_region = endpoint_view("f", "c", "s")
        busy = endpoint_view("b", own_requests=4)
        unresponsive = endpoint_view("d", own_requests=1, unanswered_since=now - 2 * NS_PER_S)
        ejected = endpoint_view("s", ejected_until=now + 1)
        cases = [
            ([other_region, other_zone, near], near),
            ([busy, other_zone], other_zone),
            ([busy, other_region], busy),
            ([unresponsive, other_region], other_region),
            ([ejected, other_region], other_region),
            ([ejected], None),
            ([unresponsive], unresponsive),
        ]
        for endpoints, expected in cases:
            self.assertIs(
                choose_endpoint(endpoints, position, latency_target, average_latency, now, 0.0, 1, 0.5),
                expected,
                [endpoint.id for endpoint in endpoints],
            )
        assigned = frozenset(["x"])
        self.assertIs(
            choose_endpoint(
                [near, other_zone], position, latency_target, average_latency, now, 0.0, 1, 0.5, assigned
            ),
            other_zone,
        )

    def test_the_hedging_delay_follows_the_average_latency_within_limits(self) -> None:
        self.assertEqual(
            [hedging_delay_ns(1000, average_latency) for average_latency in (10, 150, 900)], [300, 450, 600]
        )


class Subsets(unittest.TestCase):
    def test_proxies_of_a_zone_divide_its_endpoints_evenly(self) -> None:
        for proxies in (1, 2, 3, 5):
            endpoints = [
                [endpoint_view(f"e{i}", zone="ab"[i % 2]) for i in range(11)] for _ in range(proxies)
            ]
            for index in range(proxies):
                assign_subsets(endpoints[index], index, proxies)
            owners = [sum(endpoints[index][i].in_subset for index in range(proxies)) for i in range(11)]
            self.assertEqual(owners, [1] * 11)
            sizes = [sum(endpoint.in_subset for endpoint in row) for row in endpoints]
            self.assertLessEqual(max(sizes) - min(sizes), 2)


class WarmUp(unittest.TestCase):
    def test_the_rate_to_an_endpoint_in_slow_start_is_limited_over_all_proxies(self) -> None:
        for proxies, rate, excess, slack in ((12, 3.6, 1.5, 5), (80, 5, 1.5, 8), (2, 19, 1, 2), (1, 1, 1, 0)):
            senders = max_warm_up_senders(rate, excess, slack, proxies)
            names = [f"f{i}" for i in range(proxies)]
            ranks = dict(zip(names, range(proxies)))
            positions = [FleetPosition("a", "r", proxies, ranks, name) for name in names]
            last_sent_at = dict.fromkeys(names, -NS_PER_S * 9)
            sent = []
            for now_ms in range(0, 3000, 5):
                now = now_ms * NS_PER_S // 1000
                for position in positions:
                    if may_send_while_warming_up(
                        position, "i-77", rate, last_sent_at[position.name], now, senders
                    ):
                        last_sent_at[position.name] = now
                        sent.append(now)
            most = max(sum(at <= other < at + NS_PER_S for other in sent) for at in sent)
            self.assertLessEqual(most, rate * excess + slack + (not slack), (proxies, rate))
            self.assertGreater(len(sent), 0)


class IdleConnections(unittest.TestCase):
    def test_idle_connections_of_all_proxies_stay_within_the_connection_limit(self) -> None:
        limit = 48
        proxies = 67
        longest = 4 * NS_PER_S
        position = FleetPosition("a", "r", proxies=proxies)
        for per_s in (0.02, 0.15, 1.0, 6.0):  # requests per second of each proxy to a sole owner of keys
            endpoint = endpoint_view("e", in_subset=False)
            now = 0
            for _ in range(200):
                now += int(NS_PER_S / per_s)
                endpoint.begin_request(now)
                endpoint.end_request(True, now)
            connections = proxies * per_s * idle_timeout_ns(endpoint, position, limit, longest) / NS_PER_S
            self.assertLessEqual(connections, 0.65 * limit)

    def test_idle_connections_to_the_subset_are_kept_most_in_the_own_zone(self) -> None:
        limit = 48
        longest = 4 * NS_PER_S
        position = FleetPosition("a", "r", proxies=67, zones=6)
        near = endpoint_view("e", pool=ConnectionPool("10.0.0.1:80"))
        self.assertEqual(idle_timeout_ns(near, position, limit, longest), longest)
        self.assertLess(idle_timeout_ns(near, position, limit, longest, sole_owner=True), longest)
        other_zone = endpoint_view("e", zone="b", pool=ConnectionPool("10.0.0.1:80"))
        other_zone.pool.idle = [None] * 2
        self.assertEqual(idle_timeout_ns(near, position, limit, longest), longest)
        self.assertEqual(idle_timeout_ns(other_zone, position, limit, longest), 0)
        near.pool.idle = [None] * 15
        self.assertEqual(idle_timeout_ns(near, position, limit, longest), 0)


if __name__ == "__main__":
    unittest.main()
