"""Who votes in the register, and how that changes: cases, every order of messages, a death at every
message."""

import contextlib
import shutil
import sqlite3
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

import msgspec

from flintreach.consensus import recovery
from flintreach.consensus.acceptor import Slot
from flintreach.consensus.quorum import Voters
from flintreach.consensus.reconfiguration import Reconfiguration
from flintreach.consensus.register import Register
from flintreach.consensus.store import LOG_BYTES, Store, StoreError
from flintreach.consensus.voter_selection import (
    CALM_S,
    MOST,
    Disk,
    Losses,
    borne,
    exchanged,
    first,
    ordered,
    wanted,
)
from flintreach.controller.voter_management import VoterManager
from tests.consensus.voters_model import Model

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode


def at(name):
    return f"10.0.0.{ord(name) - 96}", 7


def voters(epoch, old, new=""):
    return Voters(epoch, *(tuple((at(name), f"{name}0") for name in names) for names in (old, new)))


def disks(text):
    """ "a:x b:y- c:z+ d:x~": names and zones; - dead, ~ leaving, + caught up and outside."""
    found = []
    for word in text.split():
        name, rest = word.split(":")
        found.append(Disk(at(name), rest[0], rest[0], f"{name}0", "-" not in rest, "~" in rest, "+" in rest))
    return found


class Wanted(unittest.TestCase):
    def test_losses_that_are_borne(self):
        """(zones of the voters, losses, whether they are borne)"""
        for places, losses, good in (
            ("a", (0, 0), True),
            ("a", (1, 0), False),
            ("ab", (1, 0), False),
            ("abc", (1, 1), True),
            ("abcd", (1, 1), True),
            ("aabb", (0, 1), False),
            ("aabbc", (1, 1), True),
            ("abcc", (1, 1), False),
            ("abcd", (2, 1), False),
            ("abcde", (2, 1), True),
            ("aabbc", (2, 1), True),
            ("aaabb", (2, 1), False),
            ("abcdef", (2, 1), True),
            ("aaa", (0, 1), False),
        ):
            self.assertEqual(borne([(zone, "r") for zone in places], Losses(*losses)), good, (places, losses))
        regions = [("a", "r"), ("b", "r"), ("c", "s")]
        self.assertTrue(borne(regions, Losses(1, 1, 0)))
        self.assertFalse(borne(regions, Losses(1, 1, 1)))

    def test_nobody_settles_for_fewer_than_bear_the_losses(self):
        """The first start of a grown site: two of five were there after 0.6 s, and voted for ever."""
        five, losses = disks("a:v b:w c:x d:y e:z"), Losses(2, 1)
        for known in range(1, 5):
            self.assertIsNone(first(five[:known], losses, 2.5), known)
        self.assertEqual(first(five, losses, 0.6).members(), [at(name) for name in "abcde"])
        self.assertEqual(first(five[:3], losses, 6.0).members(), [at(name) for name in "abc"])
        self.assertEqual(first(five[:1], Losses(), 0.6), voters(1, "a"))
        # A second disk of a zone would make the loss of that zone fatal: it is left out until there are more.
        self.assertEqual(first(disks("a:x b:y c:z d:z"), Losses(1, 1), 0.6), voters(1, "abc"))

    def test_what_should_follow(self):
        """(voters, disks, machines and zones to be borne, seconds of calm, the set that follows or "")"""
        calm = CALM_S
        for old, known, losses, since, after in (
            ("abc", "a:x b:y c:z", (1, 1), 99, ""),
            ("abc", "a:x b:y c:z-", (1, 1), 99, ""),  # dead, and nobody to take its place
            ("abc", "a:x b:y c:z- d:z+", (1, 1), 0, "abd"),  # without delay
            ("abc", "a:x b:y c:z- d:z", (1, 1), 99, ""),  # not caught up
            ("abc", "a:x b:y c:z- d:z+-", (1, 1), 99, ""),
            ("abc", "a:x b:y c:z d:z+", (1, 1), 99, ""),  # two of four in one zone
            ("abc", "a:x b:y c:z~ d:z+", (1, 1), 0, "abd"),
            ("abc", "a:x b:y c:z- d:y+ e:z+", (1, 1), 0, "abe"),  # the zone of the lost one first
            ("abc", "a:x b:y c:z- d:y+", (1, 1), 0, "abd"),  # machines borne again, if not zones
            ("abd", "a:x b:y d:y c:z+", (1, 1), calm, "acd"),  # and the zones when one comes there
            ("abc", "a:x b:y c:z d:w+", (1, 1), 0, ""),
            ("abc", "a:x b:y c:z d:w+", (1, 1), calm, "abcd"),
            ("abcd", "a:x b:y c:z d:w-", (1, 1), 0, "abc"),  # of an even number it costs nothing
            ("abcde", "a:v b:w c:x d:y e:z-", (1, 1), 99, ""),  # of an odd one it would gain nothing
            ("abcde", "a:v b:w c:x d:y- e:z-", (1, 1), 99, ""),  # cut off, perhaps
            ("abcde", "a:v b:w c:x d:y~ e:z~", (1, 1), 0, "abce"),
            ("abcdef", "a:u b:v c:w d:x e:y f:z~", (2, 1), 0, "abcde"),
            ("abcde", "a:v b:w c:x d:y e:z~", (2, 1), 0, ""),  # it may only restart
            ("ab", "a:x b:y c:z+", (1, 1), calm, "abc"),
            ("a", "a:x b:x+", (1, 1), calm, "ab"),
            ("abcdefghi", "a:a b:b c:c d:d e:e f:f g:g h:h i:i j:j+", (2, 1), 99, ""),
        ):
            found = wanted(voters(4, old), disks(known), Losses(*losses), since)
            names = "" if found is None else "".join(chr(96 + int(a[0].split(".")[3])) for a, _ in found.new)
            self.assertEqual(names, after, (old, known))
            if found:
                self.assertEqual((found.epoch, found.old), (5, voters(4, old).old))
                self.assertLessEqual(len({*found.old} ^ {*found.new}), 2)
        self.assertIsNone(wanted(voters(4, "ab", "ac"), disks("a:x b:y- c:z d:y+"), Losses(1, 1), 99))
        self.assertIsNone(wanted(voters(0, "ab"), disks("a:x b:y- c:z+"), Losses(1, 1), 99))
        self.assertEqual(MOST, 9)

    def test_a_voter_that_nobody_has_met_counts_with_all_such_as_one_place(self):
        found = wanted(voters(4, "abc"), disks("a:x b:y c:?- d:z+"), Losses(1, 1), 0)
        self.assertEqual(found, exchanged(voters(4, "abc"), at("c"), disks("d:z")[0]))

    def test_what_an_operator_may_order(self):
        known = disks("a:x b:y c:z d:z+ e:z")
        for out, into, reason in (
            ("c", "d", ""),
            ("c", "e", "no disk"),
            (None, "d", "losses"),
            ("c", None, "losses"),
            ("d", None, "does not vote"),
            (None, None, "nobody"),
        ):
            found, said = ordered(voters(4, "abc"), known, Losses(1, 1), out and at(out), into and at(into))
            self.assertEqual((found is not None, reason in said), (not reason, True), (out, into, said))
        self.assertIn("settled", ordered(voters(4, "ab", "ac"), known, Losses(), at("a"), None)[1])


class Unfenced(Register):
    """Planted: who knows a later epoch takes the earlier one all the same."""

    def check(self, epoch):
        return ["behind"] if epoch > self.voters.epoch else None


class Forgetful(Register):
    """Planted: a disk that came back empty votes at once."""

    def settle(self):
        super().settle()
        if self.voters.epoch:
            self.acceptor.voting = self.peer_pool.address in self.voters.members()


LATE = {"w": 3}  # a writer whose ballots are above those of the change of voters


class EveryOrder(unittest.TestCase):
    """All orders of messages, losses and deaths at the smallest sizes: see `voters_model`."""

    def walk(self, said, epoch, acked, **told):
        states, fault, ends = Model(**told).explore()
        print(f"{said}: {states} states")
        self.assertEqual(fault, "", said)
        self.assertIn((epoch, acked), ends, "the walk never came to its end")

    def test_one_is_taken_in_left_out_or_exchanged(self):
        self.walk("1 to 2", 3, "w", start="a", target="ab", actors="wP")
        self.walk("1 to 2, a late ballot", 3, "w", start="a", target="ab", actors="wP", rounds=LATE)
        self.walk("2 to 3", 3, "w", start="ab", target="abc", actors="wP")
        self.walk("2 to 3, a late ballot", 3, "w", start="ab", target="abc", actors="wP", rounds=LATE)
        self.walk("2 to 3, two writers", 3, "mw", start="ab", target="abc", actors="wmP", retries=1)
        self.walk("3 to 2", 3, "", start="abc", target="ab", actors="wP", retries=1, rounds=LATE)
        self.walk("3 with one exchanged", 3, "w", start="abc", target="abd", actors="wP", retries=1)

    def test_two_change_the_voters_at_once_and_either_may_die(self):
        self.walk("2 to 3 by two", 3, "w", start="ab", target="abc", actors="wPQ", retries=1)
        self.walk("to 3 and to 1", 5, "", start="ab", target="abc", actors="PQ", retries=1, goals={"Q": "a"})

    def test_a_disk_is_lost_at_any_moment(self):
        self.walk("3, one wiped", 2, "w", start="abc", target="abc", actors="w0", retries=1, wipes=1)
        self.walk("2 to 3, one wiped", 3, "w", start="ab", target="abc", actors="wP", retries=1, wipes=1)
        self.walk("2 to 3, the new one wiped", 4, "", start="ab", target="abc", actors="P2", wipes=1)

    def test_the_walk_finds_what_is_planted(self):
        exchange = {"start": "abc", "target": "abd", "actors": "wP", "retries": 1}
        wiped = {"start": "abc", "target": "abc", "actors": "w0", "retries": 1, "wipes": 1}
        for said, told in (
            ("no key read before the new set is alone", exchange | {"rewrite": False}),
            ("no epochs", exchange | {"register": Unfenced, "rounds": LATE}),
            ("relearned before its life was recorded", wiped | {"renew": False}),
            ("votes while it is empty", wiped | {"register": Forgetful}),
        ):
            states, fault, _ = Model(**told).explore()
            print(f"planted, {said}: found after {states} states: {fault}")
            self.assertIn("is read though", fault, said)


class Died(Exception):
    """The process that asked is dead."""


class Runtime:
    """A clock that sleeps move, one thing at a time."""

    def __init__(self):
        self.time, self.spawned = 0.0, []
        self.chance = SimpleNamespace(uniform=lambda low, high: low)

    def now(self):
        return self.time

    def sleep(self, seconds):
        self.time += seconds
        assert self.time < 100.0, "it waits for ever"

    def lock(self):
        return contextlib.nullcontext()

    def all(self, calls, timeout):
        for call in calls:
            call()


class PeerPool:
    def __init__(self, net, address):
        self.net, self.address, self.runtime, self.handlers = net, address, net.runtime, {}

    def ask(self, address, kind, body=None, timeout=1.0):
        if self.address == self.net.mortal:
            if not self.net.breath:
                raise Died
            self.net.breath -= 1
        if {address, self.address} & self.net.down or address not in self.net.bundles:
            return None
        handler = self.net.bundles[address].handlers.get(kind)
        answer = handler(None, UNPACK(PACK(body))) if handler else None
        return UNPACK(PACK(answer))

    def gather(self, addresses, kind, body, enough, timeout=1.0, ask=None):
        answers = []
        for address in addresses:
            said = (ask or self.ask)(address, kind, body(address) if callable(body) else body, timeout)
            if said is not None:
                answers.append((address, said))
            if enough(answers):
                break
        return answers


class Platter:
    """What `Store` promises, in memory."""

    def __init__(self, life, voting=True):
        self.life, self.voting, self.slots, self.facts, self.during = life, voting, {}, {}, None

    def keep(self, slots, facts=None, huts=None):
        if self.during:
            during, self.during = self.during, None
            during()
        self.facts.update(facts or {})
        return True


class Net:
    """Registers and their turnovers, one process each, by name."""

    def __init__(self, names, start):
        self.runtime, self.bundles, self.down = Runtime(), {}, set()
        self.mortal, self.breath, self.registers, self.turnovers, self.collected = None, 0, {}, {}, []
        for name in names:
            self.join(name, voters(1, start), name in start)

    def join(self, name, known, voting, life="0"):
        peer_pool = self.bundles[at(name)] = PeerPool(self, at(name))
        register = self.registers[name] = Register(peer_pool, known, Platter(f"{name}{life}", voting))
        self.turnovers[name] = Reconfiguration(register, lambda: self.collected.append(name) or True)
        return register

    def exchange(self, by, out, into):
        register = self.registers[by]
        spare = into and Disk(at(into), "z", "r", self.registers[into].store.life)
        wish = exchanged(register.voters, out and at(out), spare)
        return self.turnovers[by].decide(wish) and self.turnovers[by].carry_on()

    def put(self, by, key, value):
        return self.registers[by].change(key, lambda old: value, 0.5)[0]


class Turning(unittest.TestCase):
    def test_a_change_goes_on_whatever_message_its_proposer_died_before(self):
        """The first exchange ends at each of its messages in turn; another voter finishes it."""
        deaths = 0
        for breath in range(500):
            net = Net("abcd", "abc")
            self.assertTrue(net.put("a", "k", b"1") and net.put("b", "m", b"1"))
            self.assertTrue(net.turnovers["d"].catch_up())
            net.down.add(at("c"))
            net.mortal, net.breath = at("a"), breath
            done = False
            with contextlib.suppress(Died):
                done = net.exchange("a", "c", "d")
            net.mortal = None
            self.assertTrue(net.put("b", "k", b"2"), breath)  # what stands is written on in any case
            for _ in range(4):
                if net.registers["b"].voters.joint:
                    net.turnovers["b"].carry_on()
                elif at("d") not in net.registers["b"].group:
                    self.assertTrue(net.exchange("b", "c", "d"), breath)
            self.assertEqual(net.registers["b"].voters, voters(3, "abd"), breath)
            net.down.add(at("a"))  # the new one and one of the old hold all that was acknowledged
            for by in "bd":
                self.assertEqual(net.registers[by].read("k", 0.5), (True, b"2"), breath)
                self.assertEqual(net.registers[by].read("m", 0.5), (True, b"1"), breath)
            net.down.remove(at("c"))  # and the one left out is refused, told, and decides nothing
            net.down.add(at("b"))
            self.assertFalse(net.put("c", "k", b"old"))
            deaths += not done
            if done:
                break
        self.assertTrue(done)
        self.assertGreater(deaths, 15)

    def test_once_an_exchange_is_done_its_proposer_may_go_with_the_one_left_out(self):
        """Who knows the joint epoch alone would need a majority of the old set, of which two are gone."""
        for proposer in "ab":
            net = Net("abcd", "abc")
            self.assertTrue(net.put("a", "k", b"1") and net.turnovers["d"].catch_up())
            self.assertTrue(net.exchange(proposer, "c", "d"))
            net.down |= {at(proposer), at("c")}
            left = next(name for name in "ab" if name != proposer)
            self.assertTrue(net.put(left, "k", b"2"))
            self.assertEqual(net.registers["d"].read("k", 0.5), (True, b"2"))

    def test_an_exchange_that_a_quorum_of_the_new_set_has_not_on_disk_is_not_done(self):
        net, full = Net("abcd", "abc"), False

        def keeps(keep):
            return lambda slots, facts=None: not (full and "voters" in (facts or ())) and keep(slots, facts)

        def decide(wish, first=net.turnovers["a"].decide):
            nonlocal full
            full = not wish.joint  # two disks take none of the last step
            return first(wish)

        self.assertTrue(net.turnovers["d"].catch_up())
        for name in "bd":
            net.registers[name].store.keep = keeps(net.registers[name].store.keep)
        net.turnovers["a"].decide = decide
        self.assertFalse(net.exchange("a", "c", "d"))
        self.assertEqual(net.registers["a"].voters, voters(3, "abd"))
        full = False
        self.assertTrue(net.turnovers["a"].told())
        self.assertEqual([net.registers[name].voters.epoch for name in "ab"], [3, 3])

    def test_the_endpoint_records_are_collected_before_the_new_set_is_alone(self):
        net = Net("abcd", "abc")
        self.assertTrue(net.turnovers["d"].catch_up())
        net.collected.clear()
        net.turnovers["d"].collect = lambda: False
        net.turnovers["b"].collect = lambda: False
        self.assertFalse(net.exchange("a", "c", "d"))
        self.assertTrue(net.registers["a"].voters.joint)
        net.turnovers["d"].collect = lambda: True
        self.assertTrue(net.turnovers["b"].carry_on())

    def test_an_old_voter_comes_back_without_what_no_quorum_took(self):
        """Its accepted value has a ballot above those of later changes: it must not come to light with it."""
        net = Net("abcd", "abc")
        self.assertTrue(net.put("a", "k", b"1"))
        old = net.registers["c"]
        old.acceptor.slots["k"] = Slot((90, "x"), (90, "x"), b"never")
        old.acceptor.slots["n"] = Slot((90, "x"), (90, "x"), b"never")
        net.down.add(at("c"))
        self.assertTrue(net.turnovers["d"].catch_up() and net.exchange("a", "c", "d"))
        net.down.clear()
        self.assertFalse(net.turnovers["c"].on_disk(None, None)[1])
        self.assertEqual(old.read("k", 0.5), (True, b"1"))  # it hears that it doesn't vote
        self.assertTrue(net.turnovers["c"].catch_up())
        self.assertEqual(net.turnovers["c"].on_disk(None, 3), ["c0", True])
        self.assertEqual(
            {key: slot.value for key, slot in old.acceptor.slots.items() if key != "voters"}, {"k": b"1"}
        )
        self.assertTrue(net.exchange("b", "a", "c"))
        self.assertEqual(old.read("k", 0.5), (True, b"1"))
        self.assertTrue(old.votes())

    def test_a_lost_disk_has_its_life_recorded_and_learns_before_it_votes(self):
        net = Net("abc", "abc")
        self.assertTrue(net.put("a", "k", b"1"))
        fresh = net.join("c", Voters(), False, "1")
        fresh.adopt(net.registers["a"].voters)
        self.assertEqual(fresh.on_prepare(None, ["k", [9, "z"], 1])[0], "mute")
        self.assertFalse(fresh.relearn(), "its life is not recorded yet")
        net.down.add(at("b"))
        self.assertFalse(net.turnovers["c"].enter())  # one other is no quorum
        net.down.clear()
        self.assertTrue(net.turnovers["c"].enter())
        self.assertEqual(fresh.voters.lives(at("c")), {"c1"})
        self.assertEqual((fresh.voters.epoch, fresh.acceptor.slots["k"].value), (2, b"1"))
        self.assertEqual(fresh.store.facts["voting"], "1")
        before = Register(PeerPool(net, at("c")), fresh.voters, Platter("c0"))
        self.assertFalse(before.votes(), "the disk of before came back")

    def test_what_is_accepted_while_the_epoch_moves_does_not_count(self):
        """Whoever lists the keys of the later epoch may have missed it."""
        net = Net("abc", "abc")
        register = net.registers["a"]
        register.store.during = lambda: register.adopt(voters(2, "abc", "ab"))
        self.assertEqual(register.on_accept(None, ["k", [1, "x"], b"1", "a0", 1])[0], "newer")

    def test_epochs_on_the_disk_never_go_back(self):
        net = Net("abc", "abc")
        register = net.registers["a"]
        self.assertTrue(register.adopt(voters(5, "abc")))
        self.assertTrue(register.adopt(voters(4, "ab")))
        self.assertEqual(Voters.kept(register.store.facts), voters(5, "abc"))
        self.assertEqual(register.check(4), ["newer", voters(5, "abc").row()])
        register.store.keep = lambda *_: False
        self.assertFalse(register.adopt(voters(6, "abc")))
        self.assertEqual(register.voters.epoch, 5)

    def test_the_list_of_earlier_texts_is_epoch_one(self):
        self.assertEqual(
            Voters.kept({"circle": "10.0.0.2:7,10.0.0.1:7"}), Voters(1, ((at("a"), ""), (at("b"), "")))
        )
        self.assertEqual(Voters.kept({}), Voters())
        register = Net("ab", "ab").registers["a"]
        register.voters = Voters(1, ((at("a"), ""), (at("b"), "")))
        register.settle()
        self.assertTrue(register.votes())


class Starts(unittest.TestCase):
    def plane(self, net, name, coming, machines=2):
        """A refuge's plane as far as `Voting` needs it; `coming`: (from which second, name, zone)."""
        register, runtime = net.registers[name], net.runtime

        class MemberList:
            @property
            def members(self):
                return {
                    n: SimpleNamespace(
                        name=n, role="refuge", address=at(n), zone=zone, region="r", state=0, counted=True
                    )
                    for since, n, zone in coming
                    if runtime.now() >= since
                }

        losses = SimpleNamespace(machines=machines, zones=1, regions=0)
        return SimpleNamespace(
            runtime=runtime,
            register=register,
            peer_pool=register.peer_pool,
            member_list=MemberList(),
            first_run=True,
            node=SimpleNamespace(tariffs=SimpleNamespace(losses=losses)),
            seeds=lambda: [at(n) for n in "abc"],
            endpoints=SimpleNamespace(collect=lambda: True),
        )

    def started(self, coming):
        net = Net("abcde", "abcde")
        for register in net.registers.values():
            register.voters = Voters()
        voting = VoterManager(self.plane(net, "a", coming))
        voting.find()
        return net, voting

    def test_slow_starters_are_waited_for(self):
        """Two of five were known for seconds: the register settled on them, and lost what two disks held."""
        coming = [(0, "a", "v"), (0, "b", "w"), (3.1, "c", "x"), (3.2, "d", "y"), (5.5, "e", "z")]
        net, voting = self.started(coming)
        self.assertEqual(voting.register.voters, voters(1, "abcde"))
        self.assertLess(net.runtime.now(), 7.0)
        self.assertEqual(Voters.kept(voting.register.store.facts), voters(1, "abcde"))

    def test_fewer_are_settled_for_when_no_more_come(self):
        net, voting = self.started([(0, "a", "v"), (0, "b", "w")])
        self.assertEqual(voting.register.voters.members(), [at("a"), at("b")])
        self.assertGreaterEqual(net.runtime.now(), 6.0)

    def test_no_growth_around_a_voter_that_nobody_has_met_since_all_were_killed(self):
        """One was gone for good before: its successor came in beside it, a set of four with one dead, and the
        next loss took the majority (simulated seed 337)."""
        net = Net("abcd", "abc")
        net.down.add(at("c"))
        voting = VoterManager(self.plane(net, "a", [(0, "a", "v"), (0, "b", "w"), (0, "d", "x")], machines=1))
        self.assertTrue(net.turnovers["d"].catch_up())
        seen = []
        while net.runtime.now() < 8.0:
            voting.check()
            if not seen or seen[-1] != net.registers["a"].voters:
                seen.append(net.registers["a"].voters)
            net.runtime.sleep(0.25)
        self.assertEqual((seen[0], seen[-1]), (voters(1, "abc"), voters(3, "abd")))
        self.assertNotIn({at(name) for name in "abcd"}, [one for held in seen for one in held.sets])

    def test_seeds_of_the_first_start_are_kept_and_later_ones_decide_nothing(self):
        net, voting = self.started([(0, "a", "v"), (0, "b", "w")])
        kept = Voters.kept(net.registers["a"].store.facts)
        self.assertEqual(kept.epoch, 1)
        again = Net("abc", "abc")
        again.registers["a"].voters = Voters()
        plane = self.plane(again, "a", [(0, "a", "v")])
        plane.register.store.keep({}, Voters(0, tuple((at(n), "") for n in "abc")).fact())
        self.assertEqual(Voters.kept(plane.register.store.facts).members(), [at(n) for n in "abc"])


class Deaths(unittest.TestCase):
    def test_a_voter_that_is_told_dead_and_answers_is_not_replaced(self):
        """A grown day: news of a death that was none, and a living voter was exchanged for a spare."""
        for silent in (False, True):
            net = Net("abcd", "abc")
            plane = Starts().plane(net, "a", [(0, name, zone) for name, zone in zip("abcd", "xyzz")])
            plane.member_list = SimpleNamespace(
                members={
                    name: SimpleNamespace(**(vars(m) | {"state": 2 if name == "c" else 0}))
                    for name, m in plane.member_list.members.items()
                }
            )
            self.assertTrue(net.turnovers["d"].catch_up())
            if silent:
                net.down.add(at("c"))
            VoterManager(plane).check()
            self.assertEqual(net.registers["a"].voters, voters(3, "abd") if silent else voters(1, "abc"))


class Folder(unittest.TestCase):
    def setUp(self):
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    @contextlib.contextmanager
    def store(self):
        store = Store(str(self.folder), "n1", True)
        try:
            yield store
        finally:
            store.writer.kill()
            store.pool.apply(store.base.close)
            store.pool.kill()

    def test_the_file_and_its_log_stay_bounded(self):
        with self.store() as store:
            for number in range(3000):
                value = bytes([number % 251]) * 4000
                self.assertTrue(store.keep({f"k{number % 7}": Slot((number, "a"), (number, "a"), value)}))
            sizes = [(self.folder / name).stat().st_size for name in ("cairn.db", "cairn.db-wal")]
        self.assertLess(sizes[0], 400_000)
        self.assertLessEqual(sizes[1], LOG_BYTES)

    def test_a_slot_that_is_dropped_is_gone_from_the_disk(self):
        with self.store() as store:
            store.keep({"k": Slot((1, "a"), (1, "a"), b"1"), "m": Slot((1, "a"), (1, "a"), b"1")})
            self.assertTrue(store.keep({"k": None}))
        with self.store() as store:
            self.assertEqual([*store.slots], ["m"])

    def test_the_last_resort_is_explicit_fenced_and_told(self):
        with self.store() as store:
            life = store.life
            held = Voters(7, ((at("a"), life), (at("b"), "b0"), (at("c"), "c0")))
            store.keep({}, held.fact())
            with self.assertRaisesRegex(StoreError, "locked"):
                recovery.alone(str(self.folder), 7, at("a"))
        for epoch, name, reason in (
            (6, "a", "epoch 7, not 6"),
            (7, "d", "no voter"),
            (7, "b", "came back empty"),
        ):
            with self.assertRaisesRegex(StoreError, reason):
                recovery.alone(str(self.folder), epoch, at(name))
        after = recovery.alone(str(self.folder), 7, at("a"))
        self.assertEqual(after, Voters(7 + recovery.FENCE, ((at("a"), life),)))
        with self.store() as store:
            self.assertEqual(Voters.kept(store.facts), after)
            self.assertIn("epoch 1007 by hand over 7", store.facts["forced"])
        # A survivor of the old voters is refused, told, and no longer decides anything with the others.
        net = Net("abc", "abc")
        net.registers["a"].adopt(Voters(1001, ((at("a"), "a0"),)))
        self.assertTrue(net.put("b", "k", b"later"))
        self.assertEqual(net.registers["b"].voters.epoch, 1001)
        held = {name: found.acceptor.slots.get("k", Slot()).value for name, found in net.registers.items()}
        self.assertEqual(held, {"a": b"later", "b": None, "c": None})

    def test_a_disk_that_came_back_empty_is_no_last_resort(self):
        with self.store() as store:
            store.keep({}, Voters(7, ((at("a"), store.life),)).fact() | {"voting": "0"})
        with self.assertRaisesRegex(StoreError, "came back empty"):
            recovery.alone(str(self.folder), 7, at("a"))
        base = sqlite3.connect(self.folder / "cairn.db")
        base.execute("update facts set value = '9' where name = 'format'")
        base.commit()
        base.close()
        with self.assertRaisesRegex(StoreError, "format 9"):
            recovery.alone(str(self.folder), 7, at("a"))


if __name__ == "__main__":
    unittest.main()
