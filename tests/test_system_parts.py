"""The state machines of the whole system, played by traces; no bench, no sockets, no sleeping."""

import itertools
import random
import time
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

import gevent.socket
import msgspec

from flintreach.config import configuration, settings
from flintreach.consensus import voter_selection as wishes
from flintreach.consensus.acceptor import Acceptor, merged
from flintreach.consensus.proposer import Proposal
from flintreach.consensus.quorum import Voters
from flintreach.consensus.register import Register as Register_
from flintreach.dissemination.load_aggregate import LoadAggregate
from flintreach.dissemination.relay_tree import BORNE, FAN, parents
from flintreach.dissemination.versioned_store import VersionedStore
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
from flintreach.membership.member_list import ALIVE, BUCKETS, DEAD, SUSPECTED, Member, MemberList, bucket
from flintreach.placement.placer import Candidate, Placer
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
from flintreach.proxy.reply import HTTPParseError, Replies
from flintreach.sharding import range_assignment
from flintreach.sharding.range_assignment import FREE, HELD, KEYS, LEAVING, Allocation, LoadDistribution
from flintreach.transport.runtime import Runtime

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode


def most(size):
    """A quorum by count, of disks known by name."""
    return lambda who: len({*who}) > size // 2


class Disks:
    """Acceptors by name; `drop` loses messages, `wipe` a disk."""

    def __init__(self, size):
        self.disks = {f"d{i}": Acceptor(f"life{i}", True) for i in range(size)}

    def prepare(self, change, name, key="k"):
        disk = self.disks[name]
        word, slot = disk.prepare(key, change.ballot)
        if word == "promise":
            disk.slots[key] = slot
            change.promised(name, disk.life, slot.accepted, slot.value)
        elif word == "refused":
            change.turned_down(slot.promised)

    def accept(self, change, name, key="k"):
        disk = self.disks[name]
        word, slot = disk.accept(key, change.ballot, change.value, change.lives.get(name, ""))
        if word == "accepted":
            disk.slots[key] = slot
            change.accepted(name)
        elif word == "refused":
            change.turned_down(slot.promised)

    def wipe(self, name, others):
        disk = self.disks[name] = Acceptor(f"again-{name}", False)
        held = {(other, 0): self.disks[other].slots for other in others if self.disks[other].voting}
        enough = Voters(1, tuple(((other, 0), "") for other in self.disks)).covered((name, 0), held)
        if enough:
            disk.slots, disk.voting = merged([*held.values()]), True
        return enough


def added(old):
    return (old or b"") + b"x"


class Register(unittest.TestCase):
    def test_every_order_of_two_writers_keeps_both_changes(self):
        """All interleavings of two writers over three disks: who is done was not overwritten unseen."""
        orders, count = set(itertools.permutations("aaaabbbb")), 0
        for order in orders:
            for reach in (("d0", "d1"), ("d1", "d2"), ("d0", "d2")):
                disks = Disks(3)
                writers = {"a": Proposal(most(3), (1, "a"), added), "b": Proposal(most(3), (2, "b"), added)}
                turn = {"a": 0, "b": 0}
                for who in order:
                    change, at = writers[who], turn[who]
                    turn[who] += 1
                    names = ("d0", "d1") if who == "a" else reach
                    if at < 2:
                        disks.prepare(change, names[at])
                    elif change.state in ("accept", "done"):
                        disks.accept(change, names[at - 2])
                done = [change for change in writers.values() if change.state == "done"]
                longest = max((len(change.value) for change in done), default=0)
                self.assertGreaterEqual(longest, len(done), order)  # one that is not done may stand too
                reader = Proposal(most(3), (9, "r"), lambda old: None)
                for name in disks.disks:
                    disks.prepare(reader, name)
                self.assertGreaterEqual(len(reader.value or b""), longest)
                count += 1
        self.assertEqual(count, len(orders) * 3)

    def test_a_promise_of_a_lost_disk_does_not_count(self):
        """The trace of a lost update: d0 promises, is wiped and relearns, and is told to accept."""
        disks = Disks(3)
        first = Proposal(most(3), (5, "a"), added)
        disks.prepare(first, "d0")
        self.assertTrue(disks.wipe("d0", ["d1", "d2"]))
        disks.prepare(first, "d1")
        second = Proposal(most(3), (4, "b"), added)
        disks.prepare(second, "d0")
        disks.prepare(second, "d2")
        disks.accept(second, "d0")
        disks.accept(second, "d2")
        self.assertEqual(second.state, "done")
        disks.accept(first, "d0")  # with the life of the disk that was lost
        disks.accept(first, "d1")
        self.assertNotEqual(first.state, "done")

    def test_an_empty_disk_is_mute_until_it_knows(self):
        disks = Disks(3)
        change = Proposal(most(3), (1, "a"), added)
        for name in ("d0", "d1"):
            disks.prepare(change, name)
        for name in ("d0", "d1"):
            disks.accept(change, name)
        self.assertFalse(disks.wipe("d1", ["d2"]), "one other may have missed what was acknowledged")
        self.assertEqual(disks.disks["d1"].prepare("k", (9, "z")), ("mute", None))
        self.assertTrue(disks.wipe("d1", ["d0", "d2"]))
        self.assertEqual(disks.disks["d1"].slots["k"].value, b"x")

    def test_what_a_minority_holds_is_told_again_before_it_is_answered(self):
        disks = Disks(3)
        change = Proposal(most(3), (1, "a"), added)
        disks.prepare(change, "d0")
        disks.prepare(change, "d1")
        disks.accept(change, "d0")  # and the writer dies
        reader = Proposal(most(3), (2, "r"), lambda old: None)
        disks.prepare(reader, "d0")
        disks.prepare(reader, "d2")
        self.assertEqual(reader.state, "accept")


class Writer(unittest.TestCase):
    def test_an_accept_carries_the_life_that_promised_though_a_newer_disk_has_been_met(self):
        sent, slot = [], [[0, ""], [0, ""], None]

        class Quiet:
            address, handlers, runtime = ("10.0.0.1", 7), {}, Runtime()

            def gather(self, group, kind, body, enough, timeout, ask):
                if kind == "prepare":
                    return enough([(address, ["promise", slot, "old"]) for address in group])
                register.lives |= dict.fromkeys(register.lives, "new")  # another change, in between
                sent.extend(body(address)[-2] for address in group)
                return enough([(address, ["accepted", slot, "old"]) for address in group])

        register = Register_(Quiet(), Voters(1, ((("10.0.0.1", 7), ""), (("10.0.0.2", 7), ""))), None)
        self.assertEqual(register.change("k", added), (True, b"x"))
        self.assertEqual(sent, ["old", "old"])


class Circle(unittest.TestCase):
    def disks(self, zones, each):
        return [wishes.Disk((f"10.0.{z}.{i}", 7), f"z{z}", "r") for z in range(zones) for i in range(each)]

    def first(self, disks, losses, calm):
        found = wishes.first(disks, losses, calm)
        return found and found.members()

    def test_zones_take_turns_and_the_number_is_bounded(self):
        disks, losses = self.disks(3, 5), wishes.Losses(1, 1)
        found = self.first(disks, losses, 1.0)
        self.assertEqual(len(found), wishes.MOST)
        self.assertEqual({ip.split(".")[2] for ip, _ in found}, {"0", "1", "2"})
        self.assertEqual(self.first(disks[::-1], losses, 1.0), found)
        self.assertEqual(self.first(disks[:1], wishes.Losses(), 1.0), [("10.0.0.0", 7)])

    def test_a_first_start_waits_for_disks_that_come_but_not_for_ever(self):
        """(disks, losses, seconds without a new one, how many are to vote: 0 while more are waited for)"""
        one, two = wishes.Losses(1, 1), wishes.Losses(2, 1)
        for count, losses, calm, votes in (
            (0, one, 9.0, 0),
            (3, one, 0.5, 0),
            (3, one, 0.6, 3),
            (2, one, 2.5, 0),
            (2, one, 6.0, 2),
            (3, two, 2.5, 0),
            (4, two, 5.9, 0),
            (4, two, 6.0, 4),
            (5, two, 0.6, 5),
        ):
            found = self.first(self.disks(count, 1), losses, calm)
            self.assertEqual(len(found or ()), votes, (count, losses, calm))


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


class FailureDetector(unittest.TestCase):
    def play(self, down=(), until=8000, size=5, seed=1):
        """Members in one world of 100 ms turns; `down`: (name, from ms).  What each believes at the end."""
        draw = random.Random(seed)
        names = [f"n{i}" for i in range(size)]
        nodes = {
            name: MemberList(Member(name, "bothy", f"10.0.0.{i}", 7, "z", "r", life=1), draw.randrange)
            for i, name in enumerate(names)
        }
        by = {member_list.me.address: name for name, member_list in nodes.items()}
        mail = [
            (to, name, message)
            for name, member_list in nodes.items()
            for to, message in member_list.join([nodes["n0"].me.address])
        ]
        for at in range(0, until, 100):
            dead = {name for name, since in down if at >= since}
            now, box, mail = at * 1_000_000, mail, []
            for to, name, message in box:
                target = by[tuple(to)]
                if target not in dead and name not in dead:
                    mail += [
                        (out, target, m)
                        for out, m in nodes[target].hear(nodes[name].me.address, message, now)
                    ]
            for name, member_list in nodes.items():
                if name not in dead:
                    mail += [(out, name, message) for out, message in member_list.tick(now)]
        return nodes

    def test_all_find_each_other_and_a_dead_one_is_found_out(self):
        nodes = self.play(down=[("n3", 3000)], until=9000)
        for name, member_list in nodes.items():
            if name != "n3":
                states = {m.name: m.state for m in member_list.members.values()}
                self.assertEqual(states, {"n0": 0, "n1": 0, "n2": 0, "n3": DEAD, "n4": 0}, name)

    def test_one_that_is_suspected_contradicts(self):
        member_list = MemberList(Member("a", "bothy", "10.0.0.1", 7, "z", "r", life=5), lambda n: 0)
        member_list.take([["a", "bothy", "10.0.0.1", 7, "z", "r", {}, False, False, 5, SUSPECTED]], 0)
        self.assertEqual((member_list.me.life, member_list.me.state), (6, ALIVE))

    def known(self, name, others, life=1):
        member_list = MemberList(Member(name, "bothy", f"ip-{name}", 7, "z", "r", life=life), lambda n: 0)
        member_list.take(
            [Member(other, "bothy", f"ip-{other}", 7, "z", "r", life=1).row() for other in others], 0
        )
        return member_list

    def asked(self, one, other, now=0):
        """Rows that one pilot is told by another when it joins there."""
        ((_, message),) = one.join([other.me.address])
        answers = other.hear(one.me.address, UNPACK(PACK(message)), now)
        for _, answer in answers:
            one.hear(other.me.address, answer, now)
        return [row for _, answer in answers for row in answer[3]]

    def test_who_believes_the_same_is_told_nothing_and_else_what_differs(self):
        """At rest each pilot asks the seeds every three seconds: whole rosters would grow with the square."""
        names = [f"m{number:03}" for number in range(200)]
        one, other = self.known("m000", names), self.known("m001", names)
        self.assertEqual(self.asked(one, other), [])
        self.assertEqual(len(one.join([other.me.address])[0][1][-1]), 8 * BUCKETS)
        gone = other.members["m077"]
        gone.state = DEAD
        other.news("m077", 1)
        told = self.asked(one, other)
        self.assertEqual({bucket(row[0]) for row in told}, {bucket("m077")})
        self.assertLess(len(told), 20)
        self.assertEqual(one.members["m077"].state, DEAD)
        self.assertEqual(self.asked(one, other), [])
        fresh = self.known("m777", [])
        self.assertGreaterEqual(len(self.asked(fresh, other)), 199)
        self.assertEqual({*fresh.members} - {"m777"}, {*names} - {"m077"})
        with self.assertRaises(ValueError):
            other.crowd(b"short")

    def test_the_dead_are_forgotten_though_others_still_tell_of_them(self):
        """Each forgets at a time of its own: told back and forth they would stand for ever."""
        one, other = self.known("a", ["b", "x"]), self.known("b", ["a", "x"])
        for member_list, at in ((one, 0), (other, 60)):
            member_list.members["x"].state = DEAD
            member_list.news("x", at * SECOND)
        for second in range(0, 300, 3):
            for member_list in (one, other):
                member_list.changed.update(a=0, b=0)
                member_list.tick(second * SECOND)
            one.take(UNPACK(PACK([m.row() for m in other.members.values()])), second * SECOND)
            other.take(UNPACK(PACK([m.row() for m in one.members.values()])), second * SECOND)
            self.asked(one, other, second * SECOND)
            self.asked(other, one, second * SECOND)
        self.assertNotIn("x", {**one.members, **other.members})

    def fleet(self, fronts, zones=4, controllers=5):
        def member(name, zone, role="bothy"):
            return Member(name, role, "ip-" + name, 7, zone, zone[0])

        return (
            [member(f"r{i}", f"{'ab'[i % 2]}{i % zones}", "refuge") for i in range(controllers)],
            [member(f"f{i:04}", f"{'ab'[i % 2]}{i % zones}") for i in range(fronts)],
        )

    def test_a_small_fleet_hears_from_refuges_and_a_large_one_through_relays(self):
        for fronts, direct in ((12, True), (80, True), (1000, False)):
            controllers, all_fronts = self.fleet(fronts)
            known = {m.name: [p.name for p in parents(m, controllers, all_fronts)[:2]] for m in all_fronts}
            children = Counter(parent for names in known.values() for parent in names)
            self.assertLessEqual(
                max(count for name, count in children.items() if name[0] == "f") if not direct else 0,
                2 * FAN + 2,
            )
            self.assertEqual(all(name[0] == "r" for names in known.values() for name in names), direct)
            for m in all_fronts:  # relays stand before those that hear from them: nothing goes round
                self.assertEqual(len(set(known[m.name])), 2)
                self.assertTrue(all(name[0] == "r" or name < m.name for name in known[m.name]))
            self.assertLessEqual(
                sum(count for name, count in children.items() if name[0] == "r"),
                BORNE * len(controllers) + 2 * 4,
            )

    def test_no_single_loss_takes_the_news_from_a_pilot(self):
        controllers, fronts = self.fleet(1000)
        known = {m.name: [p.name for p in parents(m, controllers, fronts)[:2]] for m in fronts}
        for lost in [m.name for m in controllers + fronts[:40]]:
            heard = {m.name for m in controllers} - {lost}
            for name, above in sorted(known.items()):
                if name != lost and heard & set(above):
                    heard.add(name)
            self.assertEqual({*known} - heard - {lost}, set())


class News(unittest.TestCase):
    def test_what_is_held_never_goes_back(self):
        updates, seen = VersionedStore(), []
        updates.watchers.append(lambda key, version, value: seen.append((key, version)))
        for version, value in ((2, b"new"), (1, b"old"), (2, b"twin"), (3, b"newer")):
            updates.offer("timetable", version, value)
        self.assertEqual((seen, updates.get("timetable")), ([("timetable", 2), ("timetable", 3)], b"newer"))

    def test_a_gap_is_filled_from_what_the_child_tells(self):
        parent, child = VersionedStore(), VersionedStore()
        for number in range(4):
            parent.offer(f"hut/{number}", [number, 0], {"n": number})
        child.offer("hut/1", [1, 0], {"n": 1})
        child.offer("hut/2", [1, 0], None)
        buckets, rows = parent.compare(child.digest())
        rows += parent.missing(child.versions(buckets))[0]
        self.assertEqual(sorted(row[0] for row in rows), ["hut/0", "hut/2", "hut/3"])
        child.take(rows)
        self.assertEqual((child.digest(), child.entries), (parent.digest(), parent.entries))

    def test_sums_of_relays_add_up(self):
        top, low = LoadAggregate(), LoadAggregate()
        low.request("s")
        low.key("k", 7)
        low.answer("k", 900)
        top.key("k", 7, 2)
        low.told("e", 0.5)
        top.request("s")
        top.add(low.take())
        self.assertEqual(
            top.take(),
            {"came": {"s": 2}, "keys": {"k": {7: 3}}, "bytes": {"k": 900}, "load": {"e": [0.5, 1]}},
        )
        self.assertIsNone(top.take())


class Keys(unittest.TestCase):
    def whole(self, allocation):
        at = 0
        for r in allocation.ranges:
            self.assertEqual(r.low, at)
            at = r.high + 1
        self.assertEqual(at, KEYS)

    def test_all_keys_have_one_holder_and_leave_only_through_free(self):
        draw, allocation = random.Random(3), Allocation.of(None)
        addrs = {f"e{i}": f"10.0.0.{i}:80" for i in range(9)}
        for turn in range(200):
            able = dict.fromkeys(draw.sample(sorted(addrs), draw.randint(1, 9)), 1.0)
            before = [(r.low, r.high, r.holder, r.state) for r in allocation.ranges]
            range_assignment.evict(allocation, {r.holder for r in allocation.ranges if r.holder not in able})
            for r in allocation.ranges:
                if r.state == LEAVING and draw.random() < 0.5:
                    r.state, r.holder = FREE, ""
            heat = LoadDistribution({draw.randrange(1024): 300.0 for _ in range(3)})
            range_assignment.fill(allocation, able, addrs, heat)
            range_assignment.spread(allocation, able, heat, {*able})
            self.whole(allocation)
            for low, high, holder, state in before:
                if state == LEAVING:
                    for r in allocation.ranges:
                        if r.state == HELD and r.low >= low and r.high <= high:
                            self.assertGreater(r.fence, 0)
            fences = [(r.holder, r.fence) for r in allocation.ranges if r.state == HELD]
            for (holder, fence), (other, same) in itertools.combinations(fences, 2):
                self.assertFalse(fence == same and holder != other, "one fence, two holders")
        self.assertEqual(Allocation.of(allocation.rows()).rows(), allocation.rows())


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


class Answers(unittest.TestCase):
    HEAD = b"HTTP/1.1 200 OK\r\nX-Try-Id: %b\r\nContent-Length: %d\r\n\r\n"

    def answer(self, id, body):
        return self.HEAD % (id, len(body)) + body

    def test_a_body_ends_where_its_message_ends(self):
        replies = Replies()
        replies.feed(self.answer(b"1", b"a") + self.answer(b"0", b"old"))
        self.assertEqual([bytes(m.body) for m in replies.whole], [b"a", b"old"])

    def test_what_is_whole_before_garbage_counts_and_the_rest_is_told(self):
        replies = Replies()
        with self.assertRaises(HTTPParseError):
            replies.feed(self.answer(b"1", b"abc") + b"\x00\x01garbage\r\n\r\n")
        self.assertEqual([bytes(m.body) for m in replies.whole], [b"abc"])
        self.assertTrue(replies.parser_failed() or replies.begun)

    def test_cut_bodies_never_look_whole(self):
        whole = self.answer(b"1", b"abcdef")
        for cut in range(len(whole)):
            replies = Replies()
            replies.feed(whole[:cut])
            self.assertEqual(replies.whole, [])

    def test_an_answer_to_head_ends_with_its_head(self):
        replies = Replies(bare=True)
        replies.feed(self.HEAD % (b"1", 500))
        self.assertEqual([(m.get("content-length"), bytes(m.body)) for m in replies.whole], [("500", b"")])

    def test_interim_answers_are_passed_over_in_any_portions(self):
        data = b"HTTP/1.1 100 Continue\r\n\r\n" + self.answer(b"7", b"xy")
        for size in range(1, len(data)):
            replies = Replies()
            for at in range(0, len(data), size):
                replies.feed(data[at : at + size])
            self.assertEqual(
                [(m.status, m.get("x-try-id"), bytes(m.body)) for m in replies.whole],
                [(200, "7", b"xy")],
                size,
            )


class Placement(unittest.TestCase):
    def places(self, count=8, far=4):
        return [Candidate(f"e{i}", "desk", "s" if i < far else "r", 2 if i % 2 else 4) for i in range(count)]

    def run_for(self, placer, counts, seconds, places, start=0):
        for second in range(start, start + seconds):
            placer.heard(counts, second * SECOND)
            for _ in placer.run(places, second * SECOND):
                pass

    def test_hot_slices_gain_copies_within_their_homes_and_quiet_ones_stay_where_they_are(self):
        placer, places = Placer(1), self.places()
        placer.slices(
            [("hot desk", "desk", ()), ("home desk", "desk", ("r",)), ("idle desk", "desk", ())], {}
        )
        self.run_for(placer, {"hot desk": 80, "home desk": 20, "idle desk": 1}, 30, places)
        want = {name: unit.want for name, unit in placer.units.items()}
        self.assertGreaterEqual(len(want["hot desk"]), 6)
        self.assertEqual(len(want["idle desk"]), 1)
        self.assertLessEqual(want["home desk"], {"e4", "e5", "e6", "e7"})

    def test_a_lost_endpoint_is_left_at_once_and_little_else_moves(self):
        placer, places = Placer(1), self.places(far=0)
        names = [f"s{i} desk" for i in range(12)]
        placer.slices([(name, "desk", ()) for name in names], {})
        self.run_for(placer, dict.fromkeys(names, 5), 25, places)
        before = {name: set(unit.want) for name, unit in placer.units.items()}
        lost = next(iter(before[names[0]]))
        self.run_for(placer, dict.fromkeys(names, 5), 1, [p for p in places if p.id != lost], start=25)
        after = {name: set(unit.want) for name, unit in placer.units.items()}
        self.assertTrue(all(lost not in ids for ids in after.values()))
        moved = [name for name in names if lost not in before[name] and before[name] != after[name]]
        self.assertLessEqual(len(moved), 4)

    def test_a_cold_endpoint_gains_at_most_one_slice_a_run(self):
        placer, places = Placer(1), self.places(far=0)
        names = [f"s{i} desk" for i in range(12)]
        placer.slices([(name, "desk", ()) for name in names], {})
        self.run_for(placer, dict.fromkeys(names, 5), 25, places)
        fresh = Candidate("new", "desk", "r", 4, cold=True)
        held = 0
        for second in range(25, 60):
            self.run_for(placer, dict.fromkeys(names, 5), 1, [*places, fresh], start=second)
            now = sum("new" in unit.want for unit in placer.units.values())
            self.assertLessEqual(now, held + 1)
            held = now


CONFIG = {
    "edition": "0000000a",
    "wickets": [
        {
            "destination": "a.example",
            "regulations": [
                {
                    "name": "r",
                    "kind": "safe",
                    "sorting": {"postcode": "/x/"},
                    "dispatch": {"line": "desk", "deadline_ms": 2000, "tries": 2},
                },
                {
                    "name": "deep",
                    "kind": "unsafe",
                    "sorting": {"postcode": "/x/y/"},
                    "dispatch": {
                        "apportion": [{"line": "desk", "weight": 1}, {"line": "old", "weight": 0}],
                        "deadline_ms": 2000,
                        "tries": 1,
                        "home_regions": ["r"],
                    },
                },
            ],
        }
    ],
    "depots": [{"name": "desk"}, {"name": "old"}],
}


class Configuration(unittest.TestCase):
    def check(self, change=None, cut=None):
        told = msgspec.json.decode(msgspec.json.encode(CONFIG))
        if change:
            change(told["wickets"][0]["regulations"][0], told)
        return configuration.check(msgspec.json.encode(told)[:cut])

    def test_the_longest_prefix_wins(self):
        routes = configuration.Routes(self.check())
        found = [
            routes.find(runtime, path)
            for runtime, path in (
                ("a.example", "/x/1"),
                ("A.example", "/x/y/1"),
                ("a.example", "/z"),
                ("b.example", "/x/1"),
            )
        ]
        self.assertEqual([route and route.name for route in found], ["r", "deep", None, None])
        self.assertEqual(found[1].services, [("desk", 1.0)])

    def test_what_must_not_come_into_force(self):
        def setting(*path, to):
            def change(rule, told):
                place = {"rule": rule, "told": told}
                for part in path[:-1]:
                    place = place[part]
                place[path[-1]] = to

            return change

        shares = [{"line": "desk", "weight": 2}, {"line": "old", "weight": -1}]
        cases = [
            setting("rule", "kind", to="odd"),
            setting("rule", "dispatch", "line", to="nobody"),
            setting("rule", "dispatch", "apportion", to=shares),
            setting("told", "edition", to="xyz"),
            setting("rule", "dispatch", "apportion", to=[{"line": "desk", "weight": 0}]),
            setting("rule", "sorting", "postcode", to="x"),
            setting("told", "wickets", 0, "destination", to=""),
            lambda rule, told: rule["dispatch"].pop("deadline_ms"),
            lambda rule, told: told.pop("wickets"),
        ]
        for number, change in enumerate(cases):
            with self.assertRaises(configuration.ConfigError, msg=str(number)):
                self.check(change)
        size = len(msgspec.json.encode(CONFIG))
        for cut in range(1, size, 7):
            with self.assertRaises(configuration.ConfigError):
                self.check(cut=cut)

    def test_settings_name_the_field_that_is_wrong(self):
        good = (
            "sender: {node_name: n, ip: 10.0.0.1, zone: z, region: r}\n"
            "network: {posts: {front: '10.0.0.1:80'}, spare_ports: [7000, 7010], news: 1}\n"
        )
        self.assertEqual(settings.parse(good).inner(1), ("10.0.0.1", 7001))
        for text, word in (
            (good.replace("zone: z, ", ""), "zone"),
            ("a: [", "YAML"),
            (good.replace("[7000, 7010]", "many"), "spare_ports"),
        ):
            with self.assertRaisesRegex(settings.SettingsError, word):
                settings.parse(text)


class Desk(unittest.TestCase):
    def test_statuses_tell_what_went_wrong(self):
        import tempfile
        from pathlib import Path

        from typer.testing import CliRunner

        from flintreach.__main__ import commands

        app, run = commands(), CliRunner()
        with tempfile.TemporaryDirectory() as folder:
            good, bad = Path(folder, "good.json"), Path(folder, "bad.json")
            good.write_bytes(msgspec.json.encode(CONFIG))
            bad.write_bytes(msgspec.json.encode(CONFIG | {"depots": []}))
            for words, status, said in (
                (["check", good], 0, "2 routes"),
                (["check", bad], 2, "unknown line"),
                (["check", folder], 2, ""),
                (["show", "moon", "--at", "x:1"], 2, ""),
            ):
                found = run.invoke(app, [str(word) for word in words])
                self.assertEqual(found.exit_code, status, words)
                self.assertIn(said, found.output)


class Fronts(unittest.TestCase):
    def test_what_two_readers_could_take_for_two_things_is_refused(self):
        from flintreach.proxy.intake import BadRequest, parse

        good = b"POST /a%2Fb?q=1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3"
        self.assertEqual(parse(good).target, "/a%2Fb?q=1")
        bad = [
            good + b"\r\nContent-Length: 3",
            good + b"\r\nTransfer-Encoding: chunked",
            good + b"\r\n folded: 1",
            b"GET / HTTP/1.1",
            b"GET / HTTP/1.1\r\nHost: a\nX: 1",
            b"GET  / HTTP/1.1\r\nHost: a",
            b"GET /a b HTTP/1.1\r\nHost: a",
            b"GET / HTTP/1.1\r\nHost : a",
            good.replace(b" 3", b" +3"),
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked",
            b"GET / HTTP/1.1\r\nHost: a\r\nHost: b",
        ]
        for head in bad:
            with self.assertRaises(BadRequest, msg=head):
                parse(head)

    def test_a_request_under_way_is_not_idle(self):
        """The trace of LOST on a hunted day: the leaving loop closed a connection that worked."""
        from flintreach.proxy.front import FrontHandler

        class Quiet:
            def recv(self, *_):
                raise BlockingIOError

        handler = FrontHandler(SimpleNamespace(_sock=Quiet()), None, None)
        self.assertTrue(handler.idle())
        handler.pending = 1
        self.assertFalse(handler.idle())


if __name__ == "__main__":
    unittest.main()
