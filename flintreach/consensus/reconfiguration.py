"""Membership changes of the voters: a new disk catches up, then a joint epoch, then the new set.

Let C be the voters of epoch e. A change of the key "voters" decides epoch e+1 = (C, C'). In e+1 every key is
read, which writes it back where necessary, and the endpoint records are collected again, so that a quorum of
C' holds everything that a quorum of C held. Then e+2 = (C') is decided by the quorums of e+1. Consecutive
epochs share majorities of a set, and before e+2 a majority of C has moved to e+1, so no change of e can
complete any more. A proposer may fail at any step: any process that finds a joint configuration completes it.

Source: D. Rystsov, "CASPaxos: Replicated State Machines without logs" (2018), section 2.3 on membership
changes, here with joint configurations.
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
    """The highest accepted ballot of a key in a quorum, and a voter that holds it (None if no voter does)."""

    ballot: Ballot
    holder: Address | None


NO_COPY = NewestCopy(NO_BALLOT, None)


def newest_copies(answers: dict[Address, dict[str, Any]], known_keys: list[str]) -> dict[str, NewestCopy]:
    """Find the newest copy of each key that this disk or a voter holds.

    Args:
        answers: accepted ballots by key, from each voter that answered.
        known_keys: the keys on this disk.
    """
    newest: dict[str, NewestCopy] = dict.fromkeys(known_keys, NO_COPY)
    for address, ballots in answers.items():
        for key, row in ballots.items():
            copy = NewestCopy(msgspec.convert(row, Ballot), address)
            newest[key] = max(newest.get(key, NO_COPY), copy, key=lambda candidate: candidate.ballot)
    return newest


class Reconfiguration:
    """One process's part in changes of the voters.

    Attributes:
        caught_up_epoch: the epoch in which this disk, as a non-voter, last copied the state of a quorum.
        synced_epoch: the joint epoch in which this disk last collected the endpoint records.
    """

    def __init__(self, register: Register, collect_records: Callable[[], bool]) -> None:
        """Add the message handlers for membership changes.

        Args:
            register: this process's register.
            collect_records: collects the endpoint records of a quorum; whether they are on this disk.
        """
        self.register = register
        self.runtime = register.runtime
        self.collect_records = collect_records
        self.caught_up_epoch = -1
        self.synced_epoch = -1
        register.peer_pool.handlers |= {
            MessageKind.DISK_STATUS: self.on_disk_status,
            MessageKind.SYNC_RECORDS: self.on_sync_records,
        }

    # On a non-voter.

    def catch_up(self) -> bool:
        """Copy the state of a quorum to this disk, which is not a voter.

        The disk's previous state is replaced. A former voter may hold accepted values that no quorum
        accepted, at ballots higher than those of later changes. They do not count while the disk is not a
        voter, and must not reappear when it becomes one again.

        Returns:
            Whether the disk holds exactly the state of a quorum of the current epoch.
        """
        register = self.register
        voters = register.voters
        address = register.peer_pool.address
        if (
            not register.acceptor
            or not voters.epoch
            or address in register.voter_addresses
            or register.requests_in_progress
        ):
            return False
        answers = register.ask_quorum(MessageKind.ACCEPTED_BALLOTS, voters.epoch, QUORUM_TIMEOUT_S)
        if answers is None:
            return False
        if not self.copy_keys(newest_copies(answers, list(register.acceptor.slots)), voters):
            return False
        if self.caught_up_epoch != voters.epoch and not self.collect_records():
            return False
        if register.voters == voters:
            self.caught_up_epoch = voters.epoch
        return self.caught_up_epoch == voters.epoch

    def copy_keys(self, copies: dict[str, NewestCopy], voters: Voters) -> bool:
        """Copy the newest copy of each key to this disk; whether all succeeded in the same configuration."""
        copied: list[str] = []

        def copy(key: str, newest: NewestCopy) -> None:
            if self.copy_key(key, newest, voters):
                copied.append(key)

        calls = [lambda key=key, newest=newest: copy(key, newest) for key, newest in copies.items()]
        self.runtime.run_all(calls, COPY_TIMEOUT_S)
        return len(copied) >= len(copies) and self.register.voters == voters

    def copy_key(self, key: str, newest: NewestCopy, voters: Voters) -> bool:
        """Copy one key to this disk, or delete it if no voter has it; whether that succeeded."""
        register = self.register
        local_slot = register.acceptor.slots.get(key)
        if local_slot and local_slot.accepted == newest.ballot and local_slot.promised == newest.ballot:
            return True
        slot: Slot | None = None
        if newest.ballot != NO_BALLOT:
            slot = register.fetch_slot(newest.holder, key, newest.ballot)
            if slot is None:
                return False
        # Once the disk votes, only prepare and accept may change its slots; they take the same lock.
        with register.lock_for(key):
            if register.voters != voters or not register.store.persist({key: slot}):
                return False
            if slot:
                register.acceptor.slots[key] = slot
            else:
                register.acceptor.slots.pop(key, None)
        return True

    def on_disk_status(self, connection: Any, epoch: int | None) -> DiskStatus | EpochMismatch | None:
        """Report the disk's status in an epoch (None: in any epoch).

        None if this process has no disk, or one that may not vote on the first voters.
        """
        register = self.register
        if epoch is not None:
            mismatch = register.check_epoch(epoch)
            if mismatch is not None:
                return mismatch
        if not register.store:
            return None
        if not register.voters.epoch and not register.promises_known:
            return None  # it may not vote yet, and first voters that can't vote would be no quorum
        caught_up = self.caught_up_epoch == register.voters.epoch
        return DiskStatus(
            register.store.incarnation,
            caught_up and register.peer_pool.address not in register.voter_addresses,
        )

    # On a voter.

    def start_voting(self) -> bool:
        """Make this disk vote if this process is a voter.

        The incarnation of a wiped disk is recorded in a new configuration first. From then on the other
        voters reject changes of earlier epochs, in which answers of the lost disk still count.

        Returns:
            Whether the disk votes or need not vote.
        """
        register = self.register
        address = register.peer_pool.address
        if register.acceptor and not register.can_vote() and address in register.voter_addresses:
            incarnation = register.store.incarnation
            recorded = register.voters.incarnations(address) == {incarnation}
            if not recorded and not self.propose(register.voters.with_incarnation(address, incarnation)):
                return False
        return register.recover_promises()

    def on_sync_records(self, connection: Any, epoch: int) -> bool | EpochMismatch | None:
        """Answer True once this disk holds the endpoint records of a quorum in the joint epoch."""
        register = self.register
        mismatch = register.check_epoch(epoch)
        if mismatch is not None:
            return mismatch
        if self.synced_epoch != epoch:
            if not register.can_vote() or not self.collect_records() or register.voters.epoch != epoch:
                return register.check_epoch(epoch)
            self.synced_epoch = epoch
        return True

    def propose(self, proposed: Voters, timeout: float = 1.0) -> bool:
        """Propose the next configuration under the current one.

        Args:
            proposed: the next configuration.
            timeout: total time in seconds.

        Returns:
            Whether it is the current configuration now. If another was decided first, that one is adopted.
        """
        register = self.register

        def step(value: bytes | None) -> bytes | None:
            current = Voters.from_row(decode(value)) if value else Voters()
            if current.epoch > register.voters.epoch or proposed.epoch != register.voters.epoch + 1:
                return None
            return encode(proposed.row())

        done, value = register.change(VOTERS_KEY, step, timeout)
        if done and value:
            register.adopt(Voters.from_row(decode(value)))
        return register.voters == proposed

    def rewrite_keys(self, timeout: float = 2.0) -> bool:
        """Read every key under the current configuration.

        A read writes back a value that only part of a quorum holds. Its promises also make every later
        quorum refuse values that a minority may have accepted in an earlier epoch.

        Args:
            timeout: seconds for all keys.

        Returns:
            Whether a quorum of this epoch holds the current value of every key.
        """
        register = self.register
        voters = register.voters
        answers = register.ask_quorum(MessageKind.ACCEPTED_BALLOTS, voters.epoch, QUORUM_TIMEOUT_S)
        if answers is None:
            return False
        keys = {key for ballots in answers.values() for key in ballots} - {VOTERS_KEY}
        rewritten: list[str] = []

        def rewrite_key(key: str) -> None:
            if register.read(key, timeout).done:
                rewritten.append(key)

        self.runtime.run_all([lambda key=key: rewrite_key(key) for key in sorted(keys)], timeout)
        return len(rewritten) == len(keys) and register.voters == voters

    def leave_joint(self) -> bool:
        """Complete a joint configuration by deciding its new set.

        Any process may call this at any time, and may repeat it after a failure.

        Returns:
            Whether the new set was decided and a quorum of it has adopted it.
        """
        register = self.register
        voters = register.voters
        if not voters.joint or not self.rewrite_keys():
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
        """Send the current configuration to its voters.

        A change is complete only when a quorum has persisted the configuration. Before that, if the proposer
        and the removed voters failed together, the remaining voters would know only the joint epoch, still
        require a majority of the old set, and never learn that the new set was decided.

        Args:
            timeout: total time in seconds.

        Returns:
            Whether a quorum of this configuration has persisted it.
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
