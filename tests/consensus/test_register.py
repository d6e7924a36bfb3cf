"""The register on several disks, and its writers."""

import itertools
import unittest

from flintreach.consensus.acceptor import Acceptor, merged
from flintreach.consensus.proposer import Proposal
from flintreach.consensus.quorum import Voters
from flintreach.consensus.register import Register as Register_
from flintreach.transport.runtime import Runtime


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


if __name__ == "__main__":
    unittest.main()
