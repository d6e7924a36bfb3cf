"""News and endpoint records, played by traces: what is fresh, what is forgotten, what a quorum holds."""

import unittest

import msgspec

from flintreach.bothy.choice import Here
from flintreach.bothy.world import World
from flintreach.rope.link import Closed
from flintreach.trail.board import BUCKETS, HORIZON, MOST_BYTES, MOST_ROWS, STALE_BOARD, Board
from flintreach.trail.relay import MARK, STALE, Follow
from flintreach.waymark.settings import Bounds

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode


class Clock:
    """A host with a clock by hand, whose links lead to boards."""

    def __init__(self):
        self.at, self.boards, self.links = 1000.0, {}, []

    def now(self):
        return self.at

    def now_ns(self):
        return int(self.at * 1e9)

    def board(self, name):
        self.boards[name] = Board(self.now)
        return self.boards[name]

    def dial(self, address, handlers, timeout):
        self.links.append(Wire(self, self.boards[address], handlers))
        return self.links[-1]


class Wire:
    """A link that carries at once; `slow` seconds an answer, `cut`: the answers' way is cut."""

    def __init__(self, clock, board, handlers):
        self.clock, self.parent, self.handlers = clock, board, handlers
        self.closed, self.age, self.slow, self.cut, self.asked, self.sizes = False, 0.0, 0.0, False, [], []

    def ask(self, kind, body, timeout):
        if self.cut:
            self.clock.at += timeout
            raise Closed
        body, age = UNPACK(PACK(body)), self.age
        answer = {"follow": lambda: [self.parent.differing(body), age], "mark": lambda: age,
                  "lack": lambda: [*self.parent.missing(body)]}[kind]()
        self.clock.at += self.slow
        self.asked.append(kind)
        self.sizes += [len(PACK(body)), len(PACK(answer))]
        return UNPACK(PACK(answer))

    def close(self):
        self.closed = True


def hut(state="ready", addr="10.0.0.9:80"):
    return {"line": "desk", "addr": addr, "zone": "north", "berths": 2, "edition": "v1", "state": state,
            "cold": 0}


class Follows(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.parent = self.clock.board("parent")
        self.child = Board(self.clock.now)

    def follow(self, **options):
        follow = Follow(self.clock, self.child, "parent")
        follow.begin(**options)
        return follow, self.clock.links[-1]

    def test_a_snapshot_comes_in_portions_and_counts_as_fresh_after_the_last(self):
        for number in range(6000):
            self.parent.offer(f"hut/i-{number}", [number, 0], hut())
        self.parent.offer("timetable", 7, b"x" * 3 * MOST_BYTES)
        rows = []
        follow = Follow(self.clock, self.child, "parent",
                        lambda portion: (rows.append((len(portion), follow.fresh_at)), self.child.take(portion)))
        follow.begin()
        self.assertEqual(self.child.parcels, self.parent.parcels)
        self.assertGreater(len(rows), 12)
        self.assertLessEqual(max(count for count, _ in rows), MOST_ROWS)
        self.assertEqual({fresh for _, fresh in rows}, {rows[0][1]}, "a part of it was taken for fresh news")
        self.assertEqual(follow.fresh_at, self.clock.at)
        sizes = self.clock.links[-1].sizes
        self.assertLessEqual(sorted(sizes)[-2], MOST_BYTES + 1024)
        self.assertLess(sorted(sizes)[-1], 3 * MOST_BYTES + 1024)  # one parcel that is larger goes alone

    def test_equal_boards_find_it_by_a_digest_of_one_size(self):
        for number in range(3000):
            for board in (self.parent, self.child):
                board.offer(f"hut/i-{number}", [number, 0], hut())
        _, link = self.follow()
        self.assertEqual(link.asked, ["follow"])
        self.assertLess(sum(link.sizes), 8 * BUCKETS + 64)
        self.parent.offer("hut/i-5", [9, 0], hut("closing"))
        _, link = self.follow()
        self.assertEqual(link.asked, ["follow", "lack", "mark"])
        self.assertLess(sum(link.sizes), 8 * BUCKETS + 1024)
        self.assertEqual(self.child.get("hut/i-5")["state"], "closing")

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
        with self.assertRaises(Closed):
            follow.mark()
        self.assertLessEqual(self.clock.at - heard, STALE + 1e-6)

    def test_a_parent_with_old_news_is_not_taken(self):
        follow = Follow(self.clock, self.child, "parent")
        self.parent.offer("hut/a", [1, 0], hut())
        dial = self.clock.dial

        def old(*args):
            link = dial(*args)
            link.age = 1.5
            return link
        self.clock.dial = old
        self.assertFalse(follow.begin(oldest=STALE))
        self.assertFalse(self.child.parcels)


class Tombstones(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.a, self.b = self.clock.board("a"), self.clock.board("b")

    def spread(self, one, other, **options):
        Follow(self.clock, other, next(n for n, b in self.clock.boards.items() if b is one)).begin(**options)

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
        self.assertEqual((self.a.parcels, self.b.parcels), ({}, {}))
        self.assertEqual((self.a.digest(), self.a.digest()), (self.b.digest(), bytes(8 * BUCKETS)))

    def test_one_that_was_forgotten_does_not_come_back_from_who_still_holds_it(self):
        self.a.offer("hut/e", [1, 2], hut("gone"))
        self.spread(self.a, self.b)
        self.clock.at += HORIZON + 1
        self.a.expire()
        self.spread(self.b, self.a)
        self.assertFalse(self.a.parcels)

    def test_who_was_long_without_news_takes_a_snapshot(self):
        """The trace of a parcel that would stand for ever: its tombstone came and went meanwhile."""
        for board in (self.a, self.b):
            board.offer("hut/old", [1, 0], hut())
            board.offer("hut/both", [1, 0], hut())
            board.offer("timetable", 3, b"conf")
        self.b.offer("hut/both", [2, 0], hut("closing"))
        dropped = []
        self.b.droppers.append(dropped.append)
        self.a.offer("hut/old", [1, 2], hut("gone"))
        self.clock.at += HORIZON + STALE_BOARD
        self.a.expire()
        self.a.offer("hut/new", [1, 0], hut())
        self.spread(self.a, self.b, renew=True)
        self.assertEqual(sorted(self.b.parcels), ["hut/both", "hut/new", "timetable"])
        self.assertEqual(self.b.get("hut/both")["state"], "closing", "what is held never goes back")
        self.assertEqual(dropped, ["hut/old"])

    def test_what_came_by_another_way_during_a_snapshot_stays(self):
        self.a.offer("hut/a", [1, 0], hut())
        dial = self.clock.dial

        def busy(*args):
            link = dial(*args)
            ask = link.ask
            link.ask = lambda kind, *rest: (kind == "lack" and self.b.offer("hut/x", [1, 0], hut()),
                                            ask(kind, *rest))[1]
            return link
        self.clock.dial = busy
        self.spread(self.a, self.b, renew=True)
        self.assertEqual(sorted(self.b.parcels), ["hut/a", "hut/x"])
        self.assertFalse(self.b.watchers)

    def test_a_bothy_forgets_what_is_dropped(self):
        board = Board(self.clock.now)
        known = World(board, Here("n", "r"), {"north": "r"}, self.clock.now_ns, Bounds())
        for id in ("y", "z"):
            board.offer(f"hut/{id}", [1, 0], hut(addr="10.9.9.9:80"))
            board.offer(f"slice/r {id}", 1, ["z"])
            board.offer(f"bunks/{id}", [1, 1], [[0, 9, "z", "held"]])
        board.offer("slice/r z", 2, None)
        board.offer("bunks/z", [1, 1, 1], None)
        board.drop("hut/z")
        self.assertEqual([[*held] for held in (known.huts, known.tables, known.keys, known.lines["desk"])],
                         [["y"], ["r y"], ["y"], ["y"]])
        board.drop("hut/y")
        self.assertEqual(known.lines, {})


if __name__ == "__main__":
    unittest.main()
