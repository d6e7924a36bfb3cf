"""The decisions of the request path."""

import random
import time
import unittest
from unittest import mock

import gevent.socket

from flintreach.proxy.choice import (
    SECOND,
    Budget,
    Endpoint,
    Here,
    choose,
    cold_pilots,
    divide,
    idle_for,
    may_warm,
    patience,
)
from flintreach.proxy.connection import Connection, ConnectionPool
from flintreach.proxy.exchange import UNSENT, ExchangeTerms, exchange


def most(size):
    """A quorum by count, of disks known by name."""
    return lambda who: len({*who}) > size // 2


class Carrying(unittest.TestCase):
    def endpoint(self, id, zone="a", region="r", **more):
        return Endpoint(id, "desk", "10.0.0.1:80", zone, region, 2, **more)

    def test_which_endpoint(self):
        here, aim, work, now = Here("a", "r"), SECOND, SECOND // 8, 10 * SECOND
        near, next_door, far = self.endpoint("n"), self.endpoint("x", "b"), self.endpoint("f", "c", "s")
        busy = self.endpoint("b", mine=4)
        dark = self.endpoint("d", mine=1, since=now - 2 * SECOND)
        shunned = self.endpoint("s", shun_until=now + 1)
        cases = [
            ([far, next_door, near], near),
            ([busy, next_door], next_door),
            ([busy, far], busy),
            ([dark, far], far),
            ([shunned, far], far),
            ([shunned], None),
            ([dark], dark),
        ]
        for endpoints, wanted in cases:
            self.assertIs(
                choose(endpoints, here, aim, work, now, 0.0, 1, 0.5),
                wanted,
                [endpoint.id for endpoint in endpoints],
            )
        table = frozenset(["x"])
        self.assertIs(choose([near, next_door], here, aim, work, now, 0.0, 1, 0.5, table), next_door)

    def test_fronts_of_a_zone_divide_its_endpoints_evenly(self):
        for fronts in (1, 2, 3, 5):
            endpoints = [[self.endpoint(f"e{i}", zone="ab"[i % 2]) for i in range(11)] for _ in range(fronts)]
            for me in range(fronts):
                divide(endpoints[me], me, fronts)
            owners = [sum(endpoints[me][i].own for me in range(fronts)) for i in range(11)]
            self.assertEqual(owners, [1] * 11)
            parts = [sum(endpoint.own for endpoint in row) for row in endpoints]
            self.assertLessEqual(max(parts) - min(parts), 2)

    def test_one_that_answers_is_there_whatever_its_beats_say(self):
        """The trace of a cut core: beats that one refuge alone took made a third of a service silent."""
        endpoint, now = self.endpoint("e", state="silent"), 10 * SECOND
        self.assertFalse(endpoint.there(now))
        endpoint.sends(now)
        endpoint.ends(True, now)
        self.assertTrue(endpoint.there(now + SECOND))
        self.assertFalse(endpoint.there(now + 3 * SECOND))

    def test_a_cold_endpoint_gets_no_more_than_it_bears_from_all_together(self):
        for fronts, rate, excess, slack in ((12, 3.6, 1.5, 5), (80, 5, 1.5, 8), (2, 19, 1, 2), (1, 1, 1, 0)):
            pilots = cold_pilots(rate, excess, slack, fronts)
            names = [f"f{i}" for i in range(fronts)]
            order = dict(zip(names, range(fronts)))
            places = [Here("a", "r", fronts, order, name) for name in names]
            last, sent = dict.fromkeys(names, -SECOND * 9), []
            for tick in range(0, 3000, 5):
                now = tick * SECOND // 1000
                for here in places:
                    if may_warm(here, "i-77", rate, last[here.name], now, pilots):
                        last[here.name] = now
                        sent.append(now)
            most = max(sum(at <= other < at + SECOND for other in sent) for at in sent)
            self.assertLessEqual(most, rate * excess + slack + (not slack), (fronts, rate))
            self.assertGreater(len(sent), 0)

    def test_budgets_of_all_pilots_add_up_in_every_window(self):
        draw = random.Random(5)
        fronts, ratio, slack = 6, 0.2, 60
        budgets = [Budget(ratio, 10, slack) for _ in range(fronts)]
        again, came = [], []
        for tick in range(0, 40000, 20):
            now = tick * SECOND // 1000
            for budget in budgets:
                if draw.random() < (0.02 if tick < 20000 else 0.4):
                    budget.request(now)
                    came.append(tick)
                if budget.may(now, fronts):
                    budget.spend(now)
                    again.append(tick)
        for start in range(0, 30000, 500):
            spent = sum(start <= at < start + 10000 for at in again)
            asked = max(sum(s <= at < s + 10000 for at in came) for s in (start, start - 5000, start - 10000))
            self.assertLessEqual(spent, ratio * asked + slack, start)
        self.assertGreater(len(again), 60)

    def test_idle_connections_of_all_pilots_stay_within_what_an_endpoint_accepts(self):
        cap, fronts, most = 48, 67, 4 * SECOND
        here = Here("a", "r", fronts=fronts)
        for per_s in (0.02, 0.15, 1.0, 6.0):  # of each pilot, to the one holder of some keys
            endpoint, now = self.endpoint("e", own=False), 0
            for _ in range(200):
                now += int(SECOND / per_s)
                endpoint.sends(now)
                endpoint.ends(True, now)
            held = fronts * per_s * idle_for(endpoint, here, cap, most) / SECOND
            self.assertLessEqual(held, 0.65 * cap)
        main, here.zones = self.endpoint("e", pool=ConnectionPool("10.0.0.1:80")), 6
        self.assertEqual(idle_for(main, here, cap, most), most)
        self.assertLess(idle_for(main, here, cap, most, sole=True), most)
        far = self.endpoint("e", zone="b", pool=ConnectionPool("10.0.0.1:80"))
        far.pool.idle = [None] * 2
        self.assertEqual((idle_for(main, here, cap, most), idle_for(far, here, cap, most)), (most, 0))
        main.pool.idle = [None] * 15
        self.assertEqual(idle_for(main, here, cap, most), 0)

    def test_a_connection_that_is_reset_at_once_has_sent_nothing(self):
        """An endpoint with as many connections as it takes resets the next: the request may go elsewhere."""
        here, there = gevent.socket.socketpair()
        there.close()
        pool = ConnectionPool("10.0.0.1:80")
        with mock.patch.object(pool, "connect", lambda timeout: Connection(here)):
            out = exchange(
                pool, b"POST / HTTP/1.1", b"", "i", ExchangeTerms(time.monotonic_ns() + 9 * SECOND, 1.0)
            )
        self.assertEqual((out.kind, out.full, out.dark), (UNSENT, True, False))

    def test_a_sole_holder_is_not_shunned_for_long(self):
        endpoint = self.endpoint("e")
        for _ in range(6):
            endpoint.fails(0, sole=True)
        self.assertLessEqual(endpoint.shun_until, SECOND // 4)
        endpoint.fails(0)
        self.assertGreater(endpoint.shun_until, 2 * SECOND)

    def test_patience_stands_between_the_usual_and_the_aim(self):
        self.assertEqual([patience(1000, work) for work in (10, 150, 900)], [300, 450, 600])


if __name__ == "__main__":
    unittest.main()
