"""How the voters change: a disk that copies, the joint epoch, what must be written once more before the next.

After D. Rystsov, "CASPaxos: Replicated State Machines without logs" (section 2.3, changes of the members),
made of joint configurations. In epoch e the voters are C; a change of the key "voters" decides e+1 = (C, C');
there every key is read and, where it must be, written once more, and the endpoint records are collected anew,
so that a quorum of C' holds all that a quorum of C held; then e+2 = (C') is decided under the quorums of e+1.
Any two epochs that follow each other share majorities of a set, and before e+2 a majority of C has moved to
e+1, so no change of e can end any more. A proposer may die at any step: whoever finds a joint configuration
goes on with it.
"""

from collections.abc import Callable

import msgspec

from flintreach.consensus.acceptor import NOTHING
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.register import Register

PACK, UNPACK = msgspec.msgpack.encode, msgspec.msgpack.decode
KEY = "voters"


class Reconfiguration:
    """`collect()`: whether the endpoint records of a quorum are on this disk."""

    def __init__(self, register: Register, collect: Callable[[], bool]):
        self.register, self.runtime, self.collect = register, register.runtime, collect
        self.caught, self.synced = -1, -1  # the epochs under which this disk copied, and collected
        register.peer_pool.handlers |= {"disk": self.on_disk, "sync": self.on_sync}

    # At a disk that does not vote.

    def catch_up(self) -> bool:
        """Whether this disk, which does not vote, now holds just what a quorum holds.

        What it held before goes: an old voter's accepted values may be such as no quorum took, with ballots
        above those of later changes. They count for nothing while it doesn't vote, and must not come back
        with it.
        """
        register, voters = self.register, self.register.voters
        me = register.peer_pool.address
        if not register.acceptor or not voters.epoch or me in register.group or register.busy:
            return False
        answers = register.quorum("stamps", voters.epoch, 1.0)
        if answers is None:
            return False
        newest: dict[str, tuple[tuple[int, str], Address | None]] = dict.fromkeys(
            register.acceptor.slots, (NOTHING, None)
        )
        for address, held in answers.items():
            for key, stamp in held.items():
                newest[key] = max(
                    newest.get(key, (NOTHING, None)), (tuple(stamp), address), key=lambda pair: pair[0]
                )
        good = []

        def copy(key, stamp, holder):
            held = register.acceptor.slots.get(key)
            if held and (held.accepted, held.promised) == (stamp, stamp):
                return good.append(key)
            fresh = register.fetch(holder, key, stamp) if stamp != NOTHING else None
            if fresh is None and stamp != NOTHING:
                return None
            # Once it votes, only prepares and accepts may change what it holds: they wait for the same lock.
            with register.guarded(key):
                if register.voters != voters or not register.store.keep({key: fresh}):
                    return None
                if fresh:
                    register.acceptor.slots[key] = fresh
                else:
                    register.acceptor.slots.pop(key, None)
            return good.append(key)

        self.runtime.all([lambda key=key, pair=pair: copy(key, *pair) for key, pair in newest.items()], 2.0)
        if len(good) < len(newest) or register.voters != voters:
            return False
        if self.caught != voters.epoch and not self.collect():
            return False
        if register.voters == voters:
            self.caught = voters.epoch
        return self.caught == voters.epoch

    def on_disk(self, link, epoch):
        """[life, whether it has caught up under this epoch and does not vote]; epoch None: no matter
        which."""
        register = self.register
        if epoch is not None and (late := register.check(epoch)):
            return late
        if not register.store:
            return None
        return [
            register.store.life,
            self.caught == register.voters.epoch and register.peer_pool.address not in register.group,
        ]

    # At a voter.

    def enter(self) -> bool:
        """Whether this disk votes, or need not. One that came back empty has its life recorded first: from
        then on the others take no change of an epoch in which the lost disk's word still counts."""
        register, me = self.register, self.register.peer_pool.address
        if register.acceptor and not register.votes() and me in register.group:
            life = register.store.life
            if register.voters.lives(me) != {life} and not self.decide(register.voters.renewed(me, life)):
                return False
        return register.relearn()

    def on_sync(self, link, epoch):
        """True once this disk holds the endpoint records that a quorum held after it moved to a joint
        epoch."""
        register = self.register
        if late := register.check(epoch):
            return late
        if self.synced != epoch:
            if not register.votes() or not self.collect() or register.voters.epoch != epoch:
                return register.check(epoch)
            self.synced = epoch
        return True

    def decide(self, wish: Voters, timeout: float = 1.0) -> bool:
        """Whether `wish` now stands: the epoch after ours, decided under ours. Another that was decided first
        is taken instead."""
        register = self.register

        def step(old):
            stands = Voters.of(UNPACK(old)) if old else Voters()
            late = stands.epoch > register.voters.epoch or wish.epoch != register.voters.epoch + 1
            return None if late else PACK(wish.row())

        done, value = register.change(KEY, step, timeout)
        if done and value:
            register.adopt(Voters.of(UNPACK(value)))
        return register.voters == wish

    def rewrite(self, timeout: float = 2.0) -> bool:
        """Whether a quorum of the epoch that stands holds what stands of every key.

        A read writes back what only a part of it holds; and its promises turn down, at each later quorum,
        what a few may have accepted under an earlier epoch.
        """
        register, voters = self.register, self.register.voters
        answers = register.quorum("stamps", voters.epoch, 1.0)
        if answers is None:
            return False
        keys, good = {key for held in answers.values() for key in held} - {KEY}, []

        def one(key):
            if register.read(key, timeout)[0]:
                good.append(key)

        self.runtime.all([lambda key=key: one(key) for key in sorted(keys)], timeout)
        return len(good) == len(keys) and register.voters == voters

    def carry_on(self) -> bool:
        """From a joint configuration to the new set alone; whether that stands, and a quorum of it knows. To
        be called by anybody, at any time, again after any failure."""
        register, voters = self.register, self.register.voters
        if not voters.joint or not self.rewrite():
            return False
        after = Voters(voters.epoch + 1, voters.new)
        said = lambda answers: after.met(a for a, word in answers if word is True)  # noqa: E731
        answers = register.gather(after.members(), "sync", voters.epoch, said, 2.0)
        return said(answers) and register.voters == voters and self.decide(after) and self.told()

    def told(self, timeout: float = 1.0) -> bool:
        """Whether a quorum of the configuration that stands has it on its disks.

        Until then who proposed it must not die together with who was left out: those who know the joint epoch
        alone would ask for a majority of the old set too, and never learn that it is over.
        """
        register, voters = self.register, self.register.voters
        met = lambda answers: voters.met(  # noqa: E731
            address for address, row in answers if Voters.of(row).epoch >= voters.epoch
        )
        answers = register.peer_pool.gather(voters.members(), "voters", voters.row(), met, timeout)
        return met(answers)
