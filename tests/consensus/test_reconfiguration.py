"""Changes of voters with a proposer that fails at any message, and the changes that a controller starts."""

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
    def test_a_change_is_completed_whichever_message_its_proposer_died_before(self) -> None:
        """The proposer of a replacement dies before each of its messages in turn; another completes it."""
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
            # Writes succeed in whichever configuration the proposer left.
            self.assertTrue(cluster.put("b", "k", b"2"), request_count)
            for _ in range(4):
                if cluster.registers["b"].voters.joint:
                    cluster.reconfigurations["b"].leave_joint()
                elif address_of("d") not in cluster.registers["b"].voter_addresses:
                    self.assertTrue(cluster.replace_voter("b", "c", "d"), request_count)
            self.assertEqual(cluster.registers["b"].voters, voters_of(3, "abd"), request_count)
            # The new voter and one old voter hold every acknowledged write.
            cluster.down.add(address_of("a"))
            for by in "bd":
                self.assertEqual(cluster.registers[by].read("k", 0.5), (True, b"2"), request_count)
                self.assertEqual(cluster.registers[by].read("m", 0.5), (True, b"1"), request_count)
            # The removed voter is rejected with the new configuration, and can't decide anything.
            cluster.down.remove(address_of("c"))
            cluster.down.add(address_of("b"))
            self.assertFalse(cluster.put("c", "k", b"old"))
            deaths += not done
            if done:
                break
        self.assertTrue(done)
        self.assertGreater(deaths, 15)

    def test_after_a_completed_replacement_the_proposer_and_the_removed_voter_may_both_fail(self) -> None:
        """A voter that knew only the joint epoch would need a majority of the old set, which lost two."""
        for proposer in "ab":
            cluster = Cluster("abcd", "abc")
            self.assertTrue(cluster.put("a", "k", b"1") and cluster.reconfigurations["d"].catch_up())
            self.assertTrue(cluster.replace_voter(proposer, "c", "d"))
            cluster.down |= {address_of(proposer), address_of("c")}
            remaining = next(name for name in "ab" if name != proposer)
            self.assertTrue(cluster.put(remaining, "k", b"2"))
            self.assertEqual(cluster.registers["d"].read("k", 0.5), (True, b"2"))

    def test_a_replacement_is_incomplete_until_a_quorum_of_the_new_set_has_persisted_it(self) -> None:
        cluster = Cluster("abcd", "abc")
        full = False

        def persist_unless_full(persist):
            return lambda slots, facts=None: (
                not (full and "voters" in (facts or ())) and persist(slots, facts)
            )

        def propose(proposed, original_propose=cluster.reconfigurations["a"].propose):
            nonlocal full
            full = not proposed.joint  # two disks fail to persist the last step
            return original_propose(proposed)

        self.assertTrue(cluster.reconfigurations["d"].catch_up())
        for name in "bd":
            cluster.registers[name].store.persist = persist_unless_full(cluster.registers[name].store.persist)
        cluster.reconfigurations["a"].propose = propose
        self.assertFalse(cluster.replace_voter("a", "c", "d"))
        self.assertEqual(cluster.registers["a"].voters, voters_of(3, "abd"))
        full = False
        self.assertTrue(cluster.reconfigurations["a"].announce())
        self.assertEqual([cluster.registers[name].voters.epoch for name in "ab"], [3, 3])

    def test_the_endpoint_records_are_collected_before_the_new_set_is_decided(self) -> None:
        cluster = Cluster("abcd", "abc")
        self.assertTrue(cluster.reconfigurations["d"].catch_up())
        cluster.collected.clear()
        cluster.reconfigurations["d"].collect_records = lambda: False
        cluster.reconfigurations["b"].collect_records = lambda: False
        self.assertFalse(cluster.replace_voter("a", "c", "d"))
        self.assertTrue(cluster.registers["a"].voters.joint)
        cluster.reconfigurations["d"].collect_records = lambda: True
        self.assertTrue(cluster.reconfigurations["b"].leave_joint())

    def test_a_returning_voter_drops_values_that_no_quorum_accepted(self) -> None:
        """Its accepted value has a higher ballot than later changes, and must not reappear when it votes."""
        cluster = Cluster("abcd", "abc")
        self.assertTrue(cluster.put("a", "k", b"1"))
        old = cluster.registers["c"]
        old.acceptor.slots["k"] = Slot((90, "x"), (90, "x"), b"never")
        old.acceptor.slots["n"] = Slot((90, "x"), (90, "x"), b"never")
        cluster.down.add(address_of("c"))
        self.assertTrue(cluster.reconfigurations["d"].catch_up() and cluster.replace_voter("a", "c", "d"))
        cluster.down.clear()
        self.assertFalse(cluster.reconfigurations["c"].on_disk_status(None, None).caught_up)
        self.assertEqual(old.read("k", 0.5), (True, b"1"))  # it learns that it is no longer a voter
        self.assertTrue(cluster.reconfigurations["c"].catch_up())
        self.assertEqual(cluster.reconfigurations["c"].on_disk_status(None, 3), DiskStatus("c0", True))
        self.assertEqual(
            {key: slot.value for key, slot in old.acceptor.slots.items() if key != "voters"}, {"k": b"1"}
        )
        self.assertTrue(cluster.replace_voter("b", "a", "c"))
        self.assertEqual(old.read("k", 0.5), (True, b"1"))
        self.assertTrue(old.can_vote())

    def test_a_wiped_disk_votes_only_once_its_incarnation_is_recorded_and_its_promises_recovered(
        self,
    ) -> None:
        cluster = Cluster("abc", "abc")
        self.assertTrue(cluster.put("a", "k", b"1"))
        fresh = cluster.join("c", Voters(), False, 1)
        fresh.adopt(cluster.registers["a"].voters)
        self.assertEqual(fresh.on_prepare(None, ["k", [9, "z"], 1]).verdict, Verdict.ABSTAIN)
        self.assertFalse(fresh.recover_promises(), "its incarnation is not recorded yet")
        cluster.down.add(address_of("b"))
        self.assertFalse(cluster.reconfigurations["c"].start_voting())  # a single other voter is no quorum
        cluster.down.clear()
        self.assertTrue(cluster.reconfigurations["c"].start_voting())
        self.assertEqual(fresh.voters.incarnations(address_of("c")), {"c1"})
        self.assertEqual((fresh.voters.epoch, fresh.acceptor.slots["k"].value), (2, b"1"))
        self.assertEqual(fresh.store.facts["voting"], "1")
        lost = Register(FakePeerPool(cluster, address_of("c")), fresh.voters, InMemoryStore("c0"))
        self.assertFalse(lost.can_vote(), "the lost disk came back")


class TestFirstStart(unittest.TestCase):
    def plane(self, cluster, name, arrivals, machines=2):
        """The part of a control plane that `VoterManager` uses; `arrivals`: (arrival in s, name, zone)."""
        register, runtime = cluster.registers[name], cluster.runtime

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
                    for arrival_s, n, zone in arrivals
                    if runtime.now() >= arrival_s
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

    def started(self, arrivals):
        """A cluster in which controller "a" has discovered the first voters, and its voter manager."""
        cluster = Cluster("abcde", "abcde")
        for register in cluster.registers.values():
            register.voters = Voters()
        manager = VoterManager(self.plane(cluster, "a", arrivals))
        manager.discover()
        return cluster, manager

    def test_a_first_start_waits_for_slow_controllers(self):
        """Guards against choosing the two of five disks known for seconds, whose loss would lose all data."""
        arrivals = [(0, "a", "v"), (0, "b", "w"), (3.1, "c", "x"), (3.2, "d", "y"), (5.5, "e", "z")]
        cluster, manager = self.started(arrivals)
        self.assertEqual(manager.register.voters, voters_of(1, "abcde"))
        self.assertLess(cluster.runtime.now(), 7.0)
        self.assertEqual(Voters.from_facts(manager.register.store.facts), voters_of(1, "abcde"))

    def test_fewer_voters_are_chosen_when_no_more_disks_appear(self):
        cluster, manager = self.started([(0, "a", "v"), (0, "b", "w")])
        self.assertEqual(manager.register.voters.members(), [address_of("a"), address_of("b")])
        self.assertGreaterEqual(cluster.runtime.now(), 6.0)

    def test_no_voter_is_added_while_another_is_unknown_after_a_full_restart(self):
        """A voter was lost before all controllers restarted. Its replacement was added next to it, which made
        four voters with one dead, and the next loss took the majority (simulation seed 337)."""
        cluster = Cluster("abcd", "abc")
        cluster.down.add(address_of("c"))
        manager = VoterManager(
            self.plane(cluster, "a", [(0, "a", "v"), (0, "b", "w"), (0, "d", "x")], machines=1)
        )
        self.assertTrue(cluster.reconfigurations["d"].catch_up())
        observed = []
        while cluster.runtime.now() < 8.0:
            manager.reconcile()
            if not observed or observed[-1] != cluster.registers["a"].voters:
                observed.append(cluster.registers["a"].voters)
            cluster.runtime.sleep(0.25)
        self.assertEqual((observed[0], observed[-1]), (voters_of(1, "abc"), voters_of(3, "abd")))
        self.assertNotIn(
            {address_of(name) for name in "abcd"},
            [voter_set for voters in observed for voter_set in voters.sets],
        )

    def test_first_voters_and_seeds_are_read_back_from_the_disk(self):
        cluster, manager = self.started([(0, "a", "v"), (0, "b", "w")])
        kept = Voters.from_facts(cluster.registers["a"].store.facts)
        self.assertEqual(kept.epoch, 1)
        restarted = Cluster("abc", "abc")
        restarted.registers["a"].voters = Voters()
        plane = self.plane(restarted, "a", [(0, "a", "v")])
        plane.register.store.persist({}, Voters(0, tuple((address_of(n), "") for n in "abc")).to_facts())
        self.assertEqual(
            Voters.from_facts(plane.register.store.facts).members(), [address_of(n) for n in "abc"]
        )


class TestFailedVoters(unittest.TestCase):
    def test_a_voter_that_is_reported_dead_but_answers_is_not_replaced(self):
        """Guards against a false failure report that made a live voter be replaced by a spare."""
        for silent in (False, True):
            cluster = Cluster("abcd", "abc")
            plane = TestFirstStart().plane(
                cluster, "a", [(0, name, zone) for name, zone in zip("abcd", "xyzz")]
            )
            plane.member_list = SimpleNamespace(
                members={
                    name: SimpleNamespace(**(vars(m) | {"state": 2 if name == "c" else 0}))
                    for name, m in plane.member_list.members.items()
                }
            )
            self.assertTrue(cluster.reconfigurations["d"].catch_up())
            if silent:
                cluster.down.add(address_of("c"))
            VoterManager(plane).reconcile()
            self.assertEqual(
                cluster.registers["a"].voters, voters_of(3, "abd") if silent else voters_of(1, "abc")
            )


if __name__ == "__main__":
    unittest.main()
