"""How the voters change: a new disk copies, then a joint epoch, then the new set alone.

In epoch e the voters are C. A change of the key "voters" decides e+1 = (C, C'). There every key is read and,
where it must be, written once more, and the endpoint records are collected anew, so that a quorum of C' holds
all that a quorum of C held. Then e+2 = (C') is decided under the quorums of e+1. Any two epochs that follow
each other share majorities of a set, and before e+2 a majority of C has moved to e+1, so no change of e can
end any more. A proposer may die at any step: whoever finds a joint configuration goes on with it.

Source: D. Rystsov, "CASPaxos: Replicated State Machines without logs" (2018), section 2.3, changes of the
members, made of joint configurations.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from flintreach.common.keys import VOTERS_KEY
from flintreach.consensus.acceptor import NO_BALLOT, Ballot, Slot
from flintreach.consensus.messages import DiskStatus, EpochMismatch, MessageKind
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.register import Register
from flintreach.consensus.voting_process import Answers

QUORUM_TIMEOUT_S = 1.0
COPY_TIMEOUT_S = 2.0
SYNC_TIMEOUT_S = 2.0

encode = msgspec.msgpack.encode
decode = msgspec.msgpack.decode


class NewestCopy(NamedTuple):
    """The highest accepted ballot of a key among a quorum, and who has it (None: nobody has the key)."""

    ballot: Ballot
    holder: Address | None


NO_COPY = NewestCopy(NO_BALLOT, None)


def newest_copies(answers: dict[Address, dict[str, Any]], known_keys: list[str]) -> dict[str, NewestCopy]:
    """The newest copy of each key, of those that are known or that a voter told of.

    Args:
        answers: accepted ballots by key, of each voter that answered.
        known_keys: keys of this disk.
    """
    newest: dict[str, NewestCopy] = dict.fromkeys(known_keys, NO_COPY)
    for address, ballots in answers.items():
        for key, row in ballots.items():
            copy = NewestCopy(msgspec.convert(row, Ballot), address)
            newest[key] = max(newest.get(key, NO_COPY), copy, key=lambda candidate: candidate.ballot)
    return newest


class Reconfiguration:
    """Changes of the voters, as one process takes part in them.

    Attributes:
        caught_up_epoch: the epoch under which this disk, which doesn't vote, copied what a quorum holds.
        synced_epoch: the joint epoch under which this disk collected the endpoint records.
    """

    def __init__(self, register: Register, collect: Callable[[], bool]) -> None:
        """Take part in changes of a register's voters.

        Args:
            register: this process's register.
            collect: collects endpoint records; whether those of a quorum are on this disk.
        """
        self.register = register
        self.runtime = register.runtime
        self.collect = collect
        self.caught_up_epoch = -1
        self.synced_epoch = -1
        register.peer_pool.handlers |= {
            MessageKind.DISK_STATUS: self.on_disk_status,
            MessageKind.SYNC_RECORDS: self.on_sync_records,
        }

    # At a disk that doesn't vote.

    def catch_up(self) -> bool:
        """Make this disk, which doesn't vote, hold just what a quorum holds.

        What it held before goes: an old voter's accepted values may be such as no quorum took, with ballots
        above those of later changes. They count for nothing while it doesn't vote, and must not come back
        with it.

        Returns:
            Whether it holds that now.
        """
        register = self.register
        voters = register.voters
        address = register.peer_pool.address
        if not register.acceptor or not voters.epoch or address in register.voter_addresses or register.busy:
            return False
        answers = register.quorum(MessageKind.ACCEPTED_BALLOTS, voters.epoch, QUORUM_TIMEOUT_S)
        if answers is None:
            return False
        if not self.copy_all(newest_copies(answers, list(register.acceptor.slots)), voters):
            return False
        if self.caught_up_epoch != voters.epoch and not self.collect():
            return False
        if register.voters == voters:
            self.caught_up_epoch = voters.epoch
        return self.caught_up_epoch == voters.epoch

    def copy_all(self, copies: dict[str, NewestCopy], voters: Voters) -> bool:
        """Whether all keys are on this disk as the newest copies have them, under the same configuration."""
        copied: list[str] = []

        def copy(key: str, newest: NewestCopy) -> None:
            if self.copy_key(key, newest, voters):
                copied.append(key)

        calls = [lambda key=key, newest=newest: copy(key, newest) for key, newest in copies.items()]
        self.runtime.all(calls, COPY_TIMEOUT_S)
        return len(copied) >= len(copies) and self.register.voters == voters

    def copy_key(self, key: str, newest: NewestCopy, voters: Voters) -> bool:
        """Whether a key is on this disk as its newest copy has it; a key that no voter has is dropped."""
        register = self.register
        local_slot = register.acceptor.slots.get(key)
        if local_slot and local_slot.accepted == newest.ballot and local_slot.promised == newest.ballot:
            return True
        slot: Slot | None = None
        if newest.ballot != NO_BALLOT:
            slot = register.fetch_slot(newest.holder, key, newest.ballot)
            if slot is None:
                return False
        # Once it votes, only prepares and accepts may change what it holds: they wait for the same lock.
        with register.lock_of(key):
            if register.voters != voters or not register.store.persist({key: slot}):
                return False
            if slot:
                register.acceptor.slots[key] = slot
            else:
                register.acceptor.slots.pop(key, None)
        return True

    def on_disk_status(self, link: Any, epoch: int | None) -> DiskStatus | EpochMismatch | None:
        """What this process tells of its disk under an epoch (None: no matter which); None: it has none."""
        register = self.register
        if epoch is not None:
            mismatch = register.check_epoch(epoch)
            if mismatch is not None:
                return mismatch
        if not register.store:
            return None
        caught_up = self.caught_up_epoch == register.voters.epoch
        return DiskStatus(
            register.store.incarnation,
            caught_up and register.peer_pool.address not in register.voter_addresses,
        )

    # At a voter.

    def start_voting(self) -> bool:
        """Make this disk vote, if it is a voter's.

        A disk that came back empty has its incarnation recorded first: from then on the others take no change
        of an epoch in which the lost disk's answers still count.

        Returns:
            Whether it votes, or need not.
        """
        register = self.register
        address = register.peer_pool.address
        if register.acceptor and not register.can_vote() and address in register.voter_addresses:
            incarnation = register.store.incarnation
            recorded = register.voters.incarnations(address) == {incarnation}
            if not recorded and not self.propose(register.voters.renewed(address, incarnation)):
                return False
        return register.recover_promises()

    def on_sync_records(self, link: Any, epoch: int) -> bool | EpochMismatch | None:
        """Answer True once this disk has the endpoint records of a quorum in the joint epoch."""
        register = self.register
        mismatch = register.check_epoch(epoch)
        if mismatch is not None:
            return mismatch
        if self.synced_epoch != epoch:
            if not register.can_vote() or not self.collect() or register.voters.epoch != epoch:
                return register.check_epoch(epoch)
            self.synced_epoch = epoch
        return True

    def propose(self, wish: Voters, timeout: float = 1.0) -> bool:
        """Propose a configuration as the one after ours, under ours.

        Args:
            wish: the configuration.
            timeout: seconds in all.

        Returns:
            Whether it stands now. Another that was decided first is adopted instead.
        """
        register = self.register

        def step(value: bytes | None) -> bytes | None:
            standing = Voters.from_row(decode(value)) if value else Voters()
            if standing.epoch > register.voters.epoch or wish.epoch != register.voters.epoch + 1:
                return None
            return encode(wish.row())

        done, value = register.change(VOTERS_KEY, step, timeout)
        if done and value:
            register.adopt(Voters.from_row(decode(value)))
        return register.voters == wish

    def rewrite(self, timeout: float = 2.0) -> bool:
        """Read every key under the configuration that stands.

        A read writes back what only a part of a quorum holds; and its promises refuse, at each later quorum,
        what a few may have accepted under an earlier epoch.

        Args:
            timeout: seconds for all keys.

        Returns:
            Whether a quorum of this epoch holds what stands of every key.
        """
        register = self.register
        voters = register.voters
        answers = register.quorum(MessageKind.ACCEPTED_BALLOTS, voters.epoch, QUORUM_TIMEOUT_S)
        if answers is None:
            return False
        keys = {key for ballots in answers.values() for key in ballots} - {VOTERS_KEY}
        rewritten: list[str] = []

        def rewrite_key(key: str) -> None:
            if register.read(key, timeout).done:
                rewritten.append(key)

        self.runtime.all([lambda key=key: rewrite_key(key) for key in sorted(keys)], timeout)
        return len(rewritten) == len(keys) and register.voters == voters

    def leave_joint(self) -> bool:
        """Go from a joint configuration to the new set alone.

        To be called by anybody, at any time, again after any failure.

        Returns:
            Whether the new set stands alone, and a quorum of it knows.
        """
        register = self.register
        voters = register.voters
        if not voters.joint or not self.rewrite():
            return False
        successor = Voters(voters.epoch + 1, voters.new)

        def is_synced(answers: Answers) -> bool:
            return successor.is_quorum(address for address, synced in answers if synced is True)

        members = successor.members()
        answers = register.gather(members, MessageKind.SYNC_RECORDS, voters.epoch, is_synced, SYNC_TIMEOUT_S)
        if not is_synced(answers) or register.voters != voters:
            return False
        return self.propose(successor) and self.announce()

    def announce(self, timeout: float = 1.0) -> bool:
        """Tell the voters the configuration that stands.

        Until a quorum has it on disk, who proposed it must not die together with who was left out: those who
        know the joint epoch alone would ask for a majority of the old set too, and never learn that it is
        over.

        Args:
            timeout: seconds in all.

        Returns:
            Whether a quorum of this configuration has it on its disks.
        """
        register = self.register
        voters = register.voters

        def is_known(answers: Answers) -> bool:
            return voters.is_quorum(
                address for address, row in answers if Voters.from_row(row).epoch >= voters.epoch
            )

        answers = register.peer_pool.gather(
            voters.members(), MessageKind.VOTERS, voters.row(), is_known, timeout
        )
        return is_known(answers)
