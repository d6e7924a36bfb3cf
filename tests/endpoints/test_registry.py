"""Endpoints by their heartbeats."""

import unittest

from flintreach.endpoints.registry import (
    CLOSES,
    CLOSING,
    ENDS,
    GONE,
    MS,
    READY,
    SERVES,
    SILENT,
    EndpointRecord,
    EndpointRegistry,
    Heartbeat,
)
from flintreach.proxy.balancing import NS_PER_S as SECOND


class Hutbook(unittest.TestCase):
    def beat(self, seq, state=READY, cold=0, addr="10.0.0.9:80"):
        return Heartbeat("desk", addr, "north", 2, state, seq, "v1", cold)

    def test_traces(self):
        """(what came, milliseconds, told ids, state after)"""
        trace = [
            (("beat", 1, READY), 0, ["e"], READY),
            (("beat", 2, READY), 1500, [], READY),
            (("beat", 1, READY), 1600, [], READY),  # late: the number tells
            (("tick",), 4000, [], READY),
            (("tick",), 5600, ["e"], SILENT),
            (("tick",), 5900, [], SILENT),
            (("beat", 3, READY), 6000, ["e"], READY),
            (("beat", 4, "closing"), 7000, ["e"], CLOSING),
            (("beat", 5, READY), 7500, [], CLOSING),  # never back
            (("leave",), 8000, ["e"], GONE),
            (("beat", 9, READY), 8100, [], GONE),
        ]
        registry = EndpointRegistry(1500)
        for what, at, told, state in trace:
            now = at * MS
            if what[0] == "beat":
                got = registry.hear("e", self.beat(*what[1:]), now)
            else:
                got = registry.tick(now) if what[0] == "tick" else registry.leave("e", now)
            self.assertEqual((got, registry.records["e"].state), (told, state), what)

    def test_a_late_call_that_says_that_it_leaves_counts(self):
        """It is acknowledged, and from then on counts as known, whoever heard what first."""
        for order in ((5, READY), (4, "closing")), ((4, "closing"), (5, READY)):
            registry = EndpointRegistry(1500)
            told = [registry.hear("e", self.beat(*call), 0) for call in order]
            self.assertEqual(told, [["e"], ["e"] if order[0][0] == 5 else []])
            self.assertEqual(registry.records["e"].state, CLOSING)
            self.assertEqual(registry.records["e"].version, [CLOSES, 5, 0])

    def test_an_address_given_to_another_takes_it_from_the_first_until_it_is_heard_again(self):
        registry = EndpointRegistry(1500)
        registry.hear("old", self.beat(5), 0)
        self.assertEqual(registry.hear("new", self.beat(1), 10 * MS), ["new", "old"])
        self.assertEqual((registry.records["old"].state, registry.records["old"].rank), (GONE, SERVES))
        self.assertEqual(registry.hear("old", self.beat(5), 20 * MS), [], "a late call takes nothing back")
        self.assertEqual(registry.hear("old", self.beat(6), 30 * MS), ["old", "new"])
        self.assertEqual([registry.records[id].state for id in ("old", "new")], [READY, GONE])
        self.assertEqual(registry.leave("old", 40 * MS), ["old"])
        self.assertEqual(registry.hear("old", self.beat(7), 50 * MS), [])
        self.assertEqual(registry.hear("new", self.beat(2), 60 * MS), ["new"])
        self.assertEqual([registry.records[id].state for id in ("old", "new")], [GONE, READY])

    def test_what_has_ended_is_forgotten_after_the_horizon(self):
        registry = EndpointRegistry(1500)
        registry.hear("signed", self.beat(1), 0)
        registry.hear("crashed", self.beat(1, addr="10.0.0.8:80"), 0)
        registry.leave("signed", SECOND)
        registry.leave("unknown", SECOND)
        for at in range(2, 139):
            registry.tick(at * SECOND)
            if at in (120, 122):
                self.assertEqual("signed" in registry.records, at == 120)
        self.assertEqual([*registry.records], ["crashed"])
        self.assertEqual((registry.tick(140 * SECOND), registry.records, registry.claims), ([], {}, {}))

    def test_a_cold_time_that_runs_off_is_no_news_and_one_that_begins_is(self):
        registry = EndpointRegistry(1500)
        registry.hear("e", self.beat(1, cold=3000), 0)
        self.assertEqual(registry.hear("e", self.beat(2, cold=1500), 1500 * MS), [])
        self.assertEqual(registry.hear("e", self.beat(3, cold=3000), 3000 * MS), ["e"])

    def test_a_restart_knows_what_was_told_before(self):
        registry, again = EndpointRegistry(1500), EndpointRegistry(1500)
        registry.hear("e", self.beat(4, CLOSING), 0)
        again.join(EndpointRecord.of(registry.records["e"].row(0), 0), 0)
        older = ["e", "desk", "10.0.0.9:80", "north", 2, "v1", READY, 3, 0, 0]  # a disk of an older text
        again.join(EndpointRecord.of(older, 0), 0)
        self.assertEqual(again.records["e"].state, CLOSING)
        again.join(EndpointRecord.of([*older[:6], GONE, 1 << 62, 3, 0], 0), 0)
        self.assertEqual((again.records["e"].state, again.records["e"].rank), (GONE, ENDS))


if __name__ == "__main__":
    unittest.main()
