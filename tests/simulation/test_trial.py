"""The control plane in simulated time: the shipped text under cuts, kills, power losses and callers."""

import json
import os
import subprocess
import sys
import unittest
from pathlib import Path

from flintreach.simulation.disk import Disk, DiskFault, Store
from flintreach.simulation.invariants import INVARIANTS, InvariantChecker, Put, configuration, version_of
from flintreach.simulation.mutants import MUTANTS, applies
from flintreach.simulation.network import Machine, Network, PeerConnection
from flintreach.simulation.process import Process
from flintreach.simulation.scheduler import NS_PER_SECOND, Simulation
from flintreach.simulation.trial import endpoint_turnover, many, play
from flintreach.transport.peer_connection import ConnectionClosed

# The others do not hold in this text yet (see docs/design/simulation.md); the command has all of them on.
OPEN = ()
ON = tuple(name for name in INVARIANTS if name not in OPEN)
SEEDS, MOST = 500, 100  # played; in which a mutant must be found
# Seed -> checksum of all events, checksum of the messages between processes alone, number of events.  Where
# only the words of a note change, the first is taken anew and the other two stay.
RECORDED = json.loads((Path(__file__).parents[1] / "data" / "simulation.json").read_text())
RARE = ("no-write-back", "votes-when-empty")
PLAY = """
import json, sys
from flintreach.simulation.trial import play
print(json.dumps([play(seed, on=()).digest for seed in json.loads(sys.argv[1])]))
"""


class Trials(unittest.TestCase):
    def test_the_invariants_hold_under_faults_from_seeds(self):
        played, acks, seen, changed = 0, 0, set(), {}
        for outcome in many(range(SEEDS), on=ON):
            self.assertFalse(outcome.broken, outcome.report())
            found = [outcome.digest, outcome.frames, outcome.events]
            if found != RECORDED.get(str(outcome.seed), found):
                changed[outcome.seed] = found
            played, acks = played + 1, acks + outcome.acks.get("put", 0)
            seen |= outcome.seen.keys()
        self.assertEqual(played, SEEDS)
        self.assertFalse(changed, "what a change of words alone must not move: see RECORDED")
        self.assertEqual(seen, {*OPEN} - {"forgotten"}, "what is off must not outlive its causes")
        self.assertGreater(acks, 10 * SEEDS, "hardly any order got through: nothing was tried")

    def test_of_endpoints_that_are_gone_nothing_is_left(self):
        outcome = play(1, on=("forgotten",), course=endpoint_turnover)
        self.assertEqual(bool(outcome.broken), "forgotten" in OPEN, outcome.report())

    def test_a_seed_plays_the_same_events_whatever_the_hash_seed(self):
        seeds, found = [3, 19, 56, 205], []
        for hashed in ("1", "2", "3", "7"):
            told = subprocess.run(
                [sys.executable, "-c", PLAY, json.dumps(seeds)],
                capture_output=True,
                check=True,
                env={**os.environ, "PYTHONHASHSEED": hashed, "PYTHONPATH": os.getcwd()},
            )
            found.append(json.loads(told.stdout.splitlines()[-1]))
        self.assertEqual(found, [found[0]] * 4)
        self.assertEqual(len(set(found[0])), len(seeds))
        self.assertEqual(play(seeds[0], on=()).digest, found[0][0])


class Mutants(unittest.TestCase):
    def test_a_fault_that_is_put_into_the_text_is_found(self):
        """Those that take more seeds are listed in docs/design/simulation.md, and played by the command."""
        found = {}
        for name, mutant in MUTANTS.items():
            on = set(mutant.found_by) & set(ON)
            if name in RARE:
                continue
            self.assertTrue(on and applies(name), name)
            if mutant.found_by == ("forgotten",):
                outcome = play(1, on=on, course=endpoint_turnover, mutant=name)
                outcome = outcome if outcome.broken else None
            else:
                outcome = next((o for o in many(range(MOST), on=on, mutant=name) if o.broken), None)
            self.assertIsNotNone(outcome, f"{name}: {mutant.why}")
            found[name] = outcome.seed
        self.assertEqual(len(found), len(MUTANTS) - len(RARE), found)


class World:
    """Two processes on two machines."""

    def __init__(self, seed=1):
        self.sim = Simulation(seed)
        self.network = Network(self.sim, 0.0)
        self.machines = [
            Machine(self.network, name, ip, name, "r") for name, ip in (("a", "10.0.0.1"), ("b", "10.0.0.2"))
        ]
        for machine in self.machines:
            machine.boot()
            machine.process = Process(self.sim, machine, machine.name)
            machine.process.handlers = {}
        self.a, self.b = (machine.process for machine in self.machines)

    def run(self, seconds):
        self.sim.run(self.sim.now_ns + int(seconds * NS_PER_SECOND))

    def linked(self) -> PeerConnection:
        found = []
        self.a.runtime.spawn(lambda: found.append(self.a.runtime.dial(("10.0.0.2", 1), {}, 1.0)))
        self.run(0.1)
        return found[0]


class Machinery(unittest.TestCase):
    def test_what_a_cut_holds_up_comes_in_order_after_a_short_one_and_never_after_a_long_one(self):
        for seconds, expected in ((1.0, list(range(20))), (3.0, [])):
            world, came = World(), []
            world.b.handlers["n"] = lambda link, body, came=came: came.append(body)
            link = world.linked()
            world.network.cut([("10.0.0.1", "10.0.0.2")])
            for n in range(20):
                link.send("n", n)
            world.run(seconds)
            self.assertEqual(came, [])
            self.assertEqual(link.closed, seconds > 1.5)
            world.network.heal([("10.0.0.1", "10.0.0.2")])
            world.run(1)
            self.assertEqual(came, expected)

    def test_an_answer_that_a_cut_keeps_back_leaves_the_question_acted_on_and_unknown(self):
        world, came, told = World(), [], []
        world.b.handlers["n"] = lambda link, body: came.append(body) or True
        link = world.linked()
        world.network.cut([("10.0.0.2", "10.0.0.1")])

        def ask():
            try:
                told.append(link.ask("n", 7, 0.5))
            except ConnectionClosed:
                told.append("closed")

        world.a.runtime.spawn(ask)
        world.run(1)
        self.assertEqual((came, told), ([7], ["closed"]))

    def test_a_frozen_process_reads_what_came_after_its_thaw_and_a_dead_one_never(self):
        for end in (False, True):
            world, came = World(), []
            now = world.b.runtime.now
            world.b.handlers["n"] = lambda link, body, came=came, now=now: came.append((body, now()))
            link = world.linked()
            began = now()
            world.b.freeze()
            link.send("n", 1)
            world.run(5)
            self.assertEqual((came, link.closed), ([], False))
            if end:
                world.b.end(notify_peers=True)
            else:
                world.b.thaw()
            world.run(1)
            self.assertEqual([(body, round(at - began)) for body, at in came], [] if end else [(1, 5)])
            self.assertEqual(link.closed, end)

    def test_a_disk_has_what_was_acknowledged_whatever_ends_its_process(self):
        kept, lost = 0, 0
        for seed in range(40):
            world, told = World(seed), []
            disk = Disk(world.sim)
            store = Store(world.a, disk, "a", True)

            def write(store=store, told=told):
                for n in range(50):
                    if store.keep({}, {f"f{n}": "x"}):
                        told.append(f"f{n}")

            world.a.runtime.spawn(write)
            world.run(0.03)
            world.a.end(notify_peers=False)
            store.end()
            world.run(1)
            there = {name for name in disk.facts if name[0] == "f" and name != "format"}
            self.assertLessEqual(set(told), there)
            self.assertLessEqual(len(there), len(told) + 1)
            kept, lost = kept + (len(there) > len(told)), lost + (len(there) == len(told))
            disk.fault = DiskFault.FULL
            again = Store(world.b, disk, "a", False)
            world.b.runtime.spawn(lambda again=again, told=told: told.append(again.keep({}, {"g": "x"})))
            world.run(1)
            self.assertIs(told[-1], False)
            self.assertNotIn("g", disk.facts)
        self.assertTrue(kept and lost, "what was under way is there or not, by lot")

    def test_a_lock_goes_to_who_waits_longest_and_is_reentrant(self):
        world, order = World(), []
        lock = world.a.runtime.lock()

        def hold(name, timeout):
            if lock.acquire(timeout=timeout):
                with lock:
                    order.append(name)
                    world.a.runtime.sleep(1.0)
                lock.release()
            else:
                order.append(f"not {name}")

        for name, timeout in (("first", 5.0), ("second", 0.5), ("third", 5.0)):
            world.a.runtime.spawn(hold, name, timeout)
        world.run(4)
        self.assertEqual(order, ["first", "not second", "third"])


class Ledger(unittest.TestCase):
    """Each rule of the ledger finds the answer that breaks it, and lets pass what is allowed."""

    def setUp(self):
        self.sim = Simulation(1)
        self.watch = InvariantChecker(self.sim, ())
        self.watch.check_durable = lambda put, who: None

    def put(self, number, salt) -> Put:
        return self.watch.record_put(number, configuration(number, salt, False))

    def test_a_second_content_under_one_number(self):
        first, second = self.put(7, 1), self.put(7, 2)
        self.watch.check_put_answer(first, 200, "a")
        self.watch.check_put_answer(first, 200, "b")
        self.watch.check_put_answer(second, 409, "a")
        self.assertEqual(self.watch.seen, {})
        self.watch.check_put_answer(second, 200, "b")
        self.assertEqual(set(self.watch.seen), {"single", "refused"})

    def test_what_was_acknowledged_is_not_refused_and_nothing_is_refused_for_no_reason(self):
        self.watch.check_put_answer(self.put(7, 1), 200, "a")
        self.watch.check_put_answer(self.put(7, 1), 409, "b")
        self.assertEqual(set(self.watch.seen), {"refused"})
        self.watch.check_put_answer(self.put(8, 1), 400, "b")
        self.assertEqual(set(self.watch.seen), {"refused", "answered"})

    def test_a_get_shows_what_was_acknowledged_or_later(self):
        old, new = self.put(7, 1), self.put(9, 2)
        self.watch.check_put_answer(old, 200, "a")
        self.watch.check_get(7, 200, new.body, "a")
        self.assertEqual((self.watch.seen, self.watch.highest_shown, version_of(new.body)), ({}, 9, 9))
        self.watch.check_get(9, 200, old.body, "b")
        self.assertEqual(set(self.watch.seen), {"kept"})

    def test_what_was_refused_is_never_in_force(self):
        put = self.put(7, 1)
        self.put(7, 2)
        self.watch.check_put_answer(put, 409, "a")
        self.watch.record_update(None, "hut/x", [1, 0], {})
        self.assertEqual(self.watch.seen, {})
        self.watch.check_get(-1, 200, put.body, "b")
        self.assertEqual(set(self.watch.seen), {"refused"})


if __name__ == "__main__":
    unittest.main()
