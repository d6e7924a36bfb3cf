"""Tests of subscriptions, snapshots and tombstones: stores converge and stay equal."""

import unittest
from collections.abc import Callable, Iterable
from typing import Any
from unittest import mock

import msgspec

from flintreach.config.settings import TimingBounds
from flintreach.dissemination.relay import FRESHNESS_POLL_S, STALE_AFTER_S, Relay, Subscription
from flintreach.dissemination.versioned_store import (
    BUCKETS,
    MAX_PORTION_BYTES,
    MAX_PORTION_ROWS,
    SNAPSHOT_AFTER_S,
    TOMBSTONE_HORIZON_S,
    UpdateRow,
    VersionedStore,
)
from flintreach.proxy.balancing import FleetPosition
from flintreach.proxy.view import RoutingView
from flintreach.transport.peer_connection import ConnectionClosed, MessageHandlers

encode = msgspec.msgpack.encode
decode = msgspec.msgpack.decode


class ManualRuntime:
    """A runtime with a manually advanced clock and connections to relays by name.

    `at`: monotonic clock in seconds; `links`: all connections that were dialled.
    """

    def __init__(self) -> None:
        self.at = 1000.0
        self.relays: dict[str, Relay] = {}
        self.links: list[InstantConnection] = []

    def now(self) -> float:
        return self.at

    def now_ns(self) -> int:
        return int(self.at * 1e9)

    def add_store(self, name: str) -> VersionedStore:
        """Create a store with a relay that responds at the address `name`."""
        updates = VersionedStore(self.now)
        self.relays[name] = Relay(mock.Mock(handlers={}, runtime=self), updates)
        return updates

    def dial(self, address: str, handlers: MessageHandlers, timeout: float) -> "InstantConnection":
        self.links.append(InstantConnection(self, self.relays[address], handlers))
        return self.links[-1]


class InstantConnection:
    """A connection to a relay that delivers messages immediately.

    `delay_s`: seconds that a response takes; `cut`: whether responses are lost; `age_s`: age of the relay's
    updates; `requests`: kinds of the requests; `sizes`: bytes of the bodies of requests and responses.
    """

    def __init__(self, runtime: ManualRuntime, relay: Relay, handlers: MessageHandlers) -> None:
        self.runtime = runtime
        self.relay = relay
        self.handlers = handlers
        self.on_close: list[Callable[[Any], None]] = []
        self.closed = False
        self.age_s = 0.0
        self.delay_s = 0.0
        self.cut = False
        self.requests: list[str] = []
        self.sizes: list[int] = []

    def ask(self, kind: str, body: Any, timeout: float) -> Any:
        if self.cut:
            self.runtime.at += timeout
            raise ConnectionClosed
        self.relay.root_age = lambda: self.age_s
        answer = self.relay.peer_pool.handlers[kind](self, decode(encode(body)))
        self.runtime.at += self.delay_s
        self.requests.append(kind)
        self.sizes += [len(encode(body)), len(encode(answer))]
        return decode(encode(answer))

    def send(self, kind: str, body: Any) -> None:
        self.handlers[kind](self, decode(encode(body)))

    def close(self) -> None:
        self.closed = True
        for watcher in self.on_close:
            watcher(self)


def endpoint_update(state: str = "ready", addr: str = "10.0.0.9:80") -> dict[str, Any]:
    """Value of an endpoint's update."""
    return {
        "line": "desk",
        "addr": addr,
        "zone": "north",
        "berths": 2,
        "edition": "v1",
        "state": state,
        "cold": 0,
    }


def dial_with(dial: Callable[..., InstantConnection], **fields: Any) -> Callable[..., InstantConnection]:
    """Wrap `dial` so that it sets fields of the connection."""

    def dial_and_set(*args: Any) -> InstantConnection:
        link = dial(*args)
        for name, value in fields.items():
            setattr(link, name, value)
        return link

    return dial_and_set


class Subscriptions(unittest.TestCase):
    def setUp(self) -> None:
        self.runtime = ManualRuntime()
        self.parent = self.runtime.add_store("parent")
        self.child = VersionedStore(self.runtime.now)

    def subscribe(self, **options: Any) -> tuple[Subscription, InstantConnection]:
        """Subscribe the child to the parent, and return the subscription and its connection."""
        subscription = Subscription(self.runtime, self.child, "parent")
        subscription.begin(**options)
        return subscription, self.runtime.links[-1]

    def test_an_initial_fetch_arrives_in_portions_and_is_fresh_only_after_the_last(self) -> None:
        for number in range(6000):
            self.parent.offer(f"hut/i-{number}", [number, 0], endpoint_update())
        self.parent.offer("timetable", 7, b"x" * 3 * MAX_PORTION_BYTES)
        portions: list[tuple[int, float]] = []  # number of rows, and `fresh_at`

        def apply(portion: Iterable[UpdateRow]) -> None:
            portions.append((len(portion), subscription.fresh_at))
            self.child.apply_rows(portion)

        subscription = Subscription(self.runtime, self.child, "parent", apply)
        subscription.begin()
        self.assertEqual(self.child.entries, self.parent.entries)
        self.assertGreater(len(portions), 12)
        self.assertLessEqual(max(count for count, _ in portions), MAX_PORTION_ROWS)
        self.assertEqual(
            {fresh for _, fresh in portions},
            {portions[0][1]},
            "the subscription was considered fresh before the last portion",
        )
        self.assertEqual(subscription.fresh_at, self.runtime.at)
        sizes = self.runtime.links[-1].sizes
        self.assertLessEqual(sorted(sizes)[-2], MAX_PORTION_BYTES + 1024)
        # A single larger update is sent alone.
        self.assertLess(sorted(sizes)[-1], 3 * MAX_PORTION_BYTES + 1024)

    def test_equal_stores_exchange_only_a_digest_of_fixed_size(self) -> None:
        for number in range(3000):
            for updates in (self.parent, self.child):
                updates.offer(f"hut/i-{number}", [number, 0], endpoint_update())
        subscription, link = self.subscribe()
        self.assertEqual(link.requests, ["follow"])
        self.assertLess(sum(link.sizes), 8 * BUCKETS + 64)
        subscription.close()
        self.parent.offer("hut/i-5", [9, 0], endpoint_update("closing"))
        _, link = self.subscribe()
        self.assertEqual(link.requests, ["follow", "lack"])
        self.assertLess(sum(link.sizes), 8 * BUCKETS + 1024)
        self.assertEqual(self.child.get("hut/i-5")["state"], "closing")

    def test_a_small_store_fits_in_the_first_response_to_an_empty_one(self) -> None:
        for number in range(200):
            self.parent.offer(f"hut/i-{number}", [number, 0], endpoint_update())
        _, link = self.subscribe()
        self.assertEqual((link.requests, self.child.entries), (["follow"], self.parent.entries))

    def test_a_long_fetch_is_followed_by_a_freshness_check(self) -> None:
        for number in range(900):
            self.parent.offer(f"hut/i-{number}", [number, 0], endpoint_update())
        self.runtime.dial = dial_with(self.runtime.dial, delay_s=0.9)
        subscription, link = self.subscribe()
        self.assertEqual(link.requests, ["follow", "lack", "mark"])
        self.assertAlmostEqual(self.runtime.at - subscription.fresh_at, 0.9)

    def test_a_response_buffered_while_the_process_was_suspended_is_not_fresh(self) -> None:
        subscription, link = self.subscribe()
        link.delay_s = 30.0
        subscription.check_freshness()
        self.assertEqual(self.runtime.at - subscription.fresh_at, 30.0)
        self.assertTrue(subscription.is_stale())

    def test_a_connection_cut_in_one_direction_is_detected_in_time(self) -> None:
        subscription, link = self.subscribe()
        for _ in range(8):
            self.runtime.at += FRESHNESS_POLL_S
            subscription.check_freshness()
        link.cut = True
        last_fresh_at = subscription.fresh_at
        self.runtime.at += FRESHNESS_POLL_S
        with self.assertRaises(ConnectionClosed):
            subscription.check_freshness()
        self.assertLessEqual(self.runtime.at - last_fresh_at, STALE_AFTER_S + 1e-6)

    def test_new_updates_are_pushed_until_the_connection_is_closed(self) -> None:
        self.parent.offer("hut/a", [1, 0, 0], endpoint_update())
        subscription, link = self.subscribe()
        self.parent.offer("hut/a", [1, 3, 0], endpoint_update("closing"))
        self.assertEqual(self.child.get("hut/a")["state"], "closing")
        self.parent.offer("hut/a", [2, 3, 0], endpoint_update("gone"), 40.0)
        self.assertEqual(self.child.age("hut/a"), 40.0)
        subscription.close()
        self.parent.offer("hut/b", [0, 1, 0], endpoint_update())
        self.assertEqual(([*self.child.entries], self.runtime.relays["parent"].children), (["hut/a"], {}))
        # This update was still buffered when the connection was closed.
        link.handlers["news"](link, [["hut/c", [0, 1, 0], endpoint_update(), 0.0]])
        self.assertNotIn("hut/c", self.child.entries)

    def test_a_parent_with_stale_updates_is_rejected(self) -> None:
        subscription = Subscription(self.runtime, self.child, "parent")
        self.parent.offer("hut/a", [1, 0], endpoint_update())
        self.runtime.dial = dial_with(self.runtime.dial, age_s=1.5)
        self.assertFalse(subscription.begin(max_age_s=STALE_AFTER_S))
        self.assertFalse(self.child.entries)


class Tombstones(unittest.TestCase):
    def setUp(self) -> None:
        self.runtime = ManualRuntime()
        self.first = self.runtime.add_store("first")
        self.second = self.runtime.add_store("second")

    def synchronize(self, store: VersionedStore, source: VersionedStore, **options: Any) -> None:
        """Subscribe one store to another briefly."""
        name = next(name for name, relay in self.runtime.relays.items() if relay.updates is source)
        subscription = Subscription(self.runtime, store, name)
        subscription.begin(**options)
        subscription.close()

    def test_a_tombstone_expires_after_the_horizon_in_every_store(self) -> None:
        self.first.offer("hut/e", [1, 0], endpoint_update())
        self.synchronize(self.second, self.first)
        self.first.offer("hut/e", [2, 0], endpoint_update("gone"))
        self.runtime.at += TOMBSTONE_HORIZON_S - 1
        self.synchronize(self.second, self.first)  # the second store receives it one second before it expires
        self.assertEqual(self.second.get("hut/e")["state"], "gone")
        self.assertFalse(self.second.offer("hut/e", [1, 0], endpoint_update()))  # an older update is rejected
        self.runtime.at += 1.5
        self.first.expire()
        self.second.expire()
        self.assertEqual((self.first.entries, self.second.entries), ({}, {}))
        self.assertEqual(
            (self.first.digest(), self.first.digest()), (self.second.digest(), bytes(8 * BUCKETS))
        )

    def test_an_expired_tombstone_is_not_accepted_from_a_store_that_still_has_it(self) -> None:
        self.first.offer("hut/e", [1, 2], endpoint_update("gone"))
        self.synchronize(self.second, self.first)
        self.runtime.at += TOMBSTONE_HORIZON_S + 1
        self.first.expire()
        self.synchronize(self.first, self.second)
        self.assertFalse(self.first.entries)

    def test_a_snapshot_drops_updates_whose_tombstones_were_missed(self) -> None:
        """A store without updates for long may miss a tombstone, and would keep the ended update forever."""
        for updates in (self.first, self.second):
            updates.offer("hut/old", [1, 0], endpoint_update())
            updates.offer("hut/both", [1, 0], endpoint_update())
            updates.offer("timetable", 3, b"conf")
        self.second.offer("hut/both", [2, 0], endpoint_update("closing"))
        dropped: list[str] = []
        self.second.drop_watchers.append(dropped.append)
        self.first.offer("hut/old", [1, 2], endpoint_update("gone"))
        self.runtime.at += TOMBSTONE_HORIZON_S + SNAPSHOT_AFTER_S
        self.first.expire()
        self.first.offer("hut/new", [1, 0], endpoint_update())
        self.synchronize(self.second, self.first, take_snapshot=True)
        self.assertEqual(sorted(self.second.entries), ["hut/both", "hut/new", "timetable"])
        self.assertEqual(self.second.get("hut/both")["state"], "closing", "a version must not decrease")
        self.assertEqual(dropped, ["hut/old"])

    def test_updates_received_from_other_sources_during_a_snapshot_are_kept(self) -> None:
        self.first.offer("hut/a", [1, 0], endpoint_update())
        dial = self.runtime.dial

        def dial_with_concurrent_updates(*args: Any) -> InstantConnection:
            link = dial(*args)
            ask = link.ask

            def ask_with_concurrent_updates(kind: str, *rest: Any) -> Any:
                self.second.offer("hut/x", [1, 0], endpoint_update())
                link.handlers["news"](link, [["hut/y", [1, 0], endpoint_update(), 0.0]])
                return ask(kind, *rest)

            link.ask = ask_with_concurrent_updates
            return link

        self.runtime.dial = dial_with_concurrent_updates
        self.second.offer("hut/y", [1, 0], endpoint_update())  # received earlier from another parent
        self.second.offer("hut/z", [1, 0], endpoint_update())
        self.synchronize(self.second, self.first, take_snapshot=True)
        self.assertEqual(sorted(self.second.entries), ["hut/a", "hut/x", "hut/y"])
        self.assertEqual(self.second.watchers, [self.runtime.relays["second"].push_to_children])

    def test_a_routing_view_removes_dropped_entries(self) -> None:
        updates = VersionedStore(self.runtime.now)
        view = RoutingView(
            updates, FleetPosition("n", "r"), {"north": "r"}, self.runtime.now_ns, TimingBounds()
        )
        for id in ("y", "z"):
            updates.offer(f"hut/{id}", [1, 0], endpoint_update(addr="10.9.9.9:80"))
            updates.offer(f"slice/r {id}", 1, ["z"])
            updates.offer(f"bunks/{id}", [1, 1], [[0, 9, "z", "held"]])
        updates.offer("slice/r z", 2, None)
        updates.offer("bunks/z", [1, 1, 1], None)
        updates.drop("hut/z")
        self.assertEqual(
            [
                [*table]
                for table in (view.endpoints, view.assignments, view.key_ranges, view.services["desk"])
            ],
            [["y"], ["r y"], ["y"], ["y"]],
        )
        updates.drop("hut/y")
        self.assertEqual(view.services, {})


if __name__ == "__main__":
    unittest.main()
