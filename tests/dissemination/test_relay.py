"""Subscriptions, snapshots and tombstones."""

import unittest
from unittest import mock

import msgspec

from flintreach.config.settings import TimingBounds
from flintreach.dissemination.relay import MARK, STALE, Relay, Subscription
from flintreach.dissemination.versioned_store import (
    BUCKETS,
    HORIZON,
    MOST_BYTES,
    MOST_ROWS,
    STALE_BOARD,
    VersionedStore,
)
from flintreach.proxy.balancing import FleetPosition
from flintreach.proxy.view import RoutingView
from flintreach.transport.peer_connection import ConnectionClosed

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode


class Clock:
    """A host with a clock by hand, whose links lead to boards with their relays."""

    def __init__(self):
        self.at, self.relays, self.links = 1000.0, {}, []

    def now(self):
        return self.at

    def now_ns(self):
        return int(self.at * 1e9)

    def updates(self, name, updates=None):
        updates = updates or VersionedStore(self.now)
        self.relays[name] = Relay(mock.Mock(handlers={}, runtime=self), updates)
        return updates

    def dial(self, address, handlers, timeout):
        self.links.append(Wire(self, self.relays[address], handlers))
        return self.links[-1]


class Wire:
    """A link that carries at once; `slow` seconds an answer, `cut`: the answers' way is cut, `age`: of the
    parent's news."""

    def __init__(self, clock, relay, handlers):
        self.clock, self.relay, self.handlers, self.on_close = clock, relay, handlers, []
        self.closed, self.age, self.slow, self.cut, self.asked, self.sizes = False, 0.0, 0.0, False, [], []

    def ask(self, kind, body, timeout):
        if self.cut:
            self.clock.at += timeout
            raise ConnectionClosed
        self.relay.root_age = lambda: self.age
        answer = self.relay.peer_pool.handlers[kind](self, UNPACK(PACK(body)))
        self.clock.at += self.slow
        self.asked.append(kind)
        self.sizes += [len(PACK(body)), len(PACK(answer))]
        return UNPACK(PACK(answer))

    def send(self, kind, body):
        self.handlers[kind](self, UNPACK(PACK(body)))

    def close(self):
        self.closed = True
        for told in self.on_close:
            told(self)


def hut(state="ready", addr="10.0.0.9:80"):
    return {
        "line": "desk",
        "addr": addr,
        "zone": "north",
        "berths": 2,
        "edition": "v1",
        "state": state,
        "cold": 0,
    }


def dialling(dial, **fields):
    """Links that are dialled as before, with some of their fields changed."""

    def changed(*args):
        link = dial(*args)
        for name, value in fields.items():
            setattr(link, name, value)
        return link

    return changed


class Follows(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.parent = self.clock.updates("parent")
        self.child = VersionedStore(self.clock.now)

    def follow(self, **options):
        follow = Subscription(self.clock, self.child, "parent")
        follow.begin(**options)
        return follow, self.clock.links[-1]

    def test_a_snapshot_comes_in_portions_and_counts_as_fresh_after_the_last(self):
        for number in range(6000):
            self.parent.offer(f"hut/i-{number}", [number, 0], hut())
        self.parent.offer("timetable", 7, b"x" * 3 * MOST_BYTES)
        rows = []

        def take(portion):
            rows.append((len(portion), follow.fresh_at))
            self.child.take(portion)

        follow = Subscription(self.clock, self.child, "parent", take)
        follow.begin()
        self.assertEqual(self.child.entries, self.parent.entries)
        self.assertGreater(len(rows), 12)
        self.assertLessEqual(max(count for count, _ in rows), MOST_ROWS)
        self.assertEqual({fresh for _, fresh in rows}, {rows[0][1]}, "a part of it was taken for fresh news")
        self.assertEqual(follow.fresh_at, self.clock.at)
        sizes = self.clock.links[-1].sizes
        self.assertLessEqual(sorted(sizes)[-2], MOST_BYTES + 1024)
        self.assertLess(sorted(sizes)[-1], 3 * MOST_BYTES + 1024)  # one parcel that is larger goes alone

    def test_equal_boards_find_it_by_a_digest_of_one_size(self):
        for number in range(3000):
            for updates in (self.parent, self.child):
                updates.offer(f"hut/i-{number}", [number, 0], hut())
        follow, link = self.follow()
        self.assertEqual(link.asked, ["follow"])
        self.assertLess(sum(link.sizes), 8 * BUCKETS + 64)
        follow.close()
        self.parent.offer("hut/i-5", [9, 0], hut("closing"))
        _, link = self.follow()
        self.assertEqual(link.asked, ["follow", "lack"])
        self.assertLess(sum(link.sizes), 8 * BUCKETS + 1024)
        self.assertEqual(self.child.get("hut/i-5")["state"], "closing")

    def test_one_that_holds_nothing_has_all_of_a_small_board_with_the_first_answer(self):
        for number in range(200):
            self.parent.offer(f"hut/i-{number}", [number, 0], hut())
        _, link = self.follow()
        self.assertEqual((link.asked, self.child.entries), (["follow"], self.parent.entries))

    def test_a_long_snapshot_is_followed_by_a_mark(self):
        for number in range(900):
            self.parent.offer(f"hut/i-{number}", [number, 0], hut())
        self.clock.dial = dialling(self.clock.dial, slow=0.9)
        follow, link = self.follow()
        self.assertEqual(link.asked, ["follow", "lack", "mark"])
        self.assertAlmostEqual(self.clock.at - follow.fresh_at, 0.9)

    def test_an_answer_that_lay_in_a_buffer_while_the_process_slept_is_not_fresh(self):
        follow, link = self.follow()
        link.slow = 30.0
        follow.mark()
        self.assertEqual(self.clock.at - follow.fresh_at, 30.0)
        self.assertTrue(follow.stale())

    def test_a_link_that_is_cut_one_way_is_noticed_in_time(self):
        follow, link = self.follow()
        for _ in range(8):
            self.clock.at += MARK
            follow.mark()
        link.cut, heard = True, follow.fresh_at
        self.clock.at += MARK
        with self.assertRaises(ConnectionClosed):
            follow.mark()
        self.assertLessEqual(self.clock.at - heard, STALE + 1e-6)

    def test_what_is_new_is_pushed_until_the_link_ends(self):
        self.parent.offer("hut/a", [1, 0, 0], hut())
        follow, link = self.follow()
        self.parent.offer("hut/a", [1, 3, 0], hut("closing"))
        self.assertEqual(self.child.get("hut/a")["state"], "closing")
        self.parent.offer("hut/a", [2, 3, 0], hut("gone"), 40.0)
        self.assertEqual(self.child.age("hut/a"), 40.0)
        follow.close()
        self.parent.offer("hut/b", [0, 1, 0], hut())
        self.assertEqual(([*self.child.entries], self.clock.relays["parent"].children), (["hut/a"], {}))
        link.handlers["news"](link, [["hut/c", [0, 1, 0], hut(), 0.0]])  # what its end left in a buffer
        self.assertNotIn("hut/c", self.child.entries)

    def test_a_parent_with_old_news_is_not_taken(self):
        follow = Subscription(self.clock, self.child, "parent")
        self.parent.offer("hut/a", [1, 0], hut())
        self.clock.dial = dialling(self.clock.dial, age=1.5)
        self.assertFalse(follow.begin(oldest=STALE))
        self.assertFalse(self.child.entries)


class Tombstones(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.a, self.b = self.clock.updates("a"), self.clock.updates("b")

    def spread(self, one, other, **options):
        follow = Subscription(
            self.clock, other, next(n for n, r in self.clock.relays.items() if r.updates is one)
        )
        follow.begin(**options)
        follow.close()

    def test_one_stands_for_the_horizon_wherever_it_is_told(self):
        self.a.offer("hut/e", [1, 0], hut())
        self.spread(self.a, self.b)
        self.a.offer("hut/e", [2, 0], hut("gone"))
        self.clock.at += HORIZON - 1
        self.spread(self.a, self.b)  # b learns of it a second before its end
        self.assertEqual(self.b.get("hut/e")["state"], "gone")
        self.assertFalse(self.b.offer("hut/e", [1, 0], hut()))  # an older parcel is warded off
        self.clock.at += 1.5
        self.a.expire()
        self.b.expire()
        self.assertEqual((self.a.entries, self.b.entries), ({}, {}))
        self.assertEqual((self.a.digest(), self.a.digest()), (self.b.digest(), bytes(8 * BUCKETS)))

    def test_one_that_was_forgotten_does_not_come_back_from_who_still_holds_it(self):
        self.a.offer("hut/e", [1, 2], hut("gone"))
        self.spread(self.a, self.b)
        self.clock.at += HORIZON + 1
        self.a.expire()
        self.spread(self.b, self.a)
        self.assertFalse(self.a.entries)

    def test_who_was_long_without_news_takes_a_snapshot(self):
        """The trace of a parcel that would stand for ever: its tombstone came and went meanwhile."""
        for updates in (self.a, self.b):
            updates.offer("hut/old", [1, 0], hut())
            updates.offer("hut/both", [1, 0], hut())
            updates.offer("timetable", 3, b"conf")
        self.b.offer("hut/both", [2, 0], hut("closing"))
        dropped = []
        self.b.droppers.append(dropped.append)
        self.a.offer("hut/old", [1, 2], hut("gone"))
        self.clock.at += HORIZON + STALE_BOARD
        self.a.expire()
        self.a.offer("hut/new", [1, 0], hut())
        self.spread(self.a, self.b, renew=True)
        self.assertEqual(sorted(self.b.entries), ["hut/both", "hut/new", "timetable"])
        self.assertEqual(self.b.get("hut/both")["state"], "closing", "what is held never goes back")
        self.assertEqual(dropped, ["hut/old"])

    def test_what_came_by_another_way_during_a_snapshot_stays(self):
        self.a.offer("hut/a", [1, 0], hut())
        dial = self.clock.dial

        def busy(*args):
            link = dial(*args)
            ask = link.ask
            link.ask = lambda kind, *rest: (
                self.b.offer("hut/x", [1, 0], hut()),
                link.handlers["news"](link, [["hut/y", [1, 0], hut(), 0.0]]),
                ask(kind, *rest),
            )[2]
            return link

        self.clock.dial = busy
        self.b.offer("hut/y", [1, 0], hut())  # told to the board before, by another parent
        self.b.offer("hut/z", [1, 0], hut())
        self.spread(self.a, self.b, renew=True)
        self.assertEqual(sorted(self.b.entries), ["hut/a", "hut/x", "hut/y"])
        self.assertEqual(self.b.watchers, [self.clock.relays["b"].spread])

    def test_a_bothy_forgets_what_is_dropped(self):
        updates = VersionedStore(self.clock.now)
        known = RoutingView(
            updates, FleetPosition("n", "r"), {"north": "r"}, self.clock.now_ns, TimingBounds()
        )
        for id in ("y", "z"):
            updates.offer(f"hut/{id}", [1, 0], hut(addr="10.9.9.9:80"))
            updates.offer(f"slice/r {id}", 1, ["z"])
            updates.offer(f"bunks/{id}", [1, 1], [[0, 9, "z", "held"]])
        updates.offer("slice/r z", 2, None)
        updates.offer("bunks/z", [1, 1, 1], None)
        updates.drop("hut/z")
        self.assertEqual(
            [
                [*held]
                for held in (known.endpoints, known.assignments, known.key_ranges, known.services["desk"])
            ],
            [["y"], ["r y"], ["y"], ["y"]],
        )
        updates.drop("hut/y")
        self.assertEqual(known.services, {})


if __name__ == "__main__":
    unittest.main()
