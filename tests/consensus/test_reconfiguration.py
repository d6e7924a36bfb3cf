"""How the voters change, a death at every message; and which changes a controller begins."""

import contextlib
import unittest
from types import SimpleNamespace

from flintreach.consensus.acceptor import Slot, Verdict
from flintreach.consensus.messages import DiskStatus
from flintreach.consensus.quorum import Voters
from flintreach.consensus.register import Register
from flintreach.controller.voter_management import VoterManager
from tests.consensus.cluster_model import (
    Cluster,
    FakePeerPool,
    InMemoryStore,
    ProcessDied,
    address_of,
    voters_of,
)


class TestReconfiguration(unittest.TestCase):
    def test_a_change_goes_on_whatever_message_its_proposer_died_before(self) -> None:
        """The first exchange ends at each of its messages in turn; another voter finishes it."""
        deaths = 0
        for request_count in range(500):
            cluster = Cluster("abcd", "abc")
            self.assertTrue(cluster.put("a", "k", b"1") and cluster.put("b", "m", b"1"))
            self.assertTrue(cluster.reconfigurations["d"].catch_up())
            cluster.down.add(address_of("c"))
            cluster.dying = address_of("a")
            cluster.requests_before_death = request_count
            done = False
            with contextlib.suppress(ProcessDied):
                done = cluster.replace_voter("a", "c", "d")
            cluster.dying = None
            self.assertTrue(
                cluster.put("b", "k", b"2"), request_count
            )  # what stands is written on in any case
            for _ in range(4):
                if cluster.registers["b"].voters.joint:
                    cluster.reconfigurations["b"].leave_joint()
                elif address_of("d") not in cluster.registers["b"].voter_addresses:
                    self.assertTrue(cluster.replace_voter("b", "c", "d"), request_count)
            self.assertEqual(cluster.registers["b"].voters, voters_of(3, "abd"), request_count)
            cluster.down.add(address_of("a"))  # the new one and one of the old hold all that was acknowledged
            for by in "bd":
                self.assertEqual(cluster.registers[by].read("k", 0.5), (True, b"2"), request_count)
                self.assertEqual(cluster.registers[by].read("m", 0.5), (True, b"1"), request_count)
            cluster.down.remove(address_of("c"))  # and the one left out is refused, told, and decides nothing
            cluster.down.add(address_of("b"))
            self.assertFalse(cluster.put("c", "k", b"old"))
            deaths += not done
            if done:
                break
        self.assertTrue(done)
        self.assertGreater(deaths, 15)

    def test_once_an_exchange_is_done_its_proposer_may_go_with_the_one_left_out(self) -> None:
        """Who knows the joint epoch alone would need a majority of the old set, of which two are gone."""
        for proposer in "ab":
            cluster = Cluster("abcd", "abc")
            self.assertTrue(cluster.put("a", "k", b"1") and cluster.reconfigurations["d"].catch_up())
            self.assertTrue(cluster.replace_voter(proposer, "c", "d"))
            cluster.down |= {address_of(proposer), address_of("c")}
            left = next(name for name in "ab" if name != proposer)
            self.assertTrue(cluster.put(left, "k", b"2"))
            self.assertEqual(cluster.registers["d"].read("k", 0.5), (True, b"2"))

    def test_an_exchange_that_a_quorum_of_the_new_set_has_not_on_disk_is_not_done(self) -> None:
        cluster = Cluster("abcd", "abc")
        full = False

        def keeps(persist):
            return lambda slots, facts=None: (
                not (full and "voters" in (facts or ())) and persist(slots, facts)
            )

        def decide(wish, first=cluster.reconfigurations["a"].propose):
            nonlocal full
            full = not wish.joint  # two disks take none of the last step
            return first(wish)

        self.assertTrue(cluster.reconfigurations["d"].catch_up())
        for name in "bd":
            cluster.registers[name].store.persist = keeps(cluster.registers[name].store.persist)
        cluster.reconfigurations["a"].propose = decide
        self.assertFalse(cluster.replace_voter("a", "c", "d"))
        self.assertEqual(cluster.registers["a"].voters, voters_of(3, "abd"))
        full = False
        self.assertTrue(cluster.reconfigurations["a"].announce())
        self.assertEqual([cluster.registers[name].voters.epoch for name in "ab"], [3, 3])

    def test_the_endpoint_records_are_collected_before_the_new_set_is_alone(self) -> None:
        cluster = Cluster("abcd", "abc")
        self.assertTrue(cluster.reconfigurations["d"].catch_up())
        cluster.collected.clear()
        cluster.reconfigurations["d"].collect_records = lambda: False
        cluster.reconfigurations["b"].collect_records = lambda: False
        self.assertFalse(cluster.replace_voter("a", "c", "d"))
        self.assertTrue(cluster.registers["a"].voters.joint)
        cluster.reconfigurations["d"].collect_records = lambda: True
        self.assertTrue(cluster.reconfigurations["b"].leave_joint())

    def test_an_old_voter_comes_back_without_what_no_quorum_took(self) -> None:
        """Its accepted value has a ballot above those of later changes: it must not come to light with it."""
        cluster = Cluster("abcd", "abc")
        self.assertTrue(cluster.put("a", "k", b"1"))
        old = cluster.registers["c"]
        old.acceptor.slots["k"] = Slot((90, "x"), (90, "x"), b"never")
        old.acceptor.slots["n"] = Slot((90, "x"), (90, "x"), b"never")
        cluster.down.add(address_of("c"))
        self.assertTrue(cluster.reconfigurations["d"].catch_up() and cluster.replace_voter("a", "c", "d"))
        cluster.down.clear()
        self.assertFalse(cluster.reconfigurations["c"].on_disk_status(None, None).caught_up)
        self.assertEqual(old.read("k", 0.5), (True, b"1"))  # it hears that it doesn't vote
        self.assertTrue(cluster.reconfigurations["c"].catch_up())
        self.assertEqual(cluster.reconfigurations["c"].on_disk_status(None, 3), DiskStatus("c0", True))
        self.assertEqual(
            {key: slot.value for key, slot in old.acceptor.slots.items() if key != "voters"}, {"k": b"1"}
        )
        self.assertTrue(cluster.replace_voter("b", "a", "c"))
        self.assertEqual(old.read("k", 0.5), (True, b"1"))
        self.assertTrue(old.can_vote())

    def test_a_lost_disk_has_its_incarnation_recorded_and_relearns_before_it_votes(self) -> None:
        cluster = Cluster("abc", "abc")
        self.assertTrue(cluster.put("a", "k", b"1"))
        fresh = cluster.join("c", Voters(), False, 1)
        fresh.adopt(cluster.registers["a"].voters)
        self.assertEqual(fresh.on_prepare(None, ["k", [9, "z"], 1]).verdict, Verdict.ABSTAIN)
        self.assertFalse(fresh.recover_promises(), "its incarnation is not recorded yet")
        cluster.down.add(address_of("b"))
        self.assertFalse(cluster.reconfigurations["c"].start_voting())  # one other is no quorum
        cluster.down.clear()
        self.assertTrue(cluster.reconfigurations["c"].start_voting())
        self.assertEqual(fresh.voters.incarnations(address_of("c")), {"c1"})
        self.assertEqual((fresh.voters.epoch, fresh.acceptor.slots["k"].value), (2, b"1"))
        self.assertEqual(fresh.store.facts["voting"], "1")
        before = Register(FakePeerPool(cluster, address_of("c")), fresh.voters, InMemoryStore("c0"))
        self.assertFalse(before.can_vote(), "the lost disk came back")


class Starts(unittest.TestCase):
    def plane(self, net, name, coming, machines=2):
        """A refuge's plane as far as `Voting` needs it; `coming`: (from which second, name, zone)."""
        register, runtime = net.registers[name], net.runtime

        class MemberList:
            @property
            def members(self):
                return {
                    n: SimpleNamespace(
                        name=n,
                        role="refuge",
                        address=address_of(n),
                        zone=zone,
                        region="r",
                        state=0,
                        counted=True,
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
            node=SimpleNamespace(rules=SimpleNamespace(losses=losses)),
            seeds=lambda: [address_of(n) for n in "abc"],
            endpoints=SimpleNamespace(sync_from_quorum=lambda: True),
        )

    def started(self, coming):
        net = Cluster("abcde", "abcde")
        for register in net.registers.values():
            register.voters = Voters()
        voting = VoterManager(self.plane(net, "a", coming))
        voting.discover()
        return net, voting

    def test_slow_starters_are_waited_for(self):
        """Two of five were known for seconds: the register settled on them, and lost what two disks held."""
        coming = [(0, "a", "v"), (0, "b", "w"), (3.1, "c", "x"), (3.2, "d", "y"), (5.5, "e", "z")]
        net, voting = self.started(coming)
        self.assertEqual(voting.register.voters, voters_of(1, "abcde"))
        self.assertLess(net.runtime.now(), 7.0)
        self.assertEqual(Voters.from_facts(voting.register.store.facts), voters_of(1, "abcde"))

    def test_fewer_are_settled_for_when_no_more_come(self):
        net, voting = self.started([(0, "a", "v"), (0, "b", "w")])
        self.assertEqual(voting.register.voters.members(), [address_of("a"), address_of("b")])
        self.assertGreaterEqual(net.runtime.now(), 6.0)

    def test_no_growth_around_a_voter_that_nobody_has_met_since_all_were_killed(self):
        """One was gone for good before: its successor came in beside it, a set of four with one dead, and the
        next loss took the majority (simulated seed 337)."""
        net = Cluster("abcd", "abc")
        net.down.add(address_of("c"))
        voting = VoterManager(self.plane(net, "a", [(0, "a", "v"), (0, "b", "w"), (0, "d", "x")], machines=1))
        self.assertTrue(net.reconfigurations["d"].catch_up())
        seen = []
        while net.runtime.now() < 8.0:
            voting.reconcile()
            if not seen or seen[-1] != net.registers["a"].voters:
                seen.append(net.registers["a"].voters)
            net.runtime.sleep(0.25)
        self.assertEqual((seen[0], seen[-1]), (voters_of(1, "abc"), voters_of(3, "abd")))
        self.assertNotIn({address_of(name) for name in "abcd"}, [one for held in seen for one in held.sets])

    def test_seeds_of_the_first_start_are_kept_and_later_ones_decide_nothing(self):
        net, voting = self.started([(0, "a", "v"), (0, "b", "w")])
        kept = Voters.from_facts(net.registers["a"].store.facts)
        self.assertEqual(kept.epoch, 1)
        again = Cluster("abc", "abc")
        again.registers["a"].voters = Voters()
        plane = self.plane(again, "a", [(0, "a", "v")])
        plane.register.store.persist({}, Voters(0, tuple((address_of(n), "") for n in "abc")).to_facts())
        self.assertEqual(
            Voters.from_facts(plane.register.store.facts).members(), [address_of(n) for n in "abc"]
        )


class Deaths(unittest.TestCase):
    def test_a_voter_that_is_told_dead_and_answers_is_not_replaced(self):
        """A grown day: news of a death that was none, and a living voter was exchanged for a spare."""
        for silent in (False, True):
            net = Cluster("abcd", "abc")
            plane = Starts().plane(net, "a", [(0, name, zone) for name, zone in zip("abcd", "xyzz")])
            plane.member_list = SimpleNamespace(
                members={
                    name: SimpleNamespace(**(vars(m) | {"state": 2 if name == "c" else 0}))
                    for name, m in plane.member_list.members.items()
                }
            )
            self.assertTrue(net.reconfigurations["d"].catch_up())
            if silent:
                net.down.add(address_of("c"))
            VoterManager(plane).reconcile()
            self.assertEqual(
                net.registers["a"].voters, voters_of(3, "abd") if silent else voters_of(1, "abc")
            )


if __name__ == "__main__":
    unittest.main()
