"""Selection of voters, as a pure function of the known disks and the required failure tolerance.

A set of voters tolerates the failures if it keeps a majority after the loss of any `machines` voters, any
`zones` zones or any `regions` regions. The number of voters follows from that. Each change adds, removes or
replaces a single voter.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from flintreach.consensus.quorum import Address, Voters

MAX_VOTERS = 9  # more would make every write costlier without tolerating more than the settings require

# How long the set of disks must have been unchanged, in seconds.
INITIAL_STABLE_S = 0.6  # before a first start with enough disks
TOO_FEW_STABLE_S = 6.0  # before a first start with too few disks to tolerate the failures
GROWTH_STABLE_S = 2.5  # before `VoterPlan.growth`

UNKNOWN_LOCATION = ("?", "?")  # zone and region of a voter that is not a known member

Location = tuple[str, str]  # zone and region


@dataclass(frozen=True, slots=True)
class FailureTolerance:
    """How many failures at once must not lose any acknowledged write."""

    machines: int = 0
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class VoterCandidate:
    """A machine with a disk that votes or may become a voter.

    Attributes:
        address: address of its process.
        zone: zone of the machine.
        region: region of the machine.
        incarnation: incarnation of the disk, "" if unknown.
        alive: whether the membership reports the process as alive.
        leaving: whether the process has announced its shutdown.
        caught_up: whether the disk reports that it holds the state of a quorum in the current epoch.
    """

    address: Address
    zone: str
    region: str
    incarnation: str = ""
    alive: bool = True
    leaving: bool = False
    caught_up: bool = False


def tolerates(locations: Iterable[Location], tolerance: FailureTolerance) -> bool:
    """Whether voters at these locations keep a majority after any of the failures to be tolerated.

    >>> tolerates([("a", "r"), ("b", "r"), ("c", "r")], FailureTolerance(machines=1, zones=1))
    True
    >>> tolerates([("a", "r"), ("b", "r"), ("c", "r"), ("c", "r")], FailureTolerance(machines=1, zones=1))
    False
    """
    known_locations = list(locations)
    size = len(known_locations)
    zones = Counter(zone for zone, _ in known_locations)
    regions = Counter(region for _, region in known_locations)
    lost_with_zones = sum(count for _, count in zones.most_common(tolerance.zones))
    lost_with_regions = sum(count for _, count in regions.most_common(tolerance.regions))
    worst_loss = max(min(tolerance.machines, size), lost_with_zones, lost_with_regions)
    return size - worst_loss > size // 2


def interleave_zones(disks: Iterable[VoterCandidate]) -> list[VoterCandidate]:
    """Order disks round-robin by zone, and by address within a zone."""
    zones: dict[str, list[VoterCandidate]] = {}
    for disk in sorted(disks, key=lambda disk: disk.address):
        zones.setdefault(disk.zone, []).append(disk)
    queues = [zones[zone] for zone in sorted(zones)]
    ordered_disks: list[VoterCandidate] = []
    while any(queues):
        ordered_disks += [queue.pop(0) for queue in queues if queue]
    return ordered_disks


def largest_tolerant_set(
    disks: list[VoterCandidate], tolerance: FailureTolerance
) -> list[VoterCandidate] | None:
    """The longest prefix of the disks that tolerates the failures, None if there is none."""
    for size in range(len(disks), 0, -1):
        if tolerates([(disk.zone, disk.region) for disk in disks[:size]], tolerance):
            return disks[:size]
    return None


def choose_initial_voters(
    disks: Iterable[VoterCandidate], tolerance: FailureTolerance, stable_s: float
) -> Voters | None:
    """Choose the voters of a first start; None while more disks should be waited for.

    With too few voters, a failure that should be tolerated could leave no majority or destroy the only
    copies. So nothing is acknowledged before there are enough disks, or before no new disk has appeared for
    `TOO_FEW_STABLE_S`.

    Args:
        disks: the known disks.
        tolerance: the failures to tolerate.
        stable_s: seconds since the set of disks last changed.
    """
    candidates = interleave_zones(disk for disk in disks if disk.alive)[:MAX_VOTERS]
    chosen = largest_tolerant_set(candidates, tolerance)
    if chosen is None:
        if stable_s < TOO_FEW_STABLE_S:
            return None
        chosen = candidates
    if not chosen or stable_s < INITIAL_STABLE_S:
        return None
    return Voters(1, tuple(sorted((disk.address, disk.incarnation) for disk in chosen)))


def joint_configuration(
    voters: Voters, out: Address | None = None, into: VoterCandidate | None = None
) -> Voters:
    """The joint configuration that removes one voter, adds one, or both."""
    members = [member for member in voters.old if member[0] != out]
    if into:
        members.append((into.address, into.incarnation))
    return Voters(voters.epoch + 1, voters.old, tuple(sorted(members)))


class VoterPlan:
    """Possible successors of a configuration that is not joint.

    Attributes:
        voter_addresses: addresses of the current voters.
        spares: disks that may become voters.
        is_tolerant: whether the current voters tolerate the failures.
        departing: voters that are leaving or dead, in this order.
    """

    def __init__(self, voters: Voters, disks: Iterable[VoterCandidate], tolerance: FailureTolerance) -> None:
        self.voters = voters
        self.tolerance = tolerance
        self.disks = {disk.address: disk for disk in disks}
        self.voter_addresses = [address for address, _ in voters.old]
        self.spares = [disk for disk in self.disks.values() if self.is_spare(disk)]
        self.is_tolerant = self.is_tolerant_with()
        self.departing = sorted(
            filter(self.is_departing, self.voter_addresses),
            key=lambda address: (not self.disks[address].leaving, address),
        )

    def is_spare(self, disk: VoterCandidate) -> bool:
        """Whether a disk may become a voter."""
        return disk.caught_up and disk.alive and not disk.leaving and disk.address not in self.voter_addresses

    def is_departing(self, address: Address) -> bool:
        """Whether a voter is known to be dead or leaving."""
        disk = self.disks.get(address)
        return disk is not None and (disk.leaving or not disk.alive)

    def is_tolerant_with(
        self,
        out: Iterable[Address] = (),
        into: VoterCandidate | None = None,
        tolerance: FailureTolerance | None = None,
    ) -> bool:
        """Whether the voters tolerate the failures after a change.

        Args:
            out: voters to remove.
            into: disk to add.
            tolerance: the failures to tolerate, by default all that the deployment requires.
        """
        locations: list[Location] = []
        for address in self.voter_addresses:
            if address in out:
                continue
            disk = self.disks.get(address)
            # The location of an unknown voter is not known; all such voters count as one location.
            locations.append((disk.zone, disk.region) if disk else UNKNOWN_LOCATION)
        if into:
            locations.append((into.zone, into.region))
        return tolerates(locations, tolerance or self.tolerance)

    def ranked_spares(self, out: Address | None = None) -> list[VoterCandidate]:
        """Spares, best first: from the zone of the removed voter, then from zones with the fewest voters."""
        voters_by_zone = Counter(
            self.disks[address].zone
            for address in self.voter_addresses
            if address in self.disks and address != out
        )
        zone = self.disks[out].zone if out in self.disks else None
        return sorted(
            self.spares, key=lambda disk: (disk.zone != zone, voters_by_zone[disk.zone], disk.address)
        )

    def replacement(self) -> Voters | None:
        """Replace a departing voter by a spare.

        Preferably so that all failures stay tolerated, otherwise at least those of machines: without a
        replacement, one of these failures would be permanent.
        """
        for tolerance in (self.tolerance, FailureTolerance(self.tolerance.machines)):
            for address in self.departing:
                for spare in self.ranked_spares(address):
                    if not self.is_tolerant or self.is_tolerant_with([address], spare, tolerance):
                        return joint_configuration(self.voters, address, spare)
        return None

    def removal(self) -> Voters | None:
        """Remove a departing voter without a replacement.

        Only if the remaining voters tolerate the failures by themselves and can then lose more voters than
        before. With an even number of voters any departing voter qualifies; with an odd number, several must
        have announced their shutdown.
        """
        size = len(self.voter_addresses)
        first_departing = self.departing[:1] if size % 2 == 0 else []
        leaving = [address for address in self.departing if self.disks[address].leaving]
        alive = size - len(self.departing)
        for removed in (first_departing, leaving):
            rest = size - len(removed)
            if not removed or rest < 2 * self.tolerance.machines + 1 or not self.is_tolerant_with(removed):
                continue
            spare_votes_after = alive - (rest // 2 + 1)
            spare_votes_before = alive - (size // 2 + 1)
            if spare_votes_after > spare_votes_before:
                return joint_configuration(self.voters, removed[0])
        return None

    def growth(self) -> Voters | None:
        """Add a voter if the failures stay tolerated; if they are not tolerated now, try to restore that."""
        spares = self.ranked_spares()
        has_room = len(self.voter_addresses) < MAX_VOTERS
        if has_room:
            for spare in spares:
                if self.is_tolerant_with((), spare):
                    return joint_configuration(self.voters, None, spare)
        if self.is_tolerant:
            return None
        for spare in spares:
            for address in self.voter_addresses:
                if self.is_tolerant_with([address], spare):
                    return joint_configuration(self.voters, address, spare)
        for address in self.voter_addresses[::-1]:
            if self.is_tolerant_with([address]):
                return joint_configuration(self.voters, address)
        return joint_configuration(self.voters, None, spares[0]) if spares and has_room else None


def choose_next_voters(
    voters: Voters, disks: Iterable[VoterCandidate], tolerance: FailureTolerance, stable_s: float
) -> Voters | None:
    """Choose the joint configuration that should follow; None if no change is needed or one is in progress.

    Args:
        voters: the current configuration.
        disks: the known disks.
        tolerance: the failures to tolerate.
        stable_s: seconds since the set of disks last changed. `VoterPlan.growth` waits for `GROWTH_STABLE_S`,
            the replacement or removal of a departing voter does not.
    """
    if voters.epoch == 0 or voters.joint:
        return None
    plan = VoterPlan(voters, disks, tolerance)
    successor = plan.replacement() or plan.removal()
    if successor or stable_s < GROWTH_STABLE_S:
        return successor
    return plan.growth()


def plan_operator_change(
    voters: Voters,
    disks: Iterable[VoterCandidate],
    tolerance: FailureTolerance,
    out: Address | None,
    into: Address | None,
) -> tuple[Voters | None, str]:
    """Check a change of voters that an operator requested.

    Args:
        voters: the current configuration.
        disks: the known disks.
        tolerance: the failures to tolerate.
        out: the voter to remove.
        into: the disk to add.

    Returns:
        The joint configuration and "", or None and the reason for the rejection.
    """
    if voters.epoch == 0 or voters.joint:
        return None, "the voters are not known yet or are changing; try again later"
    if out is None and into is None:
        return None, "neither a voter to remove nor a disk to add was given"
    plan = VoterPlan(voters, disks, tolerance)
    if out is not None and out not in plan.voter_addresses:
        return None, f"{out[0]}:{out[1]} does not vote"
    spare = next((disk for disk in plan.spares if disk.address == into), None)
    if into is not None and spare is None:
        return None, f"{into[0]}:{into[1]} is not a spare disk, i.e. alive, caught up and not a voter"
    left_out = [] if out is None else [out]
    size = len(plan.voter_addresses) - len(left_out) + (spare is not None)
    if size > MAX_VOTERS:
        return None, f"there would be more than {MAX_VOTERS} voters"
    if plan.is_tolerant and not plan.is_tolerant_with(left_out, spare):
        return None, "the remaining voters would not tolerate the failures that the settings require"
    if size == 0:
        return None, "no voter would remain"
    return joint_configuration(voters, out, spare), ""
