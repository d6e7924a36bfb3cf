"""Which disks vote, as one controller sees to it.

The first decision of voters, a new disk's catching up, changes that are due, and the handover before this
process ends. What should follow one configuration is decided in `flintreach.consensus.voter_selection`; how
it comes about, in `flintreach.consensus.reconfiguration`.
"""

import dataclasses
from typing import Protocol

from flintreach.common.keys import ROLE_CONTROLLER
from flintreach.common.log import say
from flintreach.config.settings import ProcessSettings
from flintreach.consensus.quorum import Address, Voters
from flintreach.consensus.reconfiguration import Reconfiguration
from flintreach.consensus.register import Register
from flintreach.consensus.voter_selection import (
    FailureTolerance,
    VoterCandidate,
    choose_initial_voters,
    choose_next_voters,
    plan_operator_change,
)
from flintreach.membership.member_list import LEFT, SUSPECTED, Member, MemberList
from flintreach.transport.peer_connection import PeerConnection
from flintreach.transport.peer_pool import PeerPool
from flintreach.transport.runtime import Runtime

# Message kinds, the role and the fact on disk keep the bytes that earlier releases wrote: a fleet is
# exchanged process by process, and a disk outlives the release that wrote it.
LEAVING_KIND = "leaving"  # [[ip, port] of a process that will end, seconds for which that holds]
REPLACE_KIND = "replace"  # [[ip, port] to leave out or None, [ip, port] to take in or None]
DISK_KIND = "disk"  # an epoch or None; answered by `Reconfiguration.on_disk`
VOTERS_KIND = "voters"  # a configuration or None; answered by `Register.on_voters`
FORCED_FACT = "forced"  # what an operator forced on the voters while this process was stopped

# Answers to an operator's order; any other text is a reason why it was rejected.
DONE = ""
UNFINISHED = "begun, not finished"
UNKNOWN = "not known yet: look at the voters"

CHECK_INTERVAL_S = 0.25
FIRST_CHECK_INTERVAL_S = 0.05  # while the first voters are decided, and while this process leaves
CATCH_UP_INTERVAL_S = 2.0  # after a disk has caught up, until it does so again
TURN_S = 1.5  # each further controller in the order waits so much longer: two at once would only duel
UNMET_GRACE_S = 5.0  # after its start a controller takes a voter that nobody has met for one that is gone
ASK_S = 0.3  # for the answers of other controllers
TOLD_S = 0.5  # for a quorum of new voters to confirm that they know of it
HANDOVER_S = 2.0  # a process that ends waits so long for a successor at least
HANDOVER_RESERVE_S = 1.0  # what is left of the platform's grace period when that wait is over


class EndpointCollection(Protocol):
    """What `VoterManager` uses of `endpoint_service.EndpointService`."""

    def sync_from_quorum(self) -> bool:
        """Whether what a quorum knows of endpoints is on this disk."""
        ...


class VoterPlane(Protocol):
    """What `VoterManager` uses of `control_plane.ControlPlane`."""

    runtime: Runtime
    register: Register
    peer_pool: PeerPool
    member_list: MemberList
    endpoints: EndpointCollection
    node: ProcessSettings
    first_run: bool

    def seeds(self) -> list[Address]:
        """Addresses to join by, as the settings name them now."""
        ...

    def peers(self) -> list[Address]:
        """Addresses of the other controllers that are known to be alive, or vote."""
        ...


class VoterManager:
    """One controller's part in who votes.

    Attributes:
        reconfiguration: carries out the changes.
        leaving: address -> until when, on the steady clock, it counts as a process that will end.
        alive_disks: addresses of the disks that were alive when they were last looked at.
        alive_changed_at: when that set last changed, or could not be trusted.
        due_epoch: the epoch after which a change is due; -1 while none is.
        due_at: since when it is.
        reported_epoch: of the voters that the log last told; -1 before any.
        catch_up_at: when a disk that doesn't vote catches up next.
        wish: the configuration that should follow, None where the one that stands is well.
    """

    def __init__(self, plane: VoterPlane) -> None:
        """Answer the messages of other processes on voters from now on."""
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
        self.reported_epoch = -1
        self.catch_up_at = 0.0
        self.wish: Voters | None = None
        self.peer_pool.handlers |= {LEAVING_KIND: self.on_leaving, REPLACE_KIND: self.on_replace}

    def _collect_endpoints(self) -> bool:
        """Whether what a quorum knows of endpoints is on this disk: needed before it may vote."""
        return self.plane.endpoints.sync_from_quorum()

    @property
    def losses(self) -> FailureTolerance:
        """What may be lost at once with all that was acknowledged kept, as the settings say now."""
        settings = self.plane.node.rules.losses
        return FailureTolerance(settings.machines, settings.zones, settings.regions)

    def _calm_s(self) -> float:
        """Seconds since a disk came or went."""
        return self.runtime.now() - self.alive_changed_at

    # The disks that are known.

    def disks(self) -> dict[Address, VoterCandidate]:
        """Disks of the controllers that are members, and voters that are no members.

        Notes on the way when a disk came or went.
        """
        now = self.runtime.now()
        disks = self._member_disks(now)
        unmet = [address for address in self.register.voter_addresses if address not in disks]
        if now - self.started_at > UNMET_GRACE_S:
            disks |= {address: VoterCandidate(address, "?", "?", alive=False) for address in unmet}
        elif unmet:
            # No growth around a voter that may be gone: its place is for a successor.
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
            # A successor may have the address of a member that is dead.
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

    def ask_disks(self, disks: dict[Address, VoterCandidate]) -> list[VoterCandidate]:
        """The disks, with what those that don't vote say of themselves under the epoch that stands.

        A voter that is reported dead is asked as well: the report may be wrong, and a voter that answers must
        not be replaced.
        """
        group = self.register.voter_addresses
        asked = [
            address
            for address, disk in disks.items()
            if not disk.leaving and disk.alive != (address in group)
        ]
        return self._ask(disks, asked, self.register.voters.epoch)

    def ask_alive_disks(self, disks: dict[Address, VoterCandidate]) -> list[VoterCandidate]:
        """The disks, with what all that are alive say of themselves, under whichever epoch."""
        asked = [address for address, disk in disks.items() if disk.alive and not disk.leaving]
        return self._ask(disks, asked, None)

    def _ask(
        self, disks: dict[Address, VoterCandidate], asked: list[Address], epoch: int | None
    ) -> list[VoterCandidate]:
        def all_answered(answers: list) -> bool:
            return len(answers) == len(asked)

        gathered = self.register.gather(asked, DISK_KIND, epoch, all_answered, ASK_S)
        answers = {address: answer for address, answer in gathered if answer}
        answered_disks = []
        for address, disk in disks.items():
            if address in answers:
                incarnation, caught_up = answers[address]
                answered_disks.append(self._answered(disk, incarnation, caught_up))
            else:
                answered_disks.append(disk)
        return answered_disks

    @staticmethod
    def _answered(disk: VoterCandidate, incarnation: str, caught_up: bool) -> VoterCandidate:
        return dataclasses.replace(disk, incarnation=incarnation, alive=True, caught_up=caught_up)

    def as_if_caught_up(self, disks: dict[Address, VoterCandidate]) -> list[VoterCandidate]:
        """The disks as if all that don't vote were alive and had caught up.

        They are asked for it only where something could come of it.
        """
        group = self.register.voter_addresses
        return [
            disk if address in group else self._answered(disk, "", True) for address, disk in disks.items()
        ]

    # A first start.

    def discover(self) -> None:
        """Learn which disks vote: from others, or at a first start by deciding it with them."""
        self._keep_seeds()
        store = self.register.store
        forced = store.facts.get(FORCED_FACT) if store else None
        if forced:
            say("voters_forced", what=forced)
        may_decide = self.plane.first_run or (store is not None and self.register.promises_known)
        while not self.register.voters.epoch:
            self.runtime.sleep(FIRST_CHECK_INTERVAL_S)
            self._find_once(may_decide)
        self.report()

    def _keep_seeds(self) -> None:
        """At a first start, store the seeds' disks as those that decide on the first voters.

        After a kill the settings may name other seeds, and those must not decide a second time.
        """
        register = self.register
        if not self.plane.first_run or register.voters.sets:
            return
        register.voters = Voters(0, tuple(sorted((seed, "") for seed in self.plane.seeds())))
        while register.store and not register.store.persist({}, register.voters.to_facts()):
            self.runtime.sleep(CHECK_INTERVAL_S)

    def _find_once(self, may_decide: bool) -> None:
        """Take the latest voters that others know; where none does, decide them if that is due."""
        disks = {address: disk for address, disk in self.disks().items() if disk.alive}
        others = [address for address in disks if address != self.address]
        answers = self.peer_pool.gather(others, VOTERS_KIND, None, bool, ASK_S) if others else []
        if answers:
            known = [Voters.from_row(row) for _, row in answers]
            self.register.adopt(max(known, key=lambda voters: voters.epoch))
            return
        if not may_decide or not choose_initial_voters(disks.values(), self.losses, self._calm_s()):
            return
        # What an earlier process has decided stands: the disks of the seeds know it.
        wish = choose_initial_voters(self.ask_alive_disks(disks), self.losses, self._calm_s())
        if wish:
            self.reconfiguration.propose(wish)

    def report(self) -> None:
        """Log the voters that stand."""
        voters = self.register.voters
        self.reported_epoch = voters.epoch
        addresses = [[f"{ip}:{port}" for ip, port in sorted(voter_set)] for voter_set in voters.sets]
        say("voters", epoch=voters.epoch, votes=self.register.can_vote(), sets=addresses)

    # Later changes.

    def run(self) -> None:
        """Catch up, or change the voters where that is due, for as long as the process lives."""
        while True:
            self.runtime.sleep(CHECK_INTERVAL_S)
            if not self.register.voters.epoch:
                continue
            self.reconcile()
            voters = self.register.voters
            if voters.epoch != self.reported_epoch and not voters.joint:
                self.report()

    def reconcile(self) -> None:
        """One step: a disk that doesn't vote catches up, one that does changes the voters where it must."""
        register = self.register
        now = self.runtime.now()
        voters = register.voters
        if self.address not in register.voter_addresses:
            if now >= self.catch_up_at:
                caught_up = self.reconfiguration.catch_up()
                self.catch_up_at = now + (CATCH_UP_INTERVAL_S if caught_up else 0.0)
            return
        if register.can_vote() and self.is_due(voters):
            self.advance(voters)

    def is_due(self, voters: Voters) -> bool:
        """Whether the voters should change, and it is this controller's turn to see to it."""
        disks = self.disks()
        now = self.runtime.now()
        if voters.joint:
            self.wish = voters
        else:
            calm_s = now - self.alive_changed_at
            self.wish = choose_next_voters(voters, self.as_if_caught_up(disks), self.losses, calm_s)
        if self.wish is None:
            self.due_epoch = -1
            return False
        if self.due_epoch != voters.epoch:
            self.due_epoch = voters.epoch
            self.due_at = now
        return now - self.due_at >= self._turn(disks) * TURN_S

    def _turn(self, disks: dict[Address, VoterCandidate]) -> int:
        """This controller's place in the order in which voters act; the last where it is not alive there."""
        order = sorted(
            address
            for address in self.register.voter_addresses
            if address in disks and disks[address].alive and not disks[address].leaving
        )
        return order.index(self.address) if self.address in order else len(order)

    def advance(self, voters: Voters) -> None:
        """Go on with a joint configuration, or begin the change that is wanted, if it still is."""
        if voters.joint:
            self.reconfiguration.leave_joint()
            return
        disks = self.ask_disks(self.disks())
        wish = choose_next_voters(voters, disks, self.losses, self._calm_s())
        if wish and self.reconfiguration.propose(wish):
            self.reconfiguration.leave_joint()

    # Leaving, and an operator's orders.

    def on_leaving(self, connection: PeerConnection | None, body: list) -> bool:
        """Another process will end: [its address, seconds for which that holds]; answered True."""
        address, seconds = body
        self.leaving[tuple(address)] = self.runtime.now() + seconds
        return True

    def hand_over(self) -> None:
        """Before this process ends, wait until a spare has taken over, or until the others suffice.

        At most for as long as the platform lets it.
        """
        if self.address not in self.register.voter_addresses:
            return
        now = self.runtime.now()
        deadline = now + max(HANDOVER_S, self.plane.node.bounds.grace_s - HANDOVER_RESERVE_S)
        leaving_until = deadline + HANDOVER_RESERVE_S
        self.leaving[self.address] = leaving_until
        peers = self.plane.peers()

        def all_answered(answers: list) -> bool:
            return len(answers) == len(peers)

        announcement = [list(self.address), leaving_until - now]
        self.peer_pool.gather(peers, LEAVING_KIND, announcement, all_answered, ASK_S)
        while self.runtime.now() < deadline and not self._handed_over():
            self.runtime.sleep(FIRST_CHECK_INTERVAL_S)

    def _handed_over(self) -> bool:
        """Whether the voters get on without this process."""
        voters = self.register.voters
        if self.address not in self.register.voter_addresses:
            return self.reconfiguration.announce(TOLD_S)
        # While two sets stand both may need this voter: it stays until that is over. And a spare that has
        # just started is still copying: a voter that ended at once would be missed until that is done.
        if voters.joint:
            return False
        return not choose_next_voters(voters, self.as_if_caught_up(self.disks()), self.losses, 0.0)

    def on_replace(self, connection: PeerConnection | None, body: list) -> str:
        """An operator's order: [address to leave out or None, address to take in or None].

        Returns:
            `DONE`, `UNFINISHED`, `UNKNOWN`, or why the order was rejected.
        """
        leave_out, take_in = (tuple(address) if address else None for address in body)
        voters = self.register.voters  # read first: an order is for those that stood when it came in
        disks = self.ask_disks(self.disks())
        wish, reason = plan_operator_change(voters, disks, self.losses, leave_out, take_in)
        if wish is None:
            return reason
        if self.reconfiguration.propose(wish) and self.reconfiguration.leave_joint():
            return DONE
        return UNFINISHED if self.register.voters.joint else UNKNOWN

    # What operators see.

    def rows(self) -> list[dict]:
        """The disks that vote or may, one a row, as `flintreach show voters` prints them."""
        voters = self.register.voters
        disks = self.disks()
        answered = {disk.address: disk for disk in self.ask_alive_disks(disks)}
        store = self.register.store
        shared = {
            "wanted": self._wish_text(),
            "forced": store.facts.get(FORCED_FACT, "") if store else "",
        }
        addresses = sorted({*voters.members(), *disks})
        return [self._row(voters, address, answered.get(address)) | shared for address in addresses]

    def _wish_text(self) -> str:
        if self.wish is None:
            return ""
        sets = [" ".join(sorted(f"{ip}:{port}" for ip, port in voter_set)) for voter_set in self.wish.sets]
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
        """In which of two sets an address votes, "votes" where one stands alone, "" where it doesn't vote."""
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
