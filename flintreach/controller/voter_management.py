"""Management of the register's voter set by one controller.

Covers catch-up of disks that do not vote, membership changes, operators' replacement requests and the
handover before this process ends; `flintreach.controller.voter_bootstrap` covers the start.
`flintreach.consensus.voter_selection` decides which configuration should follow the current one;
`flintreach.consensus.reconfiguration` carries it out.
"""

import dataclasses
from typing import Protocol

from flintreach.common.keys import ROLE_CONTROLLER
from flintreach.common.log import log_event
from flintreach.config.settings import ProcessSettings
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.reconfiguration import Reconfiguration
from flintreach.consensus.register import Register
from flintreach.consensus.store import FORCED_FACT
from flintreach.consensus.voter_selection import (
    FailureTolerance,
    VoterCandidate,
    choose_next_voters,
    plan_operator_change,
)
from flintreach.controller.voter_bootstrap import VoterBootstrap
from flintreach.membership.member_list import LEFT, SUSPECTED, Member, MemberList
from flintreach.transport.peer_connection import PeerConnection
from flintreach.transport.peer_pool import PeerPool
from flintreach.transport.runtime import Runtime

# Message kinds and the fact on disk keep the values of earlier releases: processes of a fleet are upgraded
# one at a time, and a disk outlives the release that wrote it.
LEAVING_KIND = "leaving"  # [[ip, port] of a process about to end, seconds for which the announcement holds]
REPLACE_KIND = "replace"  # [[ip, port] to remove or None, [ip, port] to add or None]
DISK_KIND = "disk"  # an epoch or None; answered by `Reconfiguration.on_disk_status`

# Answers to an operator's replacement request; any other text is the reason for a rejection.
DONE = ""
UNFINISHED = "begun, not finished"
UNKNOWN = "not known yet: look at the voters"

CHECK_INTERVAL_S = 0.25
FAST_CHECK_INTERVAL_S = 0.05  # during the handover
CATCH_UP_INTERVAL_S = 2.0  # between two catch-ups of a disk that does not vote
PROPOSER_STAGGER_S = 1.5  # extra delay per rank: proposers that start together preempt each other's ballots
UNSEEN_VOTER_GRACE_S = 5.0  # after the start; then voters that are missing from the membership count as dead
QUERY_TIMEOUT_S = 0.3  # for the answers of other controllers
ANNOUNCE_TIMEOUT_S = 0.5  # for a quorum of the new voters to confirm that they know the configuration
MIN_HANDOVER_S = 2.0  # lower bound on the time limit of the handover
HANDOVER_RESERVE_S = 1.0  # part of the platform's grace period that is left after the handover


class EndpointCollection(Protocol):
    """The part of `endpoint_service.EndpointService` that `VoterManager` uses."""

    def sync_from_quorum(self) -> bool:
        """Copy a quorum's endpoint records to this disk; return whether that succeeded."""
        ...

    def mark_registry_complete(self) -> None:
        """Note that this disk lacks no endpoint record, as none has ever been confirmed."""
        ...


class VoterPlane(Protocol):
    """The part of `control_plane.ControlPlane` that `VoterManager` uses."""

    runtime: Runtime
    register: Register
    peer_pool: PeerPool
    member_list: MemberList
    endpoints: EndpointCollection
    node: ProcessSettings
    first_run: bool

    def seeds(self) -> list[Address]:
        """Return the seed addresses in the current settings."""
        ...

    def peers(self) -> list[Address]:
        """Return the addresses of the other controllers that are alive or vote."""
        ...


class VoterManager:
    """One controller's share in managing the voter set.

    Attributes:
        reconfiguration: carries out the changes.
        bootstrap: learns or decides the first voter set.
        leaving: address -> time on the monotonic clock until which the process counts as about to end.
        alive_disks: addresses of the disks that were alive at the last check.
        alive_changed_at: when that set last changed or was not reliable.
        due_epoch: the epoch after which a change is due; -1 while none is.
        due_at: since when the change has been due.
        logged_epoch: epoch of the last configuration written to the log; -1 before the first.
        catch_up_at: when a disk that does not vote catches up next.
        target: the configuration that should follow; None if the current one needs no change.
    """

    def __init__(self, plane: VoterPlane) -> None:
        """Register the message handlers of voter management."""
        self.plane = plane
        self.runtime = plane.runtime
        self.register = plane.register
        self.peer_pool = plane.peer_pool
        self.address: Address = plane.peer_pool.address
        self.reconfiguration = Reconfiguration(self.register, self._collect_endpoints)
        self.started_at = self.runtime.now()
        self.leaving: dict[Address, float] = {}
        self.alive_disks: frozenset[Address] = frozenset()
        self.alive_changed_at = self.started_at
        self.due_epoch = -1
        self.due_at = self.started_at
        self.logged_epoch = -1
        self.catch_up_at = 0.0
        self.target: Voters | None = None
        self.bootstrap = VoterBootstrap(self)
        self.peer_pool.handlers |= {LEAVING_KIND: self.on_leaving, REPLACE_KIND: self.on_replace}

    def _collect_endpoints(self) -> bool:
        """Copy a quorum's endpoint records to this disk, which is required before it may vote."""
        return self.plane.endpoints.sync_from_quorum()

    @property
    def losses(self) -> FailureTolerance:
        """Return the simultaneous losses that acknowledged data must survive, by the current settings."""
        settings = self.plane.node.rules.losses
        return FailureTolerance(settings.machines, settings.zones, settings.regions)

    def stable_s(self) -> float:
        """Return the seconds since the set of alive disks last changed."""
        return self.runtime.now() - self.alive_changed_at

    # Known disks.

    def disks(self) -> dict[Address, VoterCandidate]:
        """Return the disks of the member controllers, and of voters that are not members.

        Also records changes of the set of alive disks.
        """
        now = self.runtime.now()
        disks = self._member_disks(now)
        unseen = [address for address in self.register.voter_addresses if address not in disks]
        if now - self.started_at > UNSEEN_VOTER_GRACE_S:
            disks |= {address: VoterCandidate(address, "?", "?", alive=False) for address in unseen}
        elif unseen:
            # Delays growth while a voter may be dead: a spare should replace that voter, not be added to it.
            self.alive_changed_at = now
        alive_disks = frozenset(address for address, disk in disks.items() if disk.alive)
        if alive_disks != self.alive_disks:
            self.alive_disks = alive_disks
            self.alive_changed_at = now
        return disks

    def _member_disks(self, now: float) -> dict[Address, VoterCandidate]:
        disks: dict[Address, VoterCandidate] = {}
        for member in [*self.plane.member_list.members.values()]:
            if member.role != ROLE_CONTROLLER or not member.counted:
                continue
            # A new process may have reused the address of a dead member.
            if member.state <= SUSPECTED or member.address not in disks:
                disks[member.address] = self._member_disk(member, now)
        return disks

    def _member_disk(self, member: Member, now: float) -> VoterCandidate:
        announced = now < self.leaving.get(member.address, 0.0)
        return VoterCandidate(
            member.address,
            member.zone,
            member.region,
            alive=member.state <= SUSPECTED,
            leaving=announced or member.state == LEFT,
        )

    def query_disks(self, disks: dict[Address, VoterCandidate]) -> list[VoterCandidate]:
        """Return the disks, updated with the status that non-voters report under the current epoch.

        Voters that the membership reports as dead are queried too: the report may be wrong, and a voter that
        answers must not be replaced.
        """
        group = self.register.voter_addresses
        queried = [
            address
            for address, disk in disks.items()
            if not disk.leaving and disk.alive != (address in group)
        ]
        return self._query(disks, queried, self.register.voters.epoch)

    def query_alive_disks(self, disks: dict[Address, VoterCandidate]) -> list[VoterCandidate]:
        """Return the disks, updated with the status that all alive ones report, under any epoch."""
        queried = [address for address, disk in disks.items() if disk.alive and not disk.leaving]
        return self._query(disks, queried, None)

    def _query(
        self, disks: dict[Address, VoterCandidate], queried: list[Address], epoch: int | None
    ) -> list[VoterCandidate]:
        def all_answered(answers: list) -> bool:
            return len(answers) == len(queried)

        gathered = self.register.gather(queried, DISK_KIND, epoch, all_answered, QUERY_TIMEOUT_S)
        answers = {address: answer for address, answer in gathered if answer}
        updated_disks = []
        for address, disk in disks.items():
            if address in answers:
                incarnation, caught_up = answers[address]
                updated_disks.append(self._with_status(disk, incarnation, caught_up))
            else:
                updated_disks.append(disk)
        return updated_disks

    @staticmethod
    def _with_status(disk: VoterCandidate, incarnation: str, caught_up: bool) -> VoterCandidate:
        return dataclasses.replace(disk, incarnation=incarnation, alive=True, caught_up=caught_up)

    def assume_caught_up(self, disks: dict[Address, VoterCandidate]) -> list[VoterCandidate]:
        """Return the disks as if all non-voters were alive and caught up.

        Used to check whether a change may be due; the disks are queried only if it may.
        """
        group = self.register.voter_addresses
        return [
            disk if address in group else self._with_status(disk, "", True) for address, disk in disks.items()
        ]

    # Start.

    def discover(self) -> None:
        """Learn the voter set from other controllers, or decide on the first one with them."""
        self.bootstrap.run()
        self.log_voters()

    def log_voters(self) -> None:
        """Log the current voter set."""
        voters = self.register.voters
        self.logged_epoch = voters.epoch
        addresses = [[f"{ip}:{port}" for ip, port in sorted(voter_set)] for voter_set in voters.sets]
        log_event("voters", epoch=voters.epoch, votes=self.register.can_vote(), sets=addresses)

    # Reconfiguration.

    def run(self) -> None:
        """Reconcile the voter set at every interval, for the life of the process."""
        while True:
            self.runtime.sleep(CHECK_INTERVAL_S)
            if not self.register.voters.epoch:
                continue
            self.reconcile()
            voters = self.register.voters
            if voters.epoch != self.logged_epoch and not voters.joint:
                self.log_voters()

    def reconcile(self) -> None:
        """Let a non-voter catch up, or a voter carry out the change that is due."""
        register = self.register
        now = self.runtime.now()
        voters = register.voters
        if self.address not in register.voter_addresses:
            if now >= self.catch_up_at:
                caught_up = self.reconfiguration.catch_up()
                self.catch_up_at = now + (CATCH_UP_INTERVAL_S if caught_up else 0.0)
            return
        if register.can_vote() and self.is_change_due(voters):
            self.apply_change(voters)

    def is_change_due(self, voters: Voters) -> bool:
        """Return whether a change of voters is due and it is this controller's turn to propose it."""
        disks = self.disks()
        now = self.runtime.now()
        if voters.joint:
            self.target = voters
        else:
            stable_s = now - self.alive_changed_at
            self.target = choose_next_voters(voters, self.assume_caught_up(disks), self.losses, stable_s)
        if self.target is None:
            self.due_epoch = -1
            return False
        if self.due_epoch != voters.epoch:
            self.due_epoch = voters.epoch
            self.due_at = now
        return now - self.due_at >= self._proposer_rank(disks) * PROPOSER_STAGGER_S

    def _proposer_rank(self, disks: dict[Address, VoterCandidate]) -> int:
        """Return this controller's rank among the alive voters; the last if it is not among them."""
        order = sorted(
            address
            for address in self.register.voter_addresses
            if address in disks and disks[address].alive and not disks[address].leaving
        )
        return order.index(self.address) if self.address in order else len(order)

    def apply_change(self, voters: Voters) -> None:
        """Complete a joint configuration, or begin the change if it is still wanted after a query."""
        if voters.joint:
            self.reconfiguration.leave_joint()
            return
        disks = self.query_disks(self.disks())
        target = choose_next_voters(voters, disks, self.losses, self.stable_s())
        if target and self.reconfiguration.propose(target):
            self.reconfiguration.leave_joint()

    # Handover and operators' requests.

    def on_leaving(self, connection: PeerConnection | None, body: list) -> bool:
        """Record that a process is about to end: [its address, seconds for which that holds]."""
        address, seconds = body
        self.leaving[tuple(address)] = self.runtime.now() + seconds
        return True

    def hand_over(self) -> None:
        """Announce the end of this process, and wait until the voter set no longer depends on it.

        The wait is bounded by the platform's grace period.
        """
        if self.address not in self.register.voter_addresses:
            return
        now = self.runtime.now()
        deadline = now + max(MIN_HANDOVER_S, self.plane.node.bounds.grace_s - HANDOVER_RESERVE_S)
        leaving_until = deadline + HANDOVER_RESERVE_S
        self.leaving[self.address] = leaving_until
        peers = self.plane.peers()

        def all_answered(answers: list) -> bool:
            return len(answers) == len(peers)

        announcement = [list(self.address), leaving_until - now]
        self.peer_pool.gather(peers, LEAVING_KIND, announcement, all_answered, QUERY_TIMEOUT_S)
        while self.runtime.now() < deadline and not self._handed_over():
            self.runtime.sleep(FAST_CHECK_INTERVAL_S)

    def _handed_over(self) -> bool:
        """Return whether the voter set no longer depends on this process."""
        voters = self.register.voters
        if self.address not in self.register.voter_addresses:
            return self.reconfiguration.announce(ANNOUNCE_TIMEOUT_S)
        # Either set of a joint configuration may need this voter for its majority.
        if voters.joint:
            return False
        # A spare that has just started is still copying: until that is done, the set needs this voter.
        return not choose_next_voters(voters, self.assume_caught_up(self.disks()), self.losses, 0.0)

    def on_replace(self, connection: PeerConnection | None, body: list) -> str:
        """Carry out an operator's request: [address to remove or None, address to add or None].

        Returns:
            `DONE`, `UNFINISHED`, `UNKNOWN`, or the reason why the request was rejected.
        """
        removed, added = (tuple(address) if address else None for address in body)
        voters = self.register.voters  # read first: the request applies to the set at its arrival
        disks = self.query_disks(self.disks())
        target, reason = plan_operator_change(voters, disks, self.losses, removed, added)
        if target is None:
            return reason
        if self.reconfiguration.propose(target) and self.reconfiguration.leave_joint():
            return DONE
        return UNFINISHED if self.register.voters.joint else UNKNOWN

    # Operator view.

    def rows(self) -> list[dict]:
        """Return one row for each disk that votes or may vote, as `flintreach show voters` prints them."""
        voters = self.register.voters
        disks = self.disks()
        answered = {disk.address: disk for disk in self.query_alive_disks(disks)}
        store = self.register.store
        shared = {
            "wanted": self._target_text(),
            "forced": store.facts.get(FORCED_FACT, "") if store else "",
        }
        addresses = sorted({*voters.members(), *disks})
        return [self._row(voters, address, answered.get(address)) | shared for address in addresses]

    def _target_text(self) -> str:
        if self.target is None:
            return ""
        sets = [" ".join(sorted(f"{ip}:{port}" for ip, port in voter_set)) for voter_set in self.target.sets]
        return " and ".join(sets)

    @classmethod
    def _row(cls, voters: Voters, address: Address, disk: VoterCandidate | None) -> dict:
        return {
            "epoch": voters.epoch,
            "address": f"{address[0]}:{address[1]}",
            "set": cls._set_text(voters, address),
            "life": " ".join(sorted(voters.incarnations(address))),
            "told_life": disk.incarnation if disk else "",
            "state": cls._state_text(disk),
            "caught_up": bool(disk and disk.caught_up),
        }

    @staticmethod
    def _set_text(voters: Voters, address: Address) -> str:
        """Return the sets of a joint configuration in which an address votes.

        In a configuration of a single set: "votes", or "" if the address does not vote.
        """
        set_names = [
            name
            for name, voter_set in (("old", voters.old), ("new", voters.new))
            if address in dict(voter_set)
        ]
        if voters.joint:
            return " ".join(set_names)
        return "votes" if set_names else ""

    @staticmethod
    def _state_text(disk: VoterCandidate | None) -> str:
        if disk is None:
            return "unknown"
        if disk.leaving:
            return "leaving"
        return "alive" if disk.alive else "dead"
