"""Selection of endpoints by the state received from the control plane."""

import time
import unittest
from unittest import mock

import gevent.socket

from flintreach.config.settings import TimingBounds
from flintreach.proxy.balancing import NS_PER_S
from flintreach.proxy.connection import Connection
from flintreach.proxy.exchange import ExchangeOptions, exchange
from flintreach.proxy.outcome import OutcomeKind
from flintreach.proxy.view import RoutingView
from tests.proxy.support import configuration, endpoint_update, routing_view


def candidates(view: RoutingView, key: int | None = None) -> list[str]:
    """Returns the ids of the endpoints that may serve a request with this key."""
    route = view.routes.all[0]
    return sorted(endpoint.id for endpoint in view.candidates(route, "desk", key, set()))


class Candidates(unittest.TestCase):
    def test_draining_endpoints_and_evacuated_zones_get_no_new_requests(self) -> None:
        view, updates, _ = routing_view(configuration(), {"a": "n", "b": "n", "c": "s"})
        updates.offer("hut/a", [2, 0], endpoint_update("n", 0, "closing"))
        self.assertEqual(candidates(view), ["b", "c"])
        updates.offer("evac", 1, {"s": True})
        self.assertEqual(candidates(view), ["b"])
        updates.offer("evac", 2, {"s": False})
        self.assertEqual(candidates(view), ["b", "c"])
        updates.offer("hut/a", [1, 9], endpoint_update("n", 0))  # outdated update is ignored
        self.assertEqual(candidates(view), ["b", "c"])

    def test_an_endpoint_whose_address_can_not_be_used_is_skipped(self) -> None:
        view, updates, _ = routing_view(configuration(), {"a": "n"})
        for address in ("10.0.0.1:none", "10.0.0.1:99999"):
            updates.offer("hut/b", [1, 0], endpoint_update("n", 0) | {"addr": address})
            self.assertEqual(candidates(view), ["a"])
        updates.offer("hut/b", [1, 1], endpoint_update("n", 0))
        self.assertEqual(candidates(view), ["a", "b"])

    def test_a_request_is_not_sent_if_the_endpoint_starts_draining_during_connection_setup(
        self,
    ) -> None:
        view, updates, _ = routing_view(configuration(), {"e0": "n"})
        endpoint = view.endpoints["e0"]
        endpoint_sides = []

        def connect(timeout_s: float) -> Connection:
            updates.offer("hut/e0", [2, 0], endpoint_update("n", 0, "closing"))
            proxy_side, endpoint_side = gevent.socket.socketpair()
            endpoint_sides.append(endpoint_side)
            return Connection(proxy_side)

        terms = ExchangeOptions(
            time.monotonic_ns() + 9 * NS_PER_S, 1.0, may_send=lambda: view.may_send(endpoint)
        )
        with mock.patch.object(endpoint.pool, "connect", connect):
            outcome = exchange(endpoint.pool, b"GET / HTTP/1.1\r\n\r\n", b"", "i", terms)
        self.assertEqual(outcome.kind, OutcomeKind.UNSENT)
        self.assertEqual(endpoint_sides[0].recv(10), b"")

    def test_home_regions_take_precedence(self) -> None:
        view, _, _ = routing_view(configuration(homes=("q",)), {"a": "n", "b": "n", "c": "s"})
        self.assertEqual(candidates(view), ["c"])

    def test_a_leaving_key_owner_is_used_until_its_keys_move_or_its_lease_expires(self) -> None:
        """Guards against excluding a leaving owner at once, which gave 503 for its keys until they moved."""
        view, updates, clock = routing_view(configuration(sharded=True), {"a": "n", "b": "s"})
        updates.offer("bunks/desk", [1, 1], [[0, 99, "a", "held"], [100, 65535, "b", "held"]])
        owners = [candidates(view, key) for key in (0, 99, 100, 65535)]
        self.assertEqual(owners, [["a"], ["a"], ["b"], ["b"]])
        updates.offer("evac", 1, {"n": True})
        self.assertEqual(candidates(view, 5), ["a"])
        clock.now += view.evacuation_terms.send_window_ns
        self.assertEqual(candidates(view, 5), [])
        updates.offer("bunks/desk", [1, 2], [[0, 65535, "b", "held"]])
        self.assertEqual(candidates(view, 5), ["b"])
        updates.offer("hut/b", [2, 0], endpoint_update("s", 1, "closing"))
        self.assertEqual(candidates(view, 5), ["b"])
        clock.now += view.departure_terms.send_window_ns
        self.assertEqual(candidates(view, 5), [])
        bounds = TimingBounds()
        self.assertLess(view.departure_terms.send_window_ns, bounds.last_call_ms * 1e6)
        self.assertLess(view.evacuation_terms.send_window_ns, bounds.evacuate_ms * 1e6)

    def test_endpoints_of_a_zone_warm_up_after_its_evacuation_ends(self) -> None:
        config = configuration().replace(b'"sharded":false', b'"sharded":false,"cold_s":3')
        view, updates, clock = routing_view(config, {"a": "n", "c": "s"})
        updates.offer("evac", 1, {"s": True})
        updates.offer("evac", 2, {"s": False})
        self.assertEqual(view.endpoints["c"].warming_up_until, clock.now + 3 * NS_PER_S)
        self.assertIsNone(view.endpoints["a"].warming_up_until)


if __name__ == "__main__":
    unittest.main()
